// Rendezvous hashing: everyone who knows the same list chooses the same few instances for a key, and a
// change of the list moves only the keys of the instance that came or went.
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

// How many instances keep a connection to one server while cut off from control.
constexpr std::size_t reserves_per_server = 3;

// A number made from two texts, the same on every instance and in every version.
std::uint64_t stable_hash(std::string_view a, std::string_view b);

// The instances that probe this server: the best-ranked one of each failure domain.
std::vector<instance_id> choose_observers(const std::vector<observer_candidate>& live,
                                          const server_id& server);

// All instances of a failure domain, best-ranked first: whom to ask about a server's position.
std::vector<instance_id> ranked_instances(const cluster_state& s, const failure_domain& domain,
                                          const server_id& server);

// So many connections to a server that every instance which takes callers holds its own.
bool all_instances_hold_connections(const cluster_state& s, unsigned connections);

// The instances that hold a server's connections for all, where those are fewer than twice the instances that
// take callers: in each failure domain the best-ranked ones, each with room for some connections. Empty where
// everyone holds its own. Lost instances are none, so that a server whose homes are all cut off gets others.
std::vector<instance_id> home_instances(const cluster_state& s, const server_id& server, unsigned connections,
                                        const std::set<instance_id>& lost = {});

// The same for connections that belong to workspaces: instances of the server's own failure domain, with one
// of each other domain for the time when none of those answers. Each workspace has one of them that it goes
// to first (see rank_for_workspace), so that its few connections are in one place and are found open: 0.87 of
// all statements at replicas needed an opening where a dozen instances held connections, 0.65 with three
// (reckoned from a trace of 596 statements a second by 163 keys).
std::vector<instance_id> workspace_homes(const cluster_state& s, const server_record& server,
                                         unsigned connections, const std::set<instance_id>& lost = {});

// Lower goes first. Another instance's coming or going moves only the workspaces that it was first for.
std::uint64_t rank_for_workspace(const workspace_id& workspace, std::string_view instance_address);

// The instances in the server's own failure domain that keep a connection to it while cut off, among those
// that take callers: nobody else would use it.
std::vector<instance_id> reserve_holders(const cluster_state& s, const server_record& server);

} // namespace larchpin
