// How a group gets another primary: see the steps in control.hpp.
#pragma once

#include "core/control.hpp"

namespace larchpin {

//-----------------------------------------------------------------------------
// [detection]
//-----------------------------------------------------------------------------

// The daemon was heard lately, so its observations count.
bool has_recent_observations(const control_state& c, const daemon_state& d, time_point now);

// A majority of the server's observers call it dead, so that neither a one-way cut nor one sick observer is
// taken for a death.
bool is_reported_dead(const control_state& c, const server_id& server, time_point now);

// Anyone who was heard lately has an answer of it.
bool is_reported_alive(const control_state& c, const server_id& server, time_point now);

// By its own agreed word, or the operators'.
bool is_leaving(const cluster_state& s, const server_id& server);

// The primary says that it is leaving, and another server of the group can take over. That none can is noted
// once.
bool should_replace_leaving_primary(control_state& c, const cluster_state& s, const group_record& group, time_point now,
                        control_actions& actions);

//-----------------------------------------------------------------------------
// [steps]
//-----------------------------------------------------------------------------

// `target` may be empty.
void begin_failover(control_state& c, const cluster_state& s, const group_record& group, bool planned,
                    const server_id& target, time_point now, control_actions& actions);

// Takes up what the log says: a fence that committed, a finished failover, an earlier leader's open one.
void sync_failover_with_record(control_state& c, const cluster_state& s, const group_record& group, time_point now);

// Time passed, or something that the failover waits for has come.
void advance_failover(control_state& c, const cluster_state& s, const group_record& group, failover& f, time_point now,
             control_actions& actions);

// A server that was asked for its position, or ordered to promote, has answered.
void handle_failover_answer(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                          const server_answer& a, time_point now, control_actions& actions);

// A server of the group has started again: nothing that it answered counts, and if it was the candidate,
// another one is looked for. `held`: the highest position that it was seen with before.
void handle_server_restart(control_state& c, const cluster_state& s, const group_record& group,
                  const server_id& server, log_position highest_position, time_point now, control_actions& actions);

} // namespace larchpin
