// Ports for the listeners of a test.
#pragma once

namespace larchpin::testing {

// First port from which the system takes ports for outgoing connections (ip_local_port_range).
unsigned first_ephemeral_port();

// A port of loopback that nobody listens on, below the ephemeral ones: a listener that starts later (a
// daemon's second start, say) would find a port from the ephemeral range taken now and then by an outgoing
// connection of another process of the test. Never the same one twice within a process. 0 where none is free.
unsigned free_port();

} // namespace larchpin::testing
