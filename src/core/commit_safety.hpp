// Keeps acknowledged commits through promotions, in groups whose servers acknowledge a commit only once a
// number of replicas have received it (group_record::sync_replicas).
//
// Each acknowledged commit is on the primary and on k = sync_replicas other servers of the group. Of n other
// servers, any n - k + 1 include one that holds the commit, so the longest log among that many answers holds
// every acknowledged commit. The log of the primary itself does, too. A promotion waits for such answers for
// as long as it takes: time alone makes no log complete.
//
// An answer is evidence only if it tells of the log with which the server confirmed commits:
//   - A server that was started again is no evidence until it has been seen at a position that the primary
//     had after that start (server_record::log_incomplete).
//   - A primary that was started again is evidence if it brings its log: a position on its own timeline at
//     which its log was seen cannot have come from elsewhere.
//   - A log that is behind what was observed of it belongs to a start that has not been announced yet.
//   - A server that has ended stays in its group until enough others have reached a position that the primary
//     had after that end. If it left by announcement, its log goes to its successor at the same address.
//
// A number of answers says nothing of a server that control has not heard of. So instances also tell up to
// where they acknowledged commits to callers (acknowledgements.hpp), and no shorter log is promoted, other
// than the primary's own. What an instance acknowledged after its last renewal is known only once it has
// confirmed the fence. Once all that may have acknowledged anything in the term have, a log that reaches the
// highest mark holds everything, and no further answer is needed.
//
// So that marks outlive the instance that acknowledged, a majority of the control instances stores them
// before the caller is told (mark_quorum.hpp).
//
// Not covered, of a server that control has not heard of: commits whose marks are gone, because all control
// instances that stored them have ended, or started again, before a leader learned of them.
//
// Where no replica has to confirm commits, none of this applies.
#pragma once

#include "core/control.hpp"

namespace larchpin {

// Records the positions that an observer reports.
void record_observed_marks(control_state& c, const cluster_state& s,
                           const std::vector<server_observation>& observations);

// Records the marks that a daemon tells with a renewal, and since when they are whole. Marks that contradict
// themselves are reported and ignored.
void record_told_marks(const control_state& c, const cluster_state& s, daemon_state& d, const renewal& r,
                       time_point now, control_actions& actions);

// Records when the group's term was applied.
void record_observed_term(control_state& c, const group_record& group, time_point now);

// Keeps the marks of a daemon whose process has ended.
void keep_marks_of_ended(control_state& c, const daemon_state& d);

// Returns the bounds of the commits that were acknowledged in the group's term, as far as daemons have told.
acknowledged_mark find_acknowledged(const control_state& c, const group_record& group);

// Returns a position beyond which no commit was acknowledged until now; 0 if it is unknown.
log_position find_acknowledged_bound(const control_state& c, const cluster_state& s,
                                     const group_record& group, const failover& f);

// Copies the bounds of acknowledged commits into the record.
void raise_bounds(group_record& record, const acknowledged_mark& bounds);

// Returns the lowest position at which a log is promoted: beyond it nothing was acknowledged. Once the
// primary's own log or every server of the group has answered, nothing is left to wait for but the position
// that some replica has surely received.
log_position lowest_promotable_position(const control_state& c, const cluster_state& s,
                                        const group_record& group, const failover& f);

// Puts positions into the log that the next leader cannot learn from daemons: once in a term of each group
// that the primary's log was seen beyond the beginning of the term, and the marks of daemons that are gone.
// Ignores marks beyond the primary's log, and reports them. All groups are looked at together, since each
// command sent alone costs every instance a message.
void record_positions(control_state& c, const cluster_state& s, time_point now, control_actions& actions);

// Returns true if the answers include one that holds every acknowledged commit of the group.
bool has_enough_answers(const control_state& c, const cluster_state& s, const group_record& group,
                        const failover& f);

// Returns true while marks may be missing that were told before the fence. Each mark of an acknowledged
// commit is stored by a majority of the control instances, and none after the fence: so until a majority has
// told what it holds, however long that takes. Besides, while any other instance that renews with this leader
// has not told its own marks, for two leases after the fence or after this leader began to lead, whichever
// was later: a control instance that has started again holds nothing, and an instance of an earlier version
// stores its marks nowhere.
bool awaits_marks(const control_state& c, const cluster_state& s, const group_record& group,
                  const failover& f, time_point now);

// Returns true if the answers include the primary's, with the log that it had.
bool has_primary_log(const control_state& c, const cluster_state& s, const group_record& group,
                     const failover& f);

// What a failover waits for.
struct log_wait {
    group_id group;
    log_position position = 0;      // that a log must have reached
    std::vector<server_id> servers; // whose answers would be evidence and are missing
    bool may_be_unknown = false;    // only a server that control has not heard of can hold the position
    auto operator<=>(const log_wait&) const = default;
};

log_wait find_log_wait(const control_state& c, const cluster_state& s, const group_record& group,
                       const failover& f);

// Returns the waits of all groups whose writes are refused for want of a log.
std::vector<log_wait> find_log_waits(const control_state& c, const cluster_state& s);

// Returns true if the server's record may be removed: it has ended, and other servers of its group hold every
// commit that it may have confirmed. Call repeatedly while the server has ended.
bool may_remove_server(control_state& c, const cluster_state& s, const server_record& server, time_point now);

// Marks the logs complete of those restarted servers that have caught up.
void complete_restarted_logs(control_state& c, const cluster_state& s, time_point now,
                             control_actions& actions);

} // namespace larchpin
