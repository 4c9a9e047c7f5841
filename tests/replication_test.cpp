// What a leader of the control log sends to its peers, counted in entries: each byte of it crosses failure
// domains.
//
// Index
//   [three nodes]  [tests]
#include "core/raft.hpp"

#include <gtest/gtest.h>

#include <array>
#include <map>

namespace larchpin::raft {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [three nodes]
//-----------------------------------------------------------------------------

// Nodes 1, 2 and 3 with 1 ms between them. A node may hang (it takes no message) or come without anything.
struct three_node_cluster {
    std::map<node_id, state> nodes;
    std::map<node_id, bool> hung;
    std::map<node_id, std::vector<message>> held_messages; // for a node that hangs
    std::multimap<time_point, message> in_flight;
    std::map<node_id, std::size_t> entries_sent;   // to each
    std::map<node_id, std::size_t> snapshots_sent; // to each
    std::mt19937_64 random{7};
    time_point now{std::chrono::seconds{10}};
    settings timing{.heartbeat_interval = milliseconds{50}, .election_timeout = milliseconds{300}};

    static constexpr std::array<node_id, 3> ids{1, 2, 3};

    three_node_cluster() {
        configuration founders;
        for (const node_id id : ids) {
            founders.members.push_back(
                {.id = id, .name = std::to_string(id), .address = std::to_string(id), .voter = true});
        }
        for (const node_id id : ids) {
            nodes[id] = make_state(id, timing, {}, now, random);
            bootstrap(nodes[id], founders, now, random);
        }
        nodes[1].election_deadline = now + milliseconds{100}; // the first to stand
        run(milliseconds{400});
    }

    state& leader() { return nodes[1]; }

    void collect(node_id id) {
        const output out = take_output(nodes[id]);
        on_persisted(nodes[id], out.persist_index, out.persist_term, now);
        for (const message& m : out.messages) {
            entries_sent[m.to] += m.entries.size();
            snapshots_sent[m.to] += m.snap ? 1 : 0;
            in_flight.emplace(now + milliseconds{1}, m);
        }
    }

    void deliver(const message& m) {
        if (hung[m.to]) {
            held_messages[m.to].push_back(m);
        } else if (nodes.contains(m.to)) {
            step(nodes[m.to], m, now, random);
        }
    }

    void run(duration time) {
        const time_point until = now + time;
        while (now < until) {
            now += milliseconds{1};
            while (!in_flight.empty() && in_flight.begin()->first <= now) {
                const message m = in_flight.begin()->second;
                in_flight.erase(in_flight.begin());
                deliver(m);
            }
            for (auto& [id, s] : nodes) {
                if (!hung[id]) {
                    tick(s, now, random);
                }
                collect(id);
            }
        }
    }

    void resume(node_id id) {
        hung[id] = false;
        for (const message& m : std::exchange(held_messages[id], {})) {
            deliver(m);
        }
    }
};

//-----------------------------------------------------------------------------
// [tests]
//-----------------------------------------------------------------------------

TEST(replication, an_entry_goes_to_each_peer_once) {
    three_node_cluster n;
    ASSERT_EQ(n.leader().current_role, role::leader);
    n.entries_sent.clear();
    for (int i = 0; i < 20; ++i) {
        propose(n.leader(), "edit", n.now);
        n.run(milliseconds{20});
    }
    EXPECT_EQ(n.entries_sent[2], 20U);
    EXPECT_EQ(n.entries_sent[3], 20U);
    EXPECT_EQ(n.nodes[3].commit, last_index(n.leader()));
}

// A disk that hangs for seconds: the peer has what was sent, and says nothing.
TEST(replication, a_peer_that_hangs_gets_each_entry_a_few_times_and_not_with_every_heartbeat) {
    three_node_cluster n;
    n.hung[3] = true;
    n.entries_sent.clear();
    propose(n.leader(), "a table of 340 routes", n.now);
    n.run(milliseconds{2600});
    EXPECT_LE(n.entries_sent[3], 7U) << "52 heartbeats passed";
    EXPECT_EQ(n.leader().commit, last_index(n.leader())) << "the others commit";
    n.resume(3);
    n.run(milliseconds{1200});
    EXPECT_EQ(n.nodes[3].commit, last_index(n.leader()));
}

TEST(replication, an_entry_that_was_lost_on_its_way_is_sent_again_within_two_heartbeats) {
    three_node_cluster n;
    propose(n.leader(), "edit", n.now);
    n.collect(1);
    std::erase_if(n.in_flight, [](const auto& m) { return m.second.to != 1; });
    n.run(milliseconds{110});
    EXPECT_EQ(n.leader().commit, last_index(n.leader()));
    EXPECT_EQ(n.nodes[2].log.size(), n.leader().log.size());
}

// A new leader knows nothing of what its peers hold; their refusals tell.
TEST(replication, a_new_leader_sends_no_peer_what_it_holds) {
    three_node_cluster n;
    for (int i = 0; i < 50; ++i) {
        propose(n.leader(), "edit", n.now);
    }
    n.run(milliseconds{200});
    n.hung[1] = true;
    n.entries_sent.clear();
    n.run(milliseconds{1500});
    const bool second_leads = n.nodes[2].current_role == role::leader;
    ASSERT_TRUE(second_leads || n.nodes[3].current_role == role::leader);
    EXPECT_LE(n.entries_sent[second_leads ? 3 : 2], 3U) << "its own first entry";
    EXPECT_LE(n.snapshots_sent[1], 2U);
}

TEST(replication, a_new_leader_sends_no_log_to_peers_that_are_slow_to_answer) {
    three_node_cluster n;
    for (int i = 0; i < 50; ++i) {
        propose(n.leader(), "edit", n.now);
    }
    n.run(milliseconds{200});
    n.hung[1] = true;
    while (n.nodes[2].current_role != role::leader && n.nodes[3].current_role != role::leader) {
        n.run(milliseconds{1});
    }
    const node_id peer = n.nodes[2].current_role == role::leader ? 3 : 2;
    n.hung[peer] = true;
    n.entries_sent.clear();
    n.run(milliseconds{250});
    EXPECT_LE(n.entries_sent[peer], 5U) << "its own first entry, again and again, and nothing before it";
}

// A member that joins with an empty disk does not know whom to answer until it has got something.
TEST(replication, a_member_that_joins_gets_the_log_without_asking) {
    three_node_cluster n;
    for (int i = 0; i < 10; ++i) {
        propose(n.leader(), "edit", n.now);
    }
    n.run(milliseconds{200});
    configuration four = n.leader().members;
    four.members.push_back({.id = 4, .name = "4", .address = "4", .voter = false});
    n.nodes[4] = make_state(4, n.timing, {}, n.now, n.random);
    ASSERT_NE(propose_members(n.leader(), four, n.now), 0U);
    n.run(milliseconds{200});
    EXPECT_EQ(n.nodes[4].commit, last_index(n.leader()));
    EXPECT_LE(n.entries_sent[4], last_index(n.leader()));
}

} // namespace
} // namespace larchpin::raft
