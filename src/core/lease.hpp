// Lease of a daemon, as its holder tracks it: the daemon sends writes and forwards their answers only while
// the lease is live.
//
// One lease covers all groups. It starts when the renewal was sent, by the holder's own monotonic clock, and
// is shortened by the drift bound, so it ends before the grantor considers it expired. A grant takes effect
// only after the daemon has applied the revision that control had reached when it granted the lease, so no
// daemon, however slow, acts on an outdated table for longer than one lease.
#pragma once

#include "core/types.hpp"

#include <deque>

namespace larchpin {

struct lease_grant {
    revision_number revision = 0; // takes effect once this is applied
    time_point expires_at{};      // holder's clock
    auto operator<=>(const lease_grant&) const = default;
};

struct lease_state {
    time_point expires_at{};                // latest expiry of the grants in effect
    std::deque<lease_grant> pending_grants; // grants whose revision is not applied yet
};

// Return the nominal lease duration less (holder) or plus (grantor) the clock drift bound.
duration holder_lease_duration(duration nominal);
duration grantor_lease_duration(duration nominal);

// Adds the grant for a renewal sent at `sent`.
void add_grant(lease_state& l, time_point sent, duration nominal, revision_number granted_revision,
               revision_number applied_revision);

// Puts the grants up to this applied revision into effect.
void record_applied(lease_state& l, revision_number applied_revision);

// Drops the lease and all pending grants when the daemon stops.
void release_lease(lease_state& l);

bool lease_is_live(const lease_state& l, time_point now);

} // namespace larchpin
