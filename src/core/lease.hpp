// A daemon's lease, as its holder sees it: may it send writes, and pass on their answers, right now?
//
// One lease covers all groups. Its time runs from the moment the renewal was sent, by the holder's own
// monotonic clock, shortened by the drift bound, so it ends before the grantor thinks it does. A grant
// counts only once the daemon has applied the revision that control had reached when it granted: so no
// daemon, however slow, acts on an old table for longer than one lease.
#pragma once

#include "core/types.hpp"

#include <deque>

namespace larchpin {

struct lease_grant {
    revision_number revision = 0; // counts once this is applied
    time_point expires_at{};           // by the holder's clock
    auto operator<=>(const lease_grant&) const = default;
};

struct lease_state {
    time_point expires_at{};               // of the grants that count
    std::deque<lease_grant> pending_grants; // of those whose revision is not applied yet
};

// What a grantor and a holder make of a lease's nominal length.
duration holder_lease_duration(duration nominal);
duration grantor_lease_duration(duration nominal);

// A renewal sent at `sent` was granted.
void add_grant(lease_state& l, time_point sent, duration nominal, revision_number granted_revision,
               revision_number applied_revision);

// The daemon has applied everything up to this revision.
void record_applied(lease_state& l, revision_number applied_revision);

// Gives the lease up, as a daemon does that stops.
void release_lease(lease_state& l);

bool lease_is_live(const lease_state& l, time_point now);

} // namespace larchpin
