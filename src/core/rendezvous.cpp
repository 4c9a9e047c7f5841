#include "core/rendezvous.hpp"

#include <algorithm>
#include <map>

namespace larchpin {
namespace {

struct ranked_id {
    std::uint64_t rank = 0;
    instance_id id;
    auto operator<=>(const ranked_id&) const = default;
};

} // namespace

// FNV-1a with a finalizer. std::hash is unsuitable because every daemon must compute the same value.
std::uint64_t stable_hash(std::string_view a, std::string_view b) {
    constexpr std::uint64_t prime = 1099511628211ULL;
    constexpr std::uint64_t mix = 0xff51afd7ed558ccdULL;
    std::uint64_t h = 14695981039346656037ULL;
    const auto add = [&h](std::string_view text) {
        for (const char c : text) {
            h = (h ^ static_cast<unsigned char>(c)) * prime;
        }
        h = (h ^ 0xffU) * prime;
    };
    add(a);
    add(b);
    h ^= h >> 33U;
    h *= mix;
    h ^= h >> 33U;
    return h;
}

std::vector<instance_id> choose_observers(const std::vector<observer_candidate>& live,
                                          const server_id& server) {
    std::map<failure_domain, ranked_id> best;
    for (const observer_candidate& candidate : live) {
        const ranked_id r{.rank = stable_hash(candidate.id.value, server.value), .id = candidate.id};
        const auto [entry, inserted] = best.emplace(candidate.domain, r);
        if (!inserted && r < entry->second) {
            entry->second = r;
        }
    }
    std::vector<instance_id> chosen;
    chosen.reserve(best.size());
    for (const auto& [domain, r] : best) {
        chosen.push_back(r.id);
    }
    return chosen;
}

std::vector<instance_id> ranked_instances(const cluster_state& s, const failure_domain& domain,
                                          const server_id& server) {
    std::vector<ranked_id> order;
    for (const auto& [id, record] : s.instances) {
        if (record.domain == domain) {
            order.push_back({.rank = stable_hash(id.value, server.value), .id = id});
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<instance_id> ids;
    ids.reserve(order.size());
    for (const ranked_id& r : order) {
        ids.push_back(r.id);
    }
    return ids;
}

namespace {

// With fewer connections per instance, one of two concurrent statements finds no connection.
constexpr std::size_t min_connections_per_instance = 2;
// Home instances for workspaces in the server's failure domain. Losing one sends a third of the workspaces to
// another home instance, which must first open connections for them.
constexpr std::size_t workspace_homes_in_domain = 3;

std::size_t count_client_facing(const cluster_state& s) {
    return static_cast<std::size_t>(std::count_if(s.instances.begin(), s.instances.end(),
                                                  [](const auto& i) { return i.second.accepts_clients; }));
}

} // namespace

bool all_instances_hold_connections(const cluster_state& s, unsigned connections) {
    return connections >= count_client_facing(s) * min_connections_per_instance;
}

namespace {

// Returns the instances that accept clients, by failure domain, best-ranked first.
std::map<failure_domain, std::vector<ranked_id>>
rank_client_facing(const cluster_state& s, const server_id& server, const std::set<instance_id>& lost) {
    std::map<failure_domain, std::vector<ranked_id>> by_domain;
    for (const auto& [id, record] : s.instances) {
        if (record.accepts_clients && !lost.contains(id)) {
            by_domain[record.domain].push_back({.rank = stable_hash(id.value, server.value), .id = id});
        }
    }
    for (auto& [domain, order] : by_domain) {
        std::sort(order.begin(), order.end());
    }
    return by_domain;
}

} // namespace

std::vector<instance_id> workspace_homes(const cluster_state& s, const server_record& server,
                                         unsigned connections, const std::set<instance_id>& lost) {
    std::vector<instance_id> homes;
    if (all_instances_hold_connections(s, connections)) {
        return homes;
    }
    const auto by_domain = rank_client_facing(s, server.id, lost);
    const auto own = by_domain.find(server.domain);
    for (std::size_t i = 0; own != by_domain.end() && i < own->second.size() && i < workspace_homes_in_domain;
         ++i) {
        homes.push_back(own->second[i].id);
    }
    for (const auto& [domain, order] : by_domain) {
        if (domain != server.domain) {
            homes.push_back(order.front().id);
        }
    }
    return homes;
}

std::uint64_t rank_for_workspace(const workspace_id& workspace, std::string_view instance_address) {
    return stable_hash(workspace.value, instance_address);
}

std::vector<instance_id> home_instances(const cluster_state& s, const server_id& server, unsigned connections,
                                        const std::set<instance_id>& lost) {
    // Several connections in one place reduce the time that statements wait for a free one.
    constexpr std::size_t connections_per_home = 4;
    std::vector<instance_id> homes;
    if (all_instances_hold_connections(s, connections)) {
        return homes;
    }
    const auto by_domain = rank_client_facing(s, server, lost);
    const std::size_t home_count = std::max<std::size_t>(1, connections / connections_per_home);
    const std::size_t per_domain =
        std::max<std::size_t>(1, home_count / std::max<std::size_t>(1, by_domain.size()));
    for (const auto& [domain, order] : by_domain) {
        for (std::size_t i = 0; i < order.size() && i < per_domain; ++i) {
            homes.push_back(order[i].id);
        }
    }
    return homes;
}

std::vector<instance_id> reserve_holders(const cluster_state& s, const server_record& server) {
    auto holders = ranked_instances(s, server.domain, server.id);
    std::erase_if(holders, [&s](const instance_id& id) { return !s.instances.at(id).accepts_clients; });
    if (holders.size() > reserves_per_server) {
        holders.resize(reserves_per_server);
    }
    return holders;
}

} // namespace larchpin
