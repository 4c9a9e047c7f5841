// Selection of forwarding peers. A forwarding peer is an instance that holds a connection to a backend server
// and runs statements over it for other instances. Peers are ordered by their recent answers.
//
// After a power failure, backend servers count the lost connections for seconds and accept only a few new
// ones. The instances without a connection must then find a peer that has one with few requests, since each
// request loads a process that may have a quarter of a core.
//
// A peer behind a network partition leaves requests unanswered until their deadline. It is marked silent when
// it has not answered for reachability_timeout, and receives only pings until it answers one. A partition
// therefore costs the requests of a quarter of a second, not those of every attempt.
#pragma once

#include "core/reachability.hpp"
#include "core/types.hpp"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace larchpin {

struct forwarding_peer {
    std::string address;
    bool in_other_domain = false; // not in the preferred failure domain
    std::uint64_t rank = 0;       // lower first among otherwise equal peers; equal = random order
    bool lost = false;            // declared lost by control
    auto operator<=>(const forwarding_peer&) const = default;
};

// Recent state of the forwarding peers, by address.
struct forwarding_peer_tracker {
    // Peers that did not answer.
    std::map<std::string, time_point> silent_until;
    // Peers without a connection to the server.
    std::map<std::pair<server_id, std::string>, time_point> no_connection_until;
    // The last successful peer, while connections are scarce.
    std::map<server_id, std::string> last_forwarding_peer;
    // Peers that requests were sent to.
    std::map<std::string, reachability> reachability_by_address;
    // Smoothed delays; they exclude the processing time that the peer reports.
    std::map<std::string, duration> round_trip_delays;
};

// Records that a request is sent to a peer.
void record_request(forwarding_peer_tracker& tracker, const std::string& address, time_point now);

// Returns the silent peers that are due for a ping, and marks peers silent that have just become unreachable.
std::vector<std::string> take_due_pings(forwarding_peer_tracker& tracker, time_point now);

// Marks a peer as silent or responsive. Returns true if its state has changed.
bool mark_silent(forwarding_peer_tracker& tracker, const std::string& address, time_point now);
bool mark_responsive(forwarding_peer_tracker& tracker, const std::string& address);
// Marks a peer as having no connection to the server for a short time.
void mark_without_connection(forwarding_peer_tracker& tracker, const server_id& server,
                             const std::string& address, time_point now);

// Records the time that an answer took beyond the processing time stated in it.
void record_round_trip_delay(forwarding_peer_tracker& tracker, const std::string& address, duration delay);

// Returns true if the peer's round-trip delay is clearly above that of the fastest peer. The delay is then
// caused by the peer itself, since the network delay to all peers is about the same.
bool is_slow(const forwarding_peer_tracker& tracker, const std::string& address);

bool is_silent(const forwarding_peer_tracker& tracker, const std::string& address, time_point now);

// Returns true if the peer has recently reported that it has no connection to the server.
bool is_without_connection(const forwarding_peer_tracker& tracker, const server_id& server,
                           const std::string& address, time_point now);

// Removes expired entries.
void clear_expired(forwarding_peer_tracker& tracker, time_point now);

// Returns the peers' addresses in the order of preference: the last successful peer, responsive peers, silent
// peers, lost peers. Within each group, peers of the preferred failure domain come first, then lower ranks,
// then random order. Peers that have recently reported no connection are omitted; if all have, one of them is
// returned.
std::vector<std::string> order_forwarding_peers(const forwarding_peer_tracker& tracker,
                                                const server_id& server,
                                                const std::vector<forwarding_peer>& candidates,
                                                time_point now, std::mt19937_64& random);

} // namespace larchpin
