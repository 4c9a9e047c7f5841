#include "core/home_order.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <compare>

namespace larchpin {
namespace {

struct ranked_caller {
    std::uint64_t rank = 0;
    instance_id id;
    auto operator<=>(const ranked_caller&) const = default;
};

std::vector<instance_id> callers_of(const cluster_state& s, const failure_domain& domain) {
    std::vector<instance_id> callers;
    for (const auto& [id, record] : s.instances) {
        if (record.accepts_clients && record.domain == domain) {
            callers.push_back(id);
        }
    }
    return callers;
}

// The instance that this server is given first place at: server by server each takes the best-ranked one that
// is first for fewer than its part, so that none orders two servers while another one orders none. Nothing
// where the domain has no instance that takes callers.
instance_id first_place(const cluster_state& s, const server_record& wanted) {
    const std::vector<instance_id> callers = callers_of(s, wanted.domain);
    if (callers.empty()) {
        return {};
    }
    const auto servers =
        static_cast<std::size_t>(std::count_if(s.servers.begin(), s.servers.end(), [&](const auto& server) {
            return server.second.domain == wanted.domain;
        }));
    const std::size_t most = (servers + callers.size() - 1) / callers.size();
    std::vector<std::size_t> places(callers.size(), 0);
    for (const auto& [id, server] : s.servers) {
        if (server.domain != wanted.domain) {
            continue;
        }
        std::size_t best = callers.size();
        ranked_caller best_rank;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            const ranked_caller r{.rank = stable_hash(callers[i].value, id.value), .id = callers[i]};
            if (places[i] < most && (best == callers.size() || r < best_rank)) {
                best = i;
                best_rank = r;
            }
        }
        if (id == wanted.id) {
            return callers[best];
        }
        ++places[best];
    }
    return {};
}

} // namespace

std::vector<instance_id> order_homes(const cluster_state& s, const server_id& server, unsigned connections) {
    std::vector<instance_id> homes;
    const auto record = s.servers.find(server);
    if (record == s.servers.end() || everyone_holds_connections(s, connections)) {
        return homes;
    }
    const instance_id first = first_place(s, record->second);
    std::vector<std::pair<bool, ranked_caller>> order;
    for (const auto& [id, instance] : s.instances) {
        if (instance.accepts_clients && id != first) {
            order.emplace_back(instance.domain != record->second.domain,
                               ranked_caller{.rank = stable_hash(id.value, server.value), .id = id});
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
