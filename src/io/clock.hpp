// The one place that reads the monotonic clock; the core gets time as an argument.
#pragma once

#include "core/types.hpp"

namespace larchpin {

inline time_point now() {
    return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace larchpin
