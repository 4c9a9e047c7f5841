// Tests of the smaller modules of the core.
//
// Index
//   [table]  [shares]  [pool]  [lease]  [leaving]  [statements and tokens]  [health]
#include "core/cluster_state.hpp"
#include "core/health.hpp"
#include "core/lease.hpp"
#include "core/leave_deadlines.hpp"
#include "core/pool.hpp"
#include "core/rendezvous.hpp"
#include "core/session.hpp"
#include "core/shares.hpp"
#include "core/statement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <numeric>
#include <random>

namespace larchpin {
namespace {

//-----------------------------------------------------------------------------
// [table]
//-----------------------------------------------------------------------------

edit_table make_edit(const std::string& id, revision_number expected, unsigned connections) {
    edit_table e;
    e.change_id = id;
    e.expected_revision = expected;
    e.next.services = {{.id = {"shop"}, .max_connections = connections}};
    return e;
}

TEST(table, second_edit_of_a_revision_conflicts_and_retries_get_the_same_answer) {
    cluster_state s;
    EXPECT_EQ(apply(s, 1, make_edit("a", 0, 5)).code, result_code::ok);
    EXPECT_EQ(apply(s, 2, make_edit("b", 0, 6)).code, result_code::revision_conflict);
    EXPECT_EQ(apply(s, 3, make_edit("a", 0, 5)).table_revision, 1U);
    EXPECT_EQ(apply(s, 4, make_edit("b", 1, 6)).code, result_code::revision_conflict)
        << "a retry gets its first answer";
    EXPECT_EQ(s.current_table.services[0].max_connections, 5U);
    EXPECT_EQ(s.table_revision, 1U);
}

TEST(table, invalid_table_is_refused_entirely) {
    cluster_state s;
    edit_table e = make_edit("a", 0, 5);
    e.next.services.push_back({.id = {"zoo"}, .max_connections = 0});
    EXPECT_EQ(apply(s, 1, e).code, result_code::table_invalid);
    EXPECT_TRUE(s.current_table.services.empty());
}

TEST(table, group_change_of_an_old_term_is_refused) {
    cluster_state s;
    const group_record first{
        .id = {"g"}, .term = 1, .primary = {"a"}, .timeline = 1, .term_starts = {{1, 0}}};
    apply(s, 1, set_group{.expected_term = 0, .next = first});
    group_record second = first;
    second.term = 2;
    second.primary = {"b"};
    apply(s, 2, set_group{.expected_term = 1, .next = second});
    group_record late = first;
    late.term = 2;
    late.primary = {"c"};
    EXPECT_EQ(apply(s, 3, set_group{.expected_term = 1, .next = late}).code, result_code::revision_conflict);
    EXPECT_EQ(s.groups.at({"g"}).primary.value, "b");
}

TEST(table, positions_beyond_a_later_term_start_do_not_survive) {
    group_record g;
    g.term = 3;
    g.term_starts = {{1, 0}, {2, 500}, {3, 400}};
    EXPECT_EQ(surviving_position(g, 1), 400U);
    EXPECT_EQ(surviving_position(g, 2), 400U);
    EXPECT_FALSE(surviving_position(g, 4).has_value());
}

//-----------------------------------------------------------------------------
// [shares]
//-----------------------------------------------------------------------------

TEST(shares, division_is_max_min_fair_and_within_the_limit) {
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t>& raw) {
        const auto limit = *rc::gen::inRange(0U, 60U);
        const std::vector<unsigned> wanted(raw.begin(), raw.end());
        const auto shares = divide_fairly(limit, wanted);
        const unsigned sum = std::accumulate(shares.begin(), shares.end(), 0U);
        const unsigned wishes = std::accumulate(wanted.begin(), wanted.end(), 0U);
        RC_ASSERT(sum == std::min(limit, wishes));
        for (std::size_t i = 0; i < shares.size(); ++i) {
            RC_ASSERT(shares[i] <= wanted[i]);
            for (std::size_t j = 0; j < shares.size(); ++j) {
                // A member with unmet demand has a share no smaller than any other share, up to rounding by
                // one.
                RC_ASSERT(shares[i] == wanted[i] || shares[i] + 1 >= shares[j]);
            }
        }
    }));
}

TEST(shares, fair_part_equals_the_share_of_the_full_division) {
    EXPECT_TRUE(rc::check("fair part", [] {
        const unsigned limit = *rc::gen::inRange(0U, 60U);
        const unsigned own = *rc::gen::inRange(0U, 70U);
        const auto others = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 20U));
        std::vector<unsigned> all{own};
        all.insert(all.end(), others.begin(), others.end());
        RC_ASSERT(fair_share(limit, own, others) == divide_fairly(limit, all).front());
    }));
}

TEST(rendezvous, removing_an_instance_moves_only_its_own_servers) {
    std::vector<observer_candidate> live;
    for (int i = 0; i < 12; ++i) {
        live.push_back({.id = {"i" + std::to_string(i)}, .domain = {"d" + std::to_string(i % 3)}});
    }
    auto fewer = live;
    fewer.erase(fewer.begin() + 4);
    for (int n = 0; n < 200; ++n) {
        const server_id server{"s" + std::to_string(n)};
        const auto before = choose_observers(live, server);
        const auto after = choose_observers(fewer, server);
        ASSERT_EQ(before.size(), 3U);
        for (std::size_t d = 0; d < 3; ++d) {
            EXPECT_TRUE(before[d] == after[d] || before[d].value == "i4");
        }
    }
}

//-----------------------------------------------------------------------------
// [pool]
//-----------------------------------------------------------------------------

// Applies random operations to one pool and checks its invariants after each.
class pool_model {
public:
    explicit pool_model(std::uint64_t seed) : random_(seed) { p_.max_waiting = 20; }

    void step() {
        now_ += std::chrono::milliseconds{random_int(5)};
        pool_actions actions;
        const int what = random_int(10);
        if (what == 10 && !busy_.empty()) {
            const connection_number c = busy_.begin()->first;
            if (p_.idle_in_transaction.contains(c)) {
                statement_started(p_, c);
            } else {
                const statement_end end{.took = std::chrono::milliseconds{random_int(100)},
                                        .overloaded = random_int(3) == 0,
                                        .in_transaction = random_int(1) == 0};
                statement_ended(p_, c, end, now_, next_connection_, actions);
            }
        } else if (what < 4) {
            const auto klass = static_cast<request_class>(random_int(3));
            const request_number id = next_request_++;
            open_requests_[id] = klass;
            request_connection(p_,
                               {.request = id,
                                .klass = klass,
                                .deadline = now_ + std::chrono::milliseconds{random_int(200)}},
                               now_, next_connection_, actions);
        } else if (what == 4 && !opening_.empty()) {
            const connection_number c = *opening_.begin();
            opening_.erase(c);
            connection_opened(p_, c, now_, next_connection_, actions);
        } else if (what == 5 && !opening_.empty()) {
            const connection_number c = *opening_.begin();
            opening_.erase(c);
            if (random_int(1) == 0) {
                connection_failed(p_, c, now_, next_connection_, actions);
            } else {
                connection_limit_reached(p_, c, now_, next_connection_, actions);
            }
        } else if (what == 6 && !busy_.empty()) {
            const connection_number c = busy_.begin()->first;
            busy_.erase(c);
            release_connection(p_, c, random_int(4) > 0, std::chrono::milliseconds{2}, now_, next_connection_,
                               actions);
        } else if (what == 7) {
            share_ = static_cast<unsigned>(random_int(8));
            set_share(p_, share_, now_, next_connection_, actions);
        } else if (what == 8 && random_int(9) == 0) {
            share_ = static_cast<unsigned>(random_int(2));
            revoke_share(p_, share_, now_, next_connection_, actions);
            RC_ASSERT(open_count(p_) <= std::max(share_, 0U));
        } else {
            expire_waiters(p_, now_, next_connection_, actions);
        }
        execute_actions(actions);
        check_invariants();
    }

private:
    int random_int(int highest) { return std::uniform_int_distribution<int>(0, highest)(random_); }

    void execute_actions(const pool_actions& actions) {
        for (const pool_action& a : actions) {
            if (const auto* opened = std::get_if<open_connection>(&a)) {
                opening_.insert(opened->connection);
                RC_ASSERT(open_count(p_) <= p_.share);
            } else if (const auto* closed = std::get_if<close_connection>(&a)) {
                opening_.erase(closed->connection);
                busy_.erase(closed->connection);
            } else if (const auto* used = std::get_if<assign_connection>(&a)) {
                RC_ASSERT(open_requests_.erase(used->request) == 1U); // each request is answered once
                // A connection serves one request at a time.
                RC_ASSERT(busy_.emplace(used->connection, used->request).second);
            } else if (const auto* refused = std::get_if<refuse_request>(&a)) {
                RC_ASSERT(open_requests_.erase(refused->request) == 1U);
            }
        }
    }

    void check_invariants() const {
        RC_ASSERT(p_.busy.size() == busy_.size());
        RC_ASSERT(waiting_count(p_) == open_requests_.size());
        const auto running = static_cast<unsigned>(p_.busy.size() - p_.idle_in_transaction.size());
        const auto& waiting = p_.queue.waiting;
        const bool critical_waits = std::any_of(
            waiting.begin(), waiting.end(), [](const auto& r) { return r.klass <= request_class::critical; });
        const bool serves = p_.idle.empty() || !critical_waits || !may_send(p_.limit, running);
        RC_ASSERT(serves); // no critical request waits while it could use an idle connection
        RC_ASSERT(std::includes(p_.busy.begin(), p_.busy.end(), p_.idle_in_transaction.begin(),
                                p_.idle_in_transaction.end()));
        // Requests are ordered by class and deadline, except that one long-waiting request may be first.
        auto order = order_requests(p_.queue, now_);
        const auto waits_long = [&](const queued_request& r) {
            return (now_ - r.queued_at) * aging_wait_divisor >= r.deadline - r.queued_at;
        };
        if (!order.empty() && waits_long(waiting[order.front()])) {
            order.erase(order.begin());
        }
        RC_ASSERT(std::is_sorted(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return std::tuple(waiting[a].klass, waiting[a].deadline) <
                   std::tuple(waiting[b].klass, waiting[b].deadline);
        }));
    }

    std::mt19937_64 random_;
    pool_state p_;
    time_point now_{std::chrono::seconds{1}};
    unsigned share_ = 0;
    connection_number next_connection_ = 1;
    request_number next_request_ = 1;
    std::set<connection_number> opening_;
    std::map<connection_number, request_number> busy_;
    std::map<request_number, request_class> open_requests_;
};

TEST(pool, stays_within_its_share_and_answers_every_request_once) {
    EXPECT_TRUE(rc::check([] {
        pool_model model(*rc::gen::arbitrary<std::uint32_t>());
        for (int i = 0; i < 2000; ++i) {
            model.step();
        }
    }));
}

TEST(pool, background_class_leaves_connections_for_other_classes) {
    pool_state p;
    p.background_share = 50;
    connection_number next = 1;
    pool_actions actions;
    const time_point now{std::chrono::seconds{1}};
    set_share(p, 4, now, next, actions);
    for (request_number i = 1; i <= 8; ++i) {
        request_connection(
            p, {.request = i, .klass = request_class::background, .deadline = now + std::chrono::seconds{5}},
            now, next, actions);
    }
    for (connection_number c = 1; c <= 4; ++c) {
        connection_opened(p, c, now, next, actions);
    }
    EXPECT_EQ(p.busy.size(), 2U);
    request_connection(
        p, {.request = 100, .klass = request_class::critical, .deadline = now + std::chrono::seconds{5}}, now,
        next, actions);
    EXPECT_EQ(p.busy.size(), 3U) << "the critical request gets a connection at once";
}

TEST(pool, limits_concurrency_at_an_overloaded_server_and_dispatches_by_class_and_deadline) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    time_point now{std::chrono::seconds{1}};
    set_share(p, 4, now, next, actions);
    const auto ask = [&](request_number id, request_class klass, int within_ms) {
        actions.clear();
        const time_point until = now + std::chrono::milliseconds{within_ms};
        request_connection(p, {.request = id, .klass = klass, .deadline = until}, now, next, actions);
    };
    for (request_number i = 1; i <= 4; ++i) {
        ask(i, request_class::normal, 500);
    }
    for (connection_number c = 1; c <= 4; ++c) {
        connection_opened(p, c, now, next, actions);
    }
    ASSERT_EQ(p.busy.size(), 4U);
    statement_ended(p, 1, {.overloaded = true}, now, next, actions);
    EXPECT_EQ(p.limit.aimd_limit, 2U) << "half of the running statements";
    ask(5, request_class::normal, 500);
    ask(6, request_class::normal, 250);
    ask(7, request_class::critical, 500);
    actions.clear();
    release_connection(p, 1, true, std::chrono::milliseconds{20}, now, next, actions);
    EXPECT_TRUE(actions.empty()) << "three statements still run";
    release_connection(p, 2, true, std::chrono::milliseconds{20}, now, next, actions);
    release_connection(p, 3, true, std::chrono::milliseconds{20}, now, next, actions);
    EXPECT_EQ(std::get<assign_connection>(actions.at(0)).request, 7U) << "the higher class is first";
    actions.clear();
    statement_ended(p, 4, {.took = std::chrono::milliseconds{5}, .in_transaction = true}, now, next, actions);
    EXPECT_EQ(std::get<assign_connection>(actions.at(0)).request, 6U)
        << "an idle transaction frees its slot, and the earlier deadline is next";
}

TEST(running_limit, halves_on_a_refusal_and_recovers_while_answers_are_fast) {
    running_limit l;
    time_point now{std::chrono::seconds{1}};
    const auto answer_for_a_second = [&](duration took) {
        for (int i = 0; i < 100; ++i) {
            now += std::chrono::milliseconds{10};
            record_statement_answered(l, {.took = took, .klass = 1, .share = 12}, now);
        }
    };
    answer_for_a_second(std::chrono::milliseconds{20});
    EXPECT_TRUE(may_send(l, 1000)) << "there is no limit before the first refusal";
    record_overload(l, 16, now);
    record_overload(l, 8, now + std::chrono::milliseconds{10});
    EXPECT_EQ(l.aimd_limit, 8U) << "refusals in quick succession count once";
    answer_for_a_second(std::chrono::milliseconds{200});
    EXPECT_EQ(l.aimd_limit, 8U);
    answer_for_a_second(std::chrono::milliseconds{200});
    EXPECT_EQ(l.aimd_limit, 9U) << "slow answers raise the limit by one in 2 s";
    for (int i = 0; i < 3; ++i) {
        answer_for_a_second(std::chrono::milliseconds{20});
    }
    EXPECT_EQ(l.aimd_limit, 0U) << "fast answers remove the limit";
    record_overload(l, 1, now);
    EXPECT_EQ(l.aimd_limit, 1U) << "the limit is at least one";
}

TEST(running_limit, does_not_treat_a_class_of_long_statements_as_overload) {
    running_limit l;
    time_point now{std::chrono::seconds{1}};
    for (int i = 0; i < 400; ++i) {
        now += std::chrono::milliseconds{10};
        const std::size_t klass = i % 2 == 0 ? 0 : 1;
        record_statement_answered(
            l, {.took = std::chrono::milliseconds{klass == 0 ? 5 : 60}, .klass = klass, .share = 12}, now);
    }
    EXPECT_LT(l.slowdown, 1.2);
}

// Guards against an overloaded primary that serves every request too late. Requests with two objectives
// arrive faster than a lone primary can serve them. In deadline order, each would wait until it is late.
TEST(pool, overload_refuses_long_objectives_and_serves_short_ones_in_time) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    time_point now{std::chrono::seconds{1}};
    set_share(p, 1, now, next, actions);
    constexpr duration service_time = std::chrono::milliseconds{20};
    struct outcome {
        unsigned served = 0;
        unsigned refused_at_once = 0;
        unsigned expired_in_queue = 0;
    };
    std::map<request_number, std::pair<duration, time_point>> requests; // objective and arrival time
    std::map<duration, outcome> outcomes;
    time_point free_at{};
    const auto take = [&] {
        for (const pool_action& a : std::exchange(actions, {})) {
            if (const auto* opened = std::get_if<open_connection>(&a)) {
                pool_actions more;
                connection_opened(p, opened->connection, now, next, more);
                actions.insert(actions.end(), more.begin(), more.end());
            } else if (const auto* use = std::get_if<assign_connection>(&a)) {
                ++outcomes[requests[use->request].first].served;
                free_at = now + service_time;
            } else if (const auto* refused = std::get_if<refuse_request>(&a)) {
                const auto& [objective, at] = requests[refused->request];
                ++(now - at < service_time ? outcomes[objective].refused_at_once
                                           : outcomes[objective].expired_in_queue);
            }
        }
    };
    request_number id = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        now += std::chrono::milliseconds{1};
        if (!p.busy.empty() && now >= free_at) {
            statement_ended(p, *p.busy.begin(), {.took = service_time}, now, next, actions);
            release_connection(p, *p.busy.begin(), true, service_time, now, next, actions);
        }
        // 40 requests/s with an objective of 200 ms and 25 requests/s with 400 ms; the server can serve 50
        // requests/s.
        const bool has_short_objective = ms % 25 == 0;
        if (has_short_objective || ms % 40 == 7) {
            const duration objective = std::chrono::milliseconds{has_short_objective ? 200 : 400};
            requests[++id] = {objective, now};
            request_connection(p,
                               {.request = id,
                                .deadline = now + objective,
                                .answer_by = now + objective,
                                .objective = objective},
                               now, next, actions);
        }
        expire_waiters(p, now, next, actions);
        while (!actions.empty()) {
            take();
        }
    }
    const outcome& short_objective = outcomes[std::chrono::milliseconds{200}];
    const outcome& long_objective = outcomes[std::chrono::milliseconds{400}];
    EXPECT_GE(short_objective.served, 395U) << "of 400";
    EXPECT_GE(short_objective.served + long_objective.served, 480U) << "of the 500 that the server can serve";
    EXPECT_LE(long_objective.expired_in_queue, 50U) << "of 250; the others are served or refused at once";
    EXPECT_GE(long_objective.refused_at_once, 50U);
}

TEST(pool, critical_requests_are_not_refused_by_estimate) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    const time_point now{std::chrono::seconds{1}};
    set_share(p, 1, now, next, actions);
    p.limit.response_times.fill(
        {.smoothed = std::chrono::milliseconds{100}, .baseline = std::chrono::milliseconds{100}});
    const auto ask = [&](request_number id, request_class klass) {
        actions.clear();
        request_connection(p,
                           {.request = id,
                            .klass = klass,
                            .deadline = now + std::chrono::milliseconds{120},
                            .answer_by = now + std::chrono::milliseconds{120}},
                           now, next, actions);
        return std::none_of(actions.begin(), actions.end(),
                            [](const auto& a) { return std::holds_alternative<refuse_request>(a); });
    };
    EXPECT_FALSE(ask(1, request_class::normal)) << "the expected answer time is 150 ms";
    EXPECT_TRUE(ask(2, request_class::critical));
}

TEST(pool, makes_single_connection_attempts_while_the_server_is_full) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    time_point now{std::chrono::seconds{1}};
    set_share(p, 8, now, next, actions);
    unsigned attempts = 0;
    for (request_number i = 1; i <= 400; ++i) { // one request every 5 ms
        now += std::chrono::milliseconds{5};
        request_connection(p, {.request = i, .deadline = now + std::chrono::seconds{5}}, now, next, actions);
        EXPECT_LE(p.opening.size(), 1U) << "at most one attempt at a time";
        while (!p.opening.empty()) {
            ++attempts;
            connection_limit_reached(p, *p.opening.begin(), now, next, actions);
        }
    }
    EXPECT_TRUE(is_server_full(p));
    EXPECT_LE(attempts, 13U) << "backoff of up to 200 ms over 2 s";
    try_open(p, now + std::chrono::seconds{1}, next, actions);
    ASSERT_EQ(p.opening.size(), 1U) << "the pool also retries without waiting requests";
    connection_opened(p, *p.opening.begin(), now, next, actions);
    EXPECT_FALSE(is_server_full(p));
}

TEST(pool, refuses_requests_at_once_that_cannot_be_served_in_time) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    const time_point now{std::chrono::seconds{1}};
    p.service_time = std::chrono::milliseconds{100};
    set_share(p, 1, now, next, actions);
    for (request_number i = 1; i <= 10; ++i) {
        request_connection(p, {.request = i, .deadline = now + std::chrono::milliseconds{1500}}, now, next,
                           actions);
    }
    ASSERT_EQ(waiting_count(p), 10U);
    p.service_time = std::chrono::milliseconds{200};
    actions.clear();
    request_connection(p, {.request = 11, .deadline = now + std::chrono::milliseconds{1500}}, now, next,
                       actions);
    ASSERT_EQ(actions.size(), 1U);
    const auto refused = std::get<refuse_request>(actions[0]);
    EXPECT_EQ(refused.code, result_code::overloaded);
    EXPECT_GE(refused.retry_after, std::chrono::milliseconds{1800});
    actions.clear();
    request_connection(p, {.request = 12, .deadline = now + std::chrono::milliseconds{500}}, now, next,
                       actions);
    EXPECT_TRUE(actions.empty()) << "the earliest deadline is first and can be met";
    request_connection(p,
                       {.request = 13,
                        .deadline = now + std::chrono::seconds{9},
                        .answer_by = now + std::chrono::milliseconds{500}},
                       now, next, actions);
    ASSERT_EQ(actions.size(), 1U) << "the deadline could be met, but not answer_by";
}

//-----------------------------------------------------------------------------
// [lease]
//-----------------------------------------------------------------------------

TEST(lease, grant_is_valid_only_after_its_revision_is_applied) {
    lease_state l;
    const time_point sent{std::chrono::seconds{5}};
    add_grant(l, sent, std::chrono::seconds{1}, 7, 6);
    EXPECT_FALSE(lease_is_live(l, sent));
    record_applied(l, 7);
    EXPECT_TRUE(lease_is_live(l, sent + std::chrono::milliseconds{989}));
    EXPECT_FALSE(lease_is_live(l, sent + std::chrono::milliseconds{991}));
}

TEST(lease, holder_expires_before_the_grantor) {
    EXPECT_TRUE(rc::check([] {
        const duration nominal = std::chrono::milliseconds{*rc::gen::inRange(200, 60000)};
        // The holder's clock is slow and the grantor's is fast; their relative drift is the bound.
        const double slow = 1.0 - clock_drift_bound / 2;
        const double fast = 1.0 + clock_drift_bound / 2;
        const double holder_real = static_cast<double>(holder_lease_duration(nominal).count()) / slow;
        const double grantor_real = static_cast<double>(grantor_lease_duration(nominal).count()) / fast;
        RC_ASSERT(holder_real < grantor_real);
    }));
}

//-----------------------------------------------------------------------------
// [leaving]
//-----------------------------------------------------------------------------

constexpr duration leave_time = std::chrono::seconds{7};

cluster_state state_with_server(bool leaving) {
    cluster_state s;
    server_record server;
    server.id = {"s1"};
    server.leaving = leaving;
    s.servers[server.id] = server;
    return s;
}

TEST(leave_times, start_at_the_last_renewal_before_the_commit) {
    leave_deadlines t;
    const time_point start = std::chrono::seconds{100};
    record_answered_renewal(t, 4, start);
    record_answered_renewal(t, 4, start + std::chrono::seconds{1});
    // Control had committed revision 5 by then.
    record_answered_renewal(t, 6, start + std::chrono::seconds{2});
    EXPECT_EQ(update_leaving_servers(t, state_with_server(true), 5), std::vector<server_id>{{"s1"}});
    EXPECT_TRUE(update_leaving_servers(t, state_with_server(true), 7).empty())
        << "each leaving server is returned once";
    const time_point end = start + std::chrono::seconds{1} + leave_time - leave_safety_margin;
    EXPECT_FALSE(leave_time_has_expired(t, {"s1"}, leave_time, end - duration{1}));
    EXPECT_TRUE(leave_time_has_expired(t, {"s1"}, leave_time, end));
    EXPECT_FALSE(leave_time_has_expired(t, {"s2"}, leave_time, end)) << "s2 is not leaving";
}

TEST(leave_times, are_over_if_the_start_is_unknown) {
    leave_deadlines t;
    // The instance has just started, without any renewal.
    update_leaving_servers(t, state_with_server(true), 1);
    EXPECT_TRUE(leave_time_has_expired(t, {"s1"}, leave_time, std::chrono::seconds{1}));
    update_leaving_servers(t, state_with_server(false), 2);
    EXPECT_FALSE(leave_time_has_expired(t, {"s1"}, leave_time, std::chrono::seconds{1}))
        << "the new record is not leaving";
}

// Guards against an instance that starts the leave time too late and so sends requests past the deadline.
// Renewals and replies are delayed and reordered at random, the local copy lags, control commits other
// changes before and after, and the instance may have been disconnected for long.
TEST(leave_times, never_start_after_the_acknowledgement) {
    EXPECT_TRUE(rc::check([] {
        const auto committed_at = time_point{std::chrono::milliseconds{*rc::gen::inRange(0, 5'000)}};
        const auto revision_at = [&](time_point at) {
            const auto other = static_cast<revision_number>(at / std::chrono::milliseconds{700});
            return 1 + other + (at >= committed_at ? 1 : 0);
        };
        const revision_number committed_revision = revision_at(committed_at);
        struct answered_renewal {
            time_point received_at{};
            time_point sent{};
            revision_number revision = 0;
        };
        std::vector<answered_renewal> answers;
        for (int i = *rc::gen::inRange(0, 30); i > 0; --i) {
            const auto ms = [](int most) { return std::chrono::milliseconds{*rc::gen::inRange(0, most)}; };
            const time_point sent = ms(8'000);
            const time_point arrived_at = sent + ms(1'000);
            answers.push_back(
                {.received_at = arrived_at + ms(1'000), .sent = sent, .revision = revision_at(arrived_at)});
        }
        std::sort(answers.begin(), answers.end(), [](const answered_renewal& a, const answered_renewal& b) {
            return a.received_at < b.received_at;
        });
        const time_point applied_at = committed_at + std::chrono::milliseconds{*rc::gen::inRange(0, 4'000)};
        leave_deadlines t;
        for (const answered_renewal& a : answers) {
            if (a.received_at <= applied_at) {
                record_answered_renewal(t, a.revision, a.sent);
            }
        }
        const bool by_whole_state = *rc::gen::arbitrary<bool>();
        const auto first_new = by_whole_state ? *rc::gen::inRange<revision_number>(1, committed_revision + 1)
                                              : committed_revision;
        update_leaving_servers(t, state_with_server(true), first_new);
        RC_ASSERT(
            leave_time_has_expired(t, {"s1"}, leave_time, committed_at + leave_time - leave_safety_margin));
    }));
}

//-----------------------------------------------------------------------------
// [statements and tokens]
//-----------------------------------------------------------------------------

TEST(statement, is_classified_by_its_first_words) {
    EXPECT_EQ(classify_statement("select 1"), statement_kind::read_hint);
    EXPECT_EQ(classify_statement("/* x */ -- y\n (SELECT 1)"), statement_kind::read_hint);
    EXPECT_EQ(classify_statement("select 1; delete from t"), statement_kind::write);
    EXPECT_EQ(classify_statement("update t set a = 1"), statement_kind::write);
    EXPECT_EQ(classify_statement("begin"), statement_kind::begin);
    EXPECT_EQ(classify_statement("start transaction isolation level serializable, read only"),
              statement_kind::begin_read_only);
    EXPECT_EQ(classify_statement("rollback to savepoint a"), statement_kind::write);
    EXPECT_EQ(classify_statement("rollback"), statement_kind::rollback);
    EXPECT_EQ(classify_statement(""), statement_kind::empty);
    EXPECT_EQ(classify_statement("set transaction read only"), statement_kind::write);
    EXPECT_EQ(classify_statement("set a.b = 'c'"), statement_kind::set_session);
    EXPECT_EQ(classify_statement("COPY t FROM STDIN"), statement_kind::unsupported);
    EXPECT_EQ(classify_statement("select pg_advisory_lock(1)"), statement_kind::unsupported);
}

TEST(statement, read_without_parentheses_calls_no_function) {
    EXPECT_FALSE(may_call_functions("select value from t where key = 'k'"));
    EXPECT_TRUE(may_call_functions("select nextval('s')"));
}

TEST(statement, settings_are_parsed) {
    EXPECT_EQ(parse_setting("set larchpin.class = 'background';"),
              (setting_change{.name = "larchpin.class", .value = "background"}));
    EXPECT_EQ(parse_setting("SET LOCAL x TO 'it''s'"),
              (setting_change{.name = "x", .value = "it's", .local = true}));
    EXPECT_EQ(parse_setting("reset x"), (setting_change{.name = "x", .value = "", .reset = true}));
}

TEST(statement, any_text_is_classified_without_a_crash) {
    EXPECT_TRUE(rc::check([](const std::string& text) {
        classify_statement(text);
        parse_setting(text);
        unsupported_feature(text);
    }));
}

// After more changes of the term than are recorded, a session's read did not require its own write any more.
TEST(token, write_is_still_required_after_more_terms_than_are_recorded) {
    group_record g;
    g.id = {"g"};
    g.term = 40;
    for (term_number term = 25; term <= g.term; ++term) {
        g.term_starts.push_back({.term = term, .position = 100 + 10 * term});
    }
    session_state s;
    s.group = g.id;
    s.settings.ignore_lost_writes = true;
    record_write(s, 1, 50);
    adopt_term(s, g);
    EXPECT_EQ(s.positions.written, (session_token{.group = g.id, .term = 40, .position = 50}));
    record_write(s, 40, 900);
    s.positions.written->term = 1;
    adopt_term(s, g);
    EXPECT_EQ(s.positions.written->position, 350U) << "no more than the terms since hold";
}

TEST(token, round_trips) {
    EXPECT_TRUE(rc::check([](const std::string& group, std::uint64_t term, std::uint64_t position) {
        RC_PRE(!group.empty());
        const session_token token{.group = {group}, .term = term, .position = position};
        RC_ASSERT(parse_token(format_token(token)) == std::optional{token});
    }));
    EXPECT_TRUE(rc::check([](const std::string& text) { parse_token(text); }));
}

//-----------------------------------------------------------------------------
// [health]
//-----------------------------------------------------------------------------

TEST(health, failing_server_is_ejected_and_its_share_recovers_gradually) {
    server_health h;
    const time_point now{std::chrono::seconds{100}};
    for (int i = 0; i < 3; ++i) {
        record_start(h);
        record_failure(h, now);
    }
    EXPECT_GT(h.ejected_until, now);
    EXPECT_LT(slow_start_factor(h, h.ejected_until), 0.2);
    EXPECT_EQ(slow_start_factor(h, h.ejected_until + std::chrono::seconds{10}), 1.0);
}

// Guards against reads that stay on the primary after both replicas of a group were unreachable for some
// seconds. A server without requests cannot improve its latency, so the penalty must decay with time.
TEST(health, failure_penalty_decays_without_requests) {
    server_health h;
    time_point now{std::chrono::seconds{100}};
    record_start(h);
    record_success(h, std::chrono::milliseconds{20}, now);
    for (int i = 0; i < 12; ++i) {
        record_start(h);
        record_failure(h, now);
    }
    EXPECT_GE(expected_latency(h, now), std::chrono::seconds{1});
    now += std::chrono::milliseconds{3500};
    EXPECT_LE(expected_latency(h, now), std::chrono::milliseconds{60})
        << "within three times the usual latency of a primary";
    EXPECT_GE(expected_latency(h, now + std::chrono::hours{1}), std::chrono::milliseconds{20})
        << "the latency of answers is kept";
}

// Guards against cancelled requests that make an overloaded server look fast or a dead one healthy.
TEST(health, cancelled_requests_do_not_change_the_health) {
    server_health h;
    const time_point now{std::chrono::seconds{1}};
    record_start(h);
    record_success(h, std::chrono::milliseconds{100}, now);
    for (int i = 0; i < 2; ++i) {
        record_start(h);
        record_failure(h, now);
    }
    const server_health before = h;
    for (int i = 0; i < 50; ++i) {
        record_start(h);
        record_abandoned(h);
    }
    EXPECT_EQ(h, before);
    record_start(h);
    record_failure(h, now);
    EXPECT_GT(h.ejected_until, now) << "the third failure in a row";
}

TEST(health, retries_stay_within_a_tenth_of_the_requests) {
    retry_budget b;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        refill_for_request(b);
        retries += try_take_retry(b) ? 1 : 0;
    }
    EXPECT_LE(retries, 111);
}

} // namespace
} // namespace larchpin
