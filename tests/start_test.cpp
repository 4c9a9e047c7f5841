// Callers that come in the first second of a start.
//
// Index
//   [openings]  [a site]
#include "core/opening.hpp"
#include "platform_site.hpp"

#include <gtest/gtest.h>

namespace larchpin::testing {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [openings]
//-----------------------------------------------------------------------------

const time_point start_time{std::chrono::seconds{100}};

start_state just_started() {
    return {.started_at = start_time,
            .usual_start = milliseconds{1200},
            .takes_sessions = false,
            .had_lease = false,
            .waiting = 0};
}

// Everything has started anew: refused at once, callers use up three tries before anybody holds a lease.
TEST(openings, wait_for_the_first_lease_of_a_start) {
    start_state s = just_started();
    const time_point asked = start_time + milliseconds{100};
    EXPECT_EQ(judge_opening(s, asked, asked), opening_verdict::waits);
    EXPECT_EQ(judge_opening(s, asked, asked + milliseconds{199}), opening_verdict::waits);
    s.takes_sessions = true;
    EXPECT_EQ(judge_opening(s, asked, asked + milliseconds{150}), opening_verdict::taken);
}

// One that waits in vain has most of a second's deadline left for another instance.
TEST(openings, wait_no_longer_than_callers_in_a_hurry_hope_for) {
    const time_point asked = start_time + milliseconds{100};
    EXPECT_EQ(judge_opening(just_started(), asked, asked + opening_patience), opening_verdict::refused);
    EXPECT_LE(opening_patience, milliseconds{200});
}

TEST(openings, are_refused_at_once_by_an_instance_that_is_cut_off_alone) {
    start_state lost = just_started();
    lost.had_lease = true;
    EXPECT_EQ(judge_opening(lost, start_time, start_time), opening_verdict::refused) << "it had a lease";
    const time_point late = start_time + milliseconds{1200};
    EXPECT_EQ(judge_opening(just_started(), late, late), opening_verdict::refused)
        << "others have started by now";
    EXPECT_EQ(opening_wait_end(just_started(), late - milliseconds{100}), late)
        << "and nobody waits beyond that";
}

TEST(openings, so_many_wait_and_no_more) {
    start_state s = just_started();
    s.waiting = max_waiting_openings - 1;
    EXPECT_EQ(judge_opening(s, start_time, start_time), opening_verdict::waits);
    s.waiting = max_waiting_openings;
    EXPECT_EQ(judge_opening(s, start_time, start_time), opening_verdict::refused);
}

//-----------------------------------------------------------------------------
// [a site]
//-----------------------------------------------------------------------------

TEST(start, a_session_that_comes_before_the_first_lease_is_opened_with_it) {
    platform_site s;
    s.start();
    s.freeze_control();
    site_daemon& entry = s.start_entry();
    line_caller c(s, entry.entry_port);
    c.send("STARTUP shop somebody\r\n");
    s.run_for(milliseconds{100});
    s.thaw_control();
    const answer opened = c.receive();
    EXPECT_EQ(opened.state, "I") << opened.error;
    EXPECT_FALSE(c.ask("w", "STORE k v").done.empty());
}

TEST(start, a_session_is_refused_where_no_lease_comes) {
    platform_site s;
    s.start();
    s.freeze_control();
    site_daemon& entry = s.start_entry();
    line_caller c(s, entry.entry_port);
    c.send("STARTUP shop somebody\r\n");
    const answer refused = c.receive();
    EXPECT_TRUE(refused.error.starts_with("BUSY")) << refused.error;
}

TEST(start, a_caller_that_leaves_while_it_waits_leaves_nothing_behind) {
    platform_site s;
    s.start();
    s.freeze_control();
    site_daemon& entry = s.start_entry();
    {
        line_caller c(s, entry.entry_port);
        c.send("STARTUP shop somebody\r\n");
        s.run_for(milliseconds{50});
        c.close();
    }
    s.run_for(milliseconds{50});
    s.thaw_control();
    EXPECT_TRUE(s.run_until([&] { return entry.core->is_ready(); }));
    line_caller c(s, entry.entry_port);
    EXPECT_EQ(c.open("STARTUP shop somebody").state, "I");
}

} // namespace
} // namespace larchpin::testing
