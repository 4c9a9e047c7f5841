#include "core/forwarding_peers.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// A silent peer is avoided for this time, which is longer than a restart takes.
constexpr duration silent_duration = std::chrono::milliseconds{500};
// Three pings fit into the 0.3 s within which a restarted peer must be detected.
constexpr duration ping_interval = std::chrono::milliseconds{100};
// A peer without a connection tries to open one every 50 to 200 ms (core/pool). If every request were sent to
// it meanwhile, it would spend its CPU time on refusals.
constexpr duration no_connection_duration = std::chrono::milliseconds{100};

// A round trip between two failure domains takes a few milliseconds. A peer whose delay exceeds the fastest
// peer's by more than this is considered slow.
constexpr duration slow_delay_margin = std::chrono::milliseconds{15};
constexpr int slow_delay_factor = 4;
constexpr int smoothing_divisor = 8;
constexpr std::size_t max_round_trip_delays = 2000;

int preference_class(const forwarding_peer_tracker& tracker, const server_id& server,
                     const forwarding_peer& l, time_point now) {
    const auto last = tracker.last_forwarding_peer.find(server);
    if (last != tracker.last_forwarding_peer.end() && last->second == l.address) {
        return -1;
    }
    return (l.lost ? 4 : 0) + (is_silent(tracker, l.address, now) ? 2 : 0) + (l.in_other_domain ? 1 : 0);
}

} // namespace

void record_request(forwarding_peer_tracker& tracker, const std::string& address, time_point now) {
    record_request(tracker.reachability_by_address[address], now);
}

std::vector<std::string> take_due_pings(forwarding_peer_tracker& tracker, time_point now) {
    std::vector<std::string> pings;
    for (auto& [address, r] : tracker.reachability_by_address) {
        const bool silent = tracker.silent_until.contains(address);
        if (!silent && !is_unreachable(r, now)) {
            continue;
        }
        mark_silent(tracker, address, now); // stays silent until it answers
        if (now >= r.next_probe) {
            r.next_probe = now + ping_interval;
            pings.push_back(address);
        }
    }
    return pings;
}

bool mark_silent(forwarding_peer_tracker& tracker, const std::string& address, time_point now) {
    const bool is_new = !tracker.silent_until.contains(address);
    tracker.silent_until[address] = now + silent_duration;
    return is_new;
}

bool mark_responsive(forwarding_peer_tracker& tracker, const std::string& address) {
    record_answer(tracker.reachability_by_address[address]);
    return tracker.silent_until.erase(address) > 0;
}

void mark_without_connection(forwarding_peer_tracker& tracker, const server_id& server,
                             const std::string& address, time_point now) {
    tracker.no_connection_until[{server, address}] = now + no_connection_duration;
}

void record_round_trip_delay(forwarding_peer_tracker& tracker, const std::string& address, duration delay) {
    const auto known = tracker.round_trip_delays.find(address);
    if (known != tracker.round_trip_delays.end()) {
        known->second += (delay - known->second) / smoothing_divisor;
    } else if (tracker.round_trip_delays.size() < max_round_trip_delays) {
        tracker.round_trip_delays[address] = delay;
    }
}

bool is_slow(const forwarding_peer_tracker& tracker, const std::string& address) {
    const auto known = tracker.round_trip_delays.find(address);
    if (known == tracker.round_trip_delays.end()) {
        return false;
    }
    const auto quickest = std::min_element(tracker.round_trip_delays.begin(), tracker.round_trip_delays.end(),
                                           [](const auto& x, const auto& y) { return x.second < y.second; });
    return known->second > quickest->second + slow_delay_margin &&
           known->second > quickest->second * slow_delay_factor;
}

bool is_silent(const forwarding_peer_tracker& tracker, const std::string& address, time_point now) {
    const auto known = tracker.silent_until.find(address);
    return known != tracker.silent_until.end() && now < known->second;
}

bool is_without_connection(const forwarding_peer_tracker& tracker, const server_id& server,
                           const std::string& address, time_point now) {
    const auto known = tracker.no_connection_until.find({server, address});
    return known != tracker.no_connection_until.end() && now < known->second;
}

void clear_expired(forwarding_peer_tracker& tracker, time_point now) {
    std::erase_if(tracker.no_connection_until, [now](const auto& w) { return now >= w.second; });
}

std::vector<std::string> order_forwarding_peers(const forwarding_peer_tracker& tracker,
                                                const server_id& server,
                                                const std::vector<forwarding_peer>& candidates,
                                                time_point now, std::mt19937_64& random) {
    std::vector<forwarding_peer> order = candidates;
    std::shuffle(order.begin(), order.end(), random);
    std::stable_sort(order.begin(), order.end(), [&](const forwarding_peer& x, const forwarding_peer& y) {
        return std::pair(preference_class(tracker, server, x, now), x.rank) <
               std::pair(preference_class(tracker, server, y, now), y.rank);
    });
    const auto has_no_connection = [&](const forwarding_peer& l) {
        return is_without_connection(tracker, server, l.address, now);
    };
    if (std::all_of(order.begin(), order.end(), has_no_connection)) {
        order.resize(std::min<std::size_t>(order.size(), 1));
    } else {
        std::erase_if(order, has_no_connection);
    }
    std::vector<std::string> addresses;
    addresses.reserve(order.size());
    for (forwarding_peer& l : order) {
        addresses.push_back(std::move(l.address));
    }
    return addresses;
}

} // namespace larchpin
