// Which instances control has lost: those without a lease, told to all others.
//
// An instance that is cut off cannot tell anyone so, and whoever asks it for a connection learns it by
// waiting. The leading control instance knows after one lease. It tells the set with the answer to a renewal,
// and only to those that hold another one: while nobody is lost, nothing at all is sent.
//
// On the wire the set is one bit an instance, in the order of their ids, so that a cut through the
// middle of a large deployment costs each of the others a hundred bytes.
//
// Index
//   [messages]  [control's side]  [a daemon's side]
#pragma once

#include "core/cluster_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace larchpin {

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

// The set, for those who hold another one.
struct lost_update {
    std::uint64_t version = 0;               // of this set; 0: nobody is lost, whoever leads
    revision_number instances_revision = 0; // the bits stand for the instances of this revision
    std::string bits;                       // bit i % 8 of byte i / 8: instance i, by id
    auto operator<=>(const lost_update&) const = default;
};

//-----------------------------------------------------------------------------
// [control's side]
//-----------------------------------------------------------------------------

struct lost_tracker {
    std::set<instance_id> instances;
    bool is_known = false;     // this leader has looked
    std::uint64_t change_count = 0; // of the set, under this leader
    time_point checked_at{};
    time_point grace_until{}; // this leader itself stood still: silence says nothing yet
};

// Time to look who is lost, for a leader that calls this with every tick. One that has not looked for as long
// as a quarter of a lease stood still itself, and first gives everyone the time to renew.
bool is_check_due(lost_tracker& l, duration lease, time_point now);

// Takes what was seen. True where the set is another one now.
bool set_lost(lost_tracker& l, std::set<instance_id> lost);

// The instance has just renewed. True where the set is another one now.
bool remove_lost(lost_tracker& l, const instance_id& id);

std::string encode_lost(const std::set<instance_id>& lost,
                        const std::map<instance_id, instance_record>& instances);

//-----------------------------------------------------------------------------
// [a daemon's side]
//-----------------------------------------------------------------------------

struct lost_instance_set {
    std::uint64_t version = 0;
    std::set<instance_id> instances;
};

// Nothing changes where the news are about other instances than those known here: they come again with the
// next renewal, when this daemon's copy has caught up. True where they were taken.
bool apply_lost_update(lost_instance_set& k, const lost_update& update, const cluster_state& s);

} // namespace larchpin
