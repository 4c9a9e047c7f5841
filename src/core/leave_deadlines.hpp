// Deadlines after which an instance may no longer send requests to leaving servers.
//
// Control acknowledges that a server is leaving only after the log entry has committed. The server's leave
// time starts at that acknowledgement; no request may reach it after the leave time, whatever is partitioned,
// restarts or becomes leader meanwhile. An instance does not know when the acknowledgement was given, so it
// assumes the earliest possible time: the last renewal that it sent before the entry committed. A connected
// instance renews five times per lease and so loses up to a fifth of a lease of the leave time; an instance
// without such a renewal, for example after its start, treats the leave time as expired.
//
// Usage
//   record_answered_renewal(deadlines, reply.revision, sent);          // a renewal was answered
//   update_leaving_servers(deadlines, cluster, e.index);               // a command was applied
//   if (leave_time_has_expired(deadlines, server, leave_time, now)) ...  // before sending a request
#pragma once

#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace larchpin {

struct cluster_state;

// Requests stop this long before the leave time ends, because a congested link may delay a packet by half a
// second.
constexpr duration leave_safety_margin = std::chrono::milliseconds{500};

// The latest renewal that control answered at one revision.
struct answered_renewal {
    revision_number revision = 0;
    time_point sent_at{}; // send time of the renewal
    auto operator<=>(const answered_renewal&) const = default;
};

// A leaving server, identified by its id and start number.
struct leaving_server {
    std::uint64_t start_number = 0;
    std::optional<time_point> earliest_ack; // acknowledged no earlier than this; none = unknown
    auto operator<=>(const leaving_server&) const = default;
};

struct leave_deadlines {
    std::deque<answered_renewal> renewals; // oldest first, revisions ascending
    std::map<server_id, leaving_server> leaves;
};

// Records that control was at `revision` when it answered a renewal sent at `sent_at`.
void record_answered_renewal(leave_deadlines& t, revision_number revision, time_point sent_at);

// Updates the leaving servers from this copy of the cluster state, whose new entries committed at
// `first_new_revision` or later. Returns the servers that are newly leaving.
std::vector<server_id> update_leaving_servers(leave_deadlines& t, const cluster_state& s,
                                              revision_number first_new_revision);

// Returns whether the server is leaving and must not be sent any more requests.
bool leave_time_has_expired(const leave_deadlines& t, const server_id& server, duration leave_time,
                            time_point now);

} // namespace larchpin
