// What a daemon sees of backend servers: see agent.hpp.
//
// Index
//   [probing]  [positions]  [reachability]
#include "daemon/agent.hpp"

#include "core/rendezvous.hpp"
#include "daemon/loans.hpp"
#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/log.hpp"

#include <algorithm>

namespace larchpin {

namespace {

constexpr duration group_use_time = std::chrono::seconds{2};
constexpr duration pull_interval = std::chrono::milliseconds{50};
// Where answers carry positions, others' are needed only by who has no traffic of his own to the primary.
constexpr duration slow_pull_interval = std::chrono::milliseconds{400};
constexpr duration pull_timeout = std::chrono::milliseconds{250};
constexpr unsigned refusals_for_dead = 2;
constexpr std::size_t peers_asked = 2; // for one server's position, until one of them answers
constexpr duration source_patience = std::chrono::milliseconds{300};   // afterwards all are asked again
constexpr unsigned all_connections = 100;                              // percent, see pool_state
constexpr duration position_patience = std::chrono::milliseconds{100}; // as long as requests wait for it

} // namespace

//-----------------------------------------------------------------------------
// [probing]
//-----------------------------------------------------------------------------

void agent::follow_assignment(const std::vector<server_id>& observe) {
    for (const server_id& id : observe) {
        const auto record = cluster_.servers.find(id);
        if (record == cluster_.servers.end()) {
            continue;
        }
        probed_server& p = probed_[id];
        const bool same_process = p.record.host == record->second.host &&
                                  p.record.port == record->second.port &&
                                  p.record.start_number == record->second.start_number;
        p.record = record->second;
        if (!same_process) {
            if (p.connection) {
                p.connection->close();
                p.connection.reset();
            }
            p.seen = {.server = id};
            p.answered_at = now(); // gets the whole detection time
            p.seen.alive = true;
            p.connecting = false;
            p.asking = false;
        }
    }
    for (auto p = probed_.begin(); p != probed_.end();) {
        if (std::find(observe.begin(), observe.end(), p->first) != observe.end()) {
            ++p;
            continue;
        }
        const auto connection = p->second.connection;
        const auto waiting = p->second.waiting_for_fresh;
        p = probed_.erase(p);
        if (connection) {
            connection->close();
        }
        for (const auto& done : waiting) {
            done();
        }
    }
}

void agent::set_alive(probed_server& p, bool alive) {
    if (p.seen.alive == alive) {
        return;
    }
    p.seen.alive = alive;
    log_event(alive ? severity::info : severity::warning, alive ? "server_answers" : "server_silent",
              {{"server", p.seen.server.value}});
    renew_soon();
}

void agent::probe_all() {
    const time_point at = now();
    std::vector<server_id> due;
    for (auto& [id, p] : probed_) {
        if (at - p.answered_at > config_.detect_time) {
            set_alive(p, false);
        }
        // An answer that is long overdue is not waited for on the same connection.
        if (p.asking && at - p.asked_at > config_.detect_time * 2 && p.connection) {
            p.connection->close();
        }
        if (at >= p.next_at || !p.waiting_for_fresh.empty()) {
            due.push_back(id);
        }
    }
    for (const server_id& id : due) {
        probe(id);
    }
}

void agent::connect_probe(const server_id& id) {
    probed_server& p = probed_[id];
    p.connecting = true;
    const auto connection = driver_.make_probe_connection(p.record);
    p.connection = connection;
    connection->connect([this, id, connection](connect_result result) {
        const auto found = probed_.find(id);
        if (found == probed_.end() || found->second.connection != connection) {
            return;
        }
        probed_server& owner = found->second;
        owner.connecting = false;
        if (result == connect_result::turned_away) {
            owner.answered_at = now(); // it lives, though there is no room to ask it more
            set_alive(owner, true);
        }
        if (result == connect_result::connected) {
            owner.refusals = 0;
            probe(id);
            return;
        }
        owner.connection.reset();
        owner.next_at = now() + config_.probe_interval / 2;
        if (result == connect_result::failed && ++owner.refusals >= refusals_for_dead) {
            set_alive(owner, false);
        }
    });
}

void agent::probe(const server_id& id) {
    probed_server& p = probed_[id];
    if (p.connecting || p.asking) {
        return;
    }
    if (!p.connection || !p.connection->is_open()) {
        p.connection.reset();
        connect_probe(id);
        return;
    }
    p.asking = true;
    p.asked_at = now();
    p.least_when_asked = least_mark(id);
    p.next_at = p.asked_at + config_.probe_interval;
    p.answering_fresh.swap(p.waiting_for_fresh);
    backend_sink sink;
    sink.keep_first_row = true;
    sink.on_done = [this, id, asked_at = p.asked_at](const backend_outcome& o) {
        on_probed(id, o, asked_at);
    };
    p.connection->run(driver_.position_probe, sink);
}

void agent::on_probed(const server_id& id, const backend_outcome& outcome, time_point asked_at) {
    const auto found = probed_.find(id);
    if (found == probed_.end()) {
        return;
    }
    probed_server& p = found->second;
    p.asking = false;
    const auto result = driver_.read_position(outcome);
    const bool tells_position =
        result || (driver_.servers_enforce_floor && outcome.answered && !outcome.failed);
    if (tells_position && has_gone_back(result, p.least_when_asked)) {
        // Dead, as far as the primary goes: it neither holds what it held nor will it again.
        set_alive(p, false);
        log_gone_back(id, result, *p.least_when_asked);
    } else if (result) {
        const auto role = driver_.position_probe_tells_role ? driver_.read_role(outcome) : std::nullopt;
        const auto group = cluster_.groups.find(p.record.group);
        const bool recorded = group != cluster_.groups.end() && group->second.primary == id;
        p.answered_at = now();
        p.seen.is_primary = role ? role->is_primary : recorded;
        // Reported is the highest mark of this start: one that falls back belongs to a start that control has
        // not heard of yet.
        const log_mark highest =
            std::max(log_mark{.timeline = p.seen.timeline, .position = p.seen.position}, *result);
        p.seen.timeline = highest.timeline;
        p.seen.position = highest.position;
        p.sample = {.not_before = asked_at, .timeline = result->timeline, .position = result->position};
        p.has_sample = true;
        set_alive(p, true);
        take_sample(id, p.seen.is_primary, p.sample, now());
    } else if (tells_position) {
        p.answered_at = now(); // its log is empty, and it lives
        set_alive(p, true);
    } else {
        p.next_at = now();
    }
    std::vector<std::function<void()>> answered;
    answered.swap(p.answering_fresh);
    for (const auto& done : answered) {
        done();
    }
}

//-----------------------------------------------------------------------------
// [positions]
//-----------------------------------------------------------------------------

// The log of the true primary grows for as long as it is that. One that stands further back than the record
// says, or than it was seen here in its term, is that of another process that came up under its name and
// holds nothing of what was acknowledged since: believed, it would read acknowledged writes back as absent.
// The record outlives this instance. Replicas may be rolled back.
std::optional<log_mark> agent::least_mark(const server_id& id) const {
    const auto server = cluster_.servers.find(id);
    if (server == cluster_.servers.end()) {
        return std::nullopt;
    }
    const auto group = cluster_.groups.find(server->second.group);
    if (group == cluster_.groups.end() || group->second.primary != id) {
        return std::nullopt;
    }
    const auto known = reigns_.find(server->second.group);
    const bool was_seen = known != reigns_.end() && group->second.term == known->second.term;
    return log_mark{.timeline = was_seen ? known->second.highest.timeline : 0,
                    .position = seen_primary_position(server->second.group)};
}

void agent::note_reign(const group_record& group, const position_sample& sample) {
    if (sample.timeline != group.timeline) {
        return;
    }
    reign& known = reigns_[group.id];
    if (known.term != group.term) {
        known = {.term = group.term, .highest = {.timeline = sample.timeline, .position = sample.position}};
    }
    known.highest.position = std::max(known.highest.position, sample.position);
}

void agent::take_sample(const server_id& id, bool is_primary, const position_sample& sample,
                        time_point taken_by) {
    const auto server = cluster_.servers.find(id);
    if (server == cluster_.servers.end()) {
        return;
    }
    const group_id& group_name = server->second.group;
    const auto group = cluster_.groups.find(group_name);
    if (group == cluster_.groups.end()) {
        return;
    }
    group_positions& known = positions_[group_name];
    add_server_sample(known, id, sample, taken_by);
    if (group->second.primary == id) {
        note_reign(group->second, sample);
    }
    bool awaited = !driver_.servers_enforce_floor; // then every sample may let a read go on
    const group_record& record = group->second;
    const bool is_true_primary = is_primary && record.primary == id && record.phase == group_phase::serving &&
                                 sample.timeline == record.timeline && has_lease();
    if (is_true_primary) {
        add_primary_sample(known, record.term, sample);
        const auto wanted = fresh_wanted_.find(group_name);
        if (wanted != fresh_wanted_.end() && sample.not_before >= wanted->second.since) {
            fresh_wanted_.erase(wanted);
            awaited = true;
        }
    }
    if (awaited && on_change) {
        on_change();
    }
}

// Asks the daemons of this failure domain that may be probing the servers of the groups in use here.
void agent::pull_positions() {
    const time_point at = now();
    if (driver_.servers_enforce_floor) {
        ask_primaries();
    }
    if (at < next_pull_ && (fresh_wanted_.empty() || driver_.servers_enforce_floor)) {
        return;
    }
    std::map<std::string, wire::position_request> requests;
    for (const auto& [group, used] : used_at_) {
        if (at - used > group_use_time) {
            continue;
        }
        const auto record = cluster_.groups.find(group);
        const bool fresh = fresh_wanted_.contains(group) && !driver_.servers_enforce_floor;
        for (const server_record& server : servers_of(cluster_, group)) {
            const auto own = probed_.find(server.id);
            const bool is_primary = record != cluster_.groups.end() && record->second.primary == server.id;
            if (own != probed_.end()) {
                if (fresh && is_primary && !own->second.asking && own->second.waiting_for_fresh.empty()) {
                    own->second.waiting_for_fresh.emplace_back([] {});
                }
                continue;
            }
            if (at < next_pull_ && !(fresh && is_primary)) {
                continue;
            }
            auto ranked = ranked_instances(cluster_, config_.domain, server.id);
            std::erase(ranked, config_.id);
            const position_source& source = sources_[server.id];
            const bool source_answers = at - source.answered_at < source_patience;
            for (std::size_t i = 0; i < ranked.size() && i < peers_asked; ++i) {
                const std::string& address = cluster_.instances.at(ranked[i]).address;
                if (source_answers && address != source.address) {
                    continue;
                }
                wire::position_request& request = requests[address];
                (fresh && is_primary ? *request.add_fresh() : *request.add_servers()) = server.id.value;
            }
        }
    }
    if (at >= next_pull_) {
        next_pull_ = at + (driver_.servers_enforce_floor ? slow_pull_interval : pull_interval);
    }
    for (const auto& [address, request] : requests) {
        if (pulling_[address]) {
            continue;
        }
        pulling_[address] = true;
        clients_.to(address).post("/v1/positions", request.SerializeAsString(), pull_timeout,
                                  [this, key = address, at](const http_outcome& o) {
                                      pulling_[key] = false;
                                      wire::position_reply reply;
                                      if (!o.answered || o.status != 200 || !reply.ParseFromString(o.body)) {
                                          return;
                                      }
                                      for (const auto& e : reply.entries()) {
                                          const auto server = cluster_.servers.find({e.server()});
                                          if (server == cluster_.servers.end() ||
                                              server->second.start_number != e.start_number()) {
                                              continue; // it tells of another start
                                          }
                                          sources_[{e.server()}] = {.address = key, .answered_at = now()};
                                          // Its age was told after we asked, so the sample is at most that
                                          // much older than our question.
                                          const duration told{static_cast<std::int64_t>(e.age_ns())};
                                          take_sample({e.server()}, e.is_primary(),
                                                      {.not_before = at - grantor_lease_duration(told),
                                                       .timeline = e.timeline(),
                                                       .position = e.position()},
                                                      now() - holder_lease_duration(told));
                                      }
                                  });
    }
}

// Where answers carry positions, the primary itself is asked, over a connection of the pool, and only when a
// request cannot be routed without.
void agent::ask_primaries() {
    for (const auto& [id, wanted] : fresh_wanted_) {
        const auto group = cluster_.groups.find(id);
        if (group == cluster_.groups.end() || group->second.phase != group_phase::serving ||
            asking_primary_[id]) {
            continue;
        }
        const auto primary = cluster_.servers.find(group->second.primary);
        if (primary != cluster_.servers.end() && has_lease() && !is_leave_over(primary->first)) {
            ask_primary(id, wanted.service, primary->second);
        }
    }
}

void agent::ask_primary(const group_id& group, const service_id& service, const server_record& primary) {
    const share_key key{.service = service, .server = primary.id};
    asking_primary_[group] = true;
    const auto ask = [this, key, group](const std::shared_ptr<backend_connection>& connection,
                                        connection_number number) {
        const time_point asked_at = now();
        backend_sink sink;
        sink.on_done = [this, key, group, asked_at, number, connection](const backend_outcome& outcome) {
            asking_primary_[group] = false;
            if (outcome.position) {
                note_position(key.server, asked_at, *outcome.position);
            }
            if (!connection->is_lent) {
                connection->held = {}; // the probe resets the connection
                pools_.release(key, number, outcome.answered, now() - asked_at);
            }
        };
        connection->run(driver_.position_probe, sink);
    };
    const time_point until = now() + position_patience;
    const loan_terms terms{.key = key,
                           .any_workspace = true,
                           .klass = request_class::critical,
                           .queue_until = until,
                           .deadline = until,
                           .on_primary = true,
                           .term = cluster_.groups.at(group).term};
    if (const auto lent = borrow ? borrow(terms) : nullptr) {
        ask(lent, 0);
        return;
    }
    pools_.request(key, primary, all_connections,
                   {.klass = request_class::critical, .deadline = until, .any_workspace = true},
                   [this, group, ask](const pool_answer& answer) {
                       if (answer.connection) {
                           ask(answer.connection, answer.number);
                       } else {
                           asking_primary_[group] = false;
                       }
                   });
}

void agent::note_position(const server_id& server, time_point asked_at, const log_mark& mark) {
    const auto record = cluster_.servers.find(server);
    const auto group =
        record == cluster_.servers.end() ? cluster_.groups.end() : cluster_.groups.find(record->second.group);
    const bool is_primary = group != cluster_.groups.end() && group->second.primary == server;
    take_sample(server, is_primary,
                {.not_before = asked_at, .timeline = mark.timeline, .position = mark.position}, now());
}

log_position agent::seen_primary_position(const group_id& group) const {
    const auto record = cluster_.groups.find(group);
    if (record == cluster_.groups.end()) {
        return 0;
    }
    const auto known = reigns_.find(group);
    const bool was_seen = known != reigns_.end() && known->second.term == record->second.term;
    return std::max(lowest_primary_position(record->second),
                    was_seen ? known->second.highest.position : log_position{0});
}

bool agent::is_promised(const group_id& group) const {
    const auto record = cluster_.groups.find(group);
    return record != cluster_.groups.end() && record->second.sync_replicas > 0;
}

commit_start agent::find_commit_start(const group_id& group) const {
    return {.position = seen_primary_position(group), .is_promised = is_promised(group)};
}

void agent::note_acknowledged(const group_id& group, term_number term, const commit_start& sent,
                              log_position position, std::function<void(bool)> done) {
    if (!record_acknowledgement(acknowledged_, group, term, sent, position, now())) {
        log_event(severity::warning, "acknowledged_position_went_back",
                  {{"group", group.value},
                   {"group_term", term},
                   {"position", position},
                   {"seen_before", sent.position}});
    }
    if (is_promised(group) && position > sent.position) {
        marks_.store(make_mark(group, term, sent, position), std::move(done));
    } else {
        done(true);
    }
}

std::string agent::answer_marks(const std::string& body) {
    wire::marks_request m;
    wire::marks_reply reply;
    if (!confirmed_once_) {
        reply.set_code(static_cast<std::uint32_t>(result_code::no_lease)); // its copy may lack the group
        return reply.SerializeAsString();
    }
    if (!m.ParseFromString(body)) {
        reply.set_code(static_cast<std::uint32_t>(result_code::bad_message));
        return reply.SerializeAsString();
    }
    std::vector<acknowledged_mark> marks;
    for (const auto& mark : m.marks()) {
        marks.push_back(from_wire(mark));
    }
    for (const acknowledged_mark& mark : record_held_marks(acknowledged_, cluster_, marks, now())) {
        auto* refused = reply.add_refused();
        refused->set_group(mark.group.value);
        refused->set_term(mark.term);
        log_event(severity::info, "acknowledged_mark_refused",
                  {{"group", mark.group.value},
                   {"group_term", mark.term},
                   {"position", mark.highest},
                   {"revision", cluster_.revision}});
    }
    return reply.SerializeAsString();
}

// Believed like what an observer says: a sample of the primary counts with a live lease only, and where the
// agreed state names this server on the same timeline.
void agent::note_told_position(const server_id& server, std::uint64_t start_number,
                               const position_sample& sample, time_point taken_by) {
    const auto record = cluster_.servers.find(server);
    if (record == cluster_.servers.end() || record->second.start_number != start_number) {
        return; // it tells of another start
    }
    const auto group = cluster_.groups.find(record->second.group);
    const bool is_primary = group != cluster_.groups.end() && group->second.primary == server;
    take_sample(server, is_primary, sample, taken_by);
}

void agent::answer_positions(const std::string& body, const http_respond& respond) {
    wire::position_request request;
    if (!request.ParseFromString(body)) {
        respond({.status = 400, .body = {}});
        return;
    }
    std::vector<server_id> asked;
    for (const auto& id : request.servers()) {
        asked.push_back({id});
    }
    for (const auto& id : request.fresh()) {
        asked.push_back({id});
    }
    const auto answer = [this, asked, respond] {
        wire::position_reply reply;
        for (const server_id& id : asked) {
            const auto p = probed_.find(id);
            if (p == probed_.end() || !p->second.has_sample) {
                continue;
            }
            auto* e = reply.add_entries();
            e->set_server(id.value);
            e->set_age_ns(static_cast<std::uint64_t>((now() - p->second.sample.not_before).count()));
            e->set_is_primary(p->second.seen.is_primary);
            e->set_timeline(p->second.sample.timeline);
            e->set_position(p->second.sample.position);
            e->set_start_number(p->second.record.start_number);
        }
        respond({.status = 200, .body = reply.SerializeAsString()});
    };
    auto open = std::make_shared<int>(1);
    const auto one_done = [open, answer] {
        if (--*open == 0) {
            answer();
        }
    };
    for (const auto& id : request.fresh()) {
        const auto p = probed_.find({id});
        if (p != probed_.end() && p->second.seen.alive) {
            ++*open;
            p->second.waiting_for_fresh.emplace_back(one_done);
            probe(p->first);
        }
    }
    one_done();
}

//-----------------------------------------------------------------------------
// [reachability]
//-----------------------------------------------------------------------------

void agent::note_asked(const server_id& server) {
    larchpin::record_request(reach_[server], now());
}

void agent::note_answered(const server_id& server) {
    reachability& r = reach_[server];
    if (larchpin::is_unreachable(r, now())) {
        log_event(severity::info, "server_reachable", {{"server", server.value}});
    }
    larchpin::record_answer(r);
}

bool agent::is_unreachable(const server_id& server) const {
    const auto known = reach_.find(server);
    return known != reach_.end() && larchpin::is_unreachable(known->second, now());
}

// Requests go elsewhere meanwhile, so nothing else would tell when it answers again.
void agent::probe_unreachable() {
    std::erase_if(reach_, [this](const auto& r) { return !cluster_.servers.contains(r.first); });
    for (auto& [id, r] : reach_) {
        if (!begin_probe_if_due(r, now())) {
            continue;
        }
        log_event(severity::warning, "server_unreachable", {{"server", id.value}});
        const auto connection = driver_.make_probe_connection(cluster_.servers.at(id));
        connection->connect([this, id = id, connection](connect_result result) {
            const auto known = reach_.find(id);
            if (known != reach_.end()) {
                known->second.probing = false;
                if (result != connect_result::failed) {
                    note_answered(id);
                }
            }
            connection->close();
        });
    }
}

bool agent::is_silent(const server_record& server) const {
    if (driver_.servers_enforce_floor) {
        return is_unreachable(server.id); // positions come with answers only
    }
    const auto group = positions_.find(server.group);
    if (group == positions_.end()) {
        return false;
    }
    const auto known = group->second.servers.find(server.id);
    return known != group->second.servers.end() &&
           now() - known->second.newest.not_before > config_.detect_time + pull_interval * 2;
}

} // namespace larchpin
