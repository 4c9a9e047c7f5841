// See request_queue.hpp.
//
// Index
//   [ranks]  [what happens]  [the order]  [how long]
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
// A crest of load lasts for seconds: what the last half second was spent on tells of the next.
constexpr duration load_memory = std::chrono::milliseconds{500};
// Of a server's time; where the classes before leave less than that, they leave nothing.
constexpr double least_share = 0.01;
// Of a workspace that was sent less than this lately nothing is known.
constexpr double least_recent_ms = 0.1;
// Waits are as often longer than estimated as they are shorter; so much is allowed for it.
constexpr double expected_excess = 1.33;
// Each step of priority doubles the weight.
constexpr unsigned highest_weight = 8;

double to_ms(duration d) {
    return static_cast<double>(d.count()) / ns_per_ms;
}

duration from_ms(double ms) {
    return duration{static_cast<std::int64_t>(ms * ns_per_ms)};
}

//-----------------------------------------------------------------------------
// [ranks]
//-----------------------------------------------------------------------------

// Requests of one rank go before all of the next.
struct rank {
    request_class klass = request_class::urgent;
    unsigned late = 0; // 1: it is
    auto operator<=>(const rank&) const = default;
};

rank rank_of(const queued_request& r, time_point now) {
    return {.klass = r.klass, .late = is_late(r, now) ? 1U : 0U};
}

duration time_to_wait(const queued_request& r) {
    return (r.given_up == time_point{} ? r.deadline : r.given_up) - r.since;
}

// From then on it may use the time that is kept for those that have waited long.
time_point kept_from(const queued_request& r) {
    return r.since + time_to_wait(r) / kept_after;
}

double used_part(const queued_request& r, time_point now) {
    return static_cast<double>((now - r.since).count()) /
           static_cast<double>(std::max<std::int64_t>(1, time_to_wait(r).count()));
}

rank first_rank(const request_queue& q, time_point now) {
    rank first{.klass = request_class::background, .late = 1};
    for (const queued_request& r : q.waiting) {
        first = std::min(first, rank_of(r, now));
    }
    return first;
}

bool waits_long(const queued_request& r, const rank& first, time_point now) {
    return now >= kept_from(r) && rank_of(r, now) > first;
}

// Whose turn it is of those that have waited long: the classes in turn, so that none of them takes all that
// is kept, and of a class who has used most of its time.
std::optional<std::size_t> next_kept(const request_queue& q, time_point now) {
    const rank first = first_rank(q, now);
    std::array<std::optional<std::size_t>, request_class_count> longest;
    for (std::size_t i = 0; i < q.waiting.size(); ++i) {
        const queued_request& r = q.waiting[i];
        auto& of_class = longest.at(static_cast<std::size_t>(r.klass));
        const bool longer = !of_class || used_part(r, now) > used_part(q.waiting[*of_class], now);
        if (longer && waits_long(r, first, now)) {
            of_class = i;
        }
    }
    for (std::size_t i = 1; i <= request_class_count; ++i) {
        const auto& of_class = longest.at((static_cast<std::size_t>(q.kept_class) + i) % request_class_count);
        if (of_class) {
            return of_class;
        }
    }
    return std::nullopt;
}

// Where the workspace stands, in ms of the server's time by its weight.
double used_by(const request_queue& q, const queued_request& r) {
    if (r.any_workspace) {
        return q.begins_at;
    }
    const auto found = q.used.find(r.workspace);
    return found == q.used.end() ? q.begins_at : std::max(q.begins_at, found->second);
}

double weighted_cost(const queued_request& r) {
    return to_ms(r.cost) / r.weight;
}

void fade_load(request_queue& q, time_point now) {
    const double left = std::exp(-to_ms(now - q.load_at) / to_ms(load_memory));
    for (double& ms : q.load) {
        ms *= left;
    }
    for (auto& [workspace, work] : q.recent) {
        work.ms *= left;
    }
    std::erase_if(q.recent, [](const auto& r) { return r.second.ms < least_recent_ms; });
    q.load_at = now;
}

// The part of the time of all places that went to the first classes lately.
double part_given(const request_queue& q, std::size_t classes, unsigned places, time_point now) {
    const double left = std::exp(-to_ms(now - q.load_at) / to_ms(load_memory));
    return std::accumulate(q.load.begin(), std::next(q.load.begin(), static_cast<std::ptrdiff_t>(classes)),
                           0.0) *
           left / (to_ms(load_memory) * places);
}

} // namespace

//-----------------------------------------------------------------------------
// [what happens]
//-----------------------------------------------------------------------------

unsigned workspace_weight(unsigned priority) {
    return std::max(1U, highest_weight >> std::min(priority, highest_weight));
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

void note_sent(request_queue& q, request_number request, time_point now) {
    const auto sent = std::find_if(q.waiting.begin(), q.waiting.end(),
                                   [request](const queued_request& r) { return r.request == request; });
    if (sent == q.waiting.end()) {
        return;
    }
    const auto kept_for = next_kept(q, now);
    if (!kept_for) {
        q.kept = duration{0};
    } else if (*kept_for == static_cast<std::size_t>(sent - q.waiting.begin())) {
        q.kept -= std::min(q.kept, sent->cost);
        q.kept_class = sent->klass;
    } else {
        q.kept = std::min(q.kept + sent->cost / (kept_parts - 1), q.waiting[*kept_for].cost);
    }
    fade_load(q, now);
    q.load.at(static_cast<std::size_t>(sent->klass)) += to_ms(sent->cost);
    if (!sent->any_workspace) {
        q.recent[sent->workspace].ms += to_ms(sent->cost);
        q.recent[sent->workspace].weight = sent->weight;
    }
    double least = used_by(q, *sent);
    for (const queued_request& r : q.waiting) {
        least = std::min(least, used_by(q, r));
    }
    if (!sent->any_workspace) {
        q.used[sent->workspace] = used_by(q, *sent) + weighted_cost(*sent);
    }
    q.begins_at = std::max(q.begins_at, least);
    std::erase_if(q.used, [&q](const auto& u) { return u.second <= q.begins_at; });
    q.waiting.erase(sent);
}

void note_used(request_queue& q, const workspace_id& workspace, const used_time& u) {
    const auto found = q.used.find(workspace);
    const double before = found == q.used.end() ? q.begins_at : found->second;
    const double after = before + (to_ms(u.took) - to_ms(u.charged)) / u.weight;
    if (after > q.begins_at) {
        q.used[workspace] = after;
    } else if (found != q.used.end()) {
        q.used.erase(found);
    }
}

//-----------------------------------------------------------------------------
// [the order]
//-----------------------------------------------------------------------------

bool is_late(const queued_request& r, time_point now) {
    return r.in_time != time_point{} && now > r.in_time;
}

std::vector<std::size_t> order_requests(const request_queue& q, time_point now) {
    std::vector<std::size_t> order(q.waiting.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto own_order = [&q, now](std::size_t i) {
        const queued_request& r = q.waiting[i];
        return std::tuple(rank_of(r, now), r.objective, r.deadline, r.request);
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const int by_workspace = q.waiting[a].workspace.value.compare(q.waiting[b].workspace.value);
        return by_workspace != 0 ? by_workspace < 0 : own_order(a) < own_order(b);
    });
    // Where a workspace will stand when each of its requests is sent.
    std::vector<double> begins(q.waiting.size());
    for (std::size_t n = 0; n < order.size(); ++n) {
        const queued_request& r = q.waiting[order[n]];
        const bool follows = n > 0 && !r.any_workspace && !q.waiting[order[n - 1]].any_workspace &&
                             q.waiting[order[n - 1]].workspace == r.workspace;
        begins[order[n]] =
            follows ? begins[order[n - 1]] + weighted_cost(q.waiting[order[n - 1]]) : used_by(q, r);
    }
    // Of one workspace, the order is its own: beginnings rise with it, and equal ones leave it to the rest.
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const queued_request& x = q.waiting[a];
        const queued_request& y = q.waiting[b];
        return std::tuple(rank_of(x, now), begins[a], x.objective, x.deadline, x.request) <
               std::tuple(rank_of(y, now), begins[b], y.objective, y.deadline, y.request);
    });
    const auto kept_for = next_kept(q, now);
    if (kept_for && q.kept >= q.waiting[*kept_for].cost) {
        const auto at = std::find(order.begin(), order.end(), *kept_for);
        std::rotate(order.begin(), at, std::next(at));
    }
    return order;
}

//-----------------------------------------------------------------------------
// [how long]
//-----------------------------------------------------------------------------

namespace {

// What is sent before a request.
struct work_before {
    std::int64_t count = 0;
    double ms = 0;
};

void add_work(work_before& w, const queued_request& r, const serving_places& s) {
    ++w.count;
    w.ms += to_ms(s.held > duration{0} ? s.held : r.cost);
}

// Until this work and what runs is done, but for one place, and with this part of the server's time.
double time_for(const work_before& w, const queued_request& r, const serving_places& s, double share) {
    const std::int64_t free = std::max<std::int64_t>(0, static_cast<std::int64_t>(s.places) - s.taken);
    if (w.count < free) {
        return 0;
    }
    const double own = to_ms(s.held > duration{0} ? s.held : r.cost);
    const double one = w.count == 0 ? own : w.ms / static_cast<double>(w.count);
    const double work = w.ms + one * static_cast<double>(1 - free);
    return work / (s.places * std::max(share, least_share));
}

// Until its workspace has had so much of the server's time: as much of it as lately, or its part of it where
// that is more.
double wait_in_workspace(const request_queue& q, const queued_request& r, const serving_places& s,
                         double own_ms) {
    double weights = r.weight;
    double recent_ms = 0;
    for (const auto& [workspace, work] : q.recent) {
        weights += workspace == r.workspace ? 0 : work.weight;
        recent_ms = workspace == r.workspace ? work.ms : recent_ms;
    }
    const double lately = recent_ms / to_ms(load_memory);
    return own_ms / std::max(lately, s.places * r.weight / weights);
}

double wait_when_late(const request_queue& q, const queued_request& r, const serving_places& s,
                      time_point now) {
    work_before first; // of its class and those above
    for (const queued_request& other : q.waiting) {
        if (other.request != r.request && other.klass <= r.klass) {
            add_work(first, other, s);
        }
    }
    const auto classes = static_cast<std::size_t>(r.klass) + 1;
    return time_for(first, r, s, 1.0 - part_given(q, classes, s.places, now));
}

// Until it may use the time that is kept for those that have waited long, and has had its turn of it.
double wait_for_kept(const request_queue& q, const queued_request& r, const serving_places& s,
                     time_point now) {
    const rank first = first_rank(q, now);
    work_before older; // of its class
    std::set<request_class> classes{r.klass};
    for (const queued_request& other : q.waiting) {
        if (other.request != r.request && other.klass == r.klass && kept_from(other) <= kept_from(r)) {
            add_work(older, other, s);
        }
        if (rank_of(other, now) > first) {
            classes.insert(other.klass);
        }
    }
    const double share = 1.0 / (expected_excess * kept_parts * static_cast<double>(classes.size()));
    return to_ms(std::max(kept_from(r) - now, duration{0})) + time_for(older, r, s, share);
}

} // namespace

duration expected_wait(const request_queue& q, request_number request, const serving_places& s,
                       time_point now) {
    const std::vector<std::size_t> order = order_requests(q, now);
    const auto at = std::find_if(order.begin(), order.end(),
                                 [&](std::size_t i) { return q.waiting[i].request == request; });
    if (at == order.end()) {
        return duration{0};
    }
    const queued_request& r = q.waiting[*at];
    work_before before;
    double own_ms = 0; // of it, for its own workspace
    for (auto i = order.begin(); i != at; ++i) {
        const queued_request& other = q.waiting[*i];
        add_work(before, other, s);
        own_ms += other.workspace == r.workspace && !other.any_workspace ? to_ms(other.cost) : 0;
    }
    if (s.held > duration{0}) {
        return from_ms(time_for(before, r, s, 1.0)); // what the server does meanwhile nobody knows
    }
    const auto above = static_cast<std::size_t>(r.klass);
    double wait = time_for(before, r, s, 1.0 - part_given(q, above, s.places, now));
    if (wait > 0 && !r.workspace.value.empty()) {
        wait = std::max(wait, wait_in_workspace(q, r, s, own_ms));
    }
    if (r.in_time != time_point{} && now + from_ms(wait * expected_excess) > r.in_time) {
        // It will be late, and then all of its class that is not goes first.
        wait = std::max(wait, wait_when_late(q, r, s, now));
    }
    if (rank{.klass = r.klass, .late = r.in_time != time_point{} ? 1U : 0U} <= first_rank(q, now)) {
        return from_ms(wait); // nobody will go before its rank
    }
    return from_ms(std::min(wait, wait_for_kept(q, r, s, now)));
}

} // namespace larchpin
