#include "core/opening.hpp"

#include <algorithm>

namespace larchpin {

opening_verdict judge_opening(const start_state& s, time_point asked_at, time_point now) {
    if (s.takes_sessions) {
        return opening_verdict::taken;
    }
    const bool may_wait = !s.had_lease && s.waiting < max_waiting_openings;
    return may_wait && now < opening_wait_end(s, asked_at) ? opening_verdict::waits
                                                           : opening_verdict::refused;
}

time_point opening_wait_end(const start_state& s, time_point asked_at) {
    return std::min(asked_at + opening_patience, s.started_at + s.usual_start);
}

duration usual_start_time(duration election, duration lease) {
    return 2 * election + lease;
}

} // namespace larchpin
