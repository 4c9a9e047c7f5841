// Selection of the ordering home: the home instance that all statements for a backend server pass through, so
// that one instance queues and schedules them.
//
// A backend server runs few statements concurrently and serves them in the order of arrival. The ordering
// home queues them so that urgent statements are sent first. It is the first instance of a list that every
// instance computes identically. The other instances of the list are standbys: requests go to the next one if
// the first does not answer or control has declared it lost.
#pragma once

#include "core/cluster_state.hpp"

#include <vector>

namespace larchpin {

// Returns the instances that accept clients, in the order of preference as the server's ordering home.
// Instances of the server's failure domain come first, so that no statement crosses a domain boundary twice.
// The first places of all servers are spread evenly over the instances. Empty if every instance holds its own
// connections (see home_instances()) or the server is unknown.
std::vector<instance_id> order_homes(const cluster_state& s, const server_id& server, unsigned connections);

} // namespace larchpin
