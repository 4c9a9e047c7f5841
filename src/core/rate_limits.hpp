// Rate limits of workspaces, which hold over all daemons and in every span of time.
//
// The leading control instance keeps one token bucket a workspace and gives operations out of it; a daemon
// lets an operation through only against one that it holds. Of any span of time T it holds that
//   operations let through <= rate * T + burst + slack
// since what is in the bucket and in the daemons' hands never exceeds burst + slack, and only the rate adds
// to it. The slack is what the operator tolerates (rate_bounds); half of it lets daemons hold operations
// ahead of need, the other half is for a new leader, which does not know yet what its predecessor gave out.
//
// What a daemon holds is good for grant_lifetime after its last word to control, and ends at the first word of
// another leader. One that is cut off, frozen or gone keeps nothing beyond that, and control counts it as
// given out till then.
//
// Weighed against equal parts for all: a key is seen at two of five daemons, at each of them less than once a
// second, so a fixed part would refuse most of what is within the limit. Against asking for every operation:
// a round trip each, so daemons with a steady demand hold operations for the next moment.
//
// Index
//   [messages]  [control's side]  [a daemon's side]
#pragma once

#include "core/cluster_state.hpp"

#include <map>
#include <optional>
#include <vector>

namespace larchpin {

// A second bridges most elections of a leader (0.5 s); in a longer time a daemon that is gone would keep more
// of its workspaces' operations from the others.
constexpr duration grant_lifetime = std::chrono::seconds{1};

// What an operator tolerates beyond rate and burst in one window.
struct rate_bounds {
    duration window = std::chrono::seconds{5};
    double overshoot = 0;   // part of the limit of a window, 0..1
    unsigned tolerance = 0; // operations a window
    auto operator<=>(const rate_bounds&) const = default;
};

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

// A daemon's word on one workspace.
struct rate_claim {
    workspace_id workspace;
    unsigned held = 0;     // operations that it may let through without asking
    unsigned running = 0;  // let through, and may yet turn out not to have run
    unsigned needed = 0;   // operations that wait for this answer
    unsigned wanted = 0;   // that it would like to hold ahead of need
    unsigned returned = 0; // that it held and has no use for any more
    auto operator<=>(const rate_claim&) const = default;
};

struct rate_request {
    instance_id instance;
    std::uint64_t incarnation = 0; // another one after every restart
    std::uint64_t seq = 0;         // rises with every request of an incarnation
    std::vector<rate_claim> claims;
    bool operator==(const rate_request&) const = default;
};

struct rate_grant {
    workspace_id workspace;
    unsigned operations = 0; // beside those that it held
    duration retry_after{0}; // some were needed and not given: the next one can be had in this time
    auto operator<=>(const rate_grant&) const = default;
};

//-----------------------------------------------------------------------------
// [control's side]
//-----------------------------------------------------------------------------

// What one daemon may hold at most, as control knows.
struct granted_operations {
    unsigned operations = 0;
    time_point expires_at{};
    auto operator<=>(const granted_operations&) const = default;
};

struct rate_account {
    double tokens = 0; // operations that can be given now
    time_point refilled_at{};
    std::map<instance_id, granted_operations> granted;
};

struct last_rate_request {
    std::uint64_t incarnation = 0;
    std::uint64_t seq = 0;
};

struct rate_ledger {
    time_point term_started_at{}; // of this leader's term
    std::map<workspace_id, rate_account> accounts;
    std::map<instance_id, last_rate_request> last_requests;
};

struct rate_rules {
    rate_bounds bounds;
    bool prior_grants_expired = true; // no daemon goes by what an earlier leader gave out any more
    auto operator<=>(const rate_rules&) const = default;
};

// A grant for each claim, in the same order; none for a request that a newer one has overtaken.
std::vector<rate_grant> answer_rate_request(rate_ledger& l, const table& t, const rate_rules& rules,
                                     const rate_request& r, time_point now);

//-----------------------------------------------------------------------------
// [a daemon's side]
//-----------------------------------------------------------------------------

struct rate_holding {
    unsigned held = 0;
    time_point expires_at{};         // of what is held
    unsigned running = 0;       // let through, and may yet be given back
    unsigned debt = 0;          // operations that ran without one: paid first
    double demand_per_second = 0;      // operations asked for, smoothed
    unsigned demand_since_claim = 0;   // operations asked for since the last claim
    time_point claimed_at{};    // the last claim was made
    time_point refused_until{}; // nothing is to be had before
    unsigned rate = 0;          // the limit that it was given under
    unsigned burst = 0;
};

// A limit that was lowered: what was given under the old one is dropped.
void apply_limit(rate_holding& h, const workspace_entry& w);

// Another leader counts from now on: what was given before it is dropped.
void drop_held(rate_holding& h);

// Takes one operation. False where none is held.
bool take_operation(rate_holding& h, time_point now);

// An operation that was taken has ended, and may have run, or surely has not.
void end_operation(rate_holding& h, bool may_have_run, time_point now);

// An operation ran a second time: it is paid for with the next grant.
void add_debt(rate_holding& h);

// What to tell control now, of a workspace for which `waiting` operations wait; nothing where there is no
// need. The holding lasts on only where control is told of it.
std::optional<rate_claim> make_claim(rate_holding& h, const workspace_id& workspace, unsigned waiting,
                                     time_point now);

// Control's answer to a claim that was sent at `sent`.
void apply_grant(rate_holding& h, const rate_grant& g, time_point sent);

} // namespace larchpin
