#include "daemon/start_phases.hpp"

#include "io/log.hpp"

namespace larchpin {
namespace {

std::int64_t to_ms(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace

void start_phases::reached(const std::string& phase, time_point now) {
    if (!told_.insert(phase).second) {
        return;
    }
    log_event(severity::info, "start_phase",
              {{"phase", phase},
               {"since_start_ms", to_ms(now - started_)},
               {"since_last_phase_ms", to_ms(now - last_at_)}});
    last_at_ = now;
}

} // namespace larchpin
