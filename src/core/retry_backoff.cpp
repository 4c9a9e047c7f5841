#include "core/retry_backoff.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr unsigned max_doublings = 16; // keeps the shift within its type

} // namespace

duration record_failure(retry_backoff& b, std::mt19937_64& random) {
    const duration pause = std::min(b.min_pause * (1U << b.failures), b.max_pause);
    b.failures = std::min(b.failures + 1, max_doublings);
    std::uniform_int_distribution<duration::rep> extra(0, pause.count() / 2);
    return pause + duration{extra(random)};
}

void record_success(retry_backoff& b) {
    b.failures = 0;
}

} // namespace larchpin
