#include "core/health.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {
namespace {

constexpr unsigned failures_to_eject = 3;
constexpr duration base_ejection_time = std::chrono::milliseconds{500};
constexpr unsigned max_ejection_doublings = 5;
constexpr duration slow_start_window = std::chrono::seconds{3};
constexpr double min_slow_start_factor = 0.1;
constexpr duration min_failure_latency = std::chrono::milliseconds{20};
constexpr duration max_failure_latency = std::chrono::seconds{2};
constexpr int smoothing_divisor = 8;
// Seven halvings reduce the highest penalty (2 s) to a normal response time (20 ms): a recovered server is
// tried again within 3.5 s, about the length of the slow start after an ejection.
constexpr duration penalty_half_life = std::chrono::milliseconds{500};
constexpr double max_tokens = 10;
constexpr double tokens_per_request = 0.1;

} // namespace

void record_start(server_health& h) {
    ++h.outstanding;
}

void record_success(server_health& h, duration took, time_point now) {
    h.outstanding -= h.outstanding > 0 ? 1 : 0;
    h.consecutive_failures = 0;
    h.latency = h.latency.count() == 0 ? took : h.latency + (took - h.latency) / smoothing_divisor;
    h.penalty /= 2;
    if (now - h.ejected_until > slow_start_window) {
        h.consecutive_ejections = 0;
    }
}

void record_failure(server_health& h, time_point now) {
    h.outstanding -= h.outstanding > 0 ? 1 : 0;
    h.penalty =
        std::clamp(expected_latency(h, now) * 2, min_failure_latency, max_failure_latency) - h.latency;
    h.penalty = std::max(h.penalty, duration{0});
    h.penalty_at = now;
    if (now < h.ejected_until) {
        return; // a request that was running at the time of the ejection
    }
    if (++h.consecutive_failures < failures_to_eject) {
        return;
    }
    h.consecutive_failures = 0;
    h.ejected_until =
        now + base_ejection_time * (1U << std::min(h.consecutive_ejections, max_ejection_doublings));
    ++h.consecutive_ejections;
}

void record_abandoned(server_health& h) {
    h.outstanding -= h.outstanding > 0 ? 1 : 0;
}

duration expected_latency(const server_health& h, time_point now) {
    const double halvings =
        static_cast<double>((now - h.penalty_at).count()) / static_cast<double>(penalty_half_life.count());
    return h.latency +
           duration{static_cast<std::int64_t>(static_cast<double>(h.penalty.count()) * std::exp2(-halvings))};
}

double slow_start_factor(const server_health& h, time_point now) {
    if (h.consecutive_ejections == 0) {
        return 1.0;
    }
    const auto since = static_cast<double>((now - h.ejected_until).count());
    const double part = since / static_cast<double>(slow_start_window.count());
    return std::clamp(part, min_slow_start_factor, 1.0);
}

void refill_for_request(retry_budget& b) {
    b.tokens = std::min(max_tokens, b.tokens + tokens_per_request);
}

bool try_take_retry(retry_budget& b) {
    if (b.tokens < 1) {
        return false;
    }
    b.tokens -= 1;
    return true;
}

} // namespace larchpin
