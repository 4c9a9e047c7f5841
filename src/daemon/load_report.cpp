#include "daemon/load_report.hpp"

#include "io/log.hpp"

namespace larchpin {
namespace {

constexpr duration tell_interval = std::chrono::seconds{5};

std::int64_t to_us(duration d) {
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

} // namespace

void load_report::note_asked(const std::string& path, std::uint64_t bytes) {
    path_load& load = by_path_[path];
    ++load.requests;
    load.bytes_in += bytes;
}

void load_report::note_answered(const std::string& path, std::uint64_t bytes) {
    by_path_[path].bytes_out += bytes;
}

void load_report::tell(const http2_server_counts& connections, time_point now) {
    if (now - told_at_ < tell_interval) {
        return;
    }
    for (const auto& [path, load] : by_path_) {
        log_event(severity::info, "peer_load",
                  {{"path", path},
                   {"over_us", to_us(now - told_at_)},
                   {"requests", load.requests},
                   {"bytes_in", load.bytes_in},
                   {"bytes_out", load.bytes_out}});
    }
    log_event(severity::info, "peer_connections",
              {{"over_us", to_us(now - told_at_)},
               {"open", static_cast<std::uint64_t>(connections.open)},
               {"accepted", connections.accepted - accepted_before_}});
    by_path_.clear();
    accepted_before_ = connections.accepted;
    told_at_ = now;
}

} // namespace larchpin
