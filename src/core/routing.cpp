#include "core/routing.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr double ns_per_ms = 1e6;
constexpr double mostly = 0.5;
// A renewal takes a round trip, and another one after a change of leader.
constexpr duration lease_wait = std::chrono::milliseconds{30};

double to_ms(duration d) {
    return static_cast<double>(d.count()) / ns_per_ms;
}

// In milliseconds.
double expected_delay(const server_view& s, const routing_settings& settings) {
    if (s.load) {
        return to_ms(expected_completion(*s.load));
    }
    // One that has not been tried yet counts as fast, or it would never be tried.
    const double latency = to_ms(s.latency);
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
bool may_ever_take_reads(const group_view& g, const server_view& s, bool as_replica) {
    return (s.id != g.record.primary || as_replica) && s.weight > 0 && s.ramp > 0 && !s.leaving &&
           !s.silent && s.has_connections;
}

bool may_take_reads(const group_view& g, const server_view& s, bool as_replica, time_point now) {
    return may_ever_take_reads(g, s, as_replica) && now >= s.ejected_until;
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
const server_view& choose_untold(const std::vector<const server_view*>& fit, const routing_settings& settings,
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

// True with this probability; outside 0..1 never, or always.
bool happens(double probability, std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

// What is not known counts as the quickest that is, or it would never be known.
std::vector<double> expected_delays(const std::vector<const server_view*>& fit,
                                    const routing_settings& settings) {
    std::vector<double> delays;
    double least = 0;
    for (const server_view* s : fit) {
        const bool unknown = s->load ? s->load->load.response_time.count() == 0 : s->latency.count() == 0;
        delays.push_back(unknown ? 0 : expected_delay(*s, settings));
        if (delays.back() > 0 && (least == 0 || delays.back() < least)) {
            least = delays.back();
        }
    }
    for (double& d : delays) {
        d = d > 0 ? d : std::max(least, 1.0);
    }
    return delays;
}

// Drawn by the inverse square of the expected time. A far one costs a border crossing, so it gets reads only
// as far as it is quicker than the near ones, and its full weight where they take twice as long.
const server_view& choose_told(const std::vector<const server_view*>& fit, const routing_settings& settings,
                               std::mt19937_64& random) {
    const std::vector<double> delays = expected_delays(fit, settings);
    double nearest = 0;
    for (std::size_t i = 0; i < fit.size(); ++i) {
        if (fit[i]->near && (nearest == 0 || delays[i] < nearest)) {
            nearest = delays[i];
        }
    }
    std::vector<double> weights;
    for (std::size_t i = 0; i < fit.size(); ++i) {
        const double gain =
            fit[i]->near || nearest == 0 ? 1.0 : std::clamp(nearest / delays[i] - 1.0, 0.0, 1.0);
        weights.push_back(draw_weight(*fit[i]) * gain / (delays[i] * delays[i]));
    }
    return *fit[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random)];
}

const server_view& choose(const std::vector<const server_view*>& fit, const routing_settings& settings,
                          std::mt19937_64& random) {
    const bool told = std::any_of(fit.begin(), fit.end(), [](const auto* s) { return s->load.has_value(); });
    return told ? choose_told(fit, settings, random) : choose_untold(fit, settings, random);
}

// The replica that a workspace prefers, the same one on every instance; nothing where that is clearly slower
// than another one. Where loads are told all instances see that at the same time, and leave it by and by.
const server_view* prefer(const std::vector<const server_view*>& fit, const workspace_id& workspace,
                          const routing_settings& settings, std::mt19937_64& random) {
    const auto rank = [&](const server_view* s) { return stable_hash(workspace.value, s->id.value); };
    const server_view* preferred = *std::min_element(
        fit.begin(), fit.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    const auto delay = [&](const server_view* s) {
        return expected_delay(*s, settings) / (s->near || s->load ? 1.0 : settings.far_penalty);
    };
    const server_view* quickest = *std::min_element(
        fit.begin(), fit.end(), [&](const auto* a, const auto* b) { return delay(a) < delay(b); });
    if (preferred->load && quickest->load) {
        const double times = delay(preferred) / std::max(delay(quickest), 1.0);
        return happens(1.5 - times / settings.workspace_loyalty, random) ? preferred : nullptr;
    }
    return delay(preferred) <= settings.workspace_loyalty * delay(quickest) ? preferred : nullptr;
}

bool is_avoided(const read_wish& wish, const server_id& id) {
    return std::find(wish.avoid.begin(), wish.avoid.end(), id) != wish.avoid.end();
}

const server_view* find_primary(const group_view& g) {
    const auto found = std::find_if(g.servers.begin(), g.servers.end(),
                                    [&g](const server_view& s) { return s.id == g.record.primary; });
    return found == g.servers.end() ? nullptr : &*found;
}

// Nothing of this daemon has gone there lately, so what it saw there last may be long over.
bool is_due_for_trial(const server_view& s, const read_wish& wish, const routing_settings& settings) {
    const bool asked_once = s.asked_at != time_point{};
    return asked_once && s.outstanding == 0 && wish.now - s.asked_at > settings.replica_trial_interval;
}

// The primary may be read, and answers as far as is known.
bool may_primary_read(const group_view& g, const read_wish& wish) {
    const server_view* primary = find_primary(g);
    return primary != nullptr && !is_avoided(wish, primary->id) &&
           may_take_reads(g, *primary, true, wish.now) &&
           route_write(g, wish.lease_live).kind == target_kind::server &&
           !(primary->load && primary->load->load.failure_ratio > mostly);
}

bool goes_to_primary(const group_view& g, const server_view& replica, const read_wish& wish,
                     const routing_settings& settings, std::mt19937_64& random) {
    if (!may_primary_read(g, wish)) {
        return false;
    }
    const server_view* primary = find_primary(g);
    const double replicas = expected_delay(replica, settings);
    const double primarys = expected_delay(*primary, settings);
    if (replica.load && !primary->load) {
        return false; // nobody tells that it is idle
    }
    if (replica.load) {
        // The primary's queue is for writes. The better it looks the more reads it gets, up to their half.
        const double times = replicas / std::max(primarys, 1.0);
        return has_free_slot(*primary->load) &&
               happens(std::min(2 * times / settings.primary_reluctance - 1, settings.most_to_primary),
                       random);
    }
    return replicas > settings.primary_reluctance * primarys && !is_due_for_trial(replica, wish, settings);
}

// The replicas that may hold what is asked for. Where all are ejected, the one that comes back first: the
// primary alone has no room for all reads, and what failed here may be well for everyone else.
std::vector<const server_view*> likely_servers(const group_view& g, const read_wish& wish, log_position floor,
                                               const routing_settings& settings, std::mt19937_64& random) {
    std::vector<const server_view*> usable;
    for (const server_view& server : g.servers) {
        if (may_ever_take_reads(g, server, !wish.lease_live) && !is_avoided(wish, server.id)) {
            usable.push_back(&server);
        }
    }
    const auto is_ejected = [&](const server_view* s) { return wish.now < s->ejected_until; };
    if (std::all_of(usable.begin(), usable.end(), is_ejected) && !usable.empty()) {
        usable = {*std::min_element(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
            return a->ejected_until < b->ejected_until;
        })};
    } else {
        std::erase_if(usable, is_ejected);
    }
    const auto holds = [&](const server_view* s, duration trust) {
        return likely_has_position(*g.positions, s->id, g.record.timeline, floor, wish.now, trust);
    };
    std::vector<const server_view*> fit;
    for (const server_view* s : usable) {
        if (holds(s, settings.position_trust)) {
            fit.push_back(s);
        }
    }
    if (fit.empty() && happens(settings.position_trials, random)) {
        for (const server_view* s : usable) {
            if (s->load && holds(s, settings.position_trial_age)) {
                fit.push_back(s);
            }
        }
    }
    return fit;
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
    const std::vector<const server_view*> fit = likely_servers(g, wish, *floor, settings, random);
    if (fit.empty()) {
        return route_write(g, wish.lease_live);
    }
    const server_view* preferred =
        s.workspace.value.empty() ? nullptr : prefer(fit, s.workspace, settings, random);
    const server_view& chosen = preferred != nullptr ? *preferred : choose(fit, settings, random);
    // Where all replicas fail, what still goes there is what it takes to see one recover.
    const bool all_fail = std::all_of(fit.begin(), fit.end(), [](const server_view* v) {
        return v->load && v->load->load.failure_ratio > mostly;
    });
    const bool primary_serves = all_fail && may_primary_read(g, wish);
    if (primary_serves ? happens(1 - settings.trials_of_failing, random)
                       : goes_to_primary(g, chosen, wish, settings, random)) {
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

void use_load(server_view& server, const known_load& load) {
    server.load = load;
    server.silent = false;
    server.ejected_until = {};
    server.ramp = 1.0;
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
