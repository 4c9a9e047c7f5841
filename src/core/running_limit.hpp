// How many statements one daemon has running at once at one backend server that is crowded.
//
// A server serves statements in the order of arrival, whatever their class, and in the end refuses them. So
// where answers take much longer than they do at an idle server, or one is refused, fewer are sent at once,
// and the rest waits here, where urgent ones go first and hopeless ones are refused early. How long a class
// of statements takes at an idle server is learned: the least that the smoothed time has been lately. The
// limit falls by one for each smoothed answer's time while answers take twice that and more, is halved with a
// refusal, grows by one while they do not, never falls below one, and ends once it exceeds what the daemon
// may use.
#pragma once

#include "core/types.hpp"

#include <array>

namespace larchpin {

// Classes of requests have statements of different length, so each is compared with itself.
struct answer_times {
    duration usual{0}; // smoothed; 0: none yet
    duration least{0}; // the least that `usual` has been, rising slowly
    auto operator<=>(const answer_times&) const = default;
};

constexpr std::size_t answer_time_classes = 3;

struct running_limit {
    unsigned most = 0; // statements at once; 0: no limit
    std::array<answer_times, answer_time_classes> times;
    duration usual_answer{0}; // smoothed over all classes; 0: none yet
    double stretch = 1.0;     // smoothed: an answer's time by the least usual one of its class
    time_point changed_at{};
    auto operator<=>(const running_limit&) const = default;
};

// The server refused a statement since it is crowded, while `running` of ours were there.
void note_crowded(running_limit& l, unsigned running, time_point now);

// A statement of this class (0 .. answer_time_classes - 1) was answered after this time, while `running` of
// ours were there. `share` is what the daemon may have open at the server.
struct answered_statement {
    duration took{0};
    std::size_t klass = 0;
    unsigned running = 0;
    unsigned share = 0;
};
void note_statement_answered(running_limit& l, const answered_statement& a, time_point now);

bool may_send(const running_limit& l, unsigned running);

} // namespace larchpin
