// HTTP/2 between our processes, over nghttp2 and Asio: short signed requests with one body each way.
//
// Usage
//   http2_server server(io, endpoint, keys, [](const http_request& q, const http_respond& respond) {
//       respond({200, "body"});   // now or later, once
//   });
//   http2_client client(io, endpoint, keys);
//   client.post("/v1/renew", body, timeout, [](const http_outcome& r) { if (r.answered) ... });
//
// All of one io_context's objects belong to its one thread. A client keeps one connection and opens it
// anew when it is needed; requests in flight on a broken one are answered with `answered == false` at once.
// A request whose signature is wrong gets status 401 and an empty body, a body over the limit 413.
//
// Index
//   [values]  [server]  [client]
#pragma once

#include "core/peer_liveness.hpp"
#include "core/types.hpp"
#include "io/auth.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace larchpin {

//-----------------------------------------------------------------------------
// [values]
//-----------------------------------------------------------------------------

constexpr std::size_t max_http_body = 32U * 1024 * 1024;

struct http_request {
    std::string path;
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body;
};

// Outcome of a request: not answered means that it may or may not have been carried out.
struct http_outcome {
    bool answered = false;
    int status = 0;
    std::string body;
};

// How long a request may take, both from its sending.
struct http_wait {
    duration timeout{};    // then it ends without an answer
    duration late_after{}; // then a peer that has sent nothing meanwhile is in doubt (peer_liveness)
    auto operator<=>(const http_wait&) const = default;
};

using http_respond = std::function<void(const http_response&)>;
using http_handler = std::function<void(const http_request&, const http_respond&)>;
using http_callback = std::function<void(const http_outcome&)>;

//-----------------------------------------------------------------------------
// [server]
//-----------------------------------------------------------------------------

struct http2_server_counts {
    std::size_t open = 0;       // connections
    std::uint64_t accepted = 0; // connections since the start
    auto operator<=>(const http2_server_counts&) const = default;
};

// Two for each of a thousand instances, and half of the usual limit of descriptors.
constexpr std::size_t default_max_connections = 2048;

class http2_server {
public:
    // A connection beyond `max_connections` takes the place of the one that was silent for longest.
    // Throws boost::system::system_error where the address cannot be listened to.
    http2_server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at,
                 const shared_keys& keys, http_handler handler,
                 std::size_t max_connections = default_max_connections);
    ~http2_server();
    http2_server(const http2_server&) = delete;
    http2_server& operator=(const http2_server&) = delete;
    http2_server(http2_server&&) = delete;
    http2_server& operator=(http2_server&&) = delete;

    [[nodiscard]] http2_server_counts counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

//-----------------------------------------------------------------------------
// [client]
//-----------------------------------------------------------------------------

class http2_client {
public:
    // `silence` is the time without any bytes, not even the answer to a ping, after which a connection with a
    // late request is replaced.
    http2_client(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& to,
                 const shared_keys& keys, duration silence = default_peer_silence);
    ~http2_client();
    http2_client(const http2_client&) = delete;
    http2_client& operator=(const http2_client&) = delete;
    http2_client(http2_client&&) = delete;
    http2_client& operator=(http2_client&&) = delete;

    // The callback runs once, never from inside this call, and not at all after the client was destroyed.
    void post(const std::string& path, const std::string& body, const http_wait& wait,
              const http_callback& done);
    // With a request that is late when it times out.
    void post(const std::string& path, const std::string& body, duration timeout, const http_callback& done);

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace larchpin
