// Decides which control instance an instance that is not a member asks to add it.
//
// Only the leader adds members. The instance follows the leader as far as it learns of one: from the answers
// of control instances that do not lead, and from a leader that writes to its address, though to an earlier
// identity. Otherwise it asks the addresses that it knows in turn: its settings may name control instances
// that do not lead, do not answer, or have lost their disks themselves.
//
// Usage
//   if (const auto to = choose_join_address(s, known, own, now)) { ... }
//   ... then record_join_answer() or record_join_unanswered()
#pragma once

#include "core/result_codes.hpp"
#include "core/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace larchpin {

constexpr duration join_interval = std::chrono::milliseconds{300};
constexpr duration hinted_join_interval = std::chrono::milliseconds{50}; // for a leader not yet asked

struct join_search {
    std::string leader;            // peer address, as far as is known
    std::uint64_t leader_term = 0; // 0: from an answer, which states none
    bool is_asked = false;         // the leader, since it is known
    std::size_t next = 0;          // index among the known addresses
    time_point last_request{};
    auto operator<=>(const join_search&) const = default;
};

// Returns the address to ask now, if any. `known`: addresses of the settings and of known members; `own` is
// never asked.
std::optional<std::string> choose_join_address(join_search& s, const std::vector<std::string>& known,
                                               const std::string& own, time_point now);

// Records the answer of a control instance. `hint` is the leader's address as far as it knows, or empty.
void record_join_answer(join_search& s, const std::string& address, result_code code,
                        const std::string& hint);

void record_join_unanswered(join_search& s, const std::string& address);

// Records a message of a leader of this term. The leader of an older term is ignored.
void record_leader_seen(join_search& s, const std::string& address, std::uint64_t term);

} // namespace larchpin
