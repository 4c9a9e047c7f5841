// Addresses as settings and records write them: "ip:port".
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace larchpin {

// Nothing for a text that is no IP number and port.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);

} // namespace larchpin
