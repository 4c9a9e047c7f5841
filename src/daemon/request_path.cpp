// The limit, routing, connections and the ends of a request: see request_path.hpp. What happens on the
// connection stands in request_run.cpp.
//
// Index
//   [rate limit]  [routing]  [connection]  [ending]  [failing]
#include "daemon/request_path.hpp"

#include "daemon/entry.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"

#include <algorithm>

namespace larchpin {

namespace {

constexpr duration failover_wait = std::chrono::seconds{4}; // for a primary, where no patience is stated
constexpr duration come_back_after = std::chrono::milliseconds{500};
constexpr duration look_again_after = std::chrono::milliseconds{50};
// For the primary's position: several round trips and a new connection.
constexpr duration sample_wait = std::chrono::milliseconds{100};
// A request that comes to a queue at the end of its patience may still get a connection that opens (15 ms).
constexpr duration least_queue_time = std::chrono::milliseconds{30};
// Control answers within a few milliseconds, or is changing hands: then a quarter of what the caller hopes
// for is enough to wait, since another try may meet the next leader.
constexpr int limit_wait_parts = 4;
constexpr duration limit_wait = std::chrono::milliseconds{500}; // where the caller states no hope
constexpr duration lost_server_pause = std::chrono::milliseconds{1};

std::int64_t to_us(duration d) {
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

// The step as the log names it.
std::string_view to_string(request_step step) {
    switch (step) {
    case request_step::limited: return "limited";
    case request_step::routed: return "routed";
    case request_step::queued: return "queued";
    case request_step::settings: return "settings";
    case request_step::begin: return "begin";
    case request_step::claim: return "claim";
    case request_step::statement: return "statement";
    case request_step::commit: return "commit";
    case request_step::position: return "position";
    case request_step::safety: return "safety";
    case request_step::storing: break;
    }
    return "storing";
}

std::string_view to_string(request_end end) {
    switch (end) {
    case request_end::success: return "success";
    case request_end::server_error: return "server_error";
    case request_end::refused: break;
    }
    return "refused";
}

// How long a request may wait for its turn. The first statement of a transaction leaves to those that follow
// it, and to the commit, what they need of the objective.
struct queue_times {
    time_point until{};
    time_point answer_by{}; // 0: no objective
};

queue_times times_in_queue(const caller_request& what, time_point started_at, time_point deadline) {
    if (what.patience <= duration{0}) {
        return {.until = deadline, .answer_by = {}};
    }
    const duration for_answer = what.begin.empty() ? what.patience : what.patience / transaction_time_divisor;
    const duration for_others = what.patience - for_answer;
    return {.until = std::min(deadline, std::max({deadline - for_others, started_at + what.patience,
                                                  now() + least_queue_time})),
            .answer_by = started_at + for_answer};
}

} // namespace

request_path::request_path(entry& owner, session_number number, path_front front)
    : owner_(owner), number_(number), front_(std::move(front)), timer_(owner.io) {}

metric_key request_path::metric() const {
    return {.service = state.service, .klass = state.settings.klass};
}

void request_path::begin(caller_request what) {
    active_request r;
    r.what = std::move(what);
    r.started_at = now();
    r.deadline = r.started_at + r.what.timeout;
    r.serial = next_serial_++;
    active_ = std::move(r);
    arm_timer(active_->deadline);
    if (!pinned_) {
        pass_limit();
        return;
    }
    active_->server = pinned_->server;
    active_->on_primary = pinned_->on_primary;
    active_->term = pinned_->term;
    active_->used_from = now();
    owner_.cluster.note_request_started(active_->server);
    const bool ends = active_->what.kind == statement_kind::commit;
    if (ends && pinned_->on_primary && !term_still_holds()) {
        drop_connection(); // takes the transaction with it: nothing of it was committed
        finish_with_error(result_code::term_changed, run_state::not_run, come_back_after);
        return;
    }
    owner_.note_waiting(number_);
    run_statement();
}

//-----------------------------------------------------------------------------
// [rate limit]
//-----------------------------------------------------------------------------

// Control is waited for as long as leaves the caller the time to try again elsewhere.
void request_path::pass_limit() {
    active_request& r = *active_;
    r.step = request_step::limited;
    const duration wait = r.what.patience > duration{0} ? r.what.patience / limit_wait_parts : limit_wait;
    owner_.limits.admit(state.workspace, std::min(r.started_at + wait, r.deadline),
                        [self = shared_from_this(), serial = r.serial,
                         workspace = state.workspace](const rate_verdict& verdict) {
                            const bool awaited = self->active_ && self->active_->serial == serial &&
                                                 self->active_->step == request_step::limited &&
                                                 !self->closed_;
                            if (awaited) {
                                self->on_limit(verdict);
                            } else if (verdict.code == result_code::ok) {
                                self->owner_.limits.end(workspace, false);
                            }
                        });
}

void request_path::on_limit(const rate_verdict& verdict) {
    if (verdict.code != result_code::ok) {
        finish_with_error(verdict.code, run_state::not_run, verdict.retry_after);
        return;
    }
    active_->counted = true;
    refill_for_request(owner_.cluster.budget(state.group));
    route();
}

//-----------------------------------------------------------------------------
// [routing]
//-----------------------------------------------------------------------------

void request_path::route() {
    active_request& r = *active_;
    r.step = request_step::routed;
    const time_point at = now();
    if (at >= r.deadline) {
        on_deadline();
        return;
    }
    const cluster_state& cluster = owner_.cluster.cluster();
    if (!cluster.groups.contains(state.group)) {
        const bool surely = owner_.cluster.has_confirmed_state() && owner_.cluster.has_lease();
        if (surely) {
            finish_with_error(result_code::unknown_group, run_state::not_run);
        } else {
            r.last_refusal = result_code::no_lease;
            wait_for_news(give_up_at());
        }
        return;
    }
    const group_view view = owner_.cluster.view(state.group, state.service);
    if (const service_entry* entry = find_service(cluster.current_table, state.service)) {
        service = *entry;
    }
    apply_positions(state, view.record, *view.positions);
    if (has_lost_write(state, view.record)) {
        finish_with_error(result_code::lost_write, run_state::not_run);
        return;
    }
    adopt_term(state, view.record);
    const duration staleness = effective_max_staleness(state, service);
    const bool lease = owner_.cluster.has_lease();
    const bool all_acknowledged = state.settings.reads_all_acknowledged;
    const bool lacks_floor = !state.positions.floor && staleness <= duration{0} && !all_acknowledged;
    const bool lacks_sample =
        all_acknowledged &&
        !oldest_primary_position_since(*view.positions, view.record.term, r.started_at).has_value();
    const bool lacks_position =
        lacks_floor || lacks_sample || state.positions.unknown_writes_before > time_point{};
    if (r.what.may_use_replica && lacks_position) {
        owner_.cluster.want_fresh_position(state.group, state.service);
    }
    const read_context wish{.staleness = staleness,
                            .all_acknowledged = all_acknowledged,
                            .arrived_at = r.started_at,
                            .now = at,
                            .lease_live = lease,
                            .excluded = r.avoid};
    take_decision(r.what.may_use_replica ? route_read(view, state, wish, {}, owner_.random)
                                         : route_write(view, lease),
                  view, at);
}

void request_path::take_decision(const routing_decision& decision, const group_view& view, time_point at) {
    active_request& r = *active_;
    switch (decision.kind) {
    case target_kind::server:
        r.server = decision.server;
        r.on_primary = decision.is_primary;
        r.term = view.record.term;
        r.floor.reset();
        note_expected(view);
        if (decision.floor) {
            r.floor = log_mark{.timeline = view.record.timeline, .position = *decision.floor};
        }
        queue();
        return;
    case target_kind::wait: wait_for_news(decision.retry_at); return;
    case target_kind::fetch_primary_position:
        // Without a fresh position nothing can be said of any replica.
        r.last_refusal = result_code::no_replica;
        if (at - r.started_at >= sample_wait && state.settings.reads_all_acknowledged) {
            r.what.may_use_replica = false; // the primary holds every acknowledged commit
            route();
            return;
        }
        if (at - r.started_at >= sample_wait) {
            finish_with_error(result_code::no_replica, run_state::not_run, come_back_after);
            return;
        }
        owner_.cluster.want_fresh_position(state.group, state.service);
        wait_for_news(r.started_at + sample_wait);
        return;
    case target_kind::refuse: break;
    }
    r.last_refusal = decision.code;
    const bool is_final = decision.code == result_code::lost_write ||
                          decision.code == result_code::server_left ||
                          decision.code == result_code::log_awaited;
    if (is_final || at >= give_up_at()) {
        finish_with_error(decision.code, run_state::not_run, come_back_after);
        return;
    }
    wait_for_news(give_up_at());
}

// For the log: what the choice went by.
void request_path::note_expected(const group_view& view) {
    active_request& r = *active_;
    const auto chosen = std::find_if(view.servers.begin(), view.servers.end(),
                                     [&r](const server_view& s) { return s.id == r.server; });
    const bool known = chosen != view.servers.end() && chosen->load;
    r.expected = known ? expected_completion(*chosen->load) : duration{0};
    r.load_age = known ? chosen->load->age : duration{0};
}

// A request that cannot be sent soon is better refused while its caller has time to try again.
time_point request_path::give_up_at() const {
    const caller_request& what = active_->what;
    const bool stated = what.patience > duration{0};
    const duration patience =
        stated ? max_wait_after(active_->last_refusal, what.patience) : duration{failover_wait};
    return std::min(active_->started_at + patience, active_->deadline);
}

void request_path::wait_for_news(time_point retry_at) {
    owner_.note_waiting(number_);
    arm_timer(std::min(retry_at, active_->deadline));
}

void request_path::poke() {
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
    } else if (pinned_ && active_->on_primary && !term_still_holds()) {
        abandon_replaced();
    } else if (pinned_) {
        abandon_if_silent();
    }
}

// The answer may be lost, or its server cut off. Only as often as the retry budget allows: a server that is
// merely crowded must not get its work twice.
bool request_path::is_overdue() const {
    const active_request& r = *active_;
    const bool late = r.answer_by != time_point{} && now() >= r.answer_by;
    return late && r.attempts + 1 < r.what.max_attempts && owner_.cluster.budget(state.group).tokens >= 1;
}

// What can be asked again without harm, and whose server nobody hears of any more, or that is overdue.
void request_path::abandon_if_silent() {
    const auto& servers = owner_.cluster.cluster().servers;
    const auto server = servers.find(active_->server);
    const bool silent = server != servers.end() && owner_.cluster.is_silent(server->second);
    if (!(silent || is_overdue()) || !is_repeatable()) {
        owner_.note_waiting(number_);
        if (active_->answer_by != time_point{} && now() >= active_->answer_by) {
            active_->answer_by = {};
            arm_timer(active_->deadline);
        }
        return;
    }
    active_->answer_by = {};
    active_->serial = next_serial_++; // a late answer reaches nobody
    on_connection_lost(silent || !pinned_->connection->is_lent);
}

// The primary is fenced or replaced, or the lease is gone: nothing that it still answers can be passed on as
// a success, so the caller learns at once what is known of its request.
void request_path::abandon_replaced() {
    active_request& r = *active_;
    const run_state run = outcome_if_lost();
    lost_transaction_ = loses_transaction();
    owner_.cluster.note_request_left(r.server);
    r.serial = next_serial_++; // a late answer reaches nobody
    pinned_->connection->cancel_running();
    drop_connection();
    finish_with_error(result_code::term_changed, run,
                      run == run_state::not_run ? come_back_after : duration{0});
}

//-----------------------------------------------------------------------------
// [connection]
//-----------------------------------------------------------------------------

void request_path::queue() {
    active_request& r = *active_;
    const auto server = owner_.cluster.cluster().servers.find(r.server);
    if (server == owner_.cluster.cluster().servers.end()) {
        finish_with_error(result_code::no_replica, run_state::not_run, come_back_after);
        return;
    }
    r.step = request_step::queued;
    const queue_times times = times_in_queue(r.what, r.started_at, r.deadline);
    arm_timer(r.deadline);
    owner_.cluster.note_request_started(r.server);
    owner_.loans.loads().note_sent(r.server);
    const share_key key{.service = state.service, .server = r.server};
    if (const auto lent = owner_.loans.borrow({.key = key,
                                               .workspace = state.workspace,
                                               .klass = state.settings.klass,
                                               .queue_until = times.until,
                                               .answer_by = times.answer_by,
                                               .objective = r.what.patience,
                                               .deadline = r.deadline,
                                               .on_primary = r.on_primary,
                                               .term = r.term})) {
        use_connection(lent, 0);
        return;
    }
    const std::uint64_t serial = r.serial;
    const auto self = shared_from_this();
    const request_number number =
        owner_.pools.request(key, server->second, service.background_share,
                             {.klass = state.settings.klass,
                              .deadline = times.until,
                              .answer_by = times.answer_by,
                              .objective = r.what.patience,
                              .workspace = state.workspace,
                              .weight = weight_of(owner_.cluster.cluster().current_table, state.workspace)},
                             [self, serial, key](const pool_answer& answer) {
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

void request_path::leave_queue() {
    const share_key key{.service = state.service, .server = active_->server};
    owner_.pools.cancel(key, active_->waiting);
    owner_.cluster.note_request_left(active_->server);
    active_->serial = next_serial_++;
}

void request_path::on_connection(const pool_answer& answer) {
    active_request& r = *active_;
    if (!answer.connection) {
        owner_.cluster.note_request_left(r.server);
        r.serial = next_serial_++;
        const bool server_gone = answer.code == result_code::connection_lost;
        const bool elsewhere = server_gone || answer.code == result_code::no_lease;
        if (elsewhere && !r.on_primary && ++r.attempts < r.what.max_attempts) {
            r.avoid.push_back(r.server);
            route(); // another server may do
            return;
        }
        if (server_gone && r.on_primary) {
            r.step = request_step::routed; // there may be a new primary soon
            r.last_refusal = result_code::no_primary;
            if (now() >= give_up_at()) {
                finish_with_error(result_code::no_primary, run_state::not_run, come_back_after);
                return;
            }
            wait_for_news(now() + look_again_after);
            return;
        }
        finish_with_error(answer.code, run_state::not_run, std::max(answer.retry_after, lost_server_pause));
        return;
    }
    use_connection(answer.connection, answer.number);
}

void request_path::use_connection(const std::shared_ptr<backend_connection>& connection,
                                  connection_number number) {
    active_request& r = *active_;
    r.used_from = now();
    pinned_ = pinned_connection{.key = {.service = state.service, .server = r.server},
                                .number = number,
                                .connection = connection,
                                .server = r.server,
                                .on_primary = r.on_primary,
                                .term = r.term,
                                .since = r.used_from};
    // It may have waited in the queue for long: what was true when it was routed may not be any more.
    if ((r.on_primary && !term_still_holds()) || owner_.cluster.is_leave_over(r.server)) {
        owner_.cluster.note_request_left(r.server);
        release_if_done();
        route();
        return;
    }
    owner_.note_waiting(number_);
    run_settings();
}

// The other instance had no connection to lend, and nothing was sent.
void request_path::on_loan_refused(const backend_outcome& outcome) {
    active_request& r = *active_;
    r.lender = outcome.lender;
    r.may_have_run = false;
    if (pinned_->in_transaction()) {
        on_connection_lost(true); // with the loan the transaction is gone
        return;
    }
    const bool unreachable = outcome.refused == result_code::connection_lost;
    if (unreachable) {
        owner_.cluster.note_request_ended(r.server, false, duration{0});
    } else {
        owner_.cluster.note_request_left(r.server);
    }
    give_back(false);
    r.serial = next_serial_++;
    if (!r.on_primary && ++r.attempts < r.what.max_attempts) {
        r.avoid.push_back(r.server);
        route();
        return;
    }
    if (unreachable && r.on_primary && now() < give_up_at()) {
        r.step = request_step::routed; // nobody reaches it: there may be a new primary soon
        r.last_refusal = result_code::no_primary;
        wait_for_news(now() + look_again_after);
        return;
    }
    lost_transaction_ = !r.what.begin.empty(); // it never began
    finish_with_error(outcome.refused, run_state::not_run, std::max(outcome.retry_after, lost_server_pause));
}

void request_path::run_settings() {
    if (pinned_->connection->applied_settings == settings_text) {
        run_begin();
        return;
    }
    run_plain("reset all;" + settings_text, request_step::settings, [this](const backend_outcome& outcome) {
        if (outcome.failed) {
            pinned_->connection->applied_settings = "?"; // another reset comes first
            finish_with_server_error(outcome);
            return;
        }
        pinned_->connection->applied_settings = settings_text;
        run_begin();
    });
}

//-----------------------------------------------------------------------------
// [ending]
//-----------------------------------------------------------------------------

void request_path::finish_success() {
    if (active_->position > 0 && !active_->is_mark_stored) {
        store_mark();
        return;
    }
    active_request& r = *active_;
    const time_point at = now();
    if (r.on_primary && !term_still_holds() && !(pinned_ && pinned_->in_transaction())) {
        drop_connection();
        // A read of a replaced primary may miss others' writes; a write on it may be lost.
        finish_with_error(result_code::term_changed, r.was_write ? run_state::unknown : run_state::not_run);
        return;
    }
    if (!r.was_write || r.what.kind == statement_kind::begin_read_only) {
        record_read(state, r.server, at);
    }
    if (r.what.may_use_replica) {
        owner_.counts.note_read(metric(), r.on_primary ? request_target::primary : request_target::replica,
                                at - r.started_at);
    } else {
        owner_.counts.note_write(metric(), at - r.started_at);
    }
    owner_.cluster.note_request_ended(r.server, true, at - r.used_from);
    request_result result;
    result.end = request_end::success;
    result.run = run_state::ran;
    result.bytes = std::move(r.held);
    release_if_done();
    report(std::move(result));
}

void request_path::finish_with_server_error(const backend_outcome& outcome) {
    active_request& r = *active_;
    if (outcome.refusal == server_refusal::none) {
        owner_.cluster.note_request_ended(r.server, true, now() - r.used_from);
    } else {
        owner_.cluster.note_request_left(r.server);
    }
    request_result result;
    result.end = request_end::server_error;
    result.bytes = outcome.error_message;
    result.error_code = outcome.error_code;
    result.run = outcome.refusal == server_refusal::none ? run_state::unknown : run_state::not_run;
    release_if_done();
    report(std::move(result));
}

void request_path::finish_with_error(result_code code, run_state run, duration retry_after) {
    owner_.counts.note_refusal(metric(), code);
    release_if_done();
    request_result result;
    result.end = request_end::refused;
    result.code = code;
    result.run = run;
    result.retry_after = retry_after;
    report(std::move(result));
}

void request_path::report(request_result result) {
    result.transaction_lost = lost_transaction_;
    lost_transaction_ = false;
    if (state.positions.written) {
        const auto group = owner_.cluster.cluster().groups.find(state.group);
        const std::uint64_t timeline =
            group == owner_.cluster.cluster().groups.end() ? 0 : group->second.timeline;
        result.position = log_mark{.timeline = timeline, .position = state.positions.written->position};
    }
    log_end(result);
    end_count();
    active_.reset();
    ++timer_serial_;
    front_.finished(result);
}

// A request that was not served in time is a warning: of each severity only so many lines are written in a
// second, and those that were served well must not crowd out the others.
void request_path::log_end(const request_result& result) const {
    const active_request& r = *active_;
    const time_point at = now();
    const duration took = at - r.started_at;
    const duration waited = (r.first_sent_at == time_point{} ? at : r.first_sent_at) - r.started_at;
    const bool late = r.what.patience > duration{0} && took > r.what.patience;
    const bool well = result.end == request_end::success && !late;
    log_event(well ? severity::info : severity::warning, "request_ended",
              {{"request", r.what.request.id},
               {"session", static_cast<std::uint64_t>(number_)},
               {"group", state.group.value},
               {"workspace", state.workspace.value},
               {"class", to_string(state.settings.klass)},
               {"step", to_string(r.step)},
               {"objective_us", to_us(r.what.patience)},
               {"waited_us", to_us(waited)},
               {"server_us", to_us(r.at_server)},
               {"server", r.server.value},
               {"on_primary", r.on_primary},
               {"term", r.term},
               {"lender", r.lender},
               {"expected_us", to_us(r.expected)},
               {"load_age_us", to_us(r.load_age)},
               {"floor", r.floor ? r.floor->position : 0},
               {"attempts", static_cast<std::uint64_t>(r.attempts)},
               {"end", to_string(result.end)},
               {"code", static_cast<std::uint64_t>(result.code)},
               {"server_error", result.error_code},
               {"run", to_string(result.run)},
               {"retry_after_us", to_us(result.retry_after)},
               {"lease", owner_.cluster.has_lease()},
               {"took_us", to_us(took)}});
}

void request_path::release_if_done() {
    if (!pinned_ || pinned_->in_transaction()) {
        return;
    }
    give_back(true);
}

void request_path::drop_connection() {
    if (pinned_) {
        give_back(false);
    }
}

void request_path::give_back(bool reusable) {
    const pinned_connection held = *pinned_;
    pinned_.reset();
    if (!held.connection->is_lent) {
        held.connection->resume();
        owner_.pools.release(held.key, held.number, reusable, now() - held.since);
    } else if (!reusable) {
        held.connection->close();
    }
}

void request_path::drop_transaction() {
    if (!active_) {
        drop_connection();
    }
}

void request_path::pause() {
    if (pinned_) {
        pinned_->connection->pause();
    }
}

void request_path::resume() {
    if (pinned_) {
        pinned_->connection->resume();
    }
}

// What did not run is not counted against the workspace.
void request_path::end_count() {
    if (active_->counted) {
        owner_.limits.end(state.workspace, active_->may_have_run);
    }
}

void request_path::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    if (active_) {
        end_count();
    }
    if (active_ && active_->step == request_step::queued) {
        leave_queue();
    } else if (active_ && pinned_) {
        owner_.cluster.note_request_left(active_->server);
    }
    active_.reset();
    drop_connection();
    front_ = {};
}

//-----------------------------------------------------------------------------
// [failing]
//-----------------------------------------------------------------------------

// What is true of the request if nothing more is heard of it.
run_state request_path::outcome_if_lost() const {
    const active_request& r = *active_;
    switch (r.step) {
    case request_step::commit:
    case request_step::position:
    case request_step::storing: return run_state::unknown;
    case request_step::safety: return run_state::ran;
    case request_step::statement: break;
    default: return run_state::not_run;
    }
    if (!r.on_primary || r.what.surely_reads || r.what.request.shape == request_shape::describe) {
        return run_state::not_run;
    }
    const bool never_commits = !r.what.idempotency_key.empty() || r.what.kind == statement_kind::begin ||
                               r.what.kind == statement_kind::begin_read_only ||
                               r.what.kind == statement_kind::rollback;
    const bool inside =
        pinned_ && pinned_->in_transaction() && r.what.kind != statement_kind::commit && r.what.one_statement;
    return never_commits || inside ? run_state::not_run : run_state::unknown;
}

bool request_path::loses_transaction() const {
    return pinned_ && pinned_->in_transaction() && active_->what.kind != statement_kind::commit &&
           active_->what.kind != statement_kind::rollback;
}

// Nothing is lost by asking once more: the statement was not sent yet, or it only reads, by itself, and the
// caller has got nothing of its answer.
bool request_path::is_repeatable() const {
    const active_request& r = *active_;
    const bool unsent = r.step == request_step::settings || r.step == request_step::begin;
    const bool only_reads = r.what.surely_reads || (r.what.may_use_replica && !r.on_primary);
    const bool alone = !pinned_->in_transaction() && r.what.begin.empty();
    return unsent || (only_reads && alone && !r.forwarded && r.step == request_step::statement);
}

bool request_path::may_retry() {
    active_request& r = *active_;
    return is_repeatable() && ++r.attempts < r.what.max_attempts && now() < r.deadline &&
           try_take_retry(owner_.cluster.budget(state.group));
}

// `blames_server`: it is the server that failed, and not the way over another instance.
void request_path::on_connection_lost(bool blames_server) {
    active_request& r = *active_;
    if (blames_server) {
        owner_.cluster.note_request_ended(r.server, false, now() - r.used_from);
    } else {
        owner_.cluster.note_request_left(r.server);
    }
    if (blames_server && pinned_ && !pinned_->connection->is_lent) {
        owner_.loans.loads().note_ended(pinned_->key, r.sent_at, {});
    }
    lost_transaction_ = loses_transaction();
    const bool retry = may_retry();
    const run_state run = outcome_if_lost();
    drop_connection();
    if (retry) {
        lost_transaction_ = false;
        owner_.counts.note_retry(metric());
        log_event(severity::info, "request_retried",
                  {{"request", r.what.request.id}, {"server", r.server.value}, {"why", "connection lost"}});
        if (r.may_have_run && r.counted) {
            owner_.limits.charge_again(state.workspace);
        }
        r.avoid.push_back(r.server);
        r.serial = next_serial_++;
        r.held.clear();
        route();
        return;
    }
    finish_with_error(result_code::connection_lost, run,
                      run == run_state::not_run ? come_back_after : duration{0});
}

void request_path::arm_timer(time_point at) {
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

void request_path::on_deadline() {
    active_request& r = *active_;
    if (r.step == request_step::limited) {
        finish_with_error(result_code::no_lease, run_state::not_run, come_back_after);
        return;
    }
    if (r.step == request_step::routed) {
        finish_with_error(r.what.may_use_replica ? result_code::deadline_passed : r.last_refusal,
                          run_state::not_run, come_back_after);
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
    if (r.step == request_step::storing) {
        finish_with_error(result_code::not_safe_yet, run_state::unknown);
        return;
    }
    const run_state run = outcome_if_lost();
    lost_transaction_ = loses_transaction();
    owner_.cluster.note_request_ended(r.server, false, now() - r.used_from);
    r.serial = next_serial_++; // a late answer reaches nobody
    if (pinned_) {
        pinned_->connection->cancel_running();
    }
    drop_connection();
    finish_with_error(result_code::deadline_passed, run,
                      run == run_state::not_run ? come_back_after : duration{0});
}

void request_path::cancel() {
    if (!active_) {
        return;
    }
    if (active_->step == request_step::statement && pinned_) {
        pinned_->connection->cancel_running();
    } else if (active_->step == request_step::limited || active_->step == request_step::routed ||
               active_->step == request_step::queued) {
        active_->deadline = now();
        on_deadline();
    }
}

} // namespace larchpin
