// Settings: see settings.hpp.
//
// Index
//   [reading one key]  [the keys]  [public functions]
#include "io/settings.hpp"

#include "core/cluster_state.hpp"
#include "io/addresses.hpp"

#include <boost/leaf/error.hpp>

#include <toml++/toml.h>

#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <sstream>

namespace larchpin {

namespace leaf = boost::leaf;

namespace {

//-----------------------------------------------------------------------------
// [reading one key]
//-----------------------------------------------------------------------------

struct key_context {
    const std::string& file;
    std::string key; // "section.name"
};

unsigned line_of(const toml::node& node) {
    return node.source().begin.line;
}

settings_problem problem(const key_context& at, const toml::node& node, result_code code,
                         std::string detail) {
    return {.code = code, .file = at.file, .line = line_of(node), .key = at.key, .detail = std::move(detail)};
}

leaf::result<void> read_text(const key_context& at, const toml::node& node, std::string& target) {
    const auto value = node.value_exact<std::string>();
    if (!value) {
        return leaf::new_error(problem(at, node, result_code::settings_wrong_type, "takes a text"));
    }
    target = *value;
    return {};
}

leaf::result<void> read_address(const key_context& at, const toml::node& node, std::string& target) {
    BOOST_LEAF_CHECK(read_text(at, node, target));
    if (!parse_endpoint(target)) {
        return leaf::new_error(problem(at, node, result_code::settings_out_of_range, "takes \"ip:port\""));
    }
    return {};
}

leaf::result<void> read_flag(const key_context& at, const toml::node& node, bool& target) {
    const auto value = node.value_exact<bool>();
    if (!value) {
        return leaf::new_error(problem(at, node, result_code::settings_wrong_type, "takes true or false"));
    }
    target = *value;
    return {};
}

struct number_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

leaf::result<std::int64_t> read_number(const key_context& at, const toml::node& node,
                                       const number_range& range) {
    const auto value = node.value_exact<std::int64_t>();
    if (!value) {
        return leaf::new_error(problem(at, node, result_code::settings_wrong_type, "takes a whole number"));
    }
    if (*value < range.lowest || *value > range.highest) {
        return leaf::new_error(
            problem(at, node, result_code::settings_out_of_range,
                    "takes " + std::to_string(range.lowest) + " to " + std::to_string(range.highest)));
    }
    return *value;
}

leaf::result<void> read_count(const key_context& at, const toml::node& node, const number_range& range,
                              unsigned& target) {
    BOOST_LEAF_ASSIGN(const std::int64_t value, read_number(at, node, range));
    target = static_cast<unsigned>(value);
    return {};
}

// A part of a whole, 0 to 1.
leaf::result<void> read_part(const key_context& at, const toml::node& node, double& target) {
    const auto value = node.value<double>();
    if (!value) {
        return leaf::new_error(problem(at, node, result_code::settings_wrong_type, "takes a number"));
    }
    if (!(*value >= 0 && *value <= 1)) {
        return leaf::new_error(problem(at, node, result_code::settings_out_of_range, "takes 0 to 1"));
    }
    target = *value;
    return {};
}

leaf::result<void> read_ms(const key_context& at, const toml::node& node, const number_range& range,
                           duration& target) {
    BOOST_LEAF_ASSIGN(const std::int64_t value, read_number(at, node, range));
    target = std::chrono::milliseconds{value};
    return {};
}

// Of a list with mistakes so many are told, each cut to so many characters.
constexpr std::size_t max_told_entries = 8;
constexpr std::size_t max_told_length = 64;

std::string describe_bad_address(const key_context& at, const toml::node& item) {
    const std::string text = item.value_exact<std::string>().value_or("an entry of another type");
    return to_string(problem(at, item, result_code::settings_out_of_range,
                             "ignored, takes \"ip:port\": " + text.substr(0, max_told_length)));
}

leaf::result<void> read_addresses(const key_context& at, const toml::node& node, settings& s) {
    const toml::array* list = node.as_array();
    if (list == nullptr) {
        return leaf::new_error(
            problem(at, node, result_code::settings_wrong_type, "takes a list of \"ip:port\""));
    }
    for (const toml::node& item : *list) {
        const std::string address = item.value_exact<std::string>().value_or("");
        if (parse_endpoint(address)) {
            s.control_addresses.push_back(address);
        } else if (s.ignored_addresses.size() < max_told_entries) {
            s.ignored_addresses.push_back(describe_bad_address(at, item));
        }
    }
    if (s.control_addresses.empty() && !list->empty()) {
        return leaf::new_error(
            problem(at, node, result_code::settings_out_of_range, "takes \"ip:port\", and no entry is one"));
    }
    return {};
}

leaf::result<void> read_level(const key_context& at, const toml::node& node, severity& target) {
    std::string name;
    BOOST_LEAF_CHECK(read_text(at, node, name));
    static const std::map<std::string, severity> levels{{"debug", severity::debug},
                                                        {"info", severity::info},
                                                        {"warning", severity::warning},
                                                        {"error", severity::error}};
    const auto found = levels.find(name);
    if (found == levels.end()) {
        return leaf::new_error(
            problem(at, node, result_code::settings_out_of_range, "takes debug, info, warning or error"));
    }
    target = found->second;
    return {};
}

//-----------------------------------------------------------------------------
// [the keys]
//-----------------------------------------------------------------------------

// Belongs to what the daemon is built into, and is read there.
constexpr std::string_view foreign_section = "platform";

using key_reader = std::function<leaf::result<void>(const key_context&, const toml::node&, settings&)>;

key_reader text(std::string settings::*member) {
    return [member](const auto& at, const auto& node, settings& s) { return read_text(at, node, s.*member); };
}
key_reader address(std::string settings::*member) {
    return
        [member](const auto& at, const auto& node, settings& s) { return read_address(at, node, s.*member); };
}
key_reader count(unsigned settings::*member, number_range range) {
    return [member, range](const auto& at, const auto& node, settings& s) {
        return read_count(at, node, range, s.*member);
    };
}
key_reader milliseconds(duration settings::*member, number_range range) {
    return [member, range](const auto& at, const auto& node, settings& s) {
        return read_ms(at, node, range, s.*member);
    };
}

const std::map<std::string, key_reader>& readers() {
    static const std::map<std::string, key_reader> all{
        {"instance.id",
         [](const auto& at, const auto& n, settings& s) { return read_text(at, n, s.id.value); }},
        {"instance.failure_domain",
         [](const auto& at, const auto& n, settings& s) { return read_text(at, n, s.domain.value); }},
        {"instance.region", text(&settings::region)},
        {"entry.listen", address(&settings::entry_listen)},
        {"entry.max_clients", count(&settings::max_clients, {1, 100'000})},
        {"entry.drain_ms", milliseconds(&settings::drain_time, {0, 600'000})},
        {"entry.drain_notice_ms", milliseconds(&settings::drain_notice, {0, 600'000})},
        {"entry.close_without_lease",
         [](const auto& at, const auto& n, settings& s) { return read_flag(at, n, s.close_without_lease); }},
        {"entry.tls_certificate", text(&settings::tls_certificate)},
        {"entry.tls_key", text(&settings::tls_key)},
        {"peer.listen", address(&settings::peer_listen)},
        {"peer.address", address(&settings::peer_address)},
        {"peer.key_file", text(&settings::key_file)},
        {"peer.old_key_file", text(&settings::old_key_file)},
        {"control.member",
         [](const auto& at, const auto& n, settings& s) { return read_flag(at, n, s.control_member); }},
        {"control.addresses",
         [](const auto& at, const auto& n, settings& s) { return read_addresses(at, n, s); }},
        {"control.port", count(&settings::control_port, {0, 65'535})},
        {"control.found",
         [](const auto& at, const auto& n, settings& s) { return read_flag(at, n, s.founds_cluster); }},
        {"control.data_folder", text(&settings::data_folder)},
        {"control.lease_ms", milliseconds(&settings::lease, {200, 60'000})},
        {"control.heartbeat_ms", milliseconds(&settings::heartbeat, {10, 5'000})},
        {"control.election_ms", milliseconds(&settings::election, {50, 30'000})},
        {"control.tolerated_losses", count(&settings::tolerated_losses, {0, 4})},
        {"control.snapshot_entries", count(&settings::snapshot_entries, {16, 1'000'000})},
        {"limits.window_ms",
         [](const auto& at, const auto& n, settings& s) {
             return read_ms(at, n, {100, 3'600'000}, s.rates.window);
         }},
        {"limits.overshoot",
         [](const auto& at, const auto& n, settings& s) { return read_part(at, n, s.rates.overshoot); }},
        {"limits.tolerance",
         [](const auto& at, const auto& n, settings& s) {
             return read_count(at, n, {0, 1'000'000}, s.rates.tolerance);
         }},
        {"backend.user", text(&settings::backend_user)},
        {"backend.password_file", text(&settings::backend_password_file)},
        {"backend.kept_connections", count(&settings::kept_connections, {0, 100})},
        {"backend.order_statements",
         [](const auto& at, const auto& n, settings& s) { return read_flag(at, n, s.order_statements); }},
        {"backend.slots", count(&settings::slots, {1, max_server_slots})},
        {"backend.probe_ms", milliseconds(&settings::probe_interval, {10, 10'000})},
        {"backend.detect_ms", milliseconds(&settings::detect_time, {50, 60'000})},
        {"backend.leave_ms", milliseconds(&settings::leave_time, {1'000, 3'600'000})},
        {"log.level",
         [](const auto& at, const auto& n, settings& s) { return read_level(at, n, s.log_level); }},
    };
    return all;
}

leaf::result<void> read_section(const std::string& file, const std::string& section, const toml::table& keys,
                                settings& s) {
    for (const auto& [name, node] : keys) {
        const key_context at{.file = file, .key = section + "." + std::string(name.str())};
        const auto reader = readers().find(at.key);
        if (reader == readers().end()) {
            return leaf::new_error(problem(at, node, result_code::settings_unknown_key, "no such key"));
        }
        BOOST_LEAF_CHECK(reader->second(at, node, s));
    }
    return {};
}

leaf::error_id missing(const std::string& file, const std::string& key, const std::string& why) {
    return leaf::new_error(settings_problem{
        .code = result_code::settings_missing_key, .file = file, .line = 0, .key = key, .detail = why});
}

leaf::result<void> check_whole(const std::string& file, const settings& s) {
    if (s.id.value.empty()) {
        return missing(file, "instance.id", "names this instance");
    }
    if (s.domain.value.empty()) {
        return missing(file, "instance.failure_domain", "names the part of the site that fails together");
    }
    if (s.key_file.empty()) {
        return missing(file, "peer.key_file", "holds the key that all our processes share");
    }
    if (s.control_addresses.empty()) {
        return missing(file, "control.addresses", "lists the peer addresses of the control instances");
    }
    if (s.control_member && s.data_folder.empty()) {
        return missing(file, "control.data_folder", "is needed where control.member is true");
    }
    const bool half_tls = s.tls_certificate.empty() != s.tls_key.empty();
    if (half_tls) {
        return missing(file, s.tls_key.empty() ? "entry.tls_key" : "entry.tls_certificate",
                       "the two go together");
    }
    if (s.heartbeat * 3 > s.election) {
        return leaf::new_error(settings_problem{.code = result_code::settings_out_of_range,
                                                .file = file,
                                                .line = 0,
                                                .key = "control.heartbeat_ms",
                                                .detail = "takes at most a third of control.election_ms"});
    }
    return {};
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

leaf::result<settings> parse_settings(const std::string& text, const std::string& file) {
    const toml::parse_result parsed = toml::parse(text, file);
    if (!parsed) {
        return leaf::new_error(settings_problem{.code = result_code::settings_unreadable,
                                                .file = file,
                                                .line = parsed.error().source().begin.line,
                                                .key = {},
                                                .detail = std::string(parsed.error().description())});
    }
    settings s;
    for (const auto& [name, node] : parsed.table()) {
        const std::string section(name.str());
        const toml::table* keys = node.as_table();
        if (keys == nullptr) {
            const key_context at{.file = file, .key = section};
            return leaf::new_error(problem(at, node, result_code::settings_unknown_key, "no such key"));
        }
        if (section != foreign_section) {
            BOOST_LEAF_CHECK(read_section(file, section, *keys, s));
        }
    }
    BOOST_LEAF_CHECK(check_whole(file, s));
    if (s.control_port != 0) {
        for (std::string& address : s.control_addresses) {
            address = address.substr(0, address.rfind(':') + 1) + std::to_string(s.control_port);
        }
    }
    if (s.peer_address.empty()) {
        s.peer_address = s.peer_listen;
    }
    return s;
}

std::optional<std::string> read_settings_text(const std::string& file) {
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return stream ? std::optional{text.str()} : std::nullopt;
}

leaf::result<settings> load_settings(const std::string& file) {
    const auto text = read_settings_text(file);
    if (!text) {
        return leaf::new_error(settings_problem{.code = result_code::settings_unreadable,
                                                .file = file,
                                                .line = 0,
                                                .key = {},
                                                .detail = "cannot be read"});
    }
    return parse_settings(*text, file);
}

leaf::result<void> check_for_start(const settings& s, const std::string& file) {
    if (s.founds_cluster && !s.ignored_addresses.empty()) {
        return leaf::new_error(
            settings_problem{.code = result_code::settings_out_of_range,
                             .file = file,
                             .line = 0,
                             .key = "control.addresses",
                             .detail = "names all founders, and has an entry that is no \"ip:port\""});
    }
    return {};
}

void log_ignored_addresses(const settings& s) {
    for (const std::string& line : s.ignored_addresses) {
        log_failure("settings_entry_ignored", result_code::settings_out_of_range, {{"why", line}});
    }
}

std::string to_string(const settings_problem& p) {
    std::string line = p.file;
    if (p.line > 0) {
        line += ":" + std::to_string(p.line);
    }
    line += ": ";
    if (!p.key.empty()) {
        line += p.key + ": ";
    }
    const auto number = std::to_string(static_cast<unsigned>(p.code));
    return line + p.detail + " [" + number + " " + std::string(describe(p.code).name) + "]";
}

} // namespace larchpin
