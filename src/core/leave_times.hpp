// Until when an instance may send requests to servers that leave.
//
// A server that announces that it leaves is told so only once control has agreed on it in its log. From that
// acknowledgement on it counts the time that it was promised; nothing may reach it afterwards, whoever is
// cut off, starts again or leads meanwhile. Nobody tells an instance when the acknowledgement was given, so
// it takes the earliest moment that it can have been: the last renewal that was sent before control had
// agreed. An instance in touch renews five times a lease and so gives away a fifth of a lease of the time;
// one that knows of no such renewal, as after its start, takes the time for over.
//
// Usage
//   record_answered_renewal(times, reply.revision, sent);                 // a renewal was answered
//   update_leaving_servers(times, cluster, e.index);                   // a command was applied
//   if (is_leave_over(times, server, leave_time, now)) ...     // before a request is sent
#pragma once

#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace larchpin {

struct cluster_state;

// Requests are sent so much earlier than they must have arrived: half a second is what a full link may hold a
// packet back.
constexpr duration leave_safety_margin = std::chrono::milliseconds{500};

// Control had reached only this revision when a renewal sent at `sent` came to it.
struct answered_renewal {
    revision_number revision = 0;
    time_point sent_at{}; // the latest such renewal
    auto operator<=>(const answered_renewal&) const = default;
};

// One start of a server that leaves.
struct leaving_server {
    std::uint64_t start_number = 0;
    std::optional<time_point> earliest_ack; // not acknowledged before; nothing: may have been at any time
    auto operator<=>(const leaving_server&) const = default;
};

struct leave_deadlines {
    std::deque<answered_renewal> renewals; // oldest first, revisions rise
    std::map<server_id, leaving_server> leaves;
};

void record_answered_renewal(leave_deadlines& t, revision_number revision, time_point sent_at);

// Takes up which servers leave in this copy of the state. What is new in it was agreed on at `first_new` or
// later. Returns the servers that are newly known to leave.
std::vector<server_id> update_leaving_servers(leave_deadlines& t, const cluster_state& s, revision_number first_new_revision);

// The server leaves, and nothing may be sent to it any more.
bool leave_time_has_expired(const leave_deadlines& t, const server_id& server, duration leave_time, time_point now);

} // namespace larchpin
