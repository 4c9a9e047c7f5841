#include "core/server_load.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {
namespace {

constexpr int smoothing_divisor = 8;  // of the EWMA of times
constexpr double failure_window = 16; // answers; window of the EWMA of failures
constexpr int min_rise_divisor = 512; // of the minimum's rise per answer
// A server that alternates between failing and healthy every second stays excluded in between, and is used
// again within seconds of its last failure.
constexpr duration failure_half_life = std::chrono::seconds{2};
// A server that was slow is tried again after about the delay of a client's retry.
constexpr duration response_time_half_life = std::chrono::milliseconds{500};
// Retry delay that a refused client is given.
constexpr duration failure_cost = std::chrono::milliseconds{500};
constexpr duration lowest_response_time = std::chrono::milliseconds{1};
constexpr double significant_ratio = 0.25; // relative change of a count or a time
constexpr unsigned significant_count = 2;
constexpr double significant_failure_change = 0.05;

double decay_factor(duration elapsed, duration half_life) {
    return std::exp2(-static_cast<double>(std::max(elapsed, duration{0}).count()) /
                     static_cast<double>(half_life.count()));
}

duration scaled(duration d, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * factor)};
}

unsigned concurrency(const server_load& l) {
    return std::max(1U, l.slots > 0 ? l.slots : l.running);
}

bool is_significant_change(duration a, duration b) {
    return std::chrono::abs(a - b) > scaled(std::max(a, b), significant_ratio);
}

} // namespace

//-----------------------------------------------------------------------------
// [reporting]
//-----------------------------------------------------------------------------

void record_outcome(response_stats& a, const statement_outcome& e, time_point now) {
    const double previous_ratio = current_failure_ratio(a, now);
    a.failure_ratio *= decay_factor(now - a.last_ended_at, failure_half_life);
    a.failure_ratio += ((e.failed || !e.answered ? 1.0 : 0.0) - a.failure_ratio) / failure_window;
    const bool is_worse = a.failure_ratio >= previous_ratio;
    a.peak_failure_ratio = is_worse ? a.failure_ratio : previous_ratio;
    a.peak_at = now;
    if (e.answered && !e.failed) { // a fast failure is not a fast response
        const duration previous_time = current_response_time(a, now);
        a.response_time = previous_time.count() == 0
                              ? e.took
                              : previous_time + (e.took - previous_time) / smoothing_divisor;
        a.min_response_time =
            a.min_response_time.count() == 0
                ? a.response_time
                : std::min(a.response_time, a.min_response_time + a.min_response_time / min_rise_divisor);
    }
    a.last_ended_at = now;
    if (e.position && (!a.position || a.position->not_before <= e.position->not_before)) {
        a.position = e.position;
    }
}

duration current_response_time(const response_stats& a, time_point now) {
    return a.min_response_time + scaled(a.response_time - a.min_response_time,
                                        decay_factor(now - a.last_ended_at, response_time_half_life));
}

double current_failure_ratio(const response_stats& a, time_point now) {
    const double recent = a.failure_ratio * decay_factor(now - a.last_ended_at, failure_half_life);
    return std::clamp(
        std::max(recent, a.peak_failure_ratio * decay_factor(now - a.peak_at, failure_half_life)), 0.0, 1.0);
}

server_load make_load(const server_id& server, const response_stats& a, const server_usage& use,
                      time_point now) {
    server_load l{.server = server,
                  .slots = use.slots,
                  .running = use.running,
                  .waiting = use.waiting,
                  .response_time = current_response_time(a, now),
                  .failure_ratio = current_failure_ratio(a, now),
                  .position = a.position,
                  .as_of = now};
    l.queue_delay = l.response_time * use.waiting / concurrency(l);
    return l;
}

bool differs_significantly(const server_load& a, const server_load& b) {
    const auto work = [](const server_load& l) { return l.running + l.waiting; };
    const unsigned most = std::max(work(a), work(b));
    const unsigned change = most - std::min(work(a), work(b));
    return (change >= significant_count && change > significant_ratio * most) ||
           is_significant_change(a.response_time, b.response_time) ||
           is_significant_change(a.queue_delay, b.queue_delay) ||
           std::abs(a.failure_ratio - b.failure_ratio) > significant_failure_change;
}

//-----------------------------------------------------------------------------
// [routing]
//-----------------------------------------------------------------------------

bool update_load(load_cache& cache, const server_load& load) {
    const auto known = cache.loads.find(load.server);
    if (known != cache.loads.end()) {
        if (load.as_of < known->second.load.as_of) {
            return false;
        }
        known->second = {.load = load};
        return true;
    }
    if (cache.loads.size() >= max_known_loads) {
        cache.loads.erase(
            std::min_element(cache.loads.begin(), cache.loads.end(), [](const auto& x, const auto& y) {
                return x.second.load.as_of < y.second.load.as_of;
            }));
    }
    cache.loads[load.server] = {.load = load};
    return true;
}

void record_sent(load_cache& cache, const server_id& server) {
    const auto known = cache.loads.find(server);
    if (known != cache.loads.end()) {
        ++known->second.sent_since;
    }
}

void record_round_trip_delay(load_cache& cache, const server_id& server, duration delay) {
    const auto known = cache.round_trip_delays.find(server);
    if (known != cache.round_trip_delays.end()) {
        known->second += (delay - known->second) / smoothing_divisor;
    } else if (cache.round_trip_delays.size() < max_known_loads) {
        cache.round_trip_delays[server] = delay;
    }
}

std::optional<known_load> find_load(const load_cache& cache, const server_id& server, time_point now) {
    const auto known = cache.loads.find(server);
    if (known == cache.loads.end() || now - known->second.load.as_of > max_load_age) {
        return std::nullopt;
    }
    known_load k = known->second;
    const auto delay = cache.round_trip_delays.find(server);
    k.age = std::max(duration{0}, now - k.load.as_of);
    k.round_trip_delay = delay == cache.round_trip_delays.end() ? duration{0} : delay->second;
    return k;
}

void evict_old_loads(load_cache& cache, time_point now) {
    std::erase_if(cache.loads, [now](const auto& l) { return now - l.second.load.as_of > max_load_age; });
}

duration expected_completion(const known_load& k) {
    const double relative_age =
        static_cast<double>(k.age.count()) /
        static_cast<double>(std::max(k.load.response_time, lowest_response_time).count());
    const duration wait = scaled(k.load.queue_delay, 1.0 / (1.0 + relative_age * relative_age));
    const duration own_delay = k.load.response_time * k.sent_since / concurrency(k.load);
    return wait + k.load.response_time + own_delay + k.round_trip_delay +
           scaled(failure_cost, k.load.failure_ratio);
}

bool has_free_slot(const known_load& k) {
    const bool slot_is_free = k.load.slots == 0 || k.load.running + k.sent_since < k.load.slots;
    return k.load.waiting == 0 && slot_is_free;
}

} // namespace larchpin
