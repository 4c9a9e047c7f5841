// Index: [log]  [words]  [statements]  [public functions]
#include "store.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace larchpin::standin {
namespace {

constexpr std::uint64_t first_position = 0x1000;
constexpr std::uint64_t bytes_per_change = 64;

//-----------------------------------------------------------------------------
// [log]
//-----------------------------------------------------------------------------

std::uint64_t mix(std::uint64_t h, const std::string& text) {
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const char c : text) {
        h = (h ^ static_cast<unsigned char>(c)) * prime;
    }
    return (h ^ 0xffU) * prime;
}

std::uint64_t hash_record(std::uint64_t before, std::uint64_t timeline, const std::vector<change>& changes) {
    std::uint64_t h = mix(before + timeline, "");
    for (const change& c : changes) {
        h = mix(mix(mix(h, c.table), c.key), c.value.value_or("\1"));
    }
    return h;
}

void put_field(std::string& out, const std::string& text) {
    out += std::to_string(text.size()) + ":" + text;
}

bool take_number(std::string_view& in, std::uint64_t& value) {
    const auto result = std::from_chars(in.data(), in.data() + in.size(), value);
    if (result.ec != std::errc{} || result.ptr == in.data() + in.size()) {
        return false;
    }
    in.remove_prefix(static_cast<std::size_t>(result.ptr - in.data()) + 1);
    return true;
}

bool take_field(std::string_view& in, std::string& text) {
    std::uint64_t length = 0;
    if (!take_number(in, length) || length > in.size()) {
        return false;
    }
    text = in.substr(0, length);
    in.remove_prefix(length);
    return true;
}

//-----------------------------------------------------------------------------
// [words]
//-----------------------------------------------------------------------------

struct word {
    std::string text; // lower case unless quoted
    bool quoted = false;
};

std::vector<word> split_words(const std::string& sql,
                              const std::vector<std::optional<std::string>>& parameters) {
    std::vector<word> words;
    std::size_t i = 0;
    while (i < sql.size()) {
        const char c = sql[i];
        if (sql.compare(i, 2, "/*") == 0) {
            const auto end = sql.find("*/", i);
            i = end == std::string::npos ? sql.size() : end + 2;
        } else if (c == '\'') {
            word w{.text = {}, .quoted = true};
            for (++i; i < sql.size() && (sql[i] != '\'' || (i + 1 < sql.size() && sql[i + 1] == '\'')); ++i) {
                w.text.push_back(sql[i]);
                i += sql[i] == '\'' ? 1 : 0;
            }
            ++i;
            words.push_back(w);
        } else if (c == '$') {
            std::size_t end = i + 1;
            while (end < sql.size() && std::isdigit(static_cast<unsigned char>(sql[end])) != 0) {
                ++end;
            }
            const auto n = static_cast<std::size_t>(std::atoi(sql.substr(i + 1, end - i - 1).c_str()));
            const bool known = n >= 1 && n <= parameters.size() && parameters[n - 1];
            words.push_back({.text = known ? *parameters[n - 1] : "", .quoted = true});
            i = end;
        } else if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.') {
            word w;
            while (i < sql.size() && (std::isalnum(static_cast<unsigned char>(sql[i])) != 0 ||
                                      sql[i] == '_' || sql[i] == '.')) {
                w.text.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(sql[i++]))));
            }
            words.push_back(w);
        } else {
            if (std::isspace(static_cast<unsigned char>(c)) == 0 && c != ';') {
                words.push_back({.text = std::string(1, c), .quoted = false});
            }
            ++i;
        }
    }
    return words;
}

// Words without punctuation: "insert into t (key, value) values ('a', 'b')" as a flat list.
std::vector<word> plain_words(const std::vector<word>& words) {
    std::vector<word> plain;
    for (const word& w : words) {
        const bool punctuation = !w.quoted && w.text.size() == 1 &&
                                 std::ispunct(static_cast<unsigned char>(w.text[0])) != 0 && w.text != "+";
        if (!punctuation) {
            plain.push_back(w);
        }
    }
    return plain;
}

std::string at(const std::vector<word>& words, std::size_t i) {
    return i < words.size() ? words[i].text : std::string{};
}

std::size_t find_word(const std::vector<word>& words, const std::string& text) {
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (!words[i].quoted && words[i].text == text) {
            return i;
        }
    }
    return words.size();
}

//-----------------------------------------------------------------------------
// [statements]
//-----------------------------------------------------------------------------

sql_result fail(const std::string& state, const std::string& text) {
    sql_result r;
    r.error_state = state;
    r.error_text = text;
    return r;
}

sql_result done(const std::string& tag) {
    sql_result r;
    r.tag = tag;
    return r;
}

sql_result one_value(const std::string& column, const std::string& value) {
    sql_result r;
    r.columns = {column};
    r.rows = {{value}};
    r.tag = "SELECT 1";
    return r;
}

std::optional<std::string> read_value(const store& s, const transaction& t, const std::string& table,
                                      const std::string& key) {
    const auto own = std::find_if(t.changes.rbegin(), t.changes.rend(),
                                  [&](const change& c) { return c.table == table && c.key == key; });
    if (own != t.changes.rend()) {
        return own->value;
    }
    const auto found = s.tables.find(table);
    if (found == s.tables.end()) {
        return std::nullopt;
    }
    const auto row = found->second.find(key);
    return row == found->second.end() ? std::nullopt : std::optional{row->second};
}

bool lock_row(store& s, const transaction& t, const std::string& table, const std::string& key) {
    const auto [place, first] = s.locks.emplace(table + '\0' + key, t.session);
    return first || place->second == t.session;
}

sql_result write_row(store& s, transaction& t, const change& c, const std::string& tag) {
    t.changes.push_back(c);
    if (!t.open) {
        append_commit(s, t.changes);
        end_transaction(s, t);
    }
    return done(tag);
}

// Returns an error or "blocked" where the row may not be written now.
std::optional<sql_result> refuse_write(store& s, const transaction& t, const std::string& table,
                                       const std::string& key) {
    if (!s.is_primary || t.read_only) {
        return fail("25006", "cannot write in a read-only transaction");
    }
    if (!lock_row(s, t, table, key)) {
        sql_result r;
        r.blocked = true;
        return r;
    }
    return std::nullopt;
}

sql_result run_insert(store& s, transaction& t, const std::vector<word>& words) {
    const std::size_t values = find_word(words, "values");
    const std::string table = at(words, 2);
    const std::string key = at(words, values + 1);
    if (auto refused = refuse_write(s, t, table, key)) {
        return *refused;
    }
    if (read_value(s, t, table, key)) {
        if (!t.open) {
            end_transaction(s, t);
        }
        return fail("23505", "duplicate key value violates unique constraint");
    }
    return write_row(s, t, {.table = table, .key = key, .value = at(words, values + 2)}, "INSERT 0 1");
}

sql_result run_update(store& s, transaction& t, const std::vector<word>& words) {
    const std::string table = at(words, 1);
    const std::size_t where = find_word(words, "where");
    const std::string key = at(words, where + 2);
    if (auto refused = refuse_write(s, t, table, key)) {
        return *refused;
    }
    const auto before = read_value(s, t, table, key);
    if (!before) {
        if (!t.open) {
            end_transaction(s, t);
        }
        return done("UPDATE 0");
    }
    const std::size_t plus = find_word(words, "+");
    std::string value = at(words, find_word(words, "set") + 2);
    if (plus < words.size()) {
        value = std::to_string(std::atoll(before->c_str()) + std::atoll(at(words, plus + 1).c_str()));
    }
    return write_row(s, t, {.table = table, .key = key, .value = value}, "UPDATE 1");
}

sql_result run_delete(store& s, transaction& t, const std::vector<word>& words) {
    const std::string table = at(words, 2);
    const std::string key = at(words, find_word(words, "where") + 2);
    if (auto refused = refuse_write(s, t, table, key)) {
        return *refused;
    }
    return write_row(s, t, {.table = table, .key = key, .value = std::nullopt}, "DELETE 1");
}

sql_result run_probe(const store& s) {
    sql_result r;
    r.columns = {"pg_is_in_recovery", "timeline", "position"};
    r.rows = {{s.is_primary ? "f" : "t", std::to_string(s.timeline), std::to_string(position_of(s))}};
    r.tag = "SELECT 1";
    return r;
}

sql_result run_start(const store& s) {
    sql_result r;
    r.columns = {"started"};
    r.rows = {{std::to_string(s.started)}};
    r.tag = "SELECT 1";
    return r;
}

sql_result run_table_select(const store& s, const transaction& t, const std::vector<word>& words,
                            std::size_t from) {
    const std::string table = at(words, from + 1);
    const std::size_t where = find_word(words, "where");
    sql_result r;
    const auto found = s.tables.find(table);
    const keyed_table empty;
    const keyed_table& rows = found == s.tables.end() ? empty : found->second;
    if (at(words, 1) == "count") {
        return one_value("count", std::to_string(rows.size()));
    }
    if (where < words.size()) {
        r.columns = {"value"};
        if (const auto value = read_value(s, t, table, at(words, where + 2))) {
            r.rows = {{*value}};
        }
    } else {
        r.columns = {"key", "value"};
        for (const auto& [key, value] : rows) {
            r.rows.push_back({key, value});
        }
    }
    r.tag = "SELECT " + std::to_string(r.rows.size());
    return r;
}

sql_result run_select(store& s, transaction& t, const std::vector<word>& words) {
    const std::string what = at(words, 1);
    if (find_word(words, "update") < words.size() && !s.is_primary) {
        return fail("25006", "cannot execute SELECT FOR UPDATE in a read-only transaction");
    }
    const std::size_t from = find_word(words, "from");
    if (from < words.size() && what != "pg_promote") {
        return run_table_select(s, t, words, from);
    }
    if (what == "pg_promote") {
        const bool promotes = !s.is_primary && words.back().text == std::to_string(s.timeline);
        sql_result r = one_value("pg_promote", promotes ? "t" : "f");
        r.promote = promotes;
        return r;
    }
    if (what == "pg_sleep") {
        sql_result r = one_value("pg_sleep", "");
        r.sleep_seconds = std::atof(at(words, 2).c_str());
        return r;
    }
    if (what == "generate_series") {
        sql_result r;
        r.columns = {"generate_series"};
        r.rows_generated = std::strtoull(at(words, 3).c_str(), nullptr, 10);
        r.tag = "SELECT " + std::to_string(r.rows_generated);
        return r;
    }
    if (what == "pg_is_in_recovery") {
        return one_value(what, s.is_primary ? "f" : "t");
    }
    if (what == "write_value") { // a function that writes: refused by a replica
        if (auto refused = refuse_write(s, t, at(words, 2), at(words, 3))) {
            return *refused;
        }
        write_row(s, t, {.table = at(words, 2), .key = at(words, 3), .value = at(words, 4)}, "SELECT 1");
        return one_value(what, at(words, 4));
    }
    return one_value("?column?", what);
}

sql_result run_transaction_word(store& s, transaction& t, const std::vector<word>& words) {
    const std::string first = at(words, 0);
    if (first == "begin" || first == "start") {
        t.open = true;
        t.read_only = find_word(words, "only") < words.size();
        return done("BEGIN");
    }
    const bool commits = (first == "commit" || first == "end") && !t.failed;
    if (commits && !t.changes.empty()) {
        if (!s.is_primary) {
            end_transaction(s, t);
            return fail("25006", "this server is a replica now");
        }
        append_commit(s, t.changes);
    }
    end_transaction(s, t);
    return done(commits ? "COMMIT" : "ROLLBACK");
}

sql_result dispatch(store& s, transaction& t, const std::string& text, const std::vector<word>& words) {
    const std::string first = at(words, 0);
    if (text.starts_with("/* larchpin probe */")) {
        return run_probe(s);
    }
    if (text.starts_with("/* larchpin start */")) {
        return run_start(s);
    }
    if (first == "begin" || first == "start" || first == "commit" || first == "end" || first == "rollback") {
        return run_transaction_word(s, t, words);
    }
    if (t.failed) {
        return fail("25P02", "current transaction is aborted");
    }
    if (first == "select") {
        return run_select(s, t, words);
    }
    if (first == "insert") {
        return run_insert(s, t, words);
    }
    if (first == "update") {
        return run_update(s, t, words);
    }
    if (first == "delete") {
        return run_delete(s, t, words);
    }
    if (first == "standin") {
        sql_result r = done("SET");
        const bool sets = at(words, 1) == "set"; // else "standin peak USER" or "standin work USER"
        r.setting = at(words, sets ? 2 : 1);
        r.setting_value = at(words, sets ? 3 : 2);
        return r;
    }
    if (first == "show") {
        return one_value(at(words, 1), s.is_primary ? "off" : "on");
    }
    if (first == "set" || first == "reset" || first == "discard" || first == "create" ||
        first == "savepoint") {
        std::string tag = first;
        std::transform(tag.begin(), tag.end(), tag.begin(),
                       [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
        return done(first == "create" ? "CREATE TABLE" : tag);
    }
    return fail("42601", "the stand-in does not know this statement");
}

//-----------------------------------------------------------------------------
// [the disk]
//-----------------------------------------------------------------------------

constexpr char kept_commit = 'w';
constexpr char kept_timeline = 't';
constexpr char kept_end_of_log = 'x'; // what came before counts no more

struct kept_entry {
    char kind = kept_commit;
    std::string body;
};

// In one write each, which a killed process has left to the system as a whole.
void keep(store& s, char kind, const std::string& body) {
    if (s.disk != nullptr) {
        *s.disk << kind << body.size() << '\n' << body << std::flush;
    }
}

std::optional<kept_entry> read_kept(std::istream& in) {
    kept_entry e;
    std::size_t length = 0;
    if (!in.get(e.kind) || !(in >> length) || in.get() != '\n') {
        return std::nullopt;
    }
    e.body.resize(length);
    in.read(e.body.data(), static_cast<std::streamsize>(length));
    return in ? std::optional(e) : std::nullopt;
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

std::uint64_t position_of(const store& s) {
    return s.log.empty() ? first_position : s.log.back().position;
}

bool open_disk(store& s, const std::string& file, std::ofstream& disk) {
    std::ifstream before(file, std::ios::binary);
    while (const auto kept = read_kept(before)) {
        if (kept->kind == kept_commit) {
            if (const auto r = decode_commit(kept->body)) {
                apply_record(s, *r);
            }
        } else if (kept->kind == kept_timeline) {
            s.timeline = std::stoull(kept->body);
        } else {
            clear_store(s);
        }
    }
    disk.open(file, std::ios::binary | std::ios::app);
    s.disk = &disk;
    return disk.is_open();
}

void set_timeline(store& s, std::uint64_t timeline) {
    s.timeline = timeline;
    keep(s, kept_timeline, std::to_string(timeline));
}

void apply_record(store& s, const commit_record& r) {
    keep(s, kept_commit, encode_commit(r));
    for (const change& c : r.changes) {
        if (c.value) {
            s.tables[c.table][c.key] = *c.value;
        } else {
            s.tables[c.table].erase(c.key);
        }
    }
    s.log.push_back(r);
}

void append_commit(store& s, const std::vector<change>& changes) {
    commit_record r;
    r.position = position_of(s) + bytes_per_change * changes.size();
    r.hash = hash_record(s.log.empty() ? 0 : s.log.back().hash, s.timeline, changes);
    r.changes = changes;
    apply_record(s, r);
}

void clear_store(store& s) {
    keep(s, kept_end_of_log, "");
    s.log.clear();
    s.tables.clear();
    s.locks.clear();
}

std::optional<std::size_t> find_successor(const store& s, std::uint64_t position, std::uint64_t hash) {
    if (position == first_position) {
        return 0;
    }
    const auto found =
        std::lower_bound(s.log.begin(), s.log.end(), position,
                         [](const commit_record& r, std::uint64_t p) { return r.position < p; });
    if (found == s.log.end() || found->position != position || found->hash != hash) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - s.log.begin()) + 1;
}

std::string encode_commit(const commit_record& r) {
    std::string out = std::to_string(r.position) + ":" + std::to_string(r.hash) + ":" +
                      std::to_string(r.changes.size()) + ":";
    for (const change& c : r.changes) {
        put_field(out, c.table);
        put_field(out, c.key);
        put_field(out, c.value ? "v" + *c.value : "d");
    }
    return out;
}

std::optional<commit_record> decode_commit(const std::string& text) {
    std::string_view in = text;
    commit_record r;
    std::uint64_t count = 0;
    if (!take_number(in, r.position) || !take_number(in, r.hash) || !take_number(in, count)) {
        return std::nullopt;
    }
    for (std::uint64_t i = 0; i < count; ++i) {
        change c;
        std::string value;
        if (!take_field(in, c.table) || !take_field(in, c.key) || !take_field(in, value) || value.empty()) {
            return std::nullopt;
        }
        if (value[0] == 'v') {
            c.value = value.substr(1);
        }
        r.changes.push_back(c);
    }
    return r;
}

void end_transaction(store& s, transaction& t) {
    std::erase_if(s.locks, [&t](const auto& lock) { return lock.second == t.session; });
    t.changes.clear();
    t.open = false;
    t.failed = false;
    t.read_only = false;
}

sql_result execute(store& s, transaction& t, const std::string& text,
                   const std::vector<std::optional<std::string>>& parameters) {
    const auto words = plain_words(split_words(text, parameters));
    sql_result r = dispatch(s, t, text, words);
    if (!r.error_state.empty() && t.open) {
        t.failed = true;
    }
    return r;
}

std::vector<std::string> describe_columns(const std::string& text) {
    const auto words = plain_words(split_words(text, {}));
    const std::string first = at(words, 0);
    if (text.starts_with("/* larchpin probe */")) {
        return {"pg_is_in_recovery", "timeline", "position"};
    }
    if (text.starts_with("/* larchpin start */")) {
        return {"started"};
    }
    if (first == "show") {
        return {at(words, 1)};
    }
    if (first != "select") {
        return {};
    }
    if (find_word(words, "from") == words.size()) {
        return {at(words, 1)};
    }
    if (at(words, 1) == "count") {
        return {"count"};
    }
    return find_word(words, "where") < words.size() ? std::vector<std::string>{"value"}
                                                    : std::vector<std::string>{"key", "value"};
}

std::vector<std::string> split_statements(const std::string& text) {
    std::vector<std::string> parts(1);
    bool quoted = false;
    for (const char c : text) {
        quoted = quoted != (c == '\'');
        if (c == ';' && !quoted) {
            parts.emplace_back();
        } else {
            parts.back().push_back(c);
        }
    }
    std::erase_if(parts, [](const std::string& p) {
        return std::all_of(p.begin(), p.end(), [](unsigned char c) { return std::isspace(c) != 0; });
    });
    for (std::string& p : parts) {
        p.erase(0, p.find_first_not_of(" \t\r\n"));
    }
    return parts;
}

} // namespace larchpin::standin
