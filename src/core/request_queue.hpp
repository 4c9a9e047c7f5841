// Priority queue of the requests that wait for one backend server.
//
// Requests are ordered by class; within a class, requests that can still meet their objective precede late
// ones; between workspaces, weighted start-time fair queueing decides, so that a workspace that sends far
// more than usual delays only itself; within a workspace the shorter objective precedes, then the earlier
// deadline. A workspace that returns after an idle period starts at the current virtual time and has
// accumulated no credit.
//
// Aging prevents starvation. A request that has waited for 1/aging_wait_divisor of its maximum wait and is
// not in the first rank is aged: all aged requests share 1/aged_share_divisor of the server's time,
// round-robin between classes, and within a class the request that has waited the largest fraction of its
// maximum wait precedes. One aged request of each class is thus sent while the server does aged_share_divisor
// times the work of one aged request of each class, whatever the load. A request is admitted only if this
// share, or the capacity that higher classes leave, serves it before its deadline.
//
// The queue is a plain struct with free functions and reads no clock.
//
// Index
//   [data]  [updates]  [order]  [wait estimate]
#pragma once

#include "core/cluster_state.hpp"
#include "core/session.hpp"
#include "core/types.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

using request_number = std::uint64_t; // unique within one daemon process

struct queued_request {
    request_number request = 0;
    request_class klass = request_class::normal;
    time_point deadline{};      // end of the wait
    time_point refuse_at{};     // refusal time before the deadline; 0 = deadline
    time_point answer_by{};     // latest answer time that meets the objective; 0 = none
    duration objective{0};      // of the whole operation; 0 = none
    workspace_id workspace{};   // workspace of the connection; empty = none in the table
    bool any_workspace = false; // accepts a connection of any workspace; the request reads no data
    unsigned weight = 1;        // of the workspace (see weight_of)
    time_point queued_at{};     // enqueue time; set by the pool like the next two fields
    duration cost{0};           // expected execution time at the server
    time_point on_time_until{}; // latest send time that meets answer_by; 0 = none
    auto operator<=>(const queued_request&) const = default;
};

// Share of the server's time that is reserved for aged requests, and the fraction of its maximum wait after
// which a request is aged. A larger share or earlier aging would slow the higher classes; a smaller share
// would refuse patient requests at every load peak.
constexpr int aged_share_divisor = 8;
constexpr int aging_wait_divisor = 4;

// Work that was recently sent for a workspace.
struct recent_work {
    double ms = 0; // decays exponentially
    unsigned weight = 1;
    auto operator<=>(const recent_work&) const = default;
};

struct request_queue {
    std::vector<queued_request> waiting;                   // unordered
    std::map<workspace_id, double> virtual_finish;         // ms divided by weight; only above virtual_time
    double virtual_time = 0;                               // start of workspaces without a virtual_finish
    duration aged_credit{0};                               // server time available to aged requests
    request_class last_aged_class = request_class::urgent; // of the last aged request sent
    std::array<double, request_class_count> class_load{};  // ms of recent work; decays
    std::map<workspace_id, recent_work> workspace_load;    // recent work; decays
    time_point load_updated_at{};                          // time of the last decay of both loads
};

//-----------------------------------------------------------------------------
// [updates]
//-----------------------------------------------------------------------------

// Returns the weight for a workspace's priority in the table: each step up doubles it; priorities of 3 and
// above have weight 1.
unsigned workspace_weight(unsigned priority);
unsigned weight_of(const table& t, const workspace_id& workspace); // 1 if the table has no such workspace

void add_request(request_queue& q, const queued_request& r);
void remove_request(request_queue& q, request_number request);

// Removes a request that was sent, and charges its expected cost to its workspace.
void record_sent(request_queue& q, request_number request, time_point now);

// Actual and expected server time of a statement.
struct actual_cost {
    duration took{0};
    duration charged{0};
    unsigned weight = 1;
};
void record_actual_cost(request_queue& q, const workspace_id& workspace, const actual_cost& u);

//-----------------------------------------------------------------------------
// [order]
//-----------------------------------------------------------------------------

// Returns indexes into `waiting` in the order in which the requests would be sent without further arrivals.
std::vector<std::size_t> order_requests(const request_queue& q, time_point now);

// Returns whether the answer is expected after the request's objective.
bool is_late(const queued_request& r, time_point now);

//-----------------------------------------------------------------------------
// [wait estimate]
//-----------------------------------------------------------------------------

// Capacity that serves the queue: concurrent statements, each held for its expected cost, or connections,
// each held for `hold_time` (a whole transaction).
struct server_capacity {
    unsigned slots = 1; // at least 1
    unsigned in_use = 0;
    duration hold_time{0}; // 0 = expected cost of each statement
};

// Returns the expected wait of a queued request until it is sent, given the queued and running requests and
// the recent load of higher classes. The estimate is long but finite where higher classes leave no capacity.
duration expected_wait(const request_queue& q, request_number request, const server_capacity& s,
                       time_point now);

} // namespace larchpin
