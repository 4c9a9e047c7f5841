// Work that would hold up the event loop runs in oneTBB arenas beside it. The log has a worker of its own:
// what waits for a peer may wait for long, and an instance whose log cannot be written can neither lead nor
// vote.
//
// Usage
//   run_on_worker([] { ...; });                    // may block on a peer; must not touch the loop's objects
//   run_on_log_worker([] { ...; });                // writes and syncs the log, nothing else
//   asio::post(io, ...);                           // from inside, to hand a result back
#pragma once

#include <functional>

namespace larchpin {

// A few at once; the rest waits, for as long as those before it block.
void run_on_worker(std::function<void()> work);

// One at a time, never behind the work of run_on_worker().
void run_on_log_worker(std::function<void()> work);

} // namespace larchpin
