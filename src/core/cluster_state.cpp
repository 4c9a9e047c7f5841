#include "core/cluster_state.hpp"

#include <algorithm>
#include <limits>

namespace larchpin {
namespace {

constexpr unsigned max_weight = 1000;
constexpr unsigned max_connection_limit = 1000;
constexpr duration min_deadline = std::chrono::milliseconds{10};
constexpr duration max_deadline = std::chrono::hours{1};
constexpr std::size_t max_table_entries = 10'000;
constexpr std::size_t max_name_length = 128;
constexpr unsigned max_route_attempts = 10;
constexpr unsigned max_rate = 1'000'000;
constexpr unsigned max_sync_replicas = 100;

void record_change(cluster_state& s, const std::string& change_id, const change_outcome& outcome) {
    s.recorded_changes.push_back(recorded_change{.change_id = change_id, .outcome = outcome});
    if (s.recorded_changes.size() > max_recorded_changes) {
        s.recorded_changes.pop_front();
    }
}

// Applies an edit that carries its own version. It needs no entry in recorded_changes: the version tells
// whether the edit has been applied already.
change_outcome apply_versioned_edit(cluster_state& s, revision_number index, const edit_table& edit) {
    change_outcome outcome{.code = result_code::ok, .table_revision = s.table_revision, .revision = index};
    if (!check_table(edit.next).empty()) {
        outcome.code = result_code::table_invalid;
    } else if (edit.version > s.table_version) {
        s.current_table = edit.next;
        s.document = edit.document;
        s.table_version = edit.version;
        s.table_revision = index;
        outcome.table_revision = index;
    }
    return outcome;
}

change_outcome apply_edit(cluster_state& s, revision_number index, const edit_table& edit) {
    if (edit.version != 0) {
        return apply_versioned_edit(s, index, edit);
    }
    if (const auto earlier = find_change(s, edit.change_id)) {
        return *earlier;
    }
    change_outcome outcome{.code = result_code::ok, .table_revision = s.table_revision, .revision = index};
    if (edit.expected_revision != s.table_revision) {
        outcome.code = result_code::revision_conflict;
    } else if (!check_table(edit.next).empty()) {
        outcome.code = result_code::table_invalid;
    } else {
        s.current_table = edit.next;
        s.document.clear(); // the document no longer matches the table
        s.table_revision = index;
        outcome.table_revision = index;
    }
    record_change(s, edit.change_id, outcome);
    return outcome;
}

// Returns the lower of two counts of replicas; 0 = no commit was acknowledged under a count.
unsigned lower_count(unsigned a, unsigned b) {
    return a == 0 || b == 0 ? std::max(a, b) : std::min(a, b);
}

// A commit stays on as many replicas as confirmed it, so a change of the count does not end what was
// acknowledged before.
void bind_sync_replicas(cluster_state& s, revision_number index) {
    for (auto& [id, group] : s.groups) {
        const unsigned before = group.sync_replicas;
        group.sync_replicas = lower_count(before, required_sync_replicas(s.current_table, id));
        if (before == 0 && group.sync_replicas > 0) {
            group.promised_since = index;
        }
    }
}

// Sets what the next record of a group promises. A new primary holds all that was acknowledged before its
// term, and the count of the table applies to what it acknowledges itself.
void carry_promises(const cluster_state& s, revision_number index, const group_record& current,
                    log_position acknowledged_bound, group_record& next) {
    next.promised_since = current.promised_since;
    next.sync_replicas = current.sync_replicas;
    next.protected_position = current.protected_position;
    if (next.term == current.term) {
        next.seen_position = std::max(current.seen_position, next.seen_position);
        next.confirmed_position = std::max(current.confirmed_position, next.confirmed_position);
        next.acknowledged_position = std::max(current.acknowledged_position, next.acknowledged_position);
        return;
    }
    next.seen_position = 0;
    const unsigned required = required_sync_replicas(s.current_table, next.id);
    const log_position start = next.term_starts.empty() ? 0 : next.term_starts.back().position;
    const bool start_is_known = start != std::numeric_limits<log_position>::max();
    next.confirmed_position = std::min(start, std::max(current.confirmed_position, next.confirmed_position));
    next.acknowledged_position = next.confirmed_position; // protected_position covers what is beyond
    const bool same_process =
        next.primary == current.primary && next.primary_start_number == current.primary_start_number;
    next.sync_replicas = same_process ? lower_count(current.sync_replicas, required) : required;
    next.promised_since = next.sync_replicas > 0 ? index : 0;
    if (current.sync_replicas > 0 && start_is_known) {
        const log_position bound = acknowledged_bound == 0 ? start : std::min(start, acknowledged_bound);
        next.protected_position = std::max(current.protected_position, bound);
    }
}

result_code apply_group(cluster_state& s, revision_number index, const set_group& change) {
    const auto found = s.groups.find(change.next.id);
    if (found == s.groups.end()) {
        if (change.expected_term != 0) {
            return result_code::revision_conflict;
        }
        group_record& created = s.groups.emplace(change.next.id, change.next).first->second;
        created.sync_replicas = required_sync_replicas(s.current_table, created.id);
        created.promised_since = created.sync_replicas > 0 ? index : 0;
        return result_code::ok;
    }
    const group_record& current = found->second;
    if (current.term != change.expected_term || current.phase != change.expected_phase) {
        return result_code::revision_conflict;
    }
    group_record next = change.next;
    carry_promises(s, index, current, change.acknowledged_bound, next);
    found->second = std::move(next);
    auto& starts = found->second.term_starts;
    while (starts.size() > max_term_starts) {
        starts.erase(starts.begin());
    }
    return result_code::ok;
}

template <typename entries, typename key> bool sorted_unique(const entries& list, const key& key_of) {
    for (std::size_t i = 1; i < list.size(); ++i) {
        if (!(key_of(list[i - 1]) < key_of(list[i]))) {
            return false;
        }
    }
    return true;
}

result_code apply_removal(cluster_state& s, const server_id& id) {
    const bool is_primary = std::any_of(s.groups.begin(), s.groups.end(),
                                        [&id](const auto& g) { return g.second.primary == id; });
    if (is_primary) {
        return result_code::revision_conflict;
    }
    return s.servers.erase(id) == 1 ? result_code::ok : result_code::no_such_record;
}

std::string check_route(const table& t, const route_entry& r) {
    const std::string name = "route " + r.database;
    if (r.database.empty() || r.database.size() > max_name_length) {
        return "a route's database must have 1 to 128 characters";
    }
    if (r.group.value.empty()) {
        return name + ": group must be named";
    }
    if (find_service(t, r.service) == nullptr) {
        return name + ": there is no service " + r.service.value;
    }
    if (r.statement_timeout < std::chrono::milliseconds{1} || r.statement_timeout > max_deadline) {
        return name + ": statement_timeout_ms must be 1 to 3600000";
    }
    if (r.max_staleness && (*r.max_staleness < duration{0} || *r.max_staleness > max_deadline)) {
        return name + ": max_staleness_ms must be 0 to 3600000";
    }
    if (r.latency_objective < duration{0} || r.latency_objective > max_deadline) {
        return name + ": objective_ms must be 0 to 3600000";
    }
    if (r.max_attempts < 1 || r.max_attempts > max_route_attempts) {
        return name + ": max_attempts must be 1 to 10";
    }
    return {};
}

// Checks workspaces and keys. The message contains no key, because it is logged.
std::string check_workspaces(const table& t) {
    for (const workspace_entry& w : t.workspaces) {
        if (w.id.value.empty() || w.id.value.size() > max_name_length) {
            return "a workspace's name must have 1 to 128 characters";
        }
        if (w.rate > max_rate || w.burst > max_rate) {
            return "workspace " + w.id.value + ": rate and burst must be 0 to 1000000";
        }
    }
    for (const workspace_key& k : t.keys) {
        if (k.digest.size() != key_digest_bytes) {
            return "workspace " + k.workspace.value + ": a key's digest must have 32 bytes";
        }
        if (find_workspace(t, k.workspace) == nullptr) {
            return "a key opens workspace " + k.workspace.value + ", which does not exist";
        }
    }
    return {};
}

template <typename entries, typename identifier> auto find_entry(const entries& list, const identifier& id) {
    return std::find_if(list.begin(), list.end(), [&id](const auto& e) { return e.id == id; });
}

} // namespace

change_outcome apply(cluster_state& s, revision_number index, const command& c) {
    change_outcome outcome{.code = result_code::ok, .table_revision = s.table_revision, .revision = index};
    s.revision = index;
    if (const auto* edit = std::get_if<edit_table>(&c)) {
        outcome = apply_edit(s, index, *edit);
        bind_sync_replicas(s, index);
        return outcome;
    }
    if (const auto* server = std::get_if<register_server>(&c)) {
        s.servers[server->record.id] = server->record;
    } else if (const auto* instance = std::get_if<register_instance>(&c)) {
        s.instances[instance->record.id] = instance->record;
        s.instances_revision = index;
    } else if (const auto* group = std::get_if<set_group>(&c)) {
        outcome.code = apply_group(s, index, *group);
    } else if (const auto* removal = std::get_if<remove_server>(&c)) {
        outcome.code = apply_removal(s, removal->id);
    }
    return outcome;
}

std::optional<change_outcome> find_change(const cluster_state& s, const std::string& change_id) {
    const auto found = std::find_if(s.recorded_changes.begin(), s.recorded_changes.end(),
                                    [&change_id](const auto& c) { return c.change_id == change_id; });
    if (found == s.recorded_changes.end()) {
        return std::nullopt;
    }
    return found->outcome;
}

std::string check_table(const table& t) {
    if (t.services.size() > max_table_entries || t.servers.size() > max_table_entries ||
        t.routes.size() > max_table_entries || t.workspaces.size() > max_table_entries ||
        t.keys.size() > max_table_entries || t.groups.size() > max_table_entries) {
        return "more than 10000 entries";
    }
    const auto id_of = [](const auto& entry) { return entry.id; };
    const bool unique = sorted_unique(t.services, id_of) && sorted_unique(t.servers, id_of) &&
                        sorted_unique(t.routes, [](const route_entry& r) { return r.database; });
    if (!unique || !sorted_unique(t.workspaces, id_of) || !sorted_unique(t.groups, id_of)) {
        return "duplicate entry";
    }
    if (!sorted_unique(t.keys, [](const workspace_key& k) { return k.digest; })) {
        return "one key stands twice";
    }
    if (t.transaction_idle_timeout < duration{0} || t.transaction_idle_timeout > max_deadline) {
        return "transaction_idle_ms must be 0 to 3600000";
    }
    for (const service_entry& s : t.services) {
        if (s.id.value.empty() || s.id.value.size() > max_name_length) {
            return "a service's name must have 1 to 128 characters";
        }
        if (s.max_connections < 1 || s.max_connections > max_connection_limit) {
            return "service " + s.id.value + ": max_connections must be 1 to 1000";
        }
        if (s.deadline < min_deadline || s.deadline > max_deadline) {
            return "service " + s.id.value + ": deadline_ms must be 10 to 3600000";
        }
        if (s.max_staleness < duration{0} || s.max_staleness > max_deadline) {
            return "service " + s.id.value + ": max_staleness_ms must be 0 to 3600000";
        }
        if (s.background_share < 1 || s.background_share > 100) {
            return "service " + s.id.value + ": background_share must be 1 to 100";
        }
    }
    for (const group_entry& g : t.groups) {
        if (g.id.value.empty() || g.id.value.size() > max_name_length) {
            return "a group's name must have 1 to 128 characters";
        }
        if (g.sync_replicas > max_sync_replicas) {
            return "group " + g.id.value + ": sync_replicas must be 0 to 100";
        }
    }
    for (const server_entry& s : t.servers) {
        if (s.id.value.empty() || s.id.value.size() > max_name_length) {
            return "a server's name must have 1 to 128 characters";
        }
        if (s.weight > max_weight) {
            return "server " + s.id.value + ": weight must be 0 to 1000";
        }
    }
    for (const route_entry& r : t.routes) {
        std::string broken_rule = check_route(t, r);
        if (!broken_rule.empty()) {
            return broken_rule;
        }
    }
    return check_workspaces(t);
}

const service_entry* find_service(const table& t, const service_id& id) {
    const auto found = find_entry(t.services, id);
    return found == t.services.end() ? nullptr : &*found;
}

unsigned required_sync_replicas(const table& t, const group_id& id) {
    const auto found = find_entry(t.groups, id);
    const unsigned configured = found == t.groups.end() ? 0 : found->sync_replicas;
    const bool any_safe = std::any_of(t.services.begin(), t.services.end(),
                                      [](const service_entry& s) { return s.write_safety; });
    return configured == 0 && any_safe ? 1 : configured;
}

const route_entry* find_route(const table& t, const std::string& database) {
    const auto found =
        std::lower_bound(t.routes.begin(), t.routes.end(), database,
                         [](const route_entry& r, const std::string& d) { return r.database < d; });
    return found == t.routes.end() || found->database != database ? nullptr : &*found;
}

const workspace_entry* find_workspace(const table& t, const workspace_id& id) {
    const auto found = std::lower_bound(t.workspaces.begin(), t.workspaces.end(), id,
                                        [](const workspace_entry& w, const auto& i) { return w.id < i; });
    return found == t.workspaces.end() || found->id != id ? nullptr : &*found;
}

const workspace_key* find_key(const table& t, const std::string& digest) {
    const auto found = std::lower_bound(t.keys.begin(), t.keys.end(), digest,
                                        [](const workspace_key& k, const auto& d) { return k.digest < d; });
    return found == t.keys.end() || found->digest != digest ? nullptr : &*found;
}

server_entry server_settings(const table& t, const server_id& id) {
    const auto found = find_entry(t.servers, id);
    if (found != t.servers.end()) {
        return *found;
    }
    server_entry defaults;
    defaults.id = id;
    return defaults;
}

bool has_primary_restarted(const cluster_state& s, const group_record& group) {
    const auto primary = s.servers.find(group.primary);
    return group.primary_start_number != 0 && primary != s.servers.end() &&
           primary->second.start_number != group.primary_start_number;
}

std::vector<server_record> servers_of(const cluster_state& s, const group_id& group) {
    std::vector<server_record> found;
    for (const auto& [id, record] : s.servers) {
        if (record.group == group) {
            found.push_back(record);
        }
    }
    return found;
}

log_position term_start_position(const group_record& group) {
    const log_position start = group.term_starts.empty() ? 0 : group.term_starts.back().position;
    return start == std::numeric_limits<log_position>::max() ? 0 : start;
}

log_position lowest_primary_position(const group_record& group) {
    return std::max(term_start_position(group), group.seen_position);
}

log_position lowest_start_after(const group_record& group, term_number term) {
    log_position lowest = std::numeric_limits<log_position>::max();
    for (const term_start& start : group.term_starts) {
        if (start.term > term) {
            lowest = std::min(lowest, start.position);
        }
    }
    return lowest;
}

std::optional<log_position> surviving_position(const group_record& group, term_number term) {
    if (term == group.term) {
        return std::numeric_limits<log_position>::max();
    }
    if (term > group.term || group.term_starts.empty() || term + 1 < group.term_starts.front().term) {
        return std::nullopt;
    }
    return lowest_start_after(group, term);
}

} // namespace larchpin
