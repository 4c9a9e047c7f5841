#include "core/join_search.hpp"

namespace larchpin {
namespace {

void follow(join_search& s, const std::string& address, std::uint64_t term) {
    s.is_asked = s.is_asked && s.leader == address;
    s.leader = address;
    s.leader_term = term;
}

void forget_leader(join_search& s, const std::string& address) {
    if (s.leader == address) {
        s.leader.clear();
        s.is_asked = false;
    }
}

} // namespace

std::optional<std::string> choose_join_address(join_search& s, const std::vector<std::string>& known,
                                               const std::string& own, time_point now) {
    const bool has_new_leader = !s.leader.empty() && !s.is_asked;
    const duration interval = has_new_leader ? hinted_join_interval : join_interval;
    if (s.last_request != time_point{} && now - s.last_request < interval) {
        return std::nullopt;
    }
    std::string address = s.leader;
    s.is_asked = !s.leader.empty();
    for (std::size_t tried = 0; tried < known.size() && (address.empty() || address == own); ++tried) {
        address = known[s.next++ % known.size()];
    }
    if (address.empty() || address == own) {
        return std::nullopt;
    }
    s.last_request = now;
    return address;
}

void record_join_answer(join_search& s, const std::string& address, result_code code,
                        const std::string& hint) {
    if (code == result_code::ok) {
        follow(s, address, s.leader_term);
        s.is_asked = true;
    } else if (!hint.empty() && hint != address) {
        follow(s, hint, 0);
    } else {
        forget_leader(s, address);
    }
}

void record_join_unanswered(join_search& s, const std::string& address) {
    forget_leader(s, address);
}

void record_leader_seen(join_search& s, const std::string& address, std::uint64_t term) {
    if (term >= s.leader_term) {
        follow(s, address, term);
    }
}

} // namespace larchpin
