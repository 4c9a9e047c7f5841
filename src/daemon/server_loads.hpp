// How loaded the backend servers are, between instances: what this one tells, and what it was told.
//
// Each instance makes a load from the statements that end on its own connections (core/server_load). It goes
// with the answers of its loans, where the borrower asks for it. The instances through which most statements
// for a group's servers go ask each other, at most every 50 ms and only while one of theirs has work: so who
// borrows a connection to one server hears of all of the group. The one asked answers with the loads of its
// servers, idle ones too, since those are where work could go.
//
// Loads are told in answers only, and aged from the moment of the question: a message that nobody asked for
// could be of any age.
//
// Where every instance holds its own connections, nothing is told, and nothing is known.
#pragma once

#include "core/server_load.hpp"
#include "core/shares.hpp"
#include "daemon/agent.hpp"
#include "daemon/pools.hpp"
#include "io/http2_clients.hpp"

#include <boost/asio/steady_timer.hpp>

namespace larchpin::wire {
class loan_reply;
class server_load;
} // namespace larchpin::wire

namespace larchpin {

class server_loads {
public:
    server_loads(boost::asio::io_context& io, const settings& config, const shared_keys& keys, agent& cluster,
                 backend_pools& pools, const backend_driver& driver);

    // The instance that most statements for the server go through; nothing where each has its own.
    std::function<std::optional<instance_id>(const share_key&)> first_home;

    // A statement that was sent at `asked_at` on a connection of this instance has ended.
    void note_ended(const share_key& key, time_point asked_at, const backend_outcome& outcome);

    // What is known of the server's load.
    [[nodiscard]] std::optional<known_load> find(const server_id& server) const;

    // [a borrower's side]
    // What is known of the server's group is a little old.
    [[nodiscard]] bool wants(const server_id& server);
    void note_sent(const server_id& server) { larchpin::record_sent(book_, server); }
    // An answer to a question that was sent then; tells what it took beyond the lender's own account.
    duration take(const share_key& key, const wire::loan_reply& reply, time_point sent);

    // [a lender's side]
    // Bytes to append to those of a loan_reply, which stands for both messages merged. `came_at`: the
    // question that is answered.
    [[nodiscard]] std::string encode(const share_key& key, bool wanted, time_point came_at) const;

    // Body of /v1/loads, and its answer.
    [[nodiscard]] std::string answer(const std::string& body) const;

    [[nodiscard]] std::size_t known_count() const { return book_.loads.size(); }
    [[nodiscard]] duration oldest() const; // of those known

private:
    struct own_server {
        share_key key;
        std::uint64_t start_number = 0; // the answers are of this start
        response_stats answers;
        bool left_out = false; // as the log tells it
    };
    struct asked_home {
        bool asking = false;
        time_point asked_at{};
        std::map<server_id, server_load> told_by; // our loads when it was asked
    };

    void on_tick();
    void ask_homes();
    void ask(const std::string& address, const std::string& body);
    [[nodiscard]] share_key key_of(const server_id& server) const;
    [[nodiscard]] bool is_own(const share_key& key) const;
    [[nodiscard]] std::optional<known_load> own_load(const server_id& server) const;
    void tell(const known_load& known, wire::server_load& told) const;
    void take_one(const wire::server_load& told, time_point sent, time_point told_at);
    void follow_failures(own_server& s);

    const settings& config_;
    agent& cluster_;
    backend_pools& pools_;
    const backend_driver& driver_;
    boost::asio::steady_timer timer_;
    std::map<server_id, own_server> own_; // answered on our connections
    std::map<std::string, asked_home> homes_;
    load_cache book_;
    std::map<group_id, time_point> wanted_at_;
    http2_clients clients_;
};

} // namespace larchpin
