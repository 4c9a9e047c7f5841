// See failover.hpp.
//
// Index
//   [choice]  [steps]  [detection]  [public functions]
#include "core/failover.hpp"

#include "core/commit_safety.hpp"

#include <algorithm>
#include <limits>

namespace larchpin {
namespace {

//-----------------------------------------------------------------------------
// [choice]
//-----------------------------------------------------------------------------

void add_event(control_actions& actions, const failover& f, const std::string& what, const group_id& group,
               const server_id& server, time_point now) {
    actions.emplace_back(report_event{.event = what,
                                      .group = group,
                                      .server = server,
                                      .since_suspected = now - f.started_at,
                                      .planned = f.planned});
}

void enter_step(failover& f, failover_step step, time_point now) {
    f.step = step;
    f.step_started_at = now;
}

// Prefers the longest log, then the operator's target, then the higher weight, then the server id.
bool is_better_candidate(const cluster_state& s, const failover& f, const server_answer& a,
                         const server_answer& b) {
    if (a.timeline != b.timeline) {
        return a.timeline > b.timeline;
    }
    if (a.position != b.position) {
        return a.position > b.position;
    }
    const bool a_wanted = f.requested_target == a.server;
    const bool b_wanted = f.requested_target == b.server;
    if (a_wanted != b_wanted) {
        return a_wanted;
    }
    const unsigned a_weight = server_settings(s.current_table, a.server).weight;
    const unsigned b_weight = server_settings(s.current_table, b.server).weight;
    return a_weight != b_weight ? a_weight > b_weight : a.server < b.server;
}

// Returns true if the primary's process has restarted and lost its log, and every server of the group has
// answered with an older timeline, so that the newest timeline cannot be recovered. The longest remaining log
// is then eligible, if promotions go through an authority that fences by token (always_promote).
bool is_timeline_lost(const control_state& c, const cluster_state& s, const group_record& group,
                      const failover& f) {
    const auto servers = servers_of(s, group.id);
    return c.config.always_promote && has_primary_restarted(s, group) &&
           std::all_of(servers.begin(), servers.end(), [&f, &group](const server_record& server) {
               const auto answer = f.answers.find(server.id);
               return answer != f.answers.end() && answer->second.answered &&
                      answer->second.timeline < group.timeline;
           });
}

bool is_eligible(const control_state& c, const cluster_state& s, const group_record& group, const failover& f,
                 const server_answer& answer) {
    if (!answer.answered || !s.servers.contains(answer.server)) {
        return false;
    }
    if (f.accepts_loss) {
        return true; // an operator takes any log
    }
    if (answer.position < lowest_promotable_position(c, s, group, f)) {
        return false;
    }
    if (answer.timeline < group.timeline) {
        const bool is_acknowledged_here = find_acknowledged(c, group).confirmed > term_start_position(group);
        return !is_acknowledged_here && is_timeline_lost(c, s, group, f);
    }
    // A restarted primary may have lost a part of its log. It is not eligible while another server may hold
    // that part; the record of a server that is permanently lost is removed from the group.
    const bool lost_log = answer.server == group.primary && answer.position < f.position_before_restart;
    return !lost_log || servers_of(s, group.id).size() <= 1;
}

const server_answer* find_longest_log(const control_state& c, const cluster_state& s,
                                      const group_record& group, const failover& f, bool among_leaving) {
    const server_answer* best = nullptr;
    for (const auto& [id, answer] : f.answers) {
        if (!is_eligible(c, s, group, f, answer) || is_leaving(s, id) != among_leaving) {
            continue;
        }
        if (best == nullptr || is_better_candidate(s, f, answer, *best)) {
            best = &answer;
        }
    }
    return best;
}

// Returns the best candidate after a failure. A leaving server is selected only if no other server holds the
// log; the others can then replicate from it, and one of them takes over when it has caught up. Where no
// replica confirms commits, the others hold the log if they are on its timeline; else if they are as long.
const server_answer* find_failover_candidate(const control_state& c, const cluster_state& s,
                                             const group_record& group, const failover& f) {
    if (!f.accepts_loss && !has_enough_answers(c, s, group, f)) {
        return nullptr;
    }
    const server_answer* staying = find_longest_log(c, s, group, f, false);
    const server_answer* leaving = find_longest_log(c, s, group, f, true);
    if (staying == nullptr || leaving == nullptr) {
        return staying != nullptr ? staying : leaving;
    }
    const bool leaving_is_ahead =
        leaving->timeline > staying->timeline ||
        (leaving->timeline == staying->timeline && leaving->position > staying->position);
    return group.sync_replicas > 0 && leaving_is_ahead ? leaving : staying;
}

// Returns the best successor of a live primary that has reached `required_position`; only the target, if one
// is set.
const server_answer* find_successor(const control_state& c, const cluster_state& s, const group_record& group,
                                    const failover& f, log_position required_position) {
    const server_answer* best = nullptr;
    for (const auto& [id, answer] : f.answers) {
        const bool wanted = !f.requested_target || *f.requested_target == id;
        const bool holds_all = is_eligible(c, s, group, f, answer) && answer.position >= required_position;
        if (id == group.primary || !wanted || !holds_all || is_leaving(s, id)) {
            continue;
        }
        if (best == nullptr || is_better_candidate(s, f, answer, *best)) {
            best = &answer;
        }
    }
    return best;
}

// Returns the primary's answer. One on an older timeline is that of another process, which lacks the log.
const server_answer* find_primary_answer(const group_record& group, const failover& f) {
    const auto found = f.answers.find(group.primary);
    const bool known =
        found != f.answers.end() && found->second.answered && found->second.timeline >= group.timeline;
    return known ? &found->second : nullptr;
}

// Returns true if writes have been fenced for the time that the catch-up before the fence took, which is
// about the replication lag, plus switchover_timeout.
bool has_catch_up_timed_out(const control_state& c, const failover& f, time_point now) {
    const duration catch_up_time = f.fence_proposed_at - f.started_at;
    return now - f.fence_proposed_at >= catch_up_time + c.config.switchover_timeout;
}

// Returns a server whose promotion by an earlier leader has completed.
const server_answer* find_promoted(const group_record& group, const failover& f) {
    const auto found = std::find_if(f.answers.begin(), f.answers.end(), [&group](const auto& a) {
        return a.second.answered && a.second.is_primary && a.second.timeline > group.timeline;
    });
    return found == f.answers.end() ? nullptr : &found->second;
}

// Returns the candidate of a planned switchover. Behind the fence no server acknowledges writes, so a
// successor must have reached the old primary's present position.
const server_answer* find_switchover_candidate(const control_state& c, const cluster_state& s,
                                               const group_record& group, const failover& f, time_point now) {
    if (const server_answer* promoted = find_promoted(group, f)) {
        return promoted;
    }
    const server_answer* old = find_primary_answer(group, f);
    if (old == nullptr || !has_primary_log(c, s, group, f)) {
        return nullptr;
    }
    const server_answer* successor = find_successor(c, s, group, f, old->position);
    return successor == nullptr && has_catch_up_timed_out(c, f, now) ? old : successor;
}

//-----------------------------------------------------------------------------
// [steps]
//-----------------------------------------------------------------------------

// Returns the instances that are to ask a server which does not answer control: first those that observe it
// alive, then one of each failure domain. Where no replica confirms commits, nobody waits for its answer.
std::vector<std::string> choose_relays(const control_state& c, const cluster_state& s,
                                       const group_record& group, const server_id& server, time_point now) {
    constexpr std::size_t max_relays = 3;
    std::vector<std::string> relays;
    std::set<failure_domain> domains;
    const auto add = [&](const instance_id& id, const daemon_state& d) {
        const auto record = s.instances.find(id);
        if (relays.size() < max_relays && record != s.instances.end() && has_recent_observations(c, d, now) &&
            domains.insert(d.domain).second) {
            relays.push_back(record->second.address);
        }
    };
    if (group.sync_replicas == 0) {
        return relays;
    }
    for (const auto& [id, d] : c.daemons) {
        const auto seen = d.observations.find(server);
        if (seen != d.observations.end() && seen->second.alive) {
            add(id, d);
        }
    }
    for (const auto& [id, d] : c.daemons) {
        add(id, d);
    }
    return relays;
}

void query_positions(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                     failover_step step, time_point now, control_actions& actions) {
    enter_step(f, step, now);
    f.answers.clear();
    f.pending_operations.clear();
    // The old primary may be selected again, under the next term, if a majority of its observers report it
    // alive: its log is complete.
    const bool skip_primary = !f.planned && is_reported_dead(c, group.primary, now);
    for (const server_record& server : servers_of(s, group.id)) {
        if ((server.id == group.primary && skip_primary) || f.failed_candidates.contains(server.id)) {
            continue;
        }
        const std::uint64_t operation = c.next_operation++;
        f.pending_operations.insert(operation);
        actions.emplace_back(probe_server{
            .operation = operation, .server = server, .relays = choose_relays(c, s, group, server.id, now)});
    }
}

void query_replicas(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                    time_point now, control_actions& actions) {
    query_positions(c, s, group, f, failover_step::probing, now, actions);
}

// Returns true if a planned switchover should query the positions again. The interval grows with the time
// since `since`, which makes about twelve queries in the 7 s that a leaving server has by default.
bool may_query_again(const control_state& c, const failover& f, time_point since, time_point now) {
    const duration answer_timeout = f.pending_operations.empty() ? duration{0} : c.config.probe_timeout;
    const duration interval = std::max(c.config.catch_up_interval, (f.step_started_at - since) / 2);
    return now - f.step_started_at >= std::max(answer_timeout, interval);
}

void propose_fence(const control_state& c, const group_record& group, failover& f, time_point now,
                   control_actions& actions) {
    enter_step(f, failover_step::fencing, now);
    f.fence_proposed_at = now;
    f.pending_operations.clear();
    group_record next = group;
    next.phase = group_phase::fencing;
    raise_bounds(next, find_acknowledged(c, group));
    actions.emplace_back(propose_command{
        set_group{.expected_term = group.term, .expected_phase = group_phase::serving, .next = next}});
}

void propose_new_primary(const control_state& c, const cluster_state& s, const group_record& group,
                         failover& f, const server_answer& new_primary, time_point now,
                         control_actions& actions) {
    enter_step(f, failover_step::publishing, now);
    group_record next = group;
    next.term = group.term + 1;
    next.primary = new_primary.server;
    const auto record = s.servers.find(new_primary.server);
    next.primary_start_number = record == s.servers.end() ? 0 : record->second.start_number;
    next.phase = group_phase::serving;
    next.awaits_log = false;
    raise_bounds(next, find_acknowledged(c, group));
    next.timeline = new_primary.timeline;
    next.term_starts.push_back({.term = next.term, .position = new_primary.position});
    actions.emplace_back(
        propose_command{set_group{.expected_term = group.term,
                                  .expected_phase = group_phase::fencing,
                                  .next = next,
                                  .acknowledged_bound = find_acknowledged_bound(c, s, group, f)}});
    add_event(actions, f, "promoted", group.id, new_primary.server, now);
}

// Requests a promotion. Each request carries a higher fencing token than all earlier ones, so that a request
// whose answer was lost cannot take effect after a later one.
void request_promotion(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                       std::uint64_t timeline, time_point now, control_actions& actions) {
    const auto server = s.servers.find(*f.candidate);
    if (server == s.servers.end()) {
        f.failed_candidates.insert(*f.candidate); // removed since it answered
        query_replicas(c, s, group, f, now, actions);
        return;
    }
    const std::uint64_t operation = c.next_operation++;
    f.pending_operations = {operation};
    f.promotion_timeline = timeline;
    add_event(actions, f, "promoting", group.id, *f.candidate, now);
    actions.emplace_back(promote_server{.operation = operation,
                                        .server = server->second,
                                        .timeline = timeline,
                                        .token = make_monotonic_number(c, operation),
                                        .relays = choose_relays(c, s, group, *f.candidate, now)});
}

// Reports once each server whose answer the failover lacks, with the position that is awaited, and has writes
// refused until a log is complete.
void await_complete_log(const control_state& c, const cluster_state& s, const group_record& group,
                        failover& f, time_point now, control_actions& actions) {
    log_wait wait = find_log_wait(c, s, group, f);
    if (wait.may_be_unknown) {
        wait.servers.push_back({});
    }
    for (const server_id& id : wait.servers) {
        if (f.awaited.insert(id).second) {
            actions.emplace_back(report_event{.event = "failover_awaits_log",
                                              .group = group.id,
                                              .server = id,
                                              .since_suspected = now - f.started_at,
                                              .position = wait.position});
        }
    }
    if (!group.awaits_log) {
        group_record next = group;
        next.awaits_log = true;
        raise_bounds(next, find_acknowledged(c, group));
        actions.emplace_back(propose_command{
            set_group{.expected_term = group.term, .expected_phase = group_phase::fencing, .next = next}});
    }
}

// Reports the log that is promoted, beside the bounds of what was acknowledged.
void report_chosen_log(const control_state& c, const group_record& group, const failover& f,
                       const server_answer& chosen, time_point now, control_actions& actions) {
    if (group.sync_replicas > 0) {
        const acknowledged_mark mark = find_acknowledged(c, group);
        actions.emplace_back(report_event{.event = "failover_log_chosen",
                                          .group = group.id,
                                          .server = chosen.server,
                                          .since_suspected = now - f.started_at,
                                          .planned = f.planned,
                                          .instance = {},
                                          .position = chosen.position,
                                          .acknowledged_from = mark.confirmed,
                                          .acknowledged_to = mark.highest});
    }
}

void promote_best_candidate(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                            time_point now, control_actions& actions) {
    const server_answer* best =
        f.planned ? find_switchover_candidate(c, s, group, f, now) : find_failover_candidate(c, s, group, f);
    if (best == nullptr) {
        const bool is_promising = group.sync_replicas > 0 || group.protected_position > 0;
        if (!f.planned && is_promising) {
            await_complete_log(c, s, group, f, now, actions);
        }
        return;
    }
    if (!f.planned && !f.accepts_loss && awaits_marks(c, s, group, f, now)) {
        return;
    }
    if (best->is_primary && !c.config.always_promote) {
        // The old primary was selected again, or an earlier leader's promotion has completed.
        propose_new_primary(c, s, group, f, *best, now, actions);
        return;
    }
    enter_step(f, failover_step::promoting, now);
    f.candidate = best->server;
    f.candidate_position = best->position;
    report_chosen_log(c, group, f, *best, now, actions);
    request_promotion(c, s, group, f, best->timeline, now, actions);
}

// Aborts a switchover whose primary is reported alive but does not answer the leader. Without its position no
// successor is known to hold all acknowledged writes, so the old primary continues. Where replicas confirm
// commits, their answers tell which log holds all, and nobody is promoted without any.
void abort_switchover(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                      time_point now, control_actions& actions) {
    add_event(actions, f, "switchover_given_up", group.id, group.primary, now);
    if (group.sync_replicas > 0) {
        f.planned = false;
        query_replicas(c, s, group, f, now, actions);
        return;
    }
    const server_answer unchanged_primary{.server = group.primary,
                                          .answered = true,
                                          .is_primary = true,
                                          .timeline = group.timeline,
                                          .position = std::numeric_limits<log_position>::max()};
    if (!c.config.always_promote) {
        propose_new_primary(c, s, group, f, unchanged_primary, now, actions);
        return;
    }
    enter_step(f, failover_step::promoting, now);
    f.candidate = group.primary;
    f.candidate_position = 0;
    request_promotion(c, s, group, f, group.timeline, now, actions);
}

// Runs before the fence, while writes continue: sets the fence once a successor has reached the primary's
// position at the start. A replica with a constant lag needs the same time for the remainder, so writes are
// fenced for no longer than the catch-up took.
void advance_catch_up(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                      time_point now, control_actions& actions) {
    const server_answer* primary = find_primary_answer(group, f);
    if (!f.catch_up_position && primary != nullptr) {
        f.catch_up_position = primary->position;
    }
    const bool alive = !is_reported_dead(c, group.primary, now) && !has_primary_restarted(s, group);
    if (!alive) {
        begin_failover(c, s, group, false, {}, now, actions);
    } else if (f.catch_up_position && find_successor(c, s, group, f, *f.catch_up_position) != nullptr) {
        propose_fence(c, group, f, now, actions);
    } else if (now - f.started_at >= c.config.switchover_timeout && !is_leaving(s, group.primary)) {
        add_event(actions, f, "switchover_given_up", group.id, group.primary, now);
        c.failovers.erase(group.id);
    } else if (may_query_again(c, f, f.started_at, now)) {
        query_positions(c, s, group, f, failover_step::catching_up, now, actions);
    }
}

// Runs behind the fence: promotes the best candidate once the answers allow it, and repeats the queries until
// then.
void advance_probing(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                     time_point now, control_actions& actions) {
    if (f.planned && is_reported_dead(c, group.primary, now)) {
        f.planned = false; // continues as an unplanned failover
        query_replicas(c, s, group, f, now, actions);
        return;
    }
    if (f.planned && f.requested_target && has_catch_up_timed_out(c, f, now)) {
        f.requested_target.reset(); // any server with the complete log is eligible
    }
    if (f.pending_operations.empty() || now - f.step_started_at >= c.config.probe_timeout) {
        promote_best_candidate(c, s, group, f, now, actions);
    }
    if (f.step != failover_step::probing) {
        return;
    }
    const bool has_primary = find_primary_answer(group, f) != nullptr && has_primary_log(c, s, group, f);
    if (f.planned && has_catch_up_timed_out(c, f, now) && !has_primary) {
        abort_switchover(c, s, group, f, now, actions);
    } else if (f.planned && may_query_again(c, f, f.fence_proposed_at, now)) {
        query_replicas(c, s, group, f, now, actions);
    } else if (now - f.step_started_at >= c.config.probe_timeout + c.config.retry_delay) {
        f.failed_candidates.clear(); // failed servers may have recovered
        query_replicas(c, s, group, f, now, actions);
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [detection]
//-----------------------------------------------------------------------------

bool has_recent_observations(const control_state& c, const daemon_state& d, time_point now) {
    return now - d.last_renewal_at <= c.config.max_observation_age;
}

bool is_reported_dead(const control_state& c, const server_id& server, time_point now) {
    const auto observers = c.observers.find(server);
    if (observers == c.observers.end() || observers->second.empty()) {
        return false;
    }
    std::size_t dead_reports = 0;
    for (const instance_id& id : observers->second) {
        const auto d = c.daemons.find(id);
        if (d == c.daemons.end() || !has_recent_observations(c, d->second, now)) {
            continue;
        }
        const auto observation = d->second.observations.find(server);
        dead_reports += (observation != d->second.observations.end() && !observation->second.alive) ? 1 : 0;
    }
    return dead_reports >= observers->second.size() / 2 + 1;
}

bool is_reported_alive(const control_state& c, const server_id& server, time_point now) {
    return std::any_of(c.daemons.begin(), c.daemons.end(), [&](const auto& d) {
        const auto seen = d.second.observations.find(server);
        return seen != d.second.observations.end() && seen->second.alive &&
               now - d.second.last_renewal_at <= c.config.max_observation_age;
    });
}

bool is_leaving(const cluster_state& s, const server_id& server) {
    const auto known = s.servers.find(server);
    return server_settings(s.current_table, server).leaving ||
           (known != s.servers.end() && known->second.leaving);
}

bool should_replace_leaving_primary(control_state& c, const cluster_state& s, const group_record& group,
                                    time_point now, control_actions& actions) {
    if (!is_leaving(s, group.primary)) {
        c.groups_without_successor.erase(group.id);
        return false;
    }
    const auto last_attempt = c.last_switchover_at.find(group.id);
    if (last_attempt != c.last_switchover_at.end() &&
        now - last_attempt->second < c.config.switchover_retry_interval) {
        return false;
    }
    const auto servers = servers_of(s, group.id);
    const bool has_successor = std::any_of(servers.begin(), servers.end(), [&](const server_record& server) {
        return server.id != group.primary && !is_leaving(s, server.id) &&
               is_reported_alive(c, server.id, now);
    });
    if (has_successor) {
        c.groups_without_successor.erase(group.id);
    } else if (c.groups_without_successor.insert(group.id).second) {
        actions.emplace_back(report_event{
            .event = "leaving_primary_has_no_successor", .group = group.id, .server = group.primary});
    }
    return has_successor;
}

bool try_begin_failover(control_state& c, const group_record& group, time_point now) {
    constexpr unsigned unpaced = 2;
    failover_pace& pace = c.failover_paces[group.id];
    if (now < pace.not_before && group.seen_position == 0) {
        return false;
    }
    pace.fruitless = group.seen_position > 0 ? 0 : pace.fruitless + 1;
    duration pause{0};
    if (pace.fruitless >= unpaced) {
        pause = c.config.fruitless_failover_pause;
        for (unsigned i = unpaced; i < pace.fruitless && pause < c.config.max_fruitless_failover_pause; ++i) {
            pause *= 2;
        }
    }
    pace.not_before = now + std::min(pause, c.config.max_fruitless_failover_pause);
    return true;
}

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

void begin_failover(control_state& c, const cluster_state& s, const group_record& group, bool planned,
                    const server_id& target, time_point now, control_actions& actions) {
    failover f;
    f.started_at = now;
    f.planned = planned;
    if (!target.value.empty()) {
        f.requested_target = target;
    }
    add_event(actions, f, planned ? "switchover_started" : "primary_suspected", group.id, group.primary, now);
    failover& started = c.failovers[group.id];
    started = std::move(f);
    if (planned) {
        query_positions(c, s, group, started, failover_step::catching_up, now, actions);
    } else {
        propose_fence(c, group, started, now, actions);
    }
}

void sync_failover_with_record(control_state& c, const cluster_state& s, const group_record& group,
                               time_point now) {
    auto found = c.failovers.find(group.id);
    if (group.phase == group_phase::serving) {
        const bool is_past_fencing =
            found != c.failovers.end() && found->second.step > failover_step::fencing;
        if (is_past_fencing) {
            c.failovers.erase(found);
        }
        return;
    }
    if (found == c.failovers.end()) {
        failover f;
        f.started_at = now;
        f.fence_proposed_at = now;
        // A switchover of an earlier leader away from a leaving primary continues as a switchover.
        f.planned = is_leaving(s, group.primary);
        found = c.failovers.emplace(group.id, f).first;
    }
    if (found->second.step == failover_step::fencing) {
        found->second.fence_revision = s.revision;
        enter_step(found->second, failover_step::revoking, now);
    }
}

void advance_failover(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                      time_point now, control_actions& actions) {
    switch (f.step) {
    case failover_step::catching_up: advance_catch_up(c, s, group, f, now, actions); return;
    case failover_step::fencing:
    case failover_step::publishing: return; // waits for the commit
    case failover_step::revoking:
        if (is_in_force(c, s, f.fence_revision, now)) {
            add_event(actions, f, "writes_revoked", group.id, group.primary, now);
            query_replicas(c, s, group, f, now, actions);
        }
        return;
    case failover_step::probing: advance_probing(c, s, group, f, now, actions); return;
    case failover_step::promoting:
        if (now - f.step_started_at >= c.config.promotion_timeout && f.candidate) {
            f.failed_candidates.insert(*f.candidate);
            query_replicas(c, s, group, f, now, actions);
        }
        return;
    }
}

void handle_server_restart(control_state& c, const cluster_state& s, const group_record& group,
                           const server_id& server, log_position highest_position, time_point now,
                           control_actions& actions) {
    const auto running = c.failovers.find(group.id);
    const bool was_primary = group.primary == server;
    if (running == c.failovers.end()) {
        if (was_primary && group.phase == group_phase::serving) {
            begin_failover(c, s, group, false, {}, now, actions);
            c.failovers[group.id].position_before_restart = highest_position;
        }
        return;
    }
    failover& f = running->second;
    if (was_primary && f.step == failover_step::catching_up) {
        begin_failover(c, s, group, false, {}, now, actions);
        f.position_before_restart = highest_position;
        return;
    }
    f.answers.erase(server);
    if (was_primary) {
        f.position_before_restart = std::max(f.position_before_restart, highest_position);
        f.planned = false; // its position no longer covers all acknowledged writes
    }
    if (f.step == failover_step::promoting && f.candidate == server) {
        f.failed_candidates.insert(server);
        query_replicas(c, s, group, f, now, actions);
    }
}

void handle_failover_answer(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                            const server_answer& a, time_point now, control_actions& actions) {
    if (f.step == failover_step::probing || f.step == failover_step::catching_up) {
        f.answers[a.server] = a;
        advance_failover(c, s, group, f, now, actions);
    } else if (f.step == failover_step::promoting) {
        const bool has_new_timeline = a.timeline > group.timeline;
        const bool is_repromoted_primary =
            c.config.always_promote && a.server == group.primary && a.timeline == group.timeline;
        // A shorter log is that of another start, which was not announced yet.
        const bool lost_log = group.sync_replicas > 0 && a.position < f.candidate_position;
        if (a.answered && a.is_primary && !lost_log && (has_new_timeline || is_repromoted_primary)) {
            propose_new_primary(c, s, group, f, a, now, actions);
        } else if (a.outcome_unknown && s.servers.contains(a.server) &&
                   now - f.step_started_at < c.config.promotion_timeout) {
            request_promotion(c, s, group, f, f.promotion_timeline, now, actions);
        } else {
            f.failed_candidates.insert(a.server);
            query_replicas(c, s, group, f, now, actions);
        }
    }
}

} // namespace larchpin
