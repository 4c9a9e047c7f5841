// Tells a peer that answers late from one that is gone.
//
// A new connection costs a busy peer more than the late answer, and loses what it has already answered on the
// old one. So a connection is replaced only if the peer sends nothing at all, not even the answer to a ping.
// A peer whose connections were replaced without a timely answer since is given longer each time.
//
// Usage
//   record_late_request(l, sent_at, heard_at);   // heard_at: when bytes of the peer last arrived
//   switch (check_liveness(l, heard_at, now)) {  // every few milliseconds while is_in_doubt(l)
//   case liveness_verdict::ping: ...
//   case liveness_verdict::gone: ...             // close the connection, then record_gone(l)
//   case liveness_verdict::alive: ...
//   }
#pragma once

#include "core/types.hpp"

namespace larchpin {

// Longer than the pauses of a busy peer's event loop.
constexpr duration default_peer_silence = std::chrono::milliseconds{500};

struct peer_liveness {
    duration min_silence = default_peer_silence; // until a peer counts as gone
    time_point unheard_since{}; // sending time of the first late request without any bytes since; 0 = none
    time_point pinged_at{};     // 0 = not since then
    unsigned gone_in_a_row = 0; // connections, without a timely answer between them; capped
    auto operator<=>(const peer_liveness&) const = default;
};

enum class liveness_verdict : std::uint8_t { alive = 1, ping, gone };

void record_late_request(peer_liveness& l, time_point sent_at, time_point heard_at);
liveness_verdict check_liveness(peer_liveness& l, time_point heard_at, time_point now);
bool is_in_doubt(const peer_liveness& l);

void record_new_connection(peer_liveness& l);
void record_gone(peer_liveness& l);
void record_timely_answer(peer_liveness& l);

// Returns the silence after which the peer counts as gone: min_silence, and up to eight times as long after
// lost connections in a row.
duration silence_limit(const peer_liveness& l);

} // namespace larchpin
