// See failover.hpp.
//
// Index
//   [choice]  [steps]  [detection]  [public functions]
#include "core/failover.hpp"

#include <algorithm>

namespace larchpin {
namespace {

//-----------------------------------------------------------------------------
// [choice]
//-----------------------------------------------------------------------------

void note(control_actions& actions, const failover& f, const std::string& what, const group_id& group,
          const server_id& server, time_point now) {
    actions.emplace_back(
        note_event{.what = what, .group = group, .server = server, .since_suspected = now - f.started_at});
}

void enter(failover& f, failover_step step, time_point now) {
    f.step = step;
    f.step_at = now;
}

// Prefers the longest log; among equals the operator's wish, then weight, then the name.
bool better_candidate(const cluster_state& s, const failover& f, const server_answer& a,
                      const server_answer& b) {
    if (a.timeline != b.timeline) {
        return a.timeline > b.timeline;
    }
    if (a.position != b.position) {
        return a.position > b.position;
    }
    const bool a_wanted = f.wanted == a.server;
    const bool b_wanted = f.wanted == b.server;
    if (a_wanted != b_wanted) {
        return a_wanted;
    }
    const unsigned a_weight = server_settings(s.current, a.server).weight;
    const unsigned b_weight = server_settings(s.current, b.server).weight;
    return a_weight != b_weight ? a_weight > b_weight : a.server < b.server;
}

// The primary's process is gone with what it held, and every server of the group has answered: none holds the
// newest timeline, and none will. Then the longest log there is goes on, under an authority that counts
// terms.
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

bool may_lead(const control_state& c, const cluster_state& s, const group_record& group, const failover& f,
              const server_answer& answer) {
    if (!answer.answered) {
        return false;
    }
    if (answer.timeline < group.timeline) {
        return is_timeline_lost(c, s, group, f);
    }
    // It started again and has lost a part of its log. As long as another server may hold that, waiting is
    // better than going on without it; one that is lost for good loses its record.
    const bool lost_log = answer.server == group.primary && answer.position < f.restarted_at;
    return !lost_log || servers_of(s, group.id).size() <= 1;
}

const server_answer* longest_log(const control_state& c, const cluster_state& s, const group_record& group,
                                 const failover& f, bool of_leaving) {
    const server_answer* best = nullptr;
    for (const auto& [id, answer] : f.answers) {
        if (!may_lead(c, s, group, f, answer) || is_leaving(s, id) != of_leaving) {
            continue;
        }
        if (best == nullptr || better_candidate(s, f, answer, *best)) {
            best = &answer;
        }
    }
    return best;
}

// A server that leaves goes on only where nobody else holds the log: the others can follow it then, and one
// of them takes over when it has caught up. A planned switch has tried to do without for a while before that.
const server_answer* best_candidate(const control_state& c, const cluster_state& s, const group_record& group,
                                    const failover& f, time_point now) {
    const server_answer* best = longest_log(c, s, group, f, false);
    if (best == nullptr && (!f.planned || now - f.started_at >= c.config.switchover_wait)) {
        best = longest_log(c, s, group, f, true);
    }
    // A planned switch waits for its target to hold everything that the old primary holds.
    if (best != nullptr && f.planned && f.wanted) {
        const auto wanted = f.answers.find(*f.wanted);
        const bool caught_up =
            wanted != f.answers.end() && wanted->second.answered && wanted->second.position >= best->position;
        return caught_up ? &wanted->second : nullptr;
    }
    return best;
}

//-----------------------------------------------------------------------------
// [steps]
//-----------------------------------------------------------------------------

void ask_replicas(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                  time_point now, control_actions& actions) {
    enter(f, failover_step::probing, now);
    f.answers.clear();
    f.open_operations.clear();
    // The old primary may go on, under the next term, where most observers have it back: its log is whole.
    const bool primary_is_out = !f.planned && looks_dead(c, group.primary, now);
    for (const server_record& server : servers_of(s, group.id)) {
        if ((server.id == group.primary && primary_is_out) || f.failed.contains(server.id)) {
            continue;
        }
        const std::uint64_t operation = c.next_operation++;
        f.open_operations.insert(operation);
        actions.emplace_back(probe_server{.operation = operation, .server = server});
    }
}

void publish(const cluster_state& s, const group_record& group, failover& f, const server_answer& winner,
             time_point now, control_actions& actions) {
    enter(f, failover_step::publishing, now);
    group_record next = group;
    next.term = group.term + 1;
    next.primary = winner.server;
    const auto record = s.servers.find(winner.server);
    next.primary_start = record == s.servers.end() ? 0 : record->second.start_number;
    next.phase = group_phase::serving;
    next.timeline = winner.timeline;
    next.starts.push_back({.term = next.term, .position = winner.position});
    actions.emplace_back(propose_command{
        set_group{.expected_term = group.term, .expected_phase = group_phase::fencing, .next = next}});
    note(actions, f, "promoted", group.id, winner.server, now);
}

// Each order carries a token above all earlier ones, so that one whose answer was lost cannot be carried out
// once a later one has been seen.
void order_promotion(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                     std::uint64_t timeline, time_point now, control_actions& actions) {
    const std::uint64_t operation = c.next_operation++;
    f.open_operations = {operation};
    f.ordered_timeline = timeline;
    note(actions, f, "promoting", group.id, *f.candidate, now);
    actions.emplace_back(promote_server{.operation = operation,
                                        .server = s.servers.at(*f.candidate),
                                        .timeline = timeline,
                                        .token = number_across_leaders(c, operation)});
}

void promote_best(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                  time_point now, control_actions& actions) {
    const server_answer* best = best_candidate(c, s, group, f, now);
    if (best == nullptr) {
        return;
    }
    if (best->is_primary && !c.config.always_promote) {
        // The old primary was chosen again, or an earlier leader's promotion is found done.
        publish(s, group, f, *best, now, actions);
        return;
    }
    enter(f, failover_step::promoting, now);
    f.candidate = best->server;
    order_promotion(c, s, group, f, best->timeline, now, actions);
}

} // namespace

//-----------------------------------------------------------------------------
// [detection]
//-----------------------------------------------------------------------------

bool reports(const control_state& c, const daemon_state& d, time_point now) {
    return now - d.seen_at <= c.config.observation_age;
}

bool looks_dead(const control_state& c, const server_id& server, time_point now) {
    const auto observers = c.observers.find(server);
    if (observers == c.observers.end() || observers->second.empty()) {
        return false;
    }
    std::size_t dead = 0;
    for (const instance_id& id : observers->second) {
        const auto d = c.daemons.find(id);
        if (d == c.daemons.end() || !reports(c, d->second, now)) {
            continue;
        }
        const auto seen = d->second.observations.find(server);
        dead += (seen != d->second.observations.end() && !seen->second.alive) ? 1 : 0;
    }
    return dead >= observers->second.size() / 2 + 1;
}

bool looks_alive(const control_state& c, const server_id& server, time_point now) {
    return std::any_of(c.daemons.begin(), c.daemons.end(), [&](const auto& d) {
        const auto seen = d.second.observations.find(server);
        return seen != d.second.observations.end() && seen->second.alive &&
               now - d.second.seen_at <= c.config.observation_age;
    });
}

bool is_leaving(const cluster_state& s, const server_id& server) {
    const auto known = s.servers.find(server);
    return server_settings(s.current, server).leaving || (known != s.servers.end() && known->second.leaving);
}

bool must_leave_primary(control_state& c, const cluster_state& s, const group_record& group, time_point now,
                        control_actions& actions) {
    if (!is_leaving(s, group.primary)) {
        c.without_successor.erase(group.id);
        return false;
    }
    const auto last = c.switched_at.find(group.id);
    if (last != c.switched_at.end() && now - last->second < c.config.switchover_pause) {
        return false;
    }
    const auto servers = servers_of(s, group.id);
    const bool succeeded = std::any_of(servers.begin(), servers.end(), [&](const server_record& server) {
        return server.id != group.primary && !is_leaving(s, server.id) && looks_alive(c, server.id, now);
    });
    if (succeeded) {
        c.without_successor.erase(group.id);
    } else if (c.without_successor.insert(group.id).second) {
        actions.emplace_back(note_event{
            .what = "leaving_primary_has_no_successor", .group = group.id, .server = group.primary});
    }
    return succeeded;
}

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

void begin_failover(control_state& c, const group_record& group, bool planned, const server_id& target,
                    time_point now, control_actions& actions) {
    failover f;
    f.started_at = now;
    f.step_at = now;
    f.planned = planned;
    if (!target.value.empty()) {
        f.wanted = target;
    }
    group_record next = group;
    next.phase = group_phase::fencing;
    actions.emplace_back(propose_command{
        set_group{.expected_term = group.term, .expected_phase = group_phase::serving, .next = next}});
    note(actions, f, planned ? "switchover_started" : "primary_suspected", group.id, group.primary, now);
    c.failovers[group.id] = std::move(f);
}

void follow_record(control_state& c, const group_record& group, revision_number revision, time_point now) {
    auto found = c.failovers.find(group.id);
    if (group.phase == group_phase::serving) {
        if (found != c.failovers.end() && found->second.step != failover_step::fencing) {
            c.failovers.erase(found);
        }
        return;
    }
    if (found == c.failovers.end()) {
        failover f;
        f.started_at = now;
        found = c.failovers.emplace(group.id, f).first;
    }
    if (found->second.step == failover_step::fencing) {
        found->second.fence_revision = revision;
        enter(found->second, failover_step::revoking, now);
    }
}

void advance(control_state& c, const cluster_state& s, const group_record& group, failover& f, time_point now,
             control_actions& actions) {
    switch (f.step) {
    case failover_step::fencing:
    case failover_step::publishing: return; // waits for the log
    case failover_step::revoking:
        if (is_in_force(c, s, f.fence_revision, now)) {
            note(actions, f, "writes_revoked", group.id, group.primary, now);
            ask_replicas(c, s, group, f, now, actions);
        }
        return;
    case failover_step::probing:
        if (f.planned && f.wanted && now - f.started_at >= c.config.switchover_wait) {
            f.wanted.reset(); // gives up: whoever has the longest log goes on, the old primary before all
        }
        if (f.open_operations.empty() || now - f.step_at >= c.config.probe_wait) {
            promote_best(c, s, group, f, now, actions);
        }
        if (f.step == failover_step::probing &&
            now - f.step_at >= c.config.probe_wait + c.config.retry_wait) {
            f.failed.clear(); // one that failed before may be back
            ask_replicas(c, s, group, f, now, actions);
        }
        return;
    case failover_step::promoting:
        if (now - f.step_at >= c.config.promote_wait && f.candidate) {
            f.failed.insert(*f.candidate);
            ask_replicas(c, s, group, f, now, actions);
        }
        return;
    }
}

void take_restart(control_state& c, const cluster_state& s, const group_record& group,
                  const server_id& server, log_position held, time_point now, control_actions& actions) {
    const auto running = c.failovers.find(group.id);
    const bool was_primary = group.primary == server;
    if (running == c.failovers.end()) {
        if (was_primary && group.phase == group_phase::serving) {
            begin_failover(c, group, false, {}, now, actions);
            c.failovers[group.id].restarted_at = held;
        }
        return;
    }
    failover& f = running->second;
    f.answers.erase(server);
    if (was_primary) {
        f.restarted_at = std::max(f.restarted_at, held);
    }
    if (f.step == failover_step::promoting && f.candidate == server) {
        f.failed.insert(server);
        ask_replicas(c, s, group, f, now, actions);
    }
}

void take_failover_answer(control_state& c, const cluster_state& s, const group_record& group, failover& f,
                          const server_answer& a, time_point now, control_actions& actions) {
    if (f.step == failover_step::probing) {
        f.answers[a.server] = a;
        advance(c, s, group, f, now, actions);
    } else if (f.step == failover_step::promoting) {
        const bool new_reign = a.timeline > group.timeline;
        const bool same_reign =
            c.config.always_promote && a.server == group.primary && a.timeline == group.timeline;
        if (a.answered && a.is_primary && (new_reign || same_reign)) {
            publish(s, group, f, a, now, actions);
        } else if (a.undecided && s.servers.contains(a.server) && now - f.step_at < c.config.promote_wait) {
            order_promotion(c, s, group, f, f.ordered_timeline, now, actions);
        } else {
            f.failed.insert(a.server);
            ask_replicas(c, s, group, f, now, actions);
        }
    }
}

} // namespace larchpin
