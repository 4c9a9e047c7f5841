// Rendezvous hashing: instances with the same member list choose the same instances for a key, and adding or
// removing a member moves only the keys of that member.
//
// A home instance holds a backend server's connections for the other instances. An ordering home is the home
// instance that all statements for a server pass through (see core/home_order).
#pragma once

#include "core/cluster_state.hpp"

#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

namespace larchpin {

struct observer_candidate {
    instance_id id;
    failure_domain domain;
    auto operator<=>(const observer_candidate&) const = default;
};

// Number of instances that keep a connection to a server while partitioned from control.
constexpr std::size_t reserves_per_server = 3;

// Returns a hash of two strings that is the same on every instance and in every version.
std::uint64_t stable_hash(std::string_view a, std::string_view b);

// Returns the instances that probe this server: the best-ranked one of each failure domain.
std::vector<instance_id> choose_observers(const std::vector<observer_candidate>& live,
                                          const server_id& server);

// Returns all instances of a failure domain, best-ranked first, for queries about the server's position.
std::vector<instance_id> ranked_instances(const cluster_state& s, const failure_domain& domain,
                                          const server_id& server);

// Returns true if there are enough connections to a server for every instance that accepts clients to hold
// its own.
bool all_instances_hold_connections(const cluster_state& s, unsigned connections);

// Returns the server's home instances: the best-ranked ones of each failure domain, each with several
// connections. Empty if every instance holds its own, which requires two connections for each instance that
// accepts clients. Lost instances are excluded, so that a server whose home instances are all partitioned
// gets others.
std::vector<instance_id> home_instances(const cluster_state& s, const server_id& server, unsigned connections,
                                        const std::set<instance_id>& lost = {});

// Returns the home instances for connections that belong to workspaces: several of the server's failure
// domain, and one of each other domain as a fallback. Each workspace prefers one of them (see
// rank_for_workspace()), so that its few connections are in one place and open when they are needed.
// Calculated from a trace of 596 statements/s by 163 keys, 0.87 of the statements at replicas need a new
// connection with a dozen home instances, and 0.65 with three.
std::vector<instance_id> workspace_homes(const cluster_state& s, const server_record& server,
                                         unsigned connections, const std::set<instance_id>& lost = {});

// Returns a rank; the lowest is preferred. Adding or removing an instance moves only the workspaces that
// prefer it.
std::uint64_t rank_for_workspace(const workspace_id& workspace, std::string_view instance_address);

// Returns the instances of the server's failure domain that keep a connection to it while partitioned from
// control. Only instances that accept clients qualify, because only they use the connection.
std::vector<instance_id> reserve_holders(const cluster_state& s, const server_record& server);

} // namespace larchpin
