// Index: [table]  [records]  [state and commands]  [leases]  [rate limits]  [consensus]
#include "io/codec.hpp"

#include "generated/larchpin.pb.h"

namespace larchpin {
namespace {

std::uint64_t to_ms(duration d) {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

duration from_ms(std::uint64_t ms) {
    constexpr std::uint64_t longest = 1'000'000'000; // keeps the arithmetic from overflowing
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::min(ms, longest))};
}

// The strictest one for a number of a later version.
read_consistency to_consistency(std::uint32_t number) {
    const bool known = number <= static_cast<std::uint32_t>(read_consistency::own_writes);
    return known ? static_cast<read_consistency>(number) : read_consistency::primary;
}

result_code to_code(std::uint32_t number) {
    return static_cast<result_code>(number);
}

} // namespace

//-----------------------------------------------------------------------------
// [table]
//-----------------------------------------------------------------------------

table from_wire(const wire::table& m) {
    table v;
    for (const auto& s : m.services()) {
        v.services.push_back({.id = {s.id()},
                              .max_connections = s.max_connections(),
                              .deadline = from_ms(s.deadline_ms()),
                              .max_staleness = from_ms(s.max_staleness_ms()),
                              .write_safety = s.write_safety(),
                              .background_share = s.background_share()});
    }
    for (const auto& g : m.groups()) {
        v.groups.push_back({.id = {g.id()}, .sync_replicas = g.sync_replicas()});
    }
    for (const auto& s : m.servers()) {
        v.servers.push_back({.id = {s.id()}, .weight = s.weight(), .leaving = s.leaving()});
    }
    for (const auto& r : m.routes()) {
        v.routes.push_back({.database = r.database(),
                            .group = {r.group()},
                            .service = {r.service()},
                            .consistency = to_consistency(r.consistency()),
                            .max_staleness = r.has_max_staleness_ms()
                                                 ? std::optional{from_ms(r.max_staleness_ms())}
                                                 : std::nullopt,
                            .statement_timeout = from_ms(r.statement_timeout_ms()),
                            .latency_objective = from_ms(r.objective_ms()),
                            .priority = r.priority(),
                            .max_attempts = r.max_attempts(),
                            .is_public = r.is_public()});
    }
    v.requires_key = m.needs_key();
    for (const auto& w : m.workspaces()) {
        v.workspaces.push_back(
            {.id = {w.id()}, .priority = w.priority(), .rate = w.rate(), .burst = w.burst()});
    }
    for (const auto& k : m.keys()) {
        v.keys.push_back({.digest = k.digest(), .workspace = {k.workspace()}});
    }
    v.transaction_idle_timeout = from_ms(m.transaction_idle_ms());
    return v;
}

void to_wire(const table& v, wire::table& m) {
    for (const service_entry& s : v.services) {
        auto* e = m.add_services();
        e->set_id(s.id.value);
        e->set_max_connections(s.max_connections);
        e->set_deadline_ms(to_ms(s.deadline));
        e->set_max_staleness_ms(to_ms(s.max_staleness));
        e->set_write_safety(s.write_safety);
        e->set_background_share(s.background_share);
    }
    for (const group_entry& g : v.groups) {
        auto* e = m.add_groups();
        e->set_id(g.id.value);
        e->set_sync_replicas(g.sync_replicas);
    }
    for (const server_entry& s : v.servers) {
        auto* e = m.add_servers();
        e->set_id(s.id.value);
        e->set_weight(s.weight);
        e->set_leaving(s.leaving);
    }
    for (const route_entry& r : v.routes) {
        auto* e = m.add_routes();
        e->set_database(r.database);
        e->set_group(r.group.value);
        e->set_service(r.service.value);
        e->set_consistency(static_cast<std::uint32_t>(r.consistency));
        if (r.max_staleness) {
            e->set_max_staleness_ms(to_ms(*r.max_staleness));
        }
        e->set_statement_timeout_ms(to_ms(r.statement_timeout));
        e->set_objective_ms(to_ms(r.latency_objective));
        e->set_priority(r.priority);
        e->set_max_attempts(r.max_attempts);
        e->set_is_public(r.is_public);
    }
    m.set_needs_key(v.requires_key);
    for (const workspace_entry& w : v.workspaces) {
        auto* e = m.add_workspaces();
        e->set_id(w.id.value);
        e->set_priority(w.priority);
        e->set_rate(w.rate);
        e->set_burst(w.burst);
    }
    for (const workspace_key& k : v.keys) {
        auto* e = m.add_keys();
        e->set_digest(k.digest);
        e->set_workspace(k.workspace.value);
    }
    m.set_transaction_idle_ms(to_ms(v.transaction_idle_timeout));
}

edit_table from_wire(const wire::edit_table& m) {
    return {.change_id = m.change_id(),
            .expected_revision = m.expected_revision(),
            .version = m.version(),
            .document = m.document(),
            .next = from_wire(m.next())};
}

void to_wire(const edit_table& v, wire::edit_table& m) {
    m.set_change_id(v.change_id);
    m.set_expected_revision(v.expected_revision);
    m.set_version(v.version);
    m.set_document(v.document);
    to_wire(v.next, *m.mutable_next());
}

//-----------------------------------------------------------------------------
// [records]
//-----------------------------------------------------------------------------

server_record from_wire(const wire::server_record& m) {
    return {.id = {m.id()},
            .group = {m.group()},
            .host = m.host(),
            .port = static_cast<std::uint16_t>(m.port()),
            .domain = {m.domain()},
            .leaving = m.leaving(),
            .start_time_ms = m.started(),
            .start_number = m.start_number(),
            .slots = m.slots(),
            .log_incomplete = m.log_incomplete()};
}

void to_wire(const server_record& v, wire::server_record& m) {
    m.set_id(v.id.value);
    m.set_group(v.group.value);
    m.set_host(v.host);
    m.set_port(v.port);
    m.set_domain(v.domain.value);
    m.set_leaving(v.leaving);
    m.set_started(v.start_time_ms);
    m.set_start_number(v.start_number);
    m.set_slots(v.slots);
    m.set_log_incomplete(v.log_incomplete);
}

group_record from_wire(const wire::group_record& m) {
    group_record v;
    v.id = {m.id()};
    v.term = m.term();
    v.primary = {m.primary()};
    v.primary_start_number = m.primary_start();
    v.phase = m.phase() == 0 ? group_phase::serving : group_phase::fencing;
    v.timeline = m.timeline();
    for (const auto& start : m.starts()) {
        v.term_starts.push_back({.term = start.term(), .position = start.position()});
    }
    v.sync_replicas = m.sync_replicas();
    v.protected_position = m.protected_position();
    v.seen_position = m.seen_position();
    v.awaits_log = m.awaits_log();
    v.confirmed_position = m.confirmed_position();
    v.acknowledged_position = m.acknowledged_position();
    v.promised_since = m.promised_since();
    return v;
}

void to_wire(const group_record& v, wire::group_record& m) {
    m.set_id(v.id.value);
    m.set_term(v.term);
    m.set_primary(v.primary.value);
    m.set_primary_start(v.primary_start_number);
    m.set_phase(static_cast<std::uint32_t>(v.phase));
    m.set_timeline(v.timeline);
    for (const term_start& start : v.term_starts) {
        auto* s = m.add_starts();
        s->set_term(start.term);
        s->set_position(start.position);
    }
    m.set_sync_replicas(v.sync_replicas);
    m.set_protected_position(v.protected_position);
    m.set_seen_position(v.seen_position);
    m.set_awaits_log(v.awaits_log);
    m.set_confirmed_position(v.confirmed_position);
    m.set_acknowledged_position(v.acknowledged_position);
    m.set_promised_since(v.promised_since);
}

instance_record from_wire(const wire::instance_record& m) {
    return {
        .id = {m.id()}, .domain = {m.domain()}, .address = m.address(), .accepts_clients = m.takes_callers()};
}

void to_wire(const instance_record& v, wire::instance_record& m) {
    m.set_id(v.id.value);
    m.set_domain(v.domain.value);
    m.set_address(v.address);
    m.set_takes_callers(v.accepts_clients);
}

//-----------------------------------------------------------------------------
// [state and commands]
//-----------------------------------------------------------------------------

cluster_state from_wire(const wire::cluster_state& m) {
    cluster_state v;
    v.revision = m.revision();
    v.table_revision = m.table_revision();
    v.instances_revision = m.instances_revision();
    v.current_table = from_wire(m.current());
    v.table_version = m.table_version();
    v.document = m.document();
    for (const auto& g : m.groups()) {
        v.groups[{g.id()}] = from_wire(g);
    }
    for (const auto& s : m.servers()) {
        v.servers[{s.id()}] = from_wire(s);
    }
    for (const auto& i : m.instances()) {
        v.instances[{i.id()}] = from_wire(i);
    }
    for (const auto& c : m.changes()) {
        v.recorded_changes.push_back({.change_id = c.change_id(),
                                      .outcome = {.code = to_code(c.code()),
                                                  .table_revision = c.table_revision(),
                                                  .revision = c.revision()}});
    }
    return v;
}

void to_wire(const cluster_state& v, wire::cluster_state& m) {
    m.set_revision(v.revision);
    m.set_table_revision(v.table_revision);
    m.set_instances_revision(v.instances_revision);
    to_wire(v.current_table, *m.mutable_current());
    m.set_table_version(v.table_version);
    m.set_document(v.document);
    for (const auto& [id, g] : v.groups) {
        to_wire(g, *m.add_groups());
    }
    for (const auto& [id, s] : v.servers) {
        to_wire(s, *m.add_servers());
    }
    for (const auto& [id, i] : v.instances) {
        to_wire(i, *m.add_instances());
    }
    for (const recorded_change& c : v.recorded_changes) {
        auto* e = m.add_changes();
        e->set_change_id(c.change_id);
        e->set_code(static_cast<std::uint32_t>(c.outcome.code));
        e->set_table_revision(c.outcome.table_revision);
        e->set_revision(c.outcome.revision);
    }
}

std::string encode_command(const command& c) {
    wire::command m;
    if (const auto* edit = std::get_if<edit_table>(&c)) {
        to_wire(*edit, *m.mutable_edit());
    } else if (const auto* server = std::get_if<register_server>(&c)) {
        to_wire(server->record, *m.mutable_server());
    } else if (const auto* instance = std::get_if<register_instance>(&c)) {
        to_wire(instance->record, *m.mutable_instance());
    } else if (const auto* group = std::get_if<set_group>(&c)) {
        auto* g = m.mutable_group();
        g->set_expected_term(group->expected_term);
        g->set_expected_phase(static_cast<std::uint32_t>(group->expected_phase));
        to_wire(group->next, *g->mutable_next());
        g->set_acknowledged_bound(group->acknowledged_bound);
    } else if (const auto* gone = std::get_if<remove_server>(&c)) {
        m.set_removed_server(gone->id.value);
    }
    return m.SerializeAsString();
}

std::optional<command> decode_command(const std::string& bytes) {
    wire::command m;
    if (!m.ParseFromString(bytes)) {
        return std::nullopt;
    }
    switch (m.kind_case()) {
    case wire::command::kEdit: return from_wire(m.edit());
    case wire::command::kServer: return register_server{from_wire(m.server())};
    case wire::command::kInstance: return register_instance{from_wire(m.instance())};
    case wire::command::kGroup:
        return set_group{.expected_term = m.group().expected_term(),
                         .expected_phase =
                             m.group().expected_phase() == 0 ? group_phase::serving : group_phase::fencing,
                         .next = from_wire(m.group().next()),
                         .acknowledged_bound = m.group().acknowledged_bound()};
    case wire::command::kRemovedServer: return remove_server{.id = {m.removed_server()}};
    case wire::command::KIND_NOT_SET: break;
    }
    return std::monostate{};
}

std::string encode_state(const cluster_state& s) {
    wire::cluster_state m;
    to_wire(s, m);
    return m.SerializeAsString();
}

std::optional<cluster_state> decode_state(const std::string& bytes) {
    wire::cluster_state m;
    if (!m.ParseFromString(bytes)) {
        return std::nullopt;
    }
    return from_wire(m);
}

//-----------------------------------------------------------------------------
// [leases]
//-----------------------------------------------------------------------------

server_announcement from_wire(const wire::server_announcement& m) {
    return {.record = from_wire(m.record()),
            .is_primary = m.is_primary(),
            .timeline = m.timeline(),
            .position = m.position(),
            .leaving = m.leaving(),
            .stopped = m.gone(),
            .sequence = m.sequence()};
}

void to_wire(const server_announcement& v, wire::server_announcement& m) {
    to_wire(v.record, *m.mutable_record());
    m.set_is_primary(v.is_primary);
    m.set_timeline(v.timeline);
    m.set_position(v.position);
    m.set_leaving(v.leaving);
    m.set_gone(v.stopped);
    m.set_sequence(v.sequence);
}

acknowledged_mark from_wire(const wire::acknowledged_mark& m) {
    return {.group = {m.group()}, .term = m.term(), .confirmed = m.confirmed(), .highest = m.highest()};
}

void to_wire(const acknowledged_mark& v, wire::acknowledged_mark& m) {
    m.set_group(v.group.value);
    m.set_term(v.term);
    m.set_confirmed(v.confirmed);
    m.set_highest(v.highest);
}

renewal from_wire(const wire::renewal& m) {
    renewal v;
    v.instance = from_wire(m.instance());
    v.incarnation = m.incarnation();
    v.applied_revision = m.applied();
    v.last_reply_seq = m.last_reply_seq();
    v.stopping = m.stopping();
    v.lost_version = m.lost_number();
    v.known_since = m.known_since();
    for (const auto& o : m.observations()) {
        v.observations.push_back({.server = {o.server()},
                                  .alive = o.alive(),
                                  .connection_refused = o.refused(),
                                  .is_primary = o.is_primary(),
                                  .timeline = o.timeline(),
                                  .position = o.position()});
    }
    for (const auto& a : m.announcements()) {
        v.announcements.push_back(from_wire(a));
    }
    for (const auto& a : m.acknowledged()) {
        v.acknowledged.push_back(from_wire(a));
    }
    for (const auto& c : m.claims()) {
        v.claims.push_back({.key = {.service = {c.service()}, .server = {c.server()}},
                            .in_effect = c.in_effect(),
                            .wanted = c.wanted()});
    }
    return v;
}

void to_wire(const renewal& v, wire::renewal& m) {
    to_wire(v.instance, *m.mutable_instance());
    m.set_incarnation(v.incarnation);
    m.set_applied(v.applied_revision);
    m.set_last_reply_seq(v.last_reply_seq);
    m.set_stopping(v.stopping);
    m.set_lost_number(v.lost_version);
    m.set_known_since(v.known_since);
    for (const server_observation& o : v.observations) {
        auto* e = m.add_observations();
        e->set_server(o.server.value);
        e->set_alive(o.alive);
        e->set_refused(o.connection_refused);
        e->set_is_primary(o.is_primary);
        e->set_timeline(o.timeline);
        e->set_position(o.position);
    }
    for (const server_announcement& a : v.announcements) {
        to_wire(a, *m.add_announcements());
    }
    for (const acknowledged_mark& a : v.acknowledged) {
        to_wire(a, *m.add_acknowledged());
    }
    for (const share_claim& c : v.claims) {
        auto* e = m.add_claims();
        e->set_service(c.key.service.value);
        e->set_server(c.key.server.value);
        e->set_in_effect(c.in_effect);
        e->set_wanted(c.wanted);
    }
}

renewal_reply from_wire(const wire::renewal_reply& m) {
    renewal_reply v;
    v.code = to_code(m.code());
    v.lease = duration{static_cast<std::int64_t>(m.lease_ns())};
    v.revision = m.revision();
    v.seq = m.seq();
    for (const auto& s : m.shares()) {
        v.shares.push_back(
            {.key = {.service = {s.service()}, .server = {s.server()}}, .connections = s.connections()});
    }
    for (const auto& id : m.observe()) {
        v.servers_to_observe.push_back({id});
    }
    v.control_addresses.assign(m.control_addresses().begin(), m.control_addresses().end());
    if (m.has_lost()) {
        v.lost = lost_instances_update{.version = m.lost().number(),
                                       .instances_revision = m.lost().instances_revision(),
                                       .bits = m.lost().bits()};
    }
    v.known_since = m.known_since();
    v.renew_after = std::chrono::microseconds{static_cast<std::int64_t>(m.renew_after_us())};
    return v;
}

void to_wire(const renewal_reply& v, wire::renewal_reply& m) {
    m.set_code(static_cast<std::uint32_t>(v.code));
    m.set_lease_ns(static_cast<std::uint64_t>(v.lease.count()));
    m.set_revision(v.revision);
    m.set_seq(v.seq);
    for (const share_grant& s : v.shares) {
        auto* e = m.add_shares();
        e->set_service(s.key.service.value);
        e->set_server(s.key.server.value);
        e->set_connections(s.connections);
    }
    for (const server_id& id : v.servers_to_observe) {
        m.add_observe(id.value);
    }
    for (const std::string& address : v.control_addresses) {
        m.add_control_addresses(address);
    }
    if (v.lost) {
        m.mutable_lost()->set_number(v.lost->version);
        m.mutable_lost()->set_instances_revision(v.lost->instances_revision);
        m.mutable_lost()->set_bits(v.lost->bits);
    }
    m.set_known_since(v.known_since);
    m.set_renew_after_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(v.renew_after).count()));
}

//-----------------------------------------------------------------------------
// [rate limits]
//-----------------------------------------------------------------------------

rate_request from_wire(const wire::rate_request& m) {
    rate_request v{.instance = {m.instance()}, .incarnation = m.incarnation(), .seq = m.seq(), .claims = {}};
    for (const auto& c : m.claims()) {
        v.claims.push_back({.workspace = {c.workspace()},
                            .held = c.held(),
                            .running = c.running(),
                            .needed = c.needed(),
                            .wanted = c.wanted(),
                            .returned = c.returned()});
    }
    return v;
}

void to_wire(const rate_request& v, wire::rate_request& m) {
    m.set_instance(v.instance.value);
    m.set_incarnation(v.incarnation);
    m.set_seq(v.seq);
    for (const rate_claim& c : v.claims) {
        auto* e = m.add_claims();
        e->set_workspace(c.workspace.value);
        e->set_held(c.held);
        e->set_running(c.running);
        e->set_needed(c.needed);
        e->set_wanted(c.wanted);
        e->set_returned(c.returned);
    }
}

std::vector<rate_grant> from_wire(const wire::rate_reply& m) {
    std::vector<rate_grant> v;
    for (const auto& g : m.grants()) {
        v.push_back(
            {.workspace = {g.workspace()},
             .operations = g.operations(),
             .retry_after = std::chrono::microseconds{static_cast<std::int64_t>(g.retry_after_us())}});
    }
    return v;
}

void to_wire(const std::vector<rate_grant>& v, wire::rate_reply& m) {
    for (const rate_grant& g : v) {
        auto* e = m.add_grants();
        e->set_workspace(g.workspace.value);
        e->set_operations(g.operations);
        e->set_retry_after_us(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(g.retry_after).count()));
    }
}

//-----------------------------------------------------------------------------
// [consensus]
//-----------------------------------------------------------------------------

raft::configuration from_wire(const wire::raft_configuration& m) {
    raft::configuration v;
    for (const auto& member : m.members()) {
        v.members.push_back(from_wire(member));
    }
    return v;
}

void to_wire(const raft::configuration& v, wire::raft_configuration& m) {
    for (const raft::member& member : v.members) {
        to_wire(member, *m.add_members());
    }
}

raft::snapshot from_wire(const wire::raft_snapshot& m) {
    return {.index = m.index(), .term = m.term(), .config = from_wire(m.config()), .data = m.data()};
}

void to_wire(const raft::snapshot& v, wire::raft_snapshot& m) {
    m.set_index(v.index);
    m.set_term(v.term);
    to_wire(v.config, *m.mutable_config());
    m.set_data(v.data);
}

raft::member from_wire(const wire::raft_member& m) {
    return {.id = m.id(), .name = m.name(), .address = m.address(), .voter = m.voter()};
}

void to_wire(const raft::member& v, wire::raft_member& m) {
    m.set_id(v.id);
    m.set_name(v.name);
    m.set_address(v.address);
    m.set_voter(v.voter);
}

raft::entry from_wire(const wire::raft_entry& m) {
    raft::entry v;
    v.index = m.index();
    v.term = m.term();
    v.command = m.command();
    if (m.has_config()) {
        v.config = from_wire(m.config());
    }
    return v;
}

void to_wire(const raft::entry& v, wire::raft_entry& m) {
    m.set_index(v.index);
    m.set_term(v.term);
    m.set_command(v.command);
    if (v.config) {
        to_wire(*v.config, *m.mutable_config());
    }
}

raft::message from_wire(const wire::raft_message& m) {
    raft::message v;
    v.kind = static_cast<raft::message_kind>(m.kind());
    v.from = m.from();
    v.to = m.to();
    v.term = m.term();
    v.log_index = m.log_index();
    v.log_term = m.log_term();
    v.commit = m.commit();
    v.round = m.round();
    v.granted = m.granted();
    for (const auto& e : m.entries()) {
        v.entries.push_back(from_wire(e));
    }
    if (m.has_snap()) {
        v.snap = from_wire(m.snap());
    }
    return v;
}

void to_wire(const raft::message& v, wire::raft_message& m) {
    m.set_kind(static_cast<std::uint32_t>(v.kind));
    m.set_from(v.from);
    m.set_to(v.to);
    m.set_term(v.term);
    m.set_log_index(v.log_index);
    m.set_log_term(v.log_term);
    m.set_commit(v.commit);
    m.set_round(v.round);
    m.set_granted(v.granted);
    for (const raft::entry& e : v.entries) {
        to_wire(e, *m.add_entries());
    }
    if (v.snap) {
        to_wire(*v.snap, *m.mutable_snap());
    }
}

raft::record from_wire(const wire::raft_record& m) {
    raft::record v;
    if (m.has_hard()) {
        v.hard = raft::hard_state{.term = m.hard().term(), .voted_for = m.hard().voted_for()};
    }
    if (m.has_log_entry()) {
        v.log_entry = from_wire(m.log_entry());
    }
    if (m.has_snap()) {
        v.snap = from_wire(m.snap());
    }
    return v;
}

void to_wire(const raft::record& v, wire::raft_record& m) {
    if (v.hard) {
        m.mutable_hard()->set_term(v.hard->term);
        m.mutable_hard()->set_voted_for(v.hard->voted_for);
    }
    if (v.log_entry) {
        to_wire(*v.log_entry, *m.mutable_log_entry());
    }
    if (v.snap) {
        to_wire(*v.snap, *m.mutable_snap());
    }
}

} // namespace larchpin
