#include "core/routing.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr double ns_per_ms = 1e6;
constexpr double high_failure_share = 0.5;
// Covers a lease renewal, which takes one round trip, or two after a change of leader.
constexpr duration max_lease_wait = std::chrono::milliseconds{30};

double to_ms(duration d) {
    return static_cast<double>(d.count()) / ns_per_ms;
}

// Returns the expected delay of a read in milliseconds.
double expected_delay(const server_view& s, const routing_settings& settings) {
    if (s.load) {
        return to_ms(expected_completion(*s.load));
    }
    // A server without samples counts as fast; otherwise it would never be tried.
    const double latency = to_ms(s.latency);
    const double queue = 1.0 + s.outstanding;
    return latency * queue * (s.same_domain ? 1.0 : settings.cross_domain_penalty);
}

double selection_weight(const server_view& s) {
    return s.weight * s.slow_start_factor;
}

const server_view* draw_weighted(const std::vector<const server_view*>& candidates, std::mt19937_64& random) {
    double total = 0;
    for (const server_view* s : candidates) {
        total += selection_weight(*s);
    }
    std::uniform_real_distribution<double> distribution(0, total);
    double remaining = distribution(random);
    for (const server_view* s : candidates) {
        remaining -= selection_weight(*s);
        if (remaining < 0) {
            return s;
        }
    }
    return candidates.back();
}

// Returns true if the server may serve reads, apart from an ejection. Without a lease this daemon cannot tell
// whether the primary has been replaced. `allow_primary` then treats it like a replica at its last known
// position, but only for statements that are certain not to write, because the primary would not refuse a
// write.
bool is_read_candidate(const group_view& g, const server_view& s, bool allow_primary) {
    return (s.id != g.record.primary || allow_primary) && s.weight > 0 && s.slow_start_factor > 0 &&
           !s.leaving && !s.unresponsive && s.has_connections;
}

bool may_take_reads(const group_view& g, const server_view& s, bool allow_primary, time_point now) {
    return is_read_candidate(g, s, allow_primary) && now >= s.ejected_until;
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

// Returns the one with the smaller expected delay of two servers drawn by weight (power of two choices). One
// of the two is in the local failure domain if possible, so a read leaves the domain only if the remote
// server is faster by more than the cross-domain penalty.
const server_view& choose_by_latency(const std::vector<const server_view*>& candidates,
                                     const routing_settings& settings, std::mt19937_64& random) {
    std::vector<const server_view*> local_servers;
    std::vector<const server_view*> remote_servers;
    for (const server_view* s : candidates) {
        (s->same_domain ? local_servers : remote_servers).push_back(s);
    }
    const server_view* first = draw_weighted(local_servers.empty() ? remote_servers : local_servers, random);
    const server_view* second =
        draw_weighted(remote_servers.empty() ? local_servers : remote_servers, random);
    return expected_delay(*second, settings) < expected_delay(*first, settings) ? *second : *first;
}

// Returns true with this probability: never for 0 or less, always for 1 or more.
bool with_probability(double probability, std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

// Returns the expected delays in milliseconds. An unknown delay counts as the lowest known one; otherwise the
// server would never be used and its delay would stay unknown.
std::vector<double> expected_delays(const std::vector<const server_view*>& candidates,
                                    const routing_settings& settings) {
    std::vector<double> delays;
    double lowest_known = 0;
    for (const server_view* s : candidates) {
        const bool unknown = s->load ? s->load->load.response_time.count() == 0 : s->latency.count() == 0;
        delays.push_back(unknown ? 0 : expected_delay(*s, settings));
        if (delays.back() > 0 && (lowest_known == 0 || delays.back() < lowest_known)) {
            lowest_known = delays.back();
        }
    }
    for (double& d : delays) {
        d = d > 0 ? d : std::max(lowest_known, 1.0);
    }
    return delays;
}

// Draws a server by the inverse square of its expected delay. A remote server costs traffic between failure
// domains. It gets reads only if it is faster than the local servers, and its full weight once they take
// twice as long.
const server_view& choose_by_load(const std::vector<const server_view*>& candidates,
                                  const routing_settings& settings, std::mt19937_64& random) {
    const std::vector<double> delays = expected_delays(candidates, settings);
    double lowest_local_delay = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i]->same_domain && (lowest_local_delay == 0 || delays[i] < lowest_local_delay)) {
            lowest_local_delay = delays[i];
        }
    }
    std::vector<double> weights;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double locality_factor = candidates[i]->same_domain || lowest_local_delay == 0
                                           ? 1.0
                                           : std::clamp(lowest_local_delay / delays[i] - 1.0, 0.0, 1.0);
        weights.push_back(selection_weight(*candidates[i]) * locality_factor / (delays[i] * delays[i]));
    }
    return *candidates[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random)];
}

const server_view& choose_server(const std::vector<const server_view*>& candidates,
                                 const routing_settings& settings, std::mt19937_64& random) {
    const bool any_load_known =
        std::any_of(candidates.begin(), candidates.end(), [](const auto* s) { return s->load.has_value(); });
    return any_load_known ? choose_by_load(candidates, settings, random)
                          : choose_by_latency(candidates, settings, random);
}

// Returns the preferred replica of a workspace (rendezvous hashing, so the same on every instance), or
// nullptr if it is clearly slower than another replica. Where loads are reported, all instances see a
// slowdown at the same time, so the probability of the preferred replica decreases gradually.
const server_view* preferred_for_workspace(const std::vector<const server_view*>& candidates,
                                           const workspace_id& workspace, const routing_settings& settings,
                                           std::mt19937_64& random) {
    const auto rank = [&](const server_view* s) { return stable_hash(workspace.value, s->id.value); };
    const server_view* preferred =
        *std::min_element(candidates.begin(), candidates.end(),
                          [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    const auto delay = [&](const server_view* s) {
        return expected_delay(*s, settings) /
               (s->same_domain || s->load ? 1.0 : settings.cross_domain_penalty);
    };
    const server_view* fastest =
        *std::min_element(candidates.begin(), candidates.end(),
                          [&](const auto* a, const auto* b) { return delay(a) < delay(b); });
    if (preferred->load && fastest->load) {
        const double delay_ratio = delay(preferred) / std::max(delay(fastest), 1.0);
        return with_probability(1.5 - delay_ratio / settings.workspace_affinity_factor, random) ? preferred
                                                                                                : nullptr;
    }
    return delay(preferred) <= settings.workspace_affinity_factor * delay(fastest) ? preferred : nullptr;
}

bool is_excluded(const read_context& context, const server_id& id) {
    return std::find(context.excluded.begin(), context.excluded.end(), id) != context.excluded.end();
}

const server_view* find_primary(const group_view& g) {
    const auto found = std::find_if(g.servers.begin(), g.servers.end(),
                                    [&g](const server_view& s) { return s.id == g.record.primary; });
    return found == g.servers.end() ? nullptr : &*found;
}

// Returns true if this daemon has sent the server no request for a while, so its last latency may be
// outdated.
bool is_due_for_trial(const server_view& s, const read_context& context, const routing_settings& settings) {
    const bool used_before = s.last_request_at != time_point{};
    return used_before && s.outstanding == 0 &&
           context.now - s.last_request_at > settings.replica_trial_interval;
}

// Returns true if the primary may serve reads and is not known to fail most of its requests.
bool can_read_from_primary(const group_view& g, const read_context& context) {
    const server_view* primary = find_primary(g);
    return primary != nullptr && !is_excluded(context, primary->id) &&
           may_take_reads(g, *primary, true, context.now) &&
           route_write(g, context.lease_live).kind == target_kind::server &&
           !(primary->load && primary->load->load.failure_ratio > high_failure_share);
}

bool prefers_primary(const group_view& g, const server_view& replica, const read_context& context,
                     const routing_settings& settings, std::mt19937_64& random) {
    if (!can_read_from_primary(g, context)) {
        return false;
    }
    const server_view* primary = find_primary(g);
    const double replica_delay = expected_delay(replica, settings);
    const double primary_delay = expected_delay(*primary, settings);
    if (replica.load && !primary->load) {
        return false; // the primary's load is unknown
    }
    if (replica.load) {
        // The primary's queue is reserved for writes, so it gets reads only while its queue is short. Its
        // share of the reads grows with its advantage up to max_primary_read_share.
        const double delay_ratio = replica_delay / std::max(primary_delay, 1.0);
        return has_free_slot(*primary->load) &&
               with_probability(std::min(2 * delay_ratio / settings.primary_delay_factor - 1,
                                         settings.max_primary_read_share),
                                random);
    }
    return replica_delay > settings.primary_delay_factor * primary_delay &&
           !is_due_for_trial(replica, context, settings);
}

// Returns the servers that have probably reached the floor. If all are ejected, the one whose ejection ends
// first is considered: the primary alone has no capacity for all reads, and the ejected servers may work for
// other daemons.
std::vector<const server_view*> servers_likely_to_hold(const group_view& g, const read_context& context,
                                                       log_position floor, const routing_settings& settings,
                                                       std::mt19937_64& random) {
    std::vector<const server_view*> usable;
    for (const server_view& server : g.servers) {
        if (is_read_candidate(g, server, !context.lease_live) && !is_excluded(context, server.id)) {
            usable.push_back(&server);
        }
    }
    const auto is_ejected = [&](const server_view* s) { return context.now < s->ejected_until; };
    if (std::all_of(usable.begin(), usable.end(), is_ejected) && !usable.empty()) {
        usable = {*std::min_element(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
            return a->ejected_until < b->ejected_until;
        })};
    } else {
        std::erase_if(usable, is_ejected);
    }
    const auto likely_holds = [&](const server_view* s, duration trust) {
        return likely_has_position(*g.positions, s->id, g.record.timeline, floor, context.now, trust);
    };
    std::vector<const server_view*> candidates;
    for (const server_view* s : usable) {
        if (likely_holds(s, settings.position_max_age)) {
            candidates.push_back(s);
        }
    }
    if (candidates.empty() && with_probability(settings.position_trial_probability, random)) {
        for (const server_view* s : usable) {
            if (s->load && likely_holds(s, settings.position_trial_min_age)) {
                candidates.push_back(s);
            }
        }
    }
    return candidates;
}

// Routes a read to a server that enforces the floor. The request carries the floor, and a server that has not
// reached it refuses the request, so the selection may rely on estimated positions.
routing_decision route_with_floor(const group_view& g, const session_state& s, const read_context& context,
                                  const routing_settings& settings, std::mt19937_64& random) {
    const auto floor = required_position(g, s, context);
    if (!floor) {
        routing_decision decision = route_write(g, context.lease_live);
        if (decision.kind == target_kind::server) {
            decision.kind = target_kind::fetch_primary_position;
        }
        return decision;
    }
    const std::vector<const server_view*> candidates =
        servers_likely_to_hold(g, context, *floor, settings, random);
    if (candidates.empty()) {
        return route_write(g, context.lease_live);
    }
    const server_view* preferred = s.workspace.value.empty()
                                       ? nullptr
                                       : preferred_for_workspace(candidates, s.workspace, settings, random);
    const server_view& chosen =
        preferred != nullptr ? *preferred : choose_server(candidates, settings, random);
    // If all replicas fail, only a small share of the reads still goes to them, to detect their recovery.
    const bool all_fail = std::all_of(candidates.begin(), candidates.end(), [](const server_view* v) {
        return v->load && v->load->load.failure_ratio > high_failure_share;
    });
    const bool primary_available = all_fail && can_read_from_primary(g, context);
    if (primary_available ? with_probability(1 - settings.failing_replica_trial_share, random)
                          : prefers_primary(g, chosen, context, settings, random)) {
        return route_write(g, context.lease_live);
    }
    routing_decision decision = to_server(chosen.id, false);
    decision.floor = floor;
    return decision;
}

bool has_reached(const group_view& g, const server_view& server, const session_token& token) {
    const auto position = known_position(*g.positions, server.id, g.record.timeline);
    return position && token.term <= g.record.term && *position >= token.position;
}

// Returns true if reading here keeps reads monotonic: a session stays with the server of its last read until
// the position that the read observed is known.
bool preserves_monotonic_reads(const server_view& server, const session_state& s) {
    return !s.positions.last_read || s.positions.last_read->server == server.id;
}

} // namespace

bool satisfies_consistency(const group_view& g, const server_view& server, const session_state& s,
                           duration staleness, time_point now) {
    if (s.positions.unknown_writes_before > time_point{}) {
        return false;
    }
    if (staleness <= duration{0}) {
        return preserves_monotonic_reads(server, s) && s.positions.floor &&
               has_reached(g, server, *s.positions.floor);
    }
    // A staleness bound relaxes only the visibility of other sessions' writes; read-your-writes still
    // applies.
    if (s.positions.written && !has_reached(g, server, *s.positions.written)) {
        return false;
    }
    const auto fresh = fresh_as_of(*g.positions, server.id, g.record.timeline);
    return fresh && now - *fresh <= staleness;
}

void apply_load(server_view& server, const known_load& load) {
    server.load = load;
    server.unresponsive = false;
    server.ejected_until = {};
    server.slow_start_factor = 1.0;
}

routing_decision route_write(const group_view& g, bool lease_live) {
    if (!lease_live) {
        return refuse(result_code::no_lease);
    }
    if (g.record.phase != group_phase::serving && g.record.awaits_log) {
        return refuse(result_code::log_awaited);
    }
    if (g.record.phase != group_phase::serving || g.record.primary.value.empty()) {
        return refuse(result_code::no_primary);
    }
    // The control plane replaces a leaving primary as soon as another server can take over. Until then, the
    // deadline promised to the leaving server takes precedence over availability.
    const auto primary = std::find_if(g.servers.begin(), g.servers.end(),
                                      [&g](const server_view& s) { return s.id == g.record.primary; });
    if (primary != g.servers.end() && primary->leave_deadline_passed) {
        return refuse(result_code::server_left);
    }
    return to_server(g.record.primary, true);
}

duration max_wait_after(result_code refusal, duration wait_limit) {
    return refusal == result_code::no_lease ? std::min(wait_limit, max_lease_wait) : wait_limit;
}

std::optional<log_position> required_position(const group_view& g, const session_state& s,
                                              const read_context& context) {
    const bool by_session = context.staleness <= duration{0} && !context.all_acknowledged;
    const time_point since =
        context.all_acknowledged ? context.arrived_at : context.arrived_at - context.staleness;
    const auto common_position = by_session
                                     ? primary_position_since(*g.positions, g.record.term, s.arrived_at)
                                     : oldest_primary_position_since(*g.positions, g.record.term, since);
    if (!common_position || s.positions.unknown_writes_before > time_point{}) {
        return std::nullopt;
    }
    const bool wrote_in_term = s.positions.written && s.positions.written->term == g.record.term;
    return wrote_in_term ? std::max(*common_position, s.positions.written->position) : *common_position;
}

routing_decision route_read(const group_view& g, const session_state& s, const read_context& context,
                            const routing_settings& settings, std::mt19937_64& random) {
    if (has_lost_write(s, g.record)) {
        return refuse(result_code::lost_write);
    }
    if (g.servers_enforce_floor) {
        return route_with_floor(g, s, context, settings, random);
    }
    std::vector<const server_view*> candidates;
    bool any_usable = false;
    const bool allow_primary = !context.lease_live && s.settings.mode == read_mode::read;
    const duration staleness = context.all_acknowledged
                                   ? std::max(context.now - context.arrived_at, duration{1})
                                   : context.staleness;
    for (const server_view& server : g.servers) {
        if (may_take_reads(g, server, allow_primary, context.now) && !is_excluded(context, server.id)) {
            any_usable = true;
            if (satisfies_consistency(g, server, s, staleness, context.now)) {
                candidates.push_back(&server);
            }
        }
    }
    if (!candidates.empty()) {
        return to_server(choose_server(candidates, settings, random).id, false);
    }
    routing_decision primary = route_write(g, context.lease_live);
    const bool may_still_wait =
        any_usable && context.now - context.arrived_at < settings.replica_catchup_timeout;
    if (primary.kind == target_kind::refuse || may_still_wait) {
        // Without a primary, a replica may still catch up; the wait ends at the client's deadline.
        return any_usable ? wait_until(context.now + settings.position_poll_interval) : primary;
    }
    return primary;
}

} // namespace larchpin
