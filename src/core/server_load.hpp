// How loaded a backend server is, as the instance through which its statements go tells it.
//
// That instance sees everything that runs at the server and everything that waits for it, so its word is
// better than what another instance can tell from its own few requests. The word passes with answers that are
// sent anyway and is worth less with every millisecond: whoever uses it looks at `as_of`.
#pragma once

#include "core/types.hpp"

namespace larchpin {

struct server_load {
    server_id server;
    unsigned slots = 0;       // statements that it runs at once; 0: not known
    unsigned running = 0;     // statements there now
    unsigned waiting = 0;     // requests that wait at the instance until they may be sent
    duration usual_answer{0}; // smoothed time from sending to answer; 0: unknown
    duration wait{0};         // that a request of class "normal" has to expect before it is sent
    time_point as_of{};       // by the clock of whoever reads it, at the latest
    auto operator<=>(const server_load&) const = default;
};

} // namespace larchpin
