// What backend servers say of themselves, and what control makes of it: records, groups, starts.
//
// A server is known by its id, and each of its starts by when it started. Of announcements the later start
// goes first, within one start the count; an earlier start changes nothing. Clocks of servers step, so a
// start may look earlier than the one before: it is believed once its announcements have gone on for
// announcement_age while nothing is heard of the other. What cannot be told apart: a start with the figure of
// the one before, whose count has come further than that one's had; it is taken for the same start.
#pragma once

#include "core/control.hpp"

namespace larchpin {

// An announcement has come with a daemon's renewal; the same one may come several times, by several daemons.
void handle_announcement(control_state& c, const cluster_state& s, const server_announcement& a, time_point now,
                       control_actions& actions);

// The server that is to found a group has answered with its timeline.
void finish_group_creation(control_state& c, const cluster_state& s, const server_answer& answer,
                     control_actions& actions);

// A server that has ended loses its record, unless a group still needs another primary in its place.
void remove_if_stopped(control_state& c, const cluster_state& s, const server_announcement& a,
                    control_actions& actions);

// So does one that neither announces itself nor answers any more, while others announce themselves: it is
// gone without a word. Should it come back, it announces itself.
void remove_lost_servers(control_state& c, const cluster_state& s, time_point now, control_actions& actions);

} // namespace larchpin
