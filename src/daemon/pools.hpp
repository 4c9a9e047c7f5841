// All pools of one daemon: the connections that core/pool decides about, and their backend servers.
//
// Usage
//   pools.request(key, server, waiter, [](const pool_answer& a) { ... });   // once, maybe at once
//   ... a.connection->run(...) ...
//   pools.release(key, a.number, reusable);
#pragma once

#include "core/pool.hpp"
#include "core/server_load.hpp"
#include "core/shares.hpp"
#include "io/backend_driver.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace larchpin {

struct pool_answer {
    std::shared_ptr<backend_connection> connection; // none: refused
    connection_number number = 0;
    result_code code = result_code::ok;
    duration retry_after{0};
};
using pool_callback = std::function<void(const pool_answer&)>;

// What this instance is for a server whose statements one instance orders (docs/design/ordering.md).
struct pool_order {
    unsigned permits = 0;        // statements and openings at once; 0: not bounded
    unsigned claims_at_most = 0; // connections; 0: what its requests need
    bool keeps_one = false;      // claims one also while nobody asks, so as to have it when it is needed
    bool is_ordering = false;
    auto operator<=>(const pool_order&) const = default;
};

// For operators.
struct order_report {
    share_key key;
    unsigned permits = 0;
    unsigned running = 0;
    std::array<std::size_t, request_class_count> waiting{}; // by class
    slot_usage use;
};

struct pool_counters {
    std::uint64_t opened = 0;
    std::uint64_t open_failed = 0;
    std::uint64_t refused = 0;
    auto operator<=>(const pool_counters&) const = default;
};

// Returns true if a server that tells `told` of its log cannot have the log that it had at `least`: its
// timeline or its position is lower. A log without a position is empty.
bool has_gone_back(const std::optional<log_mark>& told, const std::optional<log_mark>& least);
void log_gone_back(const server_id& server, const std::optional<log_mark>& told, const log_mark& least);

class backend_pools {
public:
    // The driver must outlive the pools.
    backend_pools(boost::asio::io_context& io, const backend_driver& driver);

    // The waiter's number is given here.
    request_number request(const share_key& key, const server_record& server, unsigned background_share,
                           queued_request waiter, pool_callback done);
    // The caller no longer wants it; its callback is not called any more.
    void cancel(const share_key& key, request_number request);
    void release(const share_key& key, connection_number number, bool reusable, duration used_for);

    // A statement on a connection that was handed out was answered, or is about to be sent on one that
    // rested.
    void note_statement_ended(const share_key& key, connection_number number, const statement_end& end);
    void note_statement_begun(const share_key& key, connection_number number);

    // The server's process is gone: closes every connection to it. Statements that run there are reported as
    // not answered.
    void drop_connections(const server_id& server);

    void set_order(const share_key& key, const pool_order& order);
    // Of the servers that this instance orders.
    [[nodiscard]] std::vector<order_report> order_reports() const;

    void set_share(const share_key& key, unsigned share);
    void revoke_share(const share_key& key, unsigned share);
    [[nodiscard]] std::vector<share_claim> claims();
    [[nodiscard]] std::map<share_key, unsigned> shares() const;
    // Holds a share, or could get one if `may_grow`.
    [[nodiscard]] bool may_serve(const share_key& key, bool may_grow) const;
    // Statements of all services that run at the server over these pools, and requests that wait for it.
    [[nodiscard]] server_usage use_of(const server_id& server) const;
    // The server had no room for a connection of ours, and we have none (see core/pool).
    [[nodiscard]] bool is_turned_away(const share_key& key) const;
    void look_for_room(const share_key& key);
    [[nodiscard]] const pool_counters& counters() const { return counters_; }
    // Requests wait although all of the share is open: a larger one would help.
    std::function<void()> on_short_of_share;
    // A connection is being opened to the server; it has answered.
    std::function<void(const server_id&)> on_opening;
    std::function<void(const server_id&)> on_opened;
    // What the server's log cannot be behind; nothing where that is not known. A connection that opens
    // further back leads to another process under the same name, and is not used.
    std::function<std::optional<log_mark>(const server_id&)> least_mark;
    // The server takes no new connections from here (told of by the failure callback).
    std::function<void(const server_id&)> on_open_failed;

private:
    struct waiting_request {
        pool_callback done;
    };
    struct pool {
        pool_state state;
        server_record server;
        std::map<connection_number, std::shared_ptr<backend_connection>> connections;
        std::map<request_number, waiting_request> requests;
        time_point used_at{};
        pool_order order;
        std::uint64_t served = 0; // number of the last hand-out
    };

    void count_elsewhere(const share_key& key, pool& p, bool let_others_first);
    void settle_others(const server_id& server);
    void carry_out(const share_key& key, const pool_actions& actions);
    void open(const share_key& key, const open_connection& wanted);
    void on_tick();
    pool& find_or_make(const share_key& key);

    boost::asio::io_context& io_;
    const backend_driver& driver_;
    std::map<share_key, pool> pools_;
    connection_number next_connection_ = 1;
    request_number next_request_ = 1;
    std::uint64_t hand_outs_ = 0;
    boost::asio::steady_timer timer_;
    pool_counters counters_;
};

} // namespace larchpin
