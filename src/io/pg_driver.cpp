#include "io/pg_driver.hpp"

#include "io/backend_sql.hpp"
#include "io/log.hpp"
#include "io/pg_connection.hpp"

#include <charconv>
#include <fstream>

namespace larchpin {
namespace {

constexpr const char* default_probe_user = "larchpin";

std::string read_password(const std::string& file) {
    std::string password;
    if (!file.empty()) {
        std::ifstream stream(file);
        std::getline(stream, password);
    }
    return password;
}

backend_target make_target(const settings& config, const server_record& server, const std::string& user) {
    backend_target target;
    target.host = server.host;
    target.port = server.port;
    target.database = server.group.value;
    target.user = config.backend_user.empty() ? user : config.backend_user;
    target.password = read_password(config.backend_password_file);
    return target;
}

template <typename number> bool take(std::string_view& text, number& value) {
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{}) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return true;
}

// The connection keeps itself alive until it has answered.
void run_promotion(const std::shared_ptr<backend_connection>& connection, std::uint64_t timeline,
                   const std::function<void(promotion_answer)>& done) {
    connection->connect([connection, timeline, done](connect_result result) {
        if (result != connect_result::connected) {
            done(promotion_answer::refused);
            return;
        }
        backend_request request;
        request.text = std::string(promote_sql) + std::to_string(timeline);
        backend_sink sink;
        sink.on_done = [connection, done](const backend_outcome& outcome) {
            const bool accepted = outcome.answered && !outcome.failed;
            done(accepted ? promotion_answer::accepted : promotion_answer::unknown);
        };
        connection->run(request, sink);
    });
}

// A server that has started again answers at the same address, under the same name, and may hold nothing.
// Until control has registered that start nothing is asked of it, so a connection is used only where it leads
// to the start that the record names. One statement a connection (a round trip; opening takes several).
void check_start(const std::shared_ptr<backend_connection>& connection, const server_record& server,
                 const connect_callback& done) {
    backend_request request;
    request.text = start_sql;
    backend_sink sink;
    sink.keep_first_row = true;
    sink.on_done = [connection, server, done](const backend_outcome& outcome) {
        if (outcome.answered && !outcome.failed &&
            outcome.first_value == std::to_string(server.start_time_ms)) {
            done(connect_result::connected);
            return;
        }
        log_event(
            severity::warning, "server_of_another_start",
            {{"server", server.id.value}, {"started", server.start_time_ms}, {"found", outcome.first_value}});
        connection->close();
        done(connect_result::failed);
    };
    connection->run(request, sink);
}

std::shared_ptr<backend_connection> make_checked_connection(boost::asio::io_context& io,
                                                            const settings& config,
                                                            const server_record& server,
                                                            const std::string& user) {
    auto connection = make_pg_connection(io, make_target(config, server, user));
    if (server.start_time_ms == 0) {
        return connection;
    }
    connection->connect = [open = connection->connect, weak = std::weak_ptr(connection),
                           server](const connect_callback& done) {
        open([weak, server, done](connect_result result) {
            const auto self = weak.lock();
            if (result != connect_result::connected || !self) {
                done(result);
                return;
            }
            check_start(self, server, done);
        });
    };
    return connection;
}

} // namespace

std::optional<probe_result> parse_probe_row(const backend_outcome& outcome) {
    std::string_view text = outcome.first_value;
    if (!outcome.answered || outcome.failed || text.size() < 4 || text[1] != '\t') {
        return std::nullopt;
    }
    probe_result result;
    result.is_primary = text[0] == 'f';
    text.remove_prefix(2);
    if (!take(text, result.timeline) || text.empty() || text.front() != '\t') {
        return std::nullopt;
    }
    text.remove_prefix(1);
    return take(text, result.position) && text.empty() ? std::optional{result} : std::nullopt;
}

backend_driver make_pg_driver(boost::asio::io_context& io, const settings& config) {
    backend_driver d;
    d.make_connection = [&io, &config](const server_record& server, const service_id& service,
                                       const workspace_id&) {
        return make_checked_connection(io, config, server, service.value);
    };
    d.make_probe_connection = [&io, &config](const server_record& server) {
        return make_checked_connection(io, config, server, default_probe_user);
    };
    d.role_probe.text = probe_sql;
    d.position_probe.text = probe_sql;
    d.read_role = parse_probe_row;
    d.read_position = [](const backend_outcome& outcome) -> std::optional<log_mark> {
        const auto row = parse_probe_row(outcome);
        return row ? std::optional{log_mark{.timeline = row->timeline, .position = row->position}}
                   : std::nullopt;
    };
    d.promote = [make = d.make_probe_connection](const promotion_order& order,
                                                 const std::function<void(promotion_answer)>& done) {
        run_promotion(make(order.server), order.timeline, done);
    };
    return d;
}

} // namespace larchpin
