// Processes the announcements of backend servers: records, groups and restarts.
//
// A server is identified by its id, and each of its starts by the start time. The announcement with the
// later start time is newer; within one start, the higher sequence number is newer. Announcements of an
// earlier start are ignored. A server's clock may step back, so a new start may look earlier than the
// previous one. It is accepted once its announcements have continued for max_announcement_age without any
// announcement of the other start. One case cannot be detected: a start with the start time of the previous
// one and a higher sequence number is taken for the same start.
#pragma once

#include "core/control.hpp"

namespace larchpin {

// Processes an announcement that arrived with a daemon's renewal. Several daemons may deliver the same one
// repeatedly.
void handle_announcement(control_state& c, const cluster_state& s, const server_announcement& a,
                         time_point now, control_actions& actions);

// Creates a group once its future primary has answered with its timeline.
void finish_group_creation(control_state& c, const cluster_state& s, const server_answer& answer,
                           time_point now, control_actions& actions);

// Removes the record of a stopped server, unless the server is still the primary of its group or acknowledged
// commits may rest on its log (commit_safety.hpp).
void remove_if_stopped(control_state& c, const cluster_state& s, const server_announcement& a, time_point now,
                       control_actions& actions);

// Removes servers that neither announce themselves nor answer while other servers announce themselves. A
// removed server returns by announcing itself.
void remove_lost_servers(control_state& c, const cluster_state& s, time_point now, control_actions& actions);

} // namespace larchpin
