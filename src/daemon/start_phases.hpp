// The phases of a start as log events: how long after the start of this process each was reached. A slow
// start after a loss of power is traced with them, instance by instance.
//
// Usage
//   phases.reached("lease");   // a line "start_phase" the first time, nothing later
#pragma once

#include "core/types.hpp"

#include <set>
#include <string>

namespace larchpin {

class start_phases {
public:
    explicit start_phases(time_point started) : started_(started), last_at_(started) {}

    // `phase` is one of a handful of names; each is told once.
    void reached(const std::string& phase, time_point now);

private:
    time_point started_;
    time_point last_at_; // when the phase before was reached
    std::set<std::string> told_;
};

} // namespace larchpin
