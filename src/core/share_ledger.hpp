// What the leading control instance knows of each share: who holds how many connections of it, and who wants
// how many. Kept up to date by renewals, so that the answer to one costs a walk over small numbers: 76
// daemons with 24 shares each renew some 600 times a second on a third of a core.
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

using holder_number = std::uint32_t; // of a daemon in one ledger

struct share_holder {
    holder_number daemon = 0;
    unsigned held = 0;    // the most it may have open at this moment
    unsigned wanted = 0;  // what its load could use
    bool reserve = false; // keeps one connection for good, also without a lease
    auto operator<=>(const share_holder&) const = default;
};

struct share_account {
    std::vector<share_holder> holders;
    revision_number reserves_revision = 0; // of the instances that the reserves were chosen from
};

struct share_ledger {
    std::map<instance_id, holder_number> holder_numbers;
    std::vector<time_point> held_until; // by number: what a daemon holds counts till then
    std::map<share_key, share_account> accounts;
};

// One daemon's part of a share.
struct share_decision {
    unsigned target = 0;         // its fair part of the limit
    unsigned held_by_others = 0; // more than the limit less this it must not get
    auto operator<=>(const share_decision&) const = default;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

holder_number assign_holder_number(share_ledger& l, const instance_id& daemon);

void note_holder(share_ledger& l, const share_key& key, holder_number daemon, unsigned held, unsigned wanted);

// It holds nothing of the share, and wants nothing.
void remove_holder(share_ledger& l, const share_key& key, holder_number daemon);
void remove_holder(share_ledger& l, holder_number daemon); // of any share

// The daemons that keep one connection of this share for good.
void set_reserves(share_ledger& l, const share_key& key, const std::vector<instance_id>& reserves,
                  revision_number revision);

// What `daemon`, which wants `wanted`, may have of `limit`. Daemons whose time has run out count with their
// reserve only.
share_decision decide_share(const share_ledger& l, const share_key& key, holder_number daemon,
                            unsigned wanted, unsigned limit, time_point now);

} // namespace larchpin
