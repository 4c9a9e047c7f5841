#include "io/addresses.hpp"

#include <charconv>

namespace larchpin {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    if (error || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace larchpin
