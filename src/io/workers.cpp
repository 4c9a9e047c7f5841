#include "io/workers.hpp"

#include <oneapi/tbb/task_arena.h>

namespace larchpin {
namespace {

constexpr int worker_count = 4;

oneapi::tbb::task_arena& arena() {
    static oneapi::tbb::task_arena one(worker_count, 0);
    return one;
}

} // namespace

void run_on_worker(std::function<void()> work) {
    arena().enqueue(std::move(work));
}

} // namespace larchpin
