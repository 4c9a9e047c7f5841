// Tests how many entries and snapshots a leader of the control log sends to its peers: every byte crosses
// failure domains.
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

// Nodes 1, 2 and 3 with a network delay of 1 ms. A hung node processes no messages; a node may start empty.
struct three_node_cluster {
    std::map<node_id, state> nodes;
    std::map<node_id, bool> hung;
    std::map<node_id, std::vector<message>> held_messages; // for hung nodes
    std::multimap<time_point, message> in_flight;
    std::map<node_id, std::size_t> entries_sent;   // by receiver
    std::map<node_id, std::size_t> snapshots_sent; // by receiver
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
        nodes[1].election_deadline = now + milliseconds{100}; // starts the first election
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

TEST(replication, sends_each_entry_to_each_peer_once) {
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

// The peer's disk hangs for seconds: the peer has received the entries, but does not acknowledge them.
TEST(replication, resends_to_hung_peer_with_backoff) {
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

TEST(replication, resends_lost_entry_within_two_heartbeats) {
    three_node_cluster n;
    propose(n.leader(), "edit", n.now);
    n.collect(1);
    std::erase_if(n.in_flight, [](const auto& m) { return m.second.to != 1; });
    n.run(milliseconds{110});
    EXPECT_EQ(n.leader().commit, last_index(n.leader()));
    EXPECT_EQ(n.nodes[2].log.size(), n.leader().log.size());
}

// A new leader does not know which entries its peers hold; refusals report it.
TEST(replication, new_leader_sends_only_missing_entries) {
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
    EXPECT_LE(n.entries_sent[second_leads ? 3 : 2], 3U) << "only its own no-op entry";
    EXPECT_LE(n.snapshots_sent[1], 2U);
}

TEST(replication, new_leader_sends_no_old_entries_to_slow_peers) {
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
    EXPECT_LE(n.entries_sent[peer], 5U) << "only its own no-op entry, sent repeatedly";
}

// A joining member with an empty disk knows no address to reply to until it has received an entry.
TEST(replication, joining_member_receives_log_unprompted) {
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
