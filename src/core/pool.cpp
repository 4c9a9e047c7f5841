#include "core/pool.hpp"

#include <algorithm>
#include <optional>

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

bool may_use(const pool_state& p, const queued_request& w, connection_number c) {
    return w.any_workspace || p.owners.at(c) == w.workspace;
}

// The idle connection for this waiter that was used last; the end where it has none.
std::vector<connection_number>::iterator find_idle(pool_state& p, const queued_request& w) {
    const auto found =
        std::find_if(p.idle.rbegin(), p.idle.rend(), [&](connection_number c) { return may_use(p, w, c); });
    return found == p.idle.rend() ? p.idle.end() : std::prev(found.base());
}

void hand_out(pool_state& p, const queued_request& w, std::vector<connection_number>::iterator at,
              pool_actions& actions) {
    const connection_number c = *at;
    p.idle.erase(at);
    p.busy.insert(c);
    if (w.klass == request_class::background) {
        p.busy_background.insert(c);
    }
    if (!w.any_workspace) {
        p.charged[c] = {.cost = w.cost, .weight = w.weight};
    }
    actions.emplace_back(use_connection{.request = w.request, .connection = c});
}

bool is_opening_for(const pool_state& p, const workspace_id& workspace) {
    return std::any_of(p.opening.begin(), p.opening.end(),
                       [&](connection_number c) { return p.owners.at(c) == workspace; });
}

// Its workspace pays for what the statement took, less what it paid when the request was sent.
void note_charge(pool_state& p, connection_number c, duration took) {
    const auto charged = p.charged.find(c);
    if (charged != p.charged.end()) {
        note_used(p.queue, p.owners.at(c),
                  {.took = took, .charged = charged->second.cost, .weight = charged->second.weight});
        charged->second.cost = {};
    }
}

// Statements wait here for a place at the server. Otherwise they may wait at the server, nobody knows how
// long.
bool counts_places(const pool_state& p) {
    return places(p.limit) > 0;
}

// Others have gone before it for as long as an opening takes: the next connection that comes free makes room
// for it. Where places at the server are counted, it is a place for its opening that it lacks.
bool is_passed_over(const pool_state& p, const queued_request& w, time_point now) {
    const bool lacks_place = counts_places(p) && now >= p.open_retry_at;
    return now - w.since >= expected_open_time && (open_count(p) >= p.share || lacks_place) &&
           !is_opening_for(p, w.workspace);
}

// Hands out to the first waiter in line that has an idle connection. False where there is none, or it would
// pass over another one for too long, or only background has one and has its part already.
bool serve_next(pool_state& p, time_point now, pool_actions& actions) {
    for (const std::size_t i : order_requests(p.queue, now)) {
        const queued_request& waiter = p.queue.waiting[i];
        if (waiter.klass == request_class::background && background_is_full(p)) {
            continue;
        }
        const auto connection = find_idle(p, waiter);
        if (connection != p.idle.end()) {
            const queued_request w = waiter;
            note_sent(p.queue, w.request, now);
            hand_out(p, w, connection, actions);
            return true;
        }
        if (is_passed_over(p, waiter, now)) {
            return false;
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
    if (p.opening.size() >= useful) {
        return;
    }
    std::map<workspace_id, unsigned> coming = count_opening(p);
    for (const std::size_t i : order_requests(p.queue, now)) {
        const queued_request& w = p.queue.waiting[i];
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
    for (const queued_request& w : p.queue.waiting) {
        actions.emplace_back(refuse_request{.request = w.request, .code = code, .retry_after = retry_after});
    }
    p.queue.waiting.clear();
}

duration usual_answer(const pool_state& p, request_class klass) {
    return p.limit.times.at(static_cast<std::size_t>(klass)).usual;
}

// Its expected time at the server: that of its class, or while none of that was answered, of any.
duration expected_cost(const pool_state& p, request_class klass) {
    const duration usual = usual_answer(p, klass);
    if (usual > duration{0}) {
        return usual;
    }
    return p.limit.usual_answer > duration{0} ? p.limit.usual_answer : p.service_time;
}

// As many answers take longer than usual as do not, so half as long again is allowed for it.
duration time_for_answer(const pool_state& p, const queued_request& w) {
    return usual_answer(p, w.klass) * 3 / 2;
}

// A request that waits needs a connection, which a transaction holds also while it rests, and where the
// server is crowded, one of the statements that may run at once.
duration wait_of(const pool_state& p, const queued_request& w, time_point now) {
    const bool is_background = w.klass == request_class::background;
    const unsigned connections =
        std::max(1U, is_background ? std::min(p.share, background_limit(p)) : p.share);
    const auto busy = static_cast<unsigned>(is_background ? p.busy_background.size() : p.busy.size());
    const duration for_connection = expected_wait(
        p.queue, w.request, {.places = connections, .taken = busy, .held = p.service_time}, now);
    if (!counts_places(p)) {
        return for_connection;
    }
    return std::max(for_connection,
                    expected_wait(p.queue, w.request,
                                  {.places = places(p.limit), .taken = running_count(p), .held = {}}, now));
}

bool is_critical(const queued_request& w) {
    return w.klass <= request_class::critical;
}

// Critical requests are sent as long as anybody waits for them: they go first, so they take little from the
// others. What is patient and already late would only make those late that still can be in time.
time_point served_until(const queued_request& w) {
    const bool may_be_late = is_critical(w) || w.answer_by == time_point{};
    return may_be_late ? w.deadline : std::min(w.deadline, w.answer_by);
}

// The latest moment at which it may be sent.
time_point latest_sending(const pool_state& p, const queued_request& w) {
    return is_critical(w) ? w.deadline : served_until(w) - time_for_answer(p, w);
}

// Puts it into the queue, as what the pool knows of its kind.
void put_in_queue(pool_state& p, const queued_request& w, time_point now) {
    queued_request waiter = w;
    waiter.since = now;
    waiter.given_up = served_until(w);
    waiter.cost = expected_cost(p, w.klass);
    if (counts_places(p) && w.answer_by != time_point{}) {
        // At once late it is not, whatever its class takes.
        waiter.in_time = std::max(now, w.answer_by - time_for_answer(p, w));
    }
    add_request(p.queue, waiter);
}

bool goes_first(const pool_state& p, request_number request, time_point now) {
    const auto order = order_requests(p.queue, now);
    return p.queue.waiting[order.front()].request == request;
}

// Until all that waits is done.
duration time_for_queue(const pool_state& p) {
    const unsigned at_once = counts_places(p) ? places(p.limit) : std::max(1U, p.share);
    const duration one = counts_places(p) ? p.limit.usual_answer : p.service_time;
    return std::max(one * waiting_count(p) / at_once, expected_open_time);
}

// Nothing where the request, which is in the queue, may wait.
std::optional<refuse_request> refuse_at_once(const pool_state& p, const queued_request& w, time_point now) {
    const auto starved = p.starved_until.find({.klass = w.klass, .objective = w.objective});
    if (starved != p.starved_until.end() && now < starved->second && !goes_first(p, w.request, now)) {
        return refuse_request{
            .request = w.request, .code = result_code::overloaded, .retry_after = starved->second - now};
    }
    const bool opens_first = std::none_of(p.owners.begin(), p.owners.end(), [&](const auto& owner) {
        return (w.any_workspace || owner.second == w.workspace) && !p.opening.contains(owner.first);
    });
    const duration wait = wait_of(p, w, now) + (opens_first ? expected_open_time : duration{0});
    if (now + wait > latest_sending(p, w)) {
        // Then there is room for one like it.
        return refuse_request{.request = w.request,
                              .code = result_code::overloaded,
                              .retry_after = std::max(wait, expected_open_time)};
    }
    return std::nullopt;
}

} // namespace

unsigned open_count(const pool_state& p) {
    return static_cast<unsigned>(p.idle.size() + p.opening.size() + p.busy.size());
}

unsigned running_count(const pool_state& p) {
    return static_cast<unsigned>(p.busy.size() - p.resting.size());
}

unsigned waiting_count(const pool_state& p) {
    return static_cast<unsigned>(p.queue.waiting.size());
}

void request_connection(pool_state& p, const queued_request& w, time_point now,
                        connection_number& next_connection, pool_actions& actions) {
    if (waiting_count(p) >= p.max_waiting) {
        actions.emplace_back(refuse_request{
            .request = w.request, .code = result_code::queue_full, .retry_after = time_for_queue(p)});
        return;
    }
    put_in_queue(p, w, now);
    if (const auto refusal = refuse_at_once(p, w, now)) {
        remove_request(p.queue, w.request);
        actions.emplace_back(*refusal);
        return;
    }
    if (!w.any_workspace) {
        p.asked_at[w.workspace] = now;
    }
    note_demand(p, now);
    settle(p, now, next_connection, actions);
}

void cancel_request(pool_state& p, request_number request) {
    remove_request(p.queue, request);
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
        note_charge(p, c, end.took);
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
    p.charged.erase(c);
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
        p.charged.erase(c);
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
    const auto is_hopeless = [&p, now](const queued_request& w) { return now >= latest_sending(p, w); };
    for (const queued_request& w : p.queue.waiting) {
        if (!is_hopeless(w)) {
            continue;
        }
        if (!is_critical(w) && !counts_places(p)) {
            p.starved_until[{.klass = w.klass, .objective = w.objective}] = now + w.objective;
        }
        actions.emplace_back(refuse_request{
            .request = w.request, .code = result_code::deadline_passed, .retry_after = p.service_time});
    }
    std::erase_if(p.queue.waiting, is_hopeless);
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
