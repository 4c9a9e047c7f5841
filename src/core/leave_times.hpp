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
//   note_current(times, reply.revision, sent);                 // a renewal was answered
//   follow_leaving(times, cluster, e.index);                   // a command was applied
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
constexpr duration leave_slack = std::chrono::milliseconds{500};

// Control had reached only this revision when a renewal sent at `sent` came to it.
struct current_revision {
    revision_number revision = 0;
    time_point sent{}; // the latest such renewal
    auto operator<=>(const current_revision&) const = default;
};

// One start of a server that leaves.
struct known_leave {
    std::uint64_t start_number = 0;
    std::optional<time_point> since; // not acknowledged before; nothing: may have been at any time
    auto operator<=>(const known_leave&) const = default;
};

struct leave_times {
    std::deque<current_revision> renewals; // oldest first, revisions rise
    std::map<server_id, known_leave> leaves;
};

void note_current(leave_times& t, revision_number revision, time_point sent);

// Takes up which servers leave in this copy of the state. What is new in it was agreed on at `first_new` or
// later. Returns the servers that are newly known to leave.
std::vector<server_id> follow_leaving(leave_times& t, const cluster_state& s, revision_number first_new);

// The server leaves, and nothing may be sent to it any more.
bool is_leave_over(const leave_times& t, const server_id& server, duration leave_time, time_point now);

} // namespace larchpin
