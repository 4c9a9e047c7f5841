// Whom an instance asks for a connection that it does not have.
#include "core/lenders.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

const server_id server{"s1"};
const std::vector<lender> seven{{"a1", false}, {"a2", false}, {"b1", true}, {"b2", true},
                                {"c1", true},  {"c2", true},  {"c3", true}};

struct asking {
    lender_book book;
    std::mt19937_64 random{1};
    time_point now{std::chrono::seconds{10}};
    std::vector<std::string> order() { return order_lenders(book, server, seven, now, random); }
};

TEST(lenders, near_ones_come_first_and_silent_ones_last) {
    asking a;
    note_silent(a.book, "a1", a.now);
    EXPECT_EQ(a.order().front(), "a2");
    EXPECT_EQ(a.order().back(), "a1") << "before far ones, once it is heard again";
    EXPECT_TRUE(note_heard(a.book, "a1"));
    EXPECT_FALSE(note_heard(a.book, "a1"));
    EXPECT_TRUE(a.order()[0] == "a1" || a.order()[1] == "a1");
    a.book.lent_last[server] = "c2";
    EXPECT_EQ(a.order().front(), "c2");
}

// The pattern: 400 requests in a second, and one of seven instances has a connection to the server.
TEST(lenders, the_one_that_has_a_connection_is_found_with_few_questions) {
    asking a;
    unsigned questions = 0;
    unsigned served = 0;
    for (int request = 0; request < 400; ++request) {
        a.now += milliseconds{2} + std::chrono::microseconds{500};
        for (const std::string& address : a.order()) {
            ++questions;
            if (address == "c1") {
                a.book.lent_last[server] = address;
                ++served;
                break;
            }
            note_without_connection(a.book, server, address, a.now);
        }
    }
    EXPECT_EQ(served, 400U);
    EXPECT_LE(questions, 400U + 7U);
}

TEST(lenders, where_nobody_has_one_each_request_asks_one_and_each_lender_is_asked_now_and_then) {
    asking a;
    unsigned questions = 0;
    std::set<std::string> asked;
    for (int request = 0; request < 400; ++request) {
        a.now += milliseconds{2} + std::chrono::microseconds{500};
        for (const std::string& address : a.order()) {
            ++questions;
            asked.insert(address);
            note_without_connection(a.book, server, address, a.now);
        }
    }
    EXPECT_LE(questions, 480U) << "five for each request before";
    EXPECT_EQ(asked.size(), seven.size());
}

// A cut between this instance and a lender, for seconds: questions stay open until their deadlines.
TEST(lenders, behind_a_cut_cost_the_requests_of_a_quarter_of_a_second_only) {
    lender_book b;
    time_point at{std::chrono::seconds{10}};
    const std::string lost = "10.0.0.1:1";
    note_asked(b, lost, at);
    at += reach_patience / 2;
    EXPECT_TRUE(take_pings(b, at).empty()) << "a usual answer may take so long";
    at += reach_patience;
    EXPECT_EQ(take_pings(b, at), std::vector<std::string>{lost});
    EXPECT_TRUE(is_silent(b, lost, at));
    for (int i = 0; i < 100; ++i) {
        at += std::chrono::milliseconds{50};
        take_pings(b, at);
        EXPECT_TRUE(is_silent(b, lost, at)) << "as long as no ping is answered";
    }
    EXPECT_TRUE(note_heard(b, lost));
    EXPECT_FALSE(is_silent(b, lost, at));
    EXPECT_TRUE(take_pings(b, at + std::chrono::seconds{1}).empty());
}

TEST(lenders, are_asked_in_the_order_of_their_ranks_where_they_have_some) {
    lender_book b;
    std::mt19937_64 random(1);
    const std::vector<lender> homes{
        {.address = "a", .rank = 7}, {.address = "b", .rank = 3}, {.address = "c", .far = true, .rank = 1}};
    const time_point at{std::chrono::seconds{10}};
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(order_lenders(b, {"s"}, homes, at, random), (std::vector<std::string>{"b", "a", "c"}));
    }
    note_silent(b, "b", at);
    EXPECT_EQ(order_lenders(b, {"s"}, homes, at, random).front(), "a");
}

} // namespace
} // namespace larchpin
