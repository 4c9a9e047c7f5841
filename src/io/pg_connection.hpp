// One connection to a PostgreSQL server, over libpq in non-blocking, single-row mode: what
// make_pg_connection() puts behind a backend_connection.
#pragma once

#include "io/backend_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct pg_conn;
struct pg_result;

namespace larchpin {

struct backend_target {
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string database;
    std::string user;
    std::string password; // empty: none
    duration connect_timeout = std::chrono::seconds{2};
};

class pg_connection : public std::enable_shared_from_this<pg_connection> {
public:
    pg_connection(boost::asio::io_context& io, backend_target target);
    ~pg_connection();
    pg_connection(const pg_connection&) = delete;
    pg_connection& operator=(const pg_connection&) = delete;
    pg_connection(pg_connection&&) = delete;
    pg_connection& operator=(pg_connection&&) = delete;

    void connect(connect_callback done);
    void run(const backend_request& request, backend_sink sink);

    // Sends a cancel request from a worker; the running statement's answer tells whether it worked.
    void cancel_running();

    void pause();
    void resume();
    // Ends the connection; a running request is reported as not answered.
    void close();

    [[nodiscard]] bool is_open() const { return connection_ != nullptr && !broken_; }
    [[nodiscard]] bool is_running() const { return running_; }
    [[nodiscard]] bool has_sent() const {
        return sent_;
    } // the running request left this process, or may have

private:
    void poll_connect();
    void wait_readable();
    void wait_writable();
    void on_readable();
    void flush();
    void drain_results();
    void take_result(pg_result* result);
    void finish(bool answered);
    void fail();

    boost::asio::io_context& io_;
    backend_target target_;
    pg_conn* connection_ = nullptr;
    std::optional<boost::asio::posix::stream_descriptor> socket_;
    boost::asio::steady_timer connect_timer_;
    connect_callback on_connect_;
    backend_sink sink_;
    backend_outcome outcome_;
    std::string bytes_;
    bool running_ = false;
    bool sent_ = false;
    bool broken_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool row_description_sent_ = false;
    bool has_first_row_ = false;
    request_shape shape_ = request_shape::simple;
    bool described_parse_ = false;
};

// Not connected yet.
std::shared_ptr<backend_connection> make_pg_connection(boost::asio::io_context& io,
                                                       const backend_target& target);

} // namespace larchpin
