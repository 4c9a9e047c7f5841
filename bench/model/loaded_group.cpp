// See loaded_group.hpp.
//
// Index
//   [what happens when]  [servers]  [entries]  [callers]  [positions]  [reading patterns]
#include "model/loaded_group.hpp"

#include "core/health.hpp"
#include "core/pool.hpp"
#include "core/routing.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <functional>
#include <stdexcept>

namespace larchpin::model {
namespace {

constexpr duration round_trip = std::chrono::milliseconds{1};
constexpr duration opening_time = std::chrono::milliseconds{12};
constexpr duration tick_interval = std::chrono::milliseconds{5};
constexpr duration sample_interval = std::chrono::milliseconds{50};
constexpr duration longest_lag = std::chrono::seconds{20};
constexpr time_point start = std::chrono::seconds{100};
constexpr double commits_per_second = 40; // of the primary's log, whatever the callers do
constexpr std::uint64_t timeline = 1;

std::string server_name(std::size_t i) {
    return i == 0 ? "primary" : "replica-" + std::to_string(i);
}

class group_model {
public:
    group_model(const pattern& p, const policy& by, std::uint64_t seed)
        : pattern_(p), policy_(by), random_(seed), servers_(1 + p.replicas), entries_(p.callers.size()) {
        result_.servers.resize(servers_.size());
        result_.asked_by_entry.resize(entries_.size());
        result_.in_time_by_entry.resize(entries_.size());
        result_.replica_reads_by_second.resize(static_cast<std::size_t>(p.length / std::chrono::seconds{1}) +
                                               1);
    }

    outcome run() {
        for (std::size_t e = 0; e < entries_.size(); ++e) {
            entries_[e].pools.resize(servers_.size());
            entries_[e].health.resize(servers_.size());
            for (std::size_t s = 0; s < servers_.size(); ++s) {
                pool_actions actions;
                entries_[e].pools[s].limit.aimd_limit = pattern_.running_at_most;
                set_share(entries_[e].pools[s], pattern_.shares[e], now_, next_connection_, actions);
                carry_out(e, s, actions);
            }
        }
        for (std::size_t k = 0; k < pattern_.kinds.size(); ++k) {
            plan_arrival(k);
        }
        tick();
        sample();
        while (!events_.empty() && events_.begin()->first < start + pattern_.length) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto what = std::move(next->second);
            events_.erase(next);
            what();
        }
        return std::move(result_);
    }

private:
    struct statement {
        std::size_t entry = 0;
        duration work{0};
        std::function<void()> answered;
    };
    struct server {
        unsigned busy = 0;
        std::deque<statement> queue;
    };
    struct waiting_request {
        std::function<void(connection_number)> use;
        std::function<void(duration retry_after)> refused;
    };
    struct entry {
        std::vector<pool_state> pools; // by server
        std::vector<server_health> health;
        std::map<request_number, waiting_request> waiting;
        group_positions positions;
    };
    struct caller {
        std::size_t kind = 0;
        time_point asked_at{};
        unsigned tries = 0;
    };
    // One try of a request on one connection.
    struct attempt {
        caller who;
        std::size_t entry = 0;
        std::size_t server = 0;
        connection_number connection = 0;
        time_point began_at{};
        time_point used_from{};
        unsigned left = 0; // statements
    };

    //-------------------------------------------------------------------------
    // [what happens when]
    //-------------------------------------------------------------------------

    void at(time_point when, std::function<void()> what) { events_.emplace(when, std::move(what)); }

    duration exponential(duration mean) {
        std::exponential_distribution<double> d(1.0 / static_cast<double>(mean.count()));
        return duration{static_cast<std::int64_t>(d(random_))};
    }

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

    //-------------------------------------------------------------------------
    // [servers]
    //-------------------------------------------------------------------------

    void send(std::size_t s, statement what) {
        servers_[s].queue.push_back(std::move(what));
        result_.servers[s].most_queued =
            std::max(result_.servers[s].most_queued, static_cast<unsigned>(servers_[s].queue.size()));
        serve(s);
    }

    void serve(std::size_t s) {
        while (servers_[s].busy < pattern_.slots && !servers_[s].queue.empty()) {
            const statement next = std::move(servers_[s].queue.front());
            servers_[s].queue.pop_front();
            ++servers_[s].busy;
            ++result_.servers[s].statements;
            result_.servers[s].busy += next.work;
            at(now_ + next.work, [this, s, answered = next.answered] {
                --servers_[s].busy;
                at(now_ + round_trip, answered);
                serve(s);
            });
        }
    }

    //-------------------------------------------------------------------------
    // [entries]
    //-------------------------------------------------------------------------

    void carry_out(std::size_t e, std::size_t s, const pool_actions& actions) {
        for (const pool_action& action : actions) {
            if (const auto* opened = std::get_if<open_connection>(&action)) {
                at(now_ + opening_time, [this, e, s, c = opened->connection] {
                    pool_actions more;
                    connection_opened(entries_[e].pools[s], c, now_, next_connection_, more);
                    carry_out(e, s, more);
                });
            } else if (const auto* used = std::get_if<assign_connection>(&action)) {
                const auto node = entries_[e].waiting.extract(used->request);
                node.mapped().use(used->connection);
            } else if (const auto* refused = std::get_if<refuse_request>(&action)) {
                if (servers_[s].busy < pattern_.slots) {
                    ++result_.servers[s].idle_refusals;
                    result_.servers[s].last_idle_refusal = now_ - start;
                }
                const auto node = entries_[e].waiting.extract(refused->request);
                node.mapped().refused(refused->retry_after);
            }
        }
    }

    void tick() {
        for (std::size_t e = 0; e < entries_.size(); ++e) {
            for (std::size_t s = 0; s < servers_.size(); ++s) {
                pool_actions actions;
                expire_waiters(entries_[e].pools[s], now_, next_connection_, actions);
                carry_out(e, s, actions);
            }
        }
        at(now_ + tick_interval, [this] { tick(); });
    }

    std::optional<std::size_t> choose_server(std::size_t e, const request_kind& kind, bool writes,
                                             time_point asked_at) {
        group_view view;
        view.record = {
            .id = {"g"}, .term = 1, .primary = {server_name(0)}, .timeline = timeline, .term_starts = {}};
        view.positions = &entries_[e].positions;
        view.servers_enforce_floor = true;
        for (std::size_t s = 0; s < servers_.size(); ++s) {
            server_view v;
            v.id = {server_name(s)};
            v.outstanding = entries_[e].health[s].outstanding;
            v.latency = expected_latency(entries_[e].health[s], now_);
            view.servers.push_back(v);
        }
        read_context wish{.staleness = kind.staleness,
                          .arrived_at = asked_at,
                          .now = now_,
                          .lease_live = true,
                          .excluded = {}};
        session_state session;
        session.arrived_at = asked_at;
        const routing_decision d =
            kind.strict || writes ? route_write(view, true) : route_read(view, session, wish, {}, random_);
        for (std::size_t s = 0; s < servers_.size(); ++s) {
            if (d.kind == target_kind::server && d.server.value == server_name(s)) {
                return s;
            }
        }
        return std::nullopt;
    }

    //-------------------------------------------------------------------------
    // [callers]
    //-------------------------------------------------------------------------

    void plan_arrival(std::size_t k) {
        const auto mean = duration{static_cast<std::int64_t>(1e9 / pattern_.kinds[k].per_second)};
        at(now_ + exponential(mean), [this, k] {
            std::discrete_distribution<std::size_t> by_weight(pattern_.callers.begin(),
                                                              pattern_.callers.end());
            ++result_.kinds[pattern_.kinds[k].name].asked;
            begin({.kind = k, .asked_at = now_, .tries = 0}, by_weight(random_));
            plan_arrival(k);
        });
    }

    void begin(const caller& who, std::size_t e) {
        const request_kind& kind = pattern_.kinds[who.kind];
        if (who.tries == 0) {
            ++result_.asked_by_entry[e];
        }
        const bool transaction = chance(kind.transactions);
        const bool writes = chance(kind.writes) || transaction;
        const auto s = choose_server(e, kind, writes, now_);
        if (!s) {
            give_up(who, e);
            return;
        }
        if (*s > 0) {
            ++result_.replica_reads_by_second[static_cast<std::size_t>((now_ - start) /
                                                                       std::chrono::seconds{1})];
        }
        record_start(entries_[e].health[*s]);
        attempt a{.who = who, .entry = e, .server = *s, .connection = 0, .began_at = now_, .used_from = {}};
        a.left = transaction ? kind.statements + 1 : 1;
        const request_number number = next_request_++;
        entries_[e].waiting[number] = {.use =
                                           [this, a](connection_number c) {
                                               attempt begun = a;
                                               begun.connection = c;
                                               begun.used_from = now_;
                                               run(begun);
                                           },
                                       .refused =
                                           [this, a](duration) {
                                               record_abandoned(entries_[a.entry].health[a.server]);
                                               give_up(a.who, a.entry);
                                           }};
        const int parts =
            (transaction ? transaction_time_divisor : 1) * (policy_.a_third_of_patience ? 3 : 1);
        pool_actions actions;
        request_connection(entries_[e].pools[*s],
                           {.request = number,
                            .klass = kind.klass,
                            .deadline = now_ + latest_sending(kind, parts),
                            .answer_by = now_ + kind.objective / parts,
                            .objective = policy_.by_deadline_only ? duration{0} : kind.objective},
                           now_, next_connection_, actions);
        carry_out(e, *s, actions);
    }

    // As the daemon has it: the first statement leaves the others of its transaction what they need.
    duration latest_sending(const request_kind& kind, int parts) const {
        const bool counts_places = pattern_.running_at_most > 0;
        return counts_places ? kind.deadline - (kind.objective - kind.objective / parts) : kind.objective;
    }

    void run(const attempt& a) {
        const request_kind& kind = pattern_.kinds[a.who.kind];
        pool_state& pool = entries_[a.entry].pools[a.server];
        statement_started(pool, a.connection);
        at(now_ + round_trip, [this, a, sent_at = now_, work = exponential(kind.work)] {
            send(a.server,
                 {.entry = a.entry, .work = work, .answered = [this, a, sent_at] { on_answer(a, sent_at); }});
        });
    }

    void on_answer(attempt a, time_point sent_at) {
        const request_kind& kind = pattern_.kinds[a.who.kind];
        pool_state& pool = entries_[a.entry].pools[a.server];
        --a.left;
        pool_actions actions;
        statement_ended(
            pool, a.connection,
            {.took = now_ - sent_at, .klass = kind.klass, .overloaded = false, .in_transaction = a.left > 0},
            now_, next_connection_, actions);
        if (policy_.no_running_limit || pattern_.running_at_most > 0) {
            pool.limit.aimd_limit = pattern_.running_at_most;
        }
        carry_out(a.entry, a.server, actions);
        if (a.left > 0) {
            at(now_ + kind.pause, [this, a] { run(a); });
            return;
        }
        pool_actions more;
        release_connection(pool, a.connection, true, now_ - a.used_from, now_, next_connection_, more);
        record_success(entries_[a.entry].health[a.server], now_ - a.used_from, now_);
        carry_out(a.entry, a.server, more);
        finish(a);
    }

    void finish(const attempt& a) {
        const request_kind& kind = pattern_.kinds[a.who.kind];
        kind_outcome& sum = result_.kinds[kind.name];
        // A caller's own pauses do not count against the objective.
        const bool transaction = now_ - a.used_from > kind.pause * kind.statements && kind.statements > 1;
        const duration took =
            now_ - a.who.asked_at - (transaction ? kind.pause * kind.statements : duration{0});
        sum.took.push_back(took);
        if (took <= kind.objective) {
            ++sum.in_time;
            ++result_.in_time_by_entry[a.entry];
        } else {
            ++sum.late;
        }
    }

    // Refused: the caller comes back to the same entry, or to another one by chance, while it has tries left.
    void give_up(caller who, std::size_t e) {
        const request_kind& kind = pattern_.kinds[who.kind];
        const time_point again = now_ + pattern_.come_back;
        if (who.tries >= pattern_.retries || again >= who.asked_at + kind.deadline) {
            ++result_.kinds[kind.name].refused;
            return;
        }
        ++who.tries;
        at(again, [this, who, e] { begin(who, (e + 1) % entries_.size()); });
    }

    //-------------------------------------------------------------------------
    // [positions]
    //-------------------------------------------------------------------------

    static log_position position_at(duration since_start) {
        const double seconds = static_cast<double>(since_start.count()) / 1e9;
        return static_cast<log_position>(std::max(0.0, 1000.0 + seconds * commits_per_second));
    }

    // A commit made at t is applied at t + the lag of that time, in order: a lag that ends is worn off later.
    duration applied_until(duration since_start) const {
        duration applied = since_start - longest_lag;
        while (applied + lag_at(applied) <= since_start && applied < since_start) {
            applied += sample_interval;
        }
        return applied;
    }

    duration lag_at(duration since_start) const {
        duration lag{0};
        for (const lag_change& change : pattern_.lags) {
            lag = since_start >= change.at ? change.lag : lag;
        }
        return lag;
    }

    void sample() {
        const duration since = now_ - start;
        for (entry& e : entries_) {
            add_primary_sample(e.positions, 1,
                               {.not_before = now_, .timeline = timeline, .position = position_at(since)});
            for (std::size_t s = 1; s < servers_.size(); ++s) {
                add_server_sample(
                    e.positions, {server_name(s)},
                    {.not_before = now_, .timeline = timeline, .position = position_at(applied_until(since))},
                    now_);
            }
        }
        at(now_ + sample_interval, [this] { sample(); });
    }

    const pattern& pattern_;
    const policy& policy_;
    std::mt19937_64 random_;
    std::vector<server> servers_; // the primary first
    std::vector<entry> entries_;
    std::multimap<time_point, std::function<void()>> events_;
    time_point now_ = start;
    connection_number next_connection_ = 1;
    request_number next_request_ = 1;
    outcome result_;
};

//-----------------------------------------------------------------------------
// [reading patterns]
//-----------------------------------------------------------------------------

[[noreturn]] void fail(const std::string& file, const std::string& why) {
    throw std::runtime_error(file + ": " + why);
}

duration read_ms(const toml::table& t, const char* key) {
    return duration{static_cast<std::int64_t>(t[key].value_or(0.0) * 1e6)};
}

template <typename number> std::vector<number> read_numbers(const toml::array* from) {
    std::vector<number> numbers;
    for (std::size_t i = 0; from != nullptr && i < from->size(); ++i) {
        numbers.push_back(from->get(i)->value_or(number{}));
    }
    return numbers;
}

request_class read_class(const std::string& file, const std::string& name) {
    if (name == "urgent") {
        return request_class::urgent;
    }
    if (name == "critical") {
        return request_class::critical;
    }
    if (name == "background") {
        return request_class::background;
    }
    if (name != "normal") {
        fail(file, "class is urgent, critical, normal or background, not " + name);
    }
    return request_class::normal;
}

request_kind read_kind(const std::string& file, const toml::table& t) {
    request_kind k;
    k.name = t["name"].value_or(std::string{});
    k.per_second = t["per_second"].value_or(0.0);
    k.klass = read_class(file, t["class"].value_or(std::string{"normal"}));
    k.strict = t["strict"].value_or(false);
    k.objective = read_ms(t, "objective_ms");
    k.deadline = read_ms(t, "deadline_ms");
    k.staleness = read_ms(t, "staleness_ms");
    k.work = read_ms(t, "work_ms");
    k.writes = t["writes"].value_or(0.0);
    k.transactions = t["transactions"].value_or(0.0);
    k.statements = t["statements"].value_or(1U);
    k.pause = read_ms(t, "pause_ms");
    if (k.name.empty() || k.per_second <= 0 || k.work <= duration{0} || k.objective <= duration{0}) {
        fail(file, "a kind needs name, per_second, work_ms and objective_ms");
    }
    return k;
}

} // namespace

pattern read_pattern(const std::string& file) {
    const toml::parse_result parsed = toml::parse_file(file);
    if (!parsed) {
        fail(file, std::string(parsed.error().description()));
    }
    const toml::table& t = parsed.table();
    pattern p;
    p.name = t["name"].value_or(std::string{});
    p.length = read_ms(t, "length_ms");
    p.slots = t["slots"].value_or(p.slots);
    p.running_at_most = t["running_at_most"].value_or(p.running_at_most);
    p.replicas = t["replicas"].value_or(p.replicas);
    p.retries = t["retries"].value_or(p.retries);
    p.come_back = read_ms(t, "come_back_ms");
    p.callers = read_numbers<double>(t["callers"].as_array());
    p.shares = read_numbers<unsigned>(t["shares"].as_array());
    if (const auto* lags = t["lag"].as_array()) {
        lags->for_each([&p](const auto& v) {
            if (const auto* change = v.as_table()) {
                p.lags.push_back({.at = read_ms(*change, "at_ms"), .lag = read_ms(*change, "lag_ms")});
            }
        });
    }
    if (const auto* kinds = t["kind"].as_array()) {
        kinds->for_each([&p, &file](const auto& v) {
            if (const auto* kind = v.as_table()) {
                p.kinds.push_back(read_kind(file, *kind));
            }
        });
    }
    if (p.callers.empty() || p.callers.size() != p.shares.size() || p.kinds.empty() ||
        p.length <= duration{0}) {
        fail(file, "needs length_ms, a kind, and callers and shares of the same number of entries");
    }
    return p;
}

outcome run_model(const pattern& p, const policy& by, std::uint64_t seed) {
    return group_model(p, by, seed).run();
}

} // namespace larchpin::model
