#include "core/running_limit.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// Refusals that come within an answer's time (4 to 150 ms measured) tell of the same crowd.
constexpr duration cut_pause = std::chrono::milliseconds{150};
constexpr duration raise_pause = std::chrono::milliseconds{250};
// While answers are slow: often enough to find out that a server is slow by nature, and not by its crowd.
constexpr duration slow_raise_pause = std::chrono::seconds{2};
// Twice a usual statement (18 to 30 ms): a few wait before it at the server.
constexpr duration slow_answer = std::chrono::milliseconds{60};
constexpr int smoothing = 8; // a new time counts one eighth

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

void note_statement_answered(running_limit& l, duration took, unsigned share, time_point now) {
    l.usual_answer += (took - l.usual_answer) / smoothing;
    const duration pause = l.usual_answer > slow_answer ? slow_raise_pause : raise_pause;
    if (l.most == 0 || now - l.raised_at < pause) {
        return;
    }
    ++l.most;
    l.raised_at = now;
    if (l.most >= share) {
        l.most = 0;
    }
}

bool may_send(const running_limit& l, unsigned running) {
    return l.most == 0 || running < l.most;
}

} // namespace larchpin
