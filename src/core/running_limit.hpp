// Concurrency limit of one daemon's statements at one backend server: by the server's slots where this daemon
// orders the server's statements (slots + 1), and lower after the server refused statements because of
// overload.
//
// A server that queues statements itself serves them in arrival order, regardless of class, and finally
// refuses them. After a refusal fewer statements are therefore sent concurrently and the others wait in the
// daemon's queue, where urgent requests go first and requests that cannot be served in time are refused
// early. The limit follows additive increase, multiplicative decrease (AIMD): it is halved on a refusal and
// grows by one per interval, slowly while response times are twice those of an idle server. It never falls
// below one and is removed once it reaches the daemon's share. Slow responses alone do not lower the limit:
// entries that each hold a statement back leave slots idle at a server with few slots (docs/POLICY.md).
//
// An opening connection occupies a slot like a statement, and counts against the permits.
#pragma once

#include "core/types.hpp"

#include <array>
#include <limits>

namespace larchpin {

// Response times of one request class; classes differ in statement length, so each has its own baseline.
struct response_time_stats {
    duration smoothed{0}; // smoothed (EWMA); 0 = no sample
    duration baseline{0}; // minimum of `smoothed`; rises slowly
    auto operator<=>(const response_time_stats&) const = default;
};

constexpr std::size_t response_time_classes = 4;

struct running_limit {
    unsigned aimd_limit = 0; // concurrent statements, by overload refusals; 0 = unlimited
    unsigned permits = 0;    // concurrent statements and openings, by the server's slots; 0 = unlimited
    unsigned used_by_other_pools = 0; // permits used by this daemon's other pools of the server
    std::array<response_time_stats, response_time_classes> response_times;
    duration smoothed_response_time{0}; // over all classes; smoothed (EWMA); 0 = no sample
    double slowdown = 1.0;              // response time divided by its class's baseline; smoothed (EWMA)
    time_point decreased_at{};
    time_point increased_at{};
    auto operator<=>(const running_limit&) const = default;
};

// Lowers the limit after the server refused a statement because of overload, with `running` statements of
// this pool at the server.
void record_overload(running_limit& l, unsigned running, time_point now);

// An answered statement of class `klass` (0 .. response_time_classes - 1). `share` is the maximum number of
// connections that the daemon may have open at the server.
struct answered_statement {
    duration took{0};
    std::size_t klass = 0;
    unsigned share = 0;
};
void record_statement_answered(running_limit& l, const answered_statement& a, time_point now);

bool may_send(const running_limit& l, unsigned running);

// Slots of the server that a pool occupies.
struct occupied_slots {
    unsigned running = 0;
    unsigned opening = 0;
};

constexpr unsigned no_limit = std::numeric_limits<unsigned>::max();

// Returns the number of statements or openings that may start now; no_limit if unlimited.
unsigned free_slots(const running_limit& l, const occupied_slots& use);

// Returns the maximum number of concurrent statements, at least 1; 0 = unlimited.
unsigned concurrency_limit(const running_limit& l);

} // namespace larchpin
