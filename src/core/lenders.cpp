#include "core/lenders.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// A lender that did not answer is left alone for so long: longer than a restart takes.
constexpr duration silent_pause = std::chrono::milliseconds{500};
// Three in the time that a lender which has started again needs to be found (0.3 s).
constexpr duration ping_interval = std::chrono::milliseconds{100};
// A lender without a connection tries for one every 50 to 200 ms (core/pool). Asked by each request
// meanwhile, it would spend its processor on refusals.
constexpr duration without_pause = std::chrono::milliseconds{100};

// Between two failure domains a round trip takes a few milliseconds; more than this beyond the quickest is
// worth another lender.
constexpr duration slow_excess = std::chrono::milliseconds{15};
constexpr int slow_factor = 4;
constexpr int excess_smoothing = 8;
constexpr std::size_t max_excesses = 2000;

int rank_of(const lender_book& b, const server_id& server, const lender& l, time_point now) {
    const auto last = b.lent_last.find(server);
    if (last != b.lent_last.end() && last->second == l.address) {
        return -1;
    }
    return (l.lost ? 4 : 0) + (is_silent(b, l.address, now) ? 2 : 0) + (l.far ? 1 : 0);
}

} // namespace

void note_asked(lender_book& b, const std::string& address, time_point now) {
    note_asked(b.reach[address], now);
}

std::vector<std::string> take_pings(lender_book& b, time_point now) {
    std::vector<std::string> pings;
    for (auto& [address, r] : b.reach) {
        const bool silent = b.silent_until.contains(address);
        if (!silent && !is_unreachable(r, now)) {
            continue;
        }
        note_silent(b, address, now); // stays so until it is heard
        if (now >= r.next_probe) {
            r.next_probe = now + ping_interval;
            pings.push_back(address);
        }
    }
    return pings;
}

bool note_silent(lender_book& b, const std::string& address, time_point now) {
    const bool news = !b.silent_until.contains(address);
    b.silent_until[address] = now + silent_pause;
    return news;
}

bool note_heard(lender_book& b, const std::string& address) {
    note_answered(b.reach[address]);
    return b.silent_until.erase(address) > 0;
}

void note_without_connection(lender_book& b, const server_id& server, const std::string& address,
                             time_point now) {
    b.without_until[{server, address}] = now + without_pause;
}

void note_excess(lender_book& b, const std::string& address, duration excess) {
    const auto known = b.excess.find(address);
    if (known != b.excess.end()) {
        known->second += (excess - known->second) / excess_smoothing;
    } else if (b.excess.size() < max_excesses) {
        b.excess[address] = excess;
    }
}

bool is_slow(const lender_book& b, const std::string& address) {
    const auto known = b.excess.find(address);
    if (known == b.excess.end()) {
        return false;
    }
    const auto quickest = std::min_element(b.excess.begin(), b.excess.end(),
                                           [](const auto& x, const auto& y) { return x.second < y.second; });
    return known->second > quickest->second + slow_excess && known->second > quickest->second * slow_factor;
}

bool is_silent(const lender_book& b, const std::string& address, time_point now) {
    const auto known = b.silent_until.find(address);
    return known != b.silent_until.end() && now < known->second;
}

bool is_without_connection(const lender_book& b, const server_id& server, const std::string& address,
                           time_point now) {
    const auto known = b.without_until.find({server, address});
    return known != b.without_until.end() && now < known->second;
}

void clear_old(lender_book& b, time_point now) {
    std::erase_if(b.without_until, [now](const auto& w) { return now >= w.second; });
}

std::vector<std::string> order_lenders(const lender_book& b, const server_id& server,
                                       const std::vector<lender>& candidates, time_point now,
                                       std::mt19937_64& random) {
    std::vector<lender> order = candidates;
    std::shuffle(order.begin(), order.end(), random);
    std::stable_sort(order.begin(), order.end(), [&](const lender& x, const lender& y) {
        return std::pair(rank_of(b, server, x, now), x.rank) < std::pair(rank_of(b, server, y, now), y.rank);
    });
    const auto without = [&](const lender& l) { return is_without_connection(b, server, l.address, now); };
    if (std::all_of(order.begin(), order.end(), without)) {
        order.resize(std::min<std::size_t>(order.size(), 1));
    } else {
        std::erase_if(order, without);
    }
    std::vector<std::string> addresses;
    addresses.reserve(order.size());
    for (lender& l : order) {
        addresses.push_back(std::move(l.address));
    }
    return addresses;
}

} // namespace larchpin
