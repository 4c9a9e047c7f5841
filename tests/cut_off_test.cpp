// Instances that are cut off from control: who learns of it, when, and what it costs while all is well.
//
// Index
//   [a site]  [who is lost]  [on the wire]  [lenders]
#include "core/control.hpp"
#include "core/forwarding_peers.hpp"
#include "core/lease.hpp"
#include "core/rendezvous.hpp"
#include "generated/larchpin.pb.h"
#include "io/codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [a site]
//-----------------------------------------------------------------------------

constexpr duration tick = milliseconds{5};
constexpr duration renewal_interval = milliseconds{200};

// A leader, and instances that renew five times a lease, each at its own moment.
struct renewing_site {
    struct instance {
        instance_record record;
        time_point next_at{};
        bool cut = false;
        std::uint64_t last_reply_seq = 0;
        lost_instance_set known;
        unsigned news = 0; // that it was sent
    };

    control_state control;
    cluster_state cluster;
    time_point now{std::chrono::seconds{100}};
    std::map<instance_id, instance> instances;
    std::uint64_t leader_term = 3;

    explicit renewing_site(unsigned count) {
        for (unsigned i = 0; i < count; ++i) {
            add("i-" + std::to_string(100 + i));
        }
        start_leading(control, leader_term, now);
        run(milliseconds{2500});
        for (auto& [id, i] : instances) {
            i.news = 0;
        }
    }

    void add(const std::string& name) {
        const auto place = static_cast<unsigned>(instances.size());
        instance i;
        i.record = {.id = {name},
                    .domain = {"d" + std::to_string(place % 3)},
                    .address = name + ":1",
                    .accepts_clients = true};
        i.next_at = now + milliseconds{place * 3 % 200};
        instances[i.record.id] = i;
    }

    void take(const control_actions& actions) {
        for (const control_action& a : actions) {
            if (const auto* proposal = std::get_if<propose_command>(&a)) {
                apply(cluster, cluster.revision + 1, proposal->proposed);
                control_actions more;
                on_applied(control, cluster, now, more);
                take(more);
            }
        }
    }

    void renew(instance& i) {
        i.next_at = now + renewal_interval;
        renewal r;
        r.instance = i.record;
        r.incarnation = 1;
        r.applied_revision = cluster.revision;
        r.last_reply_seq = i.last_reply_seq;
        r.lost_version = i.known.version;
        control_actions actions;
        const renewal_reply reply = on_renewal(control, cluster, r, now, actions);
        i.last_reply_seq = reply.seq;
        if (reply.lost) {
            ++i.news;
            EXPECT_TRUE(apply_lost_instances_update(i.known, *reply.lost, cluster));
        }
        take(actions);
    }

    void run(duration time) {
        for (const time_point end = now + time; now < end; now += tick) {
            control_actions actions;
            on_tick(control, cluster, now, actions);
            take(actions);
            for (auto& [id, i] : instances) {
                if (!i.cut && now >= i.next_at) {
                    renew(i);
                }
            }
        }
    }

    // Cuts off the first so many, or lets them in again.
    void cut(unsigned count, bool off = true) {
        for (auto& [id, i] : instances) {
            if (count-- == 0) {
                return;
            }
            i.cut = off;
        }
    }

    // Every instance that is not cut off knows exactly those that are.
    [[nodiscard]] bool all_know() const {
        std::set<instance_id> lost;
        for (const auto& [id, i] : instances) {
            if (i.cut) {
                lost.insert(id);
            }
        }
        return std::all_of(instances.begin(), instances.end(),
                           [&](const auto& i) { return i.second.cut || i.second.known.instances == lost; });
    }

    [[nodiscard]] bool anyone_calls_any_lost() const {
        return std::any_of(instances.begin(), instances.end(),
                           [](const auto& i) { return !i.second.known.instances.empty(); });
    }

    [[nodiscard]] unsigned news() const {
        unsigned sum = 0;
        for (const auto& [id, i] : instances) {
            sum += i.news;
        }
        return sum;
    }
};

//-----------------------------------------------------------------------------
// [who is lost]
//-----------------------------------------------------------------------------

// Two thirds of the instances lose their path to control. Those that stay must not go on asking them.
TEST(lost_instances, a_cut_off_majority_is_known_to_the_others_within_a_lease_and_a_renewal) {
    renewing_site s(67);
    const time_point cut_at = s.now;
    s.cut(43);
    const duration look = s.control.config.lease / 20;
    s.run(grantor_lease_duration(s.control.config.lease) + renewal_interval + look + 2 * tick);
    EXPECT_TRUE(s.all_know()) << "after " << (s.now - cut_at).count();

    s.cut(43, false);
    s.run(2 * renewal_interval); // its own renewal, and the next one of everyone else
    EXPECT_FALSE(s.anyone_calls_any_lost());
}

TEST(lost_instances, nothing_is_sent_while_nobody_is_lost) {
    renewing_site s(67);
    s.run(std::chrono::seconds{10});
    EXPECT_EQ(s.news(), 0U);
    for (const auto& [id, i] : s.instances) {
        EXPECT_EQ(i.known.version, 0U) << "and the renewal names no set";
    }
}

TEST(lost_instances, while_the_same_ones_stay_lost_nothing_more_is_sent) {
    renewing_site s(67);
    s.cut(43);
    s.run(std::chrono::seconds{3});
    const unsigned sent = s.news();
    s.run(std::chrono::seconds{10});
    EXPECT_EQ(s.news(), sent);
    EXPECT_LE(sent, 24U * 5) << "their leases ended within a renewal, four looks long";
}

TEST(lost_instances, one_that_is_back_is_in_use_again_at_once) {
    renewing_site s(9);
    s.cut(1);
    s.run(std::chrono::seconds{2});
    ASSERT_TRUE(s.all_know());
    const instance_id back = s.instances.begin()->first;
    s.instances.at(back).cut = false;
    s.renew(s.instances.at(back));
    EXPECT_FALSE(s.control.lost.instances.contains(back));
    EXPECT_TRUE(s.instances.at(back).known.instances.empty()) << "it is not told of itself";
}

TEST(lost_instances, a_new_one_is_not_lost_before_its_first_lease) {
    renewing_site s(9);
    s.add("i-new");
    s.run(std::chrono::seconds{1});
    EXPECT_FALSE(s.anyone_calls_any_lost());
    EXPECT_EQ(s.news(), 0U);
}

// A new leader has heard nobody yet.
TEST(lost_instances, a_change_of_leader_calls_nobody_lost_that_renews) {
    renewing_site s(67);
    start_leading(s.control, ++s.leader_term, s.now);
    s.run(std::chrono::seconds{3});
    EXPECT_EQ(s.news(), 0U);
}

TEST(lost_instances, a_new_leader_knows_the_lost_ones_once_all_earlier_leases_are_over) {
    renewing_site s(67);
    s.cut(43);
    start_leading(s.control, ++s.leader_term, s.now);
    s.run(grantor_lease_duration(s.control.config.lease) - tick);
    EXPECT_FALSE(s.anyone_calls_any_lost()) << "an earlier leader may have granted them leases";
    s.run(renewal_interval + s.control.config.lease / 10);
    EXPECT_TRUE(s.all_know());
}

// Otherwise everyone would go back to asking them for a lease's time.
TEST(lost_instances, those_known_to_be_lost_stay_so_over_a_change_of_leader) {
    renewing_site s(67);
    s.cut(43);
    s.run(std::chrono::seconds{2});
    ASSERT_TRUE(s.all_know());
    start_leading(s.control, ++s.leader_term, s.now);
    for (int step = 0; step < 30; ++step) {
        s.run(milliseconds{100});
        EXPECT_TRUE(s.all_know()) << step;
    }
}

// What it hears late says nothing of those whose words wait in its sockets.
TEST(lost_instances, a_leader_that_stood_still_calls_nobody_lost) {
    renewing_site s(67);
    s.now += milliseconds{1200};
    s.run(std::chrono::seconds{2});
    EXPECT_EQ(s.news(), 0U);
}

//-----------------------------------------------------------------------------
// [on the wire]
//-----------------------------------------------------------------------------

TEST(lost_news, of_942_instances_take_about_a_hundred_bytes) {
    cluster_state s;
    std::set<instance_id> lost;
    for (int i = 0; i < 942; ++i) {
        const instance_id id{"instance-" + std::to_string(i)};
        s.instances[id].id = id;
        if (i % 3 != 0) {
            lost.insert(id);
        }
    }
    s.instances_revision = 7;
    lost_instances_update news;
    news.version = 12;
    news.instances_revision = 7;
    news.bits = encode_lost(lost, s.instances);
    renewal_reply reply;
    reply.seq = 3;
    reply.servers_to_observe = {{"s1"}};
    wire::renewal_reply calm;
    to_wire(reply, calm);
    EXPECT_EQ(from_wire(calm).lost, std::nullopt);
    reply.lost = news;
    wire::renewal_reply m;
    to_wire(reply, m);
    EXPECT_LE(m.ByteSizeLong() - calm.ByteSizeLong(), 942U / 8 + 32);

    const renewal_reply heard = from_wire(m);
    EXPECT_EQ(heard, reply);
    lost_instance_set known;
    ASSERT_TRUE(heard.lost && apply_lost_instances_update(known, *heard.lost, s));
    EXPECT_EQ(known.instances, lost);
    EXPECT_EQ(known.version, 12U);
}

TEST(lost_news, a_renewal_names_its_set_and_nothing_while_there_is_none) {
    renewal said;
    wire::renewal calm;
    to_wire(said, calm);
    said.lost_version = (3ULL << 40U) + 5;
    wire::renewal m;
    to_wire(said, m);
    EXPECT_LE(m.ByteSizeLong() - calm.ByteSizeLong(), 8U);
    EXPECT_EQ(from_wire(m).lost_version, said.lost_version);
    EXPECT_EQ(from_wire(calm).lost_version, 0U);
}

// The bits of one list read by another would call the wrong ones lost.
TEST(lost_news, about_other_instances_than_the_known_ones_are_not_taken) {
    cluster_state s;
    s.instances[{"a"}].id = {"a"};
    s.instances_revision = 4;
    lost_instance_set known;
    EXPECT_FALSE(
        apply_lost_instances_update(known, {.version = 9, .instances_revision = 5, .bits = "\1"}, s));
    EXPECT_EQ(known.version, 0U) << "so that they come again";
    EXPECT_TRUE(apply_lost_instances_update(known, {.version = 9, .instances_revision = 4, .bits = "\1"}, s));
    EXPECT_TRUE(known.instances.contains({"a"}));
    EXPECT_TRUE(apply_lost_instances_update(known, {}, s));
    EXPECT_TRUE(known.instances.empty());
}

//-----------------------------------------------------------------------------
// [lenders]
//-----------------------------------------------------------------------------

TEST(lenders, lost_ones_are_asked_last) {
    const std::vector<forwarding_peer> homes{{"a", false, 0, true}, {"b", true}};
    forwarding_peer_tracker book;
    std::mt19937_64 random{1};
    const time_point now{std::chrono::seconds{10}};
    EXPECT_EQ(order_forwarding_peers(book, {"s"}, homes, now, random).front(), "b");
    mark_silent(book, "b", now);
    EXPECT_EQ(order_forwarding_peers(book, {"s"}, homes, now, random).front(), "b");
}

// The pattern: 43 of 67 instances cut off, so that some servers have all their homes among them. Instances
// with a lease refused everything for these servers for as long as the cut lasted.
TEST(homes, are_chosen_among_the_instances_that_control_hears) {
    cluster_state s;
    std::set<instance_id> lost;
    for (int i = 0; i < 67; ++i) {
        const instance_id id{"i-" + std::to_string(100 + i)};
        s.instances[id] = {.id = id,
                           .domain = {"d" + std::to_string(i % 3)},
                           .address = id.value + ":1",
                           .accepts_clients = true};
        if (i < 43) {
            lost.insert(id);
        }
    }
    constexpr unsigned connections = 49; // as many as twice the instances that are left
    unsigned without_any = 0;
    for (int i = 0; i < 24; ++i) {
        server_record server;
        server.id = {"s-" + std::to_string(i)};
        server.domain = {"d" + std::to_string(i % 3)};
        const auto before = workspace_homes(s, server, connections);
        const auto is_lost = [&lost](const instance_id& id) { return lost.contains(id); };
        without_any += std::all_of(before.begin(), before.end(), is_lost) ? 1 : 0;
        for (const auto& homes : {workspace_homes(s, server, connections, lost),
                                  home_instances(s, server.id, connections, lost)}) {
            EXPECT_FALSE(homes.empty());
            EXPECT_TRUE(std::none_of(homes.begin(), homes.end(), is_lost));
        }
    }
    EXPECT_GT(without_any, 0U) << "otherwise the pattern is not the one that is meant";
}

} // namespace
} // namespace larchpin
