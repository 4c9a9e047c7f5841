// How many statements one daemon has running at once at one backend server, where that server said it was
// crowded.
//
// A server that queues statements itself serves them in the order of arrival, whatever their class, and in
// the end refuses them. So after a refusal fewer are sent at once, and the rest waits here, where urgent ones
// go first and hopeless ones are refused early. The limit is halved with a refusal and grows by one at a
// time, slowly while answers are slow; it never falls below one, and ends once it exceeds what the daemon may
// use.
#pragma once

#include "core/types.hpp"

namespace larchpin {

struct running_limit {
    unsigned most = 0;        // statements at once; 0: no limit
    duration usual_answer{0}; // smoothed; 0: none yet
    time_point cut_at{};
    time_point raised_at{};
    auto operator<=>(const running_limit&) const = default;
};

// The server refused a statement since it is crowded, while `running` of ours were there.
void note_crowded(running_limit& l, unsigned running, time_point now);

// A statement was answered after this time. `share` is what the daemon may have open at the server.
void note_statement_answered(running_limit& l, duration took, unsigned share, time_point now);

bool may_send(const running_limit& l, unsigned running);

} // namespace larchpin
