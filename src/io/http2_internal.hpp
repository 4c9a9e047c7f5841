// One HTTP/2 connection, either side: bytes between a socket and an nghttp2 session.
#pragma once

#include "io/http2.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace larchpin {

// A request and its answer on one stream.
struct http2_stream {
    std::string path;
    std::string body;           // received
    std::string nonce;          // received
    std::string signature;      // received
    std::string sent_signature; // of our request
    int status = 0;
    std::string outgoing;
    std::size_t outgoing_offset = 0;
    bool too_large = false;
    // Client side
    http_callback done;
    time_point sent_at{};
    time_point late_at{};
    time_point deadline{};
};

class http2_connection : public std::enable_shared_from_this<http2_connection> {
public:
    using stream_handler = std::function<void(http2_connection&, std::int32_t)>;
    using close_handler = std::function<void(http2_connection&)>;

    http2_connection(boost::asio::ip::tcp::socket socket, bool is_server, stream_handler on_message,
                     close_handler on_close);
    ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;
    http2_connection(http2_connection&&) = delete;
    http2_connection& operator=(http2_connection&&) = delete;

    void start();
    void close();
    [[nodiscard]] bool is_open() const { return open_; }
    // When bytes last arrived; 0 = never.
    [[nodiscard]] time_point heard_at() const { return heard_at_; }
    // The same, or when the connection was opened.
    [[nodiscard]] time_point active_at() const { return std::max(heard_at_, opened_at_); }

    // Client side: sends a request; returns its stream, or a negative number.
    std::int32_t submit_request(const std::string& path, const std::string& body,
                                const signed_nonce& signature, const http_callback& done);
    // The peer answers at once, whatever else it has to do for its open requests.
    void ping();
    // Server side: answers a request. Nothing happens where the stream is gone.
    void submit_response(std::int32_t stream, int status, const std::string& body,
                         const std::string& signature);
    void reset_stream(std::int32_t stream);

    std::map<std::int32_t, http2_stream>& streams() { return streams_; }

private:
    static int on_header(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t flags, void* user);
    static int on_data(nghttp2_session* session, std::uint8_t flags, std::int32_t id,
                       const std::uint8_t* data, std::size_t length, void* user);
    static int on_frame(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int on_stream_close(nghttp2_session* session, std::int32_t id, std::uint32_t code, void* user);
    static ssize_t read_body(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer,
                             std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                             void* user);
    void read_some();
    void pass_on_requests();
    void write_some();

    static constexpr std::size_t read_buffer_size = 16384;
    boost::asio::ip::tcp::socket socket_;
    nghttp2_session* session_ = nullptr;
    bool is_server_;
    bool open_ = true;
    time_point opened_at_{};
    time_point heard_at_{};
    bool writing_ = false;
    bool in_callback_ = false; // nghttp2 must not be asked for output from inside its own callbacks
    std::array<std::uint8_t, read_buffer_size> read_buffer_{};
    std::string write_buffer_;
    std::map<std::int32_t, http2_stream> streams_;
    std::vector<std::int32_t> complete_requests_; // by the bytes being read
    stream_handler on_message_;
    close_handler on_close_;
};

} // namespace larchpin
