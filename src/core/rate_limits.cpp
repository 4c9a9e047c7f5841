// See rate_limits.hpp.
//
// Index
//   [control]  [daemon]
#include "core/rate_limits.hpp"

#include "core/lease.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {
namespace {

constexpr double seconds_in(duration d) {
    return std::chrono::duration<double>(d).count();
}

// Fraction of the slack for operations that daemons hold; the rest covers a leader change.
constexpr double held_slack_fraction = 0.5;
// Fraction of the bucket that is reserved for waiting operations; prefetched operations come from the rest.
constexpr double waiting_reserve_fraction = 0.5;
constexpr duration max_retry_after = std::chrono::seconds{1};
// Time before expiry at which a claim is renewed; it allows for one lost answer.
constexpr duration renewal_margin = grant_lifetime * 6 / 10;
constexpr double smoothing = 0.5; // weight of a new demand sample (EWMA)
constexpr duration min_demand_interval = std::chrono::milliseconds{200}; // minimum time of a demand sample

// Returns the burst, at least 1: a bucket smaller than one operation would never grant any.
unsigned burst_of(const workspace_entry& w) {
    return std::max(w.burst, 1U);
}

double slack(const workspace_entry& w, const rate_bounds& b) {
    const double in_window = w.rate * seconds_in(b.window) + burst_of(w);
    return b.overshoot * in_window + b.tolerance;
}

// Returns the maximum number of operations in the bucket and held by daemons, as far as this leader knows.
double max_outstanding(const workspace_entry& w, const rate_bounds& b, bool prior_grants_expired) {
    const double held = slack(w, b) * held_slack_fraction;
    return prior_grants_expired ? burst_of(w) + held : slack(w, b) - held;
}

double count_granted(rate_account& a, time_point now) {
    std::erase_if(a.granted, [now](const auto& g) { return g.second.expires_at <= now; });
    double sum = 0;
    for (const auto& [id, granted] : a.granted) {
        sum += granted.operations;
    }
    return sum;
}

void refill(rate_account& a, const workspace_entry& w, double capacity, time_point now) {
    const double room = std::max(0.0, capacity - count_granted(a, now));
    a.tokens = std::min(a.tokens + w.rate * seconds_in(now - a.refilled_at), room);
    a.refilled_at = now;
}

// Returns the whole operations in `tokens`.
unsigned whole_tokens(double tokens) {
    return tokens < 1 ? 0 : static_cast<unsigned>(tokens);
}

rate_grant answer_claim(rate_account& a, const workspace_entry& w, double capacity, const instance_id& daemon,
                        const rate_claim& claim, time_point now) {
    granted_operations& granted = a.granted[daemon];
    granted = {.operations = claim.held + claim.running,
               .expires_at = now + grantor_lease_duration(grant_lifetime)};
    refill(a, w, capacity, now);
    a.tokens = std::min(a.tokens + claim.returned, capacity);
    rate_grant grant{.workspace = claim.workspace};
    grant.operations = std::min(claim.needed, whole_tokens(a.tokens));
    a.tokens -= grant.operations;
    if (grant.operations < claim.needed) {
        const double missing = std::max(0.0, 1 - a.tokens) / w.rate;
        grant.retry_after = std::min(
            max_retry_after, std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing)));
        grant.retry_after = std::max(grant.retry_after, duration{1});
    }
    const unsigned more = claim.wanted > claim.held ? claim.wanted - claim.held : 0;
    const unsigned ahead = std::min(more, whole_tokens(a.tokens - capacity * waiting_reserve_fraction));
    a.tokens -= ahead;
    grant.operations += ahead;
    granted.operations += grant.operations;
    return grant;
}

// Returns the expected demand of the next half of grant_lifetime; 0 if fewer than every second claim would
// use an operation.
unsigned prefetch_target(const rate_holding& h) {
    return static_cast<unsigned>(std::lround(h.demand_per_second * seconds_in(grant_lifetime) / 2));
}

} // namespace

//-----------------------------------------------------------------------------
// [control]
//-----------------------------------------------------------------------------

std::vector<rate_grant> answer_rate_request(rate_ledger& l, const table& t, const rate_rules& rules,
                                            const rate_request& r, time_point now) {
    std::vector<rate_grant> grants;
    last_rate_request& last = l.last_requests[r.instance];
    const bool is_stale =
        r.incarnation < last.incarnation || (r.incarnation == last.incarnation && r.seq <= last.seq);
    if (is_stale) {
        return grants;
    }
    last = {.incarnation = r.incarnation, .seq = r.seq};
    std::erase_if(l.accounts, [&t](const auto& a) { return find_workspace(t, a.first) == nullptr; });
    const bool prior_grants_expired =
        rules.prior_grants_expired || now - l.term_started_at >= grantor_lease_duration(grant_lifetime);
    for (const rate_claim& claim : r.claims) {
        const workspace_entry* w = find_workspace(t, claim.workspace);
        if (w == nullptr || w->rate == 0) {
            grants.push_back({.workspace = claim.workspace});
            continue;
        }
        const auto [account, is_new] = l.accounts.try_emplace(claim.workspace);
        if (is_new) { // initial fill as if counted since the start of this leader's term
            account->second.refilled_at = l.term_started_at;
        }
        grants.push_back(answer_claim(account->second, *w,
                                      max_outstanding(*w, rules.bounds, prior_grants_expired), r.instance,
                                      claim, now));
    }
    return grants;
}

//-----------------------------------------------------------------------------
// [daemon]
//-----------------------------------------------------------------------------

void apply_limit(rate_holding& h, const workspace_entry& w) {
    if (w.rate < h.rate || w.burst < h.burst) {
        h.held = 0;
    }
    if (w.rate != h.rate || w.burst != h.burst) {
        h.refused_until = {};
    }
    h.rate = w.rate;
    h.burst = w.burst;
}

void drop_held(rate_holding& h) {
    h.held = 0;
    h.refused_until = {};
}

bool take_operation(rate_holding& h, time_point now) {
    ++h.demand_since_claim;
    if (h.held == 0 || now >= h.expires_at) {
        h.held = 0;
        return false;
    }
    --h.held;
    ++h.running;
    return true;
}

void end_operation(rate_holding& h, bool may_have_run, time_point now) {
    h.running -= std::min(h.running, 1U);
    if (!may_have_run && now < h.expires_at) {
        ++h.held;
    }
}

void add_debt(rate_holding& h) {
    if (h.held > 0) {
        --h.held;
    } else {
        ++h.debt;
    }
}

std::optional<rate_claim> make_claim(rate_holding& h, const workspace_id& workspace, unsigned waiting,
                                     time_point now) {
    if (now >= h.expires_at) {
        h.held = 0;
    }
    const bool expires_soon = h.held > 0 && h.expires_at - now <= renewal_margin;
    const bool runs_low = h.held * 2 < prefetch_target(h) && now >= h.refused_until;
    if (waiting == 0 && !expires_soon && !runs_low && h.debt == 0) {
        return std::nullopt;
    }
    const duration since = now - h.claimed_at;
    if (since >= min_demand_interval) {
        const double seen = h.demand_since_claim / seconds_in(since);
        h.demand_per_second += (seen - h.demand_per_second) * smoothing;
        h.demand_since_claim = 0;
        h.claimed_at = now;
    }
    const unsigned wanted = prefetch_target(h);
    rate_claim claim{.workspace = workspace,
                     .held = h.held,
                     .running = h.running,
                     .needed = waiting + h.debt,
                     .wanted = wanted};
    if (waiting == 0 && h.held > 2 * wanted) {
        claim.returned = h.held - wanted;
        claim.held = wanted;
        h.held = wanted;
    }
    return claim;
}

void apply_grant(rate_holding& h, const rate_grant& g, time_point sent) {
    h.expires_at = sent + holder_lease_duration(grant_lifetime);
    const unsigned paid = std::min(h.debt, g.operations);
    h.debt -= paid;
    h.held += g.operations - paid;
    h.refused_until = g.retry_after > duration{0} ? sent + g.retry_after : time_point{};
}

} // namespace larchpin
