// Tracks which control instances hold the marks of what this instance acknowledged (acknowledgements.hpp).
//
// A mark that one process alone knows is gone with it. So it is stored by a majority of the control instances
// before a caller is told of its commit: a leader of control is in touch with a majority, too, and learns
// every mark from their renewals. Marks are stored in memory; a process that starts again has none.
//
// Each holder gets one message at a time, with all marks that it lacks. Marks are numbered in batches: what
// arrives while a message is on its way goes with the next one.
#pragma once

#include "core/types.hpp"

#include <string>
#include <vector>

namespace larchpin {

struct mark_holder {
    std::string address;          // peer listener of a control instance
    std::uint64_t stored = 0;     // number of the newest batch that it holds
    std::uint64_t in_flight = 0;  // newest batch in the message that is on its way; 0 = none is
    time_point next_message_at{}; // after a message that was not answered
    auto operator<=>(const mark_holder&) const = default;
};

struct mark_quorum {
    std::uint64_t newest = 0; // number of the newest batch
    std::vector<mark_holder> holders;
    auto operator<=>(const mark_quorum&) const = default;
};

// Pause after a message to a holder that was not answered.
constexpr duration mark_retry_pause = std::chrono::milliseconds{50};

// Sets the holders. What the remaining ones hold stays known.
void set_mark_holders(mark_quorum& q, const std::vector<std::string>& addresses);

// Returns the holders that are to be sent the newest batch now, and records that it is sent.
std::vector<mark_holder> take_mark_messages(mark_quorum& q, time_point now);

// Records that a holder has stored the batch of its last message, or has not answered.
void record_mark_stored(mark_quorum& q, const std::string& address);
void record_mark_unanswered(mark_quorum& q, const std::string& address, time_point now);

// Returns the newest batch that a majority of the holders has stored. Without any holder nothing can be
// stored, and every batch counts.
std::uint64_t find_stored_batch(const mark_quorum& q);

} // namespace larchpin
