// See announcements.hpp.
//
// Index
//   [records]  [group creation]  [addresses]  [starts]  [public functions]
#include "core/announcements.hpp"

#include "core/commit_safety.hpp"
#include "core/failover.hpp"

#include <algorithm>
#include <limits>

namespace larchpin {
namespace {

// Each check visits every server and every daemon. Servers are removed after 12 s, so a delay of half a
// second is negligible.
constexpr duration lost_check_interval = std::chrono::milliseconds{500};

//-----------------------------------------------------------------------------
// [records]
//-----------------------------------------------------------------------------

void register_if_new(control_state& c, const cluster_state& s, const server_record& record,
                     control_actions& actions) {
    const auto known = s.servers.find(record.id);
    if (known != s.servers.end() && known->second == record) {
        return;
    }
    const auto proposed = c.proposed_servers.find(record.id);
    if (proposed != c.proposed_servers.end() && proposed->second == record) {
        return;
    }
    c.proposed_servers[record.id] = record;
    actions.emplace_back(propose_command{register_server{record}});
    const bool already_leaving = known != s.servers.end() && known->second.leaving;
    if (record.leaving && !already_leaving) {
        actions.emplace_back(
            report_event{.event = "server_leaves", .group = record.group, .server = record.id});
    }
}

std::uint64_t next_start_number(control_state& c) {
    return make_monotonic_number(c, ++c.start_number_count);
}

// Returns the last proposed record of a server, or else the committed one.
const server_record* newest_record(const control_state& c, const cluster_state& s, const server_id& id) {
    const auto proposed = c.proposed_servers.find(id);
    if (proposed != c.proposed_servers.end()) {
        return &proposed->second;
    }
    const auto known = s.servers.find(id);
    return known == s.servers.end() ? nullptr : &known->second;
}

// Returns the record to propose for an announcement. A leaving server has been promised that it gets no more
// work, so neither a later announcement, nor silence, nor a change of leader resets `leaving`. A new start
// inherits nothing, and owes what an earlier one confirmed.
server_record make_server_record(control_state& c, const cluster_state& s, const server_announcement& a,
                                 bool is_new_start) {
    server_record record = a.record;
    const server_record* known = is_new_start ? nullptr : newest_record(c, s, record.id);
    const auto group = s.groups.find(record.group);
    const bool is_promising = group != s.groups.end() && group->second.sync_replicas > 0;
    record.log_incomplete =
        known != nullptr ? known->log_incomplete : is_promising && newest_record(c, s, record.id) != nullptr;
    record.leaving = a.leaving || a.stopped || (known != nullptr && known->leaving);
    record.start_number = known != nullptr ? known->start_number : next_start_number(c);
    if (record.slots == 0 && known != nullptr) {
        record.slots = known->slots; // announced once, holds for the whole start
    }
    return record;
}

//-----------------------------------------------------------------------------
// [group creation]
//-----------------------------------------------------------------------------

// Returns true if the group's primary is being queried. A query whose answer is overdue is abandoned, and the
// next announcement makes another one.
bool is_group_creation_pending(control_state& c, const group_id& group, time_point now) {
    std::erase_if(c.pending_group_creations, [&c, now](const auto& pending) {
        return now - pending.second.queried_at >= c.config.probe_timeout + c.config.retry_delay;
    });
    return std::any_of(c.pending_group_creations.begin(), c.pending_group_creations.end(),
                       [&group](const auto& f) { return f.second.announcement.record.group == group; });
}

// Creates a group when its first primary announces itself. Later announcements never change the group's
// record. A primary without a known timeline is probed for it first.
void create_group(control_state& c, const cluster_state& s, const server_announcement& a, time_point now,
                  control_actions& actions) {
    const group_id& group = a.record.group;
    if (!a.is_primary || s.groups.contains(group) || c.proposed_groups.contains(group)) {
        return;
    }
    if (a.timeline == 0) {
        if (!is_group_creation_pending(c, group, now)) {
            const std::uint64_t operation = c.next_operation++;
            c.pending_group_creations[operation] = {.announcement = a, .queried_at = now};
            actions.emplace_back(probe_server{.operation = operation, .server = a.record, .relays = {}});
        }
        return;
    }
    group_record record;
    record.id = group;
    record.term = 1;
    record.primary = a.record.id;
    const server_record* primary = newest_record(c, s, a.record.id);
    record.primary_start_number = primary == nullptr ? 0 : primary->start_number;
    record.timeline = a.timeline;
    record.term_starts = {term_start{.term = 1, .position = 0}};
    c.proposed_groups.insert(group);
    actions.emplace_back(propose_command{
        set_group{.expected_term = 0, .expected_phase = group_phase::serving, .next = record}});
}

//-----------------------------------------------------------------------------
// [addresses]
//-----------------------------------------------------------------------------

// Returns true if another server has replaced the sender at its address. An announcement may be delayed
// until its sender has crashed and another server runs at the same address; its role, address and leaving
// state are obsolete then. A later start of a known server is never the replaced holder of the address.
bool is_replaced(control_state& c, const cluster_state& s, const server_announcement& a, bool is_later_start,
                 time_point now) {
    const server_id& id = a.record.id;
    server_id& holder = c.address_holders[a.record.host + ":" + std::to_string(a.record.port)];
    const auto latest = c.latest_announcements.find(holder);
    const bool holder_is_alive = latest != c.latest_announcements.end() &&
                                 now - latest->second.received_at <= c.config.max_announcement_age;
    const bool known =
        c.latest_announcements.contains(id) || s.servers.contains(id) || c.replaced_servers.contains(id);
    if (holder != id && (is_later_start || !(known && holder_is_alive))) {
        if (!holder.value.empty()) {
            c.replaced_servers.insert(holder);
        }
        c.replaced_servers.erase(id);
        holder = id;
    }
    return holder != id && c.replaced_servers.contains(id);
}

//-----------------------------------------------------------------------------
// [starts]
//-----------------------------------------------------------------------------

// Start time and sequence number of the newest known announcement of a server.
struct announcement_stamp {
    std::uint64_t start_time_ms = 0;
    std::uint64_t sequence = 0;
};

std::optional<announcement_stamp> newest_stamp(const control_state& c, const cluster_state& s,
                                               const server_id& id) {
    const auto latest = c.latest_announcements.find(id);
    if (latest != c.latest_announcements.end()) {
        return announcement_stamp{.start_time_ms = latest->second.announcement.record.start_time_ms,
                                  .sequence = latest->second.announcement.sequence};
    }
    const auto stopped = c.stopped_starts.find(id);
    if (stopped != c.stopped_starts.end()) {
        return announcement_stamp{.start_time_ms = stopped->second,
                                  .sequence = std::numeric_limits<std::uint64_t>::max()};
    }
    const server_record* known = newest_record(c, s, id);
    return known == nullptr ? std::nullopt
                            : std::optional{announcement_stamp{.start_time_ms = known->start_time_ms}};
}

// Returns true once an outdated-looking announcement proves to come from a new start. Delayed announcements
// cease. A new start looks outdated if the clock was set back while the server was down, if two starts fell
// into one millisecond or if the server reports no start time. Its announcements continue with rising
// sequence numbers while the other start is silent.
bool confirms_new_start(control_state& c, const server_announcement& a, time_point now) {
    unverified_start& d = c.unverified_starts[a.record.id];
    const bool same = d.start_time_ms == a.record.start_time_ms && a.sequence >= d.sequence &&
                      now - d.last_received_at <= c.config.max_announcement_age;
    if (!same) {
        d = {.start_time_ms = a.record.start_time_ms,
             .sequence = a.sequence,
             .first_received_at = now,
             .last_received_at = now};
        return false;
    }
    const bool increased = a.sequence > d.sequence;
    d.sequence = a.sequence;
    d.last_received_at = now;
    const auto latest = c.latest_announcements.find(a.record.id);
    const bool other_is_silent = latest == c.latest_announcements.end() ||
                                 now - latest->second.received_at > c.config.max_announcement_age;
    return increased && other_is_silent && now - d.first_received_at >= c.config.max_announcement_age;
}

enum class announcement_order : std::uint8_t { outdated, same_start, new_start };

// Orders an announcement by its start time, then by its sequence number. An announcement without a start
// time is taken for the known start.
announcement_order compare_to_newest(control_state& c, const cluster_state& s, const server_announcement& a,
                                     time_point now) {
    const auto newest = newest_stamp(c, s, a.record.id);
    if (!newest) {
        return announcement_order::new_start;
    }
    const std::uint64_t start_time_ms = a.record.start_time_ms;
    if (newest->start_time_ms != 0 && start_time_ms > newest->start_time_ms) {
        return announcement_order::new_start;
    }
    const bool same = start_time_ms == newest->start_time_ms || newest->start_time_ms == 0;
    if (same && a.sequence >= newest->sequence) {
        return announcement_order::same_start;
    }
    return confirms_new_start(c, a, now) ? announcement_order::new_start : announcement_order::outdated;
}

log_position highest_seen_position(const control_state& c, const server_id& server) {
    log_position highest = 0;
    for (const auto& [id, d] : c.daemons) {
        const auto seen = d.observations.find(server);
        highest = std::max(highest, seen == d.observations.end() ? 0 : seen->second.position);
    }
    return highest;
}

// Discards all that is known of the earlier start. A restarted primary may have lost its data regardless of
// its announced role, so the server with the longest log becomes primary.
void handle_new_start(control_state& c, const cluster_state& s, const server_announcement& a, time_point now,
                      control_actions& actions) {
    const server_id& id = a.record.id;
    const log_position position_before = highest_seen_position(c, id);
    c.unverified_starts.erase(id);
    c.stopped_starts.erase(id);
    c.proposed_removals.erase(id);
    c.highest_marks.erase(id);
    for (auto& [daemon, d] : c.daemons) {
        d.observations.erase(id);
    }
    const auto known = s.servers.find(id);
    if (known == s.servers.end()) {
        return;
    }
    actions.emplace_back(
        report_event{.event = "server_started_again", .group = a.record.group, .server = id});
    const auto group = s.groups.find(known->second.group);
    if (group != s.groups.end()) {
        handle_server_restart(c, s, group->second, id, position_before, now, actions);
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

void handle_announcement(control_state& c, const cluster_state& s, const server_announcement& a,
                         time_point now, control_actions& actions) {
    const server_id& id = a.record.id;
    const announcement_order order = compare_to_newest(c, s, a, now);
    if (order == announcement_order::outdated) {
        return;
    }
    const bool is_new_start = order == announcement_order::new_start;
    const server_record* known = newest_record(c, s, id);
    if (!is_new_start && known != nullptr && known->group != a.record.group) {
        return; // from another process: a server never changes its group
    }
    const bool moves = known != nullptr && known->group != a.record.group;
    if (moves && !may_remove_server(c, s, *known, now)) {
        return; // its earlier group may have acknowledged commits that rest on the earlier start
    }
    if (is_replaced(c, s, a, is_new_start && newest_stamp(c, s, id).has_value(), now)) {
        return;
    }
    if (is_new_start) {
        handle_new_start(c, s, a, now, actions);
    }
    c.latest_announcements[id] = received_announcement{.announcement = a, .received_at = now};
    if (a.stopped) {
        c.stopped_starts[id] = a.record.start_time_ms; // on_tick() removes the record
        if (!s.servers.contains(id)) {
            return;
        }
    }
    register_if_new(c, s, make_server_record(c, s, a, is_new_start), actions);
    if (!a.stopped) {
        create_group(c, s, a, now, actions);
    }
}

void finish_group_creation(control_state& c, const cluster_state& s, const server_answer& answer,
                           time_point now, control_actions& actions) {
    const auto pending = c.pending_group_creations.find(answer.operation);
    if (pending == c.pending_group_creations.end()) {
        return;
    }
    server_announcement announcement = pending->second.announcement;
    c.pending_group_creations.erase(pending);
    if (!answer.answered || !answer.is_primary) {
        return; // the next announcement retries
    }
    announcement.timeline = answer.timeline;
    create_group(c, s, announcement, now, actions);
}

void remove_if_stopped(control_state& c, const cluster_state& s, const server_announcement& a, time_point now,
                       control_actions& actions) {
    const auto group = s.groups.find(a.record.group);
    const bool is_primary = group != s.groups.end() && group->second.primary == a.record.id;
    const auto known = s.servers.find(a.record.id);
    if (!a.stopped || is_primary || known == s.servers.end() ||
        !may_remove_server(c, s, known->second, now)) {
        return;
    }
    if (c.proposed_removals.insert(a.record.id).second) {
        actions.emplace_back(propose_command{remove_server{a.record.id}});
    }
}

void remove_lost_servers(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (now - c.lost_servers_checked_at < lost_check_interval) {
        return;
    }
    c.lost_servers_checked_at = now;
    const bool any_recent =
        std::any_of(c.latest_announcements.begin(), c.latest_announcements.end(), [&](const auto& a) {
            return now - a.second.received_at <= c.config.max_announcement_age;
        });
    if (!any_recent || now - c.leading_since < c.config.lost_server_timeout) {
        return;
    }
    for (const auto& [id, server] : s.servers) {
        const auto latest = c.latest_announcements.find(id);
        const bool silent = latest == c.latest_announcements.end() ||
                            now - latest->second.received_at >= c.config.lost_server_timeout;
        const auto group = s.groups.find(server.group);
        const bool is_primary = group != s.groups.end() && group->second.primary == id;
        if (silent && !is_primary && !is_reported_alive(c, id, now) && may_remove_server(c, s, server, now) &&
            c.proposed_removals.insert(id).second) {
            actions.emplace_back(propose_command{remove_server{id}});
        }
    }
}

} // namespace larchpin
