// The entry: listens for callers and owns their sessions.
#pragma once

#include "daemon/agent.hpp"
#include "daemon/client_session.hpp"
#include "daemon/pools.hpp"
#include "io/metrics.hpp"
#include "io/settings.hpp"

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <random>
#include <unordered_map>

namespace larchpin {

class entry {
public:
    // Throws boost::system::system_error where the address cannot be listened to or TLS cannot be set up.
    entry(boost::asio::io_context& context, const settings& s, agent& a, backend_pools& p, metrics& m);

    // Refuses new sessions, lets requests and transactions in flight finish (at most drain_time), then calls
    // `done` with the number of sessions that had to be cut.
    void drain(std::function<void(std::size_t)> done);

    // Cancels a request of one of our sessions; false where it is not ours.
    bool cancel(std::uint32_t process, std::uint32_t secret);
    // The caller's cancel request reached us; the session may be another instance's.
    std::function<void(std::uint32_t process, std::uint32_t secret)> on_foreign_cancel;

    // For client_session.
    void remove(session_number number);
    boost::asio::io_context& io;
    const settings& config;
    agent& cluster;
    backend_pools& pools;
    metrics& counts;
    std::unique_ptr<boost::asio::ssl::context> tls;
    std::mt19937_64 random;
    [[nodiscard]] bool is_draining() const { return draining_; }
    [[nodiscard]] std::size_t session_count() const { return sessions_.size(); }
    void note_waiting(session_number number) { waiting_.insert(number); }

private:
    void accept();
    void wake_waiting();
    void check_drained();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<session_number, std::shared_ptr<client_session>> sessions_;
    std::set<session_number> waiting_; // requests that wait for news
    session_number next_number_ = 1;
    bool draining_ = false;
    bool wake_posted_ = false;
    time_point drain_deadline_{};
    std::function<void(std::size_t)> on_drained_;
    boost::asio::steady_timer drain_timer_;
};

} // namespace larchpin
