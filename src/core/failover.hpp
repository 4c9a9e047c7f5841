// Failover and planned switchover of a replication group's primary. control.hpp lists the steps.
#pragma once

#include "core/control.hpp"

namespace larchpin {

//-----------------------------------------------------------------------------
// [detection]
//-----------------------------------------------------------------------------

// Returns true if the daemon's last renewal is at most max_observation_age old, so that its observations
// count.
bool has_recent_observations(const control_state& c, const daemon_state& d, time_point now);

// Returns true if a majority of the server's observers report it dead. A majority is required so that neither
// a one-way partition nor one faulty observer triggers a failover.
bool is_reported_dead(const control_state& c, const server_id& server, time_point now);

// Returns true if any daemon with recent observations has had an answer from the server.
bool is_reported_alive(const control_state& c, const server_id& server, time_point now);

// Returns true if the server's committed announcement or the operators' settings mark it as leaving.
bool is_leaving(const cluster_state& s, const server_id& server);

// Returns true if the primary is leaving, another server of the group can take over and
// switchover_retry_interval has passed since the last attempt. Emits one event when no successor is
// available.
bool should_replace_leaving_primary(control_state& c, const cluster_state& s, const group_record& group,
                                    time_point now, control_actions& actions);

// Returns true if a failover may begin now, and counts it. A promotion that brought no progress is unlikely
// to help the next time: from the third in a row on, each waits longer.
bool try_begin_failover(control_state& c, const group_record& group, time_point now);

//-----------------------------------------------------------------------------
// [steps]
//-----------------------------------------------------------------------------

// Starts a failover, or a switchover if `planned`. `target`: the preferred new primary; empty = any.
void begin_failover(control_state& c, const cluster_state& s, const group_record& group, bool planned,
                    const server_id& target, time_point now, control_actions& actions);

// Updates the failover from the committed group record: a committed fence, a completed failover, or an open
// failover of an earlier leader.
void sync_failover_with_record(control_state& c, const cluster_state& s, const group_record& group,
                               time_point now);

// Advances the failover after a timer tick or after an event that it waits for.
void advance_failover(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                      time_point now, control_actions& actions);

// Handles a server's answer to a position query or to a promotion request.
void handle_failover_answer(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                            const server_answer& a, time_point now, control_actions& actions);

// Handles a restart of a server of the group: discards its earlier answers, and selects another candidate if
// the server was being promoted. `highest_position`: the highest log position observed before the restart.
void handle_server_restart(control_state& c, const cluster_state& s, const group_record& group,
                           const server_id& server, log_position highest_position, time_point now,
                           control_actions& actions);

} // namespace larchpin
