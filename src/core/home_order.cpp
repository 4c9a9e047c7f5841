#include "core/home_order.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <compare>

namespace larchpin {
namespace {

struct ranked_id {
    std::uint64_t rank = 0;
    instance_id id;
    auto operator<=>(const ranked_id&) const = default;
};

std::vector<instance_id> client_facing_instances(const cluster_state& s, const failure_domain& domain) {
    std::vector<instance_id> instances;
    for (const auto& [id, record] : s.instances) {
        if (record.accepts_clients && record.domain == domain) {
            instances.push_back(id);
        }
    }
    return instances;
}

// Returns the server's ordering home. Servers are assigned in order; each takes the best-ranked instance of
// its domain that has fewer than max_per_instance servers, so that no instance orders two servers while
// another one orders none. Empty if the domain has no instance that accepts clients.
instance_id assign_first_home(const cluster_state& s, const server_record& wanted) {
    const std::vector<instance_id> candidates = client_facing_instances(s, wanted.domain);
    if (candidates.empty()) {
        return {};
    }
    const auto servers =
        static_cast<std::size_t>(std::count_if(s.servers.begin(), s.servers.end(), [&](const auto& server) {
            return server.second.domain == wanted.domain;
        }));
    const std::size_t max_per_instance = (servers + candidates.size() - 1) / candidates.size();
    std::vector<std::size_t> assigned(candidates.size(), 0);
    for (const auto& [id, server] : s.servers) {
        if (server.domain != wanted.domain) {
            continue;
        }
        std::size_t best = candidates.size();
        ranked_id best_rank;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const ranked_id r{.rank = stable_hash(candidates[i].value, id.value), .id = candidates[i]};
            if (assigned[i] < max_per_instance && (best == candidates.size() || r < best_rank)) {
                best = i;
                best_rank = r;
            }
        }
        if (id == wanted.id) {
            return candidates[best];
        }
        ++assigned[best];
    }
    return {};
}

} // namespace

std::vector<instance_id> order_homes(const cluster_state& s, const server_id& server, unsigned connections) {
    std::vector<instance_id> homes;
    const auto record = s.servers.find(server);
    if (record == s.servers.end() || all_instances_hold_connections(s, connections)) {
        return homes;
    }
    const instance_id first = assign_first_home(s, record->second);
    std::vector<std::pair<bool, ranked_id>> order;
    for (const auto& [id, instance] : s.instances) {
        if (instance.accepts_clients && id != first) {
            order.emplace_back(instance.domain != record->second.domain,
                               ranked_id{.rank = stable_hash(id.value, server.value), .id = id});
        }
    }
    std::sort(order.begin(), order.end());
    homes.reserve(order.size() + 1);
    if (!first.value.empty()) {
        homes.push_back(first);
    }
    for (const auto& [is_far, caller] : order) {
        homes.push_back(caller.id);
    }
    return homes;
}

} // namespace larchpin
