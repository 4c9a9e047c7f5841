// One service's connections to one backend server, as one daemon holds them: who gets the next one.
//
// The daemon may have `share` connections open. A request gets an idle one, or opens one, or waits in a
// bounded queue (core/request_queue: its order, and how long it will wait). Where the server is crowded,
// fewer statements run at once than connections are open (core/running_limit). Class "background" may use
// only a part of the share, so that browsing does not crowd out orders. Urgent and critical requests wait
// until their deadline; others are refused once they would miss their objective. What cannot be served in
// that time is refused at once, with the time after which there will be room. A transaction under way has its
// connection: its statements wait for nobody.
//
// A connection belongs to the workspace that the server was told of when it opened, and serves no other one.
// Where all of the share is open and none of a waiter's own is idle, the one that was used longest ago is
// closed for it. Others may go before it while their own connections come free, but not for longer than an
// opening takes: so a workspace with one request a minute is served beside one with forty a second.
//
// A plain struct and free functions; the caller carries out the returned actions in order.
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

using connection_number = std::uint64_t; // unique in one daemon's life

// Requests that wait alike: what one of them learns holds for the others.
struct request_profile {
    request_class klass = request_class::normal;
    duration objective{0};
    auto operator<=>(const request_profile&) const = default;
};

// A connection's statement was paid for when its request was sent.
struct charged_cost {
    duration cost{0};
    unsigned weight = 1;
    auto operator<=>(const charged_cost&) const = default;
};

// Of the time for a transaction, its first statement may take one part: others follow, and a commit.
constexpr int transaction_time_divisor = 3;

// How the places at the server were used, where they are counted (running_limit::permits).
struct slot_usage {
    duration waited{0};             // by all requests together
    duration idle_while_waiting{0}; // by all places together, while a request waited
    duration slot_time{0};            // by all places together, in use or not
    time_point updated_at{};             // until then; what follows stood then
    unsigned waiting = 0;
    unsigned free = 0;
    unsigned permits = 0;
    auto operator<=>(const slot_usage&) const = default;
};

struct pool_state {
    unsigned share = 0;             // most connections open at once
    unsigned background_share = 50; // percent of the share for class "background"
    std::size_t max_waiting = 1000;
    std::vector<connection_number> idle;              // the last one used is used first
    std::map<connection_number, workspace_id> owners; // of every connection that is open or opening
    std::set<connection_number> opening;
    std::set<connection_number> busy;
    std::set<connection_number> busy_background;
    std::set<connection_number> idle_in_transaction; // of the busy ones: in a transaction, with no statement running
    running_limit limit;
    slot_usage usage;
    request_queue queue;
    std::map<connection_number, charged_cost> charged;    // of the busy ones; the cost until the first answer
    std::map<request_profile, time_point> overloaded_until;      // kinds of which one waited in vain a moment ago
    duration service_time = std::chrono::milliseconds{2}; // smoothed time a request keeps one
    time_point open_retry_at{};                           // no attempt to open before
    unsigned consecutive_rejections = 0;                    // attempts in a row for which the server had no room
    std::map<workspace_id, time_point> last_request_at; // of those that asked lately, the last time
    unsigned peak_demand = 0;                    // of the last demand_window, or above
    time_point peak_at{};                        // when it was reached last
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

// `next_connection` numbers connections; it is raised by one for each that is opened.
void request_connection(pool_state& p, const queued_request& w, time_point now,
                        connection_number& next_connection, pool_actions& actions);

// The request no longer waits (its caller is gone).
void cancel_request(pool_state& p, request_number request);

// A connection was opened, or could not be. Where none is left at all, those that wait are refused, so that
// they can go elsewhere: the server is probably gone.
void connection_opened(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions);
void connection_failed(pool_state& p, connection_number c, time_point now, connection_number& next_connection,
                       pool_actions& actions);

// The server answers, but has no room for another connection: it may still count those that died with an
// earlier life of this daemon. From then on one attempt at a time is made, with growing pauses.
void connection_limit_reached(pool_state& p, connection_number c, time_point now,
                            connection_number& next_connection, pool_actions& actions);

// The server had no room at the last attempt, and no connection of our own is open.
bool is_server_full(const pool_state& p);

// Makes an attempt to open one, if it is time for that, whether or not a request waits for it.
void try_open(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions);

// The statement that ran on a busy connection was answered; `crowded`: refused, since the server is. One that
// stays with its transaction rests until the transaction's next statement.
struct statement_end {
    duration took{0};
    request_class klass = request_class::normal;
    bool overloaded = false;
    bool in_transaction = false;
};
void statement_ended(pool_state& p, connection_number c, const statement_end& end, time_point now,
                     connection_number& next_connection, pool_actions& actions);
void statement_started(pool_state& p, connection_number c); // on a connection that rested

// A request is done with its connection. One that is not reusable is closed.
void release_connection(pool_state& p, connection_number c, bool reusable, duration hold_time, time_point now,
                        connection_number& next_connection, pool_actions& actions);

// Statements and openings at once, by the server's slots (0: not bounded), and how many of them this daemon's
// other pools of the server use. A transaction that is under way goes on whatever the number.
void set_permits(pool_state& p, unsigned permits, unsigned used_by_other_pools, time_point now,
                 connection_number& next_connection, pool_actions& actions);

void set_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
               pool_actions& actions);

// The right to the share has ended: closes at once what exceeds `share`, running requests too, and refuses
// those that wait where nothing is left.
void revoke_share(pool_state& p, unsigned share, time_point now, connection_number& next_connection,
                  pool_actions& actions);

// Refuses what has waited past its deadline, and opens what can be opened now.
void expire_waiters(pool_state& p, time_point now, connection_number& next_connection, pool_actions& actions);

// Everything open, or about to be.
unsigned open_count(const pool_state& p);
unsigned waiting_count(const pool_state& p);
unsigned running_count(const pool_state& p); // statements that were sent and are not answered

// What the load of the last seconds could have used; for the claim on a share: one connection at least for
// every workspace that asked, since each opening costs the server a slot (12 ms) and the request its wait. A
// share that followed each moment's load would close connections that are opened again a moment later.
unsigned take_peak_demand(pool_state& p, time_point now);

} // namespace larchpin
