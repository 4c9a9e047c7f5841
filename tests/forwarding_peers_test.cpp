// Selection of forwarding peers by an instance without a connection to the backend server.
#include "core/forwarding_peers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

const server_id server{"s1"};
const std::vector<forwarding_peer> candidates{{"a1", false}, {"a2", false}, {"b1", true}, {"b2", true},
                                              {"c1", true},  {"c2", true},  {"c3", true}};

struct peer_selection {
    forwarding_peer_tracker tracker;
    std::mt19937_64 random{1};
    time_point now{std::chrono::seconds{10}};
    std::vector<std::string> order() {
        return order_forwarding_peers(tracker, server, candidates, now, random);
    }
};

TEST(forwarding_peers, local_peers_come_first_and_silent_ones_last) {
    peer_selection a;
    mark_silent(a.tracker, "a1", a.now);
    EXPECT_EQ(a.order().front(), "a2");
    EXPECT_EQ(a.order().back(), "a1") << "a silent peer comes last";
    EXPECT_TRUE(mark_responsive(a.tracker, "a1"));
    EXPECT_FALSE(mark_responsive(a.tracker, "a1"));
    EXPECT_TRUE(a.order()[0] == "a1" || a.order()[1] == "a1");
    a.tracker.last_forwarding_peer[server] = "c2";
    EXPECT_EQ(a.order().front(), "c2");
}

// 400 requests in a second while one of seven instances has a connection to the server.
TEST(forwarding_peers, peer_with_a_connection_is_found_with_few_requests) {
    peer_selection a;
    unsigned questions = 0;
    unsigned served = 0;
    for (int request = 0; request < 400; ++request) {
        a.now += milliseconds{2} + std::chrono::microseconds{500};
        for (const std::string& address : a.order()) {
            ++questions;
            if (address == "c1") {
                a.tracker.last_forwarding_peer[server] = address;
                ++served;
                break;
            }
            mark_without_connection(a.tracker, server, address, a.now);
        }
    }
    EXPECT_EQ(served, 400U);
    EXPECT_LE(questions, 400U + 7U);
}

TEST(forwarding_peers, one_peer_is_tried_per_request_if_none_has_a_connection) {
    peer_selection a;
    unsigned questions = 0;
    std::set<std::string> asked;
    for (int request = 0; request < 400; ++request) {
        a.now += milliseconds{2} + std::chrono::microseconds{500};
        for (const std::string& address : a.order()) {
            ++questions;
            asked.insert(address);
            mark_without_connection(a.tracker, server, address, a.now);
        }
    }
    EXPECT_LE(questions, 480U) << "about one per request, not five";
    EXPECT_EQ(asked.size(), candidates.size());
}

// A network partition of seconds between this instance and a peer: requests stay unanswered until their
// deadlines.
TEST(forwarding_peers, partitioned_peer_is_silent_until_it_answers_a_ping) {
    forwarding_peer_tracker b;
    time_point at{std::chrono::seconds{10}};
    const std::string lost = "10.0.0.1:1";
    record_request(b, lost, at);
    at += reachability_timeout / 2;
    EXPECT_TRUE(take_due_pings(b, at).empty()) << "a normal answer may take this long";
    at += reachability_timeout;
    EXPECT_EQ(take_due_pings(b, at), std::vector<std::string>{lost});
    EXPECT_TRUE(is_silent(b, lost, at));
    for (int i = 0; i < 100; ++i) {
        at += std::chrono::milliseconds{50};
        take_due_pings(b, at);
        EXPECT_TRUE(is_silent(b, lost, at)) << "the peer stays silent until it answers a ping";
    }
    EXPECT_TRUE(mark_responsive(b, lost));
    EXPECT_FALSE(is_silent(b, lost, at));
    EXPECT_TRUE(take_due_pings(b, at + std::chrono::seconds{1}).empty());
}

TEST(forwarding_peers, are_ordered_by_rank) {
    forwarding_peer_tracker b;
    std::mt19937_64 random(1);
    const std::vector<forwarding_peer> homes{{.address = "a", .rank = 7},
                                             {.address = "b", .rank = 3},
                                             {.address = "c", .in_other_domain = true, .rank = 1}};
    const time_point at{std::chrono::seconds{10}};
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(order_forwarding_peers(b, {"s"}, homes, at, random),
                  (std::vector<std::string>{"b", "a", "c"}));
    }
    mark_silent(b, "b", at);
    EXPECT_EQ(order_forwarding_peers(b, {"s"}, homes, at, random).front(), "a");
}

} // namespace
} // namespace larchpin
