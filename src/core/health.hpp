// How one backend server has been doing for this daemon's requests, and how many retries may be made.
//
// A failure counts as a slow answer for a while, and a server that fails several requests in a row gets no
// reads for a while (ejection); afterwards its share rises slowly, so that it is not met by a herd. Retries
// draw on a budget filled by ordinary requests, so they can never multiply the load.
#pragma once

#include "core/types.hpp"

namespace larchpin {

struct server_health {
    duration latency{0};      // smoothed, of answers; 0: unknown
    duration penalty{0};      // of failures, on top of it; see expected_latency()
    time_point penalty_at{};  // of the last failure
    unsigned outstanding = 0; // requests running or waiting there
    unsigned consecutive_failures = 0;    // in a row
    unsigned consecutive_ejections = 0;   // in a row, without a success after the ramp
    time_point ejected_until{};
    time_point last_request_at{}; // the last request that went there
    auto operator<=>(const server_health&) const = default;
};

void record_start(server_health& h);
void record_success(server_health& h, duration took, time_point now);
void record_failure(server_health& h, time_point now);
// The request went away before it reached the server, or its end says nothing of it.
void record_abandoned(server_health& h);

// The smoothed latency and what is left of the penalty.
duration expected_latency(const server_health& h, time_point now);

// 0..1: the part of its usual share that the server gets at this moment.
double slow_start_factor(const server_health& h, time_point now);

struct retry_budget {
    double tokens = 10; // retries that may be made now
    auto operator<=>(const retry_budget&) const = default;
};

void refill_for_request(retry_budget& b);
bool try_take_retry(retry_budget& b); // false: none left, give the caller its answer

} // namespace larchpin
