// Which backend server a request goes to.
//
// A write goes to the primary of the current term, under a live lease, or is refused. A read goes to a
// replica that provably gives what the session is owed; among those, of two drawn by weight the one with
// the smaller expected delay is taken. Where no replica qualifies yet, the read waits for one briefly if
// that is likely to be enough, and else goes to the primary. Reads of a workspace, whose connections serve
// nobody else, prefer one replica each.
//
// Where the loads of servers are known (core/server_load), the expected time until the answer takes the place
// of what this daemon alone has seen. All daemons hear the same, some of it late, so none of these choices
// jumps: a server gets reads by the inverse square of its time (half the speed, a quarter of the reads),
// which leaves one that is several times slower with what it takes to see it recover.
//
// Index
//   [data]  [functions]
#pragma once

#include "core/server_load.hpp"
#include "core/session.hpp"

#include <random>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

struct server_view {
    server_id id;
    unsigned weight = 100;       // 0: takes no reads
    bool leaving = false;        // gets no new work, but as the primary
    bool leave_deadline_passed = false;  // nor as the primary: nothing may reach it any more
    bool unresponsive = false;         // its observers have not heard of it lately
    bool same_domain = false;           // in this daemon's failure domain
    unsigned outstanding = 0;    // requests of this daemon running or waiting there
    duration latency{0};         // smoothed, of this daemon's requests; 0: unknown
    time_point ejected_until{};  // gets no reads before
    double slow_start_factor = 1.0;           // 0..1, rises slowly after an ejection
    bool has_connections = true; // this daemon holds, or may open, a connection to it
    time_point last_request_at{};       // the last request of this daemon that went there
    std::optional<known_load>
        load{}; // where it is known, it counts in place of latency, outstanding and ramp
};

struct group_view {
    group_record record;
    const group_positions* positions = nullptr; // the daemon's own; set in every view that is routed by
    std::vector<server_view> servers;
    bool servers_enforce_floor = false; // a server refuses a read whose floor it has not reached
};

enum class target_kind : std::uint8_t {
    server,
    wait,        // for news, `retry_at` at the latest
    fetch_primary_position, // for its position: no known one is new enough to tell what a replica must hold
    refuse,
};

// What one read asks for beside what its session is owed.
struct read_context {
    duration staleness{0}; // 0: read-your-writes
    time_point arrived_at{}; // when the request came; waiting ends at replica_catchup_timeout after it
    time_point now{};
    bool lease_live = false;
    std::vector<server_id> excluded; // refused it just now
};

struct routing_decision {
    target_kind kind = target_kind::refuse;
    server_id server;
    bool is_primary = false;
    time_point retry_at{};             // for `wait`: look again then at the latest
    std::optional<log_position> floor; // the server's log must have come so far, on the group's timeline
    result_code code = result_code::ok;
    auto operator<=>(const routing_decision&) const = default;
};

struct routing_settings {
    duration replica_catchup_timeout = std::chrono::milliseconds{25};  // at most this long for a replica to catch up
    duration position_poll_interval = std::chrono::milliseconds{10}; // between two looks
    // A lag heard so long ago says nothing any more, and the server is asked again: a refusal costs a round
    // trip.
    duration position_max_age = std::chrono::milliseconds{500};
    // Where loads are told, one daemon's question tells all of them where a replica stands. So a share of the
    // reads asks one whose last known position is too low and a little old.
    duration position_trial_min_age = std::chrono::milliseconds{25};
    double position_trial_probability = 0.1;
    // A replica that nothing was sent to for so long gets a read whatever its last answers took.
    duration replica_trial_interval = std::chrono::seconds{1};
    // Times that a replica's expected delay must exceed the primary's before the primary takes a read over.
    double primary_delay_factor = 3.0;
    double cross_domain_penalty = 2.0; // factor on the delay of another failure domain
    // A workspace's reads stay with one replica, where its connections are open, until another one is quicker
    // by this factor.
    double workspace_affinity_factor = 2.0;
    // At most this share of the reads goes to a primary that is far better: all others see it idle as well.
    double max_primary_read_share = 0.5;
    double failing_replica_trial_share = 0.05; // share of the reads that go to a replica which fails more than half
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// What all users of the server see counts, in place of what this daemon alone saw: it may have had bad luck,
// or look at the server over a way that nobody needs.
void apply_load(server_view& server, const known_load& load);

routing_decision route_write(const group_view& g, bool lease_live);

routing_decision route_read(const group_view& g, const session_state& s, const read_context& context,
                            const routing_settings& settings, std::mt19937_64& random);

// The position that gives a session what it is owed, whichever server reads it; nothing where no known
// position of the primary is new enough.
std::optional<log_position> required_position(const group_view& g, const session_state& s,
                                              const read_context& context);

// How long a request waits at most for what it was refused for to pass. Another instance may well have a
// lease, so that is hardly waited for; a missing primary is missing everywhere.
duration max_wait_after(result_code refusal, duration wait_limit);

// True where this server provably gives the session what it is owed.
bool satisfies_consistency(const group_view& g, const server_view& server, const session_state& s, duration staleness,
               time_point now);

} // namespace larchpin
