#include "core/reachability.hpp"

namespace larchpin {

void record_request(reachability& r, time_point now) {
    if (r.unanswered_since == time_point{}) {
        r.unanswered_since = now;
    }
}

void record_answer(reachability& r) {
    r.unanswered_since = {};
}

bool is_unreachable(const reachability& r, time_point now) {
    return r.unanswered_since != time_point{} && now - r.unanswered_since > reachability_timeout;
}

bool begin_probe_if_due(reachability& r, time_point now) {
    if (!is_unreachable(r, now) || r.probing || now < r.next_probe) {
        return false;
    }
    r.next_probe = now + reachability_probe_interval;
    r.probing = true;
    return true;
}

} // namespace larchpin
