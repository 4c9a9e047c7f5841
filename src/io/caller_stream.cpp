#include "io/caller_stream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace larchpin {

namespace asio = boost::asio;

caller_stream::caller_stream(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void caller_stream::read_some(std::span<char> buffer, const std::function<void(bool, std::size_t)>& done) {
    const auto handler = [done](const boost::system::error_code& error, std::size_t length) {
        done(!error, length);
    };
    const auto target = asio::buffer(buffer.data(), buffer.size());
    if (tls_) {
        tls_->async_read_some(target, handler);
    } else {
        socket_.async_read_some(target, handler);
    }
}

void caller_stream::write(const std::string& bytes, const std::function<void(bool)>& done) {
    const auto handler = [done](const boost::system::error_code& error, std::size_t /*length*/) {
        done(!error);
    };
    if (tls_) {
        asio::async_write(*tls_, asio::buffer(bytes), handler);
    } else {
        asio::async_write(socket_, asio::buffer(bytes), handler);
    }
}

void caller_stream::start_tls(asio::ssl::context& context, const std::function<void(bool)>& done) {
    tls_ = std::make_unique<asio::ssl::stream<asio::ip::tcp::socket&>>(socket_, context);
    tls_->async_handshake(asio::ssl::stream_base::server,
                          [done](const boost::system::error_code& error) { done(!error); });
}

void caller_stream::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void caller_stream::shutdown() {
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace larchpin
