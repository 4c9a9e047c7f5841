// How one session's requests are carried out, whatever protocol its caller speaks.
//
// A front (client_session for PostgreSQL) reads the caller's messages, hands each request over with begin(),
// and is told once how it ended. All that decides stands here and in core/.
//
// A request's way
//   limited     it is within its workspace's rate limit, or is refused; one transaction counts once
//   routed      core/routing names a server, or the request waits for news (a replica catching up, a new
//               primary) until its deadline
//   queued      the pool hands out a connection, or refuses at once
//   running     session settings, "begin" and the idempotency key where there is one, the statement,
//               "commit", and after a write the primary's position, where its answer does not carry it; what
//               acknowledges a write is held back till the end
//   storing     where replicas confirm commits, control instances store up to where commits have been
//               acknowledged
//   judged      the lease and the term must still be what they were when the write was sent; otherwise the
//               caller is told "unknown", never a success
//
// Outcomes on failure: not-run where the statement was not sent, or was sent inside a transaction whose
// commit was not sent, or only reads; unknown where an autocommitted write or a commit was sent and not
// answered.
//
// Index
//   [what a front gives]  [what a front gets]  [the path]
#pragma once

#include "core/session.hpp"
#include "core/statement.hpp"
#include "daemon/agent.hpp"
#include "daemon/pools.hpp"
#include "io/metrics.hpp"

#include <memory>

namespace larchpin {

class entry;
struct rate_verdict;

using session_number = std::uint32_t;

//-----------------------------------------------------------------------------
// [what a front gives]
//-----------------------------------------------------------------------------

struct caller_request {
    backend_request request;
    statement_kind kind = statement_kind::write;
    bool may_use_replica = false; // only reads, and is owed no more than the session's staleness
    bool surely_reads = false;    // the caller, or the protocol, vouches that it writes nothing
    bool looks_like_read = false; // a hint of the same: spares asking for the position after it
    bool one_statement = true;    // cannot hold a "commit" of its own
    std::string begin;            // text that opens a transaction before it; empty: none
    std::string idempotency_key;
    std::optional<prepared_statement> prepared; // must be prepared on the connection
    duration timeout{0};                        // from now on
    duration patience{0};      // longest wait before it is sent, for a server or a connection; 0: the timeout
    unsigned max_attempts = 3; // servers tried
};

//-----------------------------------------------------------------------------
// [what a front gets]
//-----------------------------------------------------------------------------

enum class request_end : std::uint8_t {
    success,      // `bytes` complete the answer
    server_error, // `bytes` are the server's error
    refused,      // `code`, `run` and `retry_after` say what is known
};

struct request_result {
    request_end end = request_end::refused;
    std::string bytes;
    std::string error_code; // the server's, for server_error
    result_code code = result_code::ok;
    run_state run = run_state::not_run;
    duration retry_after{0};
    bool transaction_lost = false;    // the transaction that was open is rolled back
    std::optional<log_mark> position; // the session's floor after it
};

struct path_front {
    // How many of these bytes may go to the caller before the request is known to have succeeded; it may
    // rewrite them. `held` tells that earlier ones were held back already.
    std::function<std::size_t(std::string& bytes, bool holds_acknowledgement, bool held)> split;
    std::function<void(std::string_view)> forward;
    std::function<void(const request_result&)> finished;
};

//-----------------------------------------------------------------------------
// [the path]
//-----------------------------------------------------------------------------

// How far a request has come.
enum class request_step : std::uint8_t {
    limited,
    routed,
    queued,
    settings,
    begin,
    claim,
    statement,
    commit,
    position,
    safety,
    storing,
};

class request_path : public std::enable_shared_from_this<request_path> {
public:
    request_path(entry& owner, session_number number, path_front front);

    void begin(caller_request what); // one at a time
    void poke();                     // news that a waiting request may go on with
    void cancel();                   // the caller's cancel request
    void close();                    // the session ends now; nothing is reported any more
    void pause();                    // the caller takes no more bytes for now
    void resume();
    void drop_transaction(); // rolls back an open one that nobody works in

    [[nodiscard]] bool is_active() const { return active_.has_value(); }
    [[nodiscard]] bool in_transaction() const { return pinned_.has_value(); }
    [[nodiscard]] bool is_idle() const { return !active_ && !pinned_; }
    [[nodiscard]] char transaction_status() const { return pinned_ ? pinned_->transaction : 'I'; }
    [[nodiscard]] metric_key metric() const;

    // The front keeps these up to date.
    session_state state;
    service_entry service;
    std::string settings_text;                 // statements that set the session's settings (PostgreSQL)
    std::map<std::string, std::string> values; // the same, for servers that take steps

private:
    struct active_request {
        caller_request what;
        bool was_write = false;    // sent to the primary as something that may write
        bool counted = false;      // as an operation of its workspace
        bool may_have_run = false; // sent to a server that has not said otherwise
        time_point started_at{};
        time_point deadline{};
        time_point used_from{};     // has held its connection since
        time_point sent_at{};       // its newest statement was sent; 0: none yet
        time_point first_sent_at{}; // the first thing of it was sent; 0: nothing yet
        duration at_server{0};      // from the sending of its newest statement to the answer
        time_point answer_by{};     // what is repeatable is asked anew then; 0: waits to the end
        request_step step = request_step::routed;
        server_id server;
        bool on_primary = false;
        term_number term = 0;
        std::optional<log_mark> floor; // demanded of the server
        duration expected{0};          // until its answer, when the server was chosen; 0: not known
        duration load_age{0};          // of the load that this was taken from
        std::string lender;            // instance whose connection it used last; empty: our own
        std::vector<server_id> avoid;  // refused it, or broke
        request_number waiting = 0;
        unsigned attempts = 0;
        bool forwarded = false; // the caller has got a part of the answer
        bool reprepared = false;
        std::string held; // the acknowledging rest of the answer
        log_position position = 0;
        bool is_mark_stored = false; // what `position` tells of the commit outlives this instance
        commit_start commit;         // when the write or the commit was sent
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

    // [rate limit]
    void pass_limit();
    void on_limit(const rate_verdict& verdict);
    // [routing]
    void route();
    void take_decision(const routing_decision& decision, const group_view& view, time_point at);
    void note_expected(const group_view& view);
    void wait_for_news(time_point retry_at);
    [[nodiscard]] time_point give_up_at() const;
    void abandon_replaced();
    void abandon_if_silent();
    [[nodiscard]] bool is_overdue() const;
    // [connection]
    void queue();
    void leave_queue();
    void on_connection(const pool_answer& answer);
    void use_connection(const std::shared_ptr<backend_connection>& connection, connection_number number);
    void on_loan_refused(const backend_outcome& outcome);
    void give_back(bool reusable);
    void run_settings();
    // [running]
    void run_begin();
    void run_claim();
    void run_statement();
    void watch_answer();
    void take_bytes(std::string_view bytes, bool holds_acknowledgement);
    void on_statement_done(const backend_outcome& outcome);
    bool try_elsewhere(const backend_outcome& outcome);
    void run_commit();
    void run_plain(const std::string& text, request_step step,
                   const std::function<void(const backend_outcome&)>& next);
    void run_on_server(backend_request request, backend_sink sink);
    void note_answer(const backend_outcome& outcome);
    // [after a write]
    void run_position();
    void wait_for_safety();
    void store_mark();
    [[nodiscard]] bool term_still_holds() const;
    // [ending]
    void finish_success();
    void finish_with_server_error(const backend_outcome& outcome);
    void finish_with_error(result_code code, run_state run, duration retry_after = duration{0});
    void report(request_result result);
    void end_count();
    void log_end(const request_result& result) const;
    void drop_connection();
    void release_if_done();
    // [failing]
    [[nodiscard]] run_state outcome_if_lost() const;
    [[nodiscard]] bool loses_transaction() const;
    [[nodiscard]] bool is_repeatable() const;
    bool may_retry();
    void on_connection_lost(bool blames_server);
    void on_deadline();
    void arm_timer(time_point at);

    entry& owner_;
    session_number number_;
    path_front front_;
    boost::asio::steady_timer timer_;
    std::uint64_t timer_serial_ = 0;
    bool closed_ = false;
    bool lost_transaction_ = false; // told with the result that is being made
    std::optional<pinned_connection> pinned_;
    std::optional<active_request> active_;
    std::uint64_t next_serial_ = 1;
};

} // namespace larchpin
