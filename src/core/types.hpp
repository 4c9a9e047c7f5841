// Value types that every part of larchpin shares: identifiers, time and log positions.
//
// Index
//   [time]          monotonic time as an argument, never read from a clock in here
//   [identifiers]   one struct per kind of name, so that they cannot be mixed up
//   [positions]     where in a group's log something happened
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace larchpin {

//-----------------------------------------------------------------------------
// [time]
//-----------------------------------------------------------------------------

// Monotonic time since an arbitrary start. The core gets it as an argument, so a test can set it.
using time_point = std::chrono::nanoseconds;
using duration = std::chrono::nanoseconds;

// Largest difference in speed between two instances' monotonic clocks, as a fraction.
// Every lease is shortened at its holder and lengthened at its grantor by this much.
constexpr double clock_drift_bound = 0.01;

//-----------------------------------------------------------------------------
// [identifiers]
//-----------------------------------------------------------------------------

// A backend server, as it announces itself.
struct server_id {
    std::string value;
    auto operator<=>(const server_id&) const = default;
};

// A database group: one primary and its replicas. Callers name it as their database.
struct group_id {
    std::string value;
    auto operator<=>(const group_id&) const = default;
};

// A caller's service. Callers name it as their user.
struct service_id {
    std::string value;
    auto operator<=>(const service_id&) const = default;
};

// A customer: its keys open sessions, its name opens connections to backend servers, and its rate is limited.
struct workspace_id {
    std::string value;
    auto operator<=>(const workspace_id&) const = default;
};

// One instance running the daemon.
struct instance_id {
    std::string value;
    auto operator<=>(const instance_id&) const = default;
};

// A part of a site that fails, or is cut off, together.
struct failure_domain {
    std::string value;
    auto operator<=>(const failure_domain&) const = default;
};

//-----------------------------------------------------------------------------
// [positions]
//-----------------------------------------------------------------------------

// Byte position in a group's write-ahead log (an LSN).
using log_position = std::uint64_t;

// Number of one primary's reign in a group; rises by one with every promotion.
using term_number = std::uint64_t;

// Index in the control log. Every daemon states the last one that it applied.
using revision_number = std::uint64_t;

} // namespace larchpin
