// Passive health checks of backend servers from this daemon's requests (outlier ejection, slow start), and
// the retry budget.
//
// A failure adds a latency penalty that decays. A server that fails several consecutive requests is ejected:
// it gets no reads for a while. After the ejection its share of reads rises slowly, which avoids a thundering
// herd. Retries take tokens from a budget that ordinary requests refill, so that retries cannot multiply the
// load.
#pragma once

#include "core/types.hpp"

namespace larchpin {

struct server_health {
    duration latency{0};      // smoothed (EWMA), of successful answers; 0 = unknown
    duration penalty{0};      // for failures, added to `latency`; see expected_latency()
    time_point penalty_at{};  // time of the last failure
    unsigned outstanding = 0; // running or queued requests
    unsigned consecutive_failures = 0;
    unsigned consecutive_ejections = 0; // without a success after the slow start
    time_point ejected_until{};
    time_point last_request_at{}; // when the last request was sent
    auto operator<=>(const server_health&) const = default;
};

void record_start(server_health& h);
void record_success(server_health& h, duration took, time_point now);
void record_failure(server_health& h, time_point now);
// Records a request that did not reach the server, or whose outcome says nothing about the server.
void record_abandoned(server_health& h);

// Returns the smoothed latency plus the decayed penalty.
duration expected_latency(const server_health& h, time_point now);

// Returns the fraction of its normal share of reads that the server gets now, 0..1.
double slow_start_factor(const server_health& h, time_point now);

struct retry_budget {
    double tokens = 10; // available retries
    auto operator<=>(const retry_budget&) const = default;
};

void refill_for_request(retry_budget& b);
// Takes one token. Returns false if none is left; the caller must then return the error.
bool try_take_retry(retry_budget& b);

} // namespace larchpin
