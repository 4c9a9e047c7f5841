// Through which instance the statements for a backend server go.
//
// A server that runs a few statements at once serves what it gets in the order of arrival. So that urgent
// work goes first and the rest waits here, one instance orders all statements for a server: the first of a
// list that everyone computes alike. The others of the list stand by: whoever finds the first one silent, or
// hears that control has lost it, goes to the next.
#pragma once

#include "core/cluster_state.hpp"

#include <vector>

namespace larchpin {

// The instances that take callers, in the order in which they are asked to order the server's statements:
// those of the server's own failure domain first, so that no statement crosses a border twice. The first
// places of all servers are spread evenly over the instances. Empty where every instance holds connections of
// its own (see home_instances()), and for an unknown server.
std::vector<instance_id> order_homes(const cluster_state& s, const server_id& server, unsigned connections);

} // namespace larchpin
