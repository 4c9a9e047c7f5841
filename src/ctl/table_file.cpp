#include "ctl/table_file.hpp"

#include <boost/leaf/error.hpp>

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace larchpin {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t longest_ms = 3'600'000;

std::int64_t to_ms(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::string format_service(const service_entry& s) {
    std::ostringstream out;
    out << "[service.\"" << s.id.value << "\"]\n"
        << "max_connections = " << s.max_connections << "\n"
        << "deadline_ms = " << to_ms(s.deadline) << "\n"
        << "max_staleness_ms = " << to_ms(s.max_staleness) << "\n"
        << "write_safety = " << (s.write_safety ? "true" : "false") << "\n"
        << "background_share = " << s.background_share << "\n";
    return out.str();
}

constexpr std::array<std::string_view, 4> consistency_names{"session", "primary", "bounded", "own_writes"};

std::string format_route(const route_entry& r) {
    std::ostringstream out;
    out << "[route.\"" << r.database << "\"]\n"
        << "group = \"" << r.group.value << "\"\n"
        << "service = \"" << r.service.value << "\"\n"
        << "consistency = \"" << consistency_names.at(static_cast<std::size_t>(r.consistency)) << "\"\n"
        << "max_staleness_ms = " << to_ms(r.max_staleness) << "\n"
        << "statement_timeout_ms = " << to_ms(r.statement_timeout) << "\n"
        << "objective_ms = " << to_ms(r.objective) << "\n"
        << "priority = " << r.priority << "\n"
        << "max_attempts = " << r.max_attempts << "\n";
    return out.str();
}

std::string format_server(const server_entry& s) {
    std::ostringstream out;
    out << "[server.\"" << s.id.value << "\"]\n"
        << "weight = " << s.weight << "\n"
        << "leaving = " << (s.leaving ? "true" : "false") << "\n";
    return out.str();
}

leaf::error_id problem(const std::string& file, const toml::node& node, result_code code,
                       const std::string& key, const std::string& detail) {
    return leaf::new_error(settings_problem{
        .code = code, .file = file, .line = node.source().begin.line, .key = key, .detail = detail});
}

leaf::result<std::int64_t> read_number(const std::string& file, const std::string& key,
                                       const toml::node& node, std::int64_t lowest, std::int64_t highest) {
    const auto value = node.value_exact<std::int64_t>();
    if (!value) {
        return problem(file, node, result_code::settings_wrong_type, key, "takes a whole number");
    }
    if (*value < lowest || *value > highest) {
        return problem(file, node, result_code::settings_out_of_range, key,
                       "takes " + std::to_string(lowest) + " to " + std::to_string(highest));
    }
    return *value;
}

leaf::result<bool> read_flag(const std::string& file, const std::string& key, const toml::node& node) {
    const auto value = node.value_exact<bool>();
    if (!value) {
        return problem(file, node, result_code::settings_wrong_type, key, "takes true or false");
    }
    return *value;
}

leaf::result<void> read_service_key(const std::string& file, const std::string& key, const std::string& name,
                                    const toml::node& node, service_entry& s) {
    if (name == "write_safety") {
        BOOST_LEAF_ASSIGN(s.write_safety, read_flag(file, key, node));
    } else if (name == "max_connections") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 1, 1000));
        s.max_connections = static_cast<unsigned>(v);
    } else if (name == "background_share") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 1, 100));
        s.background_share = static_cast<unsigned>(v);
    } else if (name == "deadline_ms") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 10, longest_ms));
        s.deadline = std::chrono::milliseconds{v};
    } else if (name == "max_staleness_ms") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, longest_ms));
        s.max_staleness = std::chrono::milliseconds{v};
    } else {
        return problem(file, node, result_code::settings_unknown_key, key, "no such key");
    }
    return {};
}

leaf::result<void> read_server_key(const std::string& file, const std::string& key, const std::string& name,
                                   const toml::node& node, server_entry& s) {
    if (name == "leaving") {
        BOOST_LEAF_ASSIGN(s.leaving, read_flag(file, key, node));
    } else if (name == "weight") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, 1000));
        s.weight = static_cast<unsigned>(v);
    } else {
        return problem(file, node, result_code::settings_unknown_key, key, "no such key");
    }
    return {};
}

leaf::result<std::string> read_text(const std::string& file, const std::string& key, const toml::node& node) {
    const auto value = node.value_exact<std::string>();
    if (!value) {
        return problem(file, node, result_code::settings_wrong_type, key, "takes a text");
    }
    return *value;
}

leaf::result<read_consistency> read_consistency_name(const std::string& file, const std::string& key,
                                                     const toml::node& node) {
    BOOST_LEAF_ASSIGN(const std::string name, read_text(file, key, node));
    const auto* found = std::find(consistency_names.begin(), consistency_names.end(), name);
    if (found == consistency_names.end()) {
        return problem(file, node, result_code::settings_out_of_range, key,
                       "takes session, primary, bounded or own_writes");
    }
    return static_cast<read_consistency>(found - consistency_names.begin());
}

leaf::result<void> read_route_key(const std::string& file, const std::string& key, const std::string& name,
                                  const toml::node& node, route_entry& r) {
    if (name == "group") {
        BOOST_LEAF_ASSIGN(r.group.value, read_text(file, key, node));
    } else if (name == "service") {
        BOOST_LEAF_ASSIGN(r.service.value, read_text(file, key, node));
    } else if (name == "consistency") {
        BOOST_LEAF_ASSIGN(r.consistency, read_consistency_name(file, key, node));
    } else if (name == "max_staleness_ms") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, longest_ms));
        r.max_staleness = std::chrono::milliseconds{v};
    } else if (name == "statement_timeout_ms") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 1, longest_ms));
        r.statement_timeout = std::chrono::milliseconds{v};
    } else if (name == "objective_ms") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, longest_ms));
        r.objective = std::chrono::milliseconds{v};
    } else if (name == "priority") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, 1000));
        r.priority = static_cast<unsigned>(v);
    } else if (name == "max_attempts") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 1, 10));
        r.max_attempts = static_cast<unsigned>(v);
    } else {
        return problem(file, node, result_code::settings_unknown_key, key, "no such key");
    }
    return {};
}

void set_name(service_entry& s, std::string_view name) {
    s.id.value = name;
}
void set_name(server_entry& s, std::string_view name) {
    s.id.value = name;
}
void set_name(route_entry& r, std::string_view name) {
    r.database = name;
}

template <typename item, typename reader>
leaf::result<void> read_entries(const std::string& file, const std::string& section, const toml::node& node,
                                std::vector<item>& target, reader read_key) {
    const toml::table* entries = node.as_table();
    if (entries == nullptr) {
        return problem(file, node, result_code::settings_wrong_type, section, "takes tables");
    }
    for (const auto& [name, content] : *entries) {
        const toml::table* keys = content.as_table();
        const std::string path = section + "." + std::string(name.str());
        if (keys == nullptr) {
            return problem(file, content, result_code::settings_wrong_type, path, "takes a table");
        }
        item entry;
        set_name(entry, name.str());
        for (const auto& [key, value] : *keys) {
            const std::string key_name(key.str());
            std::string full = path;
            full.append(".").append(key_name);
            BOOST_LEAF_CHECK(read_key(file, full, key_name, value, entry));
        }
        target.push_back(entry);
    }
    std::sort(target.begin(), target.end());
    return {};
}

std::set<std::string> entry_lines(const table& t) {
    std::set<std::string> lines;
    const auto add = [&lines](const std::string& text) {
        std::istringstream in(text);
        std::string head;
        std::getline(in, head);
        std::string line;
        while (std::getline(in, line)) {
            std::string whole = head;
            lines.insert(whole.append(" ").append(line));
        }
    };
    for (const service_entry& s : t.services) {
        add(format_service(s));
    }
    for (const server_entry& s : t.servers) {
        add(format_server(s));
    }
    for (const route_entry& r : t.routes) {
        add(format_route(r));
    }
    return lines;
}

} // namespace

std::string format_table(const table_file& t) {
    std::string text = "revision = " + std::to_string(t.revision) + " # of the table that this edits\n" +
                       "transaction_idle_ms = " + std::to_string(to_ms(t.content.transaction_idle)) + "\n";
    for (const service_entry& s : t.content.services) {
        text += "\n" + format_service(s);
    }
    for (const server_entry& s : t.content.servers) {
        text += "\n" + format_server(s);
    }
    for (const route_entry& r : t.content.routes) {
        text += "\n" + format_route(r);
    }
    return text;
}

leaf::result<table_file> parse_table(const std::string& text, const std::string& file) {
    const toml::parse_result parsed = toml::parse(text, file);
    if (!parsed) {
        return leaf::new_error(settings_problem{.code = result_code::settings_unreadable,
                                                .file = file,
                                                .line = parsed.error().source().begin.line,
                                                .key = {},
                                                .detail = std::string(parsed.error().description())});
    }
    table_file t;
    for (const auto& [name, node] : parsed.table()) {
        const std::string section(name.str());
        if (section == "revision") {
            BOOST_LEAF_ASSIGN(const auto v,
                              read_number(file, section, node, 0, std::numeric_limits<std::int64_t>::max()));
            t.revision = static_cast<revision_number>(v);
        } else if (section == "service") {
            BOOST_LEAF_CHECK(read_entries(file, section, node, t.content.services, read_service_key));
        } else if (section == "server") {
            BOOST_LEAF_CHECK(read_entries(file, section, node, t.content.servers, read_server_key));
        } else if (section == "route") {
            BOOST_LEAF_CHECK(read_entries(file, section, node, t.content.routes, read_route_key));
        } else if (section == "transaction_idle_ms") {
            BOOST_LEAF_ASSIGN(const auto v, read_number(file, section, node, 0, longest_ms));
            t.content.transaction_idle = std::chrono::milliseconds{v};
        } else {
            return problem(file, node, result_code::settings_unknown_key, section, "no such key");
        }
    }
    return t;
}

std::string diff_tables(const table& before, const table& after) {
    const auto old_lines = entry_lines(before);
    const auto new_lines = entry_lines(after);
    std::string text;
    for (const std::string& line : old_lines) {
        if (!new_lines.contains(line)) {
            text.append("- ").append(line).append("\n");
        }
    }
    for (const std::string& line : new_lines) {
        if (!old_lines.contains(line)) {
            text.append("+ ").append(line).append("\n");
        }
    }
    return text;
}

} // namespace larchpin
