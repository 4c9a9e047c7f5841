#include "ctl/table_file.hpp"

#include "io/auth.hpp"

#include <boost/leaf/error.hpp>

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
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

std::string format_group(const group_entry& g) {
    std::ostringstream out;
    out << "[group.\"" << g.id.value << "\"]\n"
        << "sync_replicas = " << g.sync_replicas << "\n";
    return out.str();
}

constexpr std::array<std::string_view, 4> consistency_names{"session", "primary", "bounded", "own_writes"};

std::string format_route(const route_entry& r) {
    std::ostringstream out;
    out << "[route.\"" << r.database << "\"]\n"
        << "group = \"" << r.group.value << "\"\n"
        << "service = \"" << r.service.value << "\"\n"
        << "consistency = \"" << consistency_names.at(static_cast<std::size_t>(r.consistency)) << "\"\n"
        << (r.max_staleness ? "max_staleness_ms = " + std::to_string(to_ms(*r.max_staleness)) + "\n" : "")
        << "statement_timeout_ms = " << to_ms(r.statement_timeout) << "\n"
        << "objective_ms = " << to_ms(r.latency_objective) << "\n"
        << "priority = " << r.priority << "\n"
        << "max_attempts = " << r.max_attempts << "\n"
        << "public = " << (r.is_public ? "true" : "false") << "\n";
    return out.str();
}

// A workspace with its keys, as one section of the file.
struct workspace_section {
    workspace_entry entry;
    std::vector<std::string> digests;
    auto operator<=>(const workspace_section&) const = default;
};

std::vector<workspace_section> sections_of(const table& t) {
    std::vector<workspace_section> sections;
    for (const workspace_entry& w : t.workspaces) {
        workspace_section section{.entry = w, .digests = {}};
        for (const workspace_key& k : t.keys) {
            if (k.workspace == w.id) {
                section.digests.push_back(k.digest);
            }
        }
        sections.push_back(std::move(section));
    }
    return sections;
}

std::string format_workspace(const workspace_section& w) {
    std::ostringstream out;
    out << "[workspace.\"" << w.entry.id.value << "\"]\n"
        << "priority = " << w.entry.priority << "\n"
        << "rate = " << w.entry.rate << "\n"
        << "burst = " << w.entry.burst << "\n"
        << "key_digests = [";
    for (std::size_t i = 0; i < w.digests.size(); ++i) {
        out << (i == 0 ? "\"" : ", \"") << to_hex(w.digests[i]) << "\"";
    }
    out << "]\n";
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

leaf::result<void> read_group_key(const std::string& file, const std::string& key, const std::string& name,
                                  const toml::node& node, group_entry& g) {
    if (name != "sync_replicas") {
        return problem(file, node, result_code::settings_unknown_key, key, "no such key");
    }
    BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, 100));
    g.sync_replicas = static_cast<unsigned>(v);
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
        r.latency_objective = std::chrono::milliseconds{v};
    } else if (name == "priority") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, 1000));
        r.priority = static_cast<unsigned>(v);
    } else if (name == "public") {
        BOOST_LEAF_ASSIGN(r.is_public, read_flag(file, key, node));
    } else if (name == "max_attempts") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 1, 10));
        r.max_attempts = static_cast<unsigned>(v);
    } else {
        return problem(file, node, result_code::settings_unknown_key, key, "no such key");
    }
    return {};
}

// SHA-256 in 64 hexadecimal digits; empty where the text is none.
std::string from_hex(const std::string& text) {
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        unsigned byte = 0;
        const char* end = text.data() + i + 2;
        const auto result = std::from_chars(text.data() + i, end, byte, base);
        if (result.ec != std::errc{} || result.ptr != end) {
            return {};
        }
        bytes.push_back(static_cast<char>(byte));
    }
    return text.size() == 2 * key_digest_bytes ? bytes : std::string{};
}

// Errors never show a key: whoever reads them may not know it.
leaf::result<void> read_keys(const std::string& file, const std::string& key, const toml::node& node,
                             bool as_digests, workspace_section& w) {
    const toml::array* list = node.as_array();
    if (list == nullptr) {
        return problem(file, node, result_code::settings_wrong_type, key, "takes a list of texts");
    }
    for (const toml::node& item : *list) {
        BOOST_LEAF_ASSIGN(const std::string text, read_text(file, key, item));
        const std::string digest = as_digests ? from_hex(text) : digest_key(text);
        if (text.empty() || digest.empty()) {
            return problem(file, item, result_code::settings_out_of_range, key,
                           as_digests ? "takes SHA-256 digests, 64 hexadecimal digits each"
                                      : "takes keys of one character or more");
        }
        w.digests.push_back(digest);
    }
    return {};
}

leaf::result<void> read_workspace_key(const std::string& file, const std::string& key,
                                      const std::string& name, const toml::node& node, workspace_section& w) {
    constexpr std::int64_t most = 1'000'000;
    if (name == "priority") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, 1000));
        w.entry.priority = static_cast<unsigned>(v);
    } else if (name == "rate") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, most));
        w.entry.rate = static_cast<unsigned>(v);
    } else if (name == "burst") {
        BOOST_LEAF_ASSIGN(const auto v, read_number(file, key, node, 0, most));
        w.entry.burst = static_cast<unsigned>(v);
    } else if (name == "key_digests" || name == "keys") {
        BOOST_LEAF_CHECK(read_keys(file, key, node, name == "key_digests", w));
    } else {
        return problem(file, node, result_code::settings_unknown_key, key, "no such key");
    }
    return {};
}

void set_name(workspace_section& w, std::string_view name) {
    w.entry.id.value = name;
}
void set_name(service_entry& s, std::string_view name) {
    s.id.value = name;
}
void set_name(server_entry& s, std::string_view name) {
    s.id.value = name;
}
void set_name(group_entry& g, std::string_view name) {
    g.id.value = name;
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

leaf::result<void> read_workspaces(const std::string& file, const std::string& section,
                                   const toml::node& node, table& t) {
    std::vector<workspace_section> sections;
    BOOST_LEAF_CHECK(read_entries(file, section, node, sections, read_workspace_key));
    for (const workspace_section& w : sections) {
        t.workspaces.push_back(w.entry);
        for (const std::string& digest : w.digests) {
            t.keys.push_back({.digest = digest, .workspace = w.entry.id});
        }
    }
    std::sort(t.keys.begin(), t.keys.end());
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
    for (const group_entry& g : t.groups) {
        add(format_group(g));
    }
    for (const server_entry& s : t.servers) {
        add(format_server(s));
    }
    for (const route_entry& r : t.routes) {
        add(format_route(r));
    }
    for (const workspace_section& w : sections_of(t)) {
        add(format_workspace(w));
    }
    return lines;
}

} // namespace

std::string format_table(const table_file& t) {
    std::string text = "revision = " + std::to_string(t.revision) + " # of the table that this edits\n" +
                       "transaction_idle_ms = " + std::to_string(to_ms(t.content.transaction_idle_timeout)) +
                       "\n" + "needs_key = " + (t.content.requires_key ? "true" : "false") + "\n";
    for (const service_entry& s : t.content.services) {
        text += "\n" + format_service(s);
    }
    for (const group_entry& g : t.content.groups) {
        text += "\n" + format_group(g);
    }
    for (const server_entry& s : t.content.servers) {
        text += "\n" + format_server(s);
    }
    for (const route_entry& r : t.content.routes) {
        text += "\n" + format_route(r);
    }
    for (const workspace_section& w : sections_of(t.content)) {
        text += "\n" + format_workspace(w);
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
        } else if (section == "group") {
            BOOST_LEAF_CHECK(read_entries(file, section, node, t.content.groups, read_group_key));
        } else if (section == "server") {
            BOOST_LEAF_CHECK(read_entries(file, section, node, t.content.servers, read_server_key));
        } else if (section == "route") {
            BOOST_LEAF_CHECK(read_entries(file, section, node, t.content.routes, read_route_key));
        } else if (section == "workspace") {
            BOOST_LEAF_CHECK(read_workspaces(file, section, node, t.content));
        } else if (section == "needs_key") {
            BOOST_LEAF_ASSIGN(t.content.requires_key, read_flag(file, section, node));
        } else if (section == "transaction_idle_ms") {
            BOOST_LEAF_ASSIGN(const auto v, read_number(file, section, node, 0, longest_ms));
            t.content.transaction_idle_timeout = std::chrono::milliseconds{v};
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
