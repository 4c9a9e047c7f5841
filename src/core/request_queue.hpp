// The requests that wait for one backend server, in the order in which they are sent.
//
// By class first; within a class what can still be answered within its objective goes before what cannot;
// between workspaces the one that has used the least of the server's time, by its weight, goes first, so that
// one that asks for many times its usual delays itself; within a workspace the shorter objective, then the
// earlier deadline. Nobody waits forever: see longest_wait_share.
//
// A plain struct and free functions, without a clock.
//
// Index
//   [data]  [functions]
#pragma once

#include "core/session.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

using request_number = std::uint64_t; // unique in one daemon's life

struct queued_request {
    request_number request = 0;
    request_class klass = request_class::normal;
    workspace_id workspace; // empty: the table names none
    duration objective{0};  // for the whole operation; 0: none
    time_point in_time{};   // sent later, it would be answered beyond its objective; 0: never so
    time_point deadline{};  // waits no longer
    time_point since{};     // in the queue
    auto operator<=>(const queued_request&) const = default;
};

// A workspace's use of the server's time, for a fair order.
struct used_time {
    double weighted_ms = 0; // by its weight: 1 for the lowest priority
    auto operator<=>(const used_time&) const = default;
};

struct request_queue {
    std::vector<queued_request> waiting; // in no particular order
    std::map<workspace_id, used_time> used;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// The requests in the order in which they would be sent at this moment.
std::vector<queued_request> order_requests(const request_queue& q, time_point now);

// A statement of the workspace took so long at the server.
void note_used(request_queue& q, const workspace_id& workspace, unsigned priority, duration took);

} // namespace larchpin
