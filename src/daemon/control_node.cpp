// See control_node.hpp.
//
// Index
//   [loop]  [log and messages]  [actions]  [joining]  [answers to daemons]  [answers to operators]
#include "daemon/control_node.hpp"

#include "core/commit_safety.hpp"
#include "core/control_pacing.hpp"
#include "core/rendezvous.hpp"
#include "generated/larchpin.pb.h"
#include "io/addresses.hpp"
#include "io/backend_driver.hpp"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/log.hpp"
#include "io/workers.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{10};
constexpr duration late_tick = std::chrono::milliseconds{100}; // worth a log line
constexpr duration message_timeout = std::chrono::milliseconds{1000};
constexpr duration watch_time = std::chrono::seconds{5};
constexpr duration write_again_after = std::chrono::milliseconds{100};
constexpr duration late_write = std::chrono::milliseconds{100}; // worth a log line
// Well above the time of an answer, and leaves most of a query's time to the instances asked then.
constexpr duration relay_after = std::chrono::milliseconds{100};
constexpr duration search_pause =
    std::chrono::milliseconds{30}; // of instances, between two control instances
constexpr duration edit_patience = std::chrono::seconds{10};
constexpr std::size_t max_watchers = 4096;

constexpr command_codec codec{.encode = encode_command,
                              .decode = decode_command,
                              .encode_state = encode_state,
                              .decode_state = decode_state};

// While a write waits for the disk this instance says nothing, and the others may miss their leader.
void report_late_write(duration taken, std::size_t records) {
    if (taken >= late_write) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(taken);
        log_event(severity::warning, "log_write_late",
                  {{"late_ms", late.count()}, {"records", static_cast<std::uint64_t>(records)}});
    }
}

// The same for everyone who knows the address.
raft::node_id founder_id(const std::string& address) {
    const raft::node_id id = stable_hash(address, "founder");
    return id == 0 ? 1 : id;
}

bool has_snapshot(const std::vector<raft::output>& batch) {
    return std::any_of(batch.begin(), batch.end(), [](const raft::output& out) {
        return std::any_of(out.records.begin(), out.records.end(),
                           [](const raft::record& r) { return r.snap.has_value(); });
    });
}

std::string operator_reply(result_code code, const std::string& detail, revision_number table_revision = 0,
                           revision_number revision = 0) {
    wire::operator_reply m;
    m.set_code(static_cast<std::uint32_t>(code));
    m.set_detail(detail);
    m.set_table_revision(table_revision);
    m.set_revision(revision);
    return m.SerializeAsString();
}

} // namespace

control_node::control_node(asio::io_context& io, const settings& config, const shared_keys& keys,
                           const backend_driver& driver)
    : io_(io), config_(config), driver_(driver), random_(std::random_device{}()), queries_(io, driver),
      clients_(io, keys), timer_(io), phases_(now()) {}

control_node::~control_node() = default;

//-----------------------------------------------------------------------------
// [loop]
//-----------------------------------------------------------------------------

// What an empty folder is to be called: a founder by its address, anybody else at random.
raft::node_id control_node::new_identity() const {
    const auto& founders = config_.control_addresses;
    const bool is_founder =
        std::find(founders.begin(), founders.end(), config_.peer_address) != founders.end();
    return config_.founds_cluster && is_founder ? founder_id(config_.peer_address) : 0;
}

leaf::result<void> control_node::start() {
    BOOST_LEAF_ASSIGN(const recovered_store found, store_.open(config_.data_folder, new_identity()));
    raft::settings timing;
    timing.heartbeat_interval = config_.heartbeat;
    timing.election_timeout = config_.election;
    control_settings decisions;
    decisions.lease = config_.lease;
    decisions.kept_connections = config_.kept_connections;
    decisions.always_promote = driver_.promotes_by_token;
    decisions.rates = config_.rates;
    const raft::member self{
        .id = found.node, .name = config_.id.value, .address = config_.peer_address, .voter = false};
    core_ = make_control_core(codec, self, timing, decisions, found.state, now(), random_);
    core_.snapshot_entries = config_.snapshot_entries;
    core_.target_voters = voters_for_tolerated_losses(config_.tolerated_losses);
    log_event(severity::info, "control_started",
              {{"node", found.node},
               {"new_identity", found.is_new},
               {"log_entries", static_cast<std::uint64_t>(found.state.log.size())},
               {"log_bytes", found.file_bytes},
               {"dropped_bytes", found.dropped_bytes},
               {"term", found.state.hard.term}});
    if (config_.founds_cluster && found.node == founder_id(config_.peer_address)) {
        found_cluster();
    }
    phases_.reached("log_read", now());
    pump();
    on_tick();
    return {};
}

// The first start of a whole site: the instances that the settings name found the cluster together, each by
// itself, since all make the same first entry. Identities come from the addresses for that one time.
void control_node::found_cluster() {
    raft::configuration founders;
    for (const std::string& address : config_.control_addresses) {
        founders.members.push_back(
            {.id = founder_id(address), .name = address, .address = address, .voter = true});
    }
    std::sort(founders.members.begin(), founders.members.end(),
              [](const raft::member& a, const raft::member& b) { return a.id < b.id; });
    const bool founded = bootstrap(core_, founders, now(), random_);
    log_event(severity::info, "control_founded",
              {{"node", core_.self.id},
               {"founders", static_cast<std::uint64_t>(founders.members.size())},
               {"is_founder", founded}});
}

// A loop that is late answers nobody in time: too much to do, or a process that stood still.
void control_node::record_tick_delay() {
    const time_point at = now();
    const duration delay = next_tick_ == time_point{} ? duration{0} : std::max(at - next_tick_, duration{0});
    if (delay >= late_tick) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(delay);
        log_event(severity::warning, "control_loop_late",
                  {{"late_ms", late.count()}, {"watchers", static_cast<std::uint64_t>(watchers_.size())}});
    }
    record_loop_delay(core_, delay, at);
    next_tick_ = at + tick_interval;
}

void control_node::on_tick() {
    record_tick_delay();
    tick(core_, now(), random_);
    log_consensus(consensus_log_, core_.consensus, now());
    log_tolerated_losses(consensus_log_, core_, now());
    if (core_.consensus.leader != 0) {
        phases_.reached("leader_known", now());
    }
    pump();
    end_overdue_operations();
    ask_to_join();
    greet_unknown_controls();
    answer_watchers();
    answer_waiting_edits();
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            on_tick();
        }
    });
}

//-----------------------------------------------------------------------------
// [log and messages]
//-----------------------------------------------------------------------------

// Does what the core has asked for since the last time.
void control_node::pump() {
    control_output out = take_output(core_);
    raft::output& log = out.consensus;
    for (const raft::vote_refusal& refusal : log.refusals) {
        log_refusal(refusal, core_.consensus);
    }
    if (!log.records.empty() || !log.messages.empty()) {
        const bool at_once = log.records.empty() && to_write_.empty() && !writing_;
        if (at_once) {
            send_messages(log.messages);
        } else {
            to_write_.push_back(std::move(log));
            write_next();
        }
    }
    for (const decided_edit& edit : out.decided_edits) {
        note_decided(edit);
    }
    if (out.state_changed) {
        answer_watchers();
        answer_waiting_edits();
    }
    carry_out(out.actions);
}

void control_node::write_next() {
    if (writing_ || to_write_.empty()) {
        return;
    }
    writing_ = true;
    // Everything that has queued up meanwhile shares one sync.
    const auto batch = std::make_shared<std::vector<raft::output>>(std::make_move_iterator(to_write_.begin()),
                                                                   std::make_move_iterator(to_write_.end()));
    to_write_.clear();
    write_batch(batch);
}

void control_node::write_batch(const std::shared_ptr<std::vector<raft::output>>& batch) {
    if (has_snapshot(*batch)) {
        log_event(severity::info, "control_log_rewrite_started",
                  {{"entries", static_cast<std::uint64_t>(core_.consensus.log.size())}});
    }
    run_on_log_worker([this, batch, asked_at = now()] {
        std::vector<raft::record> records;
        for (const raft::output& out : *batch) {
            records.insert(records.end(), out.records.begin(), out.records.end());
        }
        const result_code code = store_.append(records);
        report_late_write(now() - asked_at, records.size());
        asio::post(io_, [this, batch, code] { on_written(batch, code); });
    });
}

// Nothing is said to anyone before it is on the disk. One that refuses is asked again: it may be full, and
// have room in a moment. Meanwhile the others elect a leader without this instance.
void control_node::on_written(const std::shared_ptr<std::vector<raft::output>>& batch, result_code code) {
    if (code != result_code::ok) {
        if (!store_failed_) {
            log_failure("log_write_failed", code);
        }
        store_failed_ = true;
        auto timer = std::make_shared<asio::steady_timer>(io_, write_again_after);
        timer->async_wait([this, batch, timer](const boost::system::error_code&) { write_batch(batch); });
        return;
    }
    if (store_failed_) {
        log_event(severity::info, "log_write_works");
    }
    store_failed_ = false;
    writing_ = false;
    if (has_snapshot(*batch)) {
        log_event(severity::info, "control_log_rewritten");
    }
    for (const raft::output& out : *batch) {
        on_persisted(core_, out.persist_index, out.persist_term, now());
        send_messages(out.messages);
    }
    pump();
    write_next();
}

void control_node::send_messages(const std::vector<raft::message>& messages) {
    for (const raft::message& m : messages) {
        const std::string address = find_address(core_, m.to);
        if (address.empty()) {
            log_undeliverable(consensus_log_, m, now());
            continue;
        }
        send_message(m, address);
    }
}

void control_node::send_message(const raft::message& m, const std::string& address) {
    wire::raft_message wire_message;
    to_wire(m, wire_message);
    wire_message.set_sender_address(config_.peer_address);
    clients_.to(address).post("/v1/raft", wire_message.SerializeAsString(), message_timeout,
                              [](const http_outcome&) {});
}

void control_node::on_raft_message(const std::string& body) {
    wire::raft_message wire_message;
    if (!wire_message.ParseFromString(body) || store_failed_) {
        return;
    }
    const raft::message m = from_wire(wire_message);
    if (m.to != core_.self.id && m.to != 0) {
        log_misaddressed(consensus_log_, m, core_.consensus, now());
    }
    record_sender(core_, m, wire_message.sender_address());
    step(core_, m, now(), random_);
    pump();
}

//-----------------------------------------------------------------------------
// [actions]
//-----------------------------------------------------------------------------

void control_node::note_decided(const decided_edit& edit) {
    log_event(severity::info, "table_edit_decided",
              {{"change", edit.change_id},
               {"code", static_cast<std::uint64_t>(edit.outcome.code)},
               {"table_revision", edit.outcome.table_revision}});
    for (waiting_edit& waiting : edits_) {
        if (waiting.change_id == edit.change_id) {
            waiting.applied = true;
            waiting.outcome = edit.outcome;
        }
    }
}

void control_node::carry_out(const control_actions& actions) {
    for (const control_action& action : actions) {
        if (const auto* probe = std::get_if<probe_server>(&action)) {
            start_probe(*probe);
        } else if (const auto* promote = std::get_if<promote_server>(&action)) {
            start_promotion(*promote);
        } else if (const auto* note = std::get_if<report_event>(&action)) {
            const auto since = std::chrono::duration_cast<std::chrono::microseconds>(note->since_suspected);
            log_event(severity::warning, note->event,
                      {{"group", note->group.value},
                       {"server", note->server.value},
                       {"instance", note->instance.value},
                       {"position", note->position},
                       {"acknowledged_from", note->acknowledged_from},
                       {"acknowledged_to", note->acknowledged_to},
                       {"term", core_.consensus.hard.term},
                       {"planned", note->planned},
                       {"since_suspected_us", static_cast<std::int64_t>(since.count())}});
        }
    }
}

void control_node::start_probe(const probe_server& order) {
    server_operation& operation = operations_[order.operation];
    operation.number = order.operation;
    operation.query = {.server = order.server,
                       .wait_for_lead = false,
                       .deadline = now() + core_.control.config.probe_timeout};
    operation.relays = order.relays;
    ask_role(order.operation);
}

void control_node::start_promotion(const promote_server& order) {
    const std::uint64_t number = order.operation;
    server_operation& operation = operations_[number];
    operation.number = number;
    operation.query = {.server = order.server,
                       .wait_for_lead = true,
                       .deadline = now() + core_.control.config.promotion_timeout};
    operation.relays = order.relays;
    const promotion_order sent{.server = order.server, .timeline = order.timeline, .token = order.token};
    driver_.promote(sent, [this, number, token = order.token](promotion_answer answer) {
        log_event(severity::info, "promotion_answered",
                  {{"operation", number},
                   {"token", token},
                   {"accepted", answer == promotion_answer::accepted},
                   {"refused", answer == promotion_answer::refused}});
        const auto found = operations_.find(number);
        if (found == operations_.end()) {
            return;
        }
        // Without an answer only another order tells: an authority that lost this one may carry it out later.
        const bool undecided = answer == promotion_answer::unknown && driver_.promotes_by_token;
        if (undecided || answer == promotion_answer::refused) {
            finish_operation(
                {.operation = number, .server = found->second.query.server.id, .outcome_unknown = undecided});
            return;
        }
        ask_role(number); // whatever was answered, its role tells
    });
}

// A server that does not answer soon may be cut off from this instance only.
void control_node::ask_role(std::uint64_t number) {
    const auto found = operations_.find(number);
    if (found == operations_.end()) {
        return;
    }
    if (!found->second.relays.empty()) {
        const auto timer = std::make_shared<asio::steady_timer>(io_, relay_after);
        timer->async_wait([this, number, timer](const boost::system::error_code&) { ask_relays(number); });
    }
    const role_query query = found->second.query;
    const auto direct = queries_.ask(query, [this, number](const std::optional<probe_result>& result) {
        const auto open = operations_.find(number);
        if (open == operations_.end()) {
            return;
        }
        open->second.direct = 0;
        if (!result) {
            ask_relays(number);
        }
        take_role(number, result);
    });
    const auto open = operations_.find(number);
    if (open != operations_.end()) {
        open->second.direct = direct;
    }
}

void control_node::ask_relays(std::uint64_t number) {
    const auto found = operations_.find(number);
    if (found == operations_.end() || found->second.relays_asked) {
        return;
    }
    server_operation& operation = found->second;
    const duration left = operation.query.deadline - now();
    operation.relays_asked = true;
    operation.open_relays = operation.relays.size();
    wire::role_request request;
    to_wire(operation.query.server, *request.mutable_server());
    request.set_wait_for_lead(operation.query.wait_for_lead);
    request.set_wait_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::max(left, duration{0})).count()));
    for (const std::string& relay : operation.relays) {
        clients_.to(relay).post(
            "/v1/role", request.SerializeAsString(), left, [this, number](const http_outcome& o) {
                const auto open = operations_.find(number);
                wire::role_reply reply;
                if (open == operations_.end()) {
                    return;
                }
                --open->second.open_relays;
                const bool answered =
                    o.answered && o.status == 200 && reply.ParseFromString(o.body) && reply.answered();
                take_role(number, answered ? std::optional{probe_result{.is_primary = reply.is_primary(),
                                                                        .timeline = reply.timeline(),
                                                                        .position = reply.position()}}
                                           : std::nullopt);
            });
    }
}

// Takes the first answer; none counts once nobody is asked any more.
void control_node::take_role(std::uint64_t number, const std::optional<probe_result>& result) {
    const auto found = operations_.find(number);
    if (found == operations_.end()) {
        return;
    }
    const server_operation& operation = found->second;
    if (!result && (operation.direct != 0 || operation.open_relays > 0)) {
        return;
    }
    server_answer answer{.operation = number, .server = operation.query.server.id};
    if (result) {
        answer.answered = true;
        answer.is_primary = result->is_primary;
        answer.timeline = result->timeline;
        answer.position = result->position;
    }
    finish_operation(answer);
}

// An answer may be lost while its connection stays open.
void control_node::end_overdue_operations() {
    std::vector<server_answer> overdue;
    for (const auto& [number, operation] : operations_) {
        if (now() >= operation.query.deadline) {
            overdue.push_back({.operation = number, .server = operation.query.server.id});
        }
    }
    for (const server_answer& unanswered : overdue) {
        log_event(severity::warning, "server_operation_unanswered",
                  {{"operation", unanswered.operation}, {"server", unanswered.server.value}});
        finish_operation(unanswered);
    }
}

void control_node::finish_operation(const server_answer& answer) {
    const auto found = operations_.find(answer.operation);
    if (found == operations_.end()) {
        return;
    }
    queries_.cancel(found->second.direct);
    operations_.erase(found);
    handle_server_answer(core_, answer, now());
    pump();
}

//-----------------------------------------------------------------------------
// [joining]
//-----------------------------------------------------------------------------

// A node that is in no configuration asks the others to take it in. It never starts a cluster by itself:
// that is an operator's word, since an empty folder cannot tell a first start from a lost disk.
void control_node::ask_to_join() {
    const auto address = choose_join_address(core_, config_.control_addresses, now());
    if (!address) {
        return;
    }
    wire::join_request request;
    to_wire(core_.self, *request.mutable_member());
    clients_.to(*address).post(
        "/v1/join", request.SerializeAsString(), message_timeout,
        [this, address = *address](const http_outcome& o) { on_join_answer(address, o); });
}

void control_node::on_join_answer(const std::string& address, const http_outcome& o) {
    wire::operator_reply reply;
    if (!o.answered || o.status != 200 || !reply.ParseFromString(o.body)) {
        record_join_unanswered(core_.joining, address);
        reply.Clear();
        reply.set_code(static_cast<std::uint32_t>(result_code::no_quorum));
    } else {
        record_join_answer(core_.joining, address, static_cast<result_code>(reply.code()), reply.detail());
    }
    log_join_answer(address, reply.code(), reply.detail());
}

// A message to no identity: it only tells the sender's address.
void control_node::greet_unknown_controls() {
    if (now() < next_greeting_) {
        return;
    }
    next_greeting_ = now() + join_interval;
    raft::message greeting;
    greeting.from = core_.self.id;
    greeting.term = core_.consensus.hard.term;
    for (const std::string& address : find_unknown_controls(core_, config_.control_addresses, now())) {
        send_message(greeting, address);
    }
}

std::string control_node::answer_join(const std::string& body) {
    wire::join_request request;
    if (!request.ParseFromString(body) || request.member().id() == 0) {
        return operator_reply(result_code::bad_message, "");
    }
    const result_code code = join(core_, from_wire(request.member()), now());
    pump();
    return operator_reply(code, code == result_code::not_leader ? leader_address(core_) : "");
}

std::string control_node::answer_bootstrap() {
    if (!bootstrap(core_, now(), random_)) {
        return operator_reply(result_code::already_bootstrapped, "");
    }
    log_event(severity::info, "control_bootstrapped", {{"node", core_.self.id}});
    pump();
    return operator_reply(result_code::ok, "");
}

//-----------------------------------------------------------------------------
// [answers to daemons]
//-----------------------------------------------------------------------------

std::string control_node::answer_renewal(const std::string& body) {
    wire::renewal request;
    wire::renewal_reply reply;
    if (!request.ParseFromString(body) || request.instance().id().empty()) {
        reply.set_code(static_cast<std::uint32_t>(result_code::bad_message));
        return reply.SerializeAsString();
    }
    const auto granted = renew(core_, from_wire(request), now());
    pump();
    if (granted) {
        to_wire(*granted, reply);
    } else {
        const duration pause = leader_search_backoff(search_pause, core_.cluster.instances.size());
        reply.set_code(static_cast<std::uint32_t>(result_code::not_leader));
        reply.set_leader_address(leader_address(core_));
        reply.set_renew_after_us(
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(pause).count()));
    }
    return reply.SerializeAsString();
}

std::string control_node::answer_rates(const std::string& body) {
    wire::rate_request request;
    wire::rate_reply reply;
    if (!request.ParseFromString(body) || request.instance().empty()) {
        reply.set_code(static_cast<std::uint32_t>(result_code::bad_message));
        return reply.SerializeAsString();
    }
    if (const auto grants = grant_operations(core_, from_wire(request), now())) {
        to_wire(*grants, reply);
        reply.set_leader_term(core_.control.leader_term);
    } else {
        reply.set_code(static_cast<std::uint32_t>(result_code::not_leader));
        reply.set_leader_address(leader_address(core_));
    }
    return reply.SerializeAsString();
}

void control_node::answer_watch(const std::string& body, const http_respond& respond) {
    wire::watch_request request;
    if (!request.ParseFromString(body)) {
        respond({.status = 400, .body = {}});
        return;
    }
    const bool has_news = has_news_for(core_, request.applied(), last_news_, now());
    if (!request.wait() || has_news || watchers_.size() >= max_watchers) {
        respond({.status = 200, .body = make_watch_reply(core_, request.applied(), whole_state_)});
        return;
    }
    watchers_.push_back({.applied = request.applied(), .respond = respond, .deadline = now() + watch_time});
}

void control_node::answer_watchers() {
    const time_point at = now();
    const auto is_ready = [&](const watcher& w) {
        return at >= w.deadline || has_news_for(core_, w.applied, last_news_, at);
    };
    std::vector<watcher> ready;
    std::copy_if(watchers_.begin(), watchers_.end(), std::back_inserter(ready), is_ready);
    std::erase_if(watchers_, is_ready);
    const bool is_news = std::any_of(ready.begin(), ready.end(),
                                     [this](const watcher& w) { return w.applied < core_.cluster.revision; });
    last_news_ = is_news ? at : last_news_;
    // Most watchers are at the same revision and get the same bytes.
    std::map<revision_number, std::string> bodies;
    for (const watcher& w : ready) {
        auto& reply = bodies[w.applied];
        if (reply.empty()) {
            reply = make_watch_reply(core_, w.applied, whole_state_);
        }
        w.respond({.status = 200, .body = reply});
    }
}

//-----------------------------------------------------------------------------
// [answers to operators]
//-----------------------------------------------------------------------------

void control_node::answer_edit(const std::string& body, const http_respond& respond) {
    const auto reply = [&respond](result_code code, const std::string& detail, const change_outcome& o = {}) {
        respond({.status = 200, .body = operator_reply(code, detail, o.table_revision, o.revision)});
    };
    wire::edit_request request;
    if (!request.ParseFromString(body) || request.edit().change_id().empty()) {
        reply(result_code::bad_message, "");
        return;
    }
    if (!is_active_leader(core_, now())) {
        reply(result_code::not_leader, leader_address(core_));
        return;
    }
    if (!has_enough_voters(core_)) {
        reply(result_code::no_quorum, "fewer voters than the losses to be borne ask for");
        return;
    }
    const edit_table edit = from_wire(request.edit());
    const std::string broken_rule = check_table(edit.next);
    if (!broken_rule.empty()) {
        reply(result_code::table_invalid, broken_rule);
        return;
    }
    waiting_edit waiting;
    waiting.change_id = edit.change_id;
    waiting.respond = respond;
    waiting.until_in_force = request.wait();
    waiting.deadline =
        now() + (request.wait_ms() == 0
                     ? edit_patience
                     : duration{std::chrono::milliseconds{static_cast<std::int64_t>(request.wait_ms())}});
    if (const auto earlier = propose_edit(core_, edit, now())) {
        waiting.applied = true;
        waiting.outcome = *earlier;
    }
    edits_.push_back(std::move(waiting));
    pump();
    answer_waiting_edits();
}

void control_node::answer_waiting_edits() {
    const time_point at = now();
    std::vector<waiting_edit> left;
    std::vector<waiting_edit> open;
    open.swap(edits_);
    for (waiting_edit& w : open) {
        const bool refused = w.applied && w.outcome.code != result_code::ok;
        const bool accepted = w.applied && !refused && can_acknowledge_changes(core_);
        const bool in_force = accepted && is_active_leader(core_, at) &&
                              is_in_force(core_.control, core_.cluster, w.outcome.revision, at);
        std::string reply;
        if (refused || (accepted && (!w.until_in_force || in_force))) {
            reply = operator_reply(w.outcome.code, w.until_in_force && !refused ? "in force" : "",
                                   w.outcome.table_revision, w.outcome.revision);
        } else if (!core_.control.leading || at >= w.deadline) {
            // Accepted but not everywhere yet, or not even known to be accepted.
            const result_code code = w.applied ? result_code::not_in_force_yet : result_code::no_quorum;
            reply = operator_reply(code, "", w.outcome.table_revision, w.outcome.revision);
        } else {
            left.push_back(std::move(w));
            continue;
        }
        w.respond({.status = 200, .body = reply});
    }
    edits_.insert(edits_.end(), std::make_move_iterator(left.begin()), std::make_move_iterator(left.end()));
}

std::string control_node::answer_switchover(const std::string& body) {
    wire::switchover_request request;
    if (!request.ParseFromString(body)) {
        return operator_reply(result_code::bad_message, "");
    }
    const result_code code =
        switch_over(core_, {request.group()}, {request.target()}, request.accept_loss(), now());
    pump();
    return operator_reply(code, code == result_code::not_leader ? leader_address(core_) : "");
}

std::string control_node::answer_document() {
    wire::document_reply reply;
    if (!is_active_leader(core_, now())) {
        reply.set_code(static_cast<std::uint32_t>(result_code::not_leader));
        reply.set_leader(leader_address(core_));
        return reply.SerializeAsString();
    }
    const bool has_one = core_.cluster.table_version != 0;
    reply.set_code(static_cast<std::uint32_t>(has_one ? result_code::ok : result_code::no_such_record));
    reply.set_version(core_.cluster.table_version);
    reply.set_document(core_.cluster.document);
    return reply.SerializeAsString();
}

std::string control_node::answer_status() {
    wire::status_reply reply;
    if (!is_active_leader(core_, now())) {
        reply.set_code(static_cast<std::uint32_t>(result_code::not_leader));
        reply.set_leader(leader_address(core_));
        return reply.SerializeAsString();
    }
    reply.set_leader(config_.id.value);
    reply.set_revision(core_.cluster.revision);
    reply.set_table_revision(core_.cluster.table_revision);
    to_wire(core_.cluster.current_table, *reply.mutable_current());
    for (const auto& [id, group] : core_.cluster.groups) {
        to_wire(group, *reply.add_groups());
    }
    for (const auto& [id, server] : core_.cluster.servers) {
        auto* m = reply.add_servers();
        to_wire(server, *m->mutable_record());
        const server_entry entry = server_settings(core_.cluster.current_table, id);
        m->set_weight(entry.weight);
        m->set_leaving(entry.leaving || server.leaving);
        for (const auto& [daemon, d] : core_.control.daemons) {
            const auto o = d.observations.find(id);
            if (o != d.observations.end() && o->second.alive) {
                m->set_alive(true);
                m->set_is_primary(o->second.is_primary);
                m->set_timeline(std::max(m->timeline(), o->second.timeline));
                m->set_position(std::max(m->position(), o->second.position));
            }
        }
    }
    for (const auto& [id, d] : core_.control.daemons) {
        auto* m = reply.add_daemons();
        m->set_id(id.value);
        m->set_domain(d.domain.value);
        m->set_lease(has_live_lease(d, now()));
        m->set_confirmed(d.confirmed_revision);
        for (const auto& [key, claim] : d.claims) {
            auto* s = reply.add_services();
            s->set_service(key.service.value);
            s->set_server(key.server.value);
            s->set_held(held_share(d, key));
            const service_entry* entry = find_service(core_.cluster.current_table, key.service);
            s->set_limit(entry == nullptr ? 0 : entry->max_connections);
        }
    }
    for (const log_wait& wait : find_log_waits(core_.control, core_.cluster)) {
        auto* m = reply.add_waits();
        m->set_group(wait.group.value);
        m->set_position(wait.position);
        m->set_may_be_unknown(wait.may_be_unknown);
        for (const server_id& server : wait.servers) {
            m->add_servers(server.value);
        }
    }
    for (const raft::member& member : core_.consensus.members.members) {
        auto* m = reply.add_members();
        to_wire(member, *m);
        const auto p = core_.consensus.peers.find(member.id);
        const bool heard = p != core_.consensus.peers.end() && p->second.acked &&
                           now() - p->second.acked_round_sent_at <= core_.consensus.config.election_timeout;
        m->set_silent(member.id != core_.self.id && !heard);
    }
    constexpr std::size_t shown_changes = 20;
    const std::size_t first = core_.cluster.recorded_changes.size() > shown_changes
                                  ? core_.cluster.recorded_changes.size() - shown_changes
                                  : 0;
    for (std::size_t i = first; i < core_.cluster.recorded_changes.size(); ++i) {
        auto* m = reply.add_changes();
        m->set_change_id(core_.cluster.recorded_changes[i].change_id);
        m->set_code(static_cast<std::uint32_t>(core_.cluster.recorded_changes[i].outcome.code));
        m->set_table_revision(core_.cluster.recorded_changes[i].outcome.table_revision);
    }
    return reply.SerializeAsString();
}

} // namespace larchpin
