// How many statements one daemon has running at once at one backend server: where it orders the server's
// statements, as many as the server has slots and one; and fewer where the server said it was crowded.
//
// A server that queues statements itself serves them in the order of arrival, whatever their class, and in
// the end refuses them. So after a refusal fewer are sent at once, and the rest waits here, where urgent ones
// go first and hopeless ones are refused early. The limit is halved with a refusal and grows by one at a
// time, slowly while answers take twice what they do at an idle server; it never falls below one, and ends
// once it exceeds what the daemon may use. Slow answers alone do not lower it: entries that each hold a
// statement back leave slots idle at a server that has few (docs/POLICY.md).
//
// An opening connection takes a slot as a statement does. It counts where the slots are counted.
#pragma once

#include "core/types.hpp"

#include <array>
#include <limits>

namespace larchpin {

// Classes of requests have statements of different length, so each is compared with itself.
struct response_time_stats {
    duration smoothed{0}; // smoothed; 0: none yet
    duration baseline{0}; // the least that `usual` has been, rising slowly
    auto operator<=>(const response_time_stats&) const = default;
};

constexpr std::size_t response_time_classes = 4;

struct running_limit {
    unsigned aimd_limit = 0;      // statements at once, by the server's refusals; 0: no limit
    unsigned permits = 0;   // statements and openings at once, by the server's slots; 0: no limit
    unsigned used_by_other_pools = 0; // permits in use by this daemon's other pools of the server
    std::array<response_time_stats, response_time_classes> response_times;
    duration smoothed_response_time{0}; // smoothed over all classes; 0: none yet
    double slowdown = 1.0;     // smoothed: an answer's time by the least usual one of its class
    time_point decreased_at{};
    time_point increased_at{};
    auto operator<=>(const running_limit&) const = default;
};

// The server refused a statement since it is crowded, while `running` of ours were there.
void note_overload(running_limit& l, unsigned running, time_point now);

// A statement of this class (0 .. response_time_classes - 1) was answered after this time. `share` is what the
// daemon may have open at the server.
struct answered_statement {
    duration took{0};
    std::size_t klass = 0;
    unsigned share = 0;
};
void note_statement_answered(running_limit& l, const answered_statement& a, time_point now);

bool may_send(const running_limit& l, unsigned running);

// What a pool has at the server: statements that run, and connections that open.
struct occupied_slots {
    unsigned running = 0;
    unsigned opening = 0;
};

constexpr unsigned no_limit = std::numeric_limits<unsigned>::max();

// Statements or openings that may begin now; no_limit where nothing bounds them.
unsigned free_slots(const running_limit& l, const occupied_slots& use);

// Statements that may run at once, at least one; 0: nothing bounds them.
unsigned concurrency_limit(const running_limit& l);

} // namespace larchpin
