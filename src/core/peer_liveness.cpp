#include "core/peer_liveness.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr unsigned max_doublings = 3;
constexpr int silences_per_ping = 2; // a ping has half of the silence for its answer

} // namespace

duration silence_limit(const peer_liveness& l) {
    return l.min_silence * (1U << std::min(l.gone_in_a_row, max_doublings));
}

void record_late_request(peer_liveness& l, time_point sent_at, time_point heard_at) {
    if (heard_at >= sent_at) {
        return;
    }
    l.unheard_since = is_in_doubt(l) ? std::min(l.unheard_since, sent_at) : sent_at;
}

liveness_verdict check_liveness(peer_liveness& l, time_point heard_at, time_point now) {
    if (!is_in_doubt(l)) {
        return liveness_verdict::alive;
    }
    if (heard_at >= l.unheard_since) {
        record_new_connection(l);
        return liveness_verdict::alive;
    }
    if (l.pinged_at == time_point{}) {
        l.pinged_at = now;
        return liveness_verdict::ping;
    }
    const duration limit = silence_limit(l);
    const bool gone = now - l.unheard_since >= limit && now - l.pinged_at >= limit / silences_per_ping;
    return gone ? liveness_verdict::gone : liveness_verdict::alive;
}

bool is_in_doubt(const peer_liveness& l) {
    return l.unheard_since != time_point{};
}

void record_new_connection(peer_liveness& l) {
    l.unheard_since = {};
    l.pinged_at = {};
}

void record_gone(peer_liveness& l) {
    l.gone_in_a_row = std::min(l.gone_in_a_row + 1, max_doublings);
    record_new_connection(l);
}

void record_timely_answer(peer_liveness& l) {
    l.gone_in_a_row = 0;
}

} // namespace larchpin
