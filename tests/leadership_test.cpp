// Handing over the leadership of control, in virtual time: five control cores, of which some have event loops
// that are late.
//
// Index
//   [voters]  [tests]
#include "core/control_core.hpp"
#include "io/codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//-----------------------------------------------------------------------------
// [voters]
//-----------------------------------------------------------------------------

constexpr command_codec codec{.encode = encode_command,
                              .decode = decode_command,
                              .encode_state = encode_state,
                              .decode_state = decode_state};
constexpr duration tick_interval = milliseconds{10};
constexpr duration way = milliseconds{1};
constexpr duration sync_time = milliseconds{2};
constexpr std::size_t voter_count = 5;

struct voters {
    struct voter {
        control_core core;
        duration loop_delay{0};              // of each turn of its event loop
        std::vector<raft::message> received; // until the next turn
        time_point next_turn{};
    };

    std::mt19937_64 random{5};
    time_point now{seconds{100}};
    std::vector<voter> all{voter_count};
    std::multimap<time_point, std::function<void()>> events;
    std::vector<std::size_t> leaders; // each that led, in order
    std::size_t handed_over = 0;

    voters() {
        raft::configuration founders;
        for (std::size_t i = 0; i < voter_count; ++i) {
            founders.members.push_back(
                {.id = i + 1, .name = std::to_string(i), .address = std::to_string(i), .voter = true});
        }
        raft::settings timing;
        timing.heartbeat_interval = milliseconds{50};
        timing.election_timeout = milliseconds{300};
        for (std::size_t i = 0; i < voter_count; ++i) {
            all[i].core =
                make_control_core(codec, founders.members[i], timing, control_settings{}, {}, now, random);
            bootstrap(all[i].core, founders, now, random);
            pump(i);
        }
    }

    void run_for(duration time) {
        for (const time_point end = now + time; now < end; now += milliseconds{1}) {
            while (!events.empty() && events.begin()->first <= now) {
                const auto what = std::move(events.begin()->second);
                events.erase(events.begin());
                what();
            }
            for (std::size_t i = 0; i < voter_count; ++i) {
                turn(i);
            }
            check_leaders();
        }
    }

    // A late loop handles what has arrived and its timers all at once.
    void turn(std::size_t i) {
        voter& v = all[i];
        if (now < v.next_turn) {
            return;
        }
        const auto received = std::exchange(v.received, {});
        for (const raft::message& m : received) {
            step(v.core, m, now, random);
        }
        v.next_turn = now + tick_interval + v.loop_delay;
        record_loop_delay(v.core, v.loop_delay, now);
        tick(v.core, now, random);
        pump(i);
    }

    void pump(std::size_t i) {
        const control_output out = take_output(all[i].core);
        for (const control_action& action : out.actions) {
            const auto* report = std::get_if<report_event>(&action);
            handed_over += report != nullptr && report->event == "leadership_handed_over" ? 1 : 0;
        }
        const raft::output& log = out.consensus;
        if (log.records.empty() && log.messages.empty()) {
            return;
        }
        events.emplace(now + (log.records.empty() ? duration{0} : sync_time), [this, i, log] {
            on_persisted(all[i].core, log.persist_index, log.persist_term, now);
            for (const raft::message& m : log.messages) {
                events.emplace(now + way, [this, m] { all[m.to - 1].received.push_back(m); });
            }
            pump(i);
        });
    }

    void check_leaders() {
        std::size_t leading = 0;
        for (std::size_t i = 0; i < voter_count; ++i) {
            if (is_active_leader(all[i].core, now)) {
                ++leading;
                if (leaders.empty() || leaders.back() != i) {
                    leaders.push_back(i);
                }
            }
        }
        EXPECT_LE(leading, 1U);
    }

    [[nodiscard]] std::size_t leader() const { return leaders.back(); }
};

//-----------------------------------------------------------------------------
// [tests]
//-----------------------------------------------------------------------------

// Guards against a slow leader that keeps its place, because its heartbeats come in time and its answers do
// not.
TEST(leadership, late_leader_hands_over_to_voter_that_is_in_time) {
    voters site;
    site.run_for(seconds{12});
    ASSERT_EQ(site.leaders.size(), 1U);
    const std::size_t late = site.leader();
    const std::size_t also_late = (late + 1) % voter_count;
    site.all[late].loop_delay = milliseconds{200};
    site.all[also_late].loop_delay = milliseconds{150};
    site.run_for(seconds{2});
    EXPECT_EQ(site.handed_over, 1U);
    ASSERT_EQ(site.leaders.size(), 2U);
    EXPECT_NE(site.leader(), late);
    EXPECT_NE(site.leader(), also_late);
    EXPECT_TRUE(is_active_leader(site.all[site.leader()].core, site.now));
}

// Guards against two leaders at once: the successor may be elected while the lease of the old one would last.
TEST(leadership, leader_that_hands_over_leads_no_more) {
    voters site;
    site.run_for(seconds{12});
    control_core& old = site.all[site.leader()].core;
    ASSERT_TRUE(is_active_leader(old, site.now));
    ASSERT_TRUE(hand_over_leadership(old, site.now, site.random));
    EXPECT_FALSE(is_active_leader(old, site.now));
    EXPECT_FALSE(hand_over_leadership(old, site.now, site.random));
}

// Guards against a vacancy of leases: with the successor named, no vote waits for an election timeout.
TEST(leadership, successor_leads_before_an_election_timeout) {
    voters site;
    site.run_for(seconds{12});
    ASSERT_TRUE(hand_over_leadership(site.all[site.leader()].core, site.now, site.random));
    site.run_for(milliseconds{100});
    EXPECT_TRUE(is_active_leader(site.all[site.leader()].core, site.now));
    EXPECT_EQ(site.leaders.size(), 2U);
}

TEST(leadership, leader_with_single_pauses_keeps_it) {
    voters site;
    site.run_for(seconds{12});
    for (int i = 0; i < 20; ++i) {
        site.all[site.leader()].loop_delay = milliseconds{200};
        site.run_for(milliseconds{200});
        site.all[site.leader()].loop_delay = {};
        site.run_for(milliseconds{800});
    }
    EXPECT_EQ(site.handed_over, 0U);
    EXPECT_EQ(site.leaders.size(), 1U);
}

// Guards against a leadership that goes around without an end while all voters are slow.
TEST(leadership, is_handed_over_rarely_while_all_voters_are_late) {
    voters site;
    site.run_for(seconds{12});
    for (voters::voter& v : site.all) {
        v.loop_delay = milliseconds{120};
    }
    constexpr int lasting_s = 60;
    site.run_for(seconds{lasting_s});
    constexpr int least_s = 10; // between two
    EXPECT_LE(site.handed_over, static_cast<std::size_t>(lasting_s / least_s));
}

} // namespace
} // namespace larchpin
