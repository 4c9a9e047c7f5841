#include "core/pool.hpp"

#include <algorithm>
#include <tuple>

namespace larchpin {
namespace {

constexpr duration open_retry_pause = std::chrono::milliseconds{50};
// Servers count lost connections for seconds (3 s on the users' platform), and each attempt costs them work.
constexpr unsigned max_turned_away_pauses = 4; // of open_retry_pause
constexpr duration expected_open_time = std::chrono::milliseconds{15};
constexpr duration lost_share_pause = std::chrono::milliseconds{500};
constexpr duration demand_memory = std::chrono::seconds{5}; // half of a usual wave of load
// A workspace that asks less often than that finds its connection closed for another one anyway.
constexpr duration workspace_memory = std::chrono::seconds{10};
constexpr duration demand_step = std::chrono::seconds{1}; // from one connection given back to the next
constexpr int smoothing = 8;                              // a new service time counts one eighth

std::deque<pool_waiter>& queue_of(pool_state& p, request_class klass) {
    return p.waiting.at(static_cast<std::size_t>(klass));
}

unsigned background_limit(const pool_state& p) {
    return std::max(1U, p.share * p.background_share / 100);
}

bool background_is_full(const pool_state& p) {
    return p.busy_background.size() >= background_limit(p);
}

places_taken use_of(const pool_state& p) {
    return {.running = running_count(p), .opening = static_cast<unsigned>(p.opening.size())};
}

void note_demand(pool_state& p, time_point now) {
    const auto demand = static_cast<unsigned>(p.busy.size()) + waiting_count(p);
    if (demand >= p.peak_demand) {
        p.peak_demand = demand;
        p.peak_at = now;
    }
}

bool may_use(const pool_state& p, const pool_waiter& w, connection_number c) {
    return w.any_workspace || p.owners.at(c) == w.workspace;
}

// The idle connection for this waiter that was used last; the end where it has none.
std::vector<connection_number>::iterator find_idle(pool_state& p, const pool_waiter& w) {
    const auto found =
        std::find_if(p.idle.rbegin(), p.idle.rend(), [&](connection_number c) { return may_use(p, w, c); });
    return found == p.idle.rend() ? p.idle.end() : std::prev(found.base());
}

void hand_out(pool_state& p, const pool_waiter& w, std::vector<connection_number>::iterator at,
              pool_actions& actions) {
    const connection_number c = *at;
    p.idle.erase(at);
    p.busy.insert(c);
    if (w.klass == request_class::background) {
        p.busy_background.insert(c);
    }
    actions.emplace_back(use_connection{.request = w.request, .connection = c});
}

bool is_opening_for(const pool_state& p, const workspace_id& workspace) {
    return std::any_of(p.opening.begin(), p.opening.end(),
                       [&](connection_number c) { return p.owners.at(c) == workspace; });
}

// Others have gone before it for as long as an opening takes: the next connection that comes free makes room
// for it.
// Where places are counted, it is such a place that it lacks.
bool is_passed_over(const pool_state& p, const pool_waiter& w, time_point now) {
    const bool lacks_place = p.limit.permits > 0 && now >= p.open_retry_at;
    return now - w.since >= expected_open_time && (open_count(p) >= p.share || lacks_place) &&
           !is_opening_for(p, w.workspace);
}

// Hands out to the first waiter in line that has an idle connection. False where there is none, or it would
// pass over another one for too long, or only background has one and has its part already.
bool serve_next(pool_state& p, time_point now, pool_actions& actions) {
    for (const request_class klass :
         {request_class::critical, request_class::normal, request_class::background}) {
        if (klass == request_class::background && background_is_full(p)) {
            continue;
        }
        auto& queue = queue_of(p, klass);
        for (auto waiter = queue.begin(); waiter != queue.end(); ++waiter) {
            const auto connection = find_idle(p, *waiter);
            if (connection != p.idle.end()) {
                const pool_waiter w = *waiter;
                queue.erase(waiter);
                hand_out(p, w, connection, actions);
                return true;
            }
            if (is_passed_over(p, *waiter, now)) {
                return false;
            }
        }
    }
    return false;
}

void serve_waiters(pool_state& p, time_point now, pool_actions& actions) {
    while (!p.idle.empty() && free_places(p.limit, use_of(p)) > 0 && serve_next(p, now, actions)) {
    }
}

void open_one(pool_state& p, const workspace_id& workspace, connection_number& next_connection,
              pool_actions& actions) {
    const connection_number c = next_connection++;
    p.opening.insert(c);
    p.owners[c] = workspace;
    actions.emplace_back(open_connection{.connection = c, .workspace = workspace});
}

// Forgets whose a connection was that is open no more.
void close_one(pool_state& p, connection_number c, pool_actions& actions) {
    p.owners.erase(c);
    actions.emplace_back(close_connection{c});
}

// Room for one more: a part of the share that is not open, or an idle connection, the one used longest ago,
// that nobody in line can use.
bool make_room(pool_state& p, pool_actions& actions) {
    if (open_count(p) < p.share) {
        return true;
    }
    if (p.idle.empty() || open_count(p) > p.share) {
        return false;
    }
    const connection_number oldest = p.idle.front();
    p.idle.erase(p.idle.begin());
    close_one(p, oldest, actions);
    return true;
}

// How many connections of each workspace are on their way.
std::map<workspace_id, unsigned> count_opening(const pool_state& p) {
    std::map<workspace_id, unsigned> count;
    for (const connection_number c : p.opening) {
        ++count[p.owners.at(c)];
    }
    return count;
}

// Opens one for each waiter, and a spare: opening takes longer than most statements. Not for workspaces, of
// which nobody knows which one asks next.
void open_for_waiters(pool_state& p, time_point now, connection_number& next_connection,
                      pool_actions& actions) {
    if (now < p.open_retry_at) {
        return;
    }
    const unsigned spare = p.idle.empty() && !p.busy.empty() ? 1 : 0;
    unsigned useful = p.turned_away > 0 ? std::min(waiting_count(p), 1U) : waiting_count(p) + spare;
    useful = std::min(useful, free_places(p.limit, {.running = running_count(p)}));
    std::map<workspace_id, unsigned> coming = count_opening(p);
    for (const auto& queue : p.waiting) {
        for (const pool_waiter& w : queue) {
            if (p.opening.size() >= useful) {
                return;
            }
            if (find_idle(p, w) != p.idle.end()) {
                continue; // is held back for another reason
            }
            if (coming[w.workspace] > 0) {
                --coming[w.workspace];
            } else if (make_room(p, actions)) {
                open_one(p, w.workspace, next_connection, actions);
            } else {
                return;
            }
        }
    }
    const bool may_spare = std::all_of(p.owners.begin(), p.owners.end(),
                                       [](const auto& owner) { return owner.second.value.empty(); });
    while (may_spare && open_count(p) < p.share && p.opening.size() < useful) {
        open_one(p, {}, next_connection, actions);
    }
}

void close_surplus(pool_state& p, pool_actions& actions) {
    while (open_count(p) > p.share && !p.idle.empty()) {
        const connection_number oldest = p.idle.front();
        p.idle.erase(p.idle.begin());
        close_one(p, oldest, actions);
    }
}

// Waiting and idle places since the last look, which stood as they were then.
void note_places(pool_state& p, time_point now) {
    place_use& u = p.use;
    if (u.as_of != time_point{} && now > u.as_of) {
        const duration passed = now - u.as_of;
        u.waited += passed * u.waiting;
        u.idle_while_waiting += u.waiting > 0 ? passed * u.free : duration{0};
        u.counted += passed * u.permits;
    }
    const unsigned free = free_places(p.limit, use_of(p));
    u.as_of = now;
    u.waiting = waiting_count(p);
    u.permits = p.limit.permits;
    u.free = p.limit.permits == 0 ? 0 : free;
}

void settle(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions) {
    serve_waiters(p, now, actions);
    close_surplus(p, actions);
    open_for_waiters(p, now, next_connection, actions);
    serve_waiters(p, now, actions); // what was kept for an opening and is left
    note_places(p, now);
}

void refuse_all(pool_state& p, result_code code, duration retry_after, pool_actions& actions) {
    for (auto& queue : p.waiting) {
        for (const pool_waiter& w : queue) {
            actions.emplace_back(
                refuse_request{.request = w.request, .code = code, .retry_after = retry_after});
        }
        queue.clear();
    }
}

bool goes_before(const pool_waiter& a, const pool_waiter& b) {
    return std::tie(a.objective, a.deadline) < std::tie(b.objective, b.deadline);
}

std::size_t waiting_before(const pool_state& p, const pool_waiter& w) {
    std::size_t before = 0;
    for (std::size_t i = 0; i < static_cast<std::size_t>(w.klass); ++i) {
        before += p.waiting.at(i).size();
    }
    const auto& same = p.waiting.at(static_cast<std::size_t>(w.klass));
    return before + static_cast<std::size_t>(std::count_if(same.begin(), same.end(), [&w](const auto& other) {
               return !goes_before(w, other);
           }));
}

// How long a new waiter will wait until one of these places is free: those before it and itself, less the
// free ones, each for its part of the time that a place is taken.
duration wait_for_place(std::int64_t before, std::int64_t places, std::int64_t taken, duration held) {
    const std::int64_t first =
        std::max<std::int64_t>(0, before + 1 - std::max<std::int64_t>(0, places - taken));
    return held * first / places;
}

// It needs a connection, which a transaction holds also while it rests, and where the server is crowded, one
// of the statements that may run at once.
duration expected_wait(const pool_state& p, const pool_waiter& w) {
    const auto before = static_cast<std::int64_t>(waiting_before(p, w));
    const bool is_background = w.klass == request_class::background;
    const std::int64_t connections =
        std::max(1U, is_background ? std::min(p.share, background_limit(p)) : p.share);
    const auto busy = static_cast<std::int64_t>(is_background ? p.busy_background.size() : p.busy.size());
    const duration for_connection = wait_for_place(before, connections, busy, p.service_time);
    const unsigned most = places(p.limit);
    if (most == 0) {
        return for_connection;
    }
    return std::max(for_connection, wait_for_place(before, most, running_count(p), p.limit.usual_answer));
}

// The latest moment at which it may be sent. As many answers take longer than usual as do not, so half as
// long again is allowed for it. Critical requests are sent as long as anybody waits for them: they go first,
// so they take little from the others.
time_point latest_sending(const pool_state& p, const pool_waiter& w) {
    if (w.answer_by == time_point{} || w.klass == request_class::critical) {
        return w.deadline;
    }
    const duration usual = p.limit.times.at(static_cast<std::size_t>(w.klass)).usual;
    return std::min(w.deadline, w.answer_by - usual * 3 / 2);
}

void put_in_queue(pool_state& p, const pool_waiter& w) {
    auto& queue = queue_of(p, w.klass);
    const auto later = std::upper_bound(queue.begin(), queue.end(), w, goes_before);
    queue.insert(later, w);
}

} // namespace

unsigned open_count(const pool_state& p) {
    return static_cast<unsigned>(p.idle.size() + p.opening.size() + p.busy.size());
}

unsigned running_count(const pool_state& p) {
    return static_cast<unsigned>(p.busy.size() - p.resting.size());
}

unsigned waiting_count(const pool_state& p) {
    std::size_t count = 0;
    for (const auto& queue : p.waiting) {
        count += queue.size();
    }
    return static_cast<unsigned>(count);
}

void request_connection(pool_state& p, const pool_waiter& w, time_point now,
                        connection_number& next_connection, pool_actions& actions) {
    const duration wait = expected_wait(p, w);
    if (waiting_count(p) >= p.max_waiting) {
        actions.emplace_back(
            refuse_request{.request = w.request, .code = result_code::queue_full, .retry_after = wait});
        return;
    }
    const auto starved = p.starved_until.find({.klass = w.klass, .objective = w.objective});
    if (starved != p.starved_until.end() && now < starved->second && waiting_before(p, w) > 0) {
        actions.emplace_back(refuse_request{
            .request = w.request, .code = result_code::overloaded, .retry_after = starved->second - now});
        return;
    }
    const bool opens_first = std::none_of(p.owners.begin(), p.owners.end(), [&](const auto& owner) {
        return (w.any_workspace || owner.second == w.workspace) && !p.opening.contains(owner.first);
    });
    if (now + wait + (opens_first ? expected_open_time : duration{0}) > latest_sending(p, w)) {
        actions.emplace_back(refuse_request{.request = w.request,
                                            .code = result_code::overloaded,
                                            .retry_after = std::max(wait, expected_open_time)});
        return;
    }
    pool_waiter waiter = w;
    waiter.since = now;
    if (!w.any_workspace) {
        p.asked_at[w.workspace] = now;
    }
    put_in_queue(p, waiter);
    note_demand(p, now);
    settle(p, now, next_connection, actions);
}

void cancel_request(pool_state& p, request_number request) {
    for (auto& queue : p.waiting) {
        std::erase_if(queue, [request](const pool_waiter& w) { return w.request == request; });
    }
}

void connection_opened(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions) {
    if (p.opening.erase(c) == 0) {
        return;
    }
    p.idle.push_back(c);
    p.turned_away = 0;
    settle(p, now, next_connection, actions);
}

void connection_turned_away(pool_state& p, connection_number c, time_point now,
                            connection_number& next_connection, pool_actions& actions) {
    p.turned_away = std::min(p.turned_away + 1, max_turned_away_pauses);
    connection_failed(p, c, now, next_connection, actions);
    p.open_retry_at = now + open_retry_pause * p.turned_away;
}

bool is_turned_away(const pool_state& p) {
    return p.turned_away > 0 && p.idle.empty() && p.busy.empty();
}

void look_for_room(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions) {
    if (now >= p.open_retry_at && p.opening.empty() && open_count(p) < p.share) {
        open_one(p, {}, next_connection, actions);
    }
}

void connection_failed(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions) {
    p.opening.erase(c);
    p.owners.erase(c);
    std::erase(p.idle, c);
    p.open_retry_at = now + open_retry_pause;
    if (open_count(p) == 0) {
        refuse_all(p, result_code::connection_lost, open_retry_pause, actions);
    }
    settle(p, now, next_connection, actions);
}

void statement_ended(pool_state& p, connection_number c, const statement_end& end, time_point now,
                     connection_number& next_connection, pool_actions& actions) {
    if (!p.busy.contains(c)) {
        return;
    }
    if (end.crowded) {
        note_crowded(p.limit, running_count(p), now);
    } else {
        note_statement_answered(
            p.limit, {.took = end.took, .klass = static_cast<std::size_t>(end.klass), .share = p.share}, now);
    }
    if (end.stays) {
        p.resting.insert(c);
    }
    settle(p, now, next_connection, actions);
}

void statement_begun(pool_state& p, connection_number c) {
    p.resting.erase(c);
}

void release_connection(pool_state& p, connection_number c, bool reusable, duration used_for, time_point now,
                        connection_number& next_connection, pool_actions& actions) {
    if (p.busy.erase(c) == 0) {
        return;
    }
    p.busy_background.erase(c);
    p.resting.erase(c);
    p.service_time += (used_for - p.service_time) / smoothing;
    if (reusable) {
        p.idle.push_back(c);
    } else {
        close_one(p, c, actions);
    }
    settle(p, now, next_connection, actions);
}

void set_permits(pool_state& p, unsigned permits, unsigned elsewhere, time_point now,
                 connection_number& next_connection, pool_actions& actions) {
    p.limit.permits = permits;
    p.limit.elsewhere = elsewhere;
    settle(p, now, next_connection, actions);
}

void set_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
               pool_actions& actions) {
    p.share = share;
    settle(p, now, next_connection, actions);
}

void revoke_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
                  pool_actions& actions) {
    p.share = share;
    while (open_count(p) > share && !p.opening.empty()) {
        const connection_number c = *p.opening.begin();
        p.opening.erase(p.opening.begin());
        close_one(p, c, actions);
    }
    close_surplus(p, actions);
    while (open_count(p) > share && !p.busy.empty()) {
        const connection_number c = *p.busy.begin();
        p.busy.erase(c);
        p.busy_background.erase(c);
        p.resting.erase(c);
        close_one(p, c, actions);
    }
    if (share == 0) {
        refuse_all(p, result_code::no_lease, lost_share_pause, actions);
    }
    settle(p, now, next_connection, actions);
}

void expire_waiters(pool_state& p, time_point now, connection_number& next_connection,
                    pool_actions& actions) {
    const auto is_hopeless = [&p, now](const pool_waiter& w) { return now >= latest_sending(p, w); };
    for (auto& queue : p.waiting) {
        for (const pool_waiter& w : queue) {
            if (is_hopeless(w)) {
                p.starved_until[{.klass = w.klass, .objective = w.objective}] = now + w.objective;
                actions.emplace_back(refuse_request{.request = w.request,
                                                    .code = result_code::deadline_passed,
                                                    .retry_after = p.service_time});
            }
        }
        std::erase_if(queue, is_hopeless);
    }
    std::erase_if(p.starved_until, [now](const auto& kind) { return now >= kind.second; });
    settle(p, now, next_connection, actions);
}

unsigned take_peak_demand(pool_state& p, time_point now) {
    note_demand(p, now);
    if (now - p.peak_at > demand_memory && p.peak_demand > 0) {
        --p.peak_demand; // gives back one connection at a time
        p.peak_at = now - demand_memory + demand_step;
    }
    std::erase_if(p.asked_at, [now](const auto& a) { return now - a.second > workspace_memory; });
    return std::max(p.peak_demand, static_cast<unsigned>(p.asked_at.size()));
}

} // namespace larchpin
