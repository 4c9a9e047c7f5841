// The stand-in's data: a log of committed changes, the keyed tables made from it, and a tiny SQL.
//
// Scaffolding for tests and measurements: just enough of a database group's behaviour (positions, timelines,
// read-only replicas, unique keys, row locks that wait, promotion, divergence after it).
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace larchpin::standin {

struct change {
    std::string table;
    std::string key;
    std::optional<std::string> value; // none: deleted
};

struct commit_record {
    std::uint64_t position = 0; // after it
    std::uint64_t hash = 0;     // over all records up to it: tells histories apart
    std::vector<change> changes;
};

using keyed_table = std::map<std::string, std::string>;

struct store {
    std::uint64_t started = 0; // Unix milliseconds; tells one start of this server from the next
    bool is_primary = false;
    std::uint64_t timeline = 1;
    std::vector<commit_record> log;
    std::map<std::string, keyed_table> tables;
    std::map<std::string, std::uint64_t> locks; // "table\0key" to the session that holds it
    std::ofstream* disk = nullptr; // keeps log and timeline over a crash of the process; none: nothing
};

// Reads back what an earlier process with this file held, and keeps there what follows. `disk` stays the
// caller's, and must outlive the store. False where the file cannot be written.
bool open_disk(store& s, const std::string& file, std::ofstream& disk);
void set_timeline(store& s, std::uint64_t timeline);

std::uint64_t position_of(const store& s);
void append_commit(store& s, const std::vector<change>& changes);
void apply_record(store& s, const commit_record& r);
void clear_store(store& s);
// Index of the record after the one with this position and hash; nothing where the histories differ.
std::optional<std::size_t> find_successor(const store& s, std::uint64_t position, std::uint64_t hash);

std::string encode_commit(const commit_record& r);
std::optional<commit_record> decode_commit(const std::string& text);

// One caller's transaction.
struct transaction {
    std::uint64_t session = 0;
    bool open = false;
    bool failed = false;
    bool read_only = false;
    std::vector<change> changes;
};

struct sql_result {
    std::vector<std::string> columns; // none: no rows to describe
    std::vector<std::vector<std::string>> rows;
    std::string tag;
    std::string error_state; // empty: it worked
    std::string error_text;
    std::uint64_t rows_generated = 0; // "generate_series": rows made while sending
    double sleep_seconds = 0;
    bool blocked = false; // waits for another session's row lock: run it again later
    bool promote = false;
    std::string setting; // "standin set name = value"
    std::string setting_value;
};

sql_result execute(store& s, transaction& t, const std::string& text,
                   const std::vector<std::optional<std::string>>& parameters);

// The columns that a statement would return, without running it.
std::vector<std::string> describe_columns(const std::string& text);

void end_transaction(store& s, transaction& t);
std::vector<std::string> split_statements(const std::string& text);

} // namespace larchpin::standin
