#include "core/lease.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr std::size_t max_pending_grants = 64;

duration scale(duration d, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * factor)};
}

} // namespace

duration holder_lease_duration(duration nominal) {
    return scale(nominal, 1.0 - clock_drift_bound);
}

duration grantor_lease_duration(duration nominal) {
    return scale(nominal, 1.0 + clock_drift_bound);
}

void add_grant(lease_state& l, time_point sent, duration nominal, revision_number granted_revision,
               revision_number applied_revision) {
    l.pending_grants.push_back(
        lease_grant{.revision = granted_revision, .expires_at = sent + holder_lease_duration(nominal)});
    if (l.pending_grants.size() > max_pending_grants) {
        l.pending_grants.pop_front();
    }
    record_applied(l, applied_revision);
}

void record_applied(lease_state& l, revision_number applied_revision) {
    for (const lease_grant& g : l.pending_grants) {
        if (g.revision <= applied_revision) {
            l.expires_at = std::max(l.expires_at, g.expires_at);
        }
    }
    std::erase_if(l.pending_grants,
                  [applied_revision](const lease_grant& g) { return g.revision <= applied_revision; });
}

void release_lease(lease_state& l) {
    l = lease_state{};
}

bool lease_is_live(const lease_state& l, time_point now) {
    return now < l.expires_at;
}

} // namespace larchpin
