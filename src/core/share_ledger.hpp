// Connections held and wanted by each daemon, by share, as known to the control leader. Renewals update the
// ledger incrementally, so that each answer iterates over few entries: 76 daemons with 24 shares each renew
// some 600 times a second on a third of a core.
//
// Index
//   [data]  [functions]
#pragma once

#include "core/shares.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

using holder_number = std::uint32_t; // number of a daemon in one ledger

struct share_holder {
    holder_number daemon = 0;
    unsigned held = 0;    // maximum that the daemon may have open now
    unsigned wanted = 0;  // connections that the daemon's load could use
    bool reserve = false; // permanently keeps one connection, also without a lease
    auto operator<=>(const share_holder&) const = default;
};

struct share_account {
    std::vector<share_holder> holders;
    revision_number reserves_revision = 0; // revision of the instances from which reserves were selected
};

struct share_ledger {
    std::map<instance_id, holder_number> holder_numbers;
    std::vector<time_point> held_until; // by holder number; end of the time for which held connections count
    std::map<share_key, share_account> accounts;
};

// Limits for one daemon's part of a share.
struct share_decision {
    unsigned target = 0;         // fair part of the limit
    unsigned held_by_others = 0; // the daemon may hold at most the limit minus this number
    auto operator<=>(const share_decision&) const = default;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

holder_number assign_holder_number(share_ledger& l, const instance_id& daemon);

void record_holder(share_ledger& l, const share_key& key, holder_number daemon, unsigned held,
                   unsigned wanted);

// Clears the connections that a daemon holds and wants of one share.
void remove_holder(share_ledger& l, const share_key& key, holder_number daemon);
void remove_holder(share_ledger& l, holder_number daemon); // of all shares

// Sets the daemons that permanently keep one connection of a share.
void set_reserves(share_ledger& l, const share_key& key, const std::vector<instance_id>& reserves,
                  revision_number revision);

// Returns the part of `limit` for `daemon`, which wants `wanted` connections. A daemon whose held time has
// expired counts with its reserve only.
share_decision decide_share(const share_ledger& l, const share_key& key, holder_number daemon,
                            unsigned wanted, unsigned limit, time_point now);

} // namespace larchpin
