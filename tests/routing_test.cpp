// Which server a read goes to where servers enforce a floor.
//
// Index
//   [a group]  [floors]  [leaving]  [choice]
#include "core/routing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [a group]
//-----------------------------------------------------------------------------

constexpr time_point start = std::chrono::seconds{100};

// A primary "p" that has gained one position every 10 ms since `start`, and replicas "a" and "b".
struct routing_fixture {
    group_positions positions;
    group_view view;
    session_state session;
    read_context context;
    std::mt19937_64 random{1};

    routing_fixture() {
        view.record = {.id = {"g"}, .term = 1, .primary = {"p"}, .timeline = 1, .term_starts = {{.term = 1}}};
        view.positions = &positions;
        view.servers_enforce_floor = true;
        for (const char* id : {"p", "a", "b"}) {
            view.servers.push_back({.id = {id}, .latency = milliseconds{10}});
        }
        for (int i = 0; i < 300; ++i) {
            add_primary_sample(positions, 1,
                               {.not_before = start + milliseconds{10 * i},
                                .timeline = 1,
                                .position = static_cast<log_position>(i)});
        }
        context.now = start + milliseconds{3000};
        context.arrived_at = context.now;
        context.staleness = milliseconds{1500};
        context.lease_live = true;
        session.group = {"g"};
    }

    void add_replica_sample(const std::string& id, log_position position) {
        add_server_sample(positions, {id}, {.not_before = context.now, .timeline = 1, .position = position},
                          context.now);
    }

    routing_decision route() { return route_read(view, session, context, {}, random); }
};

//-----------------------------------------------------------------------------
// [floors]
//-----------------------------------------------------------------------------

TEST(floor, is_the_lowest_position_that_gives_the_stated_age) {
    routing_fixture g;
    EXPECT_EQ(required_position(g.view, g.session, g.context), 150U);
    g.session.written = session_token{.group = {"g"}, .term = 1, .position = 290};
    EXPECT_EQ(required_position(g.view, g.session, g.context), 290U) << "and the session's own writes";
}

TEST(floor, without_a_position_that_is_new_enough_the_primary_is_asked) {
    routing_fixture g;
    g.context.now += std::chrono::seconds{2};
    g.context.arrived_at = g.context.now;
    EXPECT_EQ(g.route().kind, target_kind::fetch_primary_position);
    g.context.lease_live = false;
    EXPECT_EQ(g.route().kind, target_kind::refuse) << "nobody knows whether it still is the primary";
}

TEST(floor, covers_every_write_that_is_older_than_the_stated_age) {
    EXPECT_TRUE(rc::check([](std::uint16_t staleness, std::uint16_t later) {
        routing_fixture g;
        g.context.staleness = milliseconds{staleness % 3000 + 1};
        g.context.now += milliseconds{later % 500};
        g.context.arrived_at = g.context.now;
        const auto floor = required_position(g.view, g.session, g.context);
        // Position i was reached at 10 * i ms; it is owed once it is older than the age.
        const auto owed = (g.context.now - g.context.staleness - start) / milliseconds{10};
        RC_ASSERT(!floor || static_cast<std::int64_t>(*floor) >= std::min<std::int64_t>(owed, 299));
    }));
}

TEST(leaving, a_primary_serves_until_its_time_is_over_and_is_then_named_in_the_refusal) {
    routing_fixture g;
    g.view.servers[0].leaving = true;
    EXPECT_EQ(route_write(g.view, true).kind, target_kind::server) << "nobody has taken over yet";
    g.view.servers[0].leave_deadline_passed = true;
    EXPECT_EQ(route_write(g.view, true).code, result_code::server_left);
    g.add_replica_sample("a", 299);
    g.add_replica_sample("b", 299);
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(g.route().server, server_id{"p"});
    }
    g.view.servers[1].leaving = true;
    g.view.servers[2].leaving = true;
    EXPECT_EQ(g.route().code, result_code::server_left);
}

//-----------------------------------------------------------------------------
// [choice]
//-----------------------------------------------------------------------------

TEST(choice, a_replica_that_lags_too_far_is_not_asked) {
    routing_fixture g;
    g.add_replica_sample("a", 20);
    g.add_replica_sample("b", 200);
    for (int i = 0; i < 20; ++i) {
        const routing_decision d = g.route();
        EXPECT_EQ(d.server, server_id{"b"});
        EXPECT_EQ(d.floor, 150U);
    }
}

TEST(choice, where_no_replica_is_likely_to_do_the_primary_reads) {
    routing_fixture g;
    g.add_replica_sample("a", 20);
    g.add_replica_sample("b", 20);
    EXPECT_EQ(g.route().server, server_id{"p"});
    EXPECT_TRUE(g.route().is_primary);
}

TEST(choice, a_replica_is_asked_again_once_what_was_heard_of_it_is_old) {
    routing_fixture g;
    g.add_replica_sample("a", 20);
    g.add_replica_sample("b", 20);
    g.context.now += routing_settings{}.position_max_age + milliseconds{1};
    g.context.arrived_at = g.context.now;
    EXPECT_FALSE(g.route().is_primary);
}

TEST(choice, an_idle_primary_takes_reads_over_from_replicas_that_are_crowded) {
    routing_fixture g;
    EXPECT_FALSE(g.route().is_primary);
    g.view.servers[1].outstanding = 12;
    g.view.servers[2].outstanding = 12;
    EXPECT_TRUE(g.route().is_primary);
    g.view.servers[0].outstanding = 6;
    EXPECT_FALSE(g.route().is_primary) << "it has its own work";
    g.view.servers[0].outstanding = 0;
    g.context.lease_live = false;
    EXPECT_FALSE(g.route().is_primary);
}

TEST(choice, what_another_instance_may_know_better_is_not_waited_for_long) {
    const duration patience = milliseconds{250};
    EXPECT_EQ(max_wait_after(result_code::no_primary, patience), patience) << "all instances wait for the same";
    EXPECT_LT(max_wait_after(result_code::no_lease, patience), patience / 4);
    EXPECT_LE(max_wait_after(result_code::no_lease, milliseconds{10}), milliseconds{10});
}

// Many workspaces, each of which asks seldom: a read that went to either replica would find a connection of
// its workspace half as often.
TEST(choice, of_a_workspaces_replica_is_the_same_as_long_as_it_is_not_clearly_slower) {
    routing_fixture g;
    g.add_replica_sample("a", 290);
    g.add_replica_sample("b", 290);
    std::map<server_id, int> firsts;
    for (int w = 0; w < 100; ++w) {
        g.session.workspace = {"w" + std::to_string(w)};
        const server_id first = g.route().server;
        ++firsts[first];
        for (int i = 0; i < 10; ++i) {
            EXPECT_EQ(g.route().server, first);
        }
    }
    EXPECT_GT(firsts[{"a"}], 30);
    EXPECT_GT(firsts[{"b"}], 30);
    for (server_view& s : g.view.servers) {
        s.latency = s.id.value == "a" ? milliseconds{50} : milliseconds{10};
    }
    for (int w = 0; w < 100; ++w) {
        g.session.workspace = {"w" + std::to_string(w)};
        EXPECT_NE(g.route().server.value, "a") << "five times as slow";
    }
}

} // namespace
} // namespace larchpin
