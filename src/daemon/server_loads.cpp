// See server_loads.hpp.
//
// Index
//   [messages]  [knowing]  [borrowing]  [lending]  [other lenders]
#include "daemon/server_loads.hpp"

#include "core/lease.hpp"
#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/log.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {

namespace asio = boost::asio;

namespace {

// A queue of usual length changes within some ten milliseconds; asked more often it is told no better.
constexpr duration exchange_interval = std::chrono::milliseconds{50};
// Twice before a word is forgotten (max_load_age).
constexpr duration longest_exchange_pause = std::chrono::milliseconds{200};
constexpr duration exchange_timeout = std::chrono::milliseconds{250}; // later it would be of no use
constexpr duration recently = std::chrono::milliseconds{500};
constexpr int status_ok = 200;
constexpr double left_out_above = 0.2; // as the log tells it; the choice itself has no steps
constexpr double taken_back_below = 0.05;

std::uint64_t to_us(duration d) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(d).count()));
}

duration from_us(std::uint64_t us) {
    return std::chrono::microseconds{static_cast<std::int64_t>(us)};
}

std::uint32_t to_percent(double share) {
    return static_cast<std::uint32_t>(std::lround(share * 100));
}

} // namespace

server_loads::server_loads(asio::io_context& io, const settings& config, const shared_keys& keys,
                           agent& cluster, backend_pools& pools, const backend_driver& driver)
    : config_(config), cluster_(cluster), pools_(pools), driver_(driver), timer_(io), clients_(io, keys) {
    if (driver_.servers_enforce_floor) {
        on_tick();
    }
}

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

void server_loads::tell(const known_load& known, wire::server_load& told) const {
    const time_point at = now();
    const server_load& l = known.load;
    told.set_server(l.server.value);
    told.set_start_number(l.start_number);
    told.set_slots(l.slots);
    told.set_running(l.running);
    told.set_waiting(l.waiting);
    told.set_usual_us(to_us(l.response_time));
    told.set_wait_us(to_us(l.queue_delay));
    told.set_failed_percent(to_percent(l.failure_ratio));
    told.set_age_us(to_us(at - l.as_of));
    if (l.position) {
        told.set_has_position(true);
        told.set_timeline(l.position->timeline);
        told.set_position(l.position->position);
        told.set_position_age_us(to_us(at - l.position->not_before) + 1); // rounded up
    }
}

// A position is dated back from the moment of the question, whatever the answer's own account of its time.
void server_loads::take_one(const wire::server_load& told, time_point sent, time_point told_at) {
    const auto record = cluster_.cluster().servers.find({told.server()});
    if (record == cluster_.cluster().servers.end() || record->second.start_number != told.start_number()) {
        return; // of another start
    }
    server_load load{.server = {told.server()},
                     .start_number = told.start_number(),
                     .slots = told.slots(),
                     .running = told.running(),
                     .waiting = told.waiting(),
                     .response_time = from_us(told.usual_us()),
                     .queue_delay = from_us(told.wait_us()),
                     .failure_ratio = std::clamp(told.failed_percent() / 100.0, 0.0, 1.0),
                     .as_of = told_at - grantor_lease_duration(from_us(told.age_us()))};
    if (told.has_position()) {
        const duration age = from_us(told.position_age_us());
        load.position = position_sample{.not_before = sent - grantor_lease_duration(age),
                                        .timeline = told.timeline(),
                                        .position = told.position()};
        cluster_.note_told_position(load.server, told.start_number(), *load.position,
                                    now() - holder_lease_duration(age));
    }
    update_load(book_, load);
}

//-----------------------------------------------------------------------------
// [knowing]
//-----------------------------------------------------------------------------

void server_loads::note_ended(const share_key& key, time_point asked_at, const backend_outcome& outcome) {
    const auto record = cluster_.cluster().servers.find(key.server);
    if (record == cluster_.cluster().servers.end()) {
        return;
    }
    own_server& s = own_[key.server];
    s.key = key;
    if (s.start_number != record->second.start_number) {
        s.answers = {};
        s.start_number = record->second.start_number;
    }
    const bool in_vain = outcome.failed &&
                         (outcome.refusal == server_refusal::none || outcome.refusal == server_refusal::busy);
    statement_outcome ended{.took = now() - asked_at, .answered = outcome.answered, .failed = in_vain};
    if (outcome.position) {
        ended.position = position_sample{.not_before = asked_at,
                                         .timeline = outcome.position->timeline,
                                         .position = outcome.position->position};
    }
    larchpin::record_outcome(s.answers, ended, now());
    follow_failures(s);
}

// Where most statements for the server go through this instance.
bool server_loads::is_own(const share_key& key) const {
    const auto home = first_home ? first_home(key) : std::nullopt;
    return home && *home == config_.id;
}

share_key server_loads::key_of(const server_id& server) const {
    const auto own = own_.find(server);
    if (own != own_.end()) {
        return own->second.key;
    }
    const auto& services = cluster_.cluster().current_table.services;
    return {.service = services.empty() ? service_id{} : services.front().id, .server = server};
}

std::optional<known_load> server_loads::own_load(const server_id& server) const {
    const auto record = cluster_.cluster().servers.find(server);
    if (record == cluster_.cluster().servers.end()) {
        return std::nullopt;
    }
    const auto own = own_.find(server);
    server_load load = make_load(server, own == own_.end() ? response_stats{} : own->second.answers,
                                 pools_.use_of(server), now());
    load.start_number = record->second.start_number;
    if (cluster_.is_unreachable(server)) {
        load.failure_ratio = 1;
    }
    return known_load{.load = load};
}

std::optional<known_load> server_loads::find(const server_id& server) const {
    const share_key key = key_of(server);
    if (!first_home || !first_home(key)) {
        return std::nullopt;
    }
    if (is_own(key)) {
        return own_load(server);
    }
    const auto told = find_load(book_, server, now());
    const auto own = own_.find(server);
    const bool answered = own != own_.end() && now() - own->second.answers.last_ended_at < recently;
    return told || !answered ? told : own_load(server);
}

void server_loads::follow_failures(own_server& s) {
    const double failed = current_failure_ratio(s.answers, now());
    const bool leaves = !s.left_out && failed > left_out_above;
    const bool returns = s.left_out && failed < taken_back_below;
    if (!leaves && !returns) {
        return;
    }
    s.left_out = leaves;
    const server_usage use = pools_.use_of(s.key.server);
    log_event(leaves ? severity::warning : severity::info, leaves ? "server_left_out" : "server_taken_back",
              {{"server", s.key.server.value},
               {"failed_percent", static_cast<std::uint64_t>(to_percent(failed))},
               {"usual_answer_us", to_us(current_response_time(s.answers, now()))},
               {"running", static_cast<std::uint64_t>(use.running)},
               {"waiting", static_cast<std::uint64_t>(use.waiting)}});
}

duration server_loads::oldest() const {
    duration oldest{0};
    for (const auto& [id, known] : book_.loads) {
        oldest = std::max(oldest, now() - known.load.as_of);
    }
    return oldest;
}

//-----------------------------------------------------------------------------
// [borrowing]
//-----------------------------------------------------------------------------

bool server_loads::wants(const server_id& server) {
    const auto record = cluster_.cluster().servers.find(server);
    if (record == cluster_.cluster().servers.end()) {
        return false;
    }
    time_point& last = wanted_at_[record->second.group];
    if (now() - last < exchange_interval) {
        return false;
    }
    last = now();
    return true;
}

duration server_loads::take(const share_key& key, const wire::loan_reply& reply, time_point sent) {
    const duration held = from_us(reply.held_us());
    const duration excess = std::max(duration{0}, now() - sent - held);
    if (reply.held_us() == 0) {
        return excess;
    }
    record_round_trip_delay(book_, key.server, excess);
    const time_point told_at = sent + holder_lease_duration(held);
    for (const wire::server_load& told : reply.loads()) {
        take_one(told, sent, told_at);
    }
    return excess;
}

//-----------------------------------------------------------------------------
// [lending]
//-----------------------------------------------------------------------------

std::string server_loads::encode(const share_key& key, bool wanted, time_point came_at) const {
    if (!first_home || !first_home(key)) {
        return {};
    }
    wire::loan_reply m;
    m.set_held_us(std::max<std::uint64_t>(1, to_us(now() - came_at)));
    const auto record = cluster_.cluster().servers.find(key.server);
    if (wanted && record != cluster_.cluster().servers.end()) {
        for (const server_record& server : servers_of(cluster_.cluster(), record->second.group)) {
            const auto known = server.id == key.server ? own_load(server.id) : find(server.id);
            if (known) {
                tell(*known, *m.add_loads());
            }
        }
    }
    return m.SerializeAsString();
}

//-----------------------------------------------------------------------------
// [other lenders]
//-----------------------------------------------------------------------------

std::string server_loads::answer(const std::string& body) const {
    wire::load_request request;
    wire::load_answer reply;
    if (request.ParseFromString(body)) {
        for (const std::string& id : request.servers()) {
            if (const auto known = own_load({id})) {
                tell(*known, *reply.add_loads());
            }
        }
    }
    return reply.SerializeAsString();
}

void server_loads::on_tick() {
    evict_old_loads(book_, now());
    std::erase_if(own_, [this](const auto& s) { return !cluster_.cluster().servers.contains(s.first); });
    for (auto& [id, s] : own_) {
        follow_failures(s);
    }
    ask_homes();
    timer_.expires_after(exchange_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            on_tick();
        }
    });
}

// Asked by whoever has work for a server of the group, and of all others of it.
void server_loads::ask_homes() {
    struct question {
        wire::load_request request;
        bool is_due = false;
    };
    const cluster_state& s = cluster_.cluster();
    std::map<std::string, question> questions;
    for (const auto& [id, own] : own_) {
        const auto load = is_own(own.key) ? own_load(id) : std::nullopt;
        const auto record = s.servers.find(id);
        if (!load || load->load.running + load->load.waiting == 0 || record == s.servers.end()) {
            continue;
        }
        for (const server_record& server : servers_of(s, record->second.group)) {
            const auto home = first_home({.service = own.key.service, .server = server.id});
            const auto instance = home ? s.instances.find(*home) : s.instances.end();
            if (instance == s.instances.end() || *home == config_.id) {
                continue;
            }
            question& q = questions[instance->second.address];
            const auto& known = q.request.servers();
            if (std::find(known.begin(), known.end(), server.id.value) == known.end()) {
                q.request.add_servers(server.id.value);
            }
            server_load& before = homes_[instance->second.address].told_by[id];
            q.is_due = q.is_due || differs_significantly(before, load->load);
        }
    }
    for (const auto& [address, q] : questions) {
        const asked_home& home = homes_[address];
        if (!home.asking && (q.is_due || now() - home.asked_at >= longest_exchange_pause)) {
            ask(address, q.request.SerializeAsString());
        }
    }
}

void server_loads::ask(const std::string& address, const std::string& body) {
    asked_home& home = homes_[address];
    home.asking = true;
    home.asked_at = now();
    for (auto& [id, before] : home.told_by) {
        if (const auto load = own_load(id)) {
            before = load->load;
        }
    }
    clients_.to(address).post(
        "/v1/loads", body, exchange_timeout, [this, address, sent = now()](const http_outcome& o) {
            homes_[address].asking = false;
            wire::load_answer reply;
            if (!o.answered || o.status != status_ok || !reply.ParseFromString(o.body)) {
                return;
            }
            for (const wire::server_load& told : reply.loads()) {
                take_one(told, sent, sent);
            }
        });
}

} // namespace larchpin
