#include "core/leave_times.hpp"

#include "core/cluster_state.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// One a revision. Only those around what has been applied are looked at; a burst of changes between two
// renewals takes one place.
constexpr std::size_t max_renewals = 64;

// The latest renewal that control answered before it reached this revision.
std::optional<time_point> last_renewal_before(const leave_times& t, revision_number revision) {
    const auto after = std::find_if(t.renewals.begin(), t.renewals.end(),
                                    [revision](const current_revision& r) { return r.revision >= revision; });
    return after == t.renewals.begin() ? std::nullopt : std::optional{std::prev(after)->sent};
}

} // namespace

void note_current(leave_times& t, revision_number revision, time_point sent) {
    if (!t.renewals.empty() && revision < t.renewals.back().revision) {
        return; // overtaken on its way by a later one
    }
    if (!t.renewals.empty() && revision == t.renewals.back().revision) {
        t.renewals.back().sent = std::max(t.renewals.back().sent, sent);
        return;
    }
    t.renewals.push_back({.revision = revision, .sent = sent});
    if (t.renewals.size() > max_renewals) {
        t.renewals.pop_front();
    }
}

std::vector<server_id> follow_leaving(leave_times& t, const cluster_state& s, revision_number first_new) {
    std::erase_if(t.since, [&s](const auto& known) {
        const auto server = s.servers.find(known.first);
        return server == s.servers.end() || !server->second.leaving;
    });
    std::vector<server_id> learned;
    for (const auto& [id, server] : s.servers) {
        if (server.leaving && !t.since.contains(id)) {
            t.since[id] = last_renewal_before(t, first_new);
            learned.push_back(id);
        }
    }
    return learned;
}

bool is_leave_over(const leave_times& t, const server_id& server, duration leave_time, time_point now) {
    const auto known = t.since.find(server);
    if (known == t.since.end()) {
        return false;
    }
    return !known->second || now >= *known->second + leave_time - leave_slack;
}

} // namespace larchpin
