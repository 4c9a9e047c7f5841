// Replicated state of the control group: the operators' table and one record per group, server and instance.
//
// Every daemon holds a copy and applies the same commands in the same order, so apply() must depend on
// nothing but its arguments. A command based on an outdated edit or term changes nothing.
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
// [table] edited by operators
//-----------------------------------------------------------------------------

struct service_entry {
    service_id id;
    unsigned max_connections = 20;               // per backend server, over all daemons, 1..1000
    duration deadline = std::chrono::seconds{5}; // per request, 10 ms..1 h
    duration max_staleness{0};                   // default for reads that set no bound; 0 = read-your-writes
    bool write_safety = false;                   // acknowledge only writes held by a second failure domain
    unsigned background_share = 50; // percent of a daemon's connections for class "background", 1..100
    auto operator<=>(const service_entry&) const = default;
};

// A workspace (one customer) and its rate limit over all daemons.
struct workspace_entry {
    workspace_id id;
    unsigned priority = 2; // 0 = highest
    unsigned rate = 0;     // operations per second, 0..1000000; 0 = unlimited
    unsigned burst = 0;    // operations beyond the rate at once, 0..1000000; 0 counts as 1
    auto operator<=>(const workspace_entry&) const = default;
};

// An API key that opens sessions of a workspace. Only the key's digest is stored, because the table is
// copied to every daemon and a leaked copy must not give access.
struct workspace_key {
    std::string digest; // SHA-256, key_digest_bytes long
    workspace_id workspace;
    auto operator<=>(const workspace_key&) const = default;
};
constexpr std::size_t key_digest_bytes = 32;

// Consistency level of a route's reads.
enum class read_consistency : std::uint8_t {
    session = 0, // set by the session (larchpin.read_mode, larchpin.max_staleness_ms)
    primary,     // sees every write acknowledged before
    bounded,     // sees every write older than the route's max_staleness when the read arrives
    own_writes,  // `bounded` where the route states a max_staleness, and sees the session's own writes
};

// A database name that clients connect to, with the settings of its requests. A group without a route is
// reached by its own name, and the client's user name selects the service.
struct route_entry {
    std::string database; // as named by clients
    group_id group;       // serves the database
    service_id service;   // whose connections the requests use
    read_consistency consistency = read_consistency::session;
    // For `bounded` and `own_writes`, 0..1 h. 0: reads see every write acknowledged before they arrive, which
    // `bounded` without a value means, too.
    std::optional<duration> max_staleness{};
    duration statement_timeout = std::chrono::seconds{5}; // per statement, 1 ms..1 h
    duration latency_objective{0};                        // target for a whole operation; 0 = none
    unsigned priority = 2;                                // 0 = highest, then 1, 2; 3 and above last
    unsigned max_attempts = 3;                            // servers tried per statement, 1..10
    bool is_public = false;                               // sessions need no key
    auto operator<=>(const route_entry&) const = default;
};

struct server_entry {
    server_id id;
    unsigned weight = 100; // share of reads relative to other replicas, 0..1000; 0 = no reads
    bool leaving = false;  // gets no new work
    auto operator<=>(const server_entry&) const = default;
};

struct group_entry {
    group_id id;
    // Replicas that have received a commit before the servers acknowledge it, 0..100; 0 = none.
    unsigned sync_replicas = 0;
    auto operator<=>(const group_entry&) const = default;
};

struct table {
    std::vector<service_entry> services;  // sorted by id, unique
    std::vector<group_entry> groups;      // sorted by id, unique; defaults apply to groups without an entry
    std::vector<server_entry> servers;    // sorted by id, unique; defaults apply to servers without an entry
    std::vector<route_entry> routes;      // sorted by database, unique
    duration transaction_idle_timeout{0}; // idle limit before rollback; 0 = none
    bool requires_key = false;            // sessions need a workspace's key
    std::vector<workspace_entry> workspaces; // sorted by id, unique
    std::vector<workspace_key> keys;         // sorted by digest, unique: no key opens two workspaces
    bool operator==(const table&) const = default;
};

//-----------------------------------------------------------------------------
// [records] maintained by control
//-----------------------------------------------------------------------------

// A backend server. Each start of a server under the same id is a new process without the earlier one's
// data, so the known position, role and leaving state of one start do not apply to another.
struct server_record {
    server_id id;
    group_id group;
    std::string host; // IP address
    std::uint16_t port = 0;
    failure_domain domain;
    bool leaving = false;            // of this start; replicated before it is acknowledged, and irrevocable
    std::uint64_t start_time_ms = 0; // Unix time by the server's clock, ms; 0 = unknown
    std::uint64_t start_number = 0;  // assigned by control, distinct for every detected start
    unsigned slots = 0; // concurrent statements announced by this start, 1..max_server_slots; 0 = unknown
    // An earlier start may have confirmed commits that this one has not been seen to hold.
    bool log_incomplete = false;
    auto operator<=>(const server_record&) const = default;
};

constexpr unsigned max_server_slots = 10'000; // concurrent statements that a server may announce

// A larchpin instance. The record is never removed, so that an instance's permissions are known while it is
// cut off.
struct instance_record {
    instance_id id;
    failure_domain domain;
    std::string address;          // "ip:port" of the peer listener
    bool accepts_clients = false; // has sessions and therefore uses connections
    auto operator<=>(const instance_record&) const = default;
};

enum class group_phase : std::uint8_t {
    serving = 0, // the primary of this term accepts writes
    fencing = 1, // writes are blocked until a new primary is chosen
};

// Position at which a term's log begins. A session with a higher position in an older term has read lost
// writes.
struct term_start {
    term_number term = 0;
    log_position position = 0;
    auto operator<=>(const term_start&) const = default;
};

struct group_record {
    group_id id;
    term_number term = 0;
    server_id primary;
    std::uint64_t primary_start_number = 0; // start number of the process made primary; 0 = unknown
    group_phase phase = group_phase::serving;
    std::uint64_t timeline = 0;          // the primary's promotion counter
    std::vector<term_start> term_starts; // oldest first, the last max_term_starts
    // Replicas that hold each commit acknowledged in this term: the lowest count that was in force; 0 = none.
    unsigned sync_replicas = 0;
    // Acknowledged commits of earlier terms lie at or below this position. No server below it is promoted.
    log_position protected_position = 0;
    // The primary's log was seen at this position, beyond the beginning of its term; 0 = not yet. By it an
    // instance that has just started knows an empty process at the primary's address.
    log_position seen_position = 0;
    // Replicas have received the log up to here, and commits at or below it were acknowledged.
    log_position confirmed_position = 0;
    // Commits up to here may have been acknowledged in this term. No server below it is promoted, other than
    // the primary with its own log.
    log_position acknowledged_position = 0;
    // Index since which replicas confirm commits in this term: that of the term's beginning, or of the edit
    // that raised the count from 0; 0 = they do not.
    revision_number promised_since = 0;
    // While fencing: no server that answers is known to hold all acknowledged commits.
    bool awaits_log = false;
    auto operator<=>(const group_record&) const = default;
};

constexpr std::size_t max_term_starts = 16;
constexpr std::size_t max_recorded_changes = 4096;

struct change_outcome {
    result_code code = result_code::ok;
    revision_number table_revision = 0; // table revision after the edit
    revision_number revision = 0;       // index at which it was applied
    auto operator<=>(const change_outcome&) const = default;
};

struct recorded_change {
    std::string change_id;
    change_outcome outcome;
    auto operator<=>(const recorded_change&) const = default;
};

struct cluster_state {
    revision_number revision = 0;       // index of the last applied command
    revision_number table_revision = 0; // index of the last accepted table edit
    table current_table;
    std::uint64_t table_version = 0; // version assigned by the operators; 0 = edited by revision
    std::string document;            // table as sent by the operator, for reading back; may be empty
    std::map<group_id, group_record> groups;
    std::map<server_id, server_record> servers;
    std::map<instance_id, instance_record> instances;
    revision_number instances_revision = 0;       // index at which an instance's record last changed
    std::deque<recorded_change> recorded_changes; // oldest first, bounded
    bool operator==(const cluster_state&) const = default;
};

//-----------------------------------------------------------------------------
// [commands]
//-----------------------------------------------------------------------------

// Replaces the table. An edit carries either the revision that it is based on or a version of its own. The
// highest version wins: an edit whose version is not above the table's succeeds and changes nothing.
struct edit_table {
    std::string change_id;                 // makes the edit idempotent
    revision_number expected_revision = 0; // of the table before the edit; unused with a version
    std::uint64_t version = 0;             // 0 = by revision
    std::string document;                  // stored with the table, for reading back
    table next;
    bool operator==(const edit_table&) const = default;
};

struct register_server {
    server_record record;
    bool operator==(const register_server&) const = default;
};

// Removes a server that has announced its stop. A group's current primary cannot be removed.
struct remove_server {
    server_id id;
    bool operator==(const remove_server&) const = default;
};

struct register_instance {
    instance_record record;
    bool operator==(const register_instance&) const = default;
};

// Replaces a group's record if its term and phase are still the expected ones.
struct set_group {
    term_number expected_term = 0;
    group_phase expected_phase = group_phase::serving;
    group_record next;
    // For a new term: no commit that was acknowledged in earlier ones lies beyond; 0 = unknown.
    log_position acknowledged_bound = 0;
    bool operator==(const set_group&) const = default;
};

using command =
    std::variant<std::monostate, edit_table, register_server, register_instance, set_group, remove_server>;

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Applies one command at its index. The outcome's code is ok or the reason why nothing changed.
change_outcome apply(cluster_state& s, revision_number index, const command& c);

// Returns the outcome of an earlier edit with this id.
std::optional<change_outcome> find_change(const cluster_state& s, const std::string& change_id);

// Returns an empty string, or a description of the first violated rule.
std::string check_table(const table& t);

const service_entry* find_service(const table& t, const service_id& id);

// Returns the number of replicas that hold a commit before it is acknowledged: the group's sync_replicas, or
// one where a service requires write safety.
unsigned required_sync_replicas(const table& t, const group_id& id);

// Returns null if no route has this name.
const route_entry* find_route(const table& t, const std::string& database);

// Returns null if no workspace has this name.
const workspace_entry* find_workspace(const table& t, const workspace_id& id);

// Returns null if no workspace holds the key with this digest.
const workspace_key* find_key(const table& t, const std::string& digest);

// Returns the operators' entry, or defaults if there is none.
server_entry server_settings(const table& t, const server_id& id);

// Returns true if the process that was made primary has ended and another one runs under the same id.
bool has_primary_restarted(const cluster_state& s, const group_record& group);

std::vector<server_record> servers_of(const cluster_state& s, const group_id& group);

// Returns the position at which the group's present term began; 0 if it is unknown.
log_position term_start_position(const group_record& group);

// Returns the lowest position that the recorded primary's log can have, by the record alone. Positions go on
// over a promotion; a server may tell the timeline of its last commit, so the record's says nothing here.
log_position lowest_primary_position(const group_record& group);

// Returns the lowest position at which a recorded term after `term` began; the largest position if none is
// recorded.
log_position lowest_start_after(const group_record& group, term_number term);

// Returns the largest position of `term` that later terms still hold, or nothing if the term is unknown. A
// session beyond this position has read lost writes.
std::optional<log_position> surviving_position(const group_record& group, term_number term);

} // namespace larchpin
