#include "io/workers.hpp"

#include <oneapi/tbb/concurrent_queue.h>
#include <oneapi/tbb/task_arena.h>

#include <thread>

namespace larchpin {
namespace {

constexpr int blocking_workers = 4;

oneapi::tbb::task_arena& blocking_arena() {
    static oneapi::tbb::task_arena one(blocking_workers, 0);
    return one;
}

// A thread of its own. An arena of its own was not enough: with three workers of the other one blocked,
// oneTBB left a task of this one lying although a fourth thread was idle (seen in the soak, seed 140).
class log_worker {
public:
    log_worker()
        : thread_([this] {
              std::function<void()> work;
              for (work_.pop(work); work; work_.pop(work)) {
                  work();
              }
          }) {}
    ~log_worker() { work_.push({}); } // ends the thread once everything before is done
    log_worker(const log_worker&) = delete;
    log_worker& operator=(const log_worker&) = delete;
    log_worker(log_worker&&) = delete;
    log_worker& operator=(log_worker&&) = delete;

    void push(std::function<void()> work) { work_.push(std::move(work)); }

private:
    oneapi::tbb::concurrent_bounded_queue<std::function<void()>> work_;
    std::jthread thread_; // last: it uses the queue, and is joined before that goes
};

} // namespace

void run_on_worker(std::function<void()> work) {
    blocking_arena().enqueue(std::move(work));
}

void run_on_log_worker(std::function<void()> work) {
    static log_worker one;
    one.push(std::move(work));
}

} // namespace larchpin
