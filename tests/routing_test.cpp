// Tests of read routing for servers that enforce a floor.
//
// Index
//   [fixture]  [floors]  [leaving]  [choice]
#include "core/routing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [fixture]
//-----------------------------------------------------------------------------

constexpr time_point start = std::chrono::seconds{100};

// A group with a primary "p", whose position has advanced by one every 10 ms since `start`, and replicas "a"
// and "b".
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

TEST(floor, is_the_lowest_position_within_the_staleness_bound) {
    routing_fixture g;
    EXPECT_EQ(required_position(g.view, g.session, g.context), 150U);
    g.session.positions.written = session_token{.group = {"g"}, .term = 1, .position = 290};
    EXPECT_EQ(required_position(g.view, g.session, g.context), 290U)
        << "the session's own writes are covered too";
}

TEST(floor, is_fetched_from_the_primary_if_no_recent_position_is_known) {
    routing_fixture g;
    g.context.now += std::chrono::seconds{2};
    g.context.arrived_at = g.context.now;
    EXPECT_EQ(g.route().kind, target_kind::fetch_primary_position);
    g.context.lease_live = false;
    EXPECT_EQ(g.route().kind, target_kind::refuse) << "without a lease it may have been replaced";
}

TEST(floor, covers_every_write_older_than_the_staleness_bound) {
    EXPECT_TRUE(rc::check([](std::uint16_t staleness, std::uint16_t later) {
        routing_fixture g;
        g.context.staleness = milliseconds{staleness % 3000 + 1};
        g.context.now += milliseconds{later % 500};
        g.context.arrived_at = g.context.now;
        const auto floor = required_position(g.view, g.session, g.context);
        // Position i was reached at 10 * i ms; the floor must cover it once it is older than the staleness
        // bound.
        const auto required = (g.context.now - g.context.staleness - start) / milliseconds{10};
        RC_ASSERT(!floor || static_cast<std::int64_t>(*floor) >= std::min<std::int64_t>(required, 299));
    }));
}

TEST(leaving, primary_serves_until_its_deadline_and_requests_then_get_server_left) {
    routing_fixture g;
    g.view.servers[0].leaving = true;
    EXPECT_EQ(route_write(g.view, true).kind, target_kind::server) << "no other server has taken over yet";
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

TEST(choice, skips_replicas_that_lag_too_far) {
    routing_fixture g;
    g.add_replica_sample("a", 20);
    g.add_replica_sample("b", 200);
    for (int i = 0; i < 20; ++i) {
        const routing_decision d = g.route();
        EXPECT_EQ(d.server, server_id{"b"});
        EXPECT_EQ(d.floor, 150U);
    }
}

TEST(choice, reads_from_the_primary_if_no_replica_is_likely_to_qualify) {
    routing_fixture g;
    g.add_replica_sample("a", 20);
    g.add_replica_sample("b", 20);
    EXPECT_EQ(g.route().server, server_id{"p"});
    EXPECT_TRUE(g.route().is_primary);
}

TEST(choice, retries_a_replica_once_its_known_position_is_old) {
    routing_fixture g;
    g.add_replica_sample("a", 20);
    g.add_replica_sample("b", 20);
    g.context.now += routing_settings{}.position_max_age + milliseconds{1};
    g.context.arrived_at = g.context.now;
    EXPECT_FALSE(g.route().is_primary);
}

TEST(choice, moves_reads_from_overloaded_replicas_to_an_idle_primary) {
    routing_fixture g;
    EXPECT_FALSE(g.route().is_primary);
    g.view.servers[1].outstanding = 12;
    g.view.servers[2].outstanding = 12;
    EXPECT_TRUE(g.route().is_primary);
    g.view.servers[0].outstanding = 6;
    EXPECT_FALSE(g.route().is_primary) << "the primary has requests of its own";
    g.view.servers[0].outstanding = 0;
    g.context.lease_live = false;
    EXPECT_FALSE(g.route().is_primary);
}

TEST(choice, waits_only_briefly_for_a_missing_lease) {
    const duration wait_limit = milliseconds{250};
    EXPECT_EQ(max_wait_after(result_code::no_primary, wait_limit), wait_limit)
        << "all instances miss the primary";
    EXPECT_LT(max_wait_after(result_code::no_lease, wait_limit), wait_limit / 4);
    EXPECT_LE(max_wait_after(result_code::no_lease, milliseconds{10}), milliseconds{10});
}

// With many workspaces that each send few requests, a read sent to either replica at random would find an
// open connection of its workspace half as often.
TEST(choice, keeps_a_workspace_on_one_replica_unless_it_is_clearly_slower) {
    routing_fixture g;
    g.add_replica_sample("a", 290);
    g.add_replica_sample("b", 290);
    std::map<server_id, int> preferred_counts;
    for (int w = 0; w < 100; ++w) {
        g.session.workspace = {"w" + std::to_string(w)};
        const server_id first = g.route().server;
        ++preferred_counts[first];
        for (int i = 0; i < 10; ++i) {
            EXPECT_EQ(g.route().server, first);
        }
    }
    EXPECT_GT(preferred_counts[{"a"}], 30);
    EXPECT_GT(preferred_counts[{"b"}], 30);
    for (server_view& s : g.view.servers) {
        s.latency = s.id.value == "a" ? milliseconds{50} : milliseconds{10};
    }
    for (int w = 0; w < 100; ++w) {
        g.session.workspace = {"w" + std::to_string(w)};
        EXPECT_NE(g.route().server.value, "a") << "replica a is five times slower";
    }
}

} // namespace
} // namespace larchpin
