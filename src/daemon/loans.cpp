// See loans.hpp. Who orders a server's statements stands in loans_ordering.cpp.
//
// Index
//   [messages]  [the borrower's connection]  [borrowing]  [lending]
#include "daemon/loans.hpp"

#include "core/home_order.hpp"
#include "core/rendezvous.hpp"
#include "core/shares.hpp"
#include "generated/larchpin.pb.h"
#include "io/addresses.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;

namespace {

// Beyond the request's own deadline, for the lender's answer to come back.
constexpr duration answer_slack = std::chrono::milliseconds{100};
// A loan that nobody uses; longer than the idle limit of a usual table (3 s), which the borrower watches.
constexpr duration idle_loan_time = std::chrono::seconds{10};
constexpr duration tick_interval = std::chrono::seconds{1};
// A busy home ends the loan late; after idle_loan_time it ends by itself.
constexpr http_wait drop_wait{.timeout = idle_loan_time, .late_after = std::chrono::seconds{1}};
constexpr duration watch_interval = std::chrono::milliseconds{50};
constexpr duration lost_pause = std::chrono::milliseconds{20};
constexpr duration instead_time =
    std::chrono::milliseconds{200}; // some questions longer than a refusal holds

std::uint64_t to_us(duration d) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(d).count()));
}

duration from_us(std::uint64_t us) {
    return std::chrono::microseconds{static_cast<std::int64_t>(us)};
}

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

wire::loan_request make_request(const loan_terms& terms, std::uint64_t number, bool is_new,
                                const backend_request& request) {
    wire::loan_request m;
    m.set_loan(number);
    m.set_is_new(is_new);
    m.set_service(terms.key.service.value);
    m.set_server(terms.key.server.value);
    m.set_workspace(terms.workspace.value);
    m.set_any_workspace(terms.any_workspace);
    const wire_class klass = to_wire_class(terms.klass);
    m.set_klass(klass.number);
    m.set_urgent(klass.urgent);
    m.set_wait_us(to_us(terms.queue_until - now()));
    if (terms.answer_by != time_point{}) {
        m.set_answer_us(std::max<std::uint64_t>(1, to_us(terms.answer_by - now())));
    }
    m.set_objective_us(to_us(terms.objective));
    m.set_on_primary(terms.on_primary);
    m.set_term(terms.term);
    m.set_id(request.id);
    m.set_text(request.text);
    if (request.floor) {
        m.set_has_floor(true);
        m.set_floor_timeline(request.floor->timeline);
        m.set_floor_position(request.floor->position);
    }
    for (const auto& [name, value] : request.session_values) {
        auto* v = m.add_values();
        v->set_name(name);
        v->set_value(value);
    }
    if (request.session_statement) {
        m.mutable_prepared()->set_writes(request.session_statement->writes);
        m.mutable_prepared()->set_shape(request.session_statement->shape);
    }
    return m;
}

backend_request read_request(const wire::loan_request& m) {
    backend_request request;
    request.id = m.id();
    request.text = m.text();
    if (m.has_floor()) {
        request.floor = log_mark{.timeline = m.floor_timeline(), .position = m.floor_position()};
    }
    for (const auto& v : m.values()) {
        request.session_values[v.name()] = v.value();
    }
    if (m.has_prepared()) {
        request.session_statement =
            prepared_statement{.writes = m.prepared().writes(), .shape = m.prepared().shape()};
    }
    return request;
}

std::string make_reply(const backend_outcome& outcome, const std::string& bytes) {
    wire::loan_reply m;
    m.set_answered(outcome.answered);
    m.set_failed(outcome.failed);
    m.set_refusal(static_cast<std::uint32_t>(outcome.refusal));
    m.set_steps_failed(outcome.steps_failed);
    if (outcome.position) {
        m.set_has_position(true);
        m.set_timeline(outcome.position->timeline);
        m.set_position(outcome.position->position);
    }
    m.set_error_code(outcome.error_code);
    m.set_transaction(static_cast<std::uint32_t>(outcome.transaction));
    m.set_first_value(outcome.first_value);
    m.set_error_message(outcome.error_message);
    m.set_bytes(bytes);
    return m.SerializeAsString();
}

std::string make_refusal(result_code code, duration retry_after) {
    wire::loan_reply m;
    m.set_code(static_cast<std::uint32_t>(code));
    m.set_retry_after_us(to_us(retry_after));
    return m.SerializeAsString();
}

void log_refusal(const wire::loan_request& m, result_code code) {
    log_event(severity::info, "loan_refused",
              {{"request", m.id()},
               {"server", m.server()},
               {"on_primary", m.on_primary()},
               {"term", m.term()},
               {"waited_us_at_most", m.wait_us()},
               {"code", static_cast<std::uint64_t>(code)}});
}

backend_outcome read_outcome(const wire::loan_reply& m) {
    backend_outcome outcome;
    outcome.refused = static_cast<result_code>(m.code());
    outcome.retry_after = from_us(m.retry_after_us());
    outcome.answered = m.answered();
    outcome.failed = m.failed();
    outcome.refusal = static_cast<server_refusal>(m.refusal());
    outcome.steps_failed = m.steps_failed();
    if (m.has_position()) {
        outcome.position = log_mark{.timeline = m.timeline(), .position = m.position()};
    }
    outcome.error_code = m.error_code();
    outcome.transaction = static_cast<char>(m.transaction());
    outcome.first_value = m.first_value();
    outcome.error_message = m.error_message();
    return outcome;
}

} // namespace

//-----------------------------------------------------------------------------
// [the borrower's connection]
//-----------------------------------------------------------------------------

// Stands for the home's connection; its loan lasts from the first request to the end of the transaction.
class lent_connection : public std::enable_shared_from_this<lent_connection> {
public:
    lent_connection(connection_loans& owner, loan_terms terms) : owner_(owner), terms_(std::move(terms)) {}

    void run(const backend_request& request, backend_sink sink) {
        sink_ = std::move(sink);
        running_ = true;
        if (!is_lent_) {
            homes_ = owner_.rank_homes(terms_);
            tried_ = 0;
            is_server_lost_ = false;
            number_ = owner_.random_();
        }
        request_ = request;
        send();
    }

    // Ends the loan; the home closes the server's connection, which rolls back.
    void close() {
        running_ = false;
        sink_ = {};
        if (home_.empty()) {
            return;
        }
        wire::loan_request m;
        m.set_loan(number_);
        m.set_drop(true);
        owner_.clients_.to(home_).post("/v1/loan", m.SerializeAsString(), drop_wait,
                                       [](const http_outcome&) {});
        home_.clear();
    }

    [[nodiscard]] bool is_running() const { return running_; }

private:
    void send() {
        if (!is_lent_) {
            if (homes_.empty()) {
                refuse(result_code::no_replica, lost_pause);
                return;
            }
            home_ = homes_[tried_ % homes_.size()];
        }
        wire::loan_request m = make_request(terms_, number_, !is_lent_, request_);
        m.set_instead(!is_lent_ && owner_.have_those_before_refused(terms_.key, home_));
        m.set_wants_loads(owner_.loads_.wants(terms_.key.server));
        sent_at_ = now();
        const duration time = std::max(terms_.deadline - now(), duration{0}) + answer_slack;
        record_request(owner_.book_, home_, now());
        owner_.clients_.to(home_).post("/v1/loan", m.SerializeAsString(), time,
                                       [self = shared_from_this(), number = number_](const http_outcome& o) {
                                           if (self->running_ && number == self->number_) {
                                               self->on_reply(o);
                                           }
                                       });
    }

    void on_reply(const http_outcome& o) {
        wire::loan_reply m;
        const bool answered = o.answered && o.status == 200 && m.ParseFromString(o.body);
        owner_.note_home(home_, answered);
        if (!answered) {
            backend_outcome outcome;
            outcome.lender = home_;
            outcome.lender_silent = !is_server_lost_; // the others do not reach the server either
            finish(outcome, {});
            return;
        }
        record_round_trip_delay(owner_.book_, home_, owner_.loads_.take(terms_.key, m, sent_at_));
        backend_outcome outcome = read_outcome(m);
        outcome.lender = home_;
        owner_.note_lender(terms_.key, home_, outcome);
        is_server_lost_ = is_server_lost_ || outcome.refused == result_code::connection_lost;
        const bool another = outcome.refused == result_code::stopping ||
                             outcome.refused == result_code::no_lease ||
                             outcome.refused == result_code::connection_lost;
        if (another && !is_lent_ &&
            ++tried_ < std::min<std::size_t>(connection_loans::homes_tried, homes_.size())) {
            number_ = owner_.random_();
            send();
            return;
        }
        finish(outcome, m.bytes());
    }

    void refuse(result_code code, duration retry_after) {
        backend_outcome outcome;
        outcome.refused = code;
        outcome.retry_after = retry_after;
        asio::post(owner_.io_, [self = shared_from_this(), outcome] { self->finish(outcome, {}); });
    }

    void finish(const backend_outcome& outcome, const std::string& bytes) {
        if (!running_) {
            return;
        }
        running_ = false;
        is_lent_ = outcome.answered && outcome.transaction != 'I';
        if (!is_lent_) {
            home_.clear();
        }
        const backend_sink sink = std::move(sink_);
        sink_ = {};
        if (outcome.answered && !outcome.failed && sink.on_bytes) {
            sink.on_bytes(bytes);
        }
        if (sink.on_done) {
            sink.on_done(outcome);
        }
    }

    connection_loans& owner_;
    loan_terms terms_;
    std::vector<std::string> homes_; // addresses, best first
    std::size_t tried_ = 0;
    std::string home_; // where the loan is, or is asked for; empty: none
    std::uint64_t number_ = 0;
    time_point sent_at_{}; // the newest question to it
    backend_request request_;
    backend_sink sink_;
    bool is_lent_ = false;        // a transaction is open there
    bool is_server_lost_ = false; // a home that was tried does not reach the server
    bool running_ = false;
};

//-----------------------------------------------------------------------------
// [borrowing]
//-----------------------------------------------------------------------------

connection_loans::connection_loans(asio::io_context& io, const settings& config, const shared_keys& keys,
                                   agent& cluster, backend_pools& pools, const backend_driver& driver,
                                   server_loads& loads)
    : io_(io), config_(config), cluster_(cluster), pools_(pools), driver_(driver), loads_(loads), timer_(io),
      watch_timer_(io), random_(std::random_device{}()), clients_(io, keys) {
    loads_.first_home = [this](const share_key& key) {
        const auto& homes = homes_of(key);
        return homes.empty() ? std::nullopt : std::optional{homes.front()};
    };
    on_tick();
    watch_homes();
}

std::shared_ptr<backend_connection> connection_loans::borrow(const loan_terms& terms) {
    if (orders_statements()) {
        order_places_[terms.key].asked_at = now();
        follow_order(terms.key);
    }
    const bool has_own = uses_own(terms);
    const bool reaches_it = !cluster_.is_unreachable(terms.key.server);
    const bool turned_away = pools_.is_turned_away(terms.key);
    if (!driver_.servers_enforce_floor || (has_own && reaches_it && !turned_away)) {
        return nullptr;
    }
    if (turned_away) {
        pools_.look_for_room(terms.key);
    }
    ++borrowed_;
    const auto behind = std::make_shared<lent_connection>(*this, terms);
    auto handle = std::make_shared<backend_connection>();
    handle->is_lent = true;
    handle->connect = [](const connect_callback& done) { done(connect_result::connected); };
    handle->run = [behind](const backend_request& request, backend_sink sink) {
        behind->run(request, std::move(sink));
    };
    handle->cancel_running = [] {}; // closing ends the statement
    handle->pause = [] {};
    handle->resume = [] {};
    handle->close = [behind] { behind->close(); };
    handle->is_open = [] { return true; };
    handle->is_running = [behind] { return behind->is_running(); };
    return handle;
}

// Whether this instance's own connections are the ones to use, as far as its pool can be reached.
bool connection_loans::uses_own(const loan_terms& terms) {
    const auto& homes = homes_of(terms.key);
    const bool has_reserve = !cluster_.has_lease() && pools_.may_serve(terms.key, false);
    if (homes.empty() || has_reserve) {
        return true;
    }
    if (orders_statements()) {
        return is_ordering(terms.key);
    }
    if (terms.workspace.value.empty()) {
        return std::find(homes.begin(), homes.end(), config_.id) != homes.end();
    }
    return is_first_home(terms);
}

// No other home that answers goes before this instance for the workspace.
bool connection_loans::is_first_home(const loan_terms& terms) {
    const cluster_state& s = cluster_.cluster();
    const auto& homes = homes_of(terms.key);
    if (std::find(homes.begin(), homes.end(), config_.id) == homes.end()) {
        return false;
    }
    const auto server = s.servers.find(terms.key.server);
    const auto is_far = [&](const instance_id& id) {
        return server != s.servers.end() && s.instances.at(id).domain != server->second.domain;
    };
    const auto place = [&](const instance_id& id) {
        return std::pair(is_far(id), rank_for_workspace(terms.workspace, s.instances.at(id).address));
    };
    return std::none_of(homes.begin(), homes.end(), [&](const instance_id& id) {
        return id != config_.id && place(id) < place(config_.id) && !cluster_.is_lost(id) &&
               !is_silent(book_, s.instances.at(id).address, now());
    });
}

// Where each server stands, and so what the lists of all were made from.
bool connection_loans::have_servers_changed() {
    const cluster_state& s = cluster_.cluster();
    if (!orders_statements() || homes_servers_revision_ == s.revision) {
        return false;
    }
    homes_servers_revision_ = s.revision;
    std::vector<std::pair<server_id, failure_domain>> servers;
    servers.reserve(s.servers.size());
    for (const auto& [id, record] : s.servers) {
        servers.emplace_back(id, record.domain);
    }
    if (servers == homes_servers_) {
        return false;
    }
    homes_servers_ = std::move(servers);
    return true;
}

const std::vector<instance_id>& connection_loans::homes_of(const share_key& key) {
    const cluster_state& s = cluster_.cluster();
    const lost_instance_set& lost = cluster_.lost();
    if (have_servers_changed()) {
        homes_.clear();
    }
    if (homes_instances_revision_ != s.instances_revision || homes_table_revision_ != s.table_revision ||
        homes_lost_number_ != lost.version) {
        homes_.clear();
        homes_lost_number_ = lost.version;
        homes_instances_revision_ = s.instances_revision;
        homes_table_revision_ = s.table_revision;
    }
    const auto known = homes_.find(key);
    if (known != homes_.end()) {
        return known->second;
    }
    const service_entry* service = find_service(s.current_table, key.service);
    std::vector<instance_id> homes;
    if (service != nullptr) {
        const unsigned connections =
            connections_for_requests(service->max_connections, config_.kept_connections);
        const auto server = s.servers.find(key.server);
        const bool by_workspace = s.current_table.requires_key && server != s.servers.end();
        homes = orders_statements() ? order_homes(s, key.server, connections)
                : by_workspace      ? workspace_homes(s, server->second, connections, lost.instances)
                                    : home_instances(s, key.server, connections, lost.instances);
    }
    return homes_.emplace(key, std::move(homes)).first->second;
}

bool connection_loans::may_borrow_near(const share_key& key) {
    if (!driver_.servers_enforce_floor) {
        return false;
    }
    const cluster_state& s = cluster_.cluster();
    const auto& homes = homes_of(key);
    // Of a list of all instances those behind the first ones hold no connections.
    const auto holders = static_cast<std::ptrdiff_t>(
        orders_statements() ? std::min(homes.size(), reserves_per_server + 1) : homes.size());
    return std::any_of(homes.begin(), homes.begin() + holders, [&](const instance_id& id) {
        const auto record = s.instances.find(id);
        if (id == config_.id || record == s.instances.end() || record->second.domain != config_.domain) {
            return false;
        }
        return !is_silent(book_, record->second.address, now());
    });
}

// Whoever may lend: the homes, or everyone where everyone holds connections of its own.
std::vector<instance_id> connection_loans::lenders_of(const share_key& key) {
    std::vector<instance_id> lenders = homes_of(key);
    if (lenders.empty()) {
        for (const auto& [id, record] : cluster_.cluster().instances) {
            if (record.accepts_clients) {
                lenders.push_back(id);
            }
        }
    }
    std::erase(lenders, config_.id);
    return lenders;
}

// Near is what is near this instance; for a workspace, what is near the server: all that use its connections
// must come to the same home.
std::vector<std::string> connection_loans::rank_homes(const loan_terms& terms) {
    const cluster_state& s = cluster_.cluster();
    if (orders_statements() && !homes_of(terms.key).empty()) {
        return rank_in_order(terms.key);
    }
    const auto server = s.servers.find(terms.key.server);
    const bool by_workspace = !terms.workspace.value.empty() && server != s.servers.end();
    const failure_domain& near = by_workspace ? server->second.domain : config_.domain;
    std::vector<forwarding_peer> candidates;
    for (const instance_id& id : lenders_of(terms.key)) {
        const auto record = s.instances.find(id);
        if (record == s.instances.end()) {
            continue;
        }
        const std::string& address = record->second.address;
        candidates.push_back({.address = address,
                              .in_other_domain = record->second.domain != near,
                              .rank = by_workspace ? rank_for_workspace(terms.workspace, address) : 0,
                              .lost = cluster_.is_lost(id)});
    }
    return order_forwarding_peers(book_, terms.key.server, candidates, now(), random_);
}

void connection_loans::note_home(const std::string& address, bool answers) {
    const bool news = answers ? mark_responsive(book_, address) : mark_silent(book_, address, now());
    if (news) {
        log_event(answers ? severity::info : severity::warning, answers ? "home_answers" : "home_silent",
                  {{"home", address}});
    }
}

// Where a server cannot be reached from here, or has no room, whoever has a connection is worth remembering.
void connection_loans::note_lender(const share_key& key, const std::string& address,
                                   const backend_outcome& outcome) {
    const bool sends_on = orders_statements() && (outcome.refused == result_code::stopping ||
                                                  outcome.refused == result_code::no_lease);
    if (outcome.refused == result_code::connection_lost || sends_on) {
        mark_without_connection(book_, key.server, address, now());
    }
    const bool needs_lender = cluster_.is_unreachable(key.server) || pools_.is_turned_away(key);
    if (outcome.answered && needs_lender) {
        book_.last_forwarding_peer[key.server] = address;
    } else {
        book_.last_forwarding_peer.erase(key.server);
    }
}

//-----------------------------------------------------------------------------
// [lending]
//-----------------------------------------------------------------------------

void connection_loans::answer(const std::string& body, const http_respond& answered) {
    wire::loan_request m;
    const auto reply = [&answered](const std::string& bytes) { answered({.status = 200, .body = bytes}); };
    if (!m.ParseFromString(body)) {
        reply(make_refusal(result_code::bad_message, {}));
        return;
    }
    if (m.drop()) {
        end_loan(m.loan(), false);
        reply("");
        return;
    }
    const share_key key{.service = {m.service()}, .server = {m.server()}};
    const http_respond respond = [this, key, wanted = m.wants_loads(), came_at = now(),
                                  answered](const http_response& r) {
        answered({.status = r.status, .body = r.body + loads_.encode(key, wanted, came_at)});
    };
    if (m.is_new()) {
        begin_loan(m, respond);
    } else if (loans_.contains(m.loan()) && !loans_[m.loan()].running) {
        run(m.loan(), m, respond);
    } else {
        respond({.status = 200, .body = make_reply({}, {})}); // its transaction is gone
    }
}

// The same look that the borrower takes; here it is newer by the way and the wait.
bool connection_loans::may_send(const loan& l) const {
    if (cluster_.is_leave_over(l.key.server)) {
        return false;
    }
    if (!l.on_primary) {
        return true;
    }
    const auto server = cluster_.cluster().servers.find(l.key.server);
    if (server == cluster_.cluster().servers.end() || !cluster_.has_lease()) {
        return false;
    }
    const auto group = cluster_.cluster().groups.find(server->second.group);
    return group != cluster_.cluster().groups.end() && group->second.phase == group_phase::serving &&
           group->second.term == l.term && group->second.primary == l.key.server;
}

void connection_loans::begin_loan(const wire::loan_request& request, const http_respond& respond) {
    const share_key key{.service = {request.service()}, .server = {request.server()}};
    const auto server = cluster_.cluster().servers.find(key.server);
    const service_entry* service = find_service(cluster_.cluster().current_table, key.service);
    const bool known = server != cluster_.cluster().servers.end() && service != nullptr;
    const bool turned_away = known && pools_.is_turned_away(key);
    if (turned_away) {
        pools_.look_for_room(key);
    }
    const bool unreachable = known && (turned_away || cluster_.is_unreachable(key.server));
    const bool cut_off = orders_statements() && !cluster_.has_lease() && !pools_.may_serve(key, false);
    const std::optional<request_class> klass =
        from_wire_class({.number = request.klass(), .urgent = request.urgent()});
    if (stopping_ || unreachable || !known || cut_off || !klass) {
        const result_code code = stopping_     ? result_code::stopping
                                 : cut_off     ? result_code::no_lease
                                 : unreachable ? result_code::connection_lost
                                               : result_code::no_replica;
        log_refusal(request, code);
        respond({.status = 200, .body = make_refusal(code, lost_pause)});
        return;
    }
    ++lent_;
    if (orders_statements()) {
        order_place& place = order_places_[key];
        place.asked_at = now();
        place.instead_until = request.instead() ? now() + instead_time : place.instead_until;
        ping_first(key);
        follow_order(key);
    }
    const std::uint64_t number = request.loan();
    loan& begun = loans_[number];
    begun.key = key;
    begun.klass = *klass;
    begun.on_primary = request.on_primary();
    begun.term = request.term();
    begun.since = now();
    begun.used_at = begun.since;
    const request_number waiting = pools_.request(
        key, server->second, service->background_share,
        {.klass = begun.klass,
         .deadline = now() + from_us(request.wait_us()),
         .answer_by = request.answer_us() == 0 ? time_point{} : now() + from_us(request.answer_us()),
         .objective = from_us(request.objective_us()),
         .workspace = {request.workspace()},
         .any_workspace = request.any_workspace(),
         .weight = weight_of(cluster_.cluster().current_table, {request.workspace()})},
        [this, number, request, respond](const pool_answer& answer) {
            on_connection(number, request, respond, answer);
        });
    const auto still = loans_.find(number); // it may have been answered, or refused, at once
    if (still != loans_.end() && !still->second.connection) {
        still->second.waiting = waiting;
    }
}

void connection_loans::on_connection(std::uint64_t number, const wire::loan_request& request,
                                     const http_respond& respond, const pool_answer& answer) {
    const auto found = loans_.find(number);
    if (!answer.connection || found == loans_.end()) {
        if (answer.connection) {
            pools_.release({.service = {request.service()}, .server = {request.server()}}, answer.number,
                           true, duration{0});
        }
        loans_.erase(number);
        const result_code code = answer.connection ? result_code::stopping : answer.code;
        log_refusal(request, code);
        respond({.status = 200, .body = make_refusal(code, answer.retry_after)});
        return;
    }
    loan& l = found->second;
    l.waiting = 0;
    l.number = answer.number;
    l.connection = answer.connection;
    l.since = now();
    if (!may_send(l)) {
        end_loan(number, true);
        log_refusal(request, result_code::term_changed);
        respond({.status = 200, .body = make_refusal(result_code::term_changed, lost_pause)});
        return;
    }
    run(number, request, respond);
}

void connection_loans::run(std::uint64_t number, const wire::loan_request& request,
                           const http_respond& respond) {
    loan& l = loans_[number];
    l.running = true;
    l.used_at = now();
    backend_request statement = read_request(request);
    const auto connection = l.connection;
    prepare_context(*connection, statement);
    if (statement.text == driver_.position_probe.text) {
        connection->held = {}; // the probe resets the connection
    }
    const auto bytes = std::make_shared<std::string>();
    backend_sink sink;
    sink.hold_errors = true;
    sink.keep_first_row = true;
    sink.on_bytes = [bytes](std::string_view more) { bytes->append(more); };
    sink.on_done = [this, number, klass = l.klass, key = l.key, server = l.key.server, asked_at = l.used_at,
                    connection, bytes, respond](const backend_outcome& outcome) {
        note_context(*connection, outcome);
        if (outcome.answered) {
            cluster_.note_answered(server);
        }
        loads_.note_ended(key, asked_at, outcome);
        const auto still = loans_.find(number);
        if (still != loans_.end()) {
            still->second.running = false;
            if (outcome.answered) {
                pools_.note_statement_ended(still->second.key, still->second.number,
                                            {.took = now() - still->second.used_at,
                                             .klass = klass,
                                             .overloaded = outcome.refusal == server_refusal::busy,
                                             .in_transaction = outcome.transaction != 'I'});
            }
            still->second.used_at = now();
            if (!outcome.answered || outcome.transaction == 'I') {
                end_loan(number, outcome.answered);
            }
        }
        respond({.status = 200, .body = make_reply(outcome, *bytes)});
    };
    cluster_.note_asked(l.key.server);
    pools_.note_statement_begun(l.key, l.number);
    connection->run(statement, std::move(sink));
}

// A connection that is in the middle of an answer or of a transaction cannot be used again.
void connection_loans::end_loan(std::uint64_t number, bool reusable) {
    const auto found = loans_.find(number);
    if (found == loans_.end()) {
        return;
    }
    const loan ended = found->second;
    loans_.erase(found);
    if (ended.connection) {
        pools_.release(ended.key, ended.number, reusable && !ended.running, now() - ended.since);
    } else {
        pools_.cancel(ended.key, ended.waiting);
    }
}

void connection_loans::watch_homes() {
    for (const std::string& address : take_due_pings(book_, now())) {
        ping(address);
    }
    watch_timer_.expires_after(watch_interval);
    watch_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            watch_homes();
        }
    });
}

void connection_loans::on_tick() {
    clear_expired(book_, now());
    follow_orders();
    std::vector<std::uint64_t> unused;
    for (const auto& [number, l] : loans_) {
        if (l.connection && !l.running && now() - l.used_at >= idle_loan_time) {
            unused.push_back(number);
        }
    }
    for (const std::uint64_t number : unused) {
        log_event(severity::warning, "loan_forgotten",
                  {{"loan", number}, {"server", loans_[number].key.server.value}});
        end_loan(number, false);
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            on_tick();
        }
    });
}

} // namespace larchpin
