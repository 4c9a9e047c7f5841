// Division of a service's connection limit at a backend server among the daemons.
//
// The limit holds at every moment: a share counts as held until its daemon has confirmed a smaller share or
// its lease has expired. A daemon in the server's own failure domain permanently keeps one connection (its
// reserve), so that a partitioned domain continues to serve from its own servers.
#pragma once

#include "core/types.hpp"

#include <compare>
#include <vector>

namespace larchpin {

// Key of a share: a service's connections to one backend server.
struct share_key {
    service_id service;
    server_id server;
    auto operator<=>(const share_key&) const = default;
};

// Claim of a daemon on one share, sent with its lease renewal.
struct share_claim {
    share_key key;
    unsigned in_effect = 0; // maximum that is open or may be opened now
    unsigned wanted = 0;    // connections that the daemon's load could use
    auto operator<=>(const share_claim&) const = default;
};

struct share_grant {
    share_key key;
    unsigned connections = 0;
    auto operator<=>(const share_grant&) const = default;
};

// Returns the max-min fair division of `limit`: no daemon gets more than it wants, and the unused part goes
// to the others. The result has the order of `wanted` and a sum of at most `limit`.
std::vector<unsigned> divide_fairly(unsigned limit, const std::vector<unsigned>& wanted);

// Returns the part that divide_fairly() gives to `own` among `others`, without computing the whole division.
unsigned fair_share(unsigned limit, unsigned own, const std::vector<unsigned>& others);

// Returns the part of a service's connection limit at one server that serves requests; at least 1.
unsigned connections_for_requests(unsigned limit, unsigned reserved_for_probes);

// Returns the maximum that one daemon may get now: its fair target, capped to what other daemons do not hold.
unsigned next_share(unsigned limit, unsigned target, unsigned held_by_others);

} // namespace larchpin
