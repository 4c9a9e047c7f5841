// Lost instances: instances without a lease. The leading control instance reports them to all others.
//
// An instance that is cut off cannot report it, so a peer that requests a connection from it finds out only
// by a timeout. The leading control instance detects the loss after one lease. It sends the set with a
// renewal's reply, and only to daemons with another version: while no instance is lost, nothing is sent.
//
// The set is encoded as one bit per instance, in the order of the ids, so that a partition through the middle
// of a large deployment costs each other instance a hundred bytes.
//
// Index
//   [messages]  [control instance]  [daemon]
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

// The complete set of lost instances, sent to daemons with another version.
struct lost_instances_update {
    std::uint64_t version = 0;              // 0 = no instance is lost, under any leader
    revision_number instances_revision = 0; // revision of the instances that the bits refer to
    std::string bits;                       // bit i % 8 of byte i / 8: instance i, by id
    auto operator<=>(const lost_instances_update&) const = default;
};

//-----------------------------------------------------------------------------
// [control instance]
//-----------------------------------------------------------------------------

struct lost_instances_tracker {
    std::set<instance_id> instances;
    bool is_known = false;          // this leader has completed a check
    std::uint64_t change_count = 0; // changes of the set under this leader
    time_point checked_at{};
    time_point grace_until{}; // no checks until then: this leader was stalled
};

// Returns true if the lost instances are to be determined now. Called on every tick of the leader. A leader
// that has not checked for a quarter of a lease was stalled itself and first gives all instances time to
// renew.
bool is_check_due(lost_instances_tracker& l, duration lease, time_point now);

// Replaces the set. Returns true if it changed.
bool set_lost(lost_instances_tracker& l, std::set<instance_id> lost);

// Removes an instance that has renewed its lease. Returns true if the set changed.
bool remove_lost(lost_instances_tracker& l, const instance_id& id);

std::string encode_lost(const std::set<instance_id>& lost,
                        const std::map<instance_id, instance_record>& instances);

//-----------------------------------------------------------------------------
// [daemon]
//-----------------------------------------------------------------------------

struct lost_instance_set {
    std::uint64_t version = 0;
    std::set<instance_id> instances;
};

// Applies an update and returns true. Ignores it and returns false if it refers to another revision of the
// instances; it is sent again with the next renewal, when this daemon's copy has caught up.
bool apply_lost_instances_update(lost_instance_set& k, const lost_instances_update& update,
                                 const cluster_state& s);

} // namespace larchpin
