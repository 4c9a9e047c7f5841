#include "core/health.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {
namespace {

constexpr unsigned failures_to_eject = 3;
constexpr duration first_ejection = std::chrono::milliseconds{500};
constexpr unsigned max_doublings = 5;
constexpr duration ramp_time = std::chrono::seconds{3};
constexpr double lowest_ramp = 0.1;
constexpr duration least_failed_latency = std::chrono::milliseconds{20};
constexpr duration most_failed_latency = std::chrono::seconds{2};
constexpr int smoothing = 8;
// From the highest penalty (2 s) to a usual answer's time (20 ms) in seven halvings: a server that has
// recovered is tried again within 3.5 s, about as long as its ramp after an ejection takes.
constexpr duration penalty_half_life = std::chrono::milliseconds{500};
constexpr double max_tokens = 10;
constexpr double tokens_per_request = 0.1;

} // namespace

void note_started(server_health& h) {
    ++h.outstanding;
}

void note_succeeded(server_health& h, duration took, time_point now) {
    h.outstanding -= h.outstanding > 0 ? 1 : 0;
    h.failures = 0;
    h.latency = h.latency.count() == 0 ? took : h.latency + (took - h.latency) / smoothing;
    h.penalty /= 2;
    if (now - h.ejected_until > ramp_time) {
        h.ejections = 0;
    }
}

void note_failed(server_health& h, time_point now) {
    h.outstanding -= h.outstanding > 0 ? 1 : 0;
    h.penalty =
        std::clamp(expected_latency(h, now) * 2, least_failed_latency, most_failed_latency) - h.latency;
    h.penalty = std::max(h.penalty, duration{0});
    h.penalty_at = now;
    if (now < h.ejected_until) {
        return; // the rest of what was running there when it was ejected
    }
    if (++h.failures < failures_to_eject) {
        return;
    }
    h.failures = 0;
    h.ejected_until = now + first_ejection * (1U << std::min(h.ejections, max_doublings));
    ++h.ejections;
}

void note_left(server_health& h) {
    h.outstanding -= h.outstanding > 0 ? 1 : 0;
}

duration expected_latency(const server_health& h, time_point now) {
    const double halvings =
        static_cast<double>((now - h.penalty_at).count()) / static_cast<double>(penalty_half_life.count());
    return h.latency +
           duration{static_cast<std::int64_t>(static_cast<double>(h.penalty.count()) * std::exp2(-halvings))};
}

double read_ramp(const server_health& h, time_point now) {
    if (h.ejections == 0) {
        return 1.0;
    }
    const auto since = static_cast<double>((now - h.ejected_until).count());
    const double part = since / static_cast<double>(ramp_time.count());
    return std::clamp(part, lowest_ramp, 1.0);
}

void note_request(retry_budget& b) {
    b.tokens = std::min(max_tokens, b.tokens + tokens_per_request);
}

bool take_retry(retry_budget& b) {
    if (b.tokens < 1) {
        return false;
    }
    b.tokens -= 1;
    return true;
}

} // namespace larchpin
