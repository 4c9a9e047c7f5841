#include "core/running_limit.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr int smoothing = 8; // a new time counts one eighth
// The least usual time forgets this part of the difference with each answer, so that a server that has become
// slow by nature (other hardware, colder caches) is not taken for a crowded one for longer than some 500
// answers.
constexpr int forgetting = 256;
// Times that an answer takes what it does at an idle server: one statement waits before each that runs.
constexpr double crowded_stretch = 2.0;
// Below this another statement at once is tried.
constexpr double idle_stretch = 1.6;
// Between two steps; answers of statements that were sent before a step say nothing of it.
constexpr duration least_pause = std::chrono::milliseconds{40};

void note_time(answer_times& t, duration took) {
    t.usual = t.usual.count() == 0 ? took : t.usual + (took - t.usual) / smoothing;
    if (t.least.count() == 0 || t.usual < t.least) {
        t.least = t.usual;
    } else {
        t.least += (t.usual - t.least) / forgetting;
    }
}

double stretch_of(const answer_times& t, duration took) {
    return t.least.count() == 0 ? 1.0
                                : static_cast<double>(took.count()) / static_cast<double>(t.least.count());
}

} // namespace

void note_crowded(running_limit& l, unsigned running, time_point now) {
    if (l.most > 0 && now - l.changed_at < std::max(least_pause, l.usual_answer)) {
        return; // of the same crowd
    }
    const unsigned from = l.most > 0 ? std::min(l.most, running) : running;
    l.most = std::max(1U, from / 2);
    l.changed_at = now;
}

void note_statement_answered(running_limit& l, const answered_statement& a, time_point now) {
    answer_times& times = l.times.at(a.klass);
    note_time(times, a.took);
    l.usual_answer =
        l.usual_answer.count() == 0 ? a.took : l.usual_answer + (a.took - l.usual_answer) / smoothing;
    l.stretch += (stretch_of(times, a.took) - l.stretch) / smoothing;
    if (now - l.changed_at < std::max(least_pause, l.usual_answer)) {
        return;
    }
    if (l.stretch >= crowded_stretch && (l.most > 1 || (l.most == 0 && a.running > 1))) {
        l.most = (l.most == 0 ? a.running : std::min(l.most, std::max(a.running, 2U))) - 1;
        l.changed_at = now;
    } else if (l.most > 0 && l.stretch < idle_stretch) {
        ++l.most;
        l.changed_at = now;
        if (l.most >= a.share) {
            l.most = 0;
        }
    }
}

bool may_send(const running_limit& l, unsigned running) {
    return l.most == 0 || running < l.most;
}

} // namespace larchpin
