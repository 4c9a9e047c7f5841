// Decisions of the leading control instance, tested one at a time and without I/O.
//
// Index
//   [group creation]  [edits]  [leaving servers]  [planned switchovers]  [server restarts]
//   [promotion]  [new leader]  [members]  [shares]
#include "control_site.hpp"
#include "core/control_core.hpp"
#include "daemon/watch_replies.hpp"
#include "generated/larchpin.pb.h"
#include "io/codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using testing::all_alive;
using testing::announce;
using testing::control_site;
using testing::make_site;

//-----------------------------------------------------------------------------
// [group creation]
//-----------------------------------------------------------------------------

TEST(group_creation, probes_primary_for_unknown_timeline) {
    control_site s;
    s.renew("x", {announce("s1", true, 1)});
    const auto probe = s.take_pending<probe_server>();
    ASSERT_TRUE(probe.has_value());
    EXPECT_FALSE(s.cluster.groups.contains({"g"}));
    s.renew("x", {announce("s1", true, 2)});
    EXPECT_FALSE(s.take_pending<probe_server>().has_value()) << "one probe at a time";
    s.answer({.operation = probe->operation,
              .server = {"s1"},
              .answered = true,
              .is_primary = true,
              .timeline = 4,
              .position = 9});
    EXPECT_EQ(s.group().timeline, 4U);
    EXPECT_EQ(s.group().primary, server_id{"s1"});
}

// The answer to the first query of a primary was lost, and its group was never created.
TEST(group_creation, repeats_unanswered_probe) {
    control_site s;
    s.renew("x", {announce("s1", true, 1)});
    const auto lost = s.take_pending<probe_server>();
    ASSERT_TRUE(lost.has_value());
    s.now += milliseconds{600};
    s.renew("x", {announce("s1", true, 2)});
    const auto probe = s.take_pending<probe_server>();
    ASSERT_TRUE(probe.has_value());
    const server_answer answer{.operation = probe->operation,
                               .server = {"s1"},
                               .answered = true,
                               .is_primary = true,
                               .timeline = 4,
                               .position = 9};
    s.answer(answer);
    EXPECT_EQ(s.group().timeline, 4U);
    server_answer late = answer;
    late.operation = lost->operation;
    late.timeline = 3;
    s.answer(late);
    EXPECT_EQ(s.group().timeline, 4U);
}

TEST(group_creation, repeats_failed_probe) {
    control_site s;
    s.renew("x", {announce("s1", true, 1)});
    s.answer({.operation = s.take_pending<probe_server>()->operation, .server = {"s1"}});
    EXPECT_FALSE(s.cluster.groups.contains({"g"}));
    s.renew("x", {announce("s1", true, 2)});
    EXPECT_TRUE(s.take_pending<probe_server>().has_value());
}

//-----------------------------------------------------------------------------
// [edits]
//-----------------------------------------------------------------------------

edit_table make_versioned(std::uint64_t version, unsigned connections) {
    edit_table e;
    e.change_id = "c" + std::to_string(version) + "-" + std::to_string(connections);
    e.version = version;
    e.document = "document " + std::to_string(version);
    e.next.services = {{.id = {"g"}, .max_connections = connections}};
    return e;
}

TEST(versioned_edits, highest_version_wins_in_any_order) {
    cluster_state s;
    EXPECT_EQ(apply(s, 1, make_versioned(7, 5)).code, result_code::ok);
    EXPECT_EQ(apply(s, 2, make_versioned(3, 6)).code, result_code::ok) << "accepted, but changes nothing";
    EXPECT_EQ(apply(s, 3, make_versioned(7, 8)).code, result_code::ok) << "other content, same version";
    EXPECT_EQ(s.current_table.services[0].max_connections, 5U);
    EXPECT_EQ(s.document, "document 7");
    EXPECT_EQ(apply(s, 4, make_versioned(9, 0)).code, result_code::table_invalid);
    EXPECT_EQ(s.table_version, 7U);
    EXPECT_TRUE(s.recorded_changes.empty()) << "versioned edits are not recorded by id";
}

// A control instance that bootstrapped a cluster alone.
struct single_control {
    std::mt19937_64 random{1};
    time_point now{std::chrono::seconds{1}};
    control_core core =
        make_control_core({.encode = encode_command,
                           .decode = decode_command,
                           .encode_state = encode_state,
                           .decode_state = decode_state},
                          {.id = 7, .name = "a", .address = "127.0.0.1:1"}, {}, {}, {}, now, random);

    single_control() {
        EXPECT_TRUE(bootstrap(core, now, random));
        settle();
    }
    void settle() {
        for (int i = 0; i < 20; ++i) {
            now += milliseconds{100};
            tick(core, now, random);
            const control_output out = take_output(core);
            on_persisted(core, out.consensus.persist_index, out.consensus.persist_term, now);
        }
    }
    void edit(const edit_table& e) {
        propose_edit(core, e, now);
        settle();
    }
};

// A restarted daemon fetches the state over a slow link, where its history took 2 s.
TEST(watching, restarted_daemon_gets_state_without_history) {
    single_control c;
    edit_table large = make_versioned(1, 5);
    for (int i = 0; i < 200; ++i) {
        large.next.routes.push_back({.database = "database" + std::to_string(1000 + i),
                                     .group = {"g"},
                                     .service = {"g"},
                                     .statement_timeout = milliseconds{100}});
    }
    for (std::uint64_t version = 1; version <= 20; ++version) {
        large.version = version;
        large.change_id = "edit " + std::to_string(version);
        c.edit(large);
    }
    ASSERT_EQ(c.core.cluster.table_version, 20U);
    whole_state_reply whole;
    const std::string anew = make_watch_reply(c.core, 0, whole);
    const std::string next = make_watch_reply(c.core, c.core.cluster.revision - 1, whole);
    EXPECT_LT(anew.size(), next.size() + 1000) << "about the size of one table";
    wire::watch_reply all;
    ASSERT_TRUE(all.ParseFromString(anew));
    EXPECT_EQ(from_wire(all.full()).current_table, c.core.cluster.current_table);
    EXPECT_EQ(from_wire(all.full()).revision, c.core.cluster.revision);
    wire::watch_reply last;
    ASSERT_TRUE(last.ParseFromString(next));
    EXPECT_FALSE(last.has_full());
    ASSERT_EQ(last.entries_size(), 1);
    EXPECT_EQ(last.entries(0).index(), c.core.cluster.revision);
}

// Daemons need only the table. The operator's document may be as large again.
TEST(versioned_edits, daemons_get_table_without_document) {
    single_control site;
    const control_core& c = site.core;
    site.edit(make_versioned(7, 5));
    ASSERT_EQ(c.cluster.document, "document 7");
    for (const raft::entry& e : c.recent_entries) {
        EXPECT_EQ(e.command.find("document 7"), std::string::npos);
    }
    EXPECT_EQ(c.recent_entries.back().index, c.cluster.revision);
}

TEST(versioned_edits, route_requires_service_and_statement_timeout) {
    table t;
    t.services = {{.id = {"g"}}};
    t.routes = {{.database = "db", .group = {"g"}, .service = {"g"}}};
    EXPECT_EQ(check_table(t), "");
    t.routes[0].service = {"other"};
    EXPECT_NE(check_table(t), "");
    t.routes[0].service = {"g"};
    t.routes[0].statement_timeout = {};
    EXPECT_NE(check_table(t), "");
    t.routes[0].statement_timeout = std::chrono::seconds{1};
    t.routes.push_back(t.routes[0]);
    EXPECT_NE(check_table(t), "") << "duplicate database";
}

//-----------------------------------------------------------------------------
// [leaving servers]
//-----------------------------------------------------------------------------

TEST(leaving_servers, leaving_primary_is_replaced) {
    control_site s = make_site();
    server_announcement announcement = announce("s1", true, 2);
    announcement.leaving = true;
    s.renew("x", {announcement}, all_alive());
    EXPECT_EQ(s.leaving(), std::vector<server_id>{{"s1"}});
    s.tick();
    EXPECT_EQ(s.group().phase, group_phase::serving) << "possible successors are queried before the fence";
    s.answer_probes({"s1"}, 20);
    EXPECT_EQ(s.group().phase, group_phase::fencing);
    s.renew("x", {}, all_alive()); // confirms the fence
    s.tick();
    s.answer_probes({"s1"}, 20);
    const auto promotion = s.take_pending<promote_server>();
    ASSERT_TRUE(promotion.has_value());
    EXPECT_NE(promotion->server.id, server_id{"s1"});
}

//-----------------------------------------------------------------------------
// [planned switchovers]
//-----------------------------------------------------------------------------

// A site where s1 leaves or an operator requests s2 as primary. Each test sets the log positions of the
// primary and the replicas. Time advances in small steps, like the leader's ticks.
struct switchover_site {
    control_site s = make_site();
    log_position primary_position = 100;
    log_position replica_position = 100;
    bool primary_answers = true;

    void leave() {
        server_announcement announcement = announce("s1", true, 2);
        announcement.leaving = true;
        s.renew("x", {announcement}, all_alive());
        s.tick();
    }
    void answer() {
        while (const auto probe = s.take_pending<probe_server>()) {
            const bool is_primary = probe->server.id == server_id{"s1"};
            s.answer({.operation = probe->operation,
                      .server = probe->server.id,
                      .answered = !is_primary || primary_answers,
                      .is_primary = is_primary,
                      .timeline = s.group().timeline,
                      .position = is_primary ? primary_position : replica_position});
        }
    }
    void run_for(milliseconds time, const std::vector<server_observation>& seen = all_alive()) {
        const time_point end = s.now + time;
        while (s.now < end) {
            s.now += milliseconds{10};
            s.renew("x", {}, seen);
            s.tick();
            answer();
        }
    }
    [[nodiscard]] bool takes_writes() { return s.group().phase == group_phase::serving; }
    [[nodiscard]] std::optional<promote_server> next_promotion() { return s.take_pending<promote_server>(); }
    [[nodiscard]] bool has_event(const std::string& what) const {
        return std::find(s.events.begin(), s.events.end(), what) != s.events.end();
    }
};

TEST(planned_switchover, waits_for_successor_to_reach_fenced_primary) {
    switchover_site p;
    p.replica_position = 99;
    p.leave();
    p.run_for(milliseconds{20});
    EXPECT_TRUE(p.takes_writes()) << "no replica has reached the primary's first position";
    p.primary_position = 110;
    p.replica_position = 105;
    p.run_for(milliseconds{200});
    EXPECT_FALSE(p.takes_writes());
    EXPECT_FALSE(p.next_promotion().has_value()) << "105 of 110";
    p.replica_position = 110;
    p.run_for(milliseconds{200});
    const auto promotion = p.next_promotion();
    ASSERT_TRUE(promotion.has_value());
    EXPECT_NE(promotion->server.id, server_id{"s1"});
}

// Fencing for a replica that is seconds behind would block writes for seconds, repeatedly.
TEST(planned_switchover, sets_no_fence_while_replicas_lag_far_behind) {
    switchover_site p;
    p.replica_position = 10;
    p.leave();
    std::size_t asked = 0;
    for (int i = 0; i < 700; ++i) { // 7 s
        p.s.now += milliseconds{10};
        p.s.renew("x", {}, all_alive());
        p.s.tick();
        asked += p.s.pending_actions.size();
        p.answer();
        ASSERT_TRUE(p.takes_writes());
    }
    EXPECT_LE(asked, 60U) << "probes of three servers";
    EXPECT_GE(asked, 15U);
    p.replica_position = 100;
    p.run_for(milliseconds{4000});
    EXPECT_FALSE(p.takes_writes()) << "a replica has caught up";
}

// The replica was close when the fence was set, then stopped replicating.
TEST(planned_switchover, keeps_old_primary_if_no_replica_catches_up) {
    switchover_site p;
    p.leave();
    p.answer();
    ASSERT_FALSE(p.takes_writes());
    p.primary_position = 101;
    p.run_for(milliseconds{2900});
    EXPECT_FALSE(p.takes_writes());
    p.run_for(milliseconds{300});
    EXPECT_TRUE(p.takes_writes());
    EXPECT_EQ(p.s.group().primary, server_id{"s1"});
    EXPECT_FALSE(p.next_promotion().has_value()) << "no other server is promoted";
}

TEST(planned_switchover, keeps_live_primary_that_does_not_answer_leader) {
    switchover_site p;
    p.leave();
    p.answer();
    ASSERT_FALSE(p.takes_writes());
    p.primary_answers = false;
    p.run_for(milliseconds{3200});
    EXPECT_FALSE(p.next_promotion().has_value()) << "the position of the last acknowledged write is unknown";
    EXPECT_TRUE(p.takes_writes());
    EXPECT_EQ(p.s.group().primary, server_id{"s1"});
    EXPECT_TRUE(p.has_event("switchover_given_up"));
}

TEST(planned_switchover, becomes_failover_if_primary_dies) {
    const std::vector<server_observation> dead{{.server = {"s1"}, .alive = false},
                                               {.server = {"s2"}, .alive = true},
                                               {.server = {"s3"}, .alive = true}};
    for (const bool before_the_fence : {true, false}) {
        switchover_site p;
        p.replica_position = before_the_fence ? 90 : 100;
        p.leave();
        p.run_for(milliseconds{20});
        ASSERT_EQ(p.takes_writes(), before_the_fence);
        p.primary_position = 101;
        p.primary_answers = false;
        p.run_for(milliseconds{500}, dead);
        const auto promotion = p.next_promotion();
        ASSERT_TRUE(promotion.has_value());
        EXPECT_NE(promotion->server.id, server_id{"s1"});
    }
}

// The leader that set the fence is gone. Its successor must not lose acknowledged writes either.
TEST(planned_switchover, loses_no_writes_under_new_leader) {
    switchover_site p;
    p.leave();
    p.answer();
    ASSERT_FALSE(p.takes_writes());
    start_leading(p.s.control, 4, p.s.now);
    p.s.seqs.clear();
    p.primary_position = 105;
    p.run_for(milliseconds{2000});
    EXPECT_FALSE(p.next_promotion().has_value()) << "100 of 105";
    p.replica_position = 105;
    p.run_for(milliseconds{1000});
    ASSERT_TRUE(p.next_promotion().has_value());
}

TEST(planned_switchover, operator_request_is_abandoned_without_fence_if_target_lags) {
    switchover_site p;
    p.replica_position = 10;
    p.run_for(milliseconds{10}); // all servers are observed alive
    control_actions actions;
    EXPECT_EQ(start_switchover(p.s.control, p.s.cluster, {"g"}, {"s2"}, p.s.now, actions), result_code::ok);
    p.s.execute(actions);
    p.run_for(milliseconds{2900});
    EXPECT_TRUE(p.takes_writes());
    EXPECT_FALSE(p.has_event("switchover_given_up"));
    p.run_for(milliseconds{200});
    EXPECT_TRUE(p.has_event("switchover_given_up"));
    EXPECT_TRUE(p.s.control.failovers.empty());
}

TEST(planned_switchover, operator_request_replaces_unfenced_switchover) {
    switchover_site p;
    p.replica_position = 10;
    p.leave();
    p.run_for(milliseconds{100});
    control_actions actions;
    EXPECT_EQ(start_switchover(p.s.control, p.s.cluster, {"g"}, {"s3"}, p.s.now, actions), result_code::ok);
    p.s.execute(actions);
    p.replica_position = 100;
    p.run_for(milliseconds{500});
    const auto promotion = p.next_promotion();
    ASSERT_TRUE(promotion.has_value());
    EXPECT_EQ(promotion->server.id, server_id{"s3"});
}

//-----------------------------------------------------------------------------
// [leaving servers], continued
//-----------------------------------------------------------------------------

TEST(leaving_servers, out_of_order_announcement_is_ignored) {
    control_site s = make_site();
    server_announcement announcement = announce("s2", false, 5);
    announcement.leaving = true;
    s.renew("x", {announcement});
    s.renew("x", {announce("s2", false, 4)});
    EXPECT_EQ(s.leaving(), std::vector<server_id>{{"s2"}});
}

// The announcement was delayed by a partition until its sender had crashed and another server used its
// address.
TEST(leaving_servers, delayed_announcement_of_replaced_server_is_ignored) {
    control_site s = make_site();
    server_announcement next = announce("n2", false, 1);
    next.record.port = announce("s2", false, 1).record.port;
    s.now += milliseconds{1500};
    s.renew("x", {next});
    ASSERT_TRUE(s.cluster.servers.contains({"n2"}));
    server_announcement late = announce("s2", true, 50);
    late.leaving = true;
    s.renew("x", {late});
    EXPECT_TRUE(s.leaving().empty());
    const std::vector<server_observation> seen{{.server = {"s1"}, .alive = true},
                                               {.server = {"n2"}, .alive = true}};
    for (std::uint64_t i = 2; i < 40; ++i) {
        s.now += milliseconds{500};
        next.sequence = i;
        late.sequence = 50 + i;
        s.renew("x", {announce("s1", true, i), announce("s3", false, i), next, late}, seen);
        s.tick();
    }
    EXPECT_FALSE(s.cluster.servers.contains({"s2"})) << "repeated delayed announcements are ignored";
    EXPECT_TRUE(s.cluster.servers.contains({"n2"}));
    EXPECT_EQ(s.group().primary, server_id{"s1"});
}

// A new leader does not know which server announced itself last at an address, so a delayed announcement may
// look newer than the current server's.
TEST(leaving_servers, wrongly_replaced_server_is_accepted_once_other_is_silent) {
    control_site s = make_site();
    start_leading(s.control, 2, s.now);
    server_announcement living = announce("n2", false, 7);
    living.record.port = announce("x2", false, 1).record.port;
    s.renew("x", {living});
    s.renew("x", {announce("x2", false, 50)}); // from a server without a record
    for (std::uint64_t i = 8; i < 18; ++i) {
        s.now += milliseconds{500};
        living.sequence = i;
        s.renew("x", {living});
    }
    living.leaving = true;
    living.sequence = 20;
    s.renew("x", {living});
    EXPECT_EQ(s.leaving(), std::vector<server_id>{{"n2"}});
}

// Servers acknowledge that they leave, so neither silence nor a change of leader may reset `leaving`.
TEST(leaving_servers, leaving_server_is_not_promoted_after_silence_or_by_new_leader) {
    for (const bool new_leader : {false, true}) {
        control_site s = make_site();
        server_announcement announcement = announce("s2", false, 2);
        announcement.leaving = true;
        s.renew("x", {announcement}, all_alive());
        s.now += std::chrono::seconds{4};
        if (new_leader) {
            start_leading(s.control, 4, s.now);
            s.now += std::chrono::seconds{3};
        }
        const std::vector<server_observation> seen{{.server = {"s1"}, .alive = false},
                                                   {.server = {"s2"}, .alive = true},
                                                   {.server = {"s3"}, .alive = true}};
        s.renew("x", {}, seen);
        s.tick();
        s.renew("x", {}, seen); // confirms the fence
        s.tick();
        s.answer_probes({"s1"}, 20);
        const auto promotion = s.take_pending<promote_server>();
        ASSERT_TRUE(promotion.has_value());
        EXPECT_EQ(promotion->server.id, server_id{"s3"}) << "new leader: " << new_leader;
    }
}

// Otherwise the replicas could follow no server, and the group would stay without a primary.
TEST(leaving_servers, leaving_primary_continues_if_no_other_server_holds_log) {
    control_site s = make_site();
    server_announcement announcement = announce("s1", true, 2);
    announcement.leaving = true;
    s.renew("x", {announcement}, all_alive());
    s.tick();
    const auto answer_all = [&s] {
        while (const auto probe = s.take_pending<probe_server>()) {
            const bool holds = probe->server.id == server_id{"s1"};
            s.answer({.operation = probe->operation,
                      .server = probe->server.id,
                      .answered = true,
                      .is_primary = holds,
                      .timeline = holds ? 1U : 0U,
                      .position = holds ? 20U : 0U});
        }
    };
    answer_all();
    for (int i = 0; i < 10; ++i) {
        s.now += milliseconds{500};
        s.renew("x", {}, all_alive());
        s.tick();
        answer_all();
        EXPECT_EQ(s.group().phase, group_phase::serving)
            << "the primary continues while the replicas may catch up";
    }
    EXPECT_EQ(s.group().primary, server_id{"s1"});
    EXPECT_FALSE(s.take_pending<promote_server>().has_value());
}

// The same case, but the fence was set by an earlier leader.
TEST(leaving_servers, fenced_leaving_primary_continues_if_no_other_server_holds_log) {
    control_site s = make_site();
    server_announcement announcement = announce("s1", true, 2);
    announcement.leaving = true;
    s.renew("x", {announcement}, all_alive());
    group_record fenced = s.group();
    fenced.phase = group_phase::fencing;
    apply(s.cluster, s.cluster.revision + 1,
          set_group{.expected_term = fenced.term, .expected_phase = group_phase::serving, .next = fenced});
    start_leading(s.control, 4, s.now);
    s.seqs.clear();
    for (int i = 0; i < 10; ++i) {
        s.now += milliseconds{500};
        s.renew("x", {}, all_alive());
        s.tick();
        while (const auto probe = s.take_pending<probe_server>()) {
            const bool holds = probe->server.id == server_id{"s1"};
            s.answer({.operation = probe->operation,
                      .server = probe->server.id,
                      .answered = true,
                      .is_primary = holds,
                      .timeline = holds ? 1U : 0U,
                      .position = holds ? 20U : 0U});
        }
    }
    EXPECT_EQ(s.group().primary, server_id{"s1"});
    EXPECT_GE(s.group().term, 2U);
}

TEST(leaving_servers, stopped_server_is_removed_unless_primary) {
    control_site s = make_site();
    server_announcement stopped = announce("s2", false, 9);
    stopped.stopped = true;
    s.renew("x", {stopped});
    s.tick();
    EXPECT_FALSE(s.cluster.servers.contains({"s2"}));
    s.renew("x", {announce("s2", false, 8)});
    EXPECT_FALSE(s.cluster.servers.contains({"s2"})) << "a delayed announcement restores no record";
    server_announcement primary_stopped = announce("s1", true, 9);
    primary_stopped.stopped = true;
    s.renew("x", {primary_stopped});
    s.tick();
    EXPECT_TRUE(s.cluster.servers.contains({"s1"}));
}

TEST(leaving_servers, lost_server_is_removed_and_returns_by_announcement) {
    control_site s = make_site();
    const std::vector<server_observation> seen{{.server = {"s1"}, .alive = true},
                                               {.server = {"s2"}, .alive = false}};
    for (std::uint64_t i = 2; i < 40; ++i) {
        s.now += milliseconds{500};
        s.renew("x", {announce("s1", true, i), announce("s3", false, i)}, seen);
        s.tick();
    }
    EXPECT_FALSE(s.cluster.servers.contains({"s2"}));
    EXPECT_TRUE(s.cluster.servers.contains({"s3"}));
    s.renew("x", {announce("s2", false, 50)});
    EXPECT_TRUE(s.cluster.servers.contains({"s2"}));
}

TEST(leaving_servers, no_server_is_removed_without_any_announcement) {
    control_site s = make_site();
    for (int i = 0; i < 40; ++i) {
        s.now += milliseconds{500};
        s.renew("x");
        s.tick();
    }
    EXPECT_EQ(s.cluster.servers.size(), 3U);
}

//-----------------------------------------------------------------------------
// [server restarts]
//-----------------------------------------------------------------------------

server_announcement announce_start(const std::string& id, bool primary, std::uint64_t started,
                                   std::uint64_t sequence) {
    server_announcement a = announce(id, primary, sequence);
    a.record.start_time_ms = started;
    return a;
}

// Returns a site whose servers announce their start times; s1 is the primary, all have announced themselves
// 40 times.
control_site make_site_with_starts() {
    control_site s;
    s.renew("x",
            {announce_start("s1", true, 1'000, 40), announce_start("s2", false, 1'000, 40),
             announce_start("s3", false, 1'000, 40)},
            all_alive());
    s.answer_probes({"s1"}, 10);
    return s;
}

// A restarted server counts its announcements from 1, so they were ignored until the count had caught up, or
// the server stayed marked as stopped.
TEST(server_restarts, restart_under_same_id_replaces_record_immediately) {
    for (const bool stopped : {false, true}) {
        control_site s = make_site_with_starts();
        server_announcement announcement = announce_start("s2", false, 1'000, 41);
        (stopped ? announcement.stopped : announcement.leaving) = true;
        s.renew("x", {announcement}, all_alive());
        s.tick();
        server_announcement again = announce_start("s2", false, 2'000, 1);
        again.record.port = 6000;
        s.renew("x", {again}, all_alive());
        ASSERT_TRUE(s.cluster.servers.contains({"s2"})) << "stopped: " << stopped;
        const server_record record = s.cluster.servers.at({"s2"});
        EXPECT_EQ(record.port, 6000) << "stopped: " << stopped;
        EXPECT_EQ(record.start_time_ms, 2'000U);
        EXPECT_FALSE(record.leaving);
    }
}

TEST(server_restarts, earlier_start_is_ignored_despite_higher_sequence) {
    control_site s = make_site_with_starts();
    s.renew("x", {announce_start("s2", false, 2'000, 1)}, all_alive());
    const server_record before = s.cluster.servers.at({"s2"});
    for (const bool new_leader : {false, true}) {
        if (new_leader) {
            start_leading(s.control, 4, s.now);
        }
        server_announcement late = announce_start("s2", true, 1'000, 99);
        late.leaving = true;
        late.record.port = 6000;
        s.renew("x", {late}, all_alive());
        late.stopped = true;
        s.renew("x", {late}, all_alive());
        s.tick();
        ASSERT_TRUE(s.cluster.servers.contains({"s2"}));
        EXPECT_EQ(s.cluster.servers.at({"s2"}), before) << "new leader: " << new_leader;
    }
    EXPECT_EQ(s.group().primary, server_id{"s1"});
}

// The restarted primary holds no data, although it announces itself as primary. A server that holds the log
// takes over.
TEST(server_restarts, restarted_primary_must_be_promoted_again) {
    control_site s = make_site_with_starts();
    s.renew("x", {}, {{.server = {"s1"}, .alive = true, .is_primary = true, .timeline = 1, .position = 20}});
    s.renew("x", {announce_start("s1", true, 2'000, 1)}, all_alive());
    s.tick();
    EXPECT_EQ(s.group().phase, group_phase::fencing);
    s.renew("x", {}, all_alive()); // confirms the fence
    s.tick();
    while (const auto probe = s.take_pending<probe_server>()) {
        const bool restarted = probe->server.id == server_id{"s1"};
        s.answer({.operation = probe->operation,
                  .server = probe->server.id,
                  .answered = true,
                  .is_primary = restarted,
                  .timeline = 1,
                  .position = restarted ? 0U : 20U});
    }
    const auto promotion = s.take_pending<promote_server>();
    ASSERT_TRUE(promotion.has_value());
    EXPECT_NE(promotion->server.id, server_id{"s1"});
}

// The leader that registered the restart may fail before it fences the group.
TEST(server_restarts, new_leader_detects_restarted_primary) {
    control_site s = make_site_with_starts();
    server_record again = s.cluster.servers.at({"s1"});
    again.start_time_ms = 2'000;
    again.start_number += 1'000;
    apply(s.cluster, s.cluster.revision + 1, register_server{again});
    start_leading(s.control, 4, s.now);
    s.now += std::chrono::seconds{3};
    s.renew("x", {}, all_alive());
    s.tick();
    EXPECT_EQ(s.group().phase, group_phase::fencing);
}

// All servers of the group restarted without data, so no server will ever hold the newest timeline again.
TEST(server_restarts, group_recovers_after_all_servers_lost_their_logs) {
    for (const bool one_is_silent : {true, false}) {
        control_site s = make_site_with_starts();
        s.control.config.always_promote = true;
        s.renew("x",
                {announce_start("s1", false, 2'000, 1), announce_start("s2", false, 2'000, 1),
                 announce_start("s3", false, 2'000, 1)},
                all_alive());
        s.tick();
        s.renew("x", {}, all_alive()); // confirms the fence
        s.tick();
        while (const auto probe = s.take_pending<probe_server>()) {
            s.answer({.operation = probe->operation,
                      .server = probe->server.id,
                      .answered = !one_is_silent || probe->server.id != server_id{"s3"},
                      .timeline = 0});
        }
        s.now += milliseconds{400};
        s.tick();
        EXPECT_EQ(s.take_pending<promote_server>().has_value(), !one_is_silent);
    }
}

// A restart looks outdated if the clock was set back while the server was down, if two starts fell into one
// millisecond or if the server reports no start time. Delayed announcements cease, but these continue while
// the other start is silent.
TEST(server_restarts, outdated_looking_start_is_accepted_once_other_is_silent) {
    for (const std::uint64_t started : {500U, 1'000U, 0U}) {
        control_site s = make_site_with_starts();
        const std::uint64_t first_number = s.cluster.servers.at({"s2"}).start_number;
        for (std::uint64_t i = 1; i <= 5; ++i) {
            s.renew("x", {announce_start("s2", false, started, i)}, all_alive());
            EXPECT_EQ(s.cluster.servers.at({"s2"}).start_number, first_number) << "too early: " << i;
            s.now += milliseconds{600};
        }
        for (std::uint64_t i = 6; i <= 12; ++i) {
            s.renew("x", {announce_start("s2", false, started, i)}, all_alive());
            s.now += milliseconds{600};
        }
        EXPECT_NE(s.cluster.servers.at({"s2"}).start_number, first_number) << "started " << started;
    }
}

// A server keeps its group within one start. An announcement with another group comes from another process.
TEST(server_restarts, server_keeps_its_group) {
    control_site s = make_site_with_starts();
    server_announcement other = announce_start("s2", true, 1'000, 41);
    other.record.group = {"other"};
    s.renew("x", {other}, all_alive());
    EXPECT_EQ(s.cluster.servers.at({"s2"}).group, group_id{"g"});
    EXPECT_FALSE(s.cluster.groups.contains({"other"}));
}

//-----------------------------------------------------------------------------
// [promotion]
//-----------------------------------------------------------------------------

// Drives a failover of the dead s1 up to the promotion.
promote_server fail_over(control_site& s) {
    const std::vector<server_observation> seen{{.server = {"s1"}, .alive = false},
                                               {.server = {"s2"}, .alive = true},
                                               {.server = {"s3"}, .alive = true}};
    s.renew("x", {}, seen);
    s.tick();
    s.renew("x", {}, seen);
    s.tick();
    s.answer_probes({"s1"}, 20);
    const auto promotion = s.take_pending<promote_server>();
    EXPECT_TRUE(promotion.has_value());
    return promotion.value_or(promote_server{});
}

TEST(promotion, fencing_token_increases_with_each_attempt) {
    control_site s = make_site();
    const promote_server first = fail_over(s);
    s.answer({.operation = first.operation, .server = first.server.id});
    s.tick();
    s.answer_probes({"s1"}, 20);
    const auto second = s.take_pending<promote_server>();
    ASSERT_TRUE(second.has_value());
    EXPECT_GT(second->token, first.token);
    control_state later;
    start_leading(later, 4, s.now);
    EXPECT_GT(make_monotonic_number(later, 0), second->token) << "tokens of the next leader are higher";
}

TEST(promotion, unanswered_promotion_is_repeated_on_same_server) {
    control_site s = make_site();
    s.control.config.always_promote = true;
    const promote_server first = fail_over(s);
    s.answer({.operation = first.operation, .server = first.server.id, .outcome_unknown = true});
    const auto second = s.take_pending<promote_server>();
    ASSERT_TRUE(second.has_value()) << "repeated immediately, without probing all servers again";
    EXPECT_EQ(second->server.id, first.server.id);
    EXPECT_GT(second->token, first.token);
}

// A replica answered, left and was removed while the other one was still waited for. The leading control
// process ended with std::out_of_range when it promoted the one that had left.
TEST(promotion, removed_server_is_no_candidate) {
    control_site s = make_site();
    const std::vector<server_observation> primary_dead{{.server = {"s1"}, .alive = false},
                                                       {.server = {"s2"}, .alive = true},
                                                       {.server = {"s3"}, .alive = true}};
    s.renew("x", {}, primary_dead);
    s.tick();
    s.renew("x", {}, primary_dead);
    s.tick();
    while (const auto probe = s.take_pending<probe_server>()) {
        if (probe->server.id == server_id{"s2"}) {
            s.answer({.operation = probe->operation,
                      .server = {"s2"},
                      .answered = true,
                      .timeline = 1,
                      .position = 10});
        }
    }
    server_announcement stopped = announce("s2", false, 2);
    stopped.stopped = true;
    s.renew("x", {stopped}, primary_dead);
    s.tick();
    ASSERT_FALSE(s.cluster.servers.contains({"s2"}));
    s.now += milliseconds{310};
    s.renew("x", {}, primary_dead);
    s.tick();
    EXPECT_FALSE(s.take_pending<promote_server>().has_value());
    s.now += milliseconds{250};
    s.renew("x", {}, primary_dead);
    s.tick();
    s.answer_probes({"s1"}, 10);
    const auto promotion = s.take_pending<promote_server>();
    ASSERT_TRUE(promotion.has_value());
    EXPECT_EQ(promotion->server.id, server_id{"s3"});
}

//-----------------------------------------------------------------------------
// [new leader]
//-----------------------------------------------------------------------------

TEST(new_leader, waits_until_all_daemons_have_confirmed) {
    control_site s = make_site();
    s.renew("y");
    start_leading(s.control, 4, s.now); // another leader, immediately
    s.seqs.clear();
    const revision_number fence = s.cluster.revision;
    s.renew("x");
    EXPECT_FALSE(is_in_force(s.control, s.cluster, fence, s.now))
        << "y may hold a lease of the earlier leader";
    s.renew("y");
    EXPECT_TRUE(is_in_force(s.control, s.cluster, fence, s.now)) << "no need to wait for a lease to expire";
    EXPECT_FALSE(is_in_force(s.control, s.cluster, fence + 1, s.now))
        << "no daemon has confirmed this revision";
    s.now += std::chrono::seconds{3};
    EXPECT_TRUE(is_in_force(s.control, s.cluster, fence, s.now));
}

//-----------------------------------------------------------------------------
// [members]
//-----------------------------------------------------------------------------

// A leader and the instances in its log, all heard from just now.
struct member_site {
    std::mt19937_64 random{1};
    time_point now{std::chrono::seconds{100}};
    control_core core;

    void add(raft::node_id id, const std::string& domain, bool voter) {
        const std::string name = std::to_string(id);
        const std::string address = "127.0.0.1:" + name;
        core.consensus.members.members.push_back(
            {.id = id, .name = name, .address = address, .voter = voter});
        core.cluster.instances[{name}] = {.id = {name}, .domain = {domain}, .address = address};
        if (id > 1) {
            raft::progress& p = core.consensus.peers[id];
            p.acked = true;
            p.acked_round_sent_at = now;
        }
    }
    void silence(raft::node_id id, duration time) {
        core.consensus.peers[id].acked_round_sent_at = now - time;
    }
    // Lets the leader change its members once, and commits the change immediately.
    void run() {
        tick(core, now, random);
        core.consensus.commit = raft::last_index(core.consensus);
    }
    [[nodiscard]] bool votes(raft::node_id id) const { return raft::is_voter(core.consensus.members, id); }
    [[nodiscard]] bool knows(raft::node_id id) const {
        return raft::find_member(core.consensus.members, id) != nullptr;
    }
};

member_site make_members(std::size_t wanted_voters) {
    member_site s;
    s.core = make_control_core({.encode = encode_command,
                                .decode = decode_command,
                                .encode_state = encode_state,
                                .decode_state = decode_state},
                               {.id = 1, .name = "1", .address = "127.0.0.1:1"}, {}, {}, {}, s.now, s.random);
    s.core.consensus.current_role = raft::role::leader;
    s.core.control.leading = true;
    s.core.consensus.last_heartbeat = s.now;
    s.core.target_voters = wanted_voters;
    return s;
}

TEST(members, surplus_silent_voter_is_removed) {
    member_site s = make_members(0);
    for (raft::node_id id = 1; id <= 4; ++id) {
        s.add(id, "d" + std::to_string(id), true);
    }
    s.silence(4, std::chrono::seconds{10});
    s.run();
    EXPECT_TRUE(s.votes(4)) << "voters are kept if no number of voters is set";
    s.core.target_voters = 3;
    s.run();
    EXPECT_FALSE(s.knows(4));
    EXPECT_EQ(s.core.consensus.members.members.size(), 3U);
}

TEST(members, learner_is_promoted_only_if_voter_is_silent) {
    member_site s = make_members(voters_for_tolerated_losses(1));
    s.add(1, "a", true);
    s.add(2, "b", true);
    s.add(3, "c", true);
    s.add(4, "a", false);
    s.run();
    EXPECT_FALSE(s.votes(4));
    s.silence(3, std::chrono::seconds{2});
    s.run();
    EXPECT_TRUE(s.votes(4));
    EXPECT_TRUE(s.votes(3)) << "the silent voter is removed after the promotion, not before";
    s.run();
    EXPECT_FALSE(s.knows(3));
}

TEST(members, learner_in_failure_domain_with_fewest_voters_is_promoted_first) {
    member_site s = make_members(voters_for_tolerated_losses(2));
    s.add(1, "a", true);
    s.add(2, "a", true);
    s.add(3, "b", true);
    s.add(4, "b", true);
    s.add(5, "a", false);
    s.add(6, "c", false);
    s.run();
    EXPECT_FALSE(s.votes(5));
    EXPECT_TRUE(s.votes(6));
}

// A lost identity is removed before its successor has the vote: an edit accepted by five voters was
// acknowledged by three of four, and two more disks would have left no majority that holds it.
TEST(members, edit_is_acknowledged_once_there_are_enough_voters_again) {
    member_site s = make_members(voters_for_tolerated_losses(2));
    for (raft::node_id id = 1; id <= 6; ++id) {
        s.add(id, "d" + std::to_string(id), id <= 5);
    }
    s.core.consensus.members.members.back().address = "127.0.0.1:5"; // the replacement of voter 5
    EXPECT_TRUE(can_acknowledge_changes(s.core));
    s.silence(5, std::chrono::milliseconds{500});
    s.run();
    ASSERT_FALSE(s.knows(5));
    EXPECT_FALSE(can_acknowledge_changes(s.core));
    tick(s.core, s.now, s.random);
    ASSERT_TRUE(s.votes(6));
    EXPECT_FALSE(can_acknowledge_changes(s.core)) << "the change of the voters is not committed yet";
    s.core.consensus.commit = raft::last_index(s.core.consensus);
    EXPECT_TRUE(can_acknowledge_changes(s.core));
}

TEST(members, changes_require_enough_voters) {
    member_site s = make_members(voters_for_tolerated_losses(2));
    s.add(1, "a", true);
    s.add(2, "b", true);
    s.add(3, "c", true);
    EXPECT_FALSE(has_enough_voters(s.core)) << "losing two disks could lose the change";
    s.add(4, "a", true);
    s.add(5, "b", true);
    EXPECT_TRUE(has_enough_voters(s.core));
}

// Nothing showed that a cluster with four living voters of five tolerates one loss only.
TEST(members, tolerated_losses_count_silent_voters_as_lost) {
    member_site s = make_members(voters_for_tolerated_losses(2));
    for (raft::node_id id = 1; id <= 5; ++id) {
        s.add(id, "d" + std::to_string(id), true);
    }
    EXPECT_EQ(count_tolerated_losses(s.core, s.now), 2U);
    s.silence(5, std::chrono::seconds{10});
    EXPECT_EQ(count_tolerated_losses(s.core, s.now), 1U);
    s.silence(4, std::chrono::seconds{10});
    s.silence(3, std::chrono::seconds{10});
    EXPECT_EQ(count_tolerated_losses(s.core, s.now), 0U);
}

// A voter that was cut off while another instance joined granted that one its vote and dropped the reply, as
// it knew no address: no leader could be elected if the candidate alone had the whole log.
TEST(members, candidate_that_joined_during_a_cut_gets_its_reply) {
    member_site s = make_members(voters_for_tolerated_losses(1));
    s.add(1, "a", true);
    s.add(2, "b", true);
    s.core.consensus.current_role = raft::role::follower;
    raft::message request;
    request.kind = raft::message_kind::vote_request;
    request.from = 3;
    request.to = 1;
    request.term = s.core.consensus.hard.term + 1;
    request.log_index = raft::last_index(s.core.consensus) + 1;
    request.log_term = request.term;
    record_sender(s.core, request, "127.0.0.1:3");
    step(s.core, request, s.now + std::chrono::seconds{10}, s.random);
    const auto replies = take_output(s.core).consensus.messages;
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_TRUE(replies[0].granted);
    EXPECT_EQ(find_address(s.core, replies[0].to), "127.0.0.1:3");
}

TEST(members, instance_without_leader_requests_to_join_again) {
    member_site s = make_members(voters_for_tolerated_losses(1));
    s.add(1, "a", true);
    s.add(2, "b", true);
    EXPECT_FALSE(should_join(s.core, s.now)) << "the instance is the leader";
    s.core.consensus.current_role = raft::role::follower;
    s.core.consensus.last_leader_contact = s.now;
    EXPECT_FALSE(should_join(s.core, s.now + std::chrono::seconds{1}));
    EXPECT_TRUE(should_join(s.core, s.now + std::chrono::seconds{10}));
}

// A member went on naming the leader that it had joined under, which others then asked in vain.
TEST(members, leader_known_from_joining_is_forgotten_by_members) {
    member_site s = make_members(voters_for_tolerated_losses(1));
    s.core.consensus.current_role = raft::role::follower;
    record_join_answer(s.core.joining, "127.0.0.1:2", result_code::not_leader, "127.0.0.1:3");
    EXPECT_EQ(choose_join_address(s.core, {}, s.now), "127.0.0.1:3");
    EXPECT_EQ(leader_address(s.core), "127.0.0.1:3");
    s.add(1, "a", true);
    s.core.consensus.last_leader_contact = s.now;
    EXPECT_EQ(choose_join_address(s.core, {}, s.now), std::nullopt);
    EXPECT_EQ(leader_address(s.core), "");
}

// A voter that was removed while it was cut off asked to be added only seconds after its return, as it saw no
// leader and did not know why.
TEST(members, removed_voter_is_told_by_the_leader) {
    member_site leader = make_members(voters_for_tolerated_losses(1));
    leader.add(1, "a", true);
    leader.add(2, "b", true);
    leader.add(3, "c", true);
    raft::message election;
    election.kind = raft::message_kind::pre_vote_request;
    election.from = 4;
    election.to = 1;
    record_sender(leader.core, election, "127.0.0.1:4");
    EXPECT_EQ(find_unknown_controls(leader.core, {}, leader.now), std::vector<std::string>{"127.0.0.1:4"});

    member_site removed = make_members(voters_for_tolerated_losses(1));
    removed.add(1, "a", true); // in its own list
    removed.core.consensus.current_role = raft::role::follower;
    removed.core.consensus.hard.term = 5;
    removed.core.consensus.last_leader_contact = removed.now;
    raft::message greeting;
    greeting.from = 7;
    greeting.term = 5;
    record_sender(removed.core, greeting, "127.0.0.1:7");
    EXPECT_EQ(choose_join_address(removed.core, {}, removed.now), std::nullopt) << "it has a leader";
    removed.now += std::chrono::seconds{1};
    record_sender(removed.core, greeting, "127.0.0.1:7");
    EXPECT_EQ(choose_join_address(removed.core, {}, removed.now), "127.0.0.1:7");
}

TEST(members, silent_learner_is_removed) {
    member_site s = make_members(voters_for_tolerated_losses(1));
    s.add(1, "a", true);
    s.add(2, "b", true);
    s.add(3, "c", true);
    s.add(4, "a", false);
    s.silence(4, std::chrono::seconds{20});
    s.run();
    EXPECT_FALSE(s.knows(4));
}

//-----------------------------------------------------------------------------
// [shares]
//-----------------------------------------------------------------------------

// A daemon that is cut off continues to read over its connections for a while, which the server must bear.
TEST(connection_shares, lost_daemons_share_is_regranted_after_grace_period) {
    control_site s = make_site();
    apply(s.cluster, s.cluster.revision + 1, make_versioned(1, 10));
    const share_claim few{.key = {.service = {"g"}, .server = {"s1"}}, .in_effect = 8, .wanted = 8};
    const share_claim many{.key = few.key, .in_effect = 0, .wanted = 10};
    s.renew("x");
    s.renew("y");
    s.renew("x", {}, {}, {few});
    s.now += s.control.config.lease * 11 / 10; // x no longer renews
    EXPECT_LE(s.renew("y", {}, {}, {many}).shares.at(0).connections, 2U);
    s.now += s.control.config.share_grace;
    EXPECT_EQ(s.renew("y", {}, {}, {many}).shares.at(0).connections, 9U) << "x keeps its reserved connection";
}

// All processes end at once, and one control instance never returns. It held no connections, so the other
// daemons need not wait for its lease to expire.
TEST(connection_shares, new_leader_waits_only_for_possible_holders) {
    control_site s = make_site();
    apply(s.cluster, s.cluster.revision + 1, make_versioned(1, 10));
    const share_claim claim{.key = {.service = {"g"}, .server = {"s1"}}, .in_effect = 0, .wanted = 4};
    s.renew("x");
    s.renew("y");
    s.accepts_clients = false;
    s.renew("control");
    s.tick();
    ASSERT_TRUE(s.cluster.instances.contains({"control"}));
    start_leading(s.control, 2, s.now);
    s.accepts_clients = true;
    s.seqs.clear();
    EXPECT_EQ(s.renew("x", {}, {}, {claim}).shares.at(0).connections, 0U) << "y may hold connections";
    s.renew("y");
    EXPECT_EQ(s.renew("x", {}, {}, {claim}).shares.at(0).connections, 0U)
        << "y may have sent this renewal before an earlier leader's last grant arrived";
    s.renew("y");
    EXPECT_EQ(s.renew("x", {}, {}, {claim}).shares.at(0).connections, 4U);
    s.accepts_clients = false;
    EXPECT_EQ(s.renew("control", {}, {}, {claim}).shares.at(0).connections, 0U)
        << "an instance without clients gets no share";
}

// A renewal may arrive after a later one if the link lost packets or the instance was frozen.
TEST(connection_shares, out_of_order_renewal_releases_no_share) {
    control_site s = make_site();
    apply(s.cluster, s.cluster.revision + 1, make_versioned(1, 10));
    const share_claim wants{.key = {.service = {"g"}, .server = {"s1"}}, .in_effect = 0, .wanted = 9};
    s.renew("x");
    s.renew("y");
    const std::uint64_t before = s.seqs[{"x"}];
    const unsigned held = s.renew("x", {}, {}, {wants}).shares.at(0).connections;
    ASSERT_EQ(held, 9U);
    share_claim has = wants;
    has.in_effect = held;
    s.renew("x", {}, {}, {has});
    const std::uint64_t newest = s.seqs[{"x"}];
    s.seqs[{"x"}] = before;
    EXPECT_TRUE(s.renew("x", {}, {}, {wants}).shares.empty())
        << "the renewal was sent before x held connections";
    s.seqs[{"x"}] = newest;
    EXPECT_LE(s.renew("y", {}, {}, {wants}).shares.at(0).connections, 10 - held);
}

// The next leader learns only from the log which daemons may hold a lease.
TEST(new_leader, finds_every_lease_holder_in_log) {
    control_site s;
    s.control.leading_since = s.now; // a commit takes time, and the leader may change meanwhile
    renewal first;
    first.instance = {.id = {"x"}, .domain = {"d"}, .address = "127.0.0.1:1", .accepts_clients = true};
    first.incarnation = 1;
    control_actions uncommitted;
    EXPECT_EQ(on_renewal(s.control, s.cluster, first, s.now, uncommitted).lease, duration{0});
    s.execute(uncommitted);
    EXPECT_GT(s.renew("x").lease, duration{0});
}

// After the time of day was set back, a restarted instance got no lease and served nothing until control
// changed its leader.
TEST(leases, instance_with_clock_set_back_gets_lease_after_earlier_one_expires) {
    control_site s = make_site();
    s.incarnation = 5;
    EXPECT_GT(s.renew("x").lease, duration{0});
    s.incarnation = 4;
    s.seqs.clear();
    EXPECT_EQ(s.renew("x").code, result_code::bad_message) << "the earlier process may hold a lease";
    s.now += std::chrono::seconds{2};
    const renewal_reply reply = s.renew("x");
    EXPECT_EQ(reply.code, result_code::ok);
    EXPECT_GT(reply.lease, duration{0});
}

TEST(connection_shares, reserve_connections_for_probes) {
    control_site s = make_site();
    s.control.config.kept_connections = 4;
    control_actions actions;
    apply(s.cluster, s.cluster.revision + 1, make_versioned(1, 23));
    const share_claim all{.key = {.service = {"g"}, .server = {"s1"}}, .in_effect = 0, .wanted = 100};
    s.renew("x", {}, {}, {all});
    const renewal_reply reply = s.renew("x", {}, {}, {all});
    ASSERT_EQ(reply.shares.size(), 1U);
    EXPECT_EQ(reply.shares[0].connections, 19U);
}

// A share that was granted but not yet confirmed counts, even if the daemon no longer claims it.
TEST(connection_shares, granted_share_counts_until_confirmed_released) {
    control_site s = make_site();
    apply(s.cluster, s.cluster.revision + 1, make_versioned(1, 10));
    const share_claim all{.key = {.service = {"g"}, .server = {"s1"}}, .in_effect = 0, .wanted = 10};
    s.renew("x");
    s.renew("y");
    const std::uint64_t confirmed = s.seqs[{"x"}];
    const renewal_reply granted = s.renew("x", {}, {}, {all});
    ASSERT_EQ(granted.shares.size(), 1U);
    ASSERT_GT(granted.shares[0].connections, 5U);
    const auto left = [&] { return s.renew("y", {}, {}, {all}).shares.at(0).connections; };
    EXPECT_LE(left(), 10 - granted.shares[0].connections);
    s.seqs[{"x"}] = confirmed; // the daemon has not received the grant yet
    const std::uint64_t sent = granted.seq;
    s.renew("x");
    EXPECT_LE(left(), 10 - granted.shares[0].connections) << "x claims nothing, but may act on the grant";
    s.seqs[{"x"}] = sent;
    s.renew("x");
    EXPECT_GE(left(), 8U);
}

TEST(connection_shares, are_divided_by_demand_and_counted_by_holdings) {
    share_ledger l;
    const share_key key{.service = {"g"}, .server = {"s1"}};
    const time_point now{std::chrono::seconds{100}};
    const holder_number a = assign_holder_number(l, {"a"});
    const holder_number b = assign_holder_number(l, {"b"});
    const holder_number gone = assign_holder_number(l, {"gone"});
    l.held_until[a] = now + milliseconds{1};
    l.held_until[b] = now + milliseconds{1};
    record_holder(l, key, a, 3, 6);
    record_holder(l, key, b, 4, 2);
    record_holder(l, key, gone, 5, 5);
    const share_decision expected{.target = 6, .held_by_others = 4};
    EXPECT_EQ(decide_share(l, key, a, 6, 8, now), expected)
        << "a daemon with an expired lease does not count";
    set_reserves(l, key, {{"gone"}}, 1);
    EXPECT_EQ(decide_share(l, key, a, 6, 8, now).held_by_others, 5U) << "except for its reserved connection";
    remove_holder(l, b);
    EXPECT_EQ(decide_share(l, key, a, 6, 8, now).held_by_others, 1U);
}

} // namespace
} // namespace larchpin
