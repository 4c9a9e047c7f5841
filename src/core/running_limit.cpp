#include "core/running_limit.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr int smoothing = 8; // weight of a new sample is 1/8 (EWMA)
// Divisor of the baseline's rise towards the smoothed response time, applied with each response. A server
// that has become permanently slower (other hardware, colder caches) is taken for an overloaded one for at
// most about 1000 responses, ten seconds on a busy server.
constexpr int baseline_smoothing = 1024;
// Slowdown of a response relative to an idle server that counts as overload: one statement waits before each
// running statement.
constexpr double overload_slowdown = 2.0;
// Refusals within one response time (4 to 150 ms) belong to the same overload, and decrease the limit once.
constexpr duration decrease_interval = std::chrono::milliseconds{150};
constexpr duration increase_interval = std::chrono::milliseconds{250};
// Interval between increases while the server is overloaded: short enough to detect that the load comes from
// other clients.
constexpr duration overload_increase_interval = std::chrono::seconds{2};

void update_response_time(response_time_stats& t, duration took) {
    t.smoothed = t.smoothed.count() == 0 ? took : t.smoothed + (took - t.smoothed) / smoothing;
    if (t.baseline.count() == 0 || t.smoothed < t.baseline) {
        t.baseline = t.smoothed;
    } else {
        t.baseline += (t.smoothed - t.baseline) / baseline_smoothing;
    }
}

double slowdown_of(const response_time_stats& t, duration took) {
    return t.baseline.count() == 0
               ? 1.0
               : static_cast<double>(took.count()) / static_cast<double>(t.baseline.count());
}

} // namespace

void record_overload(running_limit& l, unsigned running, time_point now) {
    if (l.aimd_limit > 0 && now - l.decreased_at < decrease_interval) {
        return;
    }
    const unsigned from = l.aimd_limit > 0 ? std::min(l.aimd_limit, running) : running;
    l.aimd_limit = std::max(1U, from / 2);
    l.decreased_at = now;
    l.increased_at = now;
}

void record_statement_answered(running_limit& l, const answered_statement& a, time_point now) {
    response_time_stats& times = l.response_times.at(a.klass);
    update_response_time(times, a.took);
    l.smoothed_response_time =
        l.smoothed_response_time.count() == 0
            ? a.took
            : l.smoothed_response_time + (a.took - l.smoothed_response_time) / smoothing;
    l.slowdown += (slowdown_of(times, a.took) - l.slowdown) / smoothing;
    const duration pause = l.slowdown >= overload_slowdown ? overload_increase_interval : increase_interval;
    if (l.aimd_limit == 0 || now - l.increased_at < pause) {
        return;
    }
    ++l.aimd_limit;
    l.increased_at = now;
    if (l.aimd_limit >= a.share) {
        l.aimd_limit = 0;
    }
}

bool may_send(const running_limit& l, unsigned running) {
    return l.aimd_limit == 0 || running < l.aimd_limit;
}

unsigned free_slots(const running_limit& l, const occupied_slots& use) {
    const auto left = [](unsigned of, unsigned taken) { return of - std::min(of, taken); };
    const unsigned by_refusals = l.aimd_limit == 0 ? no_limit : left(l.aimd_limit, use.running);
    const unsigned by_slots =
        l.permits == 0 ? no_limit : left(l.permits, use.running + use.opening + l.used_by_other_pools);
    return std::min(by_refusals, by_slots);
}

unsigned concurrency_limit(const running_limit& l) {
    const unsigned own = l.permits - std::min(l.permits, l.used_by_other_pools);
    const unsigned by_slots = l.permits == 0 ? 0 : std::max(1U, own);
    return l.aimd_limit == 0 || by_slots == 0 ? std::max(l.aimd_limit, by_slots)
                                              : std::min(l.aimd_limit, by_slots);
}

} // namespace larchpin
