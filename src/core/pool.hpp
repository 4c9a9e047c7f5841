// Connection pool of one service to one backend server in one daemon.
//
// The daemon may have `share` connections open. A request gets an idle connection, opens one, or waits in a
// bounded queue (core/request_queue). Where the server is overloaded or its slots are counted, a concurrency
// limit below the number of open connections applies (core/running_limit). Class "background" may use only
// part of the share, so that browsing does not displace orders. Urgent and critical requests wait until their
// deadline; other requests are refused once they would miss their objective. A request that cannot be served
// in time is refused on arrival with a retry-after time. An open transaction holds its connection, so its
// statements do not queue.
//
// A connection belongs to the workspace that the server was given when the connection opened, and serves no
// other workspace. If all of the share is open and no idle connection belongs to a waiter's workspace, the
// least recently used idle connection is closed to open one for that waiter. Other requests may bypass the
// waiter while their own connections become idle, but no longer than an opening takes: a workspace with one
// request a minute is served beside a workspace with forty a second.
//
// The pool is a plain struct with free functions; the caller executes the returned actions in order.
//
// Index
//   [data]  [functions]
#pragma once

#include "core/request_queue.hpp"
#include "core/result_codes.hpp"
#include "core/running_limit.hpp"
#include "core/session.hpp"
#include "core/types.hpp"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

using connection_number = std::uint64_t; // unique within one daemon process

// Requests of equal class and objective; the overload state of one applies to all of them.
struct request_profile {
    request_class klass = request_class::normal;
    duration objective{0};
    auto operator<=>(const request_profile&) const = default;
};

// Expected cost that was charged to a connection's workspace when its request was sent.
struct charged_cost {
    duration cost{0};
    unsigned weight = 1;
    auto operator<=>(const charged_cost&) const = default;
};

// The first statement of a transaction may take 1/transaction_time_divisor of the transaction's time, since
// further statements and a commit follow.
constexpr int transaction_time_divisor = 3;

// Accumulated use of the server's slots, where they are counted (running_limit::permits).
struct slot_usage {
    duration waited{0};             // summed over all requests
    duration idle_while_waiting{0}; // summed over all slots, while a request waited
    duration slot_time{0};          // summed over all slots, in use or not
    time_point updated_at{};        // end of the accumulated time; the next fields hold since then
    unsigned waiting = 0;
    unsigned free = 0;
    unsigned permits = 0;
    auto operator<=>(const slot_usage&) const = default;
};

struct pool_state {
    unsigned share = 0;             // maximum open connections
    unsigned background_share = 50; // percent of the share; limit for class "background"
    std::size_t max_waiting = 1000;
    std::vector<connection_number> idle;              // by last use; the last is assigned first
    std::map<connection_number, workspace_id> owners; // of every open or opening connection
    std::set<connection_number> opening;
    std::set<connection_number> busy;
    std::set<connection_number> busy_background;
    std::set<connection_number> idle_in_transaction; // busy, without a running statement
    running_limit limit;
    slot_usage usage;
    request_queue queue;
    std::map<connection_number, charged_cost> charged;      // cost is 0 after the first answer
    std::map<request_profile, time_point> overloaded_until; // set when a request expires
    duration service_time = std::chrono::milliseconds{2};   // hold time; smoothed (EWMA)
    time_point open_retry_at{};                             // earliest time of the next opening
    unsigned consecutive_rejections = 0;                    // by the server's connection limit; capped
    std::map<workspace_id, time_point> last_request_at;     // recently active workspaces
    unsigned peak_demand = 0; // at least the maximum over the last demand_window
    time_point peak_at{};     // time when peak_demand was last reached
};

struct open_connection {
    connection_number connection = 0;
    workspace_id workspace;
    auto operator<=>(const open_connection&) const = default;
};
struct close_connection {
    connection_number connection = 0;
    auto operator<=>(const close_connection&) const = default;
};
struct assign_connection {
    request_number request = 0;
    connection_number connection = 0;
    auto operator<=>(const assign_connection&) const = default;
};
struct refuse_request {
    request_number request = 0;
    result_code code = result_code::queue_full;
    duration retry_after{0};
    auto operator<=>(const refuse_request&) const = default;
};
using pool_action = std::variant<open_connection, close_connection, assign_connection, refuse_request>;
using pool_actions = std::vector<pool_action>;

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Requests a connection for `w`. `next_connection` is the number of the next opened connection; every opening
// increments it.
void request_connection(pool_state& p, const queued_request& w, time_point now,
                        connection_number& next_connection, pool_actions& actions);

// Removes a queued request whose caller has disconnected.
void cancel_request(pool_state& p, request_number request);

// Handles a completed or failed opening. If no connection is left, queued requests are refused so that
// callers can use another server: this server is probably down.
void connection_opened(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions);
void connection_failed(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions);

// Handles an opening that the server refused because of its connection limit: the server may still count
// connections of a previous process of this daemon. Until an opening succeeds, one attempt at a time is made,
// with increasing backoff.
void connection_limit_reached(pool_state& p, connection_number c, time_point now,
                              connection_number& next_connection, pool_actions& actions);

// Returns whether the server's connection limit refused the last opening and the pool has no open connection.
bool is_server_full(const pool_state& p);

// Opens one connection if the backoff has elapsed, none is being opened and the share allows it, whether or
// not a request waits.
void try_open(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions);

// Outcome of a statement on a busy connection. With `overloaded` the server refused the statement because of
// overload; with `in_transaction` the connection stays with its transaction, idle until the next statement.
struct statement_end {
    duration took{0};
    request_class klass = request_class::normal;
    bool overloaded = false;
    bool in_transaction = false;
};
void statement_ended(pool_state& p, connection_number c, const statement_end& end, time_point now,
                     connection_number& next_connection, pool_actions& actions);
void statement_started(pool_state& p, connection_number c); // on a connection idle in a transaction

// Returns a connection to the pool; a connection that is not reusable is closed.
void release_connection(pool_state& p, connection_number c, bool reusable, duration hold_time, time_point now,
                        connection_number& next_connection, pool_actions& actions);

// Sets the limit on concurrent statements and openings by the server's slots (0 = unlimited), and how many of
// the permits this daemon's other pools of the server use. An open transaction continues regardless of the
// limit.
void set_permits(pool_state& p, unsigned permits, unsigned used_by_other_pools, time_point now,
                 connection_number& next_connection, pool_actions& actions);

void set_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
               pool_actions& actions);

// Reduces the share after its lease has ended: immediately closes connections in excess of `share`, including
// those with running requests, and refuses queued requests if the share is 0.
void revoke_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
                  pool_actions& actions);

// Refuses requests that can no longer be sent in time, and opens connections that are due.
void expire_waiters(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions);

// Returns the number of open and opening connections.
unsigned open_count(const pool_state& p);
unsigned waiting_count(const pool_state& p);
unsigned running_count(const pool_state& p); // statements sent and not yet answered

// Returns the recent peak demand for the share claim: at least one connection for every recently active
// workspace, since each opening costs the server a slot (12 ms) and delays the request. A share that followed
// the momentary load would close connections that are reopened a moment later.
unsigned take_peak_demand(pool_state& p, time_point now);

} // namespace larchpin
