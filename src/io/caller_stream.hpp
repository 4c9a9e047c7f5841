// A caller's byte stream: TCP, or TLS over it once start_tls() has succeeded.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace larchpin {

class caller_stream {
public:
    explicit caller_stream(boost::asio::ip::tcp::socket socket);

    void read_some(std::span<char> buffer, const std::function<void(bool ok, std::size_t length)>& done);
    // `bytes` must live until `done` is called.
    void write(const std::string& bytes, const std::function<void(bool ok)>& done);
    void start_tls(boost::asio::ssl::context& context, const std::function<void(bool ok)>& done);
    void close();
    // Ends the stream after what was written has left.
    void shutdown();

private:
    boost::asio::ip::tcp::socket socket_;
    std::unique_ptr<boost::asio::ssl::stream<boost::asio::ip::tcp::socket&>> tls_;
};

} // namespace larchpin
