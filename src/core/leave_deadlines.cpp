#include "core/leave_deadlines.hpp"

#include "core/cluster_state.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// One per revision. Only the renewals around the applied revision are used; a burst of changes between two
// renewals takes one place.
constexpr std::size_t max_renewals = 64;

// Returns when the latest renewal that control answered before this revision was sent.
std::optional<time_point> last_renewal_before(const leave_deadlines& t, revision_number revision) {
    const auto after = std::find_if(t.renewals.begin(), t.renewals.end(),
                                    [revision](const answered_renewal& r) { return r.revision >= revision; });
    return after == t.renewals.begin() ? std::nullopt : std::optional{std::prev(after)->sent_at};
}

} // namespace

void record_answered_renewal(leave_deadlines& t, revision_number revision, time_point sent_at) {
    if (!t.renewals.empty() && revision < t.renewals.back().revision) {
        return; // a later renewal was processed first
    }
    if (!t.renewals.empty() && revision == t.renewals.back().revision) {
        t.renewals.back().sent_at = std::max(t.renewals.back().sent_at, sent_at);
        return;
    }
    t.renewals.push_back({.revision = revision, .sent_at = sent_at});
    if (t.renewals.size() > max_renewals) {
        t.renewals.pop_front();
    }
}

std::vector<server_id> update_leaving_servers(leave_deadlines& t, const cluster_state& s,
                                              revision_number first_new_revision) {
    std::erase_if(t.leaves, [&s](const auto& known) {
        const auto server = s.servers.find(known.first);
        return server == s.servers.end() || !server->second.leaving ||
               server->second.start_number != known.second.start_number;
    });
    std::vector<server_id> newly_leaving;
    for (const auto& [id, server] : s.servers) {
        if (server.leaving && !t.leaves.contains(id)) {
            t.leaves[id] = {.start_number = server.start_number,
                            .earliest_ack = last_renewal_before(t, first_new_revision)};
            newly_leaving.push_back(id);
        }
    }
    return newly_leaving;
}

bool leave_time_has_expired(const leave_deadlines& t, const server_id& server, duration leave_time,
                            time_point now) {
    const auto known = t.leaves.find(server);
    if (known == t.leaves.end()) {
        return false;
    }
    const std::optional<time_point>& earliest_ack = known->second.earliest_ack;
    return !earliest_ack || now >= *earliest_ack + leave_time - leave_safety_margin;
}

} // namespace larchpin
