// Whether a backend server answers this daemon at all, as far as its own traffic tells. A server may be alive
// for everyone else, and silent here: then another daemon's connections may do.
#pragma once

#include "core/types.hpp"

namespace larchpin {

// One server, as one daemon sees it.
struct reachability {
    time_point unanswered_since{}; // the first question since the last answer; 0: none is open
    time_point next_probe{};
    bool probing = false;
    auto operator<=>(const reachability&) const = default;
};

// Usual answers take 4 to 150 ms, a queue at a busy server included.
constexpr duration reachability_timeout = std::chrono::milliseconds{250};
constexpr duration reachability_probe_interval = std::chrono::milliseconds{500};

// Something was sent, or a connection is being opened.
void record_request(reachability& r, time_point now);
void record_answer(reachability& r);

bool is_unreachable(const reachability& r, time_point now);

// Time to open a connection just to see whether it answers again; the next look is planned.
bool begin_probe_if_due(reachability& r, time_point now);

} // namespace larchpin
