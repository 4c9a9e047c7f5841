#include "core/statement.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace larchpin {
namespace {

bool is_space(char c) {
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}

bool is_word_char(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.';
}

std::string to_lower(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

// Skips whitespace, "--" and "/* */" comments and opening parentheses.
std::string_view skip_blank(std::string_view text) {
    while (!text.empty()) {
        if (is_space(text.front()) || text.front() == '(') {
            text.remove_prefix(1);
        } else if (text.starts_with("--")) {
            const auto end = text.find('\n');
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        } else if (text.starts_with("/*")) {
            const auto end = text.find("*/");
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 2);
        } else {
            break;
        }
    }
    return text;
}

std::string take_word(std::string_view& text) {
    text = skip_blank(text);
    const auto* end = std::find_if_not(text.begin(), text.end(), is_word_char);
    const auto length = static_cast<std::size_t>(end - text.begin());
    std::string word = to_lower(text.substr(0, length));
    text.remove_prefix(length);
    return word;
}

bool contains_word_pair(std::string_view text, std::string_view first, std::string_view second) {
    std::string_view rest = text;
    std::string previous;
    while (!skip_blank(rest).empty()) {
        std::string word = take_word(rest);
        if (word.empty()) {
            rest = skip_blank(rest);
            rest.remove_prefix(1);
            continue;
        }
        if (previous == first && word == second) {
            return true;
        }
        previous = std::move(word);
    }
    return false;
}

// Returns true for "a; b". A semicolon in a literal also counts; this only routes the statement to the
// primary.
bool has_several_statements(std::string_view text) {
    const auto semicolon = text.find(';');
    return semicolon != std::string_view::npos && !skip_blank(text.substr(semicolon + 1)).empty();
}

template <std::size_t n>
bool is_one_of(const std::string& word, const std::array<std::string_view, n>& words) {
    return std::find(words.begin(), words.end(), word) != words.end();
}

constexpr auto read_keywords =
    std::to_array<std::string_view>({"select", "show", "values", "table", "explain", "with"});
constexpr auto unsupported_words = std::to_array<std::string_view>(
    {"copy", "listen", "unlisten", "load", "prepare", "execute", "deallocate", "declare", "lock"});
constexpr auto unsupported_fragments = std::to_array<std::string_view>(
    {"pg_advisory_lock", "pg_try_advisory_lock", "create temp", "create temporary", "into temp"});

std::string_view trim(std::string_view text) {
    while (!text.empty() && (is_space(text.front()) || text.front() == '=')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (is_space(text.back()) || text.back() == ';')) {
        text.remove_suffix(1);
    }
    return text;
}

std::string unquote(std::string_view text) {
    if (text.size() < 2 || text.front() != '\'' || text.back() != '\'') {
        return std::string(text);
    }
    std::string plain;
    const std::string_view inner = text.substr(1, text.size() - 2);
    for (std::size_t i = 0; i < inner.size(); ++i) {
        plain.push_back(inner[i]);
        if (inner[i] == '\'' && i + 1 < inner.size() && inner[i + 1] == '\'') {
            ++i;
        }
    }
    return plain;
}

} // namespace

statement_kind classify_statement(std::string_view text) {
    std::string_view rest = text;
    const std::string first = take_word(rest);
    if (first.empty()) {
        return skip_blank(text).empty() || skip_blank(text).front() == ';' ? statement_kind::empty
                                                                           : statement_kind::write;
    }
    if (!unsupported_feature(text).empty()) {
        return statement_kind::unsupported;
    }
    if (has_several_statements(text)) {
        return statement_kind::write;
    }
    if (is_one_of(first, read_keywords)) {
        return statement_kind::read_hint;
    }
    if (first == "begin" || first == "start") {
        return contains_word_pair(rest, "read", "only") ? statement_kind::begin_read_only
                                                        : statement_kind::begin;
    }
    if (first == "commit" || first == "end") {
        return statement_kind::commit;
    }
    if (first == "rollback" || first == "abort") {
        std::string_view tail = rest;
        const std::string second = take_word(tail);
        return second == "to" ? statement_kind::write : statement_kind::rollback;
    }
    if (first == "set" || first == "reset") {
        std::string_view tail = rest;
        const std::string second = take_word(tail);
        return second == "transaction" || second == "constraints" ? statement_kind::write
                                                                  : statement_kind::set_session;
    }
    if (first == "discard") {
        return statement_kind::discard;
    }
    return statement_kind::write;
}

bool may_call_functions(std::string_view text) {
    return text.find('(') != std::string_view::npos;
}

std::string_view unsupported_feature(std::string_view text) {
    std::string_view rest = text;
    const std::string first = take_word(rest);
    // The effects of "lock" and "declare" end with the transaction; those of the other words outlive it.
    const auto* word = std::find(unsupported_words.begin(), unsupported_words.end(), first);
    if (word != unsupported_words.end() && first != "lock" && first != "declare") {
        return *word;
    }
    const std::string lower = to_lower(text);
    for (const std::string_view fragment : unsupported_fragments) {
        if (lower.find(fragment) != std::string::npos) {
            return fragment;
        }
    }
    if (first == "declare" && lower.find("with hold") != std::string::npos) {
        return "declare ... with hold";
    }
    return {};
}

setting_change parse_setting(std::string_view text) {
    setting_change change;
    std::string_view rest = text;
    const std::string verb = take_word(rest);
    change.reset = verb == "reset";
    std::string name = take_word(rest);
    if (name == "session" || name == "local") {
        change.local = name == "local";
        name = take_word(rest);
    }
    if (name == "time") { // "set time zone x"
        take_word(rest);
        name = "timezone";
    }
    change.name = name;
    std::string_view value = trim(rest);
    if (value.size() > 2 && to_lower(value.substr(0, 2)) == "to" && is_space(value[2])) {
        value = trim(value.substr(2));
    }
    change.value = unquote(value);
    if (!change.reset && to_lower(change.value) == "default") {
        change.reset = true;
        change.value.clear();
    }
    return change;
}

} // namespace larchpin
