// How often control and the instances speak, by their number: a leader has the same part of a processor
// whether thirty instances ask it or three hundred. Up to a few dozen nothing is spread.
//
// Without it a leader that has a little more to do answers later than the instances wait; all of them ask
// again, over new connections, and what it answers nobody reads any more.
#pragma once

#include "core/cluster_state.hpp"

#include <cstddef>

namespace larchpin {

// The time from one renewal of an instance to its next one, where `instances` renew a lease of this length:
// a fifth of it, and where there are many up to two fifths, so that one answer may be lost.
duration renewal_interval(duration lease, std::size_t instance_count);

// The least time between two answers to all who wait for news: a start of all brings hundreds of revisions,
// and each told by itself costs an answer, a question and often a renewal an instance. Urgent ones wait less.
duration notification_interval(std::size_t instance_count);
duration urgent_notification_interval(std::size_t instance_count);

// The time after which an instance that found no leader asks the next one; at least what is usual where few
// ask.
duration leader_search_backoff(duration min_backoff, std::size_t instance_count);

// Others wait until instances have confirmed it, or something goes wrong without it: tables, primaries,
// servers that leave or have started again. That an instance or a server is new may be known a moment later.
// `before` is the state that the command is applied to.
bool is_urgent(const command& c, const cluster_state& before);

} // namespace larchpin
