// One caller's connection that speaks PostgreSQL: reads its messages, hands each request to its path
// (request_path.hpp), and answers it exactly once.
//
// Index
//   [lifetime]  [messages]  [state]
#pragma once

#include "core/session.hpp"
#include "core/statement.hpp"
#include "daemon/request_path.hpp"
#include "io/caller_stream.hpp"
#include "io/pg_frame.hpp"

#include <array>
#include <memory>

namespace larchpin {

class entry;
struct session_handle;

class client_session : public std::enable_shared_from_this<client_session> {
public:
    client_session(entry& owner, session_number number, std::uint32_t secret,
                   boost::asio::ip::tcp::socket socket);

    // [lifetime]
    void start();
    void stop_when_idle(); // ends now if no request or transaction is open, else after it
    void end_if_idle();    // ends now if no request or transaction is open
    void close();          // ends now
    void poke();           // news that a waiting request may go on with
    void cancel();         // the caller's cancel request

private:
    // [messages]
    void read_some();
    void process_input();
    void handle_startup(const pg_message& m);
    void handle(const pg_message& m);
    void handle_simple(const std::string& text);
    void handle_parse(const pg_message& m);
    void handle_bind(const pg_message& m);
    void handle_describe(const pg_message& m);
    void handle_execute(const pg_message& m);
    void handle_close(const pg_message& m);
    void handle_sync();
    void greet(const startup_request& request);
    void follow_route(session_state& state) const;
    [[nodiscard]] bool is_busy() const { return securing_ || path_->is_active(); }
    bool apply_startup_options(const startup_request& request);
    enum class local_answer : std::uint8_t { none, done, refused };
    local_answer answer_locally(statement_kind kind, const std::string& text);
    bool change_setting(const std::string& text);
    void send();
    void fail_session(const caller_error& error);
    void protocol_error(const std::string& what);

    // [requests]
    void begin_request(statement_kind kind, const backend_request& request, bool extended,
                       bool want_description);
    std::size_t split_answer(std::string& bytes, bool holds_acknowledgement, bool held);
    void on_finished(const request_result& result);
    void forward(std::string_view bytes);
    [[nodiscard]] path_front make_front();
    [[nodiscard]] char transaction_status() const;
    void put_token();

    // [state]
    static constexpr std::size_t read_buffer_size = 4096;
    entry& owner_;
    session_number number_;
    std::uint32_t secret_;
    caller_stream stream_;
    std::shared_ptr<request_path> path_;
    pg_input in_;
    std::array<char, read_buffer_size> read_buffer_{};
    std::string out_;
    std::string writing_;
    bool write_active_ = false;
    bool closed_ = false;
    bool closing_ = false; // ends once everything is written
    bool started_ = false;
    bool reading_ = false;
    bool stopping_ = false;
    bool securing_ = false;                       // no messages until the handshake is done
    std::map<std::string, std::string> settings_; // the caller's "set x = y"
    std::map<std::string, parse_request> statements_;
    std::map<std::string, bind_request> portals_;
    bool describe_next_ = false;
    bool skip_to_sync_ = false;
    bool failed_transaction_ = false; // lost inside; the caller has yet to end it
    // of the request that is being carried out
    bool extended_ = false;
    bool want_description_ = true;
    bool forwarded_ = false;
    request_shape shape_ = request_shape::simple;
    statement_kind kind_ = statement_kind::empty;
    std::string token_sent_;
};

// The entry's session maker for callers that speak PostgreSQL.
session_handle make_pg_session(entry& owner, session_number number, std::uint32_t secret,
                               boost::asio::ip::tcp::socket socket);

} // namespace larchpin
