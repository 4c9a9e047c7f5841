// What other processes ask of this one: requests and bytes of bodies by path, told in the log.
//
// Usage
//   report.note_asked("/v1/renew", request_bytes);
//   report.note_answered("/v1/renew", reply_bytes);
//   report.tell(server.counts(), now());   // writes a line "peer_load" per path each few seconds, and a line
//                                          // "peer_connections"
//
// An operator reads from it which talk fills a control instance.
#pragma once

#include "core/types.hpp"
#include "io/http2.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace larchpin {

struct path_load {
    std::uint64_t requests = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

class load_report {
public:
    void note_asked(const std::string& path, std::uint64_t bytes);
    void note_answered(const std::string& path, std::uint64_t bytes);
    void tell(const http2_server_counts& connections, time_point now);

private:
    std::map<std::string, path_load> by_path_; // a few paths
    std::uint64_t accepted_before_ = 0;        // connections, as of the last report
    time_point told_at_{};
};

} // namespace larchpin
