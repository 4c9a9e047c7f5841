// How one request of a caller is carried out: see client_session.hpp.
//
// Index
//   [routing]  [connection]  [running]  [after a write]  [ending]  [failing]
#include "daemon/client_session.hpp"

#include "daemon/entry.hpp"
#include "io/backend_sql.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"
#include "io/server_probe.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr duration failover_wait = std::chrono::seconds{4}; // for a primary, within the deadline
constexpr duration come_back_after = std::chrono::milliseconds{500};
constexpr duration safety_look_interval = std::chrono::milliseconds{20};
constexpr unsigned max_attempts = 3;
constexpr duration look_again_after = std::chrono::milliseconds{50};
constexpr std::size_t message_header_bytes = 5;

std::uint32_t message_length(std::string_view bytes) {
    field_reader r{.rest = bytes.substr(1)};
    return read_u32(r) + 1;
}

// Splits whole messages: all before the first CommandComplete, and the rest.
std::size_t find_acknowledgement(std::string_view bytes) {
    std::size_t at = 0;
    while (bytes.size() - at >= message_header_bytes) {
        if (bytes[at] == 'C') {
            return at;
        }
        at += message_length(bytes.substr(at));
    }
    return bytes.size();
}

// Takes the row description out of the answer to an execute that nobody asked to describe.
std::string without_description(std::string_view bytes) {
    std::string kept;
    std::size_t at = 0;
    while (bytes.size() - at >= message_header_bytes) {
        const std::uint32_t length = message_length(bytes.substr(at));
        if (bytes[at] != 'T') {
            kept.append(bytes.substr(at, length));
        }
        at += length;
    }
    return kept;
}

// A described execute without rows is answered "no data" before its completion.
bool starts_with_completion(std::string_view bytes) {
    return !bytes.empty() && (bytes.front() == 'C' || bytes.front() == 'I');
}

} // namespace

//-----------------------------------------------------------------------------
// [routing]
//-----------------------------------------------------------------------------

void client_session::begin_request(statement_kind kind, const backend_request& request, bool extended,
                                   bool want_description) {
    active_request r;
    r.request = request;
    r.kind = kind;
    r.extended = extended;
    r.want_description = want_description;
    r.started_at = now();
    r.deadline = r.started_at + deadline_of(state_, service_);
    r.serial = next_serial_++;
    const bool may_read = kind == statement_kind::read_hint || kind == statement_kind::begin_read_only ||
                          (kind == statement_kind::begin && state_.settings.mode == read_mode::read);
    r.is_read =
        may_read && state_.settings.mode != read_mode::primary && state_.settings.idempotency_key.empty();
    const bool uses_key = !pinned_ && !r.is_read;
    if (uses_key) {
        r.idempotency_key.swap(state_.settings.idempotency_key);
    }
    active_ = std::move(r);
    arm_timer(active_->deadline);
    if (!pinned_) {
        note_request(owner_.cluster.budget(state_.group));
        route();
        return;
    }
    active_->server = pinned_->server;
    active_->on_primary = pinned_->on_primary;
    active_->term = pinned_->term;
    active_->used_from = now();
    owner_.cluster.note_request_started(active_->server);
    const bool ends = kind == statement_kind::commit;
    if (ends && pinned_->on_primary && !term_still_holds()) {
        drop_connection(); // takes the transaction with it: nothing of it was committed
        finish_with_error(result_code::term_changed, run_state::not_run, come_back_after);
        return;
    }
    owner_.note_waiting(number_);
    run_statement();
}

void client_session::route() {
    active_request& r = *active_;
    r.step = request_step::routed;
    const time_point at = now();
    if (at >= r.deadline) {
        on_deadline();
        return;
    }
    const cluster_state& cluster = owner_.cluster.cluster();
    if (!cluster.groups.contains(state_.group)) {
        const bool surely = owner_.cluster.has_confirmed_state() && owner_.cluster.has_lease();
        if (surely) {
            finish_with_error(result_code::unknown_group, run_state::not_run);
        } else {
            r.last_refusal = result_code::no_lease;
            wait_for_news(r.started_at + failover_wait);
        }
        return;
    }
    const group_view view = owner_.cluster.view(state_.group, state_.service);
    if (const service_entry* service = find_service(cluster.current, state_.service)) {
        service_ = *service;
    }
    resolve_seen(state_, view.record, *view.positions);
    if (has_lost_write(state_, view.record)) {
        finish_with_error(result_code::lost_write, run_state::not_run);
        return;
    }
    adopt_term(state_, view.record);
    const duration staleness = staleness_of(state_, service_);
    const bool lease = owner_.cluster.has_lease();
    if (r.is_read && !state_.floor && staleness <= duration{0}) {
        owner_.cluster.want_fresh_position(state_.group);
    }
    const routing_decision decision =
        r.is_read ? route_read(view, state_, staleness, lease, {}, r.started_at, at, owner_.random)
                  : route_write(view, lease);
    if (decision.kind == target_kind::server) {
        r.server = decision.server;
        r.on_primary = decision.is_primary;
        r.term = view.record.term;
        queue();
        return;
    }
    if (decision.kind == target_kind::wait) {
        wait_for_news(decision.retry_at);
        return;
    }
    r.last_refusal = decision.code;
    if (decision.code == result_code::lost_write || at - r.started_at >= failover_wait) {
        finish_with_error(decision.code, run_state::not_run, come_back_after);
        return;
    }
    wait_for_news(r.started_at + failover_wait);
}

void client_session::wait_for_news(time_point retry_at) {
    owner_.note_waiting(number_);
    arm_timer(std::min(retry_at, active_->deadline));
}

void client_session::poke() {
    if (!active_ || closed_) {
        return;
    }
    if (active_->step == request_step::routed) {
        route();
    } else if (active_->step == request_step::queued && active_->on_primary && !term_still_holds()) {
        leave_queue();
        route();
    } else if (active_->step == request_step::queued) {
        owner_.note_waiting(number_);
    } else if (active_->step == request_step::safety) {
        wait_for_safety();
    } else if (active_->on_primary && pinned_) {
        abandon_if_replaced();
    } else if (pinned_) {
        abandon_if_silent();
    }
}

// A read on a replica that nobody hears of any more is tried elsewhere, if the caller has got nothing of it.
void client_session::abandon_if_silent() {
    const auto& servers = owner_.cluster.cluster().servers;
    const auto server = servers.find(active_->server);
    const bool silent = server != servers.end() && owner_.cluster.is_silent(server->second);
    if (!silent || active_->forwarded || pinned_->in_transaction()) {
        owner_.note_waiting(number_);
        return;
    }
    active_->serial = next_serial_++; // a late answer reaches nobody
    on_connection_lost();
}

// Once the primary is fenced or replaced, or the lease is gone, nothing that it still answers can be passed
// on as a success: the caller learns at once what is known of its request.
void client_session::abandon_if_replaced() {
    if (term_still_holds()) {
        owner_.note_waiting(number_);
        return;
    }
    active_request& r = *active_;
    const run_state run = outcome_if_lost();
    const bool in_transaction = pinned_->in_transaction();
    owner_.cluster.note_request_ended(r.server, true, now() - r.used_from);
    r.serial = next_serial_++; // a late answer reaches nobody
    pinned_->connection->cancel_running();
    drop_connection();
    failed_transaction_ =
        in_transaction && r.kind != statement_kind::commit && r.kind != statement_kind::rollback;
    finish_with_error(result_code::term_changed, run,
                      run == run_state::not_run ? come_back_after : duration{0});
}

//-----------------------------------------------------------------------------
// [connection]
//-----------------------------------------------------------------------------

void client_session::queue() {
    active_request& r = *active_;
    const auto server = owner_.cluster.cluster().servers.find(r.server);
    if (server == owner_.cluster.cluster().servers.end()) {
        finish_with_error(result_code::no_replica, run_state::not_run, come_back_after);
        return;
    }
    r.step = request_step::queued;
    arm_timer(r.deadline);
    owner_.cluster.note_request_started(r.server);
    const share_key key{.service = state_.service, .server = r.server};
    const std::uint64_t serial = r.serial;
    const auto self = shared_from_this();
    const request_number number =
        owner_.pools.request(key, server->second, service_.background_share, state_.settings.klass,
                             r.deadline, [self, serial, key](const pool_answer& answer) {
                                 const bool awaited = self->active_ && self->active_->serial == serial &&
                                                      self->active_->step == request_step::queued &&
                                                      !self->closed_;
                                 if (awaited) {
                                     self->on_connection(answer);
                                 } else if (answer.connection) {
                                     self->owner_.pools.release(key, answer.number, true, duration{0});
                                 }
                             });
    if (active_ && active_->serial == serial && active_->step == request_step::queued) {
        active_->waiting = number;
        owner_.note_waiting(number_); // a new primary would make this queue the wrong one
    }
}

void client_session::leave_queue() {
    const share_key key{.service = state_.service, .server = active_->server};
    owner_.pools.cancel(key, active_->waiting);
    owner_.cluster.note_request_ended(active_->server, true, duration{0});
    active_->serial = next_serial_++;
}

void client_session::on_connection(const pool_answer& answer) {
    active_request& r = *active_;
    if (!answer.connection) {
        owner_.cluster.note_request_ended(r.server, true, duration{0});
        r.serial = next_serial_++;
        const bool server_gone = answer.code == result_code::connection_lost;
        const bool elsewhere = server_gone || answer.code == result_code::no_lease;
        if (elsewhere && !r.on_primary && ++r.attempts < max_attempts) {
            route(); // another server may do
            return;
        }
        if (server_gone && r.on_primary) {
            r.step = request_step::routed; // there may be a new primary soon
            r.last_refusal = result_code::no_primary;
            wait_for_news(now() + look_again_after);
            return;
        }
        finish_with_error(answer.code, run_state::not_run,
                          std::max(answer.retry_after, duration{std::chrono::milliseconds{1}}));
        return;
    }
    r.used_from = now();
    pinned_ = pinned_connection{.key = {.service = state_.service, .server = r.server},
                                .number = answer.number,
                                .connection = answer.connection,
                                .server = r.server,
                                .on_primary = r.on_primary,
                                .term = r.term,
                                .since = r.used_from};
    // It may have waited in the queue for long: what was true when it was routed may not be any more.
    if (r.on_primary && !term_still_holds()) {
        owner_.cluster.note_request_ended(r.server, true, duration{0});
        release_if_done();
        route();
        return;
    }
    owner_.note_waiting(number_);
    run_settings();
}

void client_session::run_settings() {
    if (pinned_->connection->applied_settings == settings_text_) {
        run_begin();
        return;
    }
    run_plain("reset all;" + settings_text_, request_step::settings, [this](const backend_outcome& outcome) {
        if (outcome.failed) {
            settings_.clear();
            settings_text_.clear();
            pinned_->connection->applied_settings = "?"; // another reset comes first
            finish_with_server_error(outcome);
            return;
        }
        pinned_->connection->applied_settings = settings_text_;
        run_begin();
    });
}

//-----------------------------------------------------------------------------
// [running]
//-----------------------------------------------------------------------------

// Runs a statement of larchpin's own; `next` is called where it was answered.
void client_session::run_plain(const std::string& text, request_step step,
                               const std::function<void(const backend_outcome&)>& next) {
    active_->step = step;
    backend_request request;
    request.text = text;
    backend_sink sink;
    sink.keep_first_row = true;
    sink.hold_errors = true;
    const std::uint64_t serial = active_->serial;
    sink.on_done = [self = shared_from_this(), serial, next](const backend_outcome& outcome) {
        if (!self->active_ || self->active_->serial != serial || self->closed_) {
            return;
        }
        if (!outcome.answered) {
            self->on_connection_lost();
            return;
        }
        next(outcome);
    };
    pinned_->connection->run(request, sink);
}

// A request with an idempotency key that is no transaction of its own gets one.
void client_session::run_begin() {
    const bool needs_begin = !active_->idempotency_key.empty() && active_->kind != statement_kind::begin;
    if (!needs_begin) {
        run_statement();
        return;
    }
    run_plain("begin", request_step::begin, [this](const backend_outcome&) { run_claim(); });
}

// Writes the key's row: whoever comes second waits for the first one's end, and is then told.
void client_session::run_claim() {
    active_request& r = *active_;
    r.step = request_step::claim;
    backend_request request;
    request.shape = request_shape::extended;
    request.text = claim_key_sql;
    request.values = {r.idempotency_key, std::string{}};
    request.formats = {0, 0};
    backend_sink sink;
    sink.hold_errors = true;
    const std::uint64_t serial = r.serial;
    sink.on_done = [self = shared_from_this(), serial](const backend_outcome& outcome) {
        if (!self->active_ || self->active_->serial != serial || self->closed_) {
            return;
        }
        if (!outcome.answered) {
            self->on_connection_lost();
            return;
        }
        if (!outcome.failed) {
            if (self->active_->kind == statement_kind::begin) {
                self->finish_success();
            } else {
                self->run_statement();
            }
            return;
        }
        self->drop_connection(); // rolls back
        if (outcome.sqlstate == sqlstate_unique_violation) {
            self->finish_with_error(result_code::duplicate_request, run_state::ran);
        } else {
            self->finish_with_server_error(outcome);
        }
    };
    pinned_->connection->run(request, sink);
}

void client_session::run_statement() {
    active_request& r = *active_;
    r.step = request_step::statement;
    const bool surely_reads =
        r.is_read && (state_.settings.mode == read_mode::read || !may_call_functions(r.request.text));
    r.was_write = r.on_primary && !surely_reads;
    backend_sink sink;
    sink.hold_errors = true;
    const std::uint64_t serial = r.serial;
    // Inside a transaction nothing acknowledges a write but its commit.
    const bool hold = r.on_primary && (!pinned_->in_transaction() || r.kind == statement_kind::commit ||
                                       r.request.shape == request_shape::simple);
    sink.on_bytes = [self = shared_from_this(), serial, hold](std::string_view bytes) {
        if (!self->active_ || self->active_->serial != serial || self->closed_) {
            return;
        }
        active_request& active = *self->active_;
        std::string text(bytes);
        if (active.extended && active.request.shape == request_shape::extended) {
            if (!active.want_description) {
                text = without_description(text);
            } else if (!active.forwarded && active.held.empty() && starts_with_completion(text) &&
                       (active.kind == statement_kind::write || active.kind == statement_kind::read_hint)) {
                put_message(self->out_, 'n', "");
            }
        }
        const bool pass_all = !hold && active.kind != statement_kind::begin;
        const std::size_t split = pass_all              ? text.size()
                                  : active.held.empty() ? find_acknowledgement(text)
                                                        : 0;
        if (split > 0) {
            active.forwarded = true;
            self->forward(std::string_view(text).substr(0, split));
        }
        active.held.append(text.substr(split));
    };
    sink.on_done = [self = shared_from_this(), serial](const backend_outcome& outcome) {
        if (!self->active_ || self->active_->serial != serial || self->closed_) {
            return;
        }
        self->on_statement_done(outcome);
    };
    pinned_->connection->run(r.request, sink);
}

void client_session::on_statement_done(const backend_outcome& outcome) {
    active_request& r = *active_;
    if (!outcome.answered) {
        on_connection_lost();
        return;
    }
    const bool was_in_transaction = pinned_->in_transaction();
    pinned_->transaction = outcome.transaction;
    if (outcome.failed) {
        const bool refused_write = outcome.sqlstate == sqlstate_read_only && !r.on_primary && r.is_read &&
                                   !was_in_transaction && !r.forwarded && r.kind == statement_kind::read_hint;
        if (refused_write) { // the replica's word that it did not run
            owner_.cluster.note_request_ended(r.server, true, now() - r.used_from);
            release_if_done();
            r.is_read = false;
            r.held.clear();
            route();
            return;
        }
        if (!r.idempotency_key.empty()) {
            drop_connection(); // rolls the key's row back with it
        }
        finish_with_server_error(outcome);
        return;
    }
    if (!r.idempotency_key.empty() && r.kind == statement_kind::begin) {
        run_claim();
    } else if (!r.idempotency_key.empty()) {
        run_commit();
    } else if (r.on_primary && !pinned_->in_transaction() && r.request.shape != request_shape::describe &&
               r.was_write) {
        run_position();
    } else {
        finish_success();
    }
}

void client_session::run_commit() {
    if (!term_still_holds()) {
        drop_connection();
        finish_with_error(result_code::term_changed, run_state::not_run, come_back_after);
        return;
    }
    run_plain("commit", request_step::commit, [this](const backend_outcome& outcome) {
        if (outcome.failed) {
            drop_connection();
            finish_with_server_error(outcome);
            return;
        }
        pinned_->transaction = 'I';
        run_position();
    });
}

//-----------------------------------------------------------------------------
// [after a write]
//-----------------------------------------------------------------------------

// Where the write stands in the log, and once more whether this is the true primary.
void client_session::run_position() {
    run_plain(std::string(probe_sql), request_step::position, [this](const backend_outcome& outcome) {
        active_request& r = *active_;
        const auto probed = parse_probe_row(outcome);
        const auto group = owner_.cluster.cluster().groups.find(state_.group);
        const bool true_primary =
            probed && probed->is_primary && term_still_holds() && group->second.timeline == probed->timeline;
        if (!true_primary) {
            drop_connection();
            finish_with_error(result_code::term_changed, run_state::unknown);
            return;
        }
        r.position = probed->position;
        note_write(state_, r.term, r.position);
        if (service_.write_safety) {
            wait_for_safety();
        } else {
            finish_success();
        }
    });
}

// Waits until a replica in another failure domain than the primary's holds the write.
void client_session::wait_for_safety() {
    active_request& r = *active_;
    r.step = request_step::safety;
    const cluster_state& cluster = owner_.cluster.cluster();
    if (!term_still_holds()) {
        drop_connection();
        finish_with_error(result_code::term_changed, run_state::unknown);
        return;
    }
    const group_view view = owner_.cluster.view(state_.group, state_.service);
    const auto primary = cluster.servers.find(r.server);
    for (const server_record& server : servers_of(cluster, state_.group)) {
        const bool elsewhere = primary != cluster.servers.end() && server.domain != primary->second.domain;
        const auto position = known_position(*view.positions, server.id, view.record.timeline);
        if (elsewhere && position && *position >= r.position) {
            finish_success();
            return;
        }
    }
    owner_.note_waiting(number_);
    arm_timer(std::min(r.deadline, now() + safety_look_interval));
}

bool client_session::term_still_holds() const {
    if (!owner_.cluster.has_lease()) {
        return false;
    }
    const auto group = owner_.cluster.cluster().groups.find(state_.group);
    return group != owner_.cluster.cluster().groups.end() && group->second.phase == group_phase::serving &&
           group->second.term == active_->term && group->second.primary == active_->server;
}

//-----------------------------------------------------------------------------
// [ending]
//-----------------------------------------------------------------------------

void client_session::finish_success() {
    active_request& r = *active_;
    const time_point at = now();
    if (r.on_primary && !term_still_holds() && !(pinned_ && pinned_->in_transaction())) {
        drop_connection();
        // A read of a replaced primary may miss others' writes; a write on it may be lost.
        finish_with_error(result_code::term_changed, r.was_write ? run_state::unknown : run_state::not_run);
        return;
    }
    if (!r.was_write || r.kind == statement_kind::begin_read_only) {
        note_read(state_, r.server, at);
    }
    if (r.is_read) {
        owner_.counts.note_read(metric(), r.on_primary ? request_target::primary : request_target::replica,
                                at - r.started_at);
    } else {
        owner_.counts.note_write(metric(), at - r.started_at);
    }
    owner_.cluster.note_request_ended(r.server, true, at - r.used_from);
    out_.append(r.held);
    release_if_done();
    finish_common();
}

void client_session::finish_with_server_error(const backend_outcome& outcome) {
    active_request& r = *active_;
    owner_.cluster.note_request_ended(r.server, true, now() - r.used_from);
    out_.append(outcome.error_message);
    skip_to_sync_ = r.extended;
    release_if_done();
    finish_common();
}

void client_session::finish_with_error(result_code code, run_state run, duration retry_after) {
    owner_.counts.note_refusal(metric(), code);
    put_error(out_, {.code = code, .run = run, .retry_after = retry_after});
    skip_to_sync_ = active_->extended;
    release_if_done();
    finish_common();
}

void client_session::finish_common() {
    const bool extended = active_->extended;
    active_.reset();
    ++timer_serial_;
    if (!extended) {
        put_token();
        put_ready(out_, transaction_status());
    }
    if (stopping_ && !extended) {
        stop_when_idle();
    }
    // Not from inside the connection's callback: the next request may use the same connection.
    asio::post(owner_.io, [self = shared_from_this()] { self->process_input(); });
}

void client_session::release_if_done() {
    if (!pinned_ || pinned_->in_transaction()) {
        return;
    }
    const pinned_connection held = *pinned_;
    pinned_.reset();
    held.connection->resume();
    owner_.pools.release(held.key, held.number, true, now() - held.since);
}

void client_session::drop_connection() {
    if (!pinned_) {
        return;
    }
    const pinned_connection held = *pinned_;
    pinned_.reset();
    owner_.pools.release(held.key, held.number, false, now() - held.since);
}

//-----------------------------------------------------------------------------
// [failing]
//-----------------------------------------------------------------------------

// What is true of the request if nothing more is heard of it.
run_state client_session::outcome_if_lost() const {
    const active_request& r = *active_;
    switch (r.step) {
    case request_step::commit:
    case request_step::position: return run_state::unknown;
    case request_step::safety: return run_state::ran;
    case request_step::statement: break;
    default: return run_state::not_run;
    }
    if (!r.on_primary || r.request.shape == request_shape::describe) {
        return run_state::not_run;
    }
    const bool uncommitted = (pinned_ && pinned_->in_transaction() && r.kind != statement_kind::commit &&
                              r.request.shape == request_shape::extended) ||
                             !r.idempotency_key.empty() || r.kind == statement_kind::begin ||
                             r.kind == statement_kind::begin_read_only || r.kind == statement_kind::rollback;
    const bool one_statement = r.request.text.find(';') == std::string::npos ||
                               r.request.text.find(';') + 1 == r.request.text.size();
    const bool inside =
        pinned_ && pinned_->in_transaction() && r.kind != statement_kind::commit && one_statement;
    const bool vouched_read = r.is_read && state_.settings.mode == read_mode::read;
    return uncommitted || inside || vouched_read ? run_state::not_run : run_state::unknown;
}

bool client_session::may_retry() {
    active_request& r = *active_;
    const bool harmless = r.is_read && !r.on_primary && !r.forwarded && !pinned_->in_transaction();
    const bool unsent = r.step == request_step::settings || r.step == request_step::begin;
    return (harmless || unsent) && ++r.attempts < max_attempts && now() < r.deadline &&
           take_retry(owner_.cluster.budget(state_.group));
}

void client_session::on_connection_lost() {
    active_request& r = *active_;
    owner_.cluster.note_request_ended(r.server, false, now() - r.used_from);
    const bool in_transaction = pinned_ && pinned_->in_transaction();
    const bool retry = may_retry();
    const run_state run = outcome_if_lost();
    drop_connection();
    if (retry) {
        owner_.counts.note_retry(metric());
        r.serial = next_serial_++;
        r.held.clear();
        route();
        return;
    }
    failed_transaction_ =
        in_transaction && r.kind != statement_kind::commit && r.kind != statement_kind::rollback;
    finish_with_error(result_code::connection_lost, run,
                      run == run_state::not_run ? come_back_after : duration{0});
}

void client_session::arm_timer(time_point at) {
    const std::uint64_t serial = ++timer_serial_;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(at)));
    timer_.async_wait([self = shared_from_this(), serial](const boost::system::error_code& error) {
        if (error || serial != self->timer_serial_ || !self->active_ || self->closed_) {
            return;
        }
        if (now() >= self->active_->deadline) {
            self->on_deadline();
        } else {
            self->poke();
        }
    });
}

void client_session::on_deadline() {
    active_request& r = *active_;
    if (r.step == request_step::routed) {
        finish_with_error(r.is_read ? result_code::deadline_passed : r.last_refusal, run_state::not_run,
                          come_back_after);
        return;
    }
    if (r.step == request_step::queued) {
        leave_queue();
        finish_with_error(result_code::deadline_passed, run_state::not_run, come_back_after);
        return;
    }
    if (r.step == request_step::safety) {
        finish_with_error(result_code::not_safe_yet, run_state::ran);
        return;
    }
    const run_state run = outcome_if_lost();
    const bool in_transaction = pinned_ && pinned_->in_transaction();
    owner_.cluster.note_request_ended(r.server, false, now() - r.used_from);
    r.serial = next_serial_++; // a late answer reaches nobody
    if (pinned_) {
        pinned_->connection->cancel_running();
    }
    drop_connection();
    failed_transaction_ =
        in_transaction && r.kind != statement_kind::commit && r.kind != statement_kind::rollback;
    finish_with_error(result_code::deadline_passed, run,
                      run == run_state::not_run ? come_back_after : duration{0});
}

void client_session::cancel() {
    if (!active_) {
        return;
    }
    if (active_->step == request_step::statement && pinned_) {
        pinned_->connection->cancel_running();
    } else if (active_->step == request_step::routed || active_->step == request_step::queued) {
        active_->deadline = now();
        on_deadline();
    }
}

} // namespace larchpin
