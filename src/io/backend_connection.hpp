// One connection to a backend server, over libpq in non-blocking, single-row mode.
//
// Results come as ready-made messages of the callers' protocol, row by row, so a large answer is never held
// whole; pause() stops reading while the caller cannot take more.
//
// Usage
//   backend_connection c(io, id, target);
//   c.connect([](backend_outcome o) { ... });
//   c.run(request, sink);       // one at a time; sink.on_done is called once, last
//
// A connection whose answer is unfinished cannot be used again: close it.
#pragma once

#include "core/types.hpp"

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

enum class request_shape : std::uint8_t {
    simple,   // text only; may hold several statements
    extended, // text with parameters
    describe, // parse and describe only
};

struct backend_request {
    request_shape shape = request_shape::simple;
    std::string text;
    std::vector<std::uint32_t> types;
    std::vector<std::optional<std::string>> values;
    std::vector<int> formats;
    int result_format = 0;
};

// How a request ended on the connection.
struct backend_outcome {
    bool answered = false;     // the whole answer came; false: the connection broke
    bool failed = false;       // the server answered with an error
    std::string sqlstate;      // of the first error
    char transaction = 'I';    // I idle, T in a transaction, E in a failed one
    std::string first_value;   // first row's columns, tab between; only where keep_first_row was set
    std::string error_message; // message bytes of the first error, for the caller
};

struct backend_sink {
    std::function<void(std::string_view)> on_bytes; // messages for the caller; may be empty
    std::function<void(const backend_outcome&)> on_done;
    bool keep_first_row = false;
    bool hold_errors = false; // errors go to the outcome only, not to on_bytes
};

class backend_connection : public std::enable_shared_from_this<backend_connection> {
public:
    backend_connection(boost::asio::io_context& io, backend_target target);
    ~backend_connection();
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;
    backend_connection(backend_connection&&) = delete;
    backend_connection& operator=(backend_connection&&) = delete;

    void connect(std::function<void(bool)> done);
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

    // Session settings in effect on this connection, as the pool's user wants them (see client_session).
    std::string applied_settings;

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
    std::function<void(bool)> on_connect_;
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

} // namespace larchpin
