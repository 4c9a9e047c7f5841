// The entry: listens for callers and owns their sessions, whatever protocol they speak.
#pragma once

#include "daemon/agent.hpp"
#include "daemon/loans.hpp"
#include "daemon/pools.hpp"
#include "daemon/rate_limiter.hpp"
#include "daemon/request_path.hpp"
#include "io/listener.hpp"
#include "io/metrics.hpp"
#include "io/settings.hpp"

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <random>
#include <unordered_map>

namespace larchpin {

// One caller's session, as its front made it. The callables keep it alive; all may be called after its end.
struct session_handle {
    std::uint32_t secret = 0;
    std::function<void()> start;
    std::function<void()> poke;           // news that a waiting request may go on with
    std::function<void()> follow_table{}; // another table is in force; empty: looks at it by itself
    std::function<void()> stop_when_idle; // ends now if no request or transaction is open, else after it
    std::function<void()> end_if_idle;    // ends now if no request or transaction is open
    std::function<void()> close;          // ends now
    std::function<void()> cancel;         // the caller's cancel request
};

// Makes a session of one protocol on an accepted connection.
using session_maker = std::function<session_handle(entry& owner, session_number number, std::uint32_t secret,
                                                   boost::asio::ip::tcp::socket socket)>;

class entry {
public:
    // Throws boost::system::system_error where the address cannot be listened to or TLS cannot be set up.
    entry(boost::asio::io_context& context, const settings& s, agent& a, backend_pools& p, metrics& m,
          const backend_driver& d, connection_loans& l, rate_limiter& r, session_maker make_session);

    // Goes on as before for drain_notice, while the balancer learns of it; then refuses new sessions, lets
    // requests and transactions in flight finish (at most drain_time), then calls `done` with the number of
    // sessions that had to be cut.
    void drain(std::function<void(std::size_t)> done);

    // Cancels a request of one of our sessions; false where it is not ours.
    bool cancel(std::uint32_t process, std::uint32_t secret);
    // The caller's cancel request reached us; the session may be another instance's.
    std::function<void(std::uint32_t process, std::uint32_t secret)> on_foreign_cancel;

    // The balancer sends nobody here any more: without a lease the idle sessions are better off elsewhere.
    void leave_if_without_lease();

    // For sessions.
    void remove(session_number number);
    boost::asio::io_context& io;
    const settings& config;
    agent& cluster;
    backend_pools& pools;
    metrics& counts;
    const backend_driver& driver;
    connection_loans& loans;
    rate_limiter& limits;
    std::unique_ptr<boost::asio::ssl::context> tls;
    std::mt19937_64 random;
    // Control has been out of reach for too long, or since the start: callers are better served by another
    // instance, and a session that began here would be refused everything.
    [[nodiscard]] bool is_evacuating() const { return evacuated_; }
    [[nodiscard]] bool is_draining() const { return draining_; }
    [[nodiscard]] std::size_t session_count() const { return sessions_.size(); }
    void note_waiting(session_number number) { waiting_.insert(number); }

private:
    void start_session(boost::asio::ip::tcp::socket socket);
    void wake_waiting();
    void follow_table();
    void stop_sessions();
    void evacuate();
    void watch_lease();
    void check_drained();

    session_maker make_session_;
    listener listener_;
    std::unordered_map<session_number, session_handle> sessions_;
    std::set<session_number> waiting_; // requests that wait for news
    session_number next_number_ = 1;
    revision_number followed_table_ = 0; // the table that sessions were told of last
    bool draining_ = false;              // refuses new sessions
    bool stopping_ = false;              // will be draining after drain_notice
    bool wake_posted_ = false;
    bool has_served_ = false;    // has held a lease
    bool evacuated_ = false;     // see is_evacuating()
    bool lease_watched_ = false; // the timer runs
    time_point drain_deadline_{};
    std::function<void(std::size_t)> on_drained_;
    boost::asio::steady_timer drain_timer_;
    boost::asio::steady_timer lease_timer_;
};

} // namespace larchpin
