// Decisions of the leading control instance: see control.hpp.
//
// Index
//   [leases]  [lost instances]  [registration]  [shares]  [observers]  [renewals]  [public functions]
#include "core/control.hpp"

#include "core/announcements.hpp"
#include "core/control_talk.hpp"
#include "core/failover.hpp"
#include "core/lease.hpp"
#include "core/rendezvous.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr std::size_t max_unconfirmed_replies = 32;
constexpr unsigned leader_term_shift = 40; // leaves a leader 2^40 of them

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
// [lost instances]
//-----------------------------------------------------------------------------

// Neither a lease of it counts any more, nor has it renewed lately. A stopping one gives its lease back.
bool is_out_of_touch(const control_state& c, const instance_id& id, time_point now) {
    const auto d = c.daemons.find(id);
    if (d == c.daemons.end()) {
        return true; // asked for once all earlier leases have run out
    }
    return !has_live_lease(d->second, now) && now - d->second.seen_at >= grantor_length(c.config.lease);
}

// A leader that does not know yet whom its predecessor granted a lease calls nobody lost.
void follow_lost(control_state& c, const cluster_state& s, time_point now) {
    if (!is_time_to_look(c.lost, c.config.lease, now) || !settled(c, s, now)) {
        return;
    }
    std::set<instance_id> lost;
    for (const auto& [id, record] : s.instances) {
        if (is_out_of_touch(c, id, now)) {
            lost.insert(id);
        }
    }
    set_lost(c.lost, std::move(lost));
}

std::uint64_t lost_number(const control_state& c) {
    return c.lost.lost.empty() ? 0 : number_across_leaders(c, c.lost.changes);
}

// Whoever goes by an earlier leader's set keeps it until this one knows better.
std::optional<lost_news> lost_news_for(const control_state& c, const cluster_state& s, const renewal& r) {
    const std::uint64_t number = lost_number(c);
    if (r.lost_number == number || !c.lost.is_known) {
        return std::nullopt;
    }
    lost_news news;
    news.number = number;
    if (number != 0) {
        news.instances_revision = s.instances_revision;
        news.bits = encode_lost(c.lost.lost, s.instances);
    }
    return news;
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

// The daemon has acted upon a reply of this leader, so it acts upon none of an earlier one any more, and what
// it claims is all that it holds. The first renewal that arrives may have been sent before an earlier
// leader's last grant, and claim less.
bool follows_this_leader(const control_state& c, const instance_id& daemon) {
    const auto d = c.daemons.find(daemon);
    return d != c.daemons.end() && leader_of_number(d->second.last_reply_seq) == c.leader_term;
}

bool all_callers_follow(const control_state& c, const cluster_state& s) {
    return std::all_of(s.instances.begin(), s.instances.end(), [&c](const auto& i) {
        return !i.second.takes_callers || follows_this_leader(c, i.first);
    });
}

// Whoever may still hold connections by an earlier leader's word has told this one. Instances without callers
// hold none, so one that is gone for good, as a replaced control instance is, need not be waited out: that
// would take the length of a lease at each start.
bool knows_all_holders(const control_state& c, const cluster_state& s, time_point now) {
    if (!c.leading || outlived_earlier_leases(c, now)) {
        return c.leading;
    }
    return all_callers_follow(c, s);
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
// [observers]
//-----------------------------------------------------------------------------

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

//-----------------------------------------------------------------------------
// [renewals]
//-----------------------------------------------------------------------------

// Lives of an instance are ordered by the time of day at their start. Where that was set back, the next one
// counts once the known one has been silent for a lease.
bool is_next_life(const control_state& c, const daemon_state& d, const renewal& r, time_point now) {
    const bool known_is_over = !has_live_lease(d, now) && now - d.seen_at >= grantor_length(c.config.lease);
    return r.incarnation > d.incarnation || (r.incarnation < d.incarnation && known_is_over);
}

// Sent before the daemon acted upon a reply that a later renewal has named. What it claims may be less than
// the daemon holds by now, and others would be given the difference.
bool was_overtaken(const daemon_state& d, const renewal& r) {
    return r.last_reply_seq < d.last_reply_seq;
}

// Takes what the daemon says of itself and of servers.
void take_claims_and_observations(control_state& c, daemon_state& d, const renewal& r) {
    d.last_reply_seq = r.last_reply_seq;
    d.observations.clear();
    for (const server_observation& o : r.observations) {
        d.observations[o.server] = o;
    }
    std::erase_if(d.unconfirmed, [&r](const sent_shares& sent) { return sent.seq <= r.last_reply_seq; });
    follow_claims(c, d, r.claims);
}

// None before the daemon's record is in the log: the next leader would not know whose lease to wait for.
void grant_lease(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                 renewal_reply& reply) {
    if (!s.instances.contains(r.instance.id)) {
        return;
    }
    daemon_state& d = c.daemons[r.instance.id];
    const time_point until = now + grantor_length(c.config.lease);
    reply.lease = c.config.lease;
    forget_old_leases(d, now);
    note_granted(d, reply.revision, until);
    c.shares.counts_until[d.number] = until + grantor_length(c.config.share_grace);
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

std::uint64_t number_across_leaders(const control_state& c, std::uint64_t count) {
    return (c.leader_term << leader_term_shift) + count;
}

std::uint64_t leader_of_number(std::uint64_t number) {
    return number >> leader_term_shift;
}

void start_leading(control_state& c, std::uint64_t leader_term, time_point now) {
    const control_settings config = c.config;
    const std::uint64_t next_operation = c.next_operation;
    c = control_state{};
    c.config = config;
    c.next_operation = next_operation;
    c.leading = true;
    c.leading_since = now;
    c.rates.since = now;
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
    if (is_next_life(c, d, r, now)) {
        const auto leases = d.leases; // the earlier life may not be dead yet, only slow
        d = daemon_state{};
        d.leases = leases;
        d.incarnation = r.incarnation;
        c.rates.callers.erase(r.instance.id);
        forget_holder(c.shares, number_holder(c.shares, r.instance.id));
    } else if (r.incarnation != d.incarnation) {
        reply.code = result_code::bad_message; // an earlier life of this instance
        return reply;
    }
    d.number = number_holder(c.shares, r.instance.id);
    d.domain = r.instance.domain;
    d.confirmed = std::max(d.confirmed, r.applied);
    d.seen_at = now;
    note_back(c.lost, r.instance.id);
    const bool overtaken = was_overtaken(d, r);
    if (!overtaken) {
        take_claims_and_observations(c, d, r);
    }
    for (const server_announcement& a : r.announcements) {
        take_announcement(c, s, a, now, actions);
    }
    register_if_new(c, s, r.instance, actions);
    reply.revision = c.needed_revision == 0 ? s.revision : c.needed_revision;
    if (r.stopping) {
        d.leases.clear();
        d.claims.clear();
        d.unconfirmed.clear();
        forget_holder(c.shares, d.number);
        return reply;
    }
    reply.seq = number_across_leaders(c, ++d.replies);
    const bool roomy = d.unconfirmed.size() < max_unconfirmed_replies;
    if (roomy && !overtaken) {
        answer_claims(c, s, r, now, reply);
    }
    grant_lease(c, s, r, now, reply);
    const auto observed = c.observed_by.find(r.instance.id);
    if (observed != c.observed_by.end()) {
        reply.observe = observed->second;
    }
    reply.control_addresses = c.control_addresses;
    reply.lost = lost_news_for(c, s, r);
    reply.renew_after = renewal_interval(c.config.lease, s.instances.size());
    return reply;
}

std::vector<rate_grant> on_rate_request(control_state& c, const cluster_state& s, const rate_request& r,
                                        time_point now) {
    const rate_rules rules{.bounds = c.config.rates, .knows_all = all_callers_follow(c, s)};
    return answer_rates(c.rates, s.current, rules, r, now);
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
            c.proposed_servers.erase(id);
        }
    }
    std::erase_if(c.proposed_removals, [&s](const server_id& id) { return !s.servers.contains(id); });
    std::erase_if(c.proposed_groups, [&s](const group_id& id) { return s.groups.contains(id); });
    for (const auto& [id, group] : s.groups) {
        follow_record(c, s, group, now);
    }
    on_tick(c, s, now, actions);
}

void on_tick(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (!c.leading) {
        return;
    }
    assign_observers(c, s, now);
    follow_lost(c, s, now);
    for (const auto& [id, group] : s.groups) {
        const auto running = c.failovers.find(id);
        if (running != c.failovers.end()) {
            advance(c, s, group, running->second, now, actions);
        } else if (group.phase == group_phase::fencing) {
            follow_record(c, s, group, now);
        } else if (looks_dead(c, group.primary, now) || has_primary_restarted(s, group)) {
            begin_failover(c, s, group, false, {}, now, actions);
        } else if (must_leave_primary(c, s, group, now, actions)) {
            c.switched_at[id] = now;
            begin_failover(c, s, group, true, {}, now, actions);
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
        take_failover_answer(c, s, group->second, f, a, now, actions);
        return;
    }
}

result_code start_switchover(control_state& c, const cluster_state& s, const group_id& group,
                             const server_id& target, time_point now, control_actions& actions) {
    const auto found = s.groups.find(group);
    if (found == s.groups.end()) {
        return result_code::no_such_record;
    }
    const auto running = c.failovers.find(group);
    const bool busy = running != c.failovers.end() && running->second.step != failover_step::approaching;
    if (busy || found->second.phase != group_phase::serving || found->second.primary == target) {
        return result_code::switchover_refused;
    }
    if (!target.value.empty()) {
        const auto server = s.servers.find(target);
        const bool fits = server != s.servers.end() && server->second.group == group;
        if (!fits || !looks_alive(c, target, now)) {
            return result_code::switchover_refused;
        }
    }
    begin_failover(c, s, found->second, true, target, now, actions);
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
