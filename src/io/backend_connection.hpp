// One connection to a backend server, whatever protocol it speaks.
//
// A handle of callables, made by a driver (see backend_driver.hpp); what is behind it lives as long as the
// handle. Results come as bytes that are ready for the caller, piece by piece, so a large answer is never
// held whole; pause() stops reading while the caller cannot take more.
//
// Usage
//   c->connect([](connect_result r) { ... });
//   c->run(request, sink);       // one at a time; sink.on_done is called once, last
//
// A connection whose answer is unfinished cannot be used again: close it.
#pragma once

#include "core/result_codes.hpp"
#include "core/session_context.hpp"
#include "core/types.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace larchpin {

// A position together with the database's own count of promotions.
enum class request_shape : std::uint8_t {
    simple,   // text only; may hold several statements
    extended, // text with parameters
    describe, // parse and describe only
};

struct backend_request {
    std::string id; // the caller's own id of it; empty: none
    request_shape shape = request_shape::simple;
    std::string text;
    std::vector<std::uint32_t> types;
    std::vector<std::optional<std::string>> values;
    std::vector<int> formats;
    int result_format = 0;
    // Only for servers that take them (see backend_driver)
    std::vector<context_step> steps;                     // to be carried out before it, in the same write
    std::map<std::string, std::string> session_values;   // what the steps bring into effect
    std::optional<prepared_statement> session_statement; // and what they prepare
    std::optional<log_mark> floor; // the server refuses the request if its log has not come so far
};

// A server's own word that it has not run a request, and why.
enum class server_refusal : std::uint8_t {
    none,
    read_only,    // it is no primary
    behind,       // its log has not come to the floor
    busy,         // its queue is full
    no_statement, // it knows no such prepared statement
};

// How a request ended on the connection.
struct backend_outcome {
    bool answered = false; // the whole answer came; false: the connection broke
    bool failed = false;   // the server answered with an error
    server_refusal refusal = server_refusal::none;
    bool steps_failed = false;        // one of the steps before the request was refused
    std::optional<log_mark> position; // the server's after the answer; where answers carry it
    std::string error_code;           // of the first error, as the server names it
    char transaction = 'I';           // I idle, T in a transaction, E in a failed one
    std::string first_value;          // first row's columns, tab between; only where keep_first_row was set
    std::string error_message;        // bytes of the first error, for the caller
    // A connection of another instance could not be had: the request did not run. ok: it could.
    result_code refused = result_code::ok;
    duration retry_after{0};
    std::string lender;         // address of the instance whose connection it was; empty: our own
    bool lender_silent = false; // not answered, and all that is known is that the lender was not heard
};

struct backend_sink {
    std::function<void(std::string_view)> on_bytes; // for the caller; may be empty
    std::function<void(const backend_outcome&)> on_done;
    bool keep_first_row = false;
    bool hold_errors = false; // errors go to the outcome only, not to on_bytes
};

enum class connect_result : std::uint8_t {
    connected,
    turned_away, // the server answers, but has no room for another connection
    failed,      // nobody answers, or not the server that was meant
};
using connect_callback = std::function<void(connect_result)>;

struct backend_connection {
    std::function<void(connect_callback)> connect;
    std::function<void(const backend_request&, backend_sink)> run;
    // Asks the server to end the running statement; its answer tells whether that worked.
    std::function<void()> cancel_running;
    std::function<void()> pause;
    std::function<void()> resume;
    // Ends the connection; a running request is reported as not answered.
    std::function<void()> close;
    std::function<bool()> is_open;
    std::function<bool()> is_running;

    std::string applied_settings;      // of the pool's last user, as text (PostgreSQL sessions)
    connection_context held;           // of the pool's last users, where steps are taken
    std::optional<log_mark> opened_at; // the server's when it opened; where its greeting carries it
    bool is_lent = false; // by another instance, which knows what the connection holds and plans the steps
};

// Plans the steps that bring a request's session values into effect on this connection, and notes them as
// held.
void prepare_context(backend_connection& connection, backend_request& request);

// Takes up what an answer says of the context: after a failed step nobody knows what the connection holds.
void note_context(backend_connection& connection, const backend_outcome& outcome);

} // namespace larchpin
