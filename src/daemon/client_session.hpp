// One caller's connection: reads its messages, carries each request through routing, a connection, and the
// proof of its outcome, and answers it exactly once.
//
// A request's way
//   routed      core/routing names a server, or the request waits for news (a replica catching up, a new
//               primary) until its deadline
//   queued      the pool hands out a connection, or refuses at once
//   running     settings, "begin" and the idempotency key where there is one, the statement, "commit", and
//               after a write the primary's position; what acknowledges a write is held back till the end
//   judged      the lease and the term must still be what they were when the write was sent; otherwise the
//               caller is told "unknown", never a success
//
// Outcomes on failure: not-run where the statement was not sent, or was sent inside a transaction whose
// commit was not sent, or only reads; unknown where an autocommitted write or a commit was sent and not
// answered.
//
// Index
//   [lifetime]  [messages]  [one request]  [state]
#pragma once

#include "core/session.hpp"
#include "core/statement.hpp"
#include "daemon/agent.hpp"
#include "daemon/pools.hpp"
#include "io/caller_stream.hpp"
#include "io/metrics.hpp"
#include "io/pg_frame.hpp"

#include <array>
#include <memory>
#include <random>

namespace larchpin {

class entry;

using session_number = std::uint32_t;

class client_session : public std::enable_shared_from_this<client_session> {
public:
    client_session(entry& owner, session_number number, std::uint32_t secret,
                   boost::asio::ip::tcp::socket socket);

    // [lifetime]
    void start();
    void stop_when_idle(); // ends now if no request or transaction is open, else after it
    void close();          // ends now
    void poke();           // news that a waiting request may go on with
    void cancel();         // the caller's cancel request
    [[nodiscard]] std::uint32_t secret() const { return secret_; }
    [[nodiscard]] bool is_waiting() const { return active_ && active_->step == request_step::routed; }
    [[nodiscard]] bool is_idle() const { return !active_ && !pinned_; }

private:
    enum class request_step : std::uint8_t {
        routed,
        queued,
        settings,
        begin,
        claim,
        statement,
        commit,
        position,
        safety,
    };

    struct active_request {
        backend_request request;
        statement_kind kind = statement_kind::write;
        bool extended = false;
        bool want_description = true;
        bool is_read = false;
        bool was_write = false; // sent to the primary as something that may write
        std::string idempotency_key;
        time_point started_at{};
        time_point deadline{};
        time_point used_from{}; // has held its connection since
        request_step step = request_step::routed;
        server_id server;
        bool on_primary = false;
        term_number term = 0;
        request_number waiting = 0;
        unsigned attempts = 0;
        bool forwarded = false; // the caller has got a part of the answer
        std::string held;       // the acknowledging rest of the answer
        log_position position = 0;
        result_code last_refusal = result_code::no_primary;
        std::uint64_t serial = 0;
    };

    // A connection that belongs to this session until its transaction ends.
    struct pinned_connection {
        share_key key;
        connection_number number = 0;
        std::shared_ptr<backend_connection> connection;
        server_id server;
        bool on_primary = false;
        term_number term = 0;
        time_point since{};
        char transaction = 'I'; // I none, T open, E open and failed

        [[nodiscard]] bool in_transaction() const { return transaction != 'I'; }
    };

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
    bool apply_startup_options(const startup_request& request);
    enum class local_answer : std::uint8_t { none, done, refused };
    local_answer answer_locally(statement_kind kind, const std::string& text);
    bool change_setting(const std::string& text);
    void send();
    void fail_session(const caller_error& error);
    void protocol_error(const std::string& what);

    // [one request]
    void begin_request(statement_kind kind, const backend_request& request, bool extended,
                       bool want_description);
    void route();
    void wait_for_news(time_point retry_at);
    void queue();
    void leave_queue();
    void abandon_if_replaced();
    void abandon_if_silent();
    void on_connection(const pool_answer& answer);
    void run_settings();
    void run_begin();
    void run_claim();
    void run_statement();
    void on_statement_done(const backend_outcome& outcome);
    void run_commit();
    void run_position();
    void wait_for_safety();
    void finish_success();
    void finish_with_server_error(const backend_outcome& outcome);
    void finish_with_error(result_code code, run_state run, duration retry_after = duration{0});
    void finish_common();
    void on_connection_lost();
    void on_deadline();
    void drop_connection();
    void release_if_done();
    bool may_retry();
    void run_plain(const std::string& text, request_step step,
                   const std::function<void(const backend_outcome&)>& next);
    void forward(std::string_view bytes);
    void arm_timer(time_point at);
    [[nodiscard]] run_state outcome_if_lost() const;
    [[nodiscard]] bool term_still_holds() const;
    [[nodiscard]] char transaction_status() const;
    [[nodiscard]] metric_key metric() const;
    void put_token();

    // [state]
    static constexpr std::size_t read_buffer_size = 4096;
    entry& owner_;
    session_number number_;
    std::uint32_t secret_;
    caller_stream stream_;
    boost::asio::steady_timer timer_;
    std::uint64_t timer_serial_ = 0;
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
    session_state state_;
    service_entry service_;
    std::map<std::string, std::string> settings_; // the caller's "set x = y"
    std::string settings_text_;                   // the same as statements
    std::map<std::string, parse_request> statements_;
    std::map<std::string, bind_request> portals_;
    bool describe_next_ = false;
    bool skip_to_sync_ = false;
    bool failed_transaction_ = false; // lost inside; the caller has yet to end it
    std::optional<pinned_connection> pinned_;
    std::optional<active_request> active_;
    std::string token_sent_;
    std::uint64_t next_serial_ = 1;
};

} // namespace larchpin
