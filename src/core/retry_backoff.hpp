// Pauses between attempts of one kind that fail in a row: doubled with each, and partly random, so that
// instances that failed together do not try again together.
#pragma once

#include "core/types.hpp"

#include <random>

namespace larchpin {

struct retry_backoff {
    duration min_pause{};
    duration max_pause{};
    unsigned failures = 0; // in a row; capped
    auto operator<=>(const retry_backoff&) const = default;
};

// Records a failure and returns the pause before the next attempt: min_pause after the first failure, at most
// max_pause, and up to half as much again at random.
duration record_failure(retry_backoff& b, std::mt19937_64& random);

void record_success(retry_backoff& b);

} // namespace larchpin
