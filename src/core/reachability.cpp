#include "core/reachability.hpp"

namespace larchpin {

void note_asked(reachability& r, time_point now) {
    if (r.asked_at == time_point{}) {
        r.asked_at = now;
    }
}

void note_answered(reachability& r) {
    r.asked_at = {};
}

bool is_unreachable(const reachability& r, time_point now) {
    return r.asked_at != time_point{} && now - r.asked_at > reach_patience;
}

bool take_probe(reachability& r, time_point now) {
    if (!is_unreachable(r, now) || r.probing || now < r.next_probe) {
        return false;
    }
    r.next_probe = now + reach_probe_interval;
    r.probing = true;
    return true;
}

} // namespace larchpin
