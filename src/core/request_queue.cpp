// See request_queue.hpp.
//
// Index
//   [ranks]  [updates]  [order]  [wait estimate]
#include "core/request_queue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>

namespace larchpin {
namespace {

constexpr double ns_per_ms = 1e6;
// Time constant of the load's exponential decay. A load peak lasts for seconds, so the last half second
// predicts the near future.
constexpr duration load_time_constant = std::chrono::milliseconds{500};
// Lower bound of the server's free fraction in wait estimates; keeps them finite when higher classes use all
// of it.
constexpr double min_share = 0.01;
// Workspaces with less recent work are removed from workspace_load.
constexpr double min_recent_ms = 0.1;
// Waits exceed their estimate as often as they fall below it; this factor is the allowance for the excess.
constexpr double wait_safety_factor = 1.33;
// Each step of priority doubles the weight up to this maximum.
constexpr unsigned max_weight = 8;

double to_ms(duration d) {
    return static_cast<double>(d.count()) / ns_per_ms;
}

duration from_ms(double ms) {
    return duration{static_cast<std::int64_t>(ms * ns_per_ms)};
}

//-----------------------------------------------------------------------------
// [ranks]
//-----------------------------------------------------------------------------

// Sort key of class and lateness: all requests of one rank precede those of the next.
struct rank {
    request_class klass = request_class::urgent;
    unsigned late = 0; // 1 = late
    auto operator<=>(const rank&) const = default;
};

rank rank_of(const queued_request& r, time_point now) {
    return {.klass = r.klass, .late = is_late(r, now) ? 1U : 0U};
}

duration max_wait(const queued_request& r) {
    return (r.refuse_at == time_point{} ? r.deadline : r.refuse_at) - r.queued_at;
}

// Returns the time from which a request may use the share reserved for aged requests.
time_point aged_from(const queued_request& r) {
    return r.queued_at + max_wait(r) / aging_wait_divisor;
}

double waited_fraction(const queued_request& r, time_point now) {
    return static_cast<double>((now - r.queued_at).count()) /
           static_cast<double>(std::max<std::int64_t>(1, max_wait(r).count()));
}

rank first_rank(const request_queue& q, time_point now) {
    rank first{.klass = request_class::background, .late = 1};
    for (const queued_request& r : q.waiting) {
        first = std::min(first, rank_of(r, now));
    }
    return first;
}

bool is_aged(const queued_request& r, const rank& first, time_point now) {
    return now >= aged_from(r) && rank_of(r, now) > first;
}

// Returns the index of the aged request to send next: round-robin between classes, so that no class takes the
// whole reserved share, and within a class the request that has waited the largest fraction of its maximum
// wait.
std::optional<std::size_t> next_aged(const request_queue& q, time_point now) {
    const rank first = first_rank(q, now);
    std::array<std::optional<std::size_t>, request_class_count> longest;
    for (std::size_t i = 0; i < q.waiting.size(); ++i) {
        const queued_request& r = q.waiting[i];
        auto& of_class = longest.at(static_cast<std::size_t>(r.klass));
        const bool longer = !of_class || waited_fraction(r, now) > waited_fraction(q.waiting[*of_class], now);
        if (longer && is_aged(r, first, now)) {
            of_class = i;
        }
    }
    for (std::size_t i = 1; i <= request_class_count; ++i) {
        const auto& of_class =
            longest.at((static_cast<std::size_t>(q.last_aged_class) + i) % request_class_count);
        if (of_class) {
            return of_class;
        }
    }
    return std::nullopt;
}

// Returns the virtual start time of the request's workspace (ms of server time divided by weight).
double virtual_start(const request_queue& q, const queued_request& r) {
    if (r.any_workspace) {
        return q.virtual_time;
    }
    const auto found = q.virtual_finish.find(r.workspace);
    return found == q.virtual_finish.end() ? q.virtual_time : std::max(q.virtual_time, found->second);
}

double weighted_cost(const queued_request& r) {
    return to_ms(r.cost) / r.weight;
}

void decay_load(request_queue& q, time_point now) {
    const double decay = std::exp(-to_ms(now - q.load_updated_at) / to_ms(load_time_constant));
    for (double& ms : q.class_load) {
        ms *= decay;
    }
    for (auto& [workspace, work] : q.workspace_load) {
        work.ms *= decay;
    }
    std::erase_if(q.workspace_load, [](const auto& r) { return r.second.ms < min_recent_ms; });
    q.load_updated_at = now;
}

// Returns the fraction of all slots' time that recently went to the first `classes` classes.
double recent_utilization(const request_queue& q, std::size_t classes, unsigned slots, time_point now) {
    const double decay = std::exp(-to_ms(now - q.load_updated_at) / to_ms(load_time_constant));
    return std::accumulate(q.class_load.begin(),
                           std::next(q.class_load.begin(), static_cast<std::ptrdiff_t>(classes)), 0.0) *
           decay / (to_ms(load_time_constant) * slots);
}

} // namespace

//-----------------------------------------------------------------------------
// [updates]
//-----------------------------------------------------------------------------

unsigned workspace_weight(unsigned priority) {
    return std::max(1U, max_weight >> std::min(priority, max_weight));
}

unsigned weight_of(const table& t, const workspace_id& workspace) {
    const workspace_entry* entry = find_workspace(t, workspace);
    return entry == nullptr ? 1 : workspace_weight(entry->priority);
}

void add_request(request_queue& q, const queued_request& r) {
    q.waiting.push_back(r);
}

void remove_request(request_queue& q, request_number request) {
    std::erase_if(q.waiting, [request](const queued_request& r) { return r.request == request; });
}

void record_sent(request_queue& q, request_number request, time_point now) {
    const auto sent = std::find_if(q.waiting.begin(), q.waiting.end(),
                                   [request](const queued_request& r) { return r.request == request; });
    if (sent == q.waiting.end()) {
        return;
    }
    const auto aged = next_aged(q, now);
    if (!aged) {
        q.aged_credit = duration{0};
    } else if (*aged == static_cast<std::size_t>(sent - q.waiting.begin())) {
        q.aged_credit -= std::min(q.aged_credit, sent->cost);
        q.last_aged_class = sent->klass;
    } else {
        q.aged_credit =
            std::min(q.aged_credit + sent->cost / (aged_share_divisor - 1), q.waiting[*aged].cost);
    }
    decay_load(q, now);
    q.class_load.at(static_cast<std::size_t>(sent->klass)) += to_ms(sent->cost);
    if (!sent->any_workspace) {
        q.workspace_load[sent->workspace].ms += to_ms(sent->cost);
        q.workspace_load[sent->workspace].weight = sent->weight;
    }
    double min_start = virtual_start(q, *sent);
    for (const queued_request& r : q.waiting) {
        min_start = std::min(min_start, virtual_start(q, r));
    }
    if (!sent->any_workspace) {
        q.virtual_finish[sent->workspace] = virtual_start(q, *sent) + weighted_cost(*sent);
    }
    q.virtual_time = std::max(q.virtual_time, min_start);
    std::erase_if(q.virtual_finish, [&q](const auto& u) { return u.second <= q.virtual_time; });
    q.waiting.erase(sent);
}

void record_actual_cost(request_queue& q, const workspace_id& workspace, const actual_cost& u) {
    const auto found = q.virtual_finish.find(workspace);
    const double before = found == q.virtual_finish.end() ? q.virtual_time : found->second;
    const double after = before + (to_ms(u.took) - to_ms(u.charged)) / u.weight;
    if (after > q.virtual_time) {
        q.virtual_finish[workspace] = after;
    } else if (found != q.virtual_finish.end()) {
        q.virtual_finish.erase(found);
    }
}

//-----------------------------------------------------------------------------
// [order]
//-----------------------------------------------------------------------------

bool is_late(const queued_request& r, time_point now) {
    return r.on_time_until != time_point{} && now > r.on_time_until;
}

std::vector<std::size_t> order_requests(const request_queue& q, time_point now) {
    std::vector<std::size_t> order(q.waiting.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto workspace_order = [&q, now](std::size_t i) {
        const queued_request& r = q.waiting[i];
        return std::tuple(rank_of(r, now), r.objective, r.deadline, r.request);
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const int by_workspace = q.waiting[a].workspace.value.compare(q.waiting[b].workspace.value);
        return by_workspace != 0 ? by_workspace < 0 : workspace_order(a) < workspace_order(b);
    });
    // Virtual start time of each request: it follows the preceding request of its workspace.
    std::vector<double> starts(q.waiting.size());
    for (std::size_t n = 0; n < order.size(); ++n) {
        const queued_request& r = q.waiting[order[n]];
        const bool follows = n > 0 && !r.any_workspace && !q.waiting[order[n - 1]].any_workspace &&
                             q.waiting[order[n - 1]].workspace == r.workspace;
        starts[order[n]] =
            follows ? starts[order[n - 1]] + weighted_cost(q.waiting[order[n - 1]]) : virtual_start(q, r);
    }
    // Start times increase within a workspace, so its own order is kept; equal start times fall through to
    // the other criteria.
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const queued_request& x = q.waiting[a];
        const queued_request& y = q.waiting[b];
        return std::tuple(rank_of(x, now), starts[a], x.objective, x.deadline, x.request) <
               std::tuple(rank_of(y, now), starts[b], y.objective, y.deadline, y.request);
    });
    const auto aged = next_aged(q, now);
    if (aged && q.aged_credit >= q.waiting[*aged].cost) {
        const auto at = std::find(order.begin(), order.end(), *aged);
        std::rotate(order.begin(), at, std::next(at));
    }
    return order;
}

//-----------------------------------------------------------------------------
// [wait estimate]
//-----------------------------------------------------------------------------

namespace {

// Work that is sent before a request.
struct queued_work {
    std::int64_t count = 0;
    double ms = 0;
};

void add_work(queued_work& w, const queued_request& r, const server_capacity& s) {
    ++w.count;
    w.ms += to_ms(s.hold_time > duration{0} ? s.hold_time : r.cost);
}

// Returns the time (ms) until a slot is free for `r`: until all but slots - 1 of the running and preceding
// requests are done, with `share` of the server's time.
double queueing_delay(const queued_work& w, const queued_request& r, const server_capacity& s, double share) {
    const std::int64_t free_slots = std::max<std::int64_t>(0, static_cast<std::int64_t>(s.slots) - s.in_use);
    if (w.count < free_slots) {
        return 0;
    }
    const double own_ms = to_ms(s.hold_time > duration{0} ? s.hold_time : r.cost);
    const double mean_ms = w.count == 0 ? own_ms : w.ms / static_cast<double>(w.count);
    const double work_ms = w.ms + mean_ms * static_cast<double>(1 - free_slots);
    return work_ms / (s.slots * std::max(share, min_share));
}

// Returns the time (ms) until the workspace has received own_ms of server time, at its recent rate or at its
// fair share, whichever is higher.
double wait_in_workspace(const request_queue& q, const queued_request& r, const server_capacity& s,
                         double own_ms) {
    double weights = r.weight;
    double recent_ms = 0;
    for (const auto& [workspace, work] : q.workspace_load) {
        weights += workspace == r.workspace ? 0 : work.weight;
        recent_ms = workspace == r.workspace ? work.ms : recent_ms;
    }
    const double recent_share = recent_ms / to_ms(load_time_constant);
    return own_ms / std::max(recent_share, s.slots * r.weight / weights);
}

double wait_when_late(const request_queue& q, const queued_request& r, const server_capacity& s,
                      time_point now) {
    queued_work first; // work of this and higher classes
    for (const queued_request& other : q.waiting) {
        if (other.request != r.request && other.klass <= r.klass) {
            add_work(first, other, s);
        }
    }
    const auto classes = static_cast<std::size_t>(r.klass) + 1;
    return queueing_delay(first, r, s, 1.0 - recent_utilization(q, classes, s.slots, now));
}

// Returns the time (ms) until the request is aged and is served from the share reserved for aged requests.
double wait_for_aged_share(const request_queue& q, const queued_request& r, const server_capacity& s,
                           time_point now) {
    const rank first = first_rank(q, now);
    queued_work older; // work of its class that is aged earlier
    std::set<request_class> classes{r.klass};
    for (const queued_request& other : q.waiting) {
        if (other.request != r.request && other.klass == r.klass && aged_from(other) <= aged_from(r)) {
            add_work(older, other, s);
        }
        if (rank_of(other, now) > first) {
            classes.insert(other.klass);
        }
    }
    const double share =
        1.0 / (wait_safety_factor * aged_share_divisor * static_cast<double>(classes.size()));
    return to_ms(std::max(aged_from(r) - now, duration{0})) + queueing_delay(older, r, s, share);
}

} // namespace

duration expected_wait(const request_queue& q, request_number request, const server_capacity& s,
                       time_point now) {
    const std::vector<std::size_t> order = order_requests(q, now);
    const auto at = std::find_if(order.begin(), order.end(),
                                 [&](std::size_t i) { return q.waiting[i].request == request; });
    if (at == order.end()) {
        return duration{0};
    }
    const queued_request& r = q.waiting[*at];
    queued_work before;
    double own_ms = 0; // preceding work of the same workspace
    for (auto i = order.begin(); i != at; ++i) {
        const queued_request& other = q.waiting[*i];
        add_work(before, other, s);
        own_ms += other.workspace == r.workspace && !other.any_workspace ? to_ms(other.cost) : 0;
    }
    if (s.hold_time > duration{0}) {
        return from_ms(queueing_delay(before, r, s, 1.0)); // future load is unknown
    }
    const auto higher_classes = static_cast<std::size_t>(r.klass);
    double wait = queueing_delay(before, r, s, 1.0 - recent_utilization(q, higher_classes, s.slots, now));
    if (wait > 0 && !r.workspace.value.empty()) {
        wait = std::max(wait, wait_in_workspace(q, r, s, own_ms));
    }
    if (r.on_time_until != time_point{} && now + from_ms(wait * wait_safety_factor) > r.on_time_until) {
        // A late request is sent after all requests of its class that are not late.
        wait = std::max(wait, wait_when_late(q, r, s, now));
    }
    if (rank{.klass = r.klass, .late = r.on_time_until != time_point{} ? 1U : 0U} <= first_rank(q, now)) {
        return from_ms(wait); // first rank; the aged share is not needed
    }
    return from_ms(std::min(wait, wait_for_aged_share(q, r, s, now)));
}

} // namespace larchpin
