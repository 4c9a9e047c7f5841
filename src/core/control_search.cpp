#include "core/control_search.hpp"

#include <algorithm>

namespace larchpin {
namespace {

bool is_late(const control_search& s, const std::string& address, time_point now) {
    const auto open = s.open.find(address);
    return open != s.open.end() && now - open->second >= late_renewal;
}

// Returns the index of the next instance after the one asked last that has no open renewal.
std::optional<std::size_t> find_next(const control_search& s) {
    for (std::size_t i = 1; i <= s.addresses.size(); ++i) {
        const std::size_t index = (s.last_asked + i) % s.addresses.size();
        const std::string& address = s.addresses[index];
        if (address != s.leader && !s.open.contains(address)) {
            return index;
        }
    }
    return std::nullopt;
}

void follow_next(control_search& s) {
    if (const auto next = find_next(s)) {
        s.last_asked = *next;
        s.leader = s.addresses[*next];
    }
}

void pause_requests(control_search& s, duration pause, time_point now, std::mt19937_64& random) {
    std::uniform_int_distribution<duration::rep> extra(0, pause.count() / 2);
    s.next_request = now + pause + duration{extra(random)};
}

} // namespace

control_search make_control_search(const std::vector<std::string>& addresses) {
    control_search s;
    s.addresses = addresses;
    s.leader = addresses.front();
    return s;
}

std::optional<std::string> choose_control(const control_search& s, bool is_due, time_point now) {
    if (now < s.next_request) {
        return std::nullopt;
    }
    if (!s.open.contains(s.leader)) {
        return is_due ? std::optional{s.leader} : std::nullopt;
    }
    const auto next = is_late(s, s.leader, now) ? find_next(s) : std::nullopt;
    return next ? std::optional{s.addresses[*next]} : std::nullopt;
}

void record_sent(control_search& s, const std::string& address, time_point now) {
    s.open[address] = now;
    if (address == s.leader) {
        return;
    }
    const auto asked = std::find(s.addresses.begin(), s.addresses.end(), address);
    s.last_asked = static_cast<std::size_t>(asked - s.addresses.begin()) % s.addresses.size();
    s.next_request = now + max_search_pause; // its answer may take as long as the leader's
}

void record_granted(control_search& s, const std::string& address) {
    s.open.erase(address);
    s.leader = address;
    s.next_request = {};
    record_success(s.backoff);
}

void record_not_leader(control_search& s, const std::string& address, const std::string& hint, duration pause,
                       time_point now, std::mt19937_64& random) {
    s.open.erase(address);
    const bool was_leader = address == s.leader;
    if (!was_leader && !is_late(s, s.leader, now)) {
        return; // overtaken by an answer of the leader
    }
    if (!hint.empty() && hint != address) {
        s.leader = hint;
    } else if (was_leader) {
        follow_next(s);
    }
    const bool awaits_leader = s.open.contains(s.leader);
    pause_requests(s,
                   awaits_leader ? max_search_pause : std::clamp(pause, min_search_pause, max_search_pause),
                   now, random);
}

void record_unanswered(control_search& s, const std::string& address, time_point now,
                       std::mt19937_64& random) {
    const bool was_late = is_late(s, address, now);
    s.open.erase(address);
    if (address != s.leader) {
        return;
    }
    follow_next(s);
    if (was_late) {
        s.next_request = now + record_failure(s.backoff, random);
    } else {
        pause_requests(s, min_search_pause, now, random);
    }
}

} // namespace larchpin
