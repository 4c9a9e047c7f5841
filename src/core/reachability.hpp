// Reachability of a peer or a backend server, detected from this daemon's own traffic. A server may be
// unreachable from this daemon only; requests can then be forwarded over another daemon's connections.
#pragma once

#include "core/types.hpp"

namespace larchpin {

// Reachability of one server or peer from one daemon.
struct reachability {
    time_point unanswered_since{}; // first request since the last answer; 0 = none pending
    time_point next_probe{};
    bool probing = false;
    auto operator<=>(const reachability&) const = default;
};

// Normal answers take 4 to 150 ms, including the queueing delay at a busy server.
constexpr duration reachability_timeout = std::chrono::milliseconds{250};
constexpr duration reachability_probe_interval = std::chrono::milliseconds{500};

// Records that a request was sent or that a connection is being opened.
void record_request(reachability& r, time_point now);
void record_answer(reachability& r);

bool is_unreachable(const reachability& r, time_point now);

// Returns true if a probe connection should be opened now to check whether an unreachable server answers
// again; schedules the next probe.
bool begin_probe_if_due(reachability& r, time_point now);

} // namespace larchpin
