#include "daemon/pools.hpp"

#include "io/clock.hpp"
#include "io/log.hpp"

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{5};
constexpr duration idle_pool_time = std::chrono::seconds{30}; // afterwards it claims nothing

std::int64_t to_us(duration d) {
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

// What the pool went by when it refused; its request's own line tells the rest.
void log_refusal(const share_key& key, const pool_state& p, const refuse_request& refusal) {
    log_event(severity::info, "queue_refusal",
              {{"server", key.server.value},
               {"code", static_cast<std::uint64_t>(refusal.code)},
               {"expected_wait_us", to_us(refusal.retry_after)},
               {"share", static_cast<std::uint64_t>(p.share)},
               {"open", static_cast<std::uint64_t>(open_count(p))},
               {"busy", static_cast<std::uint64_t>(p.busy.size())},
               {"resting", static_cast<std::uint64_t>(p.idle_in_transaction.size())},
               {"waiting", static_cast<std::uint64_t>(waiting_count(p))},
               {"running_at_most", static_cast<std::uint64_t>(p.limit.aimd_limit)},
               {"usual_answer_us", to_us(p.limit.smoothed_response_time)},
               {"usual_hold_us", to_us(p.service_time)}});
}

} // namespace

bool has_gone_back(const std::optional<log_mark>& told, const std::optional<log_mark>& least) {
    if (!least) {
        return false;
    }
    const log_mark mark = told.value_or(log_mark{});
    return mark.position < least->position || (told && mark.timeline < least->timeline);
}

void log_gone_back(const server_id& server, const std::optional<log_mark>& told, const log_mark& least) {
    const log_mark mark = told.value_or(log_mark{});
    log_event(severity::warning, "server_log_went_back",
              {{"server", server.value},
               {"timeline", mark.timeline},
               {"position", mark.position},
               {"known_timeline", least.timeline},
               {"known_position", least.position}});
}

backend_pools::backend_pools(asio::io_context& io, const backend_driver& driver)
    : io_(io), driver_(driver), timer_(io) {
    on_tick();
}

backend_pools::pool& backend_pools::find_or_make(const share_key& key) {
    return pools_[key];
}

request_number backend_pools::request(const share_key& key, const server_record& server,
                                      unsigned background_share, queued_request waiter, pool_callback done) {
    pool& p = find_or_make(key);
    p.server = server;
    p.used_at = now();
    p.state.background_share = background_share;
    const request_number number = next_request_++;
    p.requests[number] = waiting_request{.done = std::move(done)};
    pool_actions actions;
    waiter.request = number;
    count_elsewhere(key, p, false);
    request_connection(p.state, waiter, now(), next_connection_, actions);
    carry_out(key, actions);
    if (on_short_of_share && waiting_count(p.state) > 0 && open_count(p.state) >= p.state.share) {
        on_short_of_share();
    }
    return number;
}

void backend_pools::cancel(const share_key& key, request_number request) {
    const auto found = pools_.find(key);
    if (found == pools_.end()) {
        return;
    }
    found->second.requests.erase(request);
    cancel_request(found->second.state, request);
}

void backend_pools::release(const share_key& key, connection_number number, bool reusable,
                            duration used_for) {
    const auto found = pools_.find(key);
    if (found == pools_.end()) {
        return;
    }
    const auto connection = found->second.connections.find(number);
    const bool usable = reusable && connection != found->second.connections.end() &&
                        connection->second->is_open() && !connection->second->is_running();
    pool_actions actions;
    count_elsewhere(key, found->second, true);
    release_connection(found->second.state, number, usable, used_for, now(), next_connection_, actions);
    carry_out(key, actions);
    settle_others(key.server);
}

void backend_pools::note_statement_ended(const share_key& key, connection_number number,
                                         const statement_end& end) {
    const auto found = pools_.find(key);
    if (found == pools_.end()) {
        return;
    }
    running_limit& limit = found->second.state.limit;
    const unsigned before = limit.aimd_limit;
    pool_actions actions;
    count_elsewhere(key, found->second, true);
    statement_ended(found->second.state, number, end, now(), next_connection_, actions);
    if (limit.aimd_limit != before && (before == 0 || limit.aimd_limit == 0)) {
        log_event(severity::info, limit.aimd_limit > 0 ? "server_crowded" : "server_no_longer_crowded",
                  {{"server", key.server.value},
                   {"running_at_most", static_cast<std::uint64_t>(limit.aimd_limit)}});
    }
    carry_out(key, actions);
    settle_others(key.server);
}

void backend_pools::note_statement_begun(const share_key& key, connection_number number) {
    const auto found = pools_.find(key);
    if (found != pools_.end()) {
        statement_started(found->second.state, number);
    }
}

void backend_pools::drop_connections(const server_id& server) {
    std::vector<std::shared_ptr<backend_connection>> open;
    for (auto& [key, p] : pools_) {
        if (key.server != server) {
            continue;
        }
        const unsigned permits = p.state.limit.permits;
        p.state.limit = {}; // learned of the process that is gone
        p.state.limit.permits = permits;
        for (const auto& [number, connection] : p.connections) {
            open.push_back(connection);
        }
    }
    for (const auto& connection : open) {
        connection->close(); // the pool learns of it as of any connection that ends
    }
}

// One daemon's pools of a server, one for each service, have its permits together. Where others have been
// served less recently and wait, they come before this one.
void backend_pools::count_elsewhere(const share_key& key, pool& p, bool let_others_first) {
    if (p.state.limit.permits == 0) {
        return;
    }
    unsigned elsewhere = 0;
    bool others_first = false;
    for (const auto& [other_key, other] : pools_) {
        if (other_key.server == key.server && other_key != key) {
            elsewhere += running_count(other.state) + static_cast<unsigned>(other.state.opening.size());
            others_first = others_first || (waiting_count(other.state) > 0 && other.served < p.served);
        }
    }
    p.state.limit.used_by_other_pools =
        elsewhere + (let_others_first && others_first ? p.state.limit.permits : 0);
}

// What one pool has left serves the others, those first that have waited longer for their turn.
void backend_pools::settle_others(const server_id& server) {
    std::vector<std::pair<std::uint64_t, share_key>> pools;
    for (const auto& [key, p] : pools_) {
        if (key.server == server && p.state.limit.permits > 0) {
            pools.emplace_back(p.served, key);
        }
    }
    if (pools.size() < 2) {
        return;
    }
    std::sort(pools.begin(), pools.end());
    for (const auto& [served, key] : pools) {
        pool& p = pools_[key];
        count_elsewhere(key, p, false);
        pool_actions actions;
        set_permits(p.state, p.state.limit.permits, p.state.limit.used_by_other_pools, now(),
                    next_connection_, actions);
        carry_out(key, actions);
    }
}

void backend_pools::set_order(const share_key& key, const pool_order& order) {
    pool& p = find_or_make(key);
    if (p.order == order) {
        return;
    }
    const bool changes_limit = p.order.permits != order.permits;
    p.order = order;
    if (!changes_limit) {
        return;
    }
    p.state.limit.permits = order.permits;
    count_elsewhere(key, p, false);
    pool_actions actions;
    set_permits(p.state, order.permits, p.state.limit.used_by_other_pools, now(), next_connection_, actions);
    carry_out(key, actions);
}

std::vector<order_report> backend_pools::order_reports() const {
    std::vector<order_report> reports;
    for (const auto& [key, p] : pools_) {
        if (!p.order.is_ordering) {
            continue;
        }
        order_report r{.key = key,
                       .permits = p.order.permits,
                       .running = running_count(p.state),
                       .waiting = {},
                       .use = p.state.usage};
        for (const queued_request& w : p.state.queue.waiting) {
            ++r.waiting.at(static_cast<std::size_t>(w.klass));
        }
        reports.push_back(r);
    }
    return reports;
}

void backend_pools::set_share(const share_key& key, unsigned share) {
    pool_actions actions;
    count_elsewhere(key, find_or_make(key), false);
    larchpin::set_share(find_or_make(key).state, share, now(), next_connection_, actions);
    carry_out(key, actions);
}

void backend_pools::revoke_share(const share_key& key, unsigned share) {
    pool_actions actions;
    larchpin::revoke_share(find_or_make(key).state, share, now(), next_connection_, actions);
    carry_out(key, actions);
}

std::vector<share_claim> backend_pools::claims() {
    std::vector<share_claim> all;
    for (auto& [key, p] : pools_) {
        const unsigned in_effect = std::max(p.state.share, open_count(p.state));
        const bool in_use = now() - p.used_at < idle_pool_time;
        const unsigned needed = in_use ? std::max(1U, take_peak_demand(p.state, now())) : 0;
        const unsigned at_most =
            p.order.claims_at_most > 0 ? std::min(needed, p.order.claims_at_most) : needed;
        const unsigned wanted = std::max(at_most, p.order.keeps_one ? 1U : 0U);
        if (in_effect > 0 || wanted > 0) {
            all.push_back({.key = key, .in_effect = in_effect, .wanted = wanted});
        }
    }
    return all;
}

std::map<share_key, unsigned> backend_pools::shares() const {
    std::map<share_key, unsigned> all;
    for (const auto& [key, p] : pools_) {
        all[key] = p.state.share;
    }
    return all;
}

bool backend_pools::may_serve(const share_key& key, bool may_grow) const {
    const auto found = pools_.find(key);
    return may_grow || (found != pools_.end() && found->second.state.share > 0);
}

server_usage backend_pools::use_of(const server_id& server) const {
    server_usage use;
    for (const auto& [key, p] : pools_) {
        if (key.server == server) {
            use.running += static_cast<unsigned>(p.state.busy.size() - p.state.idle_in_transaction.size());
            use.waiting += waiting_count(p.state);
            use.slots = std::max(use.slots, p.state.limit.permits);
        }
    }
    return use;
}

bool backend_pools::is_turned_away(const share_key& key) const {
    const auto found = pools_.find(key);
    return found != pools_.end() && larchpin::is_server_full(found->second.state);
}

void backend_pools::look_for_room(const share_key& key) {
    pool_actions actions;
    larchpin::try_open(find_or_make(key).state, now(), next_connection_, actions);
    carry_out(key, actions);
}

void backend_pools::carry_out(const share_key& key, const pool_actions& actions) {
    for (const pool_action& action : actions) {
        pool& p = pools_[key];
        if (const auto* opening = std::get_if<open_connection>(&action)) {
            open(key, *opening);
        } else if (const auto* closing = std::get_if<close_connection>(&action)) {
            const auto found = p.connections.find(closing->connection);
            if (found != p.connections.end()) {
                const auto connection = found->second;
                p.connections.erase(found);
                connection->close();
            }
        } else if (const auto* use = std::get_if<assign_connection>(&action)) {
            const auto request = p.requests.find(use->request);
            if (request == p.requests.end()) {
                release(key, use->connection, true, duration{0});
                continue;
            }
            const pool_callback done = std::move(request->second.done);
            p.requests.erase(request);
            p.served = ++hand_outs_;
            done({.connection = p.connections[use->connection], .number = use->connection});
        } else if (const auto* refuse = std::get_if<refuse_request>(&action)) {
            const auto request = p.requests.find(refuse->request);
            if (request == p.requests.end()) {
                continue;
            }
            ++counters_.refused;
            log_refusal(key, p.state, *refuse);
            const pool_callback done = std::move(request->second.done);
            p.requests.erase(request);
            done({.connection = nullptr,
                  .number = 0,
                  .code = refuse->code,
                  .retry_after = refuse->retry_after});
        }
    }
}

void backend_pools::open(const share_key& key, const open_connection& wanted) {
    pool& p = pools_[key];
    const connection_number number = wanted.connection;
    const auto connection = driver_.make_connection(p.server, key.service, wanted.workspace);
    p.connections[number] = connection;
    ++counters_.opened;
    if (on_opening) {
        on_opening(key.server);
    }
    // Marks that come while it opens may be newer than the one that it opens with.
    const std::optional<log_mark> least = least_mark ? least_mark(key.server) : std::nullopt;
    connection->connect([this, key, number, least, opening = connection.get()](connect_result opened) {
        const bool tells_position = driver_.servers_enforce_floor && opened == connect_result::connected;
        const bool went_back = tells_position && has_gone_back(opening->opened_at, least);
        if (went_back) {
            log_gone_back(key.server, opening->opened_at, *least);
            opening->close();
        }
        const connect_result result = went_back ? connect_result::failed : opened;
        if (on_opened && result != connect_result::failed) {
            on_opened(key.server);
        }
        pool& owner = pools_[key];
        pool_actions actions;
        count_elsewhere(key, owner, true);
        if (result == connect_result::connected) {
            connection_opened(owner.state, number, now(), next_connection_, actions);
        } else {
            ++counters_.open_failed;
            owner.connections.erase(number);
            if (result == connect_result::turned_away) {
                connection_limit_reached(owner.state, number, now(), next_connection_, actions);
            } else {
                connection_failed(owner.state, number, now(), next_connection_, actions);
            }
            if (on_open_failed && result == connect_result::failed) {
                on_open_failed(key.server);
            }
        }
        carry_out(key, actions);
        settle_others(key.server);
    });
}

void backend_pools::on_tick() {
    for (auto& [key, p] : pools_) {
        pool_actions actions;
        count_elsewhere(key, p, false);
        // A connection that the server ended while it lay idle is of no use.
        std::vector<connection_number> dead;
        for (const connection_number c : p.state.idle) {
            if (!p.connections[c]->is_open()) {
                dead.push_back(c);
            }
        }
        for (const connection_number c : dead) {
            p.connections.erase(c);
            connection_failed(p.state, c, now(), next_connection_, actions);
        }
        if (waiting_count(p.state) > 0) {
            expire_waiters(p.state, now(), next_connection_, actions);
        }
        carry_out(key, actions);
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            on_tick();
        }
    });
}

} // namespace larchpin
