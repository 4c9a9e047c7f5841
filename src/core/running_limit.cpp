#include "core/running_limit.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr int smoothing = 8; // a new time counts one eighth
// The least usual time forgets this part of the difference with each answer, so that a server that has become
// slow by nature (other hardware, colder caches) is not taken for a crowded one for longer than some 1000
// answers, ten seconds of a busy server's.
constexpr int baseline_smoothing = 1024;
// Times that an answer takes what it does at an idle server: one statement waits before each that runs.
constexpr double overload_slowdown = 2.0;
// Refusals that come within an answer's time (4 to 150 ms) tell of the same crowd.
constexpr duration decrease_interval = std::chrono::milliseconds{150};
constexpr duration increase_interval = std::chrono::milliseconds{250};
// While the server is crowded: often enough to find out that the crowd is others'.
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
    return t.baseline.count() == 0 ? 1.0
                                : static_cast<double>(took.count()) / static_cast<double>(t.baseline.count());
}

} // namespace

void note_overload(running_limit& l, unsigned running, time_point now) {
    if (l.aimd_limit > 0 && now - l.decreased_at < decrease_interval) {
        return;
    }
    const unsigned from = l.aimd_limit > 0 ? std::min(l.aimd_limit, running) : running;
    l.aimd_limit = std::max(1U, from / 2);
    l.decreased_at = now;
    l.increased_at = now;
}

void note_statement_answered(running_limit& l, const answered_statement& a, time_point now) {
    response_time_stats& times = l.response_times.at(a.klass);
    update_response_time(times, a.took);
    l.smoothed_response_time =
        l.smoothed_response_time.count() == 0 ? a.took : l.smoothed_response_time + (a.took - l.smoothed_response_time) / smoothing;
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
    return l.aimd_limit == 0 || by_slots == 0 ? std::max(l.aimd_limit, by_slots) : std::min(l.aimd_limit, by_slots);
}

} // namespace larchpin
