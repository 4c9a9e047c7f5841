// Acknowledged commits over failovers, with real instances and servers of which one replica confirms each
// commit.
//
// Index
//   [fixture]  [unknown servers]  [the old primary]  [unreachable servers]
#include "platform_site.hpp"

#include <gtest/gtest.h>

namespace larchpin::testing {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [fixture]
//-----------------------------------------------------------------------------

// Long enough for several failovers one after another.
constexpr milliseconds several_failovers{2000};
constexpr const char* control = "daemon-1";

// Control and two instances that take callers, each in a failure domain of its own. s1 leads; the other
// servers receive its commits unless told otherwise.
struct acknowledged_site {
    platform_site s;
    unsigned writes = 0;

    acknowledged_site() {
        s.sync_replica_count = 1;
        s.start();
        for (fake_server& server : s.group.servers) {
            server.started = 1'780'000'000'000;
        }
        s.add_entry("z2");
        s.add_entry("z3");
        s.beat();
        write(5);
        s.run_for(milliseconds{700}); // positions are recorded
    }

    // Expects that each write is acknowledged.
    void write(unsigned count) {
        line_caller c = s.connect("strict");
        for (unsigned i = 0; i < count; ++i) {
            const answer a = c.ask("w" + std::to_string(++writes), "STORE k v");
            EXPECT_FALSE(a.done.empty()) << a.error;
        }
    }

    bool is_led_by(const std::string& id) {
        const group_record& group = s.daemons.front().core->cluster().groups.at({"svc"});
        return group.primary == server_id{id} && group.phase == group_phase::serving && group.term > 1;
    }

    // Returns true once the server leads and a write lands there.
    bool is_served_by(const std::string& id) {
        return s.run_until([&] { return is_led_by(id); }) && s.run_until([&] {
            line_caller c = s.connect("strict");
            return !c.ask("w" + std::to_string(++writes), "STORE k v").done.empty();
        });
    }

    // Servers go on reporting themselves.
    void run_for(milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{200}) {
            s.beat();
            s.run_for(milliseconds{200});
        }
    }
};

//-----------------------------------------------------------------------------
// [unknown servers]
//-----------------------------------------------------------------------------

// A replica confirmed commits that control had never heard of, and one that lacked them was promoted.
TEST(acknowledged_commits, of_a_replica_that_control_has_not_heard_of_are_waited_for) {
    acknowledged_site g;
    fake_server& unheard = g.s.add_server("s4");
    unheard.started = g.s.server("s1").started;
    unheard.heard_of = false;
    g.s.server("s2").follows = false;
    g.s.server("s3").follows = false;
    g.write(5);
    g.s.run_for(milliseconds{300});
    g.s.stop_server("s1");
    g.run_for(several_failovers);
    EXPECT_TRUE(g.s.promotions.empty()) << g.s.promotions.front().server;
    unheard.heard_of = true;
    g.s.beat();
    EXPECT_TRUE(g.is_served_by("s4"));
}

// A replica stopped receiving in the middle of a burst whose rest a replica confirmed that control had not
// heard of. The shorter log was promoted: the burst's commits had one lower bound.
TEST(acknowledged_commits, of_a_burst_are_waited_for_in_the_middle_of_which_a_replica_fell_silent) {
    constexpr unsigned callers = 6;
    acknowledged_site g;
    fake_server& unheard = g.s.add_server("s4");
    unheard.started = g.s.server("s1").started;
    unheard.heard_of = false;
    g.s.server("s3").follows = false;
    g.s.hold_commits("s1", true);
    std::list<line_caller> open;
    for (unsigned i = 0; i < callers; ++i) {
        open.emplace_back(g.s, g.s.daemons.back().entry_port);
        ASSERT_EQ(open.back().open("STARTUP strict somebody").state, "I");
        open.back().send("QUERY b" + std::to_string(i) + " STORE k v\r\n");
    }
    g.s.run_for(milliseconds{100}); // all are sent
    g.s.server("s2").follows_until = g.s.server("s1").applied + callers / 2;
    g.s.hold_commits("s1", false);
    for (line_caller& c : open) {
        EXPECT_FALSE(c.receive().done.empty());
    }
    g.s.run_for(milliseconds{300});
    g.s.stop_server("s1");
    g.run_for(several_failovers);
    EXPECT_TRUE(g.s.promotions.empty()) << g.s.promotions.front().server;
    unheard.heard_of = true;
    g.s.beat();
    EXPECT_TRUE(g.is_served_by("s4"));
}

// An instance acknowledged commits that such a replica had confirmed, and ended with the primary before its
// next renewal. No other process knew their position, and a replica without them was promoted.
TEST(acknowledged_commits, of_an_instance_that_ended_before_it_told_are_waited_for) {
    acknowledged_site g;
    g.s.add_entry_apart();
    fake_server& unheard = g.s.add_server("s4");
    unheard.started = g.s.server("s1").started;
    unheard.heard_of = false;
    g.write(1); // the instance has connections
    g.s.run_for(milliseconds{300});
    g.s.server("s2").follows = false;
    g.s.server("s3").follows = false;
    g.write(1);
    g.s.freeze_apart(true);
    g.s.stop_server("s1");
    g.run_for(2 * several_failovers);
    EXPECT_TRUE(g.s.promotions.empty()) << g.s.promotions.front().server;
    unheard.heard_of = true;
    g.s.beat();
    EXPECT_TRUE(g.s.run_until([&] { return g.is_led_by("s4"); }));
}

// With control out of reach no mark can be stored, and the commit must not be reported as done.
TEST(acknowledged_commits, whose_marks_nobody_can_store_are_in_doubt) {
    acknowledged_site g;
    line_caller c = g.s.connect("strict");
    EXPECT_FALSE(c.ask("w", "STORE k v").done.empty());
    g.s.freeze_control();
    const answer a = c.ask("x", "STORE k v");
    EXPECT_TRUE(a.error.starts_with("INDOUBT")) << a.error << a.done;
}

//-----------------------------------------------------------------------------
// [the old primary]
//-----------------------------------------------------------------------------

// The primary came back with its log and reported a later start; nobody led the group any more.
TEST(acknowledged_commits, are_served_again_once_the_primary_is_back_with_its_log) {
    acknowledged_site g;
    g.s.server("s3").follows = false;
    g.write(5);
    g.s.stop_server("s2"); // the only replica that holds them
    g.s.stop_server("s1");
    g.run_for(several_failovers);
    EXPECT_TRUE(g.s.promotions.empty());
    g.s.start_server_again("s1", true);
    g.s.beat();
    EXPECT_TRUE(g.is_served_by("s1"));
}

// An empty process under the primary's id was taken for the primary with its log.
TEST(acknowledged_commits, are_not_given_up_for_a_primary_that_is_back_empty) {
    acknowledged_site g;
    g.s.server("s3").follows = false;
    g.write(5);
    g.s.stop_server("s2");
    g.s.stop_server("s1");
    g.run_for(milliseconds{600});
    g.s.start_server_again("s1", false);
    g.run_for(several_failovers);
    EXPECT_TRUE(g.s.promotions.empty());
    g.s.start_server_again("s2", true);
    g.s.beat();
    EXPECT_TRUE(g.is_served_by("s2"));
}

//-----------------------------------------------------------------------------
// [unreachable servers]
//-----------------------------------------------------------------------------

// A replica that had started again empty, unseen by control, and had received everything anew was no evidence
// for good.
TEST(acknowledged_commits, are_served_by_a_replica_that_received_them_anew) {
    acknowledged_site g;
    g.s.server("s2").heard_of = false;
    g.s.server("s2").started += 5'000;
    g.s.server("s2").applied = 0;
    g.s.server("s3").follows = false;
    g.write(5); // s2 has received them
    g.s.run_for(milliseconds{300});
    g.s.stop_server("s1");
    g.s.server("s2").heard_of = true;
    g.s.beat();
    EXPECT_TRUE(g.is_served_by("s2"));
}

// One replica was lost with the primary, and the other one waited for its answer though it held everything.
TEST(acknowledged_commits, are_served_by_a_log_that_reaches_them_without_further_answers) {
    acknowledged_site g;
    g.write(5);
    g.s.stop_server("s3");
    g.s.stop_server("s1");
    EXPECT_TRUE(g.is_served_by("s2"));
}

// Writes waited for the end of a cut between control and a replica that held nothing more than the others.
TEST(acknowledged_commits, do_not_wait_for_a_replica_that_only_control_cannot_reach) {
    acknowledged_site g;
    g.write(5);
    g.s.server("s3").cut_from = control;
    g.s.stop_server("s1");
    EXPECT_TRUE(g.is_served_by("s2"));
}

// The only replica that held the commits could not be reached by control, though the instances reached it.
TEST(acknowledged_commits, are_served_by_a_replica_that_only_instances_reach) {
    acknowledged_site g;
    g.s.server("s3").follows = false;
    g.s.server("s2").cut_from = control;
    g.write(5);
    g.s.stop_server("s1");
    EXPECT_TRUE(g.is_served_by("s2"));
}

} // namespace
} // namespace larchpin::testing
