#include "core/pool.hpp"

#include <algorithm>
#include <optional>

namespace larchpin {
namespace {

constexpr duration open_retry_backoff = std::chrono::milliseconds{50};
// Maximum backoff after rejected openings, in multiples of open_retry_backoff. Servers count lost connections
// for seconds (3 s on the users' platform), and each attempt costs the server work.
constexpr unsigned max_backoff_steps = 4;
constexpr duration expected_open_time = std::chrono::milliseconds{15};
constexpr duration lost_share_retry_after = std::chrono::milliseconds{500};
constexpr duration demand_window = std::chrono::seconds{5}; // half the period of a typical load wave
// A workspace that sends requests less often than this usually finds its connection closed for another
// workspace.
constexpr duration workspace_retention = std::chrono::seconds{10};
constexpr duration demand_decay_interval = std::chrono::seconds{1}; // per connection
constexpr int smoothing = 8; // weight of a new service time is 1/8 (EWMA)

unsigned background_limit(const pool_state& p) {
    return std::max(1U, p.share * p.background_share / 100);
}

bool background_is_full(const pool_state& p) {
    return p.busy_background.size() >= background_limit(p);
}

occupied_slots count_occupied(const pool_state& p) {
    return {.running = running_count(p), .opening = static_cast<unsigned>(p.opening.size())};
}

void record_demand(pool_state& p, time_point now) {
    const auto demand = static_cast<unsigned>(p.busy.size()) + waiting_count(p);
    if (demand >= p.peak_demand) {
        p.peak_demand = demand;
        p.peak_at = now;
    }
}

bool can_serve(const pool_state& p, const queued_request& w, connection_number c) {
    return w.any_workspace || p.owners.at(c) == w.workspace;
}

// Returns the most recently used idle connection that can serve this waiter, or end().
std::vector<connection_number>::iterator find_idle(pool_state& p, const queued_request& w) {
    const auto found =
        std::find_if(p.idle.rbegin(), p.idle.rend(), [&](connection_number c) { return can_serve(p, w, c); });
    return found == p.idle.rend() ? p.idle.end() : std::prev(found.base());
}

void assign_idle(pool_state& p, const queued_request& w, std::vector<connection_number>::iterator at,
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
    actions.emplace_back(assign_connection{.request = w.request, .connection = c});
}

bool is_opening_for(const pool_state& p, const workspace_id& workspace) {
    return std::any_of(p.opening.begin(), p.opening.end(),
                       [&](connection_number c) { return p.owners.at(c) == workspace; });
}

// Charges the workspace the statement's actual server time, less the expected cost that was charged when the
// request was sent.
void apply_actual_cost(pool_state& p, connection_number c, duration took) {
    const auto charged = p.charged.find(c);
    if (charged != p.charged.end()) {
        record_actual_cost(p.queue, p.owners.at(c),
                           {.took = took, .charged = charged->second.cost, .weight = charged->second.weight});
        charged->second.cost = {};
    }
}

// Returns whether statements wait in this queue for a slot. Otherwise they may wait at the server for an
// unknown time.
bool limits_concurrency(const pool_state& p) {
    return concurrency_limit(p.limit) > 0;
}

// Returns whether other requests have bypassed this one for as long as an opening takes; the next idle
// connection is then closed to open one for it. Under a concurrency limit the request lacks a slot for its
// opening.
bool is_passed_over(const pool_state& p, const queued_request& w, time_point now) {
    const bool lacks_slot = limits_concurrency(p) && now >= p.open_retry_at;
    return now - w.queued_at >= expected_open_time && (open_count(p) >= p.share || lacks_slot) &&
           !is_opening_for(p, w.workspace);
}

// Assigns an idle connection to the first waiter that can use one. Returns false if no waiter can, if it
// would bypass an earlier waiter for too long, or if only background waiters can and their limit is reached.
bool serve_next(pool_state& p, time_point now, pool_actions& actions) {
    for (const std::size_t i : order_requests(p.queue, now)) {
        const queued_request& waiter = p.queue.waiting[i];
        if (waiter.klass == request_class::background && background_is_full(p)) {
            continue;
        }
        const auto connection = find_idle(p, waiter);
        if (connection != p.idle.end()) {
            const queued_request w = waiter;
            record_sent(p.queue, w.request, now);
            assign_idle(p, w, connection, actions);
            return true;
        }
        if (is_passed_over(p, waiter, now)) {
            return false;
        }
    }
    return false;
}

void serve_waiters(pool_state& p, time_point now, pool_actions& actions) {
    while (!p.idle.empty() && free_slots(p.limit, count_occupied(p)) > 0 && serve_next(p, now, actions)) {
    }
}

void open_one(pool_state& p, const workspace_id& workspace, connection_number& next_connection,
              pool_actions& actions) {
    const connection_number c = next_connection++;
    p.opening.insert(c);
    p.owners[c] = workspace;
    actions.emplace_back(open_connection{.connection = c, .workspace = workspace});
}

// Adds the action that closes a connection, and removes its workspace entry.
void close_one(pool_state& p, connection_number c, pool_actions& actions) {
    p.owners.erase(c);
    actions.emplace_back(close_connection{c});
}

// Ensures that one more connection may be opened: part of the share is unused, or the least recently used
// idle connection, which no waiter can use, is closed.
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

// Returns the number of opening connections of each workspace.
std::map<workspace_id, unsigned> count_opening(const pool_state& p) {
    std::map<workspace_id, unsigned> count;
    for (const connection_number c : p.opening) {
        ++count[p.owners.at(c)];
    }
    return count;
}

// Opens one connection for each waiter, and a spare one, since opening takes longer than most statements. No
// spare is opened with workspaces: the workspace of the next request is unknown.
void open_for_waiters(pool_state& p, time_point now, connection_number& next_connection,
                      pool_actions& actions) {
    if (now < p.open_retry_at) {
        return;
    }
    const unsigned spare = p.idle.empty() && !p.busy.empty() ? 1 : 0;
    unsigned max_opening =
        p.consecutive_rejections > 0 ? std::min(waiting_count(p), 1U) : waiting_count(p) + spare;
    max_opening = std::min(max_opening, free_slots(p.limit, {.running = running_count(p)}));
    if (p.opening.size() >= max_opening) {
        return;
    }
    std::map<workspace_id, unsigned> opening = count_opening(p);
    for (const std::size_t i : order_requests(p.queue, now)) {
        const queued_request& w = p.queue.waiting[i];
        if (p.opening.size() >= max_opening) {
            return;
        }
        if (find_idle(p, w) != p.idle.end()) {
            continue; // an idle connection exists; the waiter is held back for another reason
        }
        if (opening[w.workspace] > 0) {
            --opening[w.workspace];
        } else if (make_room(p, actions)) {
            open_one(p, w.workspace, next_connection, actions);
        } else {
            return;
        }
    }
    const bool allows_spare = std::all_of(p.owners.begin(), p.owners.end(),
                                          [](const auto& owner) { return owner.second.value.empty(); });
    while (allows_spare && open_count(p) < p.share && p.opening.size() < max_opening) {
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

// Accumulates waiting and idle slot time since the last update, during which the counts were constant.
void update_slot_usage(pool_state& p, time_point now) {
    slot_usage& u = p.usage;
    if (u.updated_at != time_point{} && now > u.updated_at) {
        const duration passed = now - u.updated_at;
        u.waited += passed * u.waiting;
        u.idle_while_waiting += u.waiting > 0 ? passed * u.free : duration{0};
        u.slot_time += passed * u.permits;
    }
    const unsigned free = free_slots(p.limit, count_occupied(p));
    u.updated_at = now;
    u.waiting = waiting_count(p);
    u.permits = p.limit.permits;
    u.free = p.limit.permits == 0 ? 0 : free;
}

void process_queue(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions) {
    serve_waiters(p, now, actions);
    close_surplus(p, actions);
    open_for_waiters(p, now, next_connection, actions);
    serve_waiters(p, now, actions); // slots that openings left unused
    update_slot_usage(p, now);
}

void refuse_all(pool_state& p, result_code code, duration retry_after, pool_actions& actions) {
    for (const queued_request& w : p.queue.waiting) {
        actions.emplace_back(refuse_request{.request = w.request, .code = code, .retry_after = retry_after});
    }
    p.queue.waiting.clear();
}

duration smoothed_response_time(const pool_state& p, request_class klass) {
    return p.limit.response_times.at(static_cast<std::size_t>(klass)).smoothed;
}

// Returns the expected server time of a request: the response time of its class, or of all classes while its
// class has no sample.
duration expected_cost(const pool_state& p, request_class klass) {
    const duration smoothed = smoothed_response_time(p, klass);
    if (smoothed > duration{0}) {
        return smoothed;
    }
    return p.limit.smoothed_response_time > duration{0} ? p.limit.smoothed_response_time : p.service_time;
}

// Responses exceed the smoothed response time as often as not, so half of it is added.
duration response_time_allowance(const pool_state& p, const queued_request& w) {
    return smoothed_response_time(p, w.klass) * 3 / 2;
}

// Returns the expected wait for both a connection, which a transaction holds also while idle, and a slot
// under the concurrency limit.
duration estimated_wait(const pool_state& p, const queued_request& w, time_point now) {
    const bool is_background = w.klass == request_class::background;
    const unsigned connections =
        std::max(1U, is_background ? std::min(p.share, background_limit(p)) : p.share);
    const auto busy = static_cast<unsigned>(is_background ? p.busy_background.size() : p.busy.size());
    const duration for_connection = expected_wait(
        p.queue, w.request, {.slots = connections, .in_use = busy, .hold_time = p.service_time}, now);
    if (!limits_concurrency(p)) {
        return for_connection;
    }
    return std::max(
        for_connection,
        expected_wait(p.queue, w.request,
                      {.slots = concurrency_limit(p.limit), .in_use = running_count(p), .hold_time = {}},
                      now));
}

bool is_critical(const queued_request& w) {
    return w.klass <= request_class::critical;
}

// Returns the time at which a waiting request is refused. Critical requests are sent until their deadline:
// they precede others, so they delay them little. A late request of a lower class would only delay requests
// that can still meet their objective.
time_point refusal_time(const queued_request& w) {
    const bool may_be_late = is_critical(w) || w.answer_by == time_point{};
    return may_be_late ? w.deadline : std::min(w.deadline, w.answer_by);
}

// Returns the latest time at which a request may be sent.
time_point latest_send_time(const pool_state& p, const queued_request& w) {
    return is_critical(w) ? w.deadline : refusal_time(w) - response_time_allowance(p, w);
}

// Adds a request to the queue, with the pool's estimates for its class.
void enqueue(pool_state& p, const queued_request& w, time_point now) {
    queued_request waiter = w;
    waiter.queued_at = now;
    waiter.refuse_at = refusal_time(w);
    waiter.cost = expected_cost(p, w.klass);
    if (limits_concurrency(p) && w.answer_by != time_point{}) {
        // A request is not late on arrival, whatever the response time of its class.
        waiter.on_time_until = std::max(now, w.answer_by - response_time_allowance(p, w));
    }
    add_request(p.queue, waiter);
}

bool is_first_in_queue(const pool_state& p, request_number request, time_point now) {
    const auto order = order_requests(p.queue, now);
    return p.queue.waiting[order.front()].request == request;
}

// Returns the expected time until all waiting requests are served.
duration queue_drain_time(const pool_state& p) {
    const unsigned at_once = limits_concurrency(p) ? concurrency_limit(p.limit) : std::max(1U, p.share);
    const duration one = limits_concurrency(p) ? p.limit.smoothed_response_time : p.service_time;
    return std::max(one * waiting_count(p) / at_once, expected_open_time);
}

// Returns the refusal of a queued request that cannot be served in time, or nullopt if it may wait.
std::optional<refuse_request> refuse_on_arrival(const pool_state& p, const queued_request& w,
                                                time_point now) {
    const auto overload = p.overloaded_until.find({.klass = w.klass, .objective = w.objective});
    if (overload != p.overloaded_until.end() && now < overload->second &&
        !is_first_in_queue(p, w.request, now)) {
        return refuse_request{
            .request = w.request, .code = result_code::overloaded, .retry_after = overload->second - now};
    }
    const bool needs_opening = std::none_of(p.owners.begin(), p.owners.end(), [&](const auto& owner) {
        return (w.any_workspace || owner.second == w.workspace) && !p.opening.contains(owner.first);
    });
    const duration wait = estimated_wait(p, w, now) + (needs_opening ? expected_open_time : duration{0});
    if (now + wait > latest_send_time(p, w)) {
        // A similar request can be served after this time.
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
    return static_cast<unsigned>(p.busy.size() - p.idle_in_transaction.size());
}

unsigned waiting_count(const pool_state& p) {
    return static_cast<unsigned>(p.queue.waiting.size());
}

void request_connection(pool_state& p, const queued_request& w, time_point now,
                        connection_number& next_connection, pool_actions& actions) {
    if (waiting_count(p) >= p.max_waiting) {
        actions.emplace_back(refuse_request{
            .request = w.request, .code = result_code::queue_full, .retry_after = queue_drain_time(p)});
        return;
    }
    enqueue(p, w, now);
    if (const auto refusal = refuse_on_arrival(p, w, now)) {
        remove_request(p.queue, w.request);
        actions.emplace_back(*refusal);
        return;
    }
    if (!w.any_workspace) {
        p.last_request_at[w.workspace] = now;
    }
    record_demand(p, now);
    process_queue(p, now, next_connection, actions);
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
    p.consecutive_rejections = 0;
    process_queue(p, now, next_connection, actions);
}

void connection_limit_reached(pool_state& p, connection_number c, time_point now,
                              connection_number& next_connection, pool_actions& actions) {
    p.consecutive_rejections = std::min(p.consecutive_rejections + 1, max_backoff_steps);
    connection_failed(p, c, now, next_connection, actions);
    p.open_retry_at = now + open_retry_backoff * p.consecutive_rejections;
}

bool is_server_full(const pool_state& p) {
    return p.consecutive_rejections > 0 && p.idle.empty() && p.busy.empty();
}

void try_open(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions) {
    if (now >= p.open_retry_at && p.opening.empty() && open_count(p) < p.share) {
        open_one(p, {}, next_connection, actions);
    }
}

void connection_failed(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions) {
    p.opening.erase(c);
    p.owners.erase(c);
    std::erase(p.idle, c);
    p.open_retry_at = now + open_retry_backoff;
    if (open_count(p) == 0) {
        refuse_all(p, result_code::connection_lost, open_retry_backoff, actions);
    }
    process_queue(p, now, next_connection, actions);
}

void statement_ended(pool_state& p, connection_number c, const statement_end& end, time_point now,
                     connection_number& next_connection, pool_actions& actions) {
    if (!p.busy.contains(c)) {
        return;
    }
    if (end.overloaded) {
        record_overload(p.limit, running_count(p), now);
    } else {
        apply_actual_cost(p, c, end.took);
        record_statement_answered(
            p.limit, {.took = end.took, .klass = static_cast<std::size_t>(end.klass), .share = p.share}, now);
    }
    if (end.in_transaction) {
        p.idle_in_transaction.insert(c);
    }
    process_queue(p, now, next_connection, actions);
}

void statement_started(pool_state& p, connection_number c) {
    p.idle_in_transaction.erase(c);
}

void release_connection(pool_state& p, connection_number c, bool reusable, duration hold_time, time_point now,
                        connection_number& next_connection, pool_actions& actions) {
    if (p.busy.erase(c) == 0) {
        return;
    }
    p.busy_background.erase(c);
    p.charged.erase(c);
    p.idle_in_transaction.erase(c);
    p.service_time += (hold_time - p.service_time) / smoothing;
    if (reusable) {
        p.idle.push_back(c);
    } else {
        close_one(p, c, actions);
    }
    process_queue(p, now, next_connection, actions);
}

void set_permits(pool_state& p, unsigned permits, unsigned used_by_other_pools, time_point now,
                 connection_number& next_connection, pool_actions& actions) {
    p.limit.permits = permits;
    p.limit.used_by_other_pools = used_by_other_pools;
    process_queue(p, now, next_connection, actions);
}

void set_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
               pool_actions& actions) {
    p.share = share;
    process_queue(p, now, next_connection, actions);
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
        p.idle_in_transaction.erase(c);
        close_one(p, c, actions);
    }
    if (share == 0) {
        refuse_all(p, result_code::no_lease, lost_share_retry_after, actions);
    }
    process_queue(p, now, next_connection, actions);
}

void expire_waiters(pool_state& p, time_point now, connection_number& next_connection,
                    pool_actions& actions) {
    const auto is_expired = [&p, now](const queued_request& w) { return now >= latest_send_time(p, w); };
    for (const queued_request& w : p.queue.waiting) {
        if (!is_expired(w)) {
            continue;
        }
        if (!is_critical(w) && !limits_concurrency(p)) {
            p.overloaded_until[{.klass = w.klass, .objective = w.objective}] = now + w.objective;
        }
        actions.emplace_back(refuse_request{
            .request = w.request, .code = result_code::deadline_passed, .retry_after = p.service_time});
    }
    std::erase_if(p.queue.waiting, is_expired);
    std::erase_if(p.overloaded_until, [now](const auto& kind) { return now >= kind.second; });
    process_queue(p, now, next_connection, actions);
}

unsigned take_peak_demand(pool_state& p, time_point now) {
    record_demand(p, now);
    if (now - p.peak_at > demand_window && p.peak_demand > 0) {
        --p.peak_demand; // reduces the demand by one connection per interval
        p.peak_at = now - demand_window + demand_decay_interval;
    }
    std::erase_if(p.last_request_at, [now](const auto& a) { return now - a.second > workspace_retention; });
    return std::max(p.peak_demand, static_cast<unsigned>(p.last_request_at.size()));
}

} // namespace larchpin
