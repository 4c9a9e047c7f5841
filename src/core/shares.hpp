// How a service's few connections to a backend server are divided among the daemons.
//
// The limit holds at every moment: a share counts as held until its daemon has confirmed a smaller one or
// its lease has run out. A daemon in the server's own failure domain keeps one connection for good (its
// reserve), so that a domain that is cut off goes on serving from its own servers.
#pragma once

#include "core/types.hpp"

#include <compare>
#include <vector>

namespace larchpin {

// What one share is about: a service's connections to one backend server.
struct share_key {
    service_id service;
    server_id server;
    auto operator<=>(const share_key&) const = default;
};

// What a daemon says of one share when it renews its lease.
struct share_claim {
    share_key key;
    unsigned in_effect = 0; // the most it has open or may open at this moment
    unsigned wanted = 0;    // what its load could use
    auto operator<=>(const share_claim&) const = default;
};

struct share_grant {
    share_key key;
    unsigned connections = 0;
    auto operator<=>(const share_grant&) const = default;
};

// Max-min fair division of `limit` over the wishes: nobody gets more than it wants, and what one does not
// want goes to the others. The result has the order of `wanted` and sums up to at most `limit`.
std::vector<unsigned> divide_fairly(unsigned limit, const std::vector<unsigned>& wanted);

// What divide_fairly() gives to `own` of a limit that it shares with `others`, without dividing it all.
unsigned fair_share(unsigned limit, unsigned own, const std::vector<unsigned>& others);

// What of a service's limit on connections to one server is for requests; at least one.
unsigned connections_for_requests(unsigned limit, unsigned reserved_for_probes);

// The most that one daemon may get now: its fair target, cut to what the others do not hold.
unsigned next_share(unsigned limit, unsigned target, unsigned held_by_others);

} // namespace larchpin
