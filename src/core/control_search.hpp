// Decides which control instance an instance sends its next renewal to.
//
// Renewals go to the leader, one at a time. A leader that answers late is not asked again: the answer grants
// the lease as long as the lease lasts, and a second renewal would only make the leader's queue longer.
// Meanwhile the other control instances are asked in turn, because another one may lead by now.
// So the renewals of an instance are bounded by the number of control instances and the pauses, however late
// control is.
//
// Usage
//   if (const auto to = choose_control(s, is_due, now)) {
//       record_sent(s, *to, now);
//   }
//   ... then one of record_granted(), record_not_leader(), record_unanswered()
#pragma once

#include "core/retry_backoff.hpp"
#include "core/types.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace larchpin {

constexpr duration late_renewal = std::chrono::milliseconds{250}; // then other control instances are asked
constexpr duration min_search_pause = std::chrono::milliseconds{30};
constexpr duration max_search_pause = std::chrono::milliseconds{150}; // a quarter of a short lease

struct control_search {
    std::vector<std::string> addresses;     // peer listeners of the control instances
    std::string leader;                     // as far as is known
    std::map<std::string, time_point> open; // sending times of the renewals without an answer, by address
    std::size_t last_asked = 0;             // index in addresses
    time_point next_request{};              // none before it
    retry_backoff backoff{.min_pause = min_search_pause, .max_pause = max_search_pause};
};

control_search make_control_search(const std::vector<std::string>& addresses); // at least one

// Returns the address to send a renewal to, if any. `is_due`: the leader is to be asked by now.
std::optional<std::string> choose_control(const control_search& s, bool is_due, time_point now);

void record_sent(control_search& s, const std::string& address, time_point now);

// Records that this instance leads.
void record_granted(control_search& s, const std::string& address);

// Records that this instance does not lead. `hint` is the leader's address as far as it knows, or empty;
// `pause` the time that it asks to wait.
void record_not_leader(control_search& s, const std::string& address, const std::string& hint, duration pause,
                       time_point now, std::mt19937_64& random);

// Records a renewal that ended without an answer. One that was refused at once cost its receiver nothing, so
// the next instance is asked after the shortest pause.
void record_unanswered(control_search& s, const std::string& address, time_point now,
                       std::mt19937_64& random);

} // namespace larchpin
