#include "daemon/rate_limiter.hpp"

#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{5};
// Holdings that run low are looked for so often: a tenth of a second's demand is within what they hold.
constexpr duration look_interval = std::chrono::milliseconds{100};
constexpr duration late_answer = std::chrono::milliseconds{100}; // many round trips
// A grant is counted from the sending of its request; one that comes later leaves too little time to use it.
constexpr duration answer_timeout = grant_lifetime / 2;
constexpr duration min_ask_pause = std::chrono::milliseconds{20};  // after a request without a usable answer
constexpr duration max_ask_pause = std::chrono::milliseconds{160}; // half of an election
// Callers beyond their limit come back spread over so long: together they would meet the same empty bucket.
constexpr duration come_back_spread = std::chrono::seconds{1};
constexpr duration without_control_pause = std::chrono::milliseconds{300}; // an election, as set

// What the refusals of the next moment go by; each request's own line names the workspace.
void log_refusal(const rate_grant& g, const rate_holding& h, std::size_t waiting, duration asked_ago) {
    log_event(
        severity::info, "rate_limit_reached",
        {{"workspace", g.workspace.value},
         {"rate", static_cast<std::uint64_t>(h.rate)},
         {"burst", static_cast<std::uint64_t>(h.burst)},
         {"granted", static_cast<std::uint64_t>(g.operations)},
         {"refused", static_cast<std::uint64_t>(waiting)},
         {"retry_after_us", std::chrono::duration_cast<std::chrono::microseconds>(g.retry_after).count()},
         {"asked_us_ago", std::chrono::duration_cast<std::chrono::microseconds>(asked_ago).count()}});
}

} // namespace

rate_limiter::rate_limiter(asio::io_context& io, const settings& config, const shared_keys& keys,
                           agent& cluster)
    : io_(io), config_(config), cluster_(cluster), timer_(io),
      clients_(io, keys, control_silence(config.lease)),
      random_(std::random_device{}()), backoff_{.min_pause = min_ask_pause, .max_pause = max_ask_pause} {
    cluster_.on_leader = [this] {
        follow_leader(cluster_.leader_term());
        ask_new_leader();
    };
    on_tick();
}

void rate_limiter::admit(const workspace_id& workspace, time_point until, rate_callback done) {
    const workspace_entry* entry = find_workspace(cluster_.cluster().current_table, workspace);
    if (entry == nullptr || entry->rate == 0) {
        done({});
        return;
    }
    limited_workspace& w = workspaces_[workspace];
    apply_limit(w.holding, *entry);
    const time_point at = now();
    if (w.waiting.empty() && take_operation(w.holding, at)) {
        done({});
        return;
    }
    if (at < w.holding.refused_until) {
        done({.code = result_code::rate_limited, .retry_after = spread(w.holding.refused_until - at)});
        return;
    }
    w.waiting.push_back({.until = until, .done = std::move(done)});
    if (!asking_ && !ask_posted_) {
        ask_posted_ = true;
        asio::post(io_, [this] {
            ask_posted_ = false;
            ask();
        });
    }
}

void rate_limiter::end(const workspace_id& workspace, bool may_have_run) {
    const auto found = workspaces_.find(workspace);
    if (found != workspaces_.end()) {
        end_operation(found->second.holding, may_have_run, now());
    }
}

void rate_limiter::charge_again(const workspace_id& workspace) {
    const auto found = workspaces_.find(workspace);
    if (found != workspaces_.end()) {
        add_debt(found->second.holding);
    }
}

duration rate_limiter::spread(duration earliest) {
    std::uniform_int_distribution<duration::rep> more(0, come_back_spread.count());
    return earliest + duration{more(random_)};
}

void rate_limiter::ask() {
    const time_point at = now();
    if (asking_ || at < next_ask_) {
        return;
    }
    rate_request request{
        .instance = config_.id, .incarnation = cluster_.incarnation(), .seq = seq_ + 1, .claims = {}};
    std::vector<workspace_id> asked;
    for (auto& [id, w] : workspaces_) {
        if (const auto claim = make_claim(w.holding, id, static_cast<unsigned>(w.waiting.size()), at)) {
            request.claims.push_back(*claim);
            asked.push_back(id);
        }
    }
    if (asked.empty()) {
        return;
    }
    ++seq_;
    asking_ = true;
    wire::rate_request m;
    to_wire(request, m);
    clients_.to(cluster_.leader())
        .post("/v1/rates", m.SerializeAsString(),
              http_wait{.timeout = answer_timeout, .late_after = late_answer},
              [this, at, asked, seq = seq_](const http_outcome& o) {
                  if (seq == seq_) {
                      on_answer(o, at, asked);
                  }
              });
}

// The open request may be at a leader that will never answer it.
void rate_limiter::ask_new_leader() {
    asking_ = false;
    next_ask_ = {};
    record_success(backoff_);
    ask();
}

void rate_limiter::on_answer(const http_outcome& o, time_point sent, const std::vector<workspace_id>& asked) {
    asking_ = false;
    if (!take_grants(o, sent, asked)) {
        log_unanswered(o, now() - sent);
        next_ask_ = now() + record_failure(backoff_, random_);
        return;
    }
    record_success(backoff_);
    for (const auto& [id, w] : workspaces_) {
        if (!w.waiting.empty()) {
            ask(); // came while control was asked
            return;
        }
    }
}

// Returns whether the outcome holds grants of the leader that this daemon follows.
bool rate_limiter::take_grants(const http_outcome& o, time_point sent,
                               const std::vector<workspace_id>& asked) {
    wire::rate_reply m;
    const bool answered = o.answered && o.status == 200 && m.ParseFromString(o.body) && m.code() == 0;
    if (!answered) {
        return false;
    }
    follow_leader(m.leader_term());
    const std::vector<rate_grant> grants = from_wire(m);
    if (grants.size() != asked.size() || m.leader_term() < leader_term_) {
        return false;
    }
    for (const rate_grant& g : grants) {
        const auto found = workspaces_.find(g.workspace);
        if (found == workspaces_.end()) {
            continue;
        }
        apply_grant(found->second.holding, g, sent);
        serve(found->second);
        if (g.retry_after > duration{0}) {
            log_refusal(g, found->second.holding, found->second.waiting.size(), now() - sent);
            refuse_waiting(found->second);
        }
    }
    return true;
}

// Operations that wait for a grant end with no_lease although this instance holds its lease, so the log must
// tell that control did not answer.
void rate_limiter::log_unanswered(const http_outcome& o, duration waited) const {
    std::uint64_t waiting = 0;
    for (const auto& [id, w] : workspaces_) {
        waiting += w.waiting.size();
    }
    log_event(severity::warning, "rate_request_unanswered",
              {{"to", cluster_.leader()},
               {"answered", o.answered},
               {"waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count()},
               {"waiting", waiting}});
}

// What an earlier leader gave out counts no more once this daemon tells the new one that it goes by its word.
void rate_limiter::follow_leader(std::uint64_t term) {
    if (term <= leader_term_) {
        return;
    }
    leader_term_ = term;
    for (auto& [id, w] : workspaces_) {
        drop_held(w.holding);
    }
}

void rate_limiter::serve(limited_workspace& w) {
    while (!w.waiting.empty() && w.holding.held > 0 && take_operation(w.holding, now())) {
        const rate_callback done = std::move(w.waiting.front().done);
        w.waiting.pop_front();
        done({});
    }
}

// Control has no more for now: whoever waits learns it at once.
void rate_limiter::refuse_waiting(limited_workspace& w) {
    const duration earliest = std::max(w.holding.refused_until - now(), duration{0});
    const auto waiting = std::exchange(w.waiting, {});
    for (const waiting_operation& o : waiting) {
        o.done({.code = result_code::rate_limited, .retry_after = spread(earliest)});
    }
}

void rate_limiter::refuse_overdue() {
    const time_point at = now();
    for (auto& [id, w] : workspaces_) {
        while (!w.waiting.empty() && w.waiting.front().until <= at) {
            const rate_callback done = std::move(w.waiting.front().done);
            w.waiting.pop_front();
            done({.code = result_code::no_lease, .retry_after = without_control_pause});
        }
    }
}

void rate_limiter::on_tick() {
    refuse_overdue();
    const bool any_waits = std::any_of(workspaces_.begin(), workspaces_.end(),
                                       [](const auto& w) { return !w.second.waiting.empty(); });
    if (any_waits || now() >= next_look_) {
        next_look_ = now() + look_interval;
        ask();
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            on_tick();
        }
    });
}

} // namespace larchpin
