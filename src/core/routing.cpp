#include "core/routing.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr double ns_per_ms = 1e6;
// A renewal takes a round trip, and another one after a change of leader.
constexpr duration lease_wait = std::chrono::milliseconds{30};

double expected_delay(const server_view& s, const routing_settings& settings) {
    // One that has not been tried yet counts as fast, or it would never be tried.
    const double latency = static_cast<double>(s.latency.count()) / ns_per_ms;
    const double queue = 1.0 + s.outstanding;
    return latency * queue * (s.near ? 1.0 : settings.far_penalty);
}

double draw_weight(const server_view& s) {
    return s.weight * s.ramp;
}

const server_view* draw(const std::vector<const server_view*>& from, std::mt19937_64& random) {
    double total = 0;
    for (const server_view* s : from) {
        total += draw_weight(*s);
    }
    std::uniform_real_distribution<double> pick(0, total);
    double left = pick(random);
    for (const server_view* s : from) {
        left -= draw_weight(*s);
        if (left < 0) {
            return s;
        }
    }
    return from.back();
}

// Without a lease nobody knows whether the primary has been replaced. It is then one more server that holds
// what it is known to hold, but only for reads that surely write nothing: it would not refuse a write.
bool may_take_reads(const group_view& g, const server_view& s, bool as_replica, time_point now) {
    return (s.id != g.record.primary || as_replica) && s.weight > 0 && s.ramp > 0 && !s.leaving &&
           !s.silent && s.has_connections && now >= s.ejected_until;
}

routing_decision to_server(const server_id& id, bool is_primary) {
    routing_decision decision;
    decision.kind = target_kind::server;
    decision.server = id;
    decision.is_primary = is_primary;
    return decision;
}

routing_decision refuse(result_code code) {
    routing_decision decision;
    decision.code = code;
    return decision;
}

routing_decision wait_until(time_point at) {
    routing_decision decision;
    decision.kind = target_kind::wait;
    decision.retry_at = at;
    return decision;
}

// Of two drawn by weight, the one with the smaller expected delay. Where some are near, one of the two is, so
// that a read stays in its failure domain unless the far one is quicker by more than its penalty.
const server_view& choose(const std::vector<const server_view*>& fit, const routing_settings& settings,
                          std::mt19937_64& random) {
    std::vector<const server_view*> near;
    std::vector<const server_view*> far;
    for (const server_view* s : fit) {
        (s->near ? near : far).push_back(s);
    }
    const server_view* first = draw(near.empty() ? far : near, random);
    const server_view* second = draw(far.empty() ? near : far, random);
    return expected_delay(*second, settings) < expected_delay(*first, settings) ? *second : *first;
}

// The replica that a workspace prefers, the same one on every instance; nothing where that is clearly slower
// than another one.
const server_view* prefer(const std::vector<const server_view*>& fit, const workspace_id& workspace,
                          const routing_settings& settings) {
    const auto rank = [&](const server_view* s) { return stable_hash(workspace.value, s->id.value); };
    const server_view* preferred = *std::min_element(
        fit.begin(), fit.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    const auto delay = [&](const server_view* s) {
        return expected_delay(*s, settings) / (s->near ? 1.0 : settings.far_penalty);
    };
    const server_view* quickest = *std::min_element(
        fit.begin(), fit.end(), [&](const auto* a, const auto* b) { return delay(a) < delay(b); });
    return delay(preferred) <= settings.workspace_loyalty * delay(quickest) ? preferred : nullptr;
}

bool is_avoided(const read_wish& wish, const server_id& id) {
    return std::find(wish.avoid.begin(), wish.avoid.end(), id) != wish.avoid.end();
}

bool is_primary_far_better(const group_view& g, const server_view& replica, const read_wish& wish,
                           const routing_settings& settings) {
    const auto primary = std::find_if(g.servers.begin(), g.servers.end(),
                                      [&g](const server_view& s) { return s.id == g.record.primary; });
    if (primary == g.servers.end() || is_avoided(wish, primary->id) ||
        !may_take_reads(g, *primary, true, wish.now) ||
        route_write(g, wish.lease_live).kind != target_kind::server) {
        return false;
    }
    return expected_delay(replica, settings) >
           settings.primary_reluctance * expected_delay(*primary, settings);
}

// Servers that refuse what they do not hold make the choice simple: the floor goes with the request.
routing_decision route_with_floor(const group_view& g, const session_state& s, const read_wish& wish,
                                  const routing_settings& settings, std::mt19937_64& random) {
    const auto floor = demanded_position(g, s, wish);
    if (!floor) {
        routing_decision decision = route_write(g, wish.lease_live);
        if (decision.kind == target_kind::server) {
            decision.kind = target_kind::ask_primary;
        }
        return decision;
    }
    std::vector<const server_view*> fit;
    for (const server_view& server : g.servers) {
        if (may_take_reads(g, server, !wish.lease_live, wish.now) && !is_avoided(wish, server.id) &&
            is_likely_to_hold(*g.positions, server.id, g.record.timeline, *floor, wish.now,
                              settings.position_trust)) {
            fit.push_back(&server);
        }
    }
    if (fit.empty()) {
        return route_write(g, wish.lease_live);
    }
    const server_view* preferred = s.workspace.value.empty() ? nullptr : prefer(fit, s.workspace, settings);
    const server_view& chosen = preferred != nullptr ? *preferred : choose(fit, settings, random);
    if (is_primary_far_better(g, chosen, wish, settings)) {
        return route_write(g, wish.lease_live);
    }
    routing_decision decision = to_server(chosen.id, false);
    decision.floor = floor;
    return decision;
}

bool holds(const group_view& g, const server_view& server, const session_token& mark) {
    const auto position = known_position(*g.positions, server.id, g.record.timeline);
    return position && mark.term <= g.record.term && *position >= mark.position;
}

// After a read the session stays with that server until it is known how far it saw.
bool meets_monotonic(const server_view& server, const session_state& s) {
    return !s.seen || s.seen->server == server.id;
}

} // namespace

bool qualifies(const group_view& g, const server_view& server, const session_state& s, duration staleness,
               time_point now) {
    if (staleness <= duration{0}) {
        return meets_monotonic(server, s) && s.floor && holds(g, server, *s.floor);
    }
    // Read-your-writes holds beside a stated age: the age only frees the session from others' writes.
    if (s.wrote && !holds(g, server, *s.wrote)) {
        return false;
    }
    const auto fresh = fresh_as_of(*g.positions, server.id, g.record.timeline);
    return fresh && now - *fresh <= staleness;
}

routing_decision route_write(const group_view& g, bool lease_live) {
    if (!lease_live) {
        return refuse(result_code::no_lease);
    }
    if (g.record.phase != group_phase::serving || g.record.primary.value.empty()) {
        return refuse(result_code::no_primary);
    }
    // Control replaces a primary that leaves as soon as another server can take over. Until one can, the
    // promise to the leaving one goes before service.
    const auto primary = std::find_if(g.servers.begin(), g.servers.end(),
                                      [&g](const server_view& s) { return s.id == g.record.primary; });
    if (primary != g.servers.end() && primary->leave_is_over) {
        return refuse(result_code::server_left);
    }
    return to_server(g.record.primary, true);
}

duration longest_wait(result_code refusal, duration patience) {
    return refusal == result_code::no_lease ? std::min(patience, lease_wait) : patience;
}

std::optional<log_position> demanded_position(const group_view& g, const session_state& s,
                                              const read_wish& wish) {
    const auto shared =
        wish.staleness <= duration{0}
            ? primary_position_since(*g.positions, g.record.term, s.arrived_at)
            : oldest_primary_position_since(*g.positions, g.record.term, wish.asked_at - wish.staleness);
    if (!shared) {
        return std::nullopt;
    }
    const bool wrote_here = s.wrote && s.wrote->term == g.record.term;
    return wrote_here ? std::max(*shared, s.wrote->position) : *shared;
}

routing_decision route_read(const group_view& g, const session_state& s, const read_wish& wish,
                            const routing_settings& settings, std::mt19937_64& random) {
    if (has_lost_write(s, g.record)) {
        return refuse(result_code::lost_write);
    }
    if (g.servers_enforce_floor) {
        return route_with_floor(g, s, wish, settings, random);
    }
    std::vector<const server_view*> fit;
    bool any_usable = false;
    const bool primary_as_replica = !wish.lease_live && s.settings.mode == read_mode::read;
    for (const server_view& server : g.servers) {
        if (may_take_reads(g, server, primary_as_replica, wish.now) && !is_avoided(wish, server.id)) {
            any_usable = true;
            if (qualifies(g, server, s, wish.staleness, wish.now)) {
                fit.push_back(&server);
            }
        }
    }
    if (!fit.empty()) {
        return to_server(choose(fit, settings, random).id, false);
    }
    routing_decision primary = route_write(g, wish.lease_live);
    const bool may_still_wait = any_usable && wish.now - wish.asked_at < settings.replica_wait;
    if (primary.kind == target_kind::refuse || may_still_wait) {
        // Without a primary a replica may yet catch up; the caller's deadline ends that.
        return any_usable ? wait_until(wish.now + settings.position_wait) : primary;
    }
    return primary;
}

} // namespace larchpin
