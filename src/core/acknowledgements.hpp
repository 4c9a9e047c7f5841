// Positions up to which an instance has passed on acknowledgements of commits, in groups whose replicas
// confirm each commit.
//
// The position of a commit itself is not known. It is above every position that the primary's log had when
// the commit was sent, and at most the one that came with its acknowledgement; that one may include other
// commits which are still being confirmed. Both bounds are kept: replicas certainly hold the log up to the
// lower one, since commits are confirmed in the order of the log, and no acknowledged commit is beyond the
// upper one. A commit that was sent before replicas had to confirm it raises only the upper one: no replica
// may have it.
#pragma once

#include "core/cluster_state.hpp"

#include <map>
#include <vector>

namespace larchpin {

// Bounds of the acknowledged commits of one term of a group.
struct acknowledged_mark {
    group_id group;
    term_number term = 0;
    log_position confirmed = 0; // some replica has received the log up to here
    log_position highest = 0;   // no acknowledged commit is beyond
    auto operator<=>(const acknowledged_mark&) const = default;
};

// What was known of the group when a commit was sent.
struct commit_start {
    log_position position = 0; // the highest that was seen of the primary's log
    bool is_promised = false;  // replicas have to confirm the commit
    auto operator<=>(const commit_start&) const = default;
};

// Returns the bounds of a commit whose acknowledgement came with `position`, which is beyond the start.
acknowledged_mark make_mark(const group_id& group, term_number term, const commit_start& sent,
                            log_position position);

// Raises `known` to the bounds of `told`. A mark of a later term replaces that of an earlier one.
void merge_mark(acknowledged_mark& known, const acknowledged_mark& told);

// Marks of one instance, and those that it holds for others. Leaders are told of changes only, so each mark
// is kept with what the present leader has acknowledged.
struct acknowledgement_ledger {
    struct entry {
        acknowledged_mark mark;
        acknowledged_mark told;
        std::uint64_t told_to = 0; // term of the leader that has acknowledged `told`
        time_point recorded_at{};  // latest
        bool is_promised = false;  // by the group's record as this instance knows it
        auto operator<=>(const entry&) const = default;
    };
    std::map<group_id, entry> groups;
    bool operator==(const acknowledgement_ledger&) const = default;
};

// Records that a commit is acknowledged to a caller. `position` came with the acknowledgement, and is that of
// the start if nothing was written. Returns false, and records nothing, if it is below: the log has gone
// back.
bool record_acknowledgement(acknowledgement_ledger& l, const group_id& group, term_number term,
                            const commit_start& sent, log_position position, time_point now);

// Records marks of another instance. Returns those that are not taken: the group's term has ended or is
// fenced by what this instance knows, so control may have been told already what is held here; or they
// contradict themselves.
std::vector<acknowledged_mark> record_held_marks(acknowledgement_ledger& l, const cluster_state& s,
                                                 const std::vector<acknowledged_mark>& marks, time_point now);

// Drops the marks of earlier terms and of groups whose replicas confirm nothing. The latter are kept for as
// long as an instance may act on an outdated record: replicas may confirm already what it acknowledged then.
void drop_outdated_marks(acknowledgement_ledger& l, const cluster_state& s, duration lease, time_point now);

// Returns the marks that the leader of this term has not acknowledged.
std::vector<acknowledged_mark> find_untold_marks(const acknowledgement_ledger& l, std::uint64_t leader_term);

// Records that the leader of this term has acknowledged these marks.
void record_told_marks(acknowledgement_ledger& l, std::uint64_t leader_term,
                       const std::vector<acknowledged_mark>& told);

} // namespace larchpin
