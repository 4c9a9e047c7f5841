// Work that would hold up the event loop (syncing the log, cancelling over a connection of its own) runs in
// one oneTBB arena beside it.
//
// Usage
//   run_on_worker([] { ...; });                    // anything; must not touch the loop's objects
//   asio::post(io, ...);                           // from inside, to hand a result back
#pragma once

#include <functional>

namespace larchpin {

void run_on_worker(std::function<void()> work);

} // namespace larchpin
