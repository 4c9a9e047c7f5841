// Decisions of the leading control instance: see control.hpp.
//
// Index
//   [leases]  [lost instances]  [registration]  [shares]  [observers]  [renewals]  [public functions]
#include "core/control.hpp"

#include "core/announcements.hpp"
#include "core/commit_safety.hpp"
#include "core/control_pacing.hpp"
#include "core/failover.hpp"
#include "core/lease.hpp"
#include "core/rendezvous.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr std::size_t max_unconfirmed_replies = 32;
constexpr unsigned leader_term_shift = 40; // 2^40 numbers per leader

//-----------------------------------------------------------------------------
// [leases]
//-----------------------------------------------------------------------------

void record_lease(daemon_state& d, revision_number revision, time_point expires_at) {
    if (!d.leases.empty() && d.leases.back().revision == revision) {
        d.leases.back().expires_at = std::max(d.leases.back().expires_at, expires_at);
    } else {
        d.leases.push_back({.revision = revision, .expires_at = expires_at});
    }
}

void remove_expired_leases(daemon_state& d, time_point now) {
    while (d.leases.size() > 1 && d.leases.front().expires_at <= now) { // the last one records when it ended
        d.leases.pop_front();
    }
}

bool earlier_leases_expired(const control_state& c, time_point now) {
    return now - c.leading_since >= grantor_lease_duration(c.config.lease);
}

// Returns true if the daemon may act on a lease of an older revision: it has not confirmed this one, and
// such a lease has not expired.
bool may_use_older_revision(const daemon_state& d, revision_number revision, time_point now) {
    if (d.confirmed_revision >= revision) {
        return false;
    }
    return std::any_of(d.leases.begin(), d.leases.end(), [revision, now](const granted_lease& g) {
        return g.revision < revision && g.expires_at > now;
    });
}

//-----------------------------------------------------------------------------
// [lost instances]
//-----------------------------------------------------------------------------

// Returns true if the instance has no valid lease and has not renewed for the length of a lease. A stopping
// instance returns its lease and is not lost at once.
bool is_lost(const control_state& c, const instance_id& id, time_point now) {
    const auto d = c.daemons.find(id);
    if (d == c.daemons.end()) {
        return true; // only called when all earlier leases have expired
    }
    return !has_live_lease(d->second, now) &&
           now - d->second.last_renewal_at >= grantor_lease_duration(c.config.lease);
}

// Determines the lost instances. A leader that does not yet know its predecessors' leases reports none as
// lost.
void update_lost_instances(control_state& c, const cluster_state& s, time_point now) {
    if (!is_check_due(c.lost, c.config.lease, now) || !knows_all_leases(c, s, now)) {
        return;
    }
    std::set<instance_id> lost;
    for (const auto& [id, record] : s.instances) {
        if (is_lost(c, id, now)) {
            lost.insert(id);
        }
    }
    set_lost(c.lost, std::move(lost));
}

std::uint64_t lost_version(const control_state& c) {
    return c.lost.instances.empty() ? 0 : make_monotonic_number(c, c.lost.change_count);
}

// Returns an update for a daemon with another version. A daemon keeps an earlier leader's set until this
// leader has completed a check.
std::optional<lost_instances_update> make_lost_instances_update(const control_state& c,
                                                                const cluster_state& s, const renewal& r) {
    const std::uint64_t version = lost_version(c);
    if (r.lost_version == version || !c.lost.is_known) {
        return std::nullopt;
    }
    lost_instances_update update;
    update.version = version;
    if (version != 0) {
        update.instances_revision = s.instances_revision;
        update.bits = encode_lost(c.lost.instances, s.instances);
    }
    return update;
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

// Updates the daemons that keep one connection even without a lease. Ranking all instances on every renewal
// is too expensive, so the result is cached until an instance's record changes.
void update_reserves(control_state& c, const cluster_state& s, const share_key& key,
                     const server_record& server) {
    if (c.shares.accounts[key].reserves_revision != s.instances_revision) {
        set_reserves(c.shares, key, reserve_holders(s, server), s.instances_revision);
    }
}

// Returns true if the daemon has acted upon a reply of this leader. It then follows no earlier leader's
// reply, and its claims cover all that it holds. Its first renewal is not enough: it may have been sent
// before an earlier leader's last grant and claim less.
bool has_acknowledged_leader(const control_state& c, const instance_id& daemon) {
    const auto d = c.daemons.find(daemon);
    return d != c.daemons.end() && leader_term_of(d->second.last_reply_seq) == c.leader_term;
}

bool all_holders_acknowledged(const control_state& c, const cluster_state& s) {
    return std::all_of(s.instances.begin(), s.instances.end(), [&c](const auto& i) {
        return !i.second.accepts_clients || has_acknowledged_leader(c, i.first);
    });
}

// Returns true if every daemon that may hold connections granted by an earlier leader has acknowledged this
// one. Instances without clients hold none and are not waited for: waiting for one that never returns, such
// as a replaced control instance, would take the length of a lease at each start.
bool knows_all_holders(const control_state& c, const cluster_state& s, time_point now) {
    if (!c.leading || earlier_leases_expired(c, now)) {
        return c.leading;
    }
    return all_holders_acknowledged(c, s);
}

unsigned grant_share(control_state& c, const cluster_state& s, const instance_id& daemon,
                     const share_claim& claim, bool all_holders_known, time_point now) {
    const auto server = s.servers.find(claim.key.server);
    const service_entry* service = find_service(s.current_table, claim.key.service);
    if (server == s.servers.end() || service == nullptr) {
        return 0;
    }
    const auto record = s.instances.find(daemon);
    if (record == s.instances.end() || !record->second.accepts_clients) {
        return 0; // the record is not committed, so other shares do not account for it
    }
    update_reserves(c, s, claim.key, server->second);
    const unsigned limit = connections_for_requests(service->max_connections, c.config.kept_connections);
    const share_decision decision =
        decide_share(c.shares, claim.key, c.daemons[daemon].holder, claim.wanted, limit, now);
    // Until all holdings are known, no daemon gets more than it has.
    const unsigned cap = all_holders_known ? decision.target : std::min(decision.target, claim.in_effect);
    return next_share(limit, cap, decision.held_by_others);
}

// Replaces the daemon's claims. The daemon remains a holder of a share until it is known to hold nothing of
// it.
void update_claims(control_state& c, daemon_state& d, const std::vector<share_claim>& claims) {
    d.claims.clear();
    for (const share_claim& claim : claims) {
        d.claims[claim.key] = claim;
        d.share_keys.insert(claim.key);
    }
    std::erase_if(d.share_keys, [&](const share_key& key) {
        const auto claim = d.claims.find(key);
        const unsigned held = held_share(d, key);
        if (claim == d.claims.end() && held == 0) {
            remove_holder(c.shares, key, d.holder);
            return true;
        }
        record_holder(c.shares, key, d.holder, held, claim == d.claims.end() ? 0 : claim->second.wanted);
        return false;
    });
}

void grant_shares(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                  renewal_reply& reply) {
    daemon_state& d = c.daemons[r.instance.id];
    sent_shares sent{.seq = reply.seq, .shares = {}};
    const bool all_holders_known = knows_all_holders(c, s, now);
    for (const share_claim& claim : r.claims) {
        const unsigned share = grant_share(c, s, r.instance.id, claim, all_holders_known, now);
        reply.shares.push_back({.key = claim.key, .connections = share});
        sent.shares[claim.key] = share;
        record_holder(c.shares, claim.key, d.holder, std::max(share, held_share(d, claim.key)), claim.wanted);
    }
    d.unconfirmed_replies.push_back(std::move(sent));
}
//-----------------------------------------------------------------------------
// [observers]
//-----------------------------------------------------------------------------

// Selects one observer per failure domain among the reporting daemons. Ranks every daemon for every server,
// so it runs only if the daemons or the servers have changed.
void assign_observers(control_state& c, const cluster_state& s, time_point now) {
    std::vector<observer_candidate> live;
    for (const auto& [id, d] : c.daemons) {
        if (has_recent_observations(c, d, now)) {
            live.push_back({.id = id, .domain = d.domain});
        }
    }
    if (live == c.observer_candidates && c.observers.size() == s.servers.size()) {
        return;
    }
    c.observers.clear();
    c.servers_by_observer.clear();
    for (const auto& [id, server] : s.servers) {
        c.observers[id] = choose_observers(live, id);
        for (const instance_id& observer : c.observers[id]) {
            c.servers_by_observer[observer].push_back(id);
        }
    }
    c.observer_candidates = std::move(live);
}

//-----------------------------------------------------------------------------
// [renewals]
//-----------------------------------------------------------------------------

// Returns true if the renewal is from a later start of the instance than the known one. Starts are ordered
// by the time of day. If the clock was set back, the new start is accepted once the known one has been
// silent for a lease.
bool is_next_incarnation(const control_state& c, const daemon_state& d, const renewal& r, time_point now) {
    const bool known_has_ended =
        !has_live_lease(d, now) && now - d.last_renewal_at >= grantor_lease_duration(c.config.lease);
    return r.incarnation > d.incarnation || (r.incarnation < d.incarnation && known_has_ended);
}

// Returns true if the renewal was sent before the daemon acted upon a reply that a later renewal
// acknowledged. Its claims may be less than the daemon's holdings, and the difference would be granted to
// others.
bool is_out_of_order(const daemon_state& d, const renewal& r) {
    return r.last_reply_seq < d.last_reply_seq;
}

// Replaces the daemon's claims and its observations of servers.
void apply_claims_and_observations(control_state& c, daemon_state& d, const renewal& r) {
    d.last_reply_seq = r.last_reply_seq;
    d.observations.clear();
    for (const server_observation& o : r.observations) {
        d.observations[o.server] = o;
    }
    std::erase_if(d.unconfirmed_replies,
                  [&r](const sent_shares& sent) { return sent.seq <= r.last_reply_seq; });
    update_claims(c, d, r.claims);
}

// Grants a lease once the daemon's record is in the log: without it the next leader would not know that it
// must wait for this lease.
void grant_lease(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                 renewal_reply& reply) {
    if (!s.instances.contains(r.instance.id)) {
        return;
    }
    daemon_state& d = c.daemons[r.instance.id];
    const time_point expires_at = now + grantor_lease_duration(c.config.lease);
    reply.lease = c.config.lease;
    remove_expired_leases(d, now);
    record_lease(d, reply.revision, expires_at);
    c.shares.held_until[d.holder] = expires_at + grantor_lease_duration(c.config.share_grace);
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

std::uint64_t make_monotonic_number(const control_state& c, std::uint64_t count) {
    return (c.leader_term << leader_term_shift) + count;
}

std::uint64_t leader_term_of(std::uint64_t number) {
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
    c.rates.term_started_at = now;
    c.leader_term = leader_term;
}

void stop_leading(control_state& c) {
    c.leading = false;
    c.failovers.clear();
}

bool knows_all_leases(const control_state& c, const cluster_state& s, time_point now) {
    if (!c.leading || earlier_leases_expired(c, now)) {
        return c.leading;
    }
    return std::all_of(s.instances.begin(), s.instances.end(),
                       [&c](const auto& i) { return c.daemons.contains(i.first); });
}

bool has_live_lease(const daemon_state& d, time_point now) {
    return std::any_of(d.leases.begin(), d.leases.end(),
                       [now](const granted_lease& g) { return g.expires_at > now; });
}

unsigned held_share(const daemon_state& d, const share_key& key) {
    const auto claim = d.claims.find(key);
    unsigned held = claim == d.claims.end() ? 0 : claim->second.in_effect;
    for (const sent_shares& sent : d.unconfirmed_replies) {
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
    if (is_next_incarnation(c, d, r, now)) {
        const auto leases = d.leases; // the earlier process may be slow rather than dead
        const revision_number known_since = d.stopped ? d.known_since : 0;
        keep_marks_of_ended(c, d);
        d = daemon_state{};
        d.leases = leases;
        d.known_since = known_since;
        d.incarnation = r.incarnation;
        c.rates.last_requests.erase(r.instance.id);
        remove_holder(c.shares, assign_holder_number(c.shares, r.instance.id));
    } else if (r.incarnation != d.incarnation) {
        reply.code = result_code::bad_message; // from an earlier start of this instance
        return reply;
    }
    d.holder = assign_holder_number(c.shares, r.instance.id);
    d.domain = r.instance.domain;
    d.confirmed_revision = std::max(d.confirmed_revision, r.applied_revision);
    d.last_renewal_at = now;
    remove_lost(c.lost, r.instance.id);
    const bool out_of_order = is_out_of_order(d, r);
    if (!out_of_order) {
        apply_claims_and_observations(c, d, r);
        record_observed_marks(c, s, r.observations);
    }
    record_told_marks(c, s, d, r, now, actions);
    reply.known_since = r.known_since == 0 ? d.known_since : 0;
    for (const server_announcement& a : r.announcements) {
        handle_announcement(c, s, a, now, actions);
    }
    register_if_new(c, s, r.instance, actions);
    reply.revision = c.lease_revision == 0 ? s.revision : c.lease_revision;
    if (r.stopping) {
        d.leases.clear();
        d.claims.clear();
        d.unconfirmed_replies.clear();
        remove_holder(c.shares, d.holder);
        return reply;
    }
    reply.seq = make_monotonic_number(c, ++d.reply_count);
    const bool has_room = d.unconfirmed_replies.size() < max_unconfirmed_replies;
    if (has_room && !out_of_order) {
        grant_shares(c, s, r, now, reply);
    }
    grant_lease(c, s, r, now, reply);
    const auto observed = c.servers_by_observer.find(r.instance.id);
    if (observed != c.servers_by_observer.end()) {
        reply.servers_to_observe = observed->second;
    }
    reply.control_addresses = c.control_addresses;
    reply.lost = make_lost_instances_update(c, s, r);
    reply.renew_after = renewal_interval(c.config.lease, s.instances.size());
    return reply;
}

std::vector<rate_grant> on_rate_request(control_state& c, const cluster_state& s, const rate_request& r,
                                        time_point now) {
    const rate_rules rules{.bounds = c.config.rates, .prior_grants_expired = all_holders_acknowledged(c, s)};
    return answer_rate_request(c.rates, s.current_table, rules, r, now);
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
            c.latest_announcements.erase(id); // a returning server is a new one
            c.proposed_servers.erase(id);
            c.highest_marks.erase(id);
            c.catch_up_goals.erase(id);
        }
    }
    std::erase_if(c.proposed_removals, [&s](const server_id& id) { return !s.servers.contains(id); });
    std::erase_if(c.proposed_groups, [&s](const group_id& id) { return s.groups.contains(id); });
    for (const auto& [id, group] : s.groups) {
        record_observed_term(c, group, now);
        sync_failover_with_record(c, s, group, now);
    }
    on_tick(c, s, now, actions);
}

void on_tick(control_state& c, const cluster_state& s, time_point now, control_actions& actions) {
    if (!c.leading) {
        return;
    }
    assign_observers(c, s, now);
    update_lost_instances(c, s, now);
    for (const auto& [id, group] : s.groups) {
        const auto running = c.failovers.find(id);
        if (running != c.failovers.end()) {
            advance_failover(c, s, group, running->second, now, actions);
        } else if (group.phase == group_phase::fencing) {
            sync_failover_with_record(c, s, group, now);
        } else if (is_reported_dead(c, group.primary, now) || has_primary_restarted(s, group)) {
            if (try_begin_failover(c, group, now)) {
                begin_failover(c, s, group, false, {}, now, actions);
            }
        } else if (should_replace_leaving_primary(c, s, group, now, actions)) {
            c.last_switchover_at[id] = now;
            begin_failover(c, s, group, true, {}, now, actions);
        }
    }
    for (const auto& [id, seen] : c.latest_announcements) {
        remove_if_stopped(c, s, seen.announcement, now, actions);
    }
    record_positions(c, s, now, actions);
    complete_restarted_logs(c, s, now, actions);
    remove_lost_servers(c, s, now, actions);
}

void on_server_answer(control_state& c, const cluster_state& s, const server_answer& a, time_point now,
                      control_actions& actions) {
    if (c.pending_group_creations.contains(a.operation)) {
        finish_group_creation(c, s, a, now, actions);
        return;
    }
    for (auto& [id, f] : c.failovers) {
        if (!f.pending_operations.contains(a.operation)) {
            continue;
        }
        f.pending_operations.erase(a.operation);
        const auto group = s.groups.find(id);
        if (group == s.groups.end()) {
            return;
        }
        handle_failover_answer(c, s, group->second, f, a, now, actions);
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
    const bool busy = running != c.failovers.end() && running->second.step != failover_step::catching_up;
    if (busy || found->second.phase != group_phase::serving || found->second.primary == target) {
        return result_code::switchover_refused;
    }
    if (!target.value.empty()) {
        const auto server = s.servers.find(target);
        const bool is_member = server != s.servers.end() && server->second.group == group;
        if (!is_member || !is_reported_alive(c, target, now)) {
            return result_code::switchover_refused;
        }
    }
    begin_failover(c, s, found->second, true, target, now, actions);
    return result_code::ok;
}

result_code accept_loss(control_state& c, const cluster_state& s, const group_id& group,
                        const server_id& target, time_point now, control_actions& actions) {
    const auto found = s.groups.find(group);
    if (found == s.groups.end()) {
        return result_code::no_such_record;
    }
    const auto running = c.failovers.find(group);
    if (running == c.failovers.end() || !found->second.awaits_log) {
        return result_code::switchover_refused;
    }
    failover& f = running->second;
    f.accepts_loss = true;
    f.requested_target = target.value.empty() ? std::nullopt : std::optional{target};
    actions.emplace_back(
        report_event{.event = "acknowledged_commits_given_up", .group = group, .server = target});
    advance_failover(c, s, found->second, f, now, actions);
    return result_code::ok;
}

bool is_in_force(const control_state& c, const cluster_state& s, revision_number revision, time_point now) {
    return knows_all_leases(c, s, now) && unconfirmed_daemons(c, s, revision, now).empty();
}

std::vector<instance_id> unconfirmed_daemons(const control_state& c, const cluster_state& s,
                                             revision_number revision, time_point now) {
    std::vector<instance_id> found;
    for (const auto& [id, d] : c.daemons) {
        if (may_use_older_revision(d, revision, now)) {
            found.push_back(id);
        }
    }
    if (earlier_leases_expired(c, now)) {
        return found;
    }
    // An earlier leader may have granted any instance a lease of any revision older than the one it has
    // confirmed.
    for (const auto& [id, record] : s.instances) {
        const auto d = c.daemons.find(id);
        const bool confirmed = d != c.daemons.end() && d->second.confirmed_revision >= revision;
        if (!confirmed && std::find(found.begin(), found.end(), id) == found.end()) {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace larchpin
