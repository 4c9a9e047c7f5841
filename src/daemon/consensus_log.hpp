// Log lines on what consensus does at one control instance: who has a vote, why a vote is refused, whom an
// election waits for, how many losses the leader tolerates, and how an instance without membership joins.
#pragma once

#include "core/types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace larchpin {

struct control_core;

namespace raft {
struct message;
struct state;
struct vote_refusal;
} // namespace raft

// What has been logged already.
struct consensus_log {
    std::uint64_t members_index = 0; // of the log entry that set the members
    bool members_committed = false;
    time_point leader_known_at{};
    time_point no_leader_logged_at{};
    time_point undeliverable_logged_at{};
    time_point misaddressed_logged_at{};
    std::optional<std::size_t> tolerated_losses; // nothing while another instance leads
    auto operator<=>(const consensus_log&) const = default;
};

// A line whenever the members change or their change is committed, and one a second while nobody leads.
void log_consensus(consensus_log& logged, const raft::state& s, time_point now);

void log_refusal(const raft::vote_refusal& refusal, const raft::state& s);

// A line whenever the number of losses that this leader tolerates changes.
void log_tolerated_losses(consensus_log& logged, const control_core& c, time_point now);

// A message was dropped because no address is known for its receiver. At most one line a second.
void log_undeliverable(consensus_log& logged, const raft::message& m, time_point now);

// A message arrived for another identity than this instance's. At most one line a second.
void log_misaddressed(consensus_log& logged, const raft::message& m, const raft::state& s, time_point now);

// How a request to join ended at `address`; without an answer, the code is no_quorum. `leader` is its hint.
void log_join_answer(const std::string& address, std::uint32_t code, const std::string& leader);

} // namespace larchpin
