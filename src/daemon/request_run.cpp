// What a request does on its connection: see request_path.hpp.
//
// Index
//   [running]  [after a write]
#include "daemon/entry.hpp"
#include "daemon/request_path.hpp"
#include "io/backend_sql.hpp"
#include "io/clock.hpp"
#include "io/log.hpp"

#include <algorithm>

namespace larchpin {

namespace {

constexpr duration safety_look_interval = std::chrono::milliseconds{20};
// Ten times a usual read (18 to 30 ms): a crowded server answers within that.
constexpr duration least_answer_time = std::chrono::milliseconds{200};
// A server that takes long over everything is crowded, and asking twice would make that worse.
constexpr int usual_answers_waited = 3;
constexpr duration come_back_after = std::chrono::milliseconds{500};

std::string_view to_string(server_refusal refusal) {
    switch (refusal) {
    case server_refusal::read_only: return "read only";
    case server_refusal::behind: return "behind the floor";
    case server_refusal::busy: return "busy";
    case server_refusal::no_statement: return "no such prepared statement";
    case server_refusal::none: break;
    }
    return "none";
}

} // namespace

//-----------------------------------------------------------------------------
// [running]
//-----------------------------------------------------------------------------

// Puts the session's context in front of the request, and remembers what the connection holds afterwards.
void request_path::run_on_server(backend_request request, backend_sink sink) {
    const auto connection = pinned_->connection;
    if (owner_.driver.servers_enforce_floor) {
        request.session_values = values;
        request.session_statement = active_->what.prepared;
        if (!connection->is_lent) {
            prepare_context(*connection, request);
        }
    }
    active_->sent_at = now();
    if (active_->first_sent_at == time_point{}) {
        active_->first_sent_at = active_->sent_at;
    }
    if (!connection->is_lent) {
        owner_.cluster.note_asked(active_->server);
        owner_.pools.note_statement_begun(pinned_->key, pinned_->number);
    }
    connection->run(request, std::move(sink));
}

// Takes up what an answer says beside its result.
void request_path::note_answer(const backend_outcome& outcome) {
    active_->lender = outcome.lender;
    active_->at_server = now() - active_->sent_at;
    if (!pinned_->connection->is_lent) {
        owner_.cluster.note_answered(active_->server);
    }
    if (outcome.position) {
        owner_.cluster.note_position(active_->server, active_->sent_at, *outcome.position);
    }
    note_context(*pinned_->connection, outcome);
    if (!pinned_->connection->is_lent) {
        owner_.loans.loads().note_ended(pinned_->key, active_->sent_at, outcome);
        owner_.pools.note_statement_ended(pinned_->key, pinned_->number,
                                          {.took = now() - active_->sent_at,
                                           .klass = state.settings.klass,
                                           .overloaded = outcome.refusal == server_refusal::busy,
                                           .in_transaction = outcome.transaction != 'I'});
    }
}

// Runs a statement of larchpin's own; `next` is called where it was answered.
void request_path::run_plain(const std::string& text, request_step step,
                             const std::function<void(const backend_outcome&)>& next) {
    active_->step = step;
    backend_request request;
    request.text = text;
    if (step == request_step::begin) {
        request.floor = active_->floor;
        watch_answer();
    }
    backend_sink sink;
    sink.keep_first_row = true;
    sink.hold_errors = true;
    const std::uint64_t serial = active_->serial;
    sink.on_done = [self = shared_from_this(), serial, next](const backend_outcome& outcome) {
        if (!self->active_ || self->active_->serial != serial || self->closed_) {
            return;
        }
        if (outcome.refused != result_code::ok) {
            self->on_loan_refused(outcome);
            return;
        }
        if (!outcome.answered) {
            self->on_connection_lost(!outcome.lender_silent);
            return;
        }
        self->note_answer(outcome);
        next(outcome);
    };
    run_on_server(std::move(request), std::move(sink));
}

// A request with an idempotency key that is no transaction of its own gets one, and so does the first
// statement of a transaction that the front has opened in name only.
void request_path::run_begin() {
    const caller_request& what = active_->what;
    const bool for_key = !what.idempotency_key.empty() && what.kind != statement_kind::begin;
    if (!for_key && what.begin.empty()) {
        run_statement();
        return;
    }
    const std::string text = what.begin.empty() ? std::string("begin") : what.begin;
    run_plain(text, request_step::begin, [this](const backend_outcome& outcome) {
        if (outcome.failed) {
            if (!try_elsewhere(outcome)) {
                lost_transaction_ = true; // it never began
                finish_with_server_error(outcome);
            }
            return;
        }
        if (active_->what.idempotency_key.empty()) {
            pinned_->transaction = outcome.transaction;
            run_statement();
        } else {
            run_claim();
        }
    });
}

// Writes the key's row: whoever comes second waits for the first one's end, and is then told.
void request_path::run_claim() {
    active_request& r = *active_;
    r.step = request_step::claim;
    backend_request request;
    request.shape = request_shape::extended;
    request.text = claim_key_sql;
    request.values = {r.what.idempotency_key, std::string{}};
    request.formats = {0, 0};
    backend_sink sink;
    sink.hold_errors = true;
    const std::uint64_t serial = r.serial;
    sink.on_done = [self = shared_from_this(), serial](const backend_outcome& outcome) {
        if (!self->active_ || self->active_->serial != serial || self->closed_) {
            return;
        }
        if (!outcome.answered) {
            self->on_connection_lost(!outcome.lender_silent);
            return;
        }
        if (!outcome.failed) {
            if (self->active_->what.kind == statement_kind::begin) {
                self->finish_success();
            } else {
                self->run_statement();
            }
            return;
        }
        self->drop_connection(); // rolls back
        if (outcome.error_code == sqlstate_unique_violation) {
            self->finish_with_error(result_code::duplicate_request, run_state::ran);
        } else {
            self->finish_with_server_error(outcome);
        }
    };
    run_on_server(std::move(request), std::move(sink));
}

void request_path::run_statement() {
    active_request& r = *active_;
    r.step = request_step::statement;
    r.may_have_run = true;
    r.was_write = r.on_primary && !r.what.surely_reads && !r.what.looks_like_read;
    r.commit = owner_.cluster.find_commit_start(state.group);
    backend_sink sink;
    sink.hold_errors = true;
    const std::uint64_t serial = r.serial;
    // Inside a transaction nothing acknowledges a write but its commit.
    const bool holds =
        r.what.kind == statement_kind::begin ||
        (r.on_primary && (!pinned_->in_transaction() || r.what.kind == statement_kind::commit ||
                          r.what.request.shape == request_shape::simple));
    sink.on_bytes = [self = shared_from_this(), serial, holds](std::string_view bytes) {
        if (self->active_ && self->active_->serial == serial && !self->closed_) {
            self->take_bytes(bytes, holds);
        }
    };
    sink.on_done = [self = shared_from_this(), serial](const backend_outcome& outcome) {
        if (self->active_ && self->active_->serial == serial && !self->closed_) {
            self->on_statement_done(outcome);
        }
    };
    backend_request request = r.what.request;
    if (!pinned_->in_transaction()) {
        request.floor = r.floor;
        watch_answer();
    }
    run_on_server(std::move(request), std::move(sink));
}

// What has a patience and is repeatable is not left to a server that keeps silent for half of it.
void request_path::watch_answer() {
    active_request& r = *active_;
    if (!is_repeatable() || r.what.patience <= duration{0}) {
        return;
    }
    const duration usual = owner_.cluster.usual_latency(r.server);
    r.answer_by = now() + std::max({r.what.patience / 2, least_answer_time, usual * usual_answers_waited});
    arm_timer(std::min(r.answer_by, r.deadline));
}

void request_path::take_bytes(std::string_view bytes, bool holds_acknowledgement) {
    active_request& r = *active_;
    std::string text(bytes);
    const std::size_t split = front_.split(text, holds_acknowledgement, !r.held.empty());
    if (split > 0) {
        r.forwarded = true;
        front_.forward(std::string_view(text).substr(0, split));
    }
    r.held.append(text.substr(split));
}

// The server's word that the request did not run. True where it is on its way again.
bool request_path::try_elsewhere(const backend_outcome& outcome) {
    active_request& r = *active_;
    const bool nothing_sent = !r.forwarded && (!pinned_->in_transaction() || r.step == request_step::begin);
    if (outcome.refusal == server_refusal::none || !nothing_sent) {
        return false;
    }
    if (outcome.refusal == server_refusal::no_statement) {
        if (r.reprepared) {
            return false;
        }
        r.reprepared = true;
        r.held.clear();
        run_statement();
        return true;
    }
    const bool to_primary = outcome.refusal == server_refusal::read_only && !r.on_primary;
    const bool to_another = outcome.refusal != server_refusal::read_only && !r.on_primary;
    // A crowded primary may take it a little later, from our own queue.
    const bool again =
        outcome.refusal == server_refusal::busy && r.on_primary && r.what.patience > duration{0};
    const bool elsewhere = r.what.may_use_replica && (to_primary || to_another);
    if (!(elsewhere || again) || now() >= give_up_at() || ++r.attempts >= r.what.max_attempts) {
        return false;
    }
    owner_.counts.note_retry(metric());
    log_event(severity::info, "request_retried",
              {{"request", r.what.request.id},
               {"server", r.server.value},
               {"why", to_string(outcome.refusal)},
               {"floor", r.floor ? r.floor->position : 0},
               {"server_position", outcome.position ? outcome.position->position : 0}});
    if (outcome.refusal == server_refusal::busy) {
        owner_.cluster.note_request_ended(r.server, false, now() - r.used_from);
    } else {
        owner_.cluster.note_request_left(r.server);
    }
    release_if_done();
    if (elsewhere) {
        r.avoid.push_back(r.server);
    }
    r.serial = next_serial_++;
    r.held.clear();
    if (to_primary) {
        r.what.may_use_replica = false;
    }
    route();
    return true;
}

void request_path::on_statement_done(const backend_outcome& outcome) {
    active_request& r = *active_;
    if (outcome.refused != result_code::ok) {
        on_loan_refused(outcome);
        return;
    }
    if (!outcome.answered) {
        on_connection_lost(!outcome.lender_silent);
        return;
    }
    note_answer(outcome);
    r.may_have_run = outcome.refusal == server_refusal::none;
    if (outcome.failed && try_elsewhere(outcome)) {
        return;
    }
    pinned_->transaction = outcome.transaction;
    if (outcome.failed) {
        if (!r.what.idempotency_key.empty()) {
            drop_connection(); // rolls the key's row back with it
        }
        finish_with_server_error(outcome);
        return;
    }
    const bool wrote = r.on_primary && !pinned_->in_transaction() &&
                       r.what.request.shape != request_shape::describe && r.was_write;
    if (!r.what.idempotency_key.empty() && r.what.kind == statement_kind::begin) {
        run_claim();
    } else if (!r.what.idempotency_key.empty()) {
        run_commit();
    } else if (wrote && outcome.position) {
        r.position = outcome.position->position;
        record_write(state, r.term, r.position);
        finish_success();
    } else if (wrote) {
        run_position();
    } else {
        finish_success();
    }
}

void request_path::run_commit() {
    if (!term_still_holds()) {
        drop_connection();
        finish_with_error(result_code::term_changed, run_state::not_run, come_back_after);
        return;
    }
    active_->commit = owner_.cluster.find_commit_start(state.group);
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
void request_path::run_position() {
    run_plain(owner_.driver.role_probe.text, request_step::position, [this](const backend_outcome& outcome) {
        active_request& r = *active_;
        const auto probed = owner_.driver.read_role(outcome);
        const auto group = owner_.cluster.cluster().groups.find(state.group);
        const bool true_primary =
            probed && probed->is_primary && term_still_holds() && group->second.timeline == probed->timeline;
        if (!true_primary) {
            drop_connection();
            finish_with_error(result_code::term_changed, run_state::unknown);
            return;
        }
        r.position = probed->position;
        record_write(state, r.term, r.position);
        if (service.write_safety) {
            wait_for_safety();
        } else {
            finish_success();
        }
    });
}

// Waits until a replica in another failure domain than the primary's holds the write.
void request_path::wait_for_safety() {
    active_request& r = *active_;
    r.step = request_step::safety;
    const cluster_state& cluster = owner_.cluster.cluster();
    if (!term_still_holds()) {
        drop_connection();
        finish_with_error(result_code::term_changed, run_state::unknown);
        return;
    }
    const group_view view = owner_.cluster.view(state.group, state.service);
    const auto primary = cluster.servers.find(r.server);
    for (const server_record& server : servers_of(cluster, state.group)) {
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

// Until others know of the commit, a failover after the end of this instance may choose a log without it.
void request_path::store_mark() {
    active_request& r = *active_;
    r.step = request_step::storing;
    r.is_mark_stored = true;
    const std::uint64_t serial = r.serial;
    owner_.cluster.note_acknowledged(
        state.group, r.term, r.commit, r.position, [self = shared_from_this(), serial](bool stored) {
            if (!self->active_ || self->active_->serial != serial || self->closed_) {
                return;
            }
            if (stored) {
                self->finish_success();
            } else {
                self->finish_with_error(result_code::term_changed, run_state::unknown);
            }
        });
    if (active_ && active_->serial == serial) {
        owner_.note_waiting(number_); // the term may end meanwhile
    }
}

bool request_path::term_still_holds() const {
    if (!owner_.cluster.has_lease()) {
        return false;
    }
    const auto group = owner_.cluster.cluster().groups.find(state.group);
    return group != owner_.cluster.cluster().groups.end() && group->second.phase == group_phase::serving &&
           group->second.term == active_->term && group->second.primary == active_->server;
}

} // namespace larchpin
