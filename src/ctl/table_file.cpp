#include "ctl/table_file.hpp"

#include <boost/leaf/error.hpp>

#include <toml++/toml.h>

#include <algorithm>
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
        entry.id.value = std::string(name.str());
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
    return lines;
}

} // namespace

std::string format_table(const table_file& t) {
    std::string text = "revision = " + std::to_string(t.revision) + " # of the table that this edits\n";
    for (const service_entry& s : t.content.services) {
        text += "\n" + format_service(s);
    }
    for (const server_entry& s : t.content.servers) {
        text += "\n" + format_server(s);
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
