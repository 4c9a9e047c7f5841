// Whether a session that is opened now is taken, waits for this instance's first lease, or is refused.
//
// The pattern: everything starts anew. Instances take connections some hundred milliseconds before control
// has a leader that grants leases. A caller that is refused then finds all other instances in the same state,
// and has used up its tries before any of them can serve it. So its opening waits for the lease that is a
// moment away.
//
// An instance that is cut off alone is another case: others serve, and a caller that waits here loses the
// time for them. It is told by having held a lease since it started, or by having run for longer than a start
// takes.
#pragma once

#include "core/types.hpp"

#include <cstddef>
#include <cstdint>

namespace larchpin {

// What callers in a hurry hope for. One that has waited for longer would be served late, and would make those
// late who come after the start; and it has most of its deadline (1 s) left for another instance.
constexpr duration opening_patience = std::chrono::milliseconds{200};
// All of them begin to work in the same moment, and each holds a socket meanwhile.
constexpr std::size_t max_waiting_openings = 500;

// An instance, as far as openings go by it.
struct start_state {
    time_point started_at{};
    duration usual_start{0}; // from there to the first lease, at most
    bool takes_sessions = false;
    bool had_lease = false;  // since it started
    std::size_t waiting = 0; // openings, beside this one
};

enum class opening_verdict : std::uint8_t { taken, waits, refused };

// Of an opening that was asked for at `asked_at`; one that waits is looked at anew at opening_wait_end(), and
// with each change of the state.
opening_verdict judge_opening(const start_state& s, time_point asked_at, time_point now);
time_point opening_wait_end(const start_state& s, time_point asked_at);

// From the start of a process to its lease: the voters elect a leader within two election times, and a
// lease's time covers what starts one after the other.
duration usual_start_time(duration election, duration lease);

} // namespace larchpin
