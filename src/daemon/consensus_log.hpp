// Log lines on what consensus does at one control instance: who has a vote, why a vote is refused, and whom
// an election waits for.
#pragma once

#include "core/types.hpp"

#include <cstdint>

namespace larchpin {

namespace raft {
struct state;
struct vote_refusal;
} // namespace raft

// What has been logged already.
struct consensus_log {
    std::uint64_t members_index = 0; // of the log entry that set the members
    bool members_committed = false;
    time_point leader_known_at{};
    time_point no_leader_logged_at{};
    auto operator<=>(const consensus_log&) const = default;
};

// A line whenever the members change or their change is committed, and one a second while nobody leads.
void log_consensus(consensus_log& logged, const raft::state& s, time_point now);

void log_refusal(const raft::vote_refusal& refusal, const raft::state& s);

} // namespace larchpin
