// See commit_safety.hpp.
//
// Index
//   [evidence]  [catching up]  [acknowledged commits]  [public functions]
#include "core/commit_safety.hpp"

#include "core/failover.hpp"
#include "core/lease.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// A restart of everything meets a term without a recorded position for this long after its first commit.
constexpr duration position_record_interval = std::chrono::milliseconds{500};

//-----------------------------------------------------------------------------
// [evidence]
//-----------------------------------------------------------------------------

// An answer tells the server's own timeline, an observation that of its last commit, which may be older.
bool is_at_least(const server_answer& a, const log_mark& mark) {
    return a.timeline >= mark.timeline && a.position >= mark.position;
}

// Returns true if the answer tells of the log that the server is known for. A log on an older timeline counts
// only if it was observed before: a server that has just started again is on an older timeline, too.
bool is_known_log(const control_state& c, const group_record& group, const server_answer& a) {
    const auto highest = c.highest_marks.find(a.server);
    if (highest == c.highest_marks.end()) {
        return a.timeline >= group.timeline;
    }
    // A promotion may have rolled back what the server held beyond the new primary's log.
    const bool may_be_rolled_back = a.timeline >= group.timeline && highest->second.timeline < group.timeline;
    return may_be_rolled_back ? a.position >= term_start_position(group) : is_at_least(a, highest->second);
}

bool is_evidence(const control_state& c, const cluster_state& s, const group_record& group,
                 const server_answer& a) {
    const auto record = s.servers.find(a.server);
    return a.answered && record != s.servers.end() && !record->second.log_incomplete &&
           is_known_log(c, group, a);
}

// Returns true if the server has ended after a planned shutdown and its successor at the same address, which
// got its log, has answered.
bool is_log_moved(const control_state& c, const cluster_state& s, const group_record& group,
                  const failover& f, const server_record& ended) {
    if (!ended.leaving || !c.stopped_starts.contains(ended.id)) {
        return false;
    }
    const auto highest = c.highest_marks.find(ended.id);
    if (highest == c.highest_marks.end()) {
        return false;
    }
    return std::any_of(f.answers.begin(), f.answers.end(), [&](const auto& answer) {
        const auto record = s.servers.find(answer.first);
        const bool succeeds = answer.first != ended.id && record != s.servers.end() &&
                              record->second.group == ended.group && record->second.host == ended.host &&
                              record->second.port == ended.port;
        return succeeds && is_evidence(c, s, group, answer.second) &&
               is_at_least(answer.second, highest->second);
    });
}

bool has_evidence(const control_state& c, const cluster_state& s, const group_record& group,
                  const failover& f, const server_record& server) {
    const auto answer = f.answers.find(server.id);
    return (answer != f.answers.end() && is_evidence(c, s, group, answer->second)) ||
           is_log_moved(c, s, group, f, server);
}

// Returns true if a later start of the primary's process brings the log of the process that was made primary.
// One that started empty has nothing of the primary's timeline: nobody else had it to send. A position that
// was observed before the restart may be that of the later start already, so it does not tell that there was
// a log.
bool brings_primary_log(const control_state& c, const group_record& group, const failover& f,
                        const server_answer& a) {
    const log_position lowest = std::max(
        {lowest_primary_position(group), group.protected_position, find_acknowledged(c, group).confirmed});
    return a.answered && a.timeline == group.timeline && lowest > 0 &&
           a.position >= std::max(lowest, f.position_before_restart);
}

// Returns true if the primary's own log is among the answers, and it is the one that it had.
bool holds_primary_log(const control_state& c, const cluster_state& s, const group_record& group,
                       const failover& f) {
    const auto primary = s.servers.find(group.primary);
    if (primary == s.servers.end()) {
        return false;
    }
    const auto answer = f.answers.find(group.primary);
    const bool has_answer = answer != f.answers.end();
    if (has_primary_restarted(s, group)) {
        return has_answer && brings_primary_log(c, group, f, answer->second);
    }
    if (has_answer && answer->second.timeline < group.timeline) {
        return false;
    }
    // A process that was made primary held everything then, whatever an earlier start of it had lost.
    const bool leads_since_promotion = group.primary_start_number != 0;
    const bool has_own_log = leads_since_promotion && has_answer && answer->second.answered &&
                             is_known_log(c, group, answer->second);
    return has_own_log || has_evidence(c, s, group, f, primary->second);
}

//-----------------------------------------------------------------------------
// [catching up]
//-----------------------------------------------------------------------------

// Returns the positions at which the server's observers report it alive, in renewals since `earliest`.
std::vector<log_mark> find_marks(const control_state& c, const server_id& server, time_point earliest,
                                 time_point now) {
    std::vector<log_mark> marks;
    const auto observers = c.observers.find(server);
    if (observers == c.observers.end()) {
        return marks;
    }
    for (const instance_id& id : observers->second) {
        const auto d = c.daemons.find(id);
        if (d == c.daemons.end() || !has_recent_observations(c, d->second, now) ||
            d->second.last_renewal_at < earliest) {
            continue;
        }
        const auto seen = d->second.observations.find(server);
        if (seen != d->second.observations.end() && seen->second.alive && seen->second.timeline > 0) {
            marks.push_back({.timeline = seen->second.timeline, .position = seen->second.position});
        }
    }
    return marks;
}

// Returns the newest position of the primary that was certainly sampled after `since`: an observer that
// reports a server alive has had an answer within the detection time. A position below the recorded one is
// that of another process.
std::optional<log_mark> find_primary_mark(const control_state& c, const group_record& group, time_point since,
                                          time_point now) {
    if (group.phase != group_phase::serving) {
        return std::nullopt;
    }
    std::optional<log_mark> newest;
    for (const log_mark& mark : find_marks(c, group.primary, since + c.config.max_observation_age, now)) {
        if (mark.position >= lowest_primary_position(group)) {
            newest = newest ? std::max(*newest, mark) : mark;
        }
    }
    return newest;
}

// Returns the position that a log must reach to hold what the server confirmed until this start of it ended
// or began; nothing while that is unknown.
std::optional<log_mark> find_catch_up_mark(control_state& c, const group_record& group,
                                           const server_record& server, time_point now) {
    catch_up_goal& goal = c.catch_up_goals[server.id];
    if (goal.start_number != server.start_number || goal.term != group.term) {
        goal = {.start_number = server.start_number, .term = group.term, .since = now, .mark = {}};
    }
    if (!goal.mark) {
        goal.mark = find_primary_mark(c, group, goal.since, now);
    }
    return goal.mark;
}

bool is_observed_at(const control_state& c, const server_id& server, const log_mark& mark, time_point now) {
    const std::vector<log_mark> seen = find_marks(c, server, {}, now);
    return std::any_of(seen.begin(), seen.end(), [&mark](const log_mark& m) { return m >= mark; });
}

const group_record* find_promising_group(const cluster_state& s, const group_id& id) {
    const auto group = s.groups.find(id);
    return group == s.groups.end() || group->second.sync_replicas == 0 ? nullptr : &group->second;
}

void record_seen_position(control_state& c, const cluster_state& s, const group_record& group, time_point now,
                          control_actions& actions) {
    const auto proposed = c.seen_position_terms.find(group.id);
    const bool is_proposed = proposed != c.seen_position_terms.end() && proposed->second == group.term;
    if (group.seen_position > 0 || is_proposed || group.phase != group_phase::serving ||
        has_primary_restarted(s, group)) {
        return;
    }
    const auto mark = find_primary_mark(c, group, {}, now);
    if (!mark || mark->position <= lowest_primary_position(group)) {
        return;
    }
    c.seen_position_terms[group.id] = group.term;
    group_record next = group;
    next.seen_position = mark->position;
    actions.emplace_back(propose_command{
        set_group{.expected_term = group.term, .expected_phase = group_phase::serving, .next = next}});
}

//-----------------------------------------------------------------------------
// [acknowledged commits]
//-----------------------------------------------------------------------------

// Ignores marks beyond a position that the primary had after they were told: one daemon's fault must not stop
// failovers of the group for good.
void ignore_marks_beyond_log(control_state& c, const cluster_state& s, const group_record& group,
                             time_point now, control_actions& actions) {
    if (group.seen_position == 0 || has_primary_restarted(s, group)) {
        return; // an empty process may answer for the primary
    }
    for (auto& [id, d] : c.daemons) {
        const auto told = d.acknowledged.find(group.id);
        if (told == d.acknowledged.end() || !told->second.is_plausible) {
            continue;
        }
        const auto primary = find_primary_mark(c, group, told->second.at, now);
        if (primary && told->second.mark.highest > primary->position) {
            told->second.is_plausible = false;
            actions.emplace_back(report_event{.event = "acknowledged_mark_beyond_log",
                                              .group = group.id,
                                              .server = group.primary,
                                              .instance = id,
                                              .position = told->second.mark.highest});
        }
    }
}

// Returns true if the instance had no lease in the group's term. An earlier leader's leases are unknown.
bool had_no_lease(const control_state& c, const group_record& group, const instance_id& id) {
    const auto observed = c.observed_terms.find(group.id);
    const bool knows_leases = observed != c.observed_terms.end() && observed->second.term == group.term &&
                              observed->second.at - c.leading_since >= grantor_lease_duration(c.config.lease);
    if (!knows_leases) {
        return false;
    }
    const auto d = c.daemons.find(id);
    return d == c.daemons.end() ||
           std::none_of(d->second.leases.begin(), d->second.leases.end(),
                        [&](const granted_lease& lease) { return lease.expires_at > observed->second.at; });
}

// Returns true if every mark of the instance in the group's term is known.
bool has_told_all_marks(const control_state& c, const group_record& group, const failover& f,
                        const instance_id& id) {
    const auto d = c.daemons.find(id);
    if (d == c.daemons.end() || d->second.marks_revision < f.fence_revision || d->second.known_since == 0 ||
        d->second.known_since >= group.promised_since) {
        return had_no_lease(c, group, id);
    }
    const auto told = d->second.acknowledged.find(group.id);
    return told == d->second.acknowledged.end() || told->second.is_plausible;
}

// Returns true if all that may have been acknowledged in the group's term is known.
bool are_all_marks_known(const control_state& c, const cluster_state& s, const group_record& group,
                         const failover& f) {
    return f.fence_revision != 0 && group.promised_since != 0 &&
           std::all_of(s.instances.begin(), s.instances.end(), [&](const auto& instance) {
               return !instance.second.accepts_clients || has_told_all_marks(c, group, f, instance.first);
           });
}

// Returns true if a log reaches everything that was acknowledged, and all of that is known.
bool reaches_all_marks(const control_state& c, const cluster_state& s, const group_record& group,
                       const failover& f) {
    const log_position highest = std::max(group.protected_position, find_acknowledged(c, group).highest);
    const bool is_reached =
        highest > 0 && std::any_of(f.answers.begin(), f.answers.end(), [&](const auto& answer) {
            const server_answer& a = answer.second;
            return a.answered && a.timeline >= group.timeline && a.position >= highest &&
                   s.servers.contains(a.server);
        });
    return is_reached && are_all_marks_known(c, s, group, f);
}

// Returns true if every server of the group has answered, the primary included: no other log is left to wait
// for, whatever earlier starts of them held.
bool has_every_answer(const cluster_state& s, const group_record& group, const failover& f) {
    const auto servers = servers_of(s, group.id);
    return std::all_of(servers.begin(), servers.end(), [&](const server_record& server) {
        const auto answer = f.answers.find(server.id);
        return answer != f.answers.end() && answer->second.answered;
    });
}

// Returns true if the daemon has told all marks up to the fence.
bool has_told_until_fence(const failover& f, const daemon_state& d) {
    return d.marks_revision >= f.fence_revision;
}

// Returns true if a majority of the control instances has told the marks that it holds up to the fence.
bool has_majority_told(const control_state& c, const cluster_state& s, const failover& f) {
    const auto told = std::count_if(s.instances.begin(), s.instances.end(), [&](const auto& instance) {
        const auto& [id, record] = instance;
        const auto d = c.daemons.find(id);
        return d != c.daemons.end() && has_told_until_fence(f, d->second) &&
               std::find(c.control_addresses.begin(), c.control_addresses.end(), record.address) !=
                   c.control_addresses.end();
    });
    return c.control_addresses.empty() || static_cast<std::size_t>(told) > c.control_addresses.size() / 2;
}

bool is_gone(const control_state& c, const daemon_state& d, time_point now) {
    return !has_live_lease(d, now) && now - d.last_renewal_at >= grantor_lease_duration(c.config.lease);
}

void record_marks_of_gone_daemons(control_state& c, const group_record& group, time_point now,
                                  control_actions& actions) {
    acknowledged_mark gone{.group = group.id, .term = group.term};
    const auto past = c.past_marks.find(group.id);
    if (past != c.past_marks.end() && past->second.term == group.term) {
        merge_mark(gone, past->second);
    }
    for (const auto& [id, d] : c.daemons) {
        const auto told = d.acknowledged.find(group.id);
        const bool counts = told != d.acknowledged.end() && told->second.is_plausible &&
                            told->second.mark.term == group.term && is_gone(c, d, now);
        if (counts) {
            merge_mark(gone, told->second.mark);
        }
    }
    acknowledged_mark& proposed = c.proposed_marks[group.id];
    const bool is_recorded =
        gone.confirmed <= group.confirmed_position && gone.highest <= group.acknowledged_position;
    const bool is_proposed = proposed.term == group.term && proposed.confirmed >= gone.confirmed &&
                             proposed.highest >= gone.highest;
    if (is_recorded || is_proposed) {
        return;
    }
    proposed = gone;
    group_record next = group;
    raise_bounds(next, gone);
    actions.emplace_back(
        propose_command{set_group{.expected_term = group.term, .expected_phase = group.phase, .next = next}});
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

void record_observed_term(control_state& c, const group_record& group, time_point now) {
    observed_term& observed = c.observed_terms[group.id];
    if (observed.term != group.term) {
        observed = {.term = group.term, .at = now};
    }
}

void record_told_marks(const control_state& c, const cluster_state& s, daemon_state& d, const renewal& r,
                       time_point now, control_actions& actions) {
    if (r.known_since != 0) {
        d.known_since = r.known_since;
    } else if (d.known_since == 0) {
        // An instance without a record had no lease under any earlier incarnation.
        d.known_since = s.instances.contains(r.instance.id) ? std::max(s.revision, revision_number{1}) : 1;
    }
    // A daemon leaves out what the leader of its last reply has acknowledged.
    const bool is_whole = leader_term_of(r.last_reply_seq) == c.leader_term;
    if (is_whole) {
        d.marks_revision = std::max(d.marks_revision, r.applied_revision);
    }
    d.stopped = d.stopped || (r.stopping && is_whole);
    for (const acknowledged_mark& mark : r.acknowledged) {
        const auto group = s.groups.find(mark.group);
        if (group == s.groups.end() || group->second.sync_replicas == 0 || group->second.term != mark.term) {
            continue; // of an earlier term: the present primary holds it
        }
        if (mark.confirmed > mark.highest || mark.highest <= group->second.protected_position) {
            actions.emplace_back(report_event{.event = "acknowledged_mark_ignored",
                                              .group = mark.group,
                                              .server = group->second.primary,
                                              .position = mark.highest});
            continue;
        }
        told_mark& known = d.acknowledged[mark.group];
        if (known.mark.term != mark.term) {
            known = {};
        }
        merge_mark(known.mark, mark);
        known.at = now;
    }
}

void keep_marks_of_ended(control_state& c, const daemon_state& d) {
    for (const auto& [id, told] : d.acknowledged) {
        if (told.is_plausible) {
            merge_mark(c.past_marks[id], told.mark);
        }
    }
}

acknowledged_mark find_acknowledged(const control_state& c, const group_record& group) {
    acknowledged_mark found{.group = group.id,
                            .term = group.term,
                            .confirmed = group.confirmed_position,
                            .highest = std::max(group.confirmed_position, group.acknowledged_position)};
    const auto merge = [&](const acknowledged_mark& mark) {
        if (mark.term == group.term) {
            merge_mark(found, mark);
        }
    };
    const auto past = c.past_marks.find(group.id);
    if (past != c.past_marks.end()) {
        merge(past->second);
    }
    for (const auto& [id, d] : c.daemons) {
        const auto told = d.acknowledged.find(group.id);
        if (told != d.acknowledged.end() && told->second.is_plausible) {
            merge(told->second.mark);
        }
    }
    return found;
}

log_position find_acknowledged_bound(const control_state& c, const cluster_state& s,
                                     const group_record& group, const failover& f) {
    const bool is_known = group.sync_replicas > 0 && are_all_marks_known(c, s, group, f);
    return is_known ? std::max(group.protected_position, find_acknowledged(c, group).highest) : 0;
}

log_position lowest_promotable_position(const control_state& c, const cluster_state& s,
                                        const group_record& group, const failover& f) {
    const acknowledged_mark known = find_acknowledged(c, group);
    const bool has_all_logs = group.sync_replicas > 0 && holds_primary_log(c, s, group, f);
    return has_all_logs || has_every_answer(s, group, f) ? known.confirmed
                                                         : std::max(group.protected_position, known.highest);
}

void raise_bounds(group_record& record, const acknowledged_mark& bounds) {
    record.confirmed_position = bounds.confirmed;
    record.acknowledged_position = bounds.highest;
}

void record_observed_marks(control_state& c, const cluster_state& s,
                           const std::vector<server_observation>& observations) {
    const bool any_promise = std::any_of(s.groups.begin(), s.groups.end(),
                                         [](const auto& g) { return g.second.sync_replicas > 0; });
    if (!any_promise) {
        return;
    }
    for (const server_observation& o : observations) {
        if (o.timeline == 0) {
            continue; // it has not answered its observer yet
        }
        log_mark& highest = c.highest_marks[o.server];
        highest = std::max(highest, log_mark{.timeline = o.timeline, .position = o.position});
    }
}

void record_positions(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (now - c.positions_recorded_at < position_record_interval) {
        return;
    }
    c.positions_recorded_at = now;
    for (const auto& [id, group] : s.groups) {
        record_seen_position(c, s, group, now, actions);
        if (group.sync_replicas > 0) {
            ignore_marks_beyond_log(c, s, group, now, actions);
            record_marks_of_gone_daemons(c, group, now, actions);
        }
    }
}

bool has_primary_log(const control_state& c, const cluster_state& s, const group_record& group,
                     const failover& f) {
    return group.sync_replicas == 0 || holds_primary_log(c, s, group, f);
}

bool awaits_marks(const control_state& c, const cluster_state& s, const group_record& group,
                  const failover& f, time_point now) {
    if (group.sync_replicas == 0 || holds_primary_log(c, s, group, f)) {
        return false;
    }
    const time_point since = std::max(f.fence_proposed_at, c.leading_since);
    const bool is_in_time = now - since < 2 * grantor_lease_duration(c.config.lease);
    const bool awaits_others =
        is_in_time && std::any_of(c.daemons.begin(), c.daemons.end(), [&](const auto& daemon) {
            const auto& [id, d] = daemon;
            return s.instances.contains(id) && !has_told_until_fence(f, d) && !d.stopped &&
                   !is_gone(c, d, now);
        });
    return awaits_others || !has_majority_told(c, s, f);
}

bool has_enough_answers(const control_state& c, const cluster_state& s, const group_record& group,
                        const failover& f) {
    if (group.sync_replicas == 0 || holds_primary_log(c, s, group, f) || reaches_all_marks(c, s, group, f) ||
        has_every_answer(s, group, f)) {
        return true;
    }
    std::size_t others = 0;
    std::size_t known = 0;
    for (const server_record& server : servers_of(s, group.id)) {
        if (server.id != group.primary) {
            ++others;
            known += has_evidence(c, s, group, f, server) ? 1 : 0;
        }
    }
    const std::size_t needed = others >= group.sync_replicas ? others - group.sync_replicas + 1 : 1;
    return known >= needed;
}

log_wait find_log_wait(const control_state& c, const cluster_state& s, const group_record& group,
                       const failover& f) {
    log_wait wait{.group = group.id,
                  .position = lowest_promotable_position(c, s, group, f),
                  .servers = {},
                  .may_be_unknown = has_enough_answers(c, s, group, f)};
    for (const server_record& server : servers_of(s, group.id)) {
        if (!has_evidence(c, s, group, f, server)) {
            wait.servers.push_back(server.id);
        }
    }
    return wait;
}

std::vector<log_wait> find_log_waits(const control_state& c, const cluster_state& s) {
    std::vector<log_wait> waits;
    for (const auto& [id, f] : c.failovers) {
        const auto group = s.groups.find(id);
        if (group != s.groups.end() && group->second.awaits_log) {
            waits.push_back(find_log_wait(c, s, group->second, f));
        }
    }
    return waits;
}

bool may_remove_server(control_state& c, const cluster_state& s, const server_record& server,
                       time_point now) {
    const group_record* group = find_promising_group(s, server.group);
    if (group == nullptr) {
        return true;
    }
    const auto mark = find_catch_up_mark(c, *group, server, now);
    if (!mark) {
        return false;
    }
    std::size_t holders = 0;
    for (const server_record& other : servers_of(s, server.group)) {
        const bool stays = other.id != server.id && other.id != group->primary &&
                           !c.stopped_starts.contains(other.id) && !c.proposed_removals.contains(other.id);
        holders += stays && is_observed_at(c, other.id, *mark, now) ? 1 : 0;
    }
    return holders >= group->sync_replicas;
}

void complete_restarted_logs(control_state& c, const cluster_state& s, time_point now,
                             control_actions& actions) {
    for (const auto& [id, server] : s.servers) {
        const group_record* group = server.log_incomplete ? find_promising_group(s, server.group) : nullptr;
        if (group == nullptr || c.proposed_servers.contains(id)) {
            continue;
        }
        const auto mark = find_catch_up_mark(c, *group, server, now);
        const bool holds_all = mark && (id == group->primary || is_observed_at(c, id, *mark, now));
        if (holds_all) {
            server_record complete = server;
            complete.log_incomplete = false;
            c.proposed_servers[id] = complete;
            actions.emplace_back(propose_command{register_server{complete}});
        }
    }
}

} // namespace larchpin
