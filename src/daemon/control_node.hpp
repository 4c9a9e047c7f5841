// A control instance: the I/O round core/raft and core/control. Keeps the log on disk, exchanges messages
// with the other control instances, answers renewals and watches, and carries out what the leader decides.
//
// Everything runs on the event loop's thread; only syncing the log goes to a worker. A batch's messages
// leave after its records are synced, in order.
//
// Index
//   [answers to daemons]  [answers to operators]  [consensus]
#pragma once

#include "core/control_core.hpp"
#include "daemon/consensus_log.hpp"
#include "daemon/role_queries.hpp"
#include "daemon/start_phases.hpp"
#include "daemon/watch_replies.hpp"
#include "io/http2_clients.hpp"
#include "io/raft_store.hpp"
#include "io/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>

namespace larchpin {

namespace wire {
class operator_reply;
class status_reply;
} // namespace wire

class control_node {
public:
    control_node(boost::asio::io_context& io, const settings& config, const shared_keys& keys,
                 const backend_driver& driver);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;
    control_node(control_node&&) = delete;
    control_node& operator=(control_node&&) = delete;

    // Reads the data folder. Errors: data_folder_unusable, log_damaged (as result_code).
    boost::leaf::result<void> start();

    // [answers to daemons] bodies are protobuf messages
    [[nodiscard]] std::string answer_renewal(const std::string& body);
    [[nodiscard]] std::string answer_rates(const std::string& body);
    void answer_watch(const std::string& body, const http_respond& respond);

    // [answers to operators] 2001 not_leader makes the caller ask another instance
    void answer_edit(const std::string& body, const http_respond& respond);
    [[nodiscard]] std::string answer_switchover(const std::string& body);
    [[nodiscard]] std::string answer_status();
    [[nodiscard]] std::string answer_document();
    [[nodiscard]] std::string answer_bootstrap();

    // The settings name other control instances now: whom to ask for membership.
    void set_control_addresses(const std::vector<std::string>& addresses) {
        config_.control_addresses = addresses;
    }

    // Returns how many more voters may be lost with a majority left, or nothing while another instance leads.
    [[nodiscard]] std::optional<std::size_t> tolerated_losses() const {
        return consensus_log_.tolerated_losses;
    }

    // [consensus]
    void on_raft_message(const std::string& body);
    [[nodiscard]] std::string answer_join(const std::string& body);

private:
    struct watcher {
        revision_number applied = 0;
        http_respond respond;
        time_point deadline{};
    };
    struct waiting_edit {
        std::string change_id;
        http_respond respond;
        bool until_in_force = false;
        bool applied = false;
        change_outcome outcome;
        time_point deadline{};
    };
    struct server_operation {
        std::uint64_t number = 0;
        role_query query;
        std::vector<std::string> relays;
        role_queries::query_number direct = 0; // 0 = not asked yet, or ended
        std::size_t open_relays = 0;
        bool relays_asked = false;
    };

    void on_tick();
    void end_overdue_operations();
    void record_tick_delay();
    void pump();
    void write_next();
    void write_batch(const std::shared_ptr<std::vector<raft::output>>& batch);
    void on_written(const std::shared_ptr<std::vector<raft::output>>& batch, result_code code);
    void send_messages(const std::vector<raft::message>& messages);
    void carry_out(const control_actions& actions);
    void note_decided(const decided_edit& edit);
    void start_probe(const probe_server& order);
    void start_promotion(const promote_server& order);
    void ask_role(std::uint64_t number);
    void ask_relays(std::uint64_t number);
    void take_role(std::uint64_t number, const std::optional<probe_result>& result);
    void finish_operation(const server_answer& answer);
    void answer_watchers();
    void answer_waiting_edits();
    void send_message(const raft::message& m, const std::string& address);
    void ask_to_join();
    void on_join_answer(const std::string& address, const http_outcome& o);
    void greet_unknown_controls();
    void found_cluster();
    [[nodiscard]] raft::node_id new_identity() const;

    boost::asio::io_context& io_;
    settings config_;
    const backend_driver& driver_;
    std::mt19937_64 random_;
    raft_store store_;
    control_core core_;
    std::deque<raft::output> to_write_;
    bool writing_ = false;
    bool store_failed_ = false;
    std::vector<watcher> watchers_;
    time_point last_news_{}; // when those who wait were last told of everything
    whole_state_reply whole_state_;
    std::vector<waiting_edit> edits_;
    role_queries queries_;
    std::map<std::uint64_t, server_operation> operations_;
    http2_clients clients_;
    boost::asio::steady_timer timer_;
    time_point next_greeting_{};
    time_point next_tick_{};
    start_phases phases_;
    consensus_log consensus_log_;
};

} // namespace larchpin
