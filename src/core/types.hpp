// Value types shared by all modules: identifiers, time and log positions.
//
// Index
//   [time]          monotonic time, passed as an argument; the core reads no clock
//   [identifiers]   one struct per kind of identifier, so that the compiler rejects mix-ups
//   [positions]     positions in a group's log and in the control log
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace larchpin {

//-----------------------------------------------------------------------------
// [time]
//-----------------------------------------------------------------------------

// Monotonic time since an arbitrary epoch. Functions of the core take it as an argument, so tests can set it.
using time_point = std::chrono::nanoseconds;
using duration = std::chrono::nanoseconds;

// Maximum relative drift between the monotonic clocks of two instances. Each lease is shortened by this
// fraction at its holder and lengthened by it at its grantor.
constexpr double clock_drift_bound = 0.01;

//-----------------------------------------------------------------------------
// [identifiers]
//-----------------------------------------------------------------------------

// Identifies a backend server by the name that it announces.
struct server_id {
    std::string value;
    auto operator<=>(const server_id&) const = default;
};

// Identifies a database group: one primary and its replicas. Clients name it as their database.
struct group_id {
    std::string value;
    auto operator<=>(const group_id&) const = default;
};

// Identifies a client service. Clients name it as their user.
struct service_id {
    std::string value;
    auto operator<=>(const service_id&) const = default;
};

// Identifies a customer (tenant): its keys authenticate sessions, its name opens connections to backend
// servers, and its request rate is limited.
struct workspace_id {
    std::string value;
    auto operator<=>(const workspace_id&) const = default;
};

// Identifies one instance that runs the daemon.
struct instance_id {
    std::string value;
    auto operator<=>(const instance_id&) const = default;
};

// Identifies a part of a site that fails, or loses its network connection, as a unit.
struct failure_domain {
    std::string value;
    auto operator<=>(const failure_domain&) const = default;
};

//-----------------------------------------------------------------------------
// [positions]
//-----------------------------------------------------------------------------

// Byte position in a group's write-ahead log (an LSN).
using log_position = std::uint64_t;

// Position on a timeline of a group's log. A later timeline is compared as later, whatever the positions.
struct log_mark {
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const log_mark&) const = default;
};

// Term of a primary in a group; every promotion increments it.
using term_number = std::uint64_t;

// Index in the control log. Every daemon reports the last index that it applied.
using revision_number = std::uint64_t;

} // namespace larchpin
