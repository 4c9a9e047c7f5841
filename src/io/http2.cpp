// Server and client on top of one connection each: see http2.hpp.
//
// Index
//   [server]  [client]
#include "io/clock.hpp"
#include "io/http2_internal.hpp"
#include "io/listener.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace larchpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int status_ok = 200;
constexpr int status_unauthenticated = 401;
constexpr int status_too_large = 413;
constexpr duration timeout_check_interval = std::chrono::milliseconds{5};
constexpr duration reconnect_pause = std::chrono::milliseconds{20};
// A first packet that was lost is sent again only after a second.
constexpr duration connect_timeout = std::chrono::milliseconds{250};

} // namespace

//-----------------------------------------------------------------------------
// [server]
//-----------------------------------------------------------------------------

struct http2_server::implementation : std::enable_shared_from_this<http2_server::implementation> {
    implementation(const shared_keys& shared, http_handler h, std::size_t max)
        : keys(shared), handler(std::move(h)), max_connections(max) {}

    void close_longest_silent() {
        const auto silent =
            std::min_element(connections.begin(), connections.end(), [](const auto& a, const auto& b) {
                return a.second->active_at() < b.second->active_at();
            });
        log_event(severity::warning, "peer_connections_full",
                  {{"open", static_cast<std::uint64_t>(connections.size())}});
        const std::shared_ptr<http2_connection> closing = silent->second;
        closing->close();
    }

    void add(tcp::socket socket) {
        if (connections.size() >= max_connections) {
            close_longest_silent();
        }
        const std::uint64_t id = next_id++;
        ++accepted;
        std::weak_ptr<implementation> weak = weak_from_this();
        auto connection = std::make_shared<http2_connection>(
            std::move(socket), true,
            [weak, id](http2_connection&, std::int32_t stream) {
                if (auto self = weak.lock()) {
                    self->serve(id, stream);
                }
            },
            [weak, id](http2_connection&) {
                if (auto self = weak.lock()) {
                    self->connections.erase(id);
                }
            });
        connections.emplace(id, connection);
        connection->start();
    }

    void serve(std::uint64_t id, std::int32_t stream_id) {
        const auto found = connections.find(id);
        if (found == connections.end()) {
            return;
        }
        const std::shared_ptr<http2_connection> connection = found->second;
        http2_stream& stream = connection->streams()[stream_id];
        if (stream.too_large) {
            connection->submit_response(stream_id, status_too_large, "", "");
            return;
        }
        const signed_nonce given{.nonce = stream.nonce, .signature = stream.signature};
        if (!check_request(keys, stream.path, stream.body, given)) {
            connection->submit_response(stream_id, status_unauthenticated, "", "");
            return;
        }
        const http_request request{.path = std::move(stream.path), .body = std::move(stream.body)};
        std::weak_ptr<http2_connection> weak = connection;
        const shared_keys copy = keys;
        handler(request, [weak, copy, stream_id, signature = given.signature](const http_response& response) {
            if (auto open = weak.lock()) {
                open->submit_response(stream_id, response.status, response.body,
                                      sign_reply(copy, signature, response.body));
            }
        });
    }

    std::optional<listener> accepting;
    shared_keys keys;
    http_handler handler;
    std::size_t max_connections; // at least one
    std::map<std::uint64_t, std::shared_ptr<http2_connection>> connections;
    std::uint64_t next_id = 1;
    std::uint64_t accepted = 0;
};

http2_server::http2_server(asio::io_context& io, const tcp::endpoint& at, const shared_keys& keys,
                           http_handler handler, std::size_t max_connections)
    : self_(std::make_shared<implementation>(keys, std::move(handler), max_connections)) {
    self_->accepting.emplace(io, at, [weak = std::weak_ptr(self_)](tcp::socket socket) {
        if (auto self = weak.lock()) {
            self->add(std::move(socket));
        }
    });
}

http2_server::~http2_server() {
    self_->accepting->close();
    const auto connections = self_->connections;
    for (const auto& [id, connection] : connections) {
        connection->close();
    }
}

http2_server_counts http2_server::counts() const {
    return {.open = self_->connections.size(), .accepted = self_->accepted};
}

//-----------------------------------------------------------------------------
// [client]
//-----------------------------------------------------------------------------

struct http2_client::implementation : std::enable_shared_from_this<http2_client::implementation> {
    struct waiting_request {
        std::string path;
        std::string body;
        http_callback done;
        time_point late_at{};
        time_point deadline{};
    };

    implementation(asio::io_context& context, const tcp::endpoint& endpoint, const shared_keys& shared,
                   duration silence)
        : io(context), to(endpoint), keys(shared), timer(context) {
        liveness.min_silence = silence;
    }

    void connect() {
        if (connecting || now() < retry_at) {
            return;
        }
        connecting = true;
        connect_started_at = now();
        auto socket = std::make_shared<tcp::socket>(io);
        pending_socket = socket;
        auto self = shared_from_this();
        socket->async_connect(to, [self, socket](const boost::system::error_code& error) {
            self->connecting = false;
            self->pending_socket.reset();
            if (error || self->stopped) {
                self->retry_at = now() + reconnect_pause;
                self->fail_waiting();
                return;
            }
            self->adopt(std::move(*socket));
        });
    }

    void adopt(tcp::socket socket) {
        std::weak_ptr<implementation> weak = weak_from_this();
        connection = std::make_shared<http2_connection>(
            std::move(socket), false,
            [weak](http2_connection& from, std::int32_t stream) {
                if (auto self = weak.lock()) {
                    self->finish(from, stream);
                }
            },
            [weak](http2_connection& from) { fail_streams(from); });
        connection->start();
        connected_at = now();
        record_new_connection(liveness);
        const auto ready = std::move(waiting);
        waiting.clear();
        for (const waiting_request& r : ready) {
            submit(r);
        }
    }

    void submit(const waiting_request& r) {
        const signed_nonce signature = sign_request(keys, r.path, r.body);
        const std::int32_t id = connection->submit_request(r.path, r.body, signature, r.done);
        if (id >= 0) {
            http2_stream& stream = connection->streams()[id];
            stream.late_at = r.late_at;
            stream.deadline = r.deadline;
        } else {
            asio::post(io, [done = r.done] { done(http_outcome{}); });
            connection->close(); // out of stream numbers: the next request opens a new connection
        }
    }

    void finish(http2_connection& from, std::int32_t id) {
        const auto found = from.streams().find(id);
        if (found == from.streams().end() || !found->second.done) {
            return;
        }
        http2_stream& stream = found->second;
        http_outcome outcome{.answered = true, .status = stream.status, .body = std::move(stream.body)};
        const bool genuine = check_reply(keys, stream.sent_signature, outcome.body, stream.signature);
        if (outcome.status == status_ok && !genuine) {
            outcome = http_outcome{.answered = false, .status = status_unauthenticated, .body = {}};
        }
        const http_callback done = std::move(stream.done);
        stream.done = nullptr;
        if (now() < stream.late_at) {
            record_timely_answer(liveness);
        }
        done(outcome);
    }

    static void fail_streams(http2_connection& from) {
        std::vector<http_callback> open;
        for (auto& [id, stream] : from.streams()) {
            if (stream.done) {
                open.push_back(std::move(stream.done));
                stream.done = nullptr;
            }
        }
        for (const http_callback& done : open) {
            done(http_outcome{});
        }
    }

    void fail_waiting() {
        const auto failed = std::move(waiting);
        waiting.clear();
        for (const waiting_request& r : failed) {
            r.done(http_outcome{});
        }
    }

    // Drops all requests without their callbacks, whose owner is being destroyed.
    void drop_requests() {
        waiting.clear();
        if (connection) {
            for (auto& [id, stream] : connection->streams()) {
                stream.done = nullptr;
            }
        }
    }

    // One timer for all requests: cheap, and a timeout may be late by the interval.
    void watch_deadlines() {
        if (watching || stopped) {
            return;
        }
        watching = true;
        timer.expires_after(timeout_check_interval);
        auto self = shared_from_this();
        timer.async_wait([self](const boost::system::error_code& error) {
            self->watching = false;
            if (error || self->stopped) {
                return;
            }
            if (self->expire()) {
                self->watch_deadlines();
            }
        });
    }

    void log_silent_connection(time_point at) const {
        const auto to_ms = [](duration d) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
        };
        log_event(severity::warning, "peer_connection_silent",
                  {{"to", to.address().to_string()},
                   {"path", late_path},
                   {"silent_ms", to_ms(at - liveness.unheard_since)},
                   {"connection_age_ms", to_ms(at - connected_at)}});
    }

    // Returns whether anything is still open.
    bool expire() {
        const time_point at = now();
        std::vector<http_callback> late;
        for (waiting_request& r : waiting) {
            if (at >= r.deadline) {
                late.push_back(r.done);
            }
        }
        std::erase_if(waiting, [at](const waiting_request& r) { return at >= r.deadline; });
        const bool has_open_stream = connection && expire_streams(at, late);
        check_connection(at);
        const bool open = has_open_stream || !waiting.empty() || is_in_doubt(liveness);
        if (pending_socket && (!late.empty() || at - connect_started_at >= connect_timeout)) {
            boost::system::error_code ignored;
            pending_socket->close(ignored); // the next request tries anew
        }
        for (const http_callback& done : late) {
            done(http_outcome{});
        }
        return open || !waiting.empty();
    }

    // Ends the streams whose deadline is over. Returns whether any other is open.
    bool expire_streams(time_point at, std::vector<http_callback>& late) {
        bool open = false;
        std::vector<std::int32_t> reset;
        for (auto& [id, stream] : connection->streams()) {
            if (!stream.done) {
                continue;
            }
            if (at >= stream.late_at) {
                record_late_request(liveness, stream.sent_at, connection->heard_at());
                late_path = stream.path;
            }
            if (at >= stream.deadline) {
                late.push_back(std::move(stream.done));
                stream.done = nullptr;
                reset.push_back(id);
            }
            open = open || stream.done != nullptr;
        }
        for (const std::int32_t id : reset) {
            connection->reset_stream(id);
        }
        return open;
    }

    void check_connection(time_point at) {
        if (!connection || !connection->is_open()) {
            record_new_connection(liveness);
            return;
        }
        switch (check_liveness(liveness, connection->heard_at(), at)) {
        case liveness_verdict::alive: break;
        case liveness_verdict::ping: connection->ping(); break;
        case liveness_verdict::gone:
            log_silent_connection(at);
            record_gone(liveness);
            connection->close();
            break;
        }
    }

    asio::io_context& io;
    tcp::endpoint to;
    shared_keys keys;
    asio::steady_timer timer;
    peer_liveness liveness;
    std::string late_path; // of the newest late request
    time_point connect_started_at{};
    time_point connected_at{};
    std::shared_ptr<http2_connection> connection;
    std::shared_ptr<tcp::socket> pending_socket;
    std::deque<waiting_request> waiting;
    time_point retry_at{};
    bool connecting = false;
    bool watching = false;
    bool stopped = false;
};

http2_client::http2_client(asio::io_context& io, const tcp::endpoint& to, const shared_keys& keys,
                           duration silence)
    : self_(std::make_shared<implementation>(io, to, keys, silence)) {}

http2_client::~http2_client() {
    self_->stopped = true;
    self_->timer.cancel();
    self_->drop_requests();
    boost::system::error_code ignored;
    if (self_->pending_socket) {
        self_->pending_socket->close(ignored);
    }
    if (self_->connection) {
        self_->connection->close();
    }
}

void http2_client::post(const std::string& path, const std::string& body, duration timeout,
                        const http_callback& done) {
    post(path, body, http_wait{.timeout = timeout, .late_after = timeout}, done);
}

void http2_client::post(const std::string& path, const std::string& body, const http_wait& wait,
                        const http_callback& done) {
    implementation& me = *self_;
    const time_point at = now();
    const implementation::waiting_request request{.path = path,
                                                  .body = body,
                                                  .done = done,
                                                  .late_at = at + wait.late_after,
                                                  .deadline = at + wait.timeout};
    if (me.connection && me.connection->is_open()) {
        me.submit(request);
    } else if (at < me.retry_at) {
        asio::post(me.io, [done] { done(http_outcome{}); }); // it was refused a moment ago
        return;
    } else {
        me.waiting.push_back(request);
        me.connect();
    }
    me.watch_deadlines();
}

} // namespace larchpin
