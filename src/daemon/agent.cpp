// Loop, leases, the copy of the state, announcements, what sessions ask: see agent.hpp. What this daemon sees
// of backend servers stands in agent_servers.cpp.
//
// Index
//   [loop]  [renewing]  [watching]  [shares]  [announcements]  [for sessions]
#include "daemon/agent.hpp"

#include "core/control_pacing.hpp"
#include "core/rendezvous.hpp"
#include "daemon/loans.hpp"
#include "generated/larchpin.pb.h"
#include "io/addresses.hpp"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{5};
// Below control's share_grace by more than the drift of two clocks.
constexpr duration share_grace = std::chrono::milliseconds{1150};
constexpr int renewals_per_lease = 5;
constexpr duration watch_timeout = std::chrono::seconds{7};
constexpr duration min_watch_pause = std::chrono::milliseconds{30}; // after a failed one
constexpr duration max_watch_pause = std::chrono::milliseconds{240};
constexpr int renewal_spread = 8; // one part in so many: instances that started together come apart
constexpr duration announcement_age = std::chrono::seconds{1};
constexpr duration share_request_interval = std::chrono::milliseconds{50};
constexpr std::size_t max_announcements = 20'000;

std::uint64_t make_incarnation() {
    // Wall time orders the lives of one instance; a clock set back makes control wait out the old lease.
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

} // namespace

agent::agent(asio::io_context& io, const settings& config, const shared_keys& keys, backend_pools& pools,
             const backend_driver& driver)
    : io_(io), config_(config), pools_(pools), driver_(driver), timer_(io), incarnation_(make_incarnation()),
      phases_(now()), search_(make_control_search(config.control_addresses)),
      renewal_interval_(config.lease / renewals_per_lease),
      random_(std::random_device{}()), watch_backoff_{.min_pause = min_watch_pause,
                                                      .max_pause = max_watch_pause},
      clients_(io, keys, control_silence(config.lease)), marks_(clients_) {
    update_control_addresses();
}

agent::~agent() = default;

//-----------------------------------------------------------------------------
// [loop]
//-----------------------------------------------------------------------------

void agent::start() {
    pools_.on_short_of_share = [this] {
        if (now() >= next_share_request_) {
            next_share_request_ = now() + share_request_interval;
            asked_for_share_ = true;
            renew_soon();
        }
    };
    pools_.on_opening = [this](const server_id& id) { note_asked(id); };
    pools_.on_opened = [this](const server_id& id) { note_answered(id); };
    pools_.least_mark = [this](const server_id& id) { return least_mark(id); };
    pools_.on_open_failed = [this](const server_id& id) { record_failure(health_[id], now()); };
    on_tick();
}

void agent::on_tick() {
    const time_point at = now();
    if (!stopping_) {
        const bool is_due = renew_again_ || at >= next_renewal_;
        if (const auto control = choose_control(search_, is_due, at)) {
            renew(*control);
        }
    }
    if (!stopping_ && !watching_ && at >= next_watch_) {
        watch();
    }
    follow_lease();
    give_shares_back();
    probe_all();
    probe_unreachable();
    pull_positions();
    answer_awaited();
    marks_.on_tick();
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            on_tick();
        }
    });
}

bool agent::has_lease() const {
    return !stopping_ && lease_is_live(lease_, now());
}

const lost_instance_set& agent::lost() const {
    static const lost_instance_set nobody;
    return has_lease() ? lost_ : nobody;
}

bool agent::is_in_touch() const {
    return has_lease() && lease_is_live(lease_, now() + config_.lease / 2);
}

// The share of a daemon without a lease is what control has reserved for it.
void agent::follow_lease() {
    const bool has = has_lease();
    if (has == had_lease_) {
        return;
    }
    had_lease_ = has;
    if (has) {
        phases_.reached("lease", now());
    }
    log_event(has ? severity::info : severity::warning, has ? "lease_held" : "lease_lost",
              {{"revision", cluster_.revision}});
    shares_end_ = has ? time_point{} : now() + (stopping_ ? duration{0} : share_grace);
    if (!has && !stopping_) {
        take_reserves();
    }
    give_shares_back();
    if (on_change) {
        on_change();
    }
}

bool agent::holds_reserve(const server_record& server) const {
    const auto holders = reserve_holders(cluster_, server);
    return std::find(holders.begin(), holders.end(), config_.id) != holders.end();
}

// Without control what is reserved here may be used, also where others hold the connections otherwise:
// control gives these to nobody.
void agent::take_reserves() {
    if (!takes_callers || !driver_.servers_enforce_floor) {
        return; // others learn nothing of a server's positions without control
    }
    const auto shares = pools_.shares();
    for (const auto& [id, server] : cluster_.servers) {
        if (server.domain != config_.domain || !holds_reserve(server)) {
            continue;
        }
        for (const route_entry& route : cluster_.current_table.routes) {
            const share_key key{.service = route.service, .server = id};
            const auto held = shares.find(key);
            if (route.group == server.group && (held == shares.end() || held->second == 0)) {
                pools_.set_share(key, 1);
            }
        }
    }
}

// Connections stay for a while after the lease, for reads by known positions; then the others count on them.
void agent::give_shares_back() {
    if (shares_end_ == time_point{} || now() < shares_end_) {
        return;
    }
    shares_end_ = {};
    for (const auto& [key, share] : pools_.shares()) {
        const auto server = cluster_.servers.find(key.server);
        const bool reserved = server != cluster_.servers.end() && holds_reserve(server->second);
        pools_.revoke_share(key, reserved && !stopping_ ? std::min(share, 1U) : 0);
    }
}

//-----------------------------------------------------------------------------
// [renewing]
//-----------------------------------------------------------------------------

renewal agent::make_renewal() {
    renewal r;
    r.instance = {.id = config_.id,
                  .domain = config_.domain,
                  .address = config_.peer_address,
                  .accepts_clients = takes_callers};
    r.incarnation = incarnation_;
    r.applied_revision = cluster_.revision;
    r.last_reply_seq = last_reply_seq_;
    r.stopping = stopping_;
    r.lost_version = lost_.version;
    for (const auto& [id, p] : probed_) {
        if (p.answered_at != time_point{} || !p.seen.alive) {
            r.observations.push_back(p.seen);
        }
    }
    const time_point at = now();
    std::erase_if(announced_, [at](const auto& a) { return at - a.second.at > announcement_age; });
    for (const auto& [id, heard] : announced_) {
        r.announcements.push_back(heard.last);
    }
    r.claims = pools_.claims();
    drop_outdated_marks(acknowledged_, cluster_, config_.lease, at);
    r.acknowledged = find_untold_marks(acknowledged_, leader_term());
    r.known_since = known_since_;
    return r;
}

void agent::renew_soon() {
    renew_again_ = true;
}

void agent::renew(const std::string& control) {
    const time_point sent = now();
    record_sent(search_, control, sent);
    if (control == search_.leader) {
        renew_again_ = false;
        next_renewal_ = sent + renewal_interval_ - spread(renewal_interval_ / renewal_spread);
    }
    const renewal r = make_renewal();
    wire::renewal m;
    to_wire(r, m);
    clients_.to(control).post("/v1/renew", m.SerializeAsString(),
                              http_wait{.timeout = config_.lease, .late_after = late_renewal},
                              [this, control, sent, told = r.acknowledged](const http_outcome& o) {
                                  on_renewed(o, control, sent, told);
                              });
}

duration agent::spread(duration most) {
    return duration{std::uniform_int_distribution<duration::rep>(0, most.count())(random_)};
}

void agent::on_renewed(const http_outcome& o, const std::string& control, time_point sent,
                       const std::vector<acknowledged_mark>& told) {
    const std::string asked_leader = search_.leader;
    wire::renewal_reply m;
    const bool answered = o.answered && o.status == 200 && m.ParseFromString(o.body);
    const renewal_reply reply = answered ? from_wire(m) : renewal_reply{};
    if (!answered || reply.code == result_code::not_leader) {
        if (answered) {
            record_not_leader(search_, control, m.leader_address(), reply.renew_after, now(), random_);
        } else {
            record_unanswered(search_, control, now(), random_);
        }
        if (control == asked_leader || search_.leader != asked_leader) {
            next_renewal_ = search_.next_request;
        }
        return;
    }
    if (reply.code == result_code::ok) {
        record_told_marks(acknowledged_, leader_term_of(reply.seq), told);
        known_since_ = known_since_ == 0 ? reply.known_since : known_since_;
    }
    const bool is_overtaken = sent < answered_sent_at_ && reply.seq < last_reply_seq_; // by a later leader's
    if (reply.code != result_code::ok || is_overtaken) {
        search_.open.erase(control);
        return;
    }
    record_granted(search_, control);
    answered_sent_at_ = std::max(answered_sent_at_, sent);
    if (!stopping_) {
        apply_renewal(reply, sent);
    }
}

// The settings' addresses stay the last resort, and for a control instance its own: it may know the leader
// when none of them answers.
void agent::update_control_addresses() {
    search_.addresses = control_members_;
    search_.addresses.insert(search_.addresses.end(), config_.control_addresses.begin(),
                             config_.control_addresses.end());
    if (config_.control_member) {
        search_.addresses.push_back(config_.peer_address);
    }
}

void agent::apply_renewal(const renewal_reply& reply, time_point sent) {
    const duration usual_interval = config_.lease / renewals_per_lease;
    renewal_interval_ = std::clamp(reply.renew_after, usual_interval, usual_interval * 2);
    add_grant(lease_, sent, reply.lease, reply.revision, cluster_.revision);
    record_answered_renewal(leave_times_, reply.revision, sent);
    if (leader_term_of(reply.seq) != leader_term_of(last_reply_seq_)) {
        renew_soon();     // a new leader shares connections out once it knows that all go by its word
        next_watch_ = {}; // the pause was for an earlier one
        record_success(watch_backoff_);
    }
    const std::uint64_t term_before = leader_term();
    last_reply_seq_ = std::max(last_reply_seq_, reply.seq);
    if (on_leader && leader_term() != term_before) {
        on_leader();
    }
    if (!reply.control_addresses.empty()) {
        control_members_ = reply.control_addresses;
        update_control_addresses();
        marks_.set_holders(control_members_, config_.peer_address);
    }
    if (reply.lost && apply_lost_instances_update(lost_, *reply.lost, cluster_)) {
        log_event(severity::info, "lost_instances",
                  {{"lost", static_cast<std::uint64_t>(lost_.instances.size())}, {"number", lost_.version}});
    }
    apply_shares(reply);
    follow_assignment(reply.servers_to_observe);
    if (reply.revision > cluster_.revision && watch_address_ != search_.leader) {
        watching_ = false; // the one being watched is behind or silent
        ++watch_generation_;
        next_watch_ = {};
    }
    follow_lease();
}

void agent::stop(std::function<void()> done) {
    stopping_ = true;
    release_lease(lease_);
    follow_lease();
    wire::renewal m;
    to_wire(make_renewal(), m);
    clients_.to(search_.leader)
        .post("/v1/renew", m.SerializeAsString(),
              http_wait{.timeout = config_.lease, .late_after = late_renewal},
              [done = std::move(done)](const http_outcome&) { done(); });
}

//-----------------------------------------------------------------------------
// [watching]
//-----------------------------------------------------------------------------

void agent::watch() {
    watching_ = true;
    watch_address_ = search_.leader;
    wire::watch_request m;
    m.set_applied(cluster_.revision);
    m.set_wait(true);
    const std::uint64_t generation = ++watch_generation_;
    clients_.to(watch_address_)
        .post("/v1/watch", m.SerializeAsString(), watch_timeout,
              [this, generation](const http_outcome& o) { on_watched(o, generation); });
}

void agent::on_watched(const http_outcome& o, std::uint64_t generation) {
    if (generation != watch_generation_) {
        return;
    }
    watching_ = false;
    wire::watch_reply m;
    if (!o.answered || o.status != 200 || !m.ParseFromString(o.body)) {
        next_watch_ = now() + record_failure(watch_backoff_, random_);
        return;
    }
    record_success(watch_backoff_);
    const revision_number before = cluster_.revision;
    const bool is_awaited = apply_reply(m);
    if (cluster_.revision > before) {
        record_applied(lease_, cluster_.revision);
        if (is_awaited) {
            renew_soon(); // others may be waiting for this confirmation
        }
        follow_lease();
        if (on_change) {
            on_change();
        }
    }
    watch();
}

bool agent::apply_reply(const wire::watch_reply& reply) {
    bool is_awaited = false;
    if (reply.has_full() && reply.full().revision() > cluster_.revision) {
        const revision_number first_new = cluster_.revision + 1;
        cluster_ = from_wire(reply.full());
        follow_starts();
        learn_leaving(first_new);
        is_awaited = true;
    }
    for (const auto& m : reply.entries()) {
        const raft::entry e = from_wire(m);
        if (e.index != cluster_.revision + 1) {
            continue;
        }
        const auto c =
            e.command.empty() ? std::optional<command>{std::monostate{}} : decode_command(e.command);
        is_awaited = is_awaited || is_urgent(c.value_or(std::monostate{}), cluster_);
        apply(cluster_, e.index, c.value_or(std::monostate{}));
        const bool changes_servers =
            c && (std::holds_alternative<register_server>(*c) || std::holds_alternative<remove_server>(*c));
        if (changes_servers) {
            follow_starts();
            learn_leaving(e.index);
        }
    }
    confirmed_once_ = true;
    phases_.reached("state", now());
    answer_awaited();
    return is_awaited;
}

// A server's process has gone, or another one runs under its id: nothing that was learned of it says anything
// of the next. Its connections lead to nobody any more; requests that run there end as lost.
void agent::follow_starts() {
    for (auto known = starts_.begin(); known != starts_.end();) {
        const auto server = cluster_.servers.find(known->first);
        if (server != cluster_.servers.end() && server->second.start_number == known->second) {
            ++known;
            continue;
        }
        log_event(severity::info, "server_start_over",
                  {{"server", known->first.value},
                   {"start", known->second},
                   {"next_start", server == cluster_.servers.end() ? 0 : server->second.start_number},
                   {"started", server == cluster_.servers.end() ? 0 : server->second.start_time_ms}});
        forget_start(known->first);
        known = starts_.erase(known);
    }
    for (const auto& [id, server] : cluster_.servers) {
        starts_.try_emplace(id, server.start_number);
    }
}

void agent::forget_start(const server_id& id) {
    for (auto& [group, known] : positions_) {
        known.servers.erase(id);
    }
    health_.erase(id);
    reach_.erase(id);
    sources_.erase(id);
    const auto probed = probed_.find(id);
    if (probed != probed_.end()) {
        const auto connection = probed->second.connection;
        probed->second.connection.reset();
        probed->second.has_sample = false;
        probed->second.seen = {.server = id, .alive = true};
        if (connection) {
            connection->close();
        }
    }
    pools_.drop_connections(id);
}

// Whether this instance knew, and from when on, is the first question about a request that went to a leaving
// server.
void agent::learn_leaving(revision_number first_new) {
    for (const server_id& id : update_leaving_servers(leave_times_, cluster_, first_new)) {
        const std::optional<time_point> since = leave_times_.leaves.at(id).earliest_ack;
        const duration ago = since ? now() - *since : config_.leave_time;
        log_event(severity::info, "leaving_learned",
                  {{"server", id.value},
                   {"revision", first_new},
                   {"acknowledged_ms_ago_at_most",
                    std::chrono::duration_cast<std::chrono::milliseconds>(ago).count()},
                   {"over", is_leave_over(id)}});
    }
}

bool agent::is_leave_over(const server_id& server) const {
    return larchpin::leave_time_has_expired(leave_times_, server, config_.leave_time, now());
}

//-----------------------------------------------------------------------------
// [shares]
//-----------------------------------------------------------------------------

// Where asking brought nothing there is nothing to be had for now: the next usual renewal asks again.
void agent::apply_shares(const renewal_reply& reply) {
    bool grew = false;
    const auto before = pools_.shares();
    for (const share_grant& g : reply.shares) {
        const auto held = before.find(g.key);
        grew = grew || g.connections > (held == before.end() ? 0 : held->second);
        pools_.set_share(g.key, g.connections);
    }
    if (grew) {
        phases_.reached("shares", now());
    }
    if (asked_for_share_ && !grew) {
        next_share_request_ = now() + renewal_interval_;
    }
    asked_for_share_ = false;
}

//-----------------------------------------------------------------------------
// [announcements]
//-----------------------------------------------------------------------------

void agent::take_announcement(const server_announcement& a, duration patience,
                              std::function<void(result_code)> done) {
    if (!has_lease()) {
        done(result_code::no_lease);
    } else if (!note_announcement(a)) {
        done(result_code::bad_message);
    } else if (is_agreed(a)) {
        done(result_code::ok);
    } else {
        awaited_.push_back({.announced = a, .until = now() + patience, .done = std::move(done)});
    }
}

// A server that leaves ends on the strength of the acknowledgement. Given from this instance's memory it
// would be worth nothing once this instance is cut off or starts again, or the leader changes: all of them
// forgot.
bool agent::is_agreed(const server_announcement& a) const {
    const auto known = cluster_.servers.find(a.record.id);
    if (known == cluster_.servers.end()) {
        return !a.leaving;
    }
    const bool same_start = known->second.start_time_ms == a.record.start_time_ms;
    return !(a.leaving || a.stopped) || (known->second.leaving && same_start);
}

void agent::answer_awaited() {
    std::vector<awaited_agreement> open;
    open.swap(awaited_);
    for (awaited_agreement& w : open) {
        if (is_agreed(w.announced)) {
            w.done(result_code::ok);
        } else if (now() >= w.until) {
            w.done(result_code::no_quorum);
        } else {
            awaited_.push_back(std::move(w));
        }
    }
}

// Of another writer, or of a kind that no server of ours has: it names no server to use. Where servers tell
// when they started, all of them do.
bool agent::makes_sense(const server_announcement& a) const {
    const server_record& r = a.record;
    const bool whole = !r.id.value.empty() && !r.group.value.empty() && r.port > 0 &&
                       parse_endpoint(r.host + ":1").has_value();
    const bool others_tell = std::any_of(cluster_.servers.begin(), cluster_.servers.end(),
                                         [](const auto& s) { return s.second.start_time_ms != 0; });
    const auto known = cluster_.servers.find(r.id);
    const bool other_group = known != cluster_.servers.end() && known->second.group != r.group &&
                             known->second.start_time_ms == r.start_time_ms;
    return whole && !other_group && (r.start_time_ms != 0 || !others_tell);
}

// A number of slots that no server has counts as not told: the server is served as one that tells none.
server_announcement agent::without_bad_slots(const server_announcement& a) {
    server_announcement taken = a;
    if (a.record.slots > max_server_slots) {
        taken.record.slots = 0;
        const auto heard = announced_.find(a.record.id);
        const bool told_before = heard != announced_.end() && heard->second.has_bad_slots;
        if (!told_before) {
            log_event(severity::warning, "server_slots_ignored",
                      {{"server", a.record.id.value},
                       {"code", static_cast<std::uint64_t>(result_code::bad_message)},
                       {"takes", "1 to " + std::to_string(max_server_slots)}});
        }
    }
    return taken;
}

bool agent::note_announcement(const server_announcement& told) {
    const server_announcement a = without_bad_slots(told);
    if (!makes_sense(a) || announced_.size() >= max_announcements) {
        return false;
    }
    heard_announcement& heard = announced_[a.record.id];
    const bool news = heard.last.leaving != a.leaving || heard.last.stopped != a.stopped ||
                      heard.last.is_primary != a.is_primary || heard.last.record != a.record;
    const bool overtaken = std::pair(a.record.start_time_ms, a.sequence) <
                           std::pair(heard.last.record.start_time_ms, heard.last.sequence);
    if (overtaken) {
        return true;
    }
    heard = {.last = a, .at = now(), .has_bad_slots = told.record.slots > max_server_slots};
    if (news) {
        log_event(severity::info, "server_announced",
                  {{"server", a.record.id.value},
                   {"group", a.record.group.value},
                   {"primary", a.is_primary},
                   {"leaving", a.leaving},
                   {"gone", a.stopped},
                   {"started", a.record.start_time_ms},
                   {"slots", static_cast<std::uint64_t>(a.record.slots)},
                   {"sequence", a.sequence}});
        renew_soon();
    }
    return true;
}

std::string agent::answer_announcement(const std::string& body) {
    wire::server_announcement m;
    wire::announcement_reply reply;
    const server_announcement a = m.ParseFromString(body) ? from_wire(m) : server_announcement{};
    if (!note_announcement(a)) {
        reply.set_code(static_cast<std::uint32_t>(result_code::bad_message));
        return reply.SerializeAsString();
    }
    if (!is_agreed(a)) { // its next announcement asks again
        reply.set_code(static_cast<std::uint32_t>(result_code::no_quorum));
    }
    const auto group = cluster_.groups.find(a.record.group);
    // Without a lease this copy may be old, and a server that followed it would follow a replaced primary.
    if (!has_lease() || group == cluster_.groups.end()) {
        return reply.SerializeAsString();
    }
    to_wire(group->second, *reply.mutable_group());
    const auto primary = cluster_.servers.find(group->second.primary);
    if (primary != cluster_.servers.end()) {
        to_wire(primary->second, *reply.mutable_primary());
    }
    return reply.SerializeAsString();
}

//-----------------------------------------------------------------------------
// [for sessions]
//-----------------------------------------------------------------------------

group_view agent::view(const group_id& group, const service_id& service) {
    group_view v;
    used_at_[group] = now();
    const auto record = cluster_.groups.find(group);
    if (record == cluster_.groups.end()) {
        return v;
    }
    v.record = record->second;
    v.positions = &positions_[group];
    v.servers_enforce_floor = driver_.servers_enforce_floor;
    const time_point at = now();
    const bool lease = has_lease();
    for (const server_record& server : servers_of(cluster_, group)) {
        const server_entry entry = server_settings(cluster_.current_table, server.id);
        const server_health& health = health_[server.id];
        server_view s;
        s.id = server.id;
        s.weight = entry.weight;
        s.leaving = entry.leaving || server.leaving;
        s.leave_deadline_passed = is_leave_over(server.id);
        s.unresponsive = is_silent(server);
        s.same_domain = server.domain == config_.domain;
        s.outstanding = health.outstanding;
        s.latency = expected_latency(health, at);
        s.ejected_until = health.ejected_until;
        s.slow_start_factor = slow_start_factor(health, at);
        const share_key key{.service = service, .server = server.id};
        s.last_request_at = health.last_request_at;
        if (const auto load = load_of ? load_of(server.id) : std::nullopt) {
            apply_load(s, *load);
        }
        s.has_connections = pools_.may_serve(key, lease) || (may_borrow_near && may_borrow_near(key));
        v.servers.push_back(s);
    }
    return v;
}

void agent::want_fresh_position(const group_id& group, const service_id& service) {
    const bool first = fresh_wanted_.emplace(group, position_wish{.since = now(), .service = service}).second;
    if (first) {
        asio::post(io_, [this] {
            pull_positions();
            probe_all();
        });
    }
}

duration agent::usual_latency(const server_id& server) const {
    const auto known = health_.find(server);
    return known == health_.end() ? duration{0} : expected_latency(known->second, now());
}

void agent::note_request_started(const server_id& server) {
    server_health& health = health_[server];
    record_start(health);
    health.last_request_at = now();
}

void agent::note_request_ended(const server_id& server, bool ok, duration took) {
    if (ok) {
        record_success(health_[server], took, now());
    } else {
        record_failure(health_[server], now());
    }
}

void agent::note_request_left(const server_id& server) {
    record_abandoned(health_[server]);
}

} // namespace larchpin
