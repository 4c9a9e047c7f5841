#include "daemon/entry.hpp"

#include "io/addresses.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>

namespace larchpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// As long as the least staleness that routes state (1.5 s); later hardly a read can be served.
constexpr duration evacuate_after = std::chrono::milliseconds{1500};
constexpr duration drain_check_interval = std::chrono::milliseconds{10};

} // namespace

entry::entry(asio::io_context& context, const settings& s, agent& a, backend_pools& p, metrics& m,
             const backend_driver& d, connection_loans& l, rate_limiter& r, session_maker make_session)
    : io(context), config(s), cluster(a), pools(p), counts(m), driver(d), loans(l), limits(r),
      random(std::random_device{}()), make_session_(std::move(make_session)),
      listener_(context, parse_endpoint(s.entry_listen).value_or(tcp::endpoint{}),
                [this](tcp::socket socket) { start_session(std::move(socket)); }),
      drain_timer_(context), lease_timer_(context) {
    if (!config.tls_certificate.empty()) {
        tls = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
        tls->use_certificate_chain_file(config.tls_certificate);
        tls->use_private_key_file(config.tls_key, asio::ssl::context::pem);
    }
    evacuated_ = config.close_without_lease; // until the first lease
    cluster.on_change = [this] {
        watch_lease();
        follow_table();
        wake_waiting();
    };
}

void entry::start_session(tcp::socket socket) {
    const session_number number = next_number_++;
    const auto secret = static_cast<std::uint32_t>(random());
    const session_handle session = make_session_(*this, number, secret, std::move(socket));
    sessions_[number] = session;
    session.start();
}

void entry::remove(session_number number) {
    waiting_.erase(number);
    // The session may be running one of its own functions now.
    asio::post(io, [this, number] {
        sessions_.erase(number);
        check_drained();
    });
}

// News come in bursts; one pass over those that wait serves them all.
void entry::wake_waiting() {
    if (waiting_.empty() || wake_posted_) {
        return;
    }
    wake_posted_ = true;
    asio::post(io, [this] {
        wake_posted_ = false;
        const auto waiting = std::move(waiting_);
        waiting_.clear();
        for (const session_number number : waiting) {
            const auto found = sessions_.find(number);
            if (found != sessions_.end()) {
                const session_handle session = found->second;
                session.poke();
            }
        }
    });
}

void entry::follow_table() {
    if (followed_table_ == cluster.cluster().table_revision) {
        return;
    }
    followed_table_ = cluster.cluster().table_revision;
    asio::post(io, [this] {
        const auto sessions = sessions_;
        for (const auto& [number, session] : sessions) {
            if (session.follow_table) {
                session.follow_table();
            }
        }
    });
}

bool entry::cancel(std::uint32_t process, std::uint32_t secret) {
    const auto found = sessions_.find(process);
    if (found == sessions_.end() || found->second.secret != secret) {
        return false;
    }
    const session_handle session = found->second;
    session.cancel();
    return true;
}

void entry::drain(std::function<void(std::size_t)> done) {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    on_drained_ = std::move(done);
    drain_deadline_ = now() + config.drain_notice + config.drain_time;
    log_event(severity::info, "drain_started", {{"sessions", static_cast<std::uint64_t>(sessions_.size())}});
    if (config.drain_notice <= duration{0}) {
        stop_sessions();
        return;
    }
    drain_timer_.expires_after(config.drain_notice);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            stop_sessions();
        }
    });
}

// For a while reads are served from replicas by the positions that are known.
void entry::watch_lease() {
    if (cluster.has_lease()) {
        has_served_ = true;
        lease_watched_ = false;
        lease_timer_.cancel();
        if (evacuated_) {
            evacuated_ = false;
            log_event(severity::info, "sessions_welcome");
        }
        return;
    }
    if (!config.close_without_lease || !has_served_ || evacuated_ || lease_watched_) {
        return;
    }
    lease_watched_ = true;
    lease_timer_.expires_after(evacuate_after);
    lease_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !cluster.has_lease()) {
            lease_watched_ = false;
            evacuate();
        }
    });
}

void entry::leave_if_without_lease() {
    if (config.close_without_lease && !cluster.has_lease() && !evacuated_) {
        lease_timer_.cancel();
        lease_watched_ = false;
        evacuate();
    }
}

// Idle sessions are ended, so that their callers connect again, by way of the balancer, where they are
// served.
void entry::evacuate() {
    evacuated_ = true;
    log_event(severity::warning, "sessions_evacuated",
              {{"sessions", static_cast<std::uint64_t>(sessions_.size())}});
    const auto sessions = sessions_;
    for (const auto& [number, session] : sessions) {
        session.end_if_idle();
    }
}

void entry::stop_sessions() {
    draining_ = true;
    const auto sessions = sessions_;
    for (const auto& [number, session] : sessions) {
        session.stop_when_idle();
    }
    check_drained();
}

void entry::check_drained() {
    if (!draining_ || !on_drained_) {
        return;
    }
    if (sessions_.empty() || now() >= drain_deadline_) {
        const std::size_t cut = sessions_.size();
        const auto sessions = sessions_;
        for (const auto& [number, session] : sessions) {
            session.close();
        }
        log_event(severity::info, "drain_ended", {{"cut", static_cast<std::uint64_t>(cut)}});
        listener_.close();
        const auto done = std::move(on_drained_);
        on_drained_ = nullptr;
        done(cut);
        return;
    }
    drain_timer_.expires_after(drain_check_interval);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            check_drained();
        }
    });
}

} // namespace larchpin
