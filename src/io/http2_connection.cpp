#include "io/http2_internal.hpp"

#include "io/clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

// nghttp2 is a C library: its bytes are unsigned, ours are not.
// NOLINTBEGIN(*-reinterpret-cast,*-const-cast)

namespace larchpin {
namespace {

constexpr std::uint32_t max_streams = 4096;
constexpr std::int32_t window_bytes = 8 * 1024 * 1024;
constexpr std::size_t write_chunk = 65536;
// A peer that lost its power resets nothing. Without probes its connections would be held forever, and so
// their descriptors.
constexpr int keepalive_idle_s = 10;
constexpr int keepalive_interval_s = 5;
constexpr int keepalive_probes = 3;
constexpr std::string_view header_nonce = "larchpin-nonce";
constexpr std::string_view header_signature = "larchpin-signature";

nghttp2_nv header(std::string_view name, std::string_view value) {
    return {.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            .value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            .namelen = name.size(),
            .valuelen = value.size(),
            .flags = NGHTTP2_NV_FLAG_NONE};
}

void enable_keepalive(boost::asio::ip::tcp::socket& socket) {
    const auto set = [&socket](int level, int option, int value) {
        ::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

http2_connection& self_of(void* user) {
    return *static_cast<http2_connection*>(user);
}

} // namespace

http2_connection::http2_connection(boost::asio::ip::tcp::socket socket, bool is_server,
                                   stream_handler on_message, close_handler on_close)
    : socket_(std::move(socket)), is_server_(is_server), on_message_(std::move(on_message)),
      on_close_(std::move(on_close)) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &http2_connection::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &http2_connection::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &http2_connection::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &http2_connection::on_stream_close);
    if (is_server_) {
        nghttp2_session_server_new(&session_, callbacks, this);
    } else {
        nghttp2_session_client_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
}

http2_connection::~http2_connection() {
    nghttp2_session_del(session_);
}

void http2_connection::start() {
    opened_at_ = now();
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (is_server_) {
        enable_keepalive(socket_);
    }
    const std::array<nghttp2_settings_entry, 2> entries{{
        {.settings_id = NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, .value = max_streams},
        {.settings_id = NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         .value = static_cast<std::uint32_t>(window_bytes)},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, window_bytes);
    write_some();
    read_some();
}

void http2_connection::close() {
    if (!open_) {
        return;
    }
    open_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
    on_close_(*this);
}

std::int32_t http2_connection::submit_request(const std::string& path, const std::string& body,
                                              const signed_nonce& signature, const http_callback& done) {
    const std::array<nghttp2_nv, 6> headers{header(":method", "POST"),
                                            header(":scheme", "http"),
                                            header(":authority", "larchpin"),
                                            header(":path", path),
                                            header(header_nonce, signature.nonce),
                                            header(header_signature, signature.signature)};
    nghttp2_data_provider provider{};
    provider.read_callback = &http2_connection::read_body;
    const std::int32_t id =
        nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        return id;
    }
    http2_stream& stream = streams_[id];
    stream.path = path;
    stream.outgoing = body;
    stream.sent_signature = signature.signature;
    stream.done = done;
    stream.sent_at = now();
    write_some();
    return id;
}

void http2_connection::ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    write_some();
}

void http2_connection::submit_response(std::int32_t stream, int status, const std::string& body,
                                       const std::string& signature) {
    const auto found = streams_.find(stream);
    if (found == streams_.end() || !open_) {
        return;
    }
    found->second.outgoing = body;
    const std::string status_text = std::to_string(status);
    const std::array<nghttp2_nv, 2> headers{header(":status", status_text),
                                            header(header_signature, signature)};
    nghttp2_data_provider provider{};
    provider.read_callback = &http2_connection::read_body;
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(), &provider);
    write_some();
}

void http2_connection::reset_stream(std::int32_t stream) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    write_some();
}

int http2_connection::on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                                const std::uint8_t* name, std::size_t name_length, const std::uint8_t* value,
                                std::size_t value_length, std::uint8_t /*flags*/, void* user) {
    http2_stream& stream = self_of(user).streams_[frame->hd.stream_id];
    const std::string_view key(reinterpret_cast<const char*>(name), name_length);
    const std::string_view text(reinterpret_cast<const char*>(value), value_length);
    if (key == ":path") {
        stream.path = text;
    } else if (key == ":status") {
        std::from_chars(text.data(), text.data() + text.size(), stream.status);
    } else if (key == header_nonce) {
        stream.nonce = text;
    } else if (key == header_signature) {
        stream.signature = text;
    }
    return 0;
}

int http2_connection::on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t id,
                              const std::uint8_t* data, std::size_t length, void* user) {
    http2_stream& stream = self_of(user).streams_[id];
    if (stream.body.size() + length > max_http_body) {
        stream.too_large = true;
        return 0;
    }
    stream.body.append(reinterpret_cast<const char*>(data), length);
    return 0;
}

int http2_connection::on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    http2_connection& self = self_of(user);
    const bool has_content = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (has_content && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        if (self.is_server_) {
            self.complete_requests_.push_back(frame->hd.stream_id);
        } else {
            self.on_message_(self, frame->hd.stream_id);
        }
    }
    return 0;
}

// Passes on the requests that were completed by the bytes just read. One that its sender has abandoned
// meanwhile was followed by its reset, and its stream is gone by now.
void http2_connection::pass_on_requests() {
    const auto complete = std::exchange(complete_requests_, {});
    for (const std::int32_t id : complete) {
        if (open_ && streams_.contains(id)) {
            on_message_(*this, id);
        }
    }
}

int http2_connection::on_stream_close(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t /*code*/,
                                      void* user) {
    http2_connection& self = self_of(user);
    const auto found = self.streams_.find(id);
    if (found == self.streams_.end()) {
        return 0;
    }
    const http_callback done = std::move(found->second.done);
    self.streams_.erase(found);
    if (done) {
        done(http_outcome{}); // closed before its answer was complete
    }
    return 0;
}

ssize_t http2_connection::read_body(nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* buffer,
                                    std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                                    void* user) {
    const auto found = self_of(user).streams_.find(id);
    if (found == self_of(user).streams_.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    http2_stream& stream = found->second;
    const std::size_t count = std::min(length, stream.outgoing.size() - stream.outgoing_offset);
    std::copy_n(stream.outgoing.data() + stream.outgoing_offset, count, buffer);
    stream.outgoing_offset += count;
    if (stream.outgoing_offset == stream.outgoing.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

void http2_connection::read_some() {
    auto self = shared_from_this();
    socket_.async_read_some(boost::asio::buffer(read_buffer_), [self](const boost::system::error_code& error,
                                                                      std::size_t length) {
        if (error || !self->open_) {
            self->close();
            return;
        }
        self->heard_at_ = now();
        self->in_callback_ = true;
        const ssize_t used = nghttp2_session_mem_recv(self->session_, self->read_buffer_.data(), length);
        self->pass_on_requests();
        self->in_callback_ = false;
        if (used < 0) {
            self->close();
            return;
        }
        self->write_some();
        self->read_some();
    });
}

void http2_connection::write_some() {
    if (writing_ || !open_ || in_callback_) {
        return;
    }
    write_buffer_.clear();
    while (write_buffer_.size() < write_chunk) {
        const std::uint8_t* data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(session_, &data);
        if (length <= 0) {
            break;
        }
        write_buffer_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
    }
    if (write_buffer_.empty()) {
        if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) {
            close();
        }
        return;
    }
    writing_ = true;
    auto self = shared_from_this();
    boost::asio::async_write(socket_, boost::asio::buffer(write_buffer_),
                             [self](const boost::system::error_code& error, std::size_t /*length*/) {
                                 self->writing_ = false;
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->write_some();
                             });
}

} // namespace larchpin

// NOLINTEND(*-reinterpret-cast,*-const-cast)
