// The state that control agrees on: the operators' table and one record per group, server and instance.
//
// Every daemon holds a copy and applies the same commands in the same order, so apply() must depend on
// nothing but its arguments. A command that comes too late (another edit, another term) changes nothing.
//
// Index
//   [table]  [records]  [commands]  [functions]
#pragma once

#include "core/result_codes.hpp"
#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [table] what operators edit
//-----------------------------------------------------------------------------

struct service_entry {
    service_id id;
    unsigned max_connections = 20;               // to one backend server, over all daemons, 1..1000
    duration deadline = std::chrono::seconds{5}; // per request, 10 ms..1 h
    duration max_staleness{0};                   // of reads that state nothing else; 0: read-your-writes
    bool write_safety = false;                   // acknowledge only what a second failure domain holds
    unsigned background_share = 50; // percent of a daemon's connections for class "background", 1..100
    auto operator<=>(const service_entry&) const = default;
};

// A customer, and what it may ask for a second, over all daemons.
struct workspace_entry {
    workspace_id id;
    unsigned priority = 2; // 0 is the highest
    unsigned rate = 0;     // operations a second, 0..1000000; 0: as many as it likes
    unsigned burst = 0;    // operations at once beyond the rate, 0..1000000; 0 counts as 1
    auto operator<=>(const workspace_entry&) const = default;
};

// Opens sessions of a workspace. The table holds the key's digest only: what is passed on to every daemon
// must not open anything where it leaks.
struct workspace_key {
    std::string digest; // key_digest_bytes of SHA-256
    workspace_id workspace;
    auto operator<=>(const workspace_key&) const = default;
};
constexpr std::size_t key_digest_bytes = 32;

// What the reads of a route are owed.
enum class read_consistency : std::uint8_t {
    session = 0, // by the session's own settings (larchpin.read_mode, larchpin.max_staleness_ms)
    primary,     // every write that was acknowledged to anyone before
    bounded,     // every write that is older than the route's max_staleness
    own_writes,  // the same, and the session's own writes
};

// A database name that callers may ask for, and what its requests are owed. A group without any route is
// asked for by its own name, with the service that the caller states as its user.
struct route_entry {
    std::string database; // as callers name it
    group_id group;       // that serves it
    service_id service;   // whose connections its requests use
    read_consistency consistency = read_consistency::session;
    duration max_staleness{0};                            // for `bounded` and `own_writes`, 0..1 h
    duration statement_timeout = std::chrono::seconds{5}; // for one statement, 1 ms..1 h
    duration latency_objective{0};                                // latency aimed at for a whole operation; 0: none
    unsigned priority = 2;                                // 0 goes first, then 1, 2; 3 and more last
    unsigned max_attempts = 3;                            // servers tried for one statement, 1..10
    bool is_public = false;                               // its sessions need no key
    auto operator<=>(const route_entry&) const = default;
};

struct server_entry {
    server_id id;
    unsigned weight = 100; // share of reads beside the other replicas, 0..1000; 0: no reads
    bool leaving = false;  // gets no new work
    auto operator<=>(const server_entry&) const = default;
};

struct table {
    std::vector<service_entry> services;     // sorted by id, unique
    std::vector<server_entry> servers;       // sorted by id, unique; servers without an entry get defaults
    std::vector<route_entry> routes;         // sorted by database, unique
    duration transaction_idle_timeout{0};            // a transaction idle for longer is rolled back; 0: never
    bool requires_key = false;                  // sessions are opened by the key of a workspace
    std::vector<workspace_entry> workspaces; // sorted by id, unique
    std::vector<workspace_key> keys;         // sorted by digest, unique: no key opens two workspaces
    bool operator==(const table&) const = default;
};

//-----------------------------------------------------------------------------
// [records] what the system itself keeps
//-----------------------------------------------------------------------------

// A server may start again under its id, and then holds and knows nothing of before. What is known of one
// start (its position, its role, that it leaves) says nothing of another.
struct server_record {
    server_id id;
    group_id group;
    std::string host; // IP number
    std::uint16_t port = 0;
    failure_domain domain;
    bool leaving = false;           // this start: agreed before it is acknowledged, and never taken back
    std::uint64_t start_time_ms = 0;      // Unix milliseconds by the server's own clock; 0: it does not tell
    std::uint64_t start_number = 0; // by control: another one for every start that it tells apart
    unsigned slots =
        0; // statements that it runs at once, as this start told, 1..max_server_slots; 0: not told
    auto operator<=>(const server_record&) const = default;
};

constexpr unsigned max_server_slots = 10'000; // statements that a server may tell to run at once

// An instance keeps its record for good, so that what it may do while cut off is known.
struct instance_record {
    instance_id id;
    failure_domain domain;
    std::string address;        // "ip:port" of the peer listener
    bool accepts_clients = false; // has sessions, and so uses connections
    auto operator<=>(const instance_record&) const = default;
};

enum class group_phase : std::uint8_t {
    serving = 0, // the primary of this term takes writes
    fencing = 1, // no writes; a new primary is being chosen
};

// Where a term's log begins: a session that saw more of an older term saw writes that are lost.
struct term_start {
    term_number term = 0;
    log_position position = 0;
    auto operator<=>(const term_start&) const = default;
};

struct group_record {
    group_id id;
    term_number term = 0;
    server_id primary;
    std::uint64_t primary_start_number = 0; // the start of it that was made the primary; 0: not known
    group_phase phase = group_phase::serving;
    std::uint64_t timeline = 0;     // the primary's own count of promotions
    std::vector<term_start> term_starts; // oldest first, the last max_term_starts
    auto operator<=>(const group_record&) const = default;
};

constexpr std::size_t max_term_starts = 16;
constexpr std::size_t max_recorded_changes = 4096;

struct change_outcome {
    result_code code = result_code::ok;
    revision_number table_revision = 0; // of the table after it
    revision_number revision = 0;       // index at which it was applied
    auto operator<=>(const change_outcome&) const = default;
};

struct recorded_change {
    std::string change_id;
    change_outcome outcome;
    auto operator<=>(const recorded_change&) const = default;
};

struct cluster_state {
    revision_number revision = 0;       // index of the last command applied
    revision_number table_revision = 0; // index of the last table edit that was taken
    table current_table;
    std::uint64_t table_version = 0; // the operators' own number of it; 0: edited by revision
    std::string document;            // what the operator sent, for reading back; empty: nothing
    std::map<group_id, group_record> groups;
    std::map<server_id, server_record> servers;
    std::map<instance_id, instance_record> instances;
    revision_number instances_revision = 0; // index at which an instance's record last changed
    std::deque<recorded_change> recorded_changes;  // oldest first, bounded
    bool operator==(const cluster_state&) const = default;
};

//-----------------------------------------------------------------------------
// [commands]
//-----------------------------------------------------------------------------

// An edit either names the revision that it was made from, or a version of its own. Of versions the highest
// wins: an edit whose version is not above the table's is taken as done and changes nothing.
struct edit_table {
    std::string change_id;                 // the same id means the same change: it is decided once
    revision_number expected_revision = 0; // of the table that was edited; unused where there is a version
    std::uint64_t version = 0;             // 0: by revision
    std::string document;                  // kept beside the table, for reading back
    table next;
    bool operator==(const edit_table&) const = default;
};

struct register_server {
    server_record record;
    bool operator==(const register_server&) const = default;
};

// A server that has said goodbye. A group's present primary stays until another one has taken over.
struct remove_server {
    server_id id;
    bool operator==(const remove_server&) const = default;
};

struct register_instance {
    instance_record record;
    bool operator==(const register_instance&) const = default;
};

// Takes effect only while the group is still as the proposer saw it.
struct set_group {
    term_number expected_term = 0;
    group_phase expected_phase = group_phase::serving;
    group_record next;
    bool operator==(const set_group&) const = default;
};

using command =
    std::variant<std::monostate, edit_table, register_server, register_instance, set_group, remove_server>;

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Applies one command at its index. The outcome's code is ok or says why nothing changed.
change_outcome apply(cluster_state& s, revision_number index, const command& c);

// The outcome of an earlier edit with this id.
std::optional<change_outcome> find_change(const cluster_state& s, const std::string& change_id);

// An empty string, or the rule that the table breaks.
std::string check_table(const table& t);

const service_entry* find_service(const table& t, const service_id& id);

// Nothing where no route has this name.
const route_entry* find_route(const table& t, const std::string& database);

// Nothing where there is no workspace of this name.
const workspace_entry* find_workspace(const table& t, const workspace_id& id);

// Nothing where no workspace holds the key with this digest.
const workspace_key* find_key(const table& t, const std::string& digest);

// The operators' entry, or the defaults where there is none.
server_entry server_settings(const table& t, const server_id& id);

// The process that was made the primary has ended, and another one runs under its name.
bool has_primary_restarted(const cluster_state& s, const group_record& group);

std::vector<server_record> servers_of(const cluster_state& s, const group_id& group);

// The largest position of `term` that later terms still hold; nothing where the term is unknown.
// A session beyond it has seen writes that are lost.
std::optional<log_position> surviving_position(const group_record& group, term_number term);

} // namespace larchpin
