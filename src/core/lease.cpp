#include "core/lease.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr std::size_t max_awaiting_grants = 64;

duration scale(duration d, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * factor)};
}

} // namespace

duration holder_length(duration nominal) {
    return scale(nominal, 1.0 - clock_drift_bound);
}

duration grantor_length(duration nominal) {
    return scale(nominal, 1.0 + clock_drift_bound);
}

void add_grant(lease_state& l, time_point sent, duration nominal, revision_number at,
               revision_number applied) {
    l.awaiting.push_back(lease_grant{.revision = at, .until = sent + holder_length(nominal)});
    if (l.awaiting.size() > max_awaiting_grants) {
        l.awaiting.pop_front();
    }
    note_applied(l, applied);
}

void note_applied(lease_state& l, revision_number applied) {
    for (const lease_grant& g : l.awaiting) {
        if (g.revision <= applied) {
            l.until = std::max(l.until, g.until);
        }
    }
    std::erase_if(l.awaiting, [applied](const lease_grant& g) { return g.revision <= applied; });
}

void drop_lease(lease_state& l) {
    l = lease_state{};
}

bool lease_is_live(const lease_state& l, time_point now) {
    return now < l.until;
}

} // namespace larchpin
