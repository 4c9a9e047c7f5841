// Accepts TCP connections on one address, until it is closed or ends.
//
// Usage
//   listener at(io, endpoint, [](boost::asio::ip::tcp::socket socket) { ... });
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace larchpin {

class listener {
public:
    using accepted_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // The handler runs on the event loop, never from inside this call. All connections that wait are accepted
    // in one turn of the loop, up to a bound. A failed attempt, for example for want of descriptors, is
    // logged and made again after a pause. Throws boost::system::system_error where the address cannot be
    // listened to.
    listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at,
             accepted_handler on_accepted);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    // New connections are refused from now on.
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace larchpin
