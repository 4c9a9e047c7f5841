// Tests of workspaces without a network: authorization, connection ownership, and rate limits that hold over
// all daemons despite partitions, delays and restarts.
//
// Index
//   [table]  [admission]  [connections]  [rate limits]
#include "core/admission.hpp"
#include "core/pool.hpp"
#include "core/rate_limits.hpp"
#include "core/rendezvous.hpp"
#include "io/auth.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//-----------------------------------------------------------------------------
// [table]
//-----------------------------------------------------------------------------

table make_table() {
    table t;
    t.requires_key = true;
    t.services.push_back({.id = {"db"}});
    t.workspaces = {{.id = {"acme"}, .rate = 10, .burst = 5}, {.id = {"bell"}}};
    t.keys = {{.digest = digest_key("acme-1"), .workspace = {"acme"}},
              {.digest = digest_key("acme-2"), .workspace = {"acme"}},
              {.digest = digest_key("bell-1"), .workspace = {"bell"}}};
    std::sort(t.keys.begin(), t.keys.end());
    return t;
}

TEST(workspaces, are_validated_in_the_table) {
    EXPECT_EQ(check_table(make_table()), "");
    table without_keys = make_table();
    without_keys.keys.clear();
    EXPECT_EQ(check_table(without_keys), "") << "a workspace may lose all its keys";
    table shared = make_table();
    shared.keys.push_back({.digest = shared.keys.front().digest, .workspace = {"bell"}});
    std::sort(shared.keys.begin(), shared.keys.end());
    EXPECT_EQ(check_table(shared), "one key stands twice");
    table repeated = make_table();
    repeated.workspaces.push_back(repeated.workspaces.back());
    EXPECT_NE(check_table(repeated), "");
    table unknown = make_table();
    unknown.workspaces.pop_back();
    EXPECT_NE(check_table(unknown), "") << "key of an unknown workspace";
    table fast = make_table();
    fast.workspaces.front().rate = 1'000'001;
    EXPECT_NE(check_table(fast), "");
    table unnamed = make_table();
    unnamed.workspaces.front().id.value.clear();
    EXPECT_NE(check_table(unnamed), "");
}

//-----------------------------------------------------------------------------
// [admission]
//-----------------------------------------------------------------------------

TEST(admission, refuses_unknown_keys_only_by_the_current_table) {
    const table t = make_table();
    const route_entry route;
    const admission acme = admit(t, route, digest_key("acme-2"), true);
    EXPECT_EQ(acme.verdict, admission_verdict::admitted);
    EXPECT_EQ(acme.workspace.value, "acme");
    EXPECT_EQ(admit(t, route, digest_key("acme-2"), false).verdict, admission_verdict::admitted);
    EXPECT_EQ(admit(t, route, digest_key("acme"), true).verdict, admission_verdict::refused);
    EXPECT_EQ(admit(t, route, digest_key("acme"), false).verdict, admission_verdict::undetermined)
        << "the key may be new";
    EXPECT_EQ(admit(t, route, "acme-1", true).verdict, admission_verdict::refused)
        << "a key is not its digest";
}

TEST(admission, of_a_public_route_needs_no_key) {
    const table t = make_table();
    route_entry open;
    open.is_public = true;
    EXPECT_EQ(admit(t, open, digest_key("nobody"), true).verdict, admission_verdict::admitted);
    EXPECT_EQ(admit(t, open, digest_key("nobody"), true).workspace.value, "");
    EXPECT_EQ(admit(t, open, digest_key("bell-1"), true).workspace.value, "bell");
}

TEST(admission, admits_all_without_workspaces) {
    EXPECT_EQ(admit(table{}, {}, digest_key("x"), true).verdict, admission_verdict::admitted);
}

//-----------------------------------------------------------------------------
// [connections]
//-----------------------------------------------------------------------------

// A pool whose connections open immediately, with a record of its actions.
struct small_pool {
    pool_state p;
    time_point now{seconds{1}};
    connection_number next = 1;
    request_number next_request = 1;
    std::map<connection_number, workspace_id> opened;
    std::map<request_number, connection_number> used;
    std::size_t opened_count = 0;
    std::size_t refused = 0;

    explicit small_pool(unsigned share) { p.share = share; }

    request_number ask(const std::string& workspace, request_class klass = request_class::normal) {
        const request_number number = next_request++;
        pool_actions actions;
        request_connection(
            p, {.request = number, .klass = klass, .deadline = now + seconds{1}, .workspace = {workspace}},
            now, next, actions);
        apply_actions(actions);
        return number;
    }
    void release(request_number request) {
        pool_actions actions;
        release_connection(p, used.at(request), true, milliseconds{5}, now, next, actions);
        apply_actions(actions);
    }
    void apply_actions(const pool_actions& actions) {
        for (const pool_action& a : actions) {
            if (const auto* o = std::get_if<open_connection>(&a)) {
                opened[o->connection] = o->workspace;
                ++opened_count;
                EXPECT_LE(open_count(p), p.share);
                pool_actions more;
                connection_opened(p, o->connection, now, next, more);
                apply_actions(more);
            } else if (const auto* c = std::get_if<close_connection>(&a)) {
                opened.erase(c->connection);
            } else if (const auto* u = std::get_if<assign_connection>(&a)) {
                used[u->request] = u->connection;
            } else {
                ++refused;
            }
        }
    }
};

TEST(connections, serve_only_their_workspace) {
    small_pool s(4);
    const request_number a = s.ask("acme");
    const request_number b = s.ask("bell");
    EXPECT_EQ(s.opened.at(s.used.at(a)).value, "acme");
    EXPECT_EQ(s.opened.at(s.used.at(b)).value, "bell");
    s.release(a);
    s.release(b);
    const request_number again = s.ask("acme");
    EXPECT_EQ(s.used.at(again), s.used.at(a)) << "its idle connection is reused";
}

// Many workspaces with occasional requests share a server with few connections: the least recently used
// connection is closed, and workspaces with frequent requests keep theirs.
TEST(connections, are_closed_least_recently_used_first) {
    small_pool s(3);
    for (const char* name : {"acme", "bell", "cole"}) {
        s.release(s.ask(name));
    }
    s.release(s.ask("acme")); // bell's connection is now least recently used
    const std::size_t before = s.opened_count;
    const request_number d = s.ask("dunn");
    EXPECT_EQ(s.opened.at(s.used.at(d)).value, "dunn");
    EXPECT_EQ(s.opened_count, before + 1);
    s.release(s.ask("acme"));
    s.release(s.ask("cole"));
    EXPECT_EQ(s.opened_count, before + 1) << "only bell's connection was closed";
}

// One connection serves one request a minute beside forty a second: a request that is bypassed for as long as
// an opening takes gets the next connection that becomes idle.
TEST(connections, are_shared_between_small_and_large_workspaces) {
    small_pool s(1);
    request_number large = s.ask("large");
    const request_number small = s.ask("small");
    unsigned large_first = 0;
    while (!s.used.contains(small) && large_first < 100) {
        const request_number next_large = s.ask("large"); // the large workspace always has a waiting request
        s.now += milliseconds{5};
        s.release(large);
        large = next_large;
        ++large_first;
    }
    EXPECT_TRUE(s.used.contains(small));
    EXPECT_LE(large_first, 4U) << "an opening takes 15 ms, each request 5 ms";
}

TEST(connections, of_any_workspace_serve_requests_without_data) {
    small_pool s(1);
    s.release(s.ask("acme"));
    const request_number probe = s.next_request++;
    pool_actions actions;
    request_connection(s.p, {.request = probe, .deadline = s.now + seconds{1}, .any_workspace = true}, s.now,
                       s.next, actions);
    s.apply_actions(actions);
    EXPECT_TRUE(s.used.contains(probe));
    EXPECT_EQ(s.opened_count, 1U);
}

// The connection claim counts recently active workspaces, not only busy connections: otherwise each of forty
// workspaces that send requests in turn would close another's connection.
TEST(connections, are_claimed_for_recently_active_workspaces) {
    small_pool s(25);
    for (int i = 0; i < 40; ++i) {
        s.release(s.ask("w" + std::to_string(i)));
        s.now += milliseconds{20};
    }
    EXPECT_EQ(take_peak_demand(s.p, s.now), 40U);
    EXPECT_EQ(take_peak_demand(s.p, s.now + seconds{11}), 0U) << "no recent requests";
}

// Seventy entries in three failure domains, and 25 connections to a server.
struct many_entries {
    cluster_state state;
    server_record server{.id = {"s1"}, .group = {"g"}, .host = "10.0.0.9", .port = 1, .domain = {"z1"}};

    many_entries() {
        for (int i = 0; i < 70; ++i) {
            const std::string id = "e" + std::to_string(i);
            state.instances[{id}] = {.id = {id},
                                     .domain = {"z" + std::to_string(i % 3)},
                                     .address = "10.0.0." + std::to_string(i) + ":1",
                                     .accepts_clients = true};
        }
    }
};

TEST(workspace_homes, are_in_the_servers_domain_with_one_standby_per_other_domain) {
    const many_entries e;
    const auto homes = workspace_homes(e.state, e.server, 25);
    ASSERT_EQ(homes.size(), 5U);
    for (std::size_t i = 0; i < homes.size(); ++i) {
        EXPECT_EQ(e.state.instances.at(homes[i]).domain == e.server.domain, i < 3);
    }
    EXPECT_TRUE(workspace_homes(e.state, e.server, 140).empty()) << "enough connections for all entries";
}

TEST(workspace_homes, divide_workspaces_stably_when_one_is_lost) {
    const std::vector<std::string> addresses{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};
    const auto first_of = [](const workspace_id& w, const std::vector<std::string>& of) {
        return *std::min_element(of.begin(), of.end(), [&w](const auto& a, const auto& b) {
            return rank_for_workspace(w, a) < rank_for_workspace(w, b);
        });
    };
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
        const workspace_id w{"w" + std::to_string(i)};
        const std::string home = first_of(w, addresses);
        ++counts[home];
        const std::string without_last = first_of(w, {addresses[0], addresses[1]});
        EXPECT_TRUE(home == addresses[2] || home == without_last);
    }
    for (const std::string& a : addresses) {
        EXPECT_GT(counts[a], 60) << "about a third each";
    }
}

//-----------------------------------------------------------------------------
// [rate limits]
//-----------------------------------------------------------------------------

// Model of daemons and control with random message loss and delay; leaders change, and daemons are suspended,
// partitioned and restarted. Every admitted operation is recorded.
class rate_model {
public:
    rate_model(std::uint64_t seed, unsigned rate, unsigned burst, rate_bounds bounds)
        : random_(seed), bounds_(bounds) {
        t_.workspaces = {{.id = {"acme"}, .rate = rate, .burst = burst}};
        daemons_.resize(5);
        ledger_.term_started_at = now_;
    }

    void step() {
        now_ += milliseconds{number(20)};
        std::erase_if(in_flight_, [this](const message& m) {
            if (m.at <= now_) {
                deliver(m);
            }
            return m.at <= now_;
        });
        daemon_state& d = daemons_[static_cast<std::size_t>(number(4))];
        const int what = number(60);
        if (number(150) == 0) {
            flood_ = !flood_;
        }
        if (what == 0) {
            d.disconnected_until = now_ + milliseconds{number(3000)};
        } else if (what == 1) { // restarts without held operations
            d = {.incarnation = d.incarnation + 1, .holding = {}};
        } else if (what == 2 && number(3) == 0) {
            ledger_ = {};
            ledger_.term_started_at = now_;
        } else if (what < 30) {
            ask(d);
        } else {
            use(d);
        }
    }

    // Checks the maximum number of operations in any window against the limit.
    void check() const {
        const double window = std::chrono::duration<double>(bounds_.window).count();
        const workspace_entry& w = t_.workspaces.front();
        const unsigned burst = std::max(w.burst, 1U);
        const double limit = (w.rate * window + burst) * (1 + bounds_.overshoot) + bounds_.tolerance;
        std::size_t first = 0;
        for (std::size_t last = 0; last < used_.size(); ++last) {
            while (used_[last] - used_[first] > bounds_.window) {
                ++first;
            }
            RC_ASSERT(static_cast<double>(last - first + 1) <= limit);
        }
    }
    [[nodiscard]] std::size_t used_count() const { return used_.size(); }

private:
    struct daemon_state {
        std::uint64_t incarnation = 1;
        std::uint64_t seq = 0;
        rate_holding holding{};
        bool asking = false;
        unsigned waiting = 0;
        unsigned running = 0;
        time_point disconnected_until{};
    };
    struct message {
        time_point at{};
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        time_point sent{};
        rate_request request;
        std::optional<rate_grant> grant{}; // set in the reply
    };

    int number(int highest) { return std::uniform_int_distribution<int>(0, highest)(random_); }
    std::size_t index_of(const daemon_state& d) const {
        return static_cast<std::size_t>(&d - daemons_.data());
    }
    time_point arrival() { return now_ + milliseconds{number(9) == 0 ? number(1500) : number(5)}; }

    void use(daemon_state& d) {
        for (int i = flood_ ? number(60) : number(1); i > 0; --i) {
            if (!take_operation(d.holding, now_)) {
                ++d.waiting;
                continue;
            }
            if (number(3) == 0) {
                end_operation(d.holding, false, now_);
            } else {
                end_operation(d.holding, true, now_);
                used_.push_back(now_);
            }
        }
    }
    void ask(daemon_state& d) {
        if (d.asking && number(9) > 0) {
            return; // the request has not timed out yet
        }
        const auto claim = make_claim(d.holding, {"acme"}, d.waiting, now_);
        if (!claim || now_ < d.disconnected_until) {
            return;
        }
        d.asking = true;
        ++d.seq;
        in_flight_.push_back({.at = arrival(),
                              .daemon = index_of(d),
                              .incarnation = d.incarnation,
                              .sent = now_,
                              .request = {.instance = {std::to_string(index_of(d))},
                                          .incarnation = d.incarnation,
                                          .seq = d.seq,
                                          .claims = {*claim}}});
    }
    void deliver(const message& m) {
        daemon_state& d = daemons_[m.daemon];
        if (!m.grant) {
            const auto grants = answer_rate_request(
                ledger_, t_, {.bounds = bounds_, .prior_grants_expired = false}, m.request, now_);
            if (!grants.empty()) {
                message back = m;
                back.at = arrival();
                back.grant = grants.front();
                new_messages_.push_back(back);
            }
        } else if (d.incarnation == m.incarnation && d.asking && d.seq == m.request.seq &&
                   now_ >= d.disconnected_until) {
            d.asking = false;
            d.waiting = 0;
            apply_grant(d.holding, *m.grant, m.sent);
        }
    }

public:
    void queue_new_messages() {
        in_flight_.insert(in_flight_.end(), new_messages_.begin(), new_messages_.end());
        new_messages_.clear();
    }

private:
    std::mt19937_64 random_;
    rate_bounds bounds_;
    table t_;
    rate_ledger ledger_;
    std::vector<daemon_state> daemons_;
    std::deque<message> in_flight_;
    std::deque<message> new_messages_;
    std::vector<time_point> used_;
    time_point now_{seconds{100}};
    bool flood_ = false; // demand far exceeds the limit
};

TEST(rate_limits, hold_in_every_window_despite_failures) {
    EXPECT_TRUE(rc::check([] {
        const auto rate = *rc::gen::inRange(1U, 60U);
        const auto burst = *rc::gen::inRange(0U, 60U);
        const rate_bounds bounds{.window = seconds{*rc::gen::inRange(1, 10)},
                                 .overshoot = *rc::gen::inRange(0, 3) / 10.0,
                                 .tolerance = *rc::gen::inRange(0U, 40U)};
        rate_model model(*rc::gen::arbitrary<std::uint32_t>(), rate, burst, bounds);
        for (int i = 0; i < 6000; ++i) {
            model.step();
            model.queue_new_messages();
        }
        RC_ASSERT(model.used_count() > 0U);
        model.check();
    }));
}

// One workspace's keys are used at thirty daemons, less than once a second at each: 60 % of the limit in
// total, a typical load for a limit with reserve.
TEST(rate_limits, admit_demand_below_the_limit_spread_over_daemons) {
    table t;
    t.workspaces = {{.id = {"acme"}, .rate = 15, .burst = 15}};
    const rate_bounds bounds{.window = seconds{5}, .overshoot = 0.1, .tolerance = 20};
    rate_ledger ledger;
    time_point now{seconds{100}};
    ledger.term_started_at = now - seconds{10};
    std::vector<rate_holding> daemons(30);
    std::vector<std::uint64_t> seqs(daemons.size());
    std::mt19937_64 random(7);
    std::size_t refused = 0;
    for (int tick = 0; tick < 6000; ++tick) { // one minute
        now += milliseconds{10};
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const bool asked = std::uniform_real_distribution<double>(0, 1)(random) < 9.0 / 30 * 0.01;
            const bool waits = asked && !take_operation(daemons[i], now);
            if (asked && !waits) {
                end_operation(daemons[i], true, now);
            }
            const auto claim =
                waits || tick % 10 == 0 ? make_claim(daemons[i], {"acme"}, waits ? 1 : 0, now) : std::nullopt;
            if (!claim) {
                continue;
            }
            const auto grants = answer_rate_request(
                ledger, t, {.bounds = bounds},
                {.instance = {std::to_string(i)}, .incarnation = 1, .seq = ++seqs[i], .claims = {*claim}},
                now);
            apply_grant(daemons[i], grants.at(0), now);
            if (waits) {
                const bool served = take_operation(daemons[i], now);
                refused += served ? 0 : 1;
                if (served) {
                    end_operation(daemons[i], true, now);
                }
            }
        }
    }
    EXPECT_EQ(refused, 0U);
}

// One workspace with a rate of ten a second, a burst of ten and no tolerance; control has counted for longer
// than grant_lifetime.
struct strict_control {
    table t;
    rate_ledger ledger;
    time_point now{seconds{100}};

    strict_control() {
        t.workspaces = {{.id = {"acme"}, .rate = 10, .burst = 10}};
        ledger.term_started_at = now - seconds{10};
    }
    std::vector<rate_grant> ask(const std::string& daemon, std::uint64_t seq, const rate_claim& claim) {
        return answer_rate_request(ledger, t, {.bounds = {}, .prior_grants_expired = false},
                                   {.instance = {daemon}, .incarnation = 1, .seq = seq, .claims = {claim}},
                                   now);
    }
};

TEST(rate_limits, count_grants_of_an_earlier_leader) {
    strict_control c;
    EXPECT_EQ(c.ask("a", 1, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 10U);
    c.ledger = {}; // new leader without knowledge of "a"
    c.ledger.term_started_at = c.now;
    c.now += milliseconds{900}; // "a" may still admit its ten operations
    EXPECT_EQ(c.ask("b", 1, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 0U);
    c.now += seconds{2};
    EXPECT_EQ(c.ask("b", 2, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 10U);
}

TEST(rate_limits, expire_at_a_silent_daemon_before_control_reuses_them) {
    strict_control c;
    rate_holding a;
    apply_limit(a, c.t.workspaces.front());
    apply_grant(a, c.ask("a", 1, {.workspace = {"acme"}, .needed = 10}).at(0), c.now);
    c.now += milliseconds{985}; // within the tolerated clock drift over one second
    EXPECT_TRUE(take_operation(a, c.now));
    EXPECT_EQ(c.ask("b", 1, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 0U);
    c.now += milliseconds{6};
    EXPECT_FALSE(take_operation(a, c.now));
    c.now += milliseconds{30};
    const rate_grant b = c.ask("b", 2, {.workspace = {"acme"}, .needed = 10}).at(0);
    EXPECT_GT(b.retry_after, duration{0}) << "the bucket has just begun to fill";
    c.now += seconds{1};
    EXPECT_GE(c.ask("b", 3, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 9U);
}

TEST(rate_limits, count_operations_that_may_be_returned) {
    strict_control c;
    EXPECT_EQ(c.ask("a", 1, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 10U);
    c.now += milliseconds{900};
    EXPECT_EQ(c.ask("a", 2, {.workspace = {"acme"}, .running = 10, .needed = 5}).at(0).operations, 0U);
}

TEST(rate_limits, ignore_stale_claims) {
    strict_control c;
    EXPECT_EQ(c.ask("a", 2, {.workspace = {"acme"}, .needed = 10}).at(0).operations, 10U);
    EXPECT_TRUE(c.ask("a", 1, {.workspace = {"acme"}, .returned = 10}).empty());
}

TEST(rate_limits, return_retry_after_beyond_the_limit) {
    table t;
    t.workspaces = {{.id = {"acme"}, .rate = 4, .burst = 1}};
    rate_ledger ledger;
    const time_point now{seconds{100}};
    ledger.term_started_at = now - seconds{10};
    const rate_request flood{
        .instance = {"i"}, .incarnation = 1, .seq = 1, .claims = {{.workspace = {"acme"}, .needed = 20}}};
    const auto grants = answer_rate_request(ledger, t, {.bounds = {}}, flood, now);
    EXPECT_EQ(grants.at(0).operations, 1U);
    EXPECT_EQ(grants.at(0).retry_after, milliseconds{250});
}

TEST(rate_limits, drop_held_operations_when_lowered) {
    rate_holding h;
    const time_point now{seconds{100}};
    apply_limit(h, {.id = {"acme"}, .rate = 100, .burst = 50});
    apply_grant(h, {.workspace = {"acme"}, .operations = 30}, now);
    apply_limit(h, {.id = {"acme"}, .rate = 100, .burst = 50});
    EXPECT_EQ(h.held, 30U);
    apply_limit(h, {.id = {"acme"}, .rate = 10, .burst = 50});
    EXPECT_FALSE(take_operation(h, now));
}

} // namespace
} // namespace larchpin
