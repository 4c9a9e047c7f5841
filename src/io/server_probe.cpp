#include "io/server_probe.hpp"

#include <charconv>
#include <fstream>

namespace larchpin {
namespace {

constexpr const char* default_probe_user = "larchpin";

std::string read_password(const std::string& file) {
    std::string password;
    if (!file.empty()) {
        std::ifstream stream(file);
        std::getline(stream, password);
    }
    return password;
}

backend_target make_target(const settings& config, const server_record& server, const std::string& user) {
    backend_target target;
    target.host = server.host;
    target.port = server.port;
    target.database = server.group.value;
    target.user = config.backend_user.empty() ? user : config.backend_user;
    target.password = read_password(config.backend_password_file);
    return target;
}

template <typename number> bool take(std::string_view& text, number& value) {
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{}) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return true;
}

} // namespace

std::optional<probe_result> parse_probe_row(const backend_outcome& outcome) {
    std::string_view text = outcome.first_value;
    if (!outcome.answered || outcome.failed || text.size() < 4 || text[1] != '\t') {
        return std::nullopt;
    }
    probe_result result;
    result.is_primary = text[0] == 'f';
    text.remove_prefix(2);
    if (!take(text, result.timeline) || text.empty() || text.front() != '\t') {
        return std::nullopt;
    }
    text.remove_prefix(1);
    return take(text, result.position) && text.empty() ? std::optional{result} : std::nullopt;
}

backend_target make_probe_target(const settings& config, const server_record& server) {
    return make_target(config, server, default_probe_user);
}

backend_target make_service_target(const settings& config, const server_record& server,
                                   const service_id& service) {
    return make_target(config, server, service.value);
}

} // namespace larchpin
