// Whom an instance without membership asks to add it.
#include "core/join_search.hpp"

#include <gtest/gtest.h>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string own = "10.0.0.1:1";
const std::vector<std::string> configured{"10.0.0.2:1", own, "10.0.0.3:1"};

struct joining_instance {
    join_search search;
    time_point now{seconds{100}};

    // Waits until a request is due, at most a second.
    std::string ask() {
        for (const time_point end = now + seconds{1}; now < end; now += milliseconds{10}) {
            if (const auto address = choose_join_address(search, configured, own, now)) {
                return *address;
            }
        }
        return "";
    }
};

TEST(join_search, asks_the_leader_that_a_follower_names) {
    joining_instance i;
    EXPECT_EQ(i.ask(), "10.0.0.2:1");
    record_join_answer(i.search, "10.0.0.2:1", result_code::not_leader, "10.0.0.9:1");
    EXPECT_EQ(i.ask(), "10.0.0.9:1");
    record_join_answer(i.search, "10.0.0.9:1", result_code::ok, "");
    EXPECT_EQ(i.ask(), "10.0.0.9:1") << "until it is a member";
}

TEST(join_search, asks_all_configured_instances_but_itself_in_turn) {
    joining_instance i;
    EXPECT_EQ(i.ask(), "10.0.0.2:1");
    record_join_answer(i.search, "10.0.0.2:1", result_code::not_leader, "");
    EXPECT_EQ(i.ask(), "10.0.0.3:1");
    record_join_unanswered(i.search, "10.0.0.3:1");
    EXPECT_EQ(i.ask(), "10.0.0.2:1");
}

TEST(join_search, leader_that_does_not_answer_is_forgotten) {
    joining_instance i;
    record_join_answer(i.search, i.ask(), result_code::not_leader, "10.0.0.9:1");
    EXPECT_EQ(i.ask(), "10.0.0.9:1");
    record_join_unanswered(i.search, "10.0.0.9:1");
    EXPECT_EQ(i.ask(), "10.0.0.3:1");
}

// Followers name the instance's own address while its lost identity counts as the leader.
TEST(join_search, never_asks_itself) {
    joining_instance i;
    for (int n = 0; n < 10; ++n) {
        const std::string address = i.ask();
        EXPECT_NE(address, own);
        EXPECT_NE(address, "");
        record_join_answer(i.search, address, result_code::not_leader, own);
    }
}

// A leader that was replaced writes to the instance's address for a while.
TEST(join_search, leader_of_an_older_term_is_ignored) {
    joining_instance i;
    record_leader_seen(i.search, "10.0.0.9:1", 7);
    record_leader_seen(i.search, "10.0.0.8:1", 6);
    EXPECT_EQ(i.ask(), "10.0.0.9:1");
}

// Two instances that name each other as the leader are not asked without a pause.
TEST(join_search, requests_are_bounded_when_hints_go_in_a_circle) {
    joining_instance i;
    const time_point end = i.now + seconds{10};
    std::size_t asked = 0;
    for (; i.now < end; i.now += milliseconds{1}) {
        if (const auto address = choose_join_address(i.search, configured, own, i.now)) {
            ++asked;
            record_join_answer(i.search, *address, result_code::not_leader,
                               *address == "10.0.0.2:1" ? "10.0.0.3:1" : "10.0.0.2:1");
        }
    }
    EXPECT_LE(asked, static_cast<std::size_t>(seconds{10} / hinted_join_interval));
}

} // namespace
} // namespace larchpin
