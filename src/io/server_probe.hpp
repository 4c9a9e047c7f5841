// Asking a backend server for its role, timeline and position.
#pragma once

#include "core/cluster_state.hpp"
#include "io/backend_connection.hpp"
#include "io/settings.hpp"

#include <optional>

namespace larchpin {

struct probe_result {
    bool is_primary = false;
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const probe_result&) const = default;
};

// Reads the one row that probe_sql returns; nothing where there was no such row.
std::optional<probe_result> parse_probe_row(const backend_outcome& outcome);

// Where larchpin's own probes connect: the group is the database, backend.user the user.
backend_target make_probe_target(const settings& config, const server_record& server);

// Where a service's requests connect.
backend_target make_service_target(const settings& config, const server_record& server,
                                   const service_id& service);

} // namespace larchpin
