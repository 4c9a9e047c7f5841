// How one kind of backend server is spoken to: connections, probes, promotion.
//
// A plain struct of callables and texts. PostgreSQL's is made by make_pg_driver() (pg_driver.hpp).
#pragma once

#include "core/cluster_state.hpp"
#include "io/backend_connection.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace larchpin {

struct probe_result {
    bool is_primary = false;
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const probe_result&) const = default;
};

struct promotion_order {
    server_record server;
    std::uint64_t timeline = 0; // the server must still be on it
    std::uint64_t token = 0;    // fencing token, above that of every earlier order
    auto operator<=>(const promotion_order&) const = default;
};

enum class promotion_answer : std::uint8_t {
    accepted, // the server will lead, or leads already
    refused,  // it will not
    unknown,  // no answer: it may be carried out yet
};

struct backend_driver {
    std::function<std::shared_ptr<backend_connection>(const server_record&, const service_id&,
                                                      const workspace_id&)>
        make_connection; // for requests of this workspace, by the service's share
    std::function<std::shared_ptr<backend_connection>(const server_record&)> make_probe_connection;
    backend_request role_probe;     // asks for role, timeline and the newest position received
    backend_request position_probe; // costs the server next to nothing; may leave the role out
    // Nothing where the outcome is no answer to a probe.
    std::function<std::optional<probe_result>(const backend_outcome&)> read_role;
    std::function<std::optional<log_mark>(const backend_outcome&)> read_position;
    std::function<void(const promotion_order&, const std::function<void(promotion_answer)>&)> promote;
    bool position_probe_tells_role = true;
    // Answers carry positions, and servers refuse a request whose floor they have not reached. Then nobody
    // needs to know beforehand how far a replica has come.
    bool servers_enforce_floor = false;
    bool promotes_by_token = false; // an authority outside carries promotions out and compares tokens
};

} // namespace larchpin
