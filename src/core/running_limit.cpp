#include "core/running_limit.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr int smoothing = 8; // a new time counts one eighth
// The least usual time forgets this part of the difference with each answer, so that a server that has become
// slow by nature (other hardware, colder caches) is not taken for a crowded one for longer than some 1000
// answers, ten seconds of a busy server's.
constexpr int forgetting = 1024;
// Times that an answer takes what it does at an idle server: one statement waits before each that runs.
constexpr double crowded_stretch = 2.0;
// Refusals that come within an answer's time (4 to 150 ms) tell of the same crowd.
constexpr duration cut_pause = std::chrono::milliseconds{150};
constexpr duration raise_pause = std::chrono::milliseconds{250};
// While the server is crowded: often enough to find out that the crowd is others'.
constexpr duration crowded_raise_pause = std::chrono::seconds{2};

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
    if (l.most > 0 && now - l.cut_at < cut_pause) {
        return;
    }
    const unsigned from = l.most > 0 ? std::min(l.most, running) : running;
    l.most = std::max(1U, from / 2);
    l.cut_at = now;
    l.raised_at = now;
}

void note_statement_answered(running_limit& l, const answered_statement& a, time_point now) {
    answer_times& times = l.times.at(a.klass);
    note_time(times, a.took);
    l.usual_answer =
        l.usual_answer.count() == 0 ? a.took : l.usual_answer + (a.took - l.usual_answer) / smoothing;
    l.stretch += (stretch_of(times, a.took) - l.stretch) / smoothing;
    const duration pause = l.stretch >= crowded_stretch ? crowded_raise_pause : raise_pause;
    if (l.most == 0 || now - l.raised_at < pause) {
        return;
    }
    ++l.most;
    l.raised_at = now;
    if (l.most >= a.share) {
        l.most = 0;
    }
}

bool may_send(const running_limit& l, unsigned running) {
    return l.most == 0 || running < l.most;
}

unsigned free_places(const running_limit& l, const places_taken& use) {
    const auto left = [](unsigned of, unsigned taken) { return of - std::min(of, taken); };
    const unsigned by_refusals = l.most == 0 ? no_limit : left(l.most, use.running);
    const unsigned by_slots =
        l.permits == 0 ? no_limit : left(l.permits, use.running + use.opening + l.elsewhere);
    return std::min(by_refusals, by_slots);
}

unsigned places(const running_limit& l) {
    const unsigned own = l.permits - std::min(l.permits, l.elsewhere);
    const unsigned by_slots = l.permits == 0 ? 0 : std::max(1U, own);
    return l.most == 0 || by_slots == 0 ? std::max(l.most, by_slots) : std::min(l.most, by_slots);
}

} // namespace larchpin
