// Intervals of the messages between control and the instances. They grow with the number of instances, so
// that a leader uses the same share of a processor for thirty or three hundred instances. Up to a few dozen
// instances there is no pacing.
//
// Without pacing a leader under slightly higher load answers after the instances have timed out; all of them
// retry over new connections, and the late answers are discarded.
#pragma once

#include "core/cluster_state.hpp"

#include <cstddef>

namespace larchpin {

// Returns the interval between two renewals of one instance: a fifth of the lease, and up to two fifths if
// there are many instances, so that one answer may be lost.
duration renewal_interval(duration lease, std::size_t instance_count);

// Return the minimum interval between two answers to all waiting long polls. When all processes start, there
// are hundreds of revisions, and a separate notification of each costs an answer, a request and often a
// renewal per instance. Urgent notifications have a shorter interval.
duration notification_interval(std::size_t instance_count);
duration urgent_notification_interval(std::size_t instance_count);

// Returns the time that an instance that found no leader waits before it asks the next control instance; at
// least `min_backoff`, which is enough for few instances.
duration leader_search_backoff(duration min_backoff, std::size_t instance_count);

// Returns whether instances must be notified of the command at once, because other processes wait for their
// confirmation or requests fail without it: tables, primaries, servers that leave or have restarted. A
// notification of a new instance or server may be delayed. `before` is the state before the command is
// applied.
bool is_urgent(const command& c, const cluster_state& before);

} // namespace larchpin
