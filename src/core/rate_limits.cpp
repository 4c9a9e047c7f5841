// See rate_limits.hpp.
//
// Index
//   [control's side]  [a daemon's side]
#include "core/rate_limits.hpp"

#include "core/lease.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {
namespace {

constexpr double seconds_in(duration d) {
    return std::chrono::duration<double>(d).count();
}

// Half for daemons to hold, half for the change of a leader.
constexpr double held_part = 0.5;
// Of the bucket stays for operations that wait: what is held ahead of need comes from the rest.
constexpr double kept_for_waiting = 0.5;
constexpr duration longest_retry = std::chrono::seconds{1};
// A claim is renewed so long before its end that one lost answer does no harm.
constexpr duration renew_before_end = holding_time * 6 / 10;
constexpr double smoothing = 0.5;                                    // of the demand, from claim to claim
constexpr duration demand_interval = std::chrono::milliseconds{200}; // measured over at least

// A bucket that holds no whole operation would never give one.
unsigned burst_of(const workspace_entry& w) {
    return std::max(w.burst, 1U);
}

double slack(const workspace_entry& w, const rate_bounds& b) {
    const double in_window = w.rate * seconds_in(b.window) + burst_of(w);
    return b.overshoot * in_window + b.tolerance;
}

// The most that may be in the bucket and in hands, as far as this leader knows.
double most_out(const workspace_entry& w, const rate_bounds& b, bool knows_all) {
    const double held = slack(w, b) * held_part;
    return knows_all ? burst_of(w) + held : slack(w, b) - held;
}

double count_given(rate_account& a, time_point now) {
    std::erase_if(a.given, [now](const auto& g) { return g.second.until <= now; });
    double sum = 0;
    for (const auto& [id, given] : a.given) {
        sum += given.operations;
    }
    return sum;
}

void fill(rate_account& a, const workspace_entry& w, double most, time_point now) {
    const double room = std::max(0.0, most - count_given(a, now));
    a.level = std::min(a.level + w.rate * seconds_in(now - a.filled_at), room);
    a.filled_at = now;
}

// Whole operations that can be taken from `level`.
unsigned whole(double level) {
    return level < 1 ? 0 : static_cast<unsigned>(level);
}

rate_grant answer_claim(rate_account& a, const workspace_entry& w, double most, const instance_id& daemon,
                        const rate_claim& claim, time_point now) {
    given_operations& given = a.given[daemon];
    given = {.operations = claim.held + claim.running, .until = now + grantor_length(holding_time)};
    fill(a, w, most, now);
    a.level = std::min(a.level + claim.returned, most);
    rate_grant grant{.workspace = claim.workspace};
    grant.operations = std::min(claim.needed, whole(a.level));
    a.level -= grant.operations;
    if (grant.operations < claim.needed) {
        const double missing = std::max(0.0, 1 - a.level) / w.rate;
        grant.retry_after = std::min(
            longest_retry, std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing)));
        grant.retry_after = std::max(grant.retry_after, duration{1});
    }
    const unsigned more = claim.wanted > claim.held ? claim.wanted - claim.held : 0;
    const unsigned ahead = std::min(more, whole(a.level - most * kept_for_waiting));
    a.level -= ahead;
    grant.operations += ahead;
    given.operations += grant.operations;
    return grant;
}

// What the next half of holding_time will take; nothing where less than every second claim would use it.
unsigned want_ahead(const rate_holding& h) {
    return static_cast<unsigned>(std::lround(h.per_second * seconds_in(holding_time) / 2));
}

} // namespace

//-----------------------------------------------------------------------------
// [control's side]
//-----------------------------------------------------------------------------

std::vector<rate_grant> answer_rates(rate_ledger& l, const table& t, const rate_rules& rules,
                                     const rate_request& r, time_point now) {
    std::vector<rate_grant> grants;
    rate_caller& caller = l.callers[r.instance];
    const bool overtaken =
        r.incarnation < caller.incarnation || (r.incarnation == caller.incarnation && r.seq <= caller.seq);
    if (overtaken) {
        return grants;
    }
    caller = {.incarnation = r.incarnation, .seq = r.seq};
    std::erase_if(l.accounts, [&t](const auto& a) { return find_workspace(t, a.first) == nullptr; });
    const bool knows_all = rules.knows_all || now - l.since >= grantor_length(holding_time);
    for (const rate_claim& claim : r.claims) {
        const workspace_entry* w = find_workspace(t, claim.workspace);
        if (w == nullptr || w->rate == 0) {
            grants.push_back({.workspace = claim.workspace});
            continue;
        }
        const auto [account, is_new] = l.accounts.try_emplace(claim.workspace);
        if (is_new) { // as full as it would be, had this leader counted from its first moment
            account->second.filled_at = l.since;
        }
        grants.push_back(
            answer_claim(account->second, *w, most_out(*w, rules.bounds, knows_all), r.instance, claim, now));
    }
    return grants;
}

//-----------------------------------------------------------------------------
// [a daemon's side]
//-----------------------------------------------------------------------------

void follow_limit(rate_holding& h, const workspace_entry& w) {
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
    ++h.asked_since;
    if (h.held == 0 || now >= h.until) {
        h.held = 0;
        return false;
    }
    --h.held;
    ++h.running;
    return true;
}

void end_operation(rate_holding& h, bool may_have_run, time_point now) {
    h.running -= std::min(h.running, 1U);
    if (!may_have_run && now < h.until) {
        ++h.held;
    }
}

void owe_operation(rate_holding& h) {
    if (h.held > 0) {
        --h.held;
    } else {
        ++h.owed;
    }
}

std::optional<rate_claim> make_claim(rate_holding& h, const workspace_id& workspace, unsigned waiting,
                                     time_point now) {
    if (now >= h.until) {
        h.held = 0;
    }
    const bool ends_soon = h.held > 0 && h.until - now <= renew_before_end;
    const bool runs_low = h.held * 2 < want_ahead(h) && now >= h.refused_until;
    if (waiting == 0 && !ends_soon && !runs_low && h.owed == 0) {
        return std::nullopt;
    }
    const duration since = now - h.claimed_at;
    if (since >= demand_interval) {
        const double seen = h.asked_since / seconds_in(since);
        h.per_second += (seen - h.per_second) * smoothing;
        h.asked_since = 0;
        h.claimed_at = now;
    }
    const unsigned wanted = want_ahead(h);
    rate_claim claim{.workspace = workspace,
                     .held = h.held,
                     .running = h.running,
                     .needed = waiting + h.owed,
                     .wanted = wanted};
    if (waiting == 0 && h.held > 2 * wanted) {
        claim.returned = h.held - wanted;
        claim.held = wanted;
        h.held = wanted;
    }
    return claim;
}

void take_grant(rate_holding& h, const rate_grant& g, time_point sent) {
    h.until = sent + holder_length(holding_time);
    const unsigned paid = std::min(h.owed, g.operations);
    h.owed -= paid;
    h.held += g.operations - paid;
    h.refused_until = g.retry_after > duration{0} ? sent + g.retry_after : time_point{};
}

} // namespace larchpin
