// Decisions of the leading control instance: see control.hpp.
//
// Index
//   [leases]  [registration]  [shares]  [detection]  [failover]  [public functions]
#include "core/control.hpp"

#include "core/lease.hpp"
#include "core/rendezvous.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr std::size_t max_unconfirmed_replies = 32;
constexpr unsigned leader_term_shift = 40; // leaves a leader 2^40 of them
// A look at every server and every daemon; servers are forgotten after 12 s, so half a second more is
// nothing.
constexpr duration lost_look_interval = std::chrono::milliseconds{500};

//-----------------------------------------------------------------------------
// [leases]
//-----------------------------------------------------------------------------

void note_granted(daemon_state& d, revision_number revision, time_point until) {
    if (!d.leases.empty() && d.leases.back().revision == revision) {
        d.leases.back().until = std::max(d.leases.back().until, until);
    } else {
        d.leases.push_back({.revision = revision, .until = until});
    }
}

void forget_old_leases(daemon_state& d, time_point now) {
    while (d.leases.size() > 1 && d.leases.front().until <= now) { // the last one tells when it ended
        d.leases.pop_front();
    }
}

bool outlived_earlier_leases(const control_state& c, time_point now) {
    return now - c.leading_since >= grantor_length(c.config.lease);
}

// A grant of an older revision may still be acted upon until it runs out, unless the daemon has confirmed.
bool may_act_on_older(const daemon_state& d, revision_number revision, time_point now) {
    if (d.confirmed >= revision) {
        return false;
    }
    return std::any_of(d.leases.begin(), d.leases.end(), [revision, now](const granted_lease& g) {
        return g.revision < revision && g.until > now;
    });
}

//-----------------------------------------------------------------------------
// [registration]
//-----------------------------------------------------------------------------

void register_if_new(control_state& c, const cluster_state& s, const instance_record& record,
                     control_actions& actions) {
    const auto known = s.instances.find(record.id);
    const bool same = known != s.instances.end() && known->second == record;
    if (same || c.proposed_instances.contains(record.id)) {
        return;
    }
    c.proposed_instances.insert(record.id);
    actions.emplace_back(propose_command{register_instance{record}});
}

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
    const bool known_to_leave = known != s.servers.end() && known->second.leaving;
    if (record.leaving && !known_to_leave) {
        actions.emplace_back(note_event{.what = "server_leaves", .group = record.group, .server = record.id});
    }
}

// The record that an announcement asks for. That a server leaves is told to it as promised, so neither a
// later word of it, nor silence, nor another leader takes that back: it stands in the log until the record
// goes.
server_record wanted_record(const control_state& c, const cluster_state& s, const server_announcement& a) {
    server_record record = a.record;
    const auto known = s.servers.find(record.id);
    const auto proposed = c.proposed_servers.find(record.id);
    record.leaving = a.leaving || a.gone || (known != s.servers.end() && known->second.leaving) ||
                     (proposed != c.proposed_servers.end() && proposed->second.leaving);
    return record;
}

bool is_being_founded(const control_state& c, const group_id& group) {
    return std::any_of(c.founding.begin(), c.founding.end(),
                       [&group](const auto& f) { return f.second.record.group == group; });
}

// The first primary that announces itself founds the group. Later ones never change a record. One that does
// not tell its timeline is asked for it first.
void found_group(control_state& c, const cluster_state& s, const server_announcement& a,
                 control_actions& actions) {
    const group_id& group = a.record.group;
    if (!a.is_primary || s.groups.contains(group) || c.proposed_groups.contains(group)) {
        return;
    }
    if (a.timeline == 0) {
        if (!is_being_founded(c, group)) {
            const std::uint64_t operation = c.next_operation++;
            c.founding[operation] = a;
            actions.emplace_back(probe_server{.operation = operation, .server = a.record});
        }
        return;
    }
    group_record record;
    record.id = group;
    record.term = 1;
    record.primary = a.record.id;
    record.timeline = a.timeline;
    record.starts = {term_start{.term = 1, .position = 0}};
    c.proposed_groups.insert(group);
    actions.emplace_back(propose_command{
        set_group{.expected_term = 0, .expected_phase = group_phase::serving, .next = record}});
}

void finish_founding(control_state& c, const cluster_state& s, const server_answer& answer,
                     control_actions& actions) {
    server_announcement founder = c.founding.at(answer.operation);
    c.founding.erase(answer.operation);
    if (!answer.answered || !answer.is_primary) {
        return; // its next announcement tries again
    }
    founder.timeline = answer.timeline;
    found_group(c, s, founder, actions);
}

// A server that has ended loses its record, unless a group still needs another primary in its place.
void remove_if_gone(control_state& c, const cluster_state& s, const server_announcement& a,
                    control_actions& actions) {
    const auto group = s.groups.find(a.record.group);
    const bool needed = group != s.groups.end() && group->second.primary == a.record.id;
    if (!a.gone || needed || !s.servers.contains(a.record.id)) {
        return;
    }
    if (c.proposed_removals.insert(a.record.id).second) {
        actions.emplace_back(propose_command{remove_server{a.record.id}});
    }
}

// An announcement may be held up on its way until its sender has crashed and another server has come up at
// the same address. It tells nothing of today then: not the role, not the address, not that the server is
// leaving.
bool is_replaced(control_state& c, const cluster_state& s, const server_announcement& a, time_point now) {
    const server_id& id = a.record.id;
    server_id& holder = c.address_holders[a.record.host + ":" + std::to_string(a.record.port)];
    const auto heard = c.announced.find(holder);
    const bool holder_lives =
        heard != c.announced.end() && now - heard->second.at <= c.config.announcement_age;
    const bool known = c.announced.contains(id) || s.servers.contains(id) || c.replaced.contains(id);
    if (holder != id && !(known && holder_lives)) {
        if (!holder.value.empty()) {
            c.replaced.insert(holder);
        }
        c.replaced.erase(id);
        holder = id;
    }
    return holder != id && c.replaced.contains(id);
}

void take_announcement(control_state& c, const cluster_state& s, const server_announcement& a, time_point now,
                       control_actions& actions) {
    const auto earlier = c.announced.find(a.record.id);
    const bool overtaken = earlier != c.announced.end() && earlier->second.last.sequence > a.sequence;
    if (overtaken || c.said_goodbye.contains(a.record.id) || is_replaced(c, s, a, now)) {
        return;
    }
    c.announced[a.record.id] = seen_server{.last = a, .at = now};
    if (a.gone) {
        c.said_goodbye.insert(a.record.id); // on_tick() lets go of its record
        if (!s.servers.contains(a.record.id)) {
            return;
        }
    }
    register_if_new(c, s, wanted_record(c, s, a), actions);
    if (!a.gone) {
        found_group(c, s, a, actions);
    }
}

//-----------------------------------------------------------------------------
// [shares]
//-----------------------------------------------------------------------------

// The daemons that keep one connection even without a lease. Ranking all instances is too much for every
// renewal, so it is remembered until an instance's record changes.
void follow_reserves(control_state& c, const cluster_state& s, const share_key& key,
                     const server_record& server) {
    if (c.shares.accounts[key].reserves_revision != s.instances_revision) {
        set_reserves(c.shares, key, reserve_holders(s, server), s.instances_revision);
    }
}

// Whoever may still hold connections by an earlier leader's word has told this one. Instances without callers
// hold none, so one that is gone for good, as a replaced control instance is, need not be waited out. With
// that wait the first answer after a restart of everything came 0.6 s after the first lease (measured once).
bool knows_all_holders(const control_state& c, const cluster_state& s, time_point now) {
    if (!c.leading || outlived_earlier_leases(c, now)) {
        return c.leading;
    }
    return std::all_of(s.instances.begin(), s.instances.end(), [&c](const auto& i) {
        return !i.second.takes_callers || c.daemons.contains(i.first);
    });
}

unsigned grant_share(control_state& c, const cluster_state& s, const instance_id& daemon,
                     const share_claim& claim, bool everyone_known, time_point now) {
    const auto server = s.servers.find(claim.key.server);
    const service_entry* service = find_service(s.current, claim.key.service);
    if (server == s.servers.end() || service == nullptr) {
        return 0;
    }
    const auto record = s.instances.find(daemon);
    if (record == s.instances.end() || !record->second.takes_callers) {
        return 0; // no such record is committed yet, so the others' shares do not count it
    }
    follow_reserves(c, s, claim.key, server->second);
    const unsigned limit = connections_for_requests(service->max_connections, c.config.kept_connections);
    const share_decision decision =
        decide_share(c.shares, claim.key, c.daemons[daemon].number, claim.wanted, limit, now);
    // Until it is known what everyone holds, nobody gets more than it has.
    const unsigned cap = everyone_known ? decision.target : std::min(decision.target, claim.in_effect);
    return next_share(limit, cap, decision.held_by_others);
}

// Whoever may hold a part of a share stays a holder of it until it is known to hold nothing.
void follow_claims(control_state& c, daemon_state& d, const std::vector<share_claim>& claims) {
    d.claims.clear();
    for (const share_claim& claim : claims) {
        d.claims[claim.key] = claim;
        d.accounts.insert(claim.key);
    }
    std::erase_if(d.accounts, [&](const share_key& key) {
        const auto claim = d.claims.find(key);
        const unsigned held = held_share(d, key);
        if (claim == d.claims.end() && held == 0) {
            forget_holder(c.shares, key, d.number);
            return true;
        }
        note_holder(c.shares, key, d.number, held, claim == d.claims.end() ? 0 : claim->second.wanted);
        return false;
    });
}

void answer_claims(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                   renewal_reply& reply) {
    daemon_state& d = c.daemons[r.instance.id];
    sent_shares sent{.seq = reply.seq, .shares = {}};
    const bool everyone_known = knows_all_holders(c, s, now);
    for (const share_claim& claim : r.claims) {
        const unsigned share = grant_share(c, s, r.instance.id, claim, everyone_known, now);
        reply.shares.push_back({.key = claim.key, .connections = share});
        sent.shares[claim.key] = share;
        note_holder(c.shares, claim.key, d.number, std::max(share, held_share(d, claim.key)), claim.wanted);
    }
    d.unconfirmed.push_back(std::move(sent));
}

//-----------------------------------------------------------------------------
// [detection]
//-----------------------------------------------------------------------------

bool reports(const control_state& c, const daemon_state& d, time_point now) {
    return now - d.seen_at <= c.config.observation_age;
}

// Chooses one observer a failure domain among the daemons that report. Done anew only when those, or the
// servers, have changed: every daemon's rank for every server is looked at.
void assign_observers(control_state& c, const cluster_state& s, time_point now) {
    std::vector<observer_candidate> live;
    for (const auto& [id, d] : c.daemons) {
        if (reports(c, d, now)) {
            live.push_back({.id = id, .domain = d.domain});
        }
    }
    if (live == c.observer_candidates && c.observers.size() == s.servers.size()) {
        return;
    }
    c.observers.clear();
    c.observed_by.clear();
    for (const auto& [id, server] : s.servers) {
        c.observers[id] = choose_observers(live, id);
        for (const instance_id& observer : c.observers[id]) {
            c.observed_by[observer].push_back(id);
        }
    }
    c.observer_candidates = std::move(live);
}

// A majority of the observers must call it dead, so that neither a one-way cut nor one sick observer is
// taken for a death.
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

bool is_leaving(const cluster_state& s, const server_id& server) {
    const auto known = s.servers.find(server);
    return server_settings(s.current, server).leaving || (known != s.servers.end() && known->second.leaving);
}

bool looks_alive(const control_state& c, const server_id& server, time_point now) {
    return std::any_of(c.daemons.begin(), c.daemons.end(), [&](const auto& d) {
        const auto seen = d.second.observations.find(server);
        return seen != d.second.observations.end() && seen->second.alive &&
               now - d.second.seen_at <= c.config.observation_age;
    });
}

//-----------------------------------------------------------------------------
// [failover]
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

const server_answer* best_candidate(const cluster_state& s, const group_record& group, const failover& f) {
    const server_answer* best = nullptr;
    for (const auto& [id, answer] : f.answers) {
        if (!answer.answered || is_leaving(s, id) || answer.timeline < group.timeline) {
            continue;
        }
        if (best == nullptr || better_candidate(s, f, answer, *best)) {
            best = &answer;
        }
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

void publish(const group_record& group, failover& f, const server_answer& winner, time_point now,
             control_actions& actions) {
    enter(f, failover_step::publishing, now);
    group_record next = group;
    next.term = group.term + 1;
    next.primary = winner.server;
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
    const server_answer* best = best_candidate(s, group, f);
    if (best == nullptr) {
        return;
    }
    if (best->is_primary && !c.config.always_promote) {
        // The old primary was chosen again, or an earlier leader's promotion is found done.
        publish(group, f, *best, now, actions);
        return;
    }
    enter(f, failover_step::promoting, now);
    f.candidate = best->server;
    order_promotion(c, s, group, f, best->timeline, now, actions);
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

// Others announce themselves, but it neither does nor answers: it is gone without a word. Should it come
// back, it announces itself.
void forget_lost_servers(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (now - c.looked_for_lost_at < lost_look_interval) {
        return;
    }
    c.looked_for_lost_at = now;
    const bool hears = std::any_of(c.announced.begin(), c.announced.end(), [&](const auto& a) {
        return now - a.second.at <= c.config.announcement_age;
    });
    if (!hears || now - c.leading_since < c.config.forget_after) {
        return;
    }
    for (const auto& [id, server] : s.servers) {
        const auto heard = c.announced.find(id);
        const bool silent = heard == c.announced.end() || now - heard->second.at >= c.config.forget_after;
        const auto group = s.groups.find(server.group);
        const bool needed = group != s.groups.end() && group->second.primary == id;
        if (silent && !needed && !looks_alive(c, id, now) && c.proposed_removals.insert(id).second) {
            actions.emplace_back(propose_command{remove_server{id}});
        }
    }
}

// The primary says that it is leaving, and another server of the group can take over. That none can is noted
// once.
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

// Takes up what the log says: a fence that committed, a finished failover, an earlier leader's open one.
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

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

std::uint64_t number_across_leaders(const control_state& c, std::uint64_t count) {
    return (c.leader_term << leader_term_shift) + count;
}

void start_leading(control_state& c, std::uint64_t leader_term, time_point now) {
    const control_settings config = c.config;
    const std::uint64_t next_operation = c.next_operation;
    c = control_state{};
    c.config = config;
    c.next_operation = next_operation;
    c.leading = true;
    c.leading_since = now;
    c.leader_term = leader_term;
}

void stop_leading(control_state& c) {
    c.leading = false;
    c.failovers.clear();
}

bool settled(const control_state& c, const cluster_state& s, time_point now) {
    if (!c.leading || outlived_earlier_leases(c, now)) {
        return c.leading;
    }
    return std::all_of(s.instances.begin(), s.instances.end(),
                       [&c](const auto& i) { return c.daemons.contains(i.first); });
}

bool has_live_lease(const daemon_state& d, time_point now) {
    return std::any_of(d.leases.begin(), d.leases.end(),
                       [now](const granted_lease& g) { return g.until > now; });
}

unsigned held_share(const daemon_state& d, const share_key& key) {
    const auto claim = d.claims.find(key);
    unsigned held = claim == d.claims.end() ? 0 : claim->second.in_effect;
    for (const sent_shares& sent : d.unconfirmed) {
        const auto share = sent.shares.find(key);
        if (share != sent.shares.end()) {
            held = std::max(held, share->second);
        }
    }
    return held;
}

renewal_reply on_renewal(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                         control_actions& actions) {
    renewal_reply reply;
    daemon_state& d = c.daemons[r.instance.id];
    if (r.incarnation < d.incarnation) {
        reply.code = result_code::bad_message; // an earlier life of this instance
        return reply;
    }
    if (r.incarnation > d.incarnation) {
        const auto leases = d.leases; // the earlier life may not be dead yet, only slow
        d = daemon_state{};
        d.leases = leases;
        d.incarnation = r.incarnation;
        forget_holder(c.shares, number_holder(c.shares, r.instance.id));
    }
    d.number = number_holder(c.shares, r.instance.id);
    d.domain = r.instance.domain;
    d.confirmed = std::max(d.confirmed, r.applied);
    d.seen_at = now;
    d.observations.clear();
    for (const server_observation& o : r.observations) {
        d.observations[o.server] = o;
    }
    std::erase_if(d.unconfirmed, [&r](const sent_shares& sent) { return sent.seq <= r.last_reply_seq; });
    follow_claims(c, d, r.claims);
    for (const server_announcement& a : r.announcements) {
        take_announcement(c, s, a, now, actions);
    }
    register_if_new(c, s, r.instance, actions);
    reply.revision = s.revision;
    if (r.stopping) {
        d.leases.clear();
        d.claims.clear();
        d.unconfirmed.clear();
        forget_holder(c.shares, d.number);
        return reply;
    }
    reply.seq = number_across_leaders(c, ++d.replies);
    const bool roomy = d.unconfirmed.size() < max_unconfirmed_replies;
    if (roomy) {
        answer_claims(c, s, r, now, reply);
    }
    reply.lease = c.config.lease;
    forget_old_leases(d, now);
    note_granted(d, s.revision, now + grantor_length(c.config.lease));
    c.shares.counts_until[d.number] =
        now + grantor_length(c.config.lease) + grantor_length(c.config.share_grace);
    const auto observed = c.observed_by.find(r.instance.id);
    if (observed != c.observed_by.end()) {
        reply.observe = observed->second;
    }
    reply.control_addresses = c.control_addresses;
    return reply;
}

void on_applied(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (!c.leading) {
        return;
    }
    std::erase_if(c.proposed_instances, [&s](const instance_id& id) { return s.instances.contains(id); });
    std::erase_if(c.proposed_servers, [&s](const auto& p) {
        const auto known = s.servers.find(p.first);
        return known != s.servers.end() && known->second == p.second;
    });
    for (const server_id& id : c.proposed_removals) {
        if (!s.servers.contains(id)) {
            c.announced.erase(id); // whoever comes back starts anew
        }
    }
    std::erase_if(c.proposed_removals, [&s](const server_id& id) { return !s.servers.contains(id); });
    std::erase_if(c.proposed_groups, [&s](const group_id& id) { return s.groups.contains(id); });
    for (const auto& [id, group] : s.groups) {
        follow_record(c, group, s.revision, now);
    }
    on_tick(c, s, now, actions);
}

void on_tick(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (!c.leading) {
        return;
    }
    assign_observers(c, s, now);
    for (const auto& [id, group] : s.groups) {
        const auto running = c.failovers.find(id);
        if (running != c.failovers.end()) {
            advance(c, s, group, running->second, now, actions);
        } else if (group.phase == group_phase::fencing) {
            follow_record(c, group, s.revision, now);
        } else if (looks_dead(c, group.primary, now)) {
            begin_failover(c, group, false, {}, now, actions);
        } else if (must_leave_primary(c, s, group, now, actions)) {
            c.switched_at[id] = now;
            begin_failover(c, group, true, {}, now, actions);
        }
    }
    for (const auto& [id, seen] : c.announced) {
        remove_if_gone(c, s, seen.last, actions);
    }
    forget_lost_servers(c, s, now, actions);
}

void on_server_answer(control_state& c, const cluster_state& s, const server_answer& a, time_point now,
                      control_actions& actions) {
    if (c.founding.contains(a.operation)) {
        finish_founding(c, s, a, actions);
        return;
    }
    for (auto& [id, f] : c.failovers) {
        if (!f.open_operations.contains(a.operation)) {
            continue;
        }
        f.open_operations.erase(a.operation);
        const auto group = s.groups.find(id);
        if (group == s.groups.end()) {
            return;
        }
        if (f.step == failover_step::probing) {
            f.answers[a.server] = a;
            advance(c, s, group->second, f, now, actions);
        } else if (f.step == failover_step::promoting) {
            const bool new_reign = a.timeline > group->second.timeline;
            const bool same_reign = c.config.always_promote && a.server == group->second.primary &&
                                    a.timeline == group->second.timeline;
            if (a.answered && a.is_primary && (new_reign || same_reign)) {
                publish(group->second, f, a, now, actions);
            } else if (a.undecided && s.servers.contains(a.server) &&
                       now - f.step_at < c.config.promote_wait) {
                order_promotion(c, s, group->second, f, f.ordered_timeline, now, actions);
            } else {
                f.failed.insert(a.server);
                ask_replicas(c, s, group->second, f, now, actions);
            }
        }
        return;
    }
}

result_code start_switchover(control_state& c, const cluster_state& s, const group_id& group,
                             const server_id& target, time_point now, control_actions& actions) {
    const auto found = s.groups.find(group);
    if (found == s.groups.end()) {
        return result_code::no_such_record;
    }
    if (c.failovers.contains(group) || found->second.phase != group_phase::serving ||
        found->second.primary == target) {
        return result_code::switchover_refused;
    }
    if (!target.value.empty()) {
        const auto server = s.servers.find(target);
        const bool fits = server != s.servers.end() && server->second.group == group;
        if (!fits || !looks_alive(c, target, now)) {
            return result_code::switchover_refused;
        }
    }
    begin_failover(c, found->second, true, target, now, actions);
    return result_code::ok;
}

bool is_in_force(const control_state& c, const cluster_state& s, revision_number revision, time_point now) {
    return settled(c, s, now) && holding_back(c, s, revision, now).empty();
}

std::vector<instance_id> holding_back(const control_state& c, const cluster_state& s,
                                      revision_number revision, time_point now) {
    std::vector<instance_id> found;
    for (const auto& [id, d] : c.daemons) {
        if (may_act_on_older(d, revision, now)) {
            found.push_back(id);
        }
    }
    if (outlived_earlier_leases(c, now)) {
        return found;
    }
    // An earlier leader may have granted anyone a lease for anything that it has not confirmed to be past.
    for (const auto& [id, record] : s.instances) {
        const auto d = c.daemons.find(id);
        const bool confirmed = d != c.daemons.end() && d->second.confirmed >= revision;
        if (!confirmed && std::find(found.begin(), found.end(), id) == found.end()) {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace larchpin
