#include "io/http2_clients.hpp"

#include "io/addresses.hpp"

namespace larchpin {

http2_clients::http2_clients(boost::asio::io_context& io, shared_keys keys, duration silence)
    : io_(io), keys_(std::move(keys)), silence_(silence) {}

http2_client& http2_clients::to(const std::string& address) {
    auto& client = clients_[address];
    if (!client) {
        const auto endpoint = parse_endpoint(address);
        client = std::make_unique<http2_client>(io_, endpoint.value_or(boost::asio::ip::tcp::endpoint{}),
                                                keys_, silence_);
    }
    return *client;
}

} // namespace larchpin
