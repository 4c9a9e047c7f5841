// Properties of the smaller parts of the core.
//
// Index
//   [table]  [shares]  [pool]  [lease]  [leaving]  [statements and tokens]  [health]
#include "core/cluster_state.hpp"
#include "core/health.hpp"
#include "core/lease.hpp"
#include "core/leave_times.hpp"
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

TEST(table, of_two_edits_on_one_revision_one_wins_and_both_keep_their_answers) {
    cluster_state s;
    EXPECT_EQ(apply(s, 1, make_edit("a", 0, 5)).code, result_code::ok);
    EXPECT_EQ(apply(s, 2, make_edit("b", 0, 6)).code, result_code::revision_conflict);
    EXPECT_EQ(apply(s, 3, make_edit("a", 0, 5)).table_revision, 1U);
    EXPECT_EQ(apply(s, 4, make_edit("b", 1, 6)).code, result_code::revision_conflict) << "decided once";
    EXPECT_EQ(s.current_table.services[0].max_connections, 5U);
    EXPECT_EQ(s.table_revision, 1U);
}

TEST(table, an_invalid_table_is_refused_whole) {
    cluster_state s;
    edit_table e = make_edit("a", 0, 5);
    e.next.services.push_back({.id = {"zoo"}, .max_connections = 0});
    EXPECT_EQ(apply(s, 1, e).code, result_code::table_invalid);
    EXPECT_TRUE(s.current_table.services.empty());
}

TEST(table, a_late_change_of_a_group_changes_nothing) {
    cluster_state s;
    const group_record first{.id = {"g"}, .term = 1, .primary = {"a"}, .timeline = 1, .term_starts = {{1, 0}}};
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

TEST(table, positions_beyond_a_later_start_are_lost) {
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

TEST(shares, division_is_fair_and_within_the_limit) {
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
                // Whoever wants more than it has got, has got no less than anyone else, give or take one.
                RC_ASSERT(shares[i] == wanted[i] || shares[i] + 1 >= shares[j]);
            }
        }
    }));
}

TEST(shares, a_part_is_what_the_whole_division_gives) {
    EXPECT_TRUE(rc::check("fair part", [] {
        const unsigned limit = *rc::gen::inRange(0U, 60U);
        const unsigned own = *rc::gen::inRange(0U, 70U);
        const auto others = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 20U));
        std::vector<unsigned> all{own};
        all.insert(all.end(), others.begin(), others.end());
        RC_ASSERT(fair_share(limit, own, others) == divide_fairly(limit, all).front());
    }));
}

TEST(rendezvous, an_instance_that_leaves_moves_only_its_own_servers) {
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

// Random use of one pool, against what must hold of it at every moment.
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
            request_connection(
                p_,
                {.request = id, .klass = klass, .deadline = now_ + std::chrono::milliseconds{random_int(200)}},
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
                RC_ASSERT(open_requests_.erase(used->request) == 1U);             // answered once
                RC_ASSERT(busy_.emplace(used->connection, used->request).second); // one request a connection
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
        RC_ASSERT(serves); // nothing critical waits beside an idle connection that it may use
        RC_ASSERT(std::includes(p_.busy.begin(), p_.busy.end(), p_.idle_in_transaction.begin(), p_.idle_in_transaction.end()));
        // By class and deadline, but for one that goes first since it has waited long.
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

TEST(pool, keeps_to_its_share_and_answers_every_request_once) {
    EXPECT_TRUE(rc::check([] {
        pool_model model(*rc::gen::arbitrary<std::uint32_t>());
        for (int i = 0; i < 2000; ++i) {
            model.step();
        }
    }));
}

TEST(pool, background_leaves_room_for_the_others) {
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
    EXPECT_EQ(p.busy.size(), 3U) << "the order gets a connection at once";
}

TEST(pool, keeps_statements_back_from_a_crowded_server_and_sends_urgent_ones_first) {
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
    EXPECT_EQ(p.limit.aimd_limit, 2U) << "half of what ran";
    ask(5, request_class::normal, 500);
    ask(6, request_class::normal, 250);
    ask(7, request_class::critical, 500);
    actions.clear();
    release_connection(p, 1, true, std::chrono::milliseconds{20}, now, next, actions);
    EXPECT_TRUE(actions.empty()) << "three still run";
    release_connection(p, 2, true, std::chrono::milliseconds{20}, now, next, actions);
    release_connection(p, 3, true, std::chrono::milliseconds{20}, now, next, actions);
    EXPECT_EQ(std::get<assign_connection>(actions.at(0)).request, 7U) << "the class goes first";
    actions.clear();
    statement_ended(p, 4, {.took = std::chrono::milliseconds{5}, .in_transaction = true}, now, next, actions);
    EXPECT_EQ(std::get<assign_connection>(actions.at(0)).request, 6U)
        << "a transaction at rest leaves its place, and the nearer deadline is next";
}

TEST(running_limit, halves_with_a_refusal_and_grows_back_while_answers_are_quick) {
    running_limit l;
    time_point now{std::chrono::seconds{1}};
    const auto answer_for_a_second = [&](duration took) {
        for (int i = 0; i < 100; ++i) {
            now += std::chrono::milliseconds{10};
            note_statement_answered(l, {.took = took, .klass = 1, .share = 12}, now);
        }
    };
    answer_for_a_second(std::chrono::milliseconds{20});
    EXPECT_TRUE(may_send(l, 1000)) << "there is none until a server complains";
    note_overload(l, 16, now);
    note_overload(l, 8, now + std::chrono::milliseconds{10});
    EXPECT_EQ(l.aimd_limit, 8U) << "refusals of one moment count once";
    answer_for_a_second(std::chrono::milliseconds{200});
    EXPECT_EQ(l.aimd_limit, 8U);
    answer_for_a_second(std::chrono::milliseconds{200});
    EXPECT_EQ(l.aimd_limit, 9U) << "slow answers: one step in 2 s";
    for (int i = 0; i < 3; ++i) {
        answer_for_a_second(std::chrono::milliseconds{20});
    }
    EXPECT_EQ(l.aimd_limit, 0U) << "quick answers end it";
    note_overload(l, 1, now);
    EXPECT_EQ(l.aimd_limit, 1U) << "never none";
}

TEST(running_limit, takes_no_class_of_longer_statements_for_a_crowd) {
    running_limit l;
    time_point now{std::chrono::seconds{1}};
    for (int i = 0; i < 400; ++i) {
        now += std::chrono::milliseconds{10};
        const std::size_t klass = i % 2 == 0 ? 0 : 1;
        note_statement_answered(
            l, {.took = std::chrono::milliseconds{klass == 0 ? 5 : 60}, .klass = klass, .share = 12}, now);
    }
    EXPECT_LT(l.slowdown, 1.2);
}

// The pattern: a primary alone, more work than it can do. Requests of two objectives come, and in the order
// of deadlines each would wait until it is late.
TEST(pool, of_more_work_than_can_be_done_the_patient_part_is_refused_and_the_quick_part_is_in_time) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    time_point now{std::chrono::seconds{1}};
    set_share(p, 1, now, next, actions);
    constexpr duration work = std::chrono::milliseconds{20};
    struct outcome {
        unsigned served = 0;
        unsigned refused_at_once = 0;
        unsigned waited_in_vain = 0;
    };
    std::map<request_number, std::pair<duration, time_point>> asked; // objective, when
    std::map<duration, outcome> outcomes;
    time_point free_at{};
    const auto take = [&] {
        for (const pool_action& a : std::exchange(actions, {})) {
            if (const auto* opened = std::get_if<open_connection>(&a)) {
                pool_actions more;
                connection_opened(p, opened->connection, now, next, more);
                actions.insert(actions.end(), more.begin(), more.end());
            } else if (const auto* use = std::get_if<assign_connection>(&a)) {
                ++outcomes[asked[use->request].first].served;
                free_at = now + work;
            } else if (const auto* refused = std::get_if<refuse_request>(&a)) {
                const auto& [objective, at] = asked[refused->request];
                ++(now - at < work ? outcomes[objective].refused_at_once
                                   : outcomes[objective].waited_in_vain);
            }
        }
    };
    request_number id = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        now += std::chrono::milliseconds{1};
        if (!p.busy.empty() && now >= free_at) {
            statement_ended(p, *p.busy.begin(), {.took = work}, now, next, actions);
            release_connection(p, *p.busy.begin(), true, work, now, next, actions);
        }
        // 40 requests a second of 200 ms and 25 of 400 ms, for a server that does 50.
        const bool quick = ms % 25 == 0;
        if (quick || ms % 40 == 7) {
            const duration objective = std::chrono::milliseconds{quick ? 200 : 400};
            asked[++id] = {objective, now};
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
    const outcome& quick = outcomes[std::chrono::milliseconds{200}];
    const outcome& patient = outcomes[std::chrono::milliseconds{400}];
    EXPECT_GE(quick.served, 395U) << "of 400";
    EXPECT_GE(quick.served + patient.served, 480U) << "of the 500 that the server can do";
    EXPECT_LE(patient.waited_in_vain, 50U) << "of 250: the others are served or told at once";
    EXPECT_GE(patient.refused_at_once, 50U);
}

TEST(pool, critical_work_is_sent_as_long_as_anybody_waits_for_it) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    const time_point now{std::chrono::seconds{1}};
    set_share(p, 1, now, next, actions);
    p.limit.response_times.fill({.smoothed = std::chrono::milliseconds{100}, .baseline = std::chrono::milliseconds{100}});
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
    EXPECT_FALSE(ask(1, request_class::normal)) << "its answer would come after 150 ms";
    EXPECT_TRUE(ask(2, request_class::critical));
}

TEST(pool, makes_single_attempts_while_the_server_has_no_room) {
    pool_state p;
    connection_number next = 1;
    pool_actions actions;
    time_point now{std::chrono::seconds{1}};
    set_share(p, 8, now, next, actions);
    unsigned attempts = 0;
    for (request_number i = 1; i <= 400; ++i) { // one each 5 ms
        now += std::chrono::milliseconds{5};
        request_connection(p, {.request = i, .deadline = now + std::chrono::seconds{5}}, now, next, actions);
        EXPECT_LE(p.opening.size(), 1U) << "but for the first, which knew nothing";
        while (!p.opening.empty()) {
            ++attempts;
            connection_limit_reached(p, *p.opening.begin(), now, next, actions);
        }
    }
    EXPECT_TRUE(is_server_full(p));
    EXPECT_LE(attempts, 13U) << "pauses of 200 ms in 2 s, shorter ones at first";
    try_open(p, now + std::chrono::seconds{1}, next, actions);
    ASSERT_EQ(p.opening.size(), 1U) << "also where no request waits";
    connection_opened(p, *p.opening.begin(), now, next, actions);
    EXPECT_FALSE(is_server_full(p));
}

TEST(pool, refuses_at_once_what_it_cannot_serve_in_time) {
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
    EXPECT_TRUE(actions.empty()) << "the nearer deadline goes before the others, and is in time";
    request_connection(p,
                       {.request = 13,
                        .deadline = now + std::chrono::seconds{9},
                        .answer_by = now + std::chrono::milliseconds{500}},
                       now, next, actions);
    ASSERT_EQ(actions.size(), 1U) << "it could wait, but would be late";
}

//-----------------------------------------------------------------------------
// [lease]
//-----------------------------------------------------------------------------

TEST(lease, a_grant_counts_only_once_its_revision_is_applied) {
    lease_state l;
    const time_point sent{std::chrono::seconds{5}};
    add_grant(l, sent, std::chrono::seconds{1}, 7, 6);
    EXPECT_FALSE(lease_is_live(l, sent));
    record_applied(l, 7);
    EXPECT_TRUE(lease_is_live(l, sent + std::chrono::milliseconds{989}));
    EXPECT_FALSE(lease_is_live(l, sent + std::chrono::milliseconds{991}));
}

TEST(lease, the_holder_stops_before_the_grantor_counts_it_out) {
    EXPECT_TRUE(rc::check([] {
        const duration nominal = std::chrono::milliseconds{*rc::gen::inRange(200, 60000)};
        // The holder's clock runs slow, the grantor's fast, by the bound together.
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

TEST(leave_times, count_from_the_last_renewal_before_control_agreed) {
    leave_deadlines t;
    const time_point start = std::chrono::seconds{100};
    record_answered_renewal(t, 4, start);
    record_answered_renewal(t, 4, start + std::chrono::seconds{1});
    record_answered_renewal(t, 6, start + std::chrono::seconds{2}); // control had agreed by then: it was revision 5
    EXPECT_EQ(update_leaving_servers(t, state_with_server(true), 5), std::vector<server_id>{{"s1"}});
    EXPECT_TRUE(update_leaving_servers(t, state_with_server(true), 7).empty()) << "learned once";
    const time_point end = start + std::chrono::seconds{1} + leave_time - leave_safety_margin;
    EXPECT_FALSE(leave_time_has_expired(t, {"s1"}, leave_time, end - duration{1}));
    EXPECT_TRUE(leave_time_has_expired(t, {"s1"}, leave_time, end));
    EXPECT_FALSE(leave_time_has_expired(t, {"s2"}, leave_time, end)) << "it does not leave";
}

TEST(leave_times, are_over_where_nothing_tells_when_they_began) {
    leave_deadlines t;
    update_leaving_servers(t, state_with_server(true), 1); // an instance that has just started
    EXPECT_TRUE(leave_time_has_expired(t, {"s1"}, leave_time, std::chrono::seconds{1}));
    update_leaving_servers(t, state_with_server(false), 2);
    EXPECT_FALSE(leave_time_has_expired(t, {"s1"}, leave_time, std::chrono::seconds{1}))
        << "the record is another one";
}

// Renewals and their replies are delayed at will and come in any order, the copy lags behind, control changes
// other things before and after, and the instance may have been cut off for long.
TEST(leave_times, never_begin_after_the_acknowledgement) {
    EXPECT_TRUE(rc::check([] {
        const auto agreed_at = time_point{std::chrono::milliseconds{*rc::gen::inRange(0, 5'000)}};
        const auto revision_at = [&](time_point at) {
            const auto other = static_cast<revision_number>(at / std::chrono::milliseconds{700});
            return 1 + other + (at >= agreed_at ? 1 : 0);
        };
        const revision_number agreed_as = revision_at(agreed_at);
        struct answered {
            time_point heard{};
            time_point sent{};
            revision_number revision = 0;
        };
        std::vector<answered> answers;
        for (int i = *rc::gen::inRange(0, 30); i > 0; --i) {
            const auto ms = [](int most) { return std::chrono::milliseconds{*rc::gen::inRange(0, most)}; };
            const time_point sent = ms(8'000);
            const time_point reached = sent + ms(1'000);
            answers.push_back({.heard = reached + ms(1'000), .sent = sent, .revision = revision_at(reached)});
        }
        std::sort(answers.begin(), answers.end(),
                  [](const answered& a, const answered& b) { return a.heard < b.heard; });
        const time_point learned = agreed_at + std::chrono::milliseconds{*rc::gen::inRange(0, 4'000)};
        leave_deadlines t;
        for (const answered& a : answers) {
            if (a.heard <= learned) {
                record_answered_renewal(t, a.revision, a.sent);
            }
        }
        const bool by_whole_state = *rc::gen::arbitrary<bool>();
        const auto first_new =
            by_whole_state ? *rc::gen::inRange<revision_number>(1, agreed_as + 1) : agreed_as;
        update_leaving_servers(t, state_with_server(true), first_new);
        RC_ASSERT(leave_time_has_expired(t, {"s1"}, leave_time, agreed_at + leave_time - leave_safety_margin));
    }));
}

//-----------------------------------------------------------------------------
// [statements and tokens]
//-----------------------------------------------------------------------------

TEST(statement, is_told_by_its_first_words) {
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

TEST(statement, a_read_without_parentheses_calls_nothing) {
    EXPECT_FALSE(may_call_functions("select value from t where key = 'k'"));
    EXPECT_TRUE(may_call_functions("select nextval('s')"));
}

TEST(statement, settings_are_read) {
    EXPECT_EQ(parse_setting("set larchpin.class = 'background';"),
              (setting_change{.name = "larchpin.class", .value = "background"}));
    EXPECT_EQ(parse_setting("SET LOCAL x TO 'it''s'"),
              (setting_change{.name = "x", .value = "it's", .local = true}));
    EXPECT_EQ(parse_setting("reset x"), (setting_change{.name = "x", .value = "", .reset = true}));
}

TEST(statement, any_text_is_classified_without_harm) {
    EXPECT_TRUE(rc::check([](const std::string& text) {
        classify_statement(text);
        parse_setting(text);
        unsupported_feature(text);
    }));
}

TEST(token, comes_back_as_it_was) {
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

TEST(health, a_failing_server_is_passed_over_and_comes_back_slowly) {
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

// The pattern: both replicas of a group are cut off for some seconds. Their failures must not keep reads on
// the primary once they are back: a server that gets no requests can show nothing better.
TEST(health, a_penalty_for_failures_wears_off_without_news) {
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
        << "within three times a usual primary";
    EXPECT_GE(expected_latency(h, now + std::chrono::hours{1}), std::chrono::milliseconds{20})
        << "what answers took is not forgotten";
}

// A crowded server's queue would make it look quick, and a dead one well.
TEST(health, a_request_that_goes_away_unanswered_says_nothing_of_its_server) {
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

TEST(health, retries_never_exceed_a_tenth_of_the_requests_for_long) {
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
