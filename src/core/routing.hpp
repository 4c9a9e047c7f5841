// Selects the backend server for each request.
//
// A write is routed to the primary of the current term while the lease is live, and is refused otherwise. A
// read is routed to a replica that provably satisfies the session's consistency; of two replicas drawn by
// weight, the one with the smaller expected delay is used. If no replica qualifies yet, the read waits
// briefly for one if the wait is likely to suffice, and is otherwise routed to the primary. Reads of one
// workspace prefer one replica, because connections are not shared between workspaces.
//
// Where server loads are reported (core/server_load), the reported completion time replaces this daemon's own
// latency samples. All daemons receive the same reports, some of them late, so selection is gradual to avoid
// herding: servers are weighted by the inverse square of their delay (half the speed gets a quarter of the
// reads). A server that is several times slower thus still gets enough reads to observe its recovery.
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
    unsigned weight = 100;              // 0 = serves no reads
    bool leaving = false;               // gets no new requests except as the primary
    bool leave_deadline_passed = false; // must get no requests, even as the primary
    bool unresponsive = false;          // has not answered its observers recently
    bool same_domain = false;           // is in this daemon's failure domain
    unsigned outstanding = 0;           // requests of this daemon that run or wait at the server
    duration latency{0};                // of this daemon's requests, smoothed (EWMA); 0 = unknown
    time_point ejected_until{};         // gets no reads before this time
    double slow_start_factor = 1.0;     // 0..1; rises gradually after an ejection
    bool has_connections = true;        // this daemon holds or may open a connection to the server
    time_point last_request_at{};       // time of this daemon's last request to the server
    std::optional<known_load> load{};   // if known, replaces latency, outstanding, slow_start_factor
};

struct group_view {
    group_record record;
    const group_positions* positions = nullptr; // the daemon's position samples; not null when routing
    std::vector<server_view> servers;
    bool servers_enforce_floor = false; // servers refuse a read whose floor they have not reached
};

enum class target_kind : std::uint8_t {
    server,
    wait,                   // until a notification arrives, at the latest until `retry_at`
    fetch_primary_position, // no known primary position is recent enough to compute a floor
    refuse,
};

// Parameters of one read, in addition to the state of its session.
struct read_context {
    duration staleness{0};         // maximum age of the data; 0 = read-your-writes
    bool all_acknowledged = false; // instead: the data holds every commit acknowledged before `arrived_at`
    time_point arrived_at{};       // arrival of the request; the wait ends replica_catchup_timeout later
    time_point now{};
    bool lease_live = false;
    std::vector<server_id> excluded; // servers that have just refused the request
};

struct routing_decision {
    target_kind kind = target_kind::refuse;
    server_id server;
    bool is_primary = false;
    time_point retry_at{};             // for `wait`: latest time of the next routing attempt
    std::optional<log_position> floor; // minimum log position of the server, on the group's timeline
    result_code code = result_code::ok;
    auto operator<=>(const routing_decision&) const = default;
};

struct routing_settings {
    // Maximum wait for a replica to catch up.
    duration replica_catchup_timeout = std::chrono::milliseconds{25};
    duration position_poll_interval = std::chrono::milliseconds{10}; // between two routing attempts
    // A known lag older than this is ignored, and the replica gets reads again. If the replica is still
    // behind, its refusal costs one round trip.
    duration position_max_age = std::chrono::milliseconds{500};
    // Where loads are reported, one daemon's read reveals a replica's position to all daemons. A fraction of
    // the reads is therefore sent to replicas whose last known position is too low and at least this old.
    duration position_trial_min_age = std::chrono::milliseconds{25};
    double position_trial_probability = 0.1;
    // A replica without requests for this long gets a trial read regardless of its last latency.
    duration replica_trial_interval = std::chrono::seconds{1};
    // The primary serves a read if the replica's expected delay exceeds the primary's by this factor.
    double primary_delay_factor = 3.0;
    double cross_domain_penalty = 2.0; // delay factor for servers in other failure domains
    // A workspace's reads stay on one replica, where its connections are open, until another replica is
    // faster by this factor.
    double workspace_affinity_factor = 2.0;
    // Maximum share of the reads that moves to a much faster primary. All daemons see the same idle primary,
    // so a larger share could overload it.
    double max_primary_read_share = 0.5;
    // Share of the reads that is still sent to replicas if all of them fail more than half of their requests.
    double failing_replica_trial_share = 0.05;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Replaces this daemon's own health data for the server with the reported load, which covers the requests of
// all daemons. This daemon's own failures may be chance, or come from a network path that no request has to
// use.
void apply_load(server_view& server, const known_load& load);

// Returns the primary, or a refusal without a live lease or a usable primary.
routing_decision route_write(const group_view& g, bool lease_live);

routing_decision route_read(const group_view& g, const session_state& s, const read_context& context,
                            const routing_settings& settings, std::mt19937_64& random);

// Returns the log position at which any server satisfies the session's consistency, or nullopt if no known
// position of the primary is recent enough, or the session's own writes are not known.
std::optional<log_position> required_position(const group_view& g, const session_state& s,
                                              const read_context& context);

// Returns the maximum time that a request waits for the cause of its refusal to end. A missing lease is
// waited for only briefly, because another instance may hold one; a missing primary is missing on all
// instances.
duration max_wait_after(result_code refusal, duration wait_limit);

// Returns true if the server provably satisfies the session's consistency and the staleness bound.
bool satisfies_consistency(const group_view& g, const server_view& server, const session_state& s,
                           duration staleness, time_point now);

} // namespace larchpin
