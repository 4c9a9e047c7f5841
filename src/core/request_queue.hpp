// The requests that wait for one backend server, in the order in which they are sent.
//
// By class first; within a class what can still be answered within its objective goes before what cannot;
// between workspaces the one that has used the least of the server's time, by its weight, goes first, so that
// one that asks for many times its usual delays itself; within a workspace the shorter objective, then the
// earlier deadline. A workspace that comes back after a rest begins where the others are, with nothing saved
// up (start-time fair queueing).
//
// Nobody waits forever: what has used a quarter of its time and is not in the first rank shares one part in
// `aged_share_divisor` of the server's time with others like it, the classes in turn, and in a class the one first
// that has used most of its time. So of each class one is sent while the server does `aged_share_divisor` times the
// work of one of each that waits so, whatever else is asked; and a request is taken in only where that, or
// what the classes before it leave, reaches it before its deadline.
//
// A plain struct and free functions, without a clock.
//
// Index
//   [data]  [what happens]  [the order]  [how long]
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

using request_number = std::uint64_t; // unique in one daemon's life

struct queued_request {
    request_number request = 0;
    request_class klass = request_class::normal;
    time_point deadline{};      // waits no longer
    time_point refuse_at{};      // is refused at this moment, before its deadline; 0: at the deadline
    time_point answer_by{};     // its answer is late after that; 0: never
    duration objective{0};      // for the whole operation; 0: none
    workspace_id workspace{};   // whose connection it must be; empty: the table names none
    bool any_workspace = false; // asks nothing of the data: any open connection will do
    unsigned weight = 1;        // of its workspace (see weight_of)
    time_point queued_at{};         // in the queue; this and the next two are set by the pool
    duration cost{0};           // expected time at the server
    time_point on_time_until{};       // sent later, it would be answered after `answer_by`; 0: never so
    auto operator<=>(const queued_request&) const = default;
};

// Of the server's time, one part in so many is kept for what has waited long: for one part in `aging_wait_divisor` of
// its own time. More, or earlier, would cost the classes that go first; less, and patient work would be
// refused in every crest.
constexpr int aged_share_divisor = 8;
constexpr int aging_wait_divisor = 4;

// What was sent for a workspace lately.
struct recent_work {
    double ms = 0; // fading
    unsigned weight = 1;
    auto operator<=>(const recent_work&) const = default;
};

struct request_queue {
    std::vector<queued_request> waiting; // in no particular order
    std::map<workspace_id, double> virtual_finish; // ms of the server's time by weight, of those in or near the queue
    double virtual_time = 0;                // of `used`: where a workspace begins that comes now
    duration aged_credit{0};                    // saved up for those that have waited long
    request_class last_aged_class = request_class::urgent; // that had its turn of them last
    std::array<double, request_class_count> class_load{};   // ms of work of each class, sent lately, fading
    std::map<workspace_id, recent_work> workspace_load;       // the same by workspace
    time_point load_updated_at{};                             // when these were as they stand
};

//-----------------------------------------------------------------------------
// [what happens]
//-----------------------------------------------------------------------------

// By a workspace's priority in the table: each step up is worth twice the time; 3 and more count 1.
unsigned workspace_weight(unsigned priority);
unsigned weight_of(const table& t, const workspace_id& workspace); // 1 where the table does not name it

void add_request(request_queue& q, const queued_request& r);
void remove_request(request_queue& q, request_number request);

// It was sent: it leaves the queue, and its workspace is charged its expected cost.
void note_sent(request_queue& q, request_number request, time_point now);

// A statement of the workspace took so long at the server; `charged` of it was charged when it was sent.
struct actual_cost {
    duration took{0};
    duration charged{0};
    unsigned weight = 1;
};
void note_actual_cost(request_queue& q, const workspace_id& workspace, const actual_cost& u);

//-----------------------------------------------------------------------------
// [the order]
//-----------------------------------------------------------------------------

// Indexes into `waiting`, in the order in which they would be sent if nothing came any more.
std::vector<std::size_t> order_requests(const request_queue& q, time_point now);

// Its answer would probably come after its objective.
bool is_late(const queued_request& r, time_point now);

//-----------------------------------------------------------------------------
// [how long]
//-----------------------------------------------------------------------------

// What serves the queue: so many statements at once, each for its expected cost, or connections, each for the
// usual time `held` (a whole transaction); and how many of them are taken.
struct server_capacity {
    unsigned slots = 1; // at least one
    unsigned in_use = 0;
    duration hold_time{0}; // 0: a statement's cost
};

// How long this waiting request will probably wait until it is sent, with what waits and runs now, and with
// what the classes before it were given lately. Long, but finite, where they leave nothing.
duration expected_wait(const request_queue& q, request_number request, const server_capacity& s,
                       time_point now);

} // namespace larchpin
