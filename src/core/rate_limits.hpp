// Rate limits of workspaces, enforced over all daemons and in every time span.
//
// The control leader keeps one token bucket per workspace and grants operations from it; a daemon admits an
// operation only against a granted operation. For any time span T:
//   operations admitted <= rate * T + burst + slack
// The bucket and the daemons' holdings together never exceed burst + slack, and only the rate adds to them.
// The slack is the excess that the operator tolerates (rate_bounds): half of it lets daemons prefetch
// operations, the other half covers a new leader that does not yet know its predecessor's grants.
//
// A daemon's holding is valid for grant_lifetime after its last claim to control, and ends at the first
// message from another leader. A daemon that is partitioned, suspended or terminated keeps no operations
// after that time, and control counts them as granted until then.
//
// Fixed equal parts for all daemons would refuse most operations within the limit, since a key is typically
// used at two of five daemons, less than once a second each. A request for every operation would cost a round
// trip each, so daemons with steady demand prefetch.
//
// Index
//   [messages]  [control]  [daemon]
#pragma once

#include "core/cluster_state.hpp"

#include <map>
#include <optional>
#include <vector>

namespace larchpin {

// One second spans most leader elections (0.5 s); a longer lifetime would withhold a terminated daemon's
// operations from other daemons for longer.
constexpr duration grant_lifetime = std::chrono::seconds{1};

// Excess over rate and burst that the operator tolerates in one window.
struct rate_bounds {
    duration window = std::chrono::seconds{5};
    double overshoot = 0;   // fraction of the limit of a window, 0..1
    unsigned tolerance = 0; // operations per window
    auto operator<=>(const rate_bounds&) const = default;
};

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

// Claim of a daemon for one workspace.
struct rate_claim {
    workspace_id workspace;
    unsigned held = 0;     // granted operations that are not used yet
    unsigned running = 0;  // admitted operations that may still turn out not to have run
    unsigned needed = 0;   // operations that wait for the grant
    unsigned wanted = 0;   // operations to hold in advance
    unsigned returned = 0; // held operations that are returned unused
    auto operator<=>(const rate_claim&) const = default;
};

struct rate_request {
    instance_id instance;
    std::uint64_t incarnation = 0; // differs after every restart
    std::uint64_t seq = 0;         // increases with every request of an incarnation
    std::vector<rate_claim> claims;
    bool operator==(const rate_request&) const = default;
};

struct rate_grant {
    workspace_id workspace;
    unsigned operations = 0; // in addition to those that the daemon held
    duration retry_after{0}; // time until the next operation is available; 0 = all needed operations granted
    auto operator<=>(const rate_grant&) const = default;
};

//-----------------------------------------------------------------------------
// [control]
//-----------------------------------------------------------------------------

// Maximum that one daemon may hold, as known to control.
struct granted_operations {
    unsigned operations = 0;
    time_point expires_at{};
    auto operator<=>(const granted_operations&) const = default;
};

struct rate_account {
    double tokens = 0; // operations available for grants
    time_point refilled_at{};
    std::map<instance_id, granted_operations> granted;
};

struct last_rate_request {
    std::uint64_t incarnation = 0;
    std::uint64_t seq = 0;
};

struct rate_ledger {
    time_point term_started_at{}; // start of this leader's term
    std::map<workspace_id, rate_account> accounts;
    std::map<instance_id, last_rate_request> last_requests;
};

struct rate_rules {
    rate_bounds bounds;
    bool prior_grants_expired = true; // all grants of earlier leaders have expired
    auto operator<=>(const rate_rules&) const = default;
};

// Returns a grant for each claim, in the same order; empty for a request older than one that was already
// answered.
std::vector<rate_grant> answer_rate_request(rate_ledger& l, const table& t, const rate_rules& rules,
                                            const rate_request& r, time_point now);

//-----------------------------------------------------------------------------
// [daemon]
//-----------------------------------------------------------------------------

struct rate_holding {
    unsigned held = 0;
    time_point expires_at{};         // expiry of the held operations
    unsigned running = 0;            // admitted operations that may still be returned
    unsigned debt = 0;               // operations that ran without a grant; deducted from the next grants
    double demand_per_second = 0;    // operations requested per second; smoothed (EWMA)
    unsigned demand_since_claim = 0; // operations requested since claimed_at
    time_point claimed_at{};         // start of the current demand interval
    time_point refused_until{};      // no operation is available before
    unsigned rate = 0;               // limit under which the operations were granted
    unsigned burst = 0;
};

// Applies the workspace's current limit; a lowered limit drops operations granted under the previous limit.
void apply_limit(rate_holding& h, const workspace_entry& w);

// Drops held operations after a leader change.
void drop_held(rate_holding& h);

// Takes one operation. Returns false if none is held.
bool take_operation(rate_holding& h, time_point now);

// Ends an operation that was taken; it returns to the holding if it certainly has not run.
void end_operation(rate_holding& h, bool may_have_run, time_point now);

// Charges an operation that ran a second time to the holding or, if that is empty, to the next grant.
void add_debt(rate_holding& h);

// Returns the claim to send to control for a workspace for which `waiting` operations wait, or nullopt if no
// claim is due. Only claims extend a holding's lifetime.
std::optional<rate_claim> make_claim(rate_holding& h, const workspace_id& workspace, unsigned waiting,
                                     time_point now);

// Applies the grant for a claim that was sent at `sent`.
void apply_grant(rate_holding& h, const rate_grant& g, time_point sent);

} // namespace larchpin
