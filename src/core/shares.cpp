#include "core/shares.hpp"

#include <algorithm>
#include <numeric>

namespace larchpin {

std::vector<unsigned> divide_fairly(unsigned limit, const std::vector<unsigned>& wanted) {
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&wanted](std::size_t a, std::size_t b) { return wanted[a] < wanted[b]; });
    std::vector<unsigned> shares(wanted.size(), 0);
    unsigned left = limit;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const auto sharers = static_cast<unsigned>(order.size() - i);
        const unsigned fair = (left + sharers - 1) / sharers; // smallest claims first
        const unsigned share = std::min({wanted[order[i]], fair, left});
        shares[order[i]] = share;
        left -= share;
    }
    return shares;
}

unsigned fair_share(unsigned limit, unsigned own, const std::vector<unsigned>& others) {
    std::vector<unsigned> smaller(own, 0); // number of other claims, by size
    for (const unsigned other : others) {
        if (other < own) {
            ++smaller[other];
        }
    }
    unsigned left = limit;
    auto sharers = static_cast<unsigned>(others.size() + 1);
    for (unsigned w = 0; w < own; ++w) {
        for (unsigned n = 0; n < smaller[w]; ++n) {
            left -= std::min({w, (left + sharers - 1) / sharers, left});
            --sharers;
        }
    }
    return std::min({own, (left + sharers - 1) / sharers, left});
}

unsigned connections_for_requests(unsigned limit, unsigned reserved_for_probes) {
    return limit - std::min(reserved_for_probes, limit - 1);
}

unsigned next_share(unsigned limit, unsigned target, unsigned held_by_others) {
    const unsigned available = limit > held_by_others ? limit - held_by_others : 0;
    return std::min(target, available);
}

} // namespace larchpin
