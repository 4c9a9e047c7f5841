// What the leading control instance decides, one decision at a time and without I/O.
//
// Index
//   [a site]  [founding]  [edits]  [leaving]  [planned switches]  [starts]  [promotion]  [a new leader]
//   [members]  [shares]
#include "core/control_core.hpp"
#include "daemon/watch_replies.hpp"
#include "generated/larchpin.pb.h"
#include "io/codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [a site]
//-----------------------------------------------------------------------------

// One group of three servers, one daemon a failure domain, a leader; commands apply as soon as proposed.
struct control_site {
    control_state control;
    cluster_state cluster;
    time_point now{std::chrono::seconds{100}};
    std::vector<control_action> pending_actions; // probes and promotions that nobody has answered
    std::vector<std::string> events;
    std::map<instance_id, std::uint64_t> seqs;

    control_site() {
        start_leading(control, 3, now);
        now += std::chrono::seconds{3}; // the leases of an earlier leader have run out
    }

    void execute(control_actions& actions) {
        for (const control_action& a : actions) {
            if (const auto* proposal = std::get_if<propose_command>(&a)) {
                apply(cluster, cluster.revision + 1, proposal->proposed);
                control_actions more;
                on_applied(control, cluster, now, more);
                execute(more);
            } else if (const auto* note = std::get_if<report_event>(&a)) {
                events.push_back(note->event);
            } else {
                pending_actions.push_back(a);
            }
        }
    }

    bool accepts_clients = true; // of whoever renews next
    std::uint64_t incarnation = 1;
    renewal_reply renew(const std::string& daemon, const std::vector<server_announcement>& announced = {},
                        const std::vector<server_observation>& seen = {},
                        const std::vector<share_claim>& claims = {}) {
        renewal r;
        r.instance = {.id = {daemon},
                      .domain = {"d-" + daemon},
                      .address = "127.0.0.1:1",
                      .accepts_clients = accepts_clients};
        r.incarnation = incarnation;
        r.applied_revision = cluster.revision;
        r.last_reply_seq = seqs[r.instance.id];
        r.announcements = announced;
        r.observations = seen;
        r.claims = claims;
        control_actions actions;
        renewal_reply reply = on_renewal(control, cluster, r, now, actions);
        seqs[r.instance.id] = reply.seq;
        execute(actions);
        return reply;
    }

    void tick() {
        control_actions actions;
        on_tick(control, cluster, now, actions);
        execute(actions);
    }

    void answer(const server_answer& a) {
        control_actions actions;
        on_server_answer(control, cluster, a, now, actions);
        execute(actions);
    }

    // The only open action of this kind, taken off the list.
    template <typename kind> std::optional<kind> take_pending() {
        const auto found = std::find_if(pending_actions.begin(), pending_actions.end(), [](const control_action& a) {
            return std::holds_alternative<kind>(a);
        });
        if (found == pending_actions.end()) {
            return std::nullopt;
        }
        const kind taken = std::get<kind>(*found);
        pending_actions.erase(found);
        return taken;
    }

    // Answers every open probe as a healthy group would: the primary leads, all hold `position`.
    void answer_probes(const server_id& primary, log_position position) {
        while (const auto probe = take_pending<probe_server>()) {
            answer({.operation = probe->operation,
                    .server = probe->server.id,
                    .answered = true,
                    .is_primary = probe->server.id == primary,
                    .timeline = cluster.groups.contains({"g"}) ? cluster.groups.at({"g"}).timeline : 1,
                    .position = position});
        }
    }

    group_record group() { return cluster.groups.at({"g"}); }

    // As every daemon knows them.
    std::vector<server_id> leaving() const {
        std::vector<server_id> found;
        for (const auto& [id, server] : cluster.servers) {
            if (server.leaving) {
                found.push_back(id);
            }
        }
        return found;
    }
};

server_announcement announce(const std::string& id, bool primary, std::uint64_t sequence) {
    server_announcement a;
    const auto port = static_cast<std::uint16_t>(5400 + id.back()); // each at an address of its own
    a.record = {.id = {id}, .group = {"g"}, .host = "127.0.0.1", .port = port, .domain = {"d-x"}};
    a.is_primary = primary;
    a.sequence = sequence;
    return a;
}

std::vector<server_observation> all_alive() {
    return {{.server = {"s1"}, .alive = true},
            {.server = {"s2"}, .alive = true},
            {.server = {"s3"}, .alive = true}};
}

// A founded group with s1 as its primary.
control_site make_site() {
    control_site s;
    s.renew("x", {announce("s1", true, 1), announce("s2", false, 1), announce("s3", false, 1)}, all_alive());
    s.answer_probes({"s1"}, 10);
    return s;
}

//-----------------------------------------------------------------------------
// [founding]
//-----------------------------------------------------------------------------

TEST(founding, a_primary_that_does_not_tell_its_timeline_is_asked_for_it) {
    control_site s;
    s.renew("x", {announce("s1", true, 1)});
    const auto probe = s.take_pending<probe_server>();
    ASSERT_TRUE(probe.has_value());
    EXPECT_FALSE(s.cluster.groups.contains({"g"}));
    s.renew("x", {announce("s1", true, 2)});
    EXPECT_FALSE(s.take_pending<probe_server>().has_value()) << "one question at a time";
    s.answer({.operation = probe->operation,
              .server = {"s1"},
              .answered = true,
              .is_primary = true,
              .timeline = 4,
              .position = 9});
    EXPECT_EQ(s.group().timeline, 4U);
    EXPECT_EQ(s.group().primary, server_id{"s1"});
}

TEST(founding, a_question_without_an_answer_is_asked_again) {
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

TEST(versioned_edits, the_highest_version_wins_whatever_the_order) {
    cluster_state s;
    EXPECT_EQ(apply(s, 1, make_versioned(7, 5)).code, result_code::ok);
    EXPECT_EQ(apply(s, 2, make_versioned(3, 6)).code, result_code::ok) << "taken as done";
    EXPECT_EQ(apply(s, 3, make_versioned(7, 8)).code, result_code::ok) << "other content, same version";
    EXPECT_EQ(s.current_table.services[0].max_connections, 5U);
    EXPECT_EQ(s.document, "document 7");
    EXPECT_EQ(apply(s, 4, make_versioned(9, 0)).code, result_code::table_invalid);
    EXPECT_EQ(s.table_version, 7U);
    EXPECT_TRUE(s.recorded_changes.empty()) << "versions need no memory of ids";
}

// A control instance that founded a cluster alone.
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

// A daemon that starts anew fetches the state over a small link; its history took 2 s (measured).
TEST(watching, a_daemon_that_starts_anew_gets_the_state_and_not_its_history) {
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
    EXPECT_LT(anew.size(), next.size() + 1000) << "about one table";
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

// An entry needs the table, not the text that an operator reads back; it may be as large again.
TEST(versioned_edits, daemons_get_the_table_without_the_document) {
    single_control site;
    const control_core& c = site.core;
    site.edit(make_versioned(7, 5));
    ASSERT_EQ(c.cluster.document, "document 7");
    for (const raft::entry& e : c.recent_entries) {
        EXPECT_EQ(e.command.find("document 7"), std::string::npos);
    }
    EXPECT_EQ(c.recent_entries.back().index, c.cluster.revision);
}

TEST(versioned_edits, a_route_must_name_a_service_and_a_time) {
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
    EXPECT_NE(check_table(t), "") << "twice the same database";
}

//-----------------------------------------------------------------------------
// [leaving]
//-----------------------------------------------------------------------------

TEST(leaving, a_primary_that_leaves_hands_over_to_another_server) {
    control_site s = make_site();
    server_announcement bye = announce("s1", true, 2);
    bye.leaving = true;
    s.renew("x", {bye}, all_alive());
    EXPECT_EQ(s.leaving(), std::vector<server_id>{{"s1"}});
    s.tick();
    EXPECT_EQ(s.group().phase, group_phase::serving) << "who could follow is asked first";
    s.answer_probes({"s1"}, 20);
    EXPECT_EQ(s.group().phase, group_phase::fencing);
    s.renew("x", {}, all_alive()); // confirms the fence
    s.tick();
    s.answer_probes({"s1"}, 20);
    const auto order = s.take_pending<promote_server>();
    ASSERT_TRUE(order.has_value());
    EXPECT_NE(order->server.id, server_id{"s1"});
}

//-----------------------------------------------------------------------------
// [planned switches]
//-----------------------------------------------------------------------------

// s1 leaves, or an operator wants s2 in its place. The primary's log and the longest other one are set by
// each test; time goes on in small steps, as the leader's ticks do.
struct switchover_site {
    control_site s = make_site();
    log_position primary_position = 100;
    log_position replica_position = 100;
    bool primary_answers = true;

    void leave() {
        server_announcement bye = announce("s1", true, 2);
        bye.leaving = true;
        s.renew("x", {bye}, all_alive());
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

TEST(planned_switch, waits_until_a_successor_holds_all_that_the_fenced_primary_holds) {
    switchover_site p;
    p.replica_position = 99;
    p.leave();
    p.run_for(milliseconds{20});
    EXPECT_TRUE(p.takes_writes()) << "nobody holds what the primary held when it was asked first";
    p.primary_position = 110;
    p.replica_position = 105;
    p.run_for(milliseconds{200});
    EXPECT_FALSE(p.takes_writes());
    EXPECT_FALSE(p.next_promotion().has_value()) << "105 of 110";
    p.replica_position = 110;
    p.run_for(milliseconds{200});
    const auto order = p.next_promotion();
    ASSERT_TRUE(order.has_value());
    EXPECT_NE(order->server.id, server_id{"s1"});
}

// A replica that is seconds behind would keep the writes closed for seconds, over and over.
TEST(planned_switch, closes_no_writes_for_replicas_that_are_far_behind) {
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
    EXPECT_LE(asked, 60U) << "questions to three servers";
    EXPECT_GE(asked, 15U);
    p.replica_position = 100;
    p.run_for(milliseconds{4000});
    EXPECT_FALSE(p.takes_writes()) << "one has caught up after all";
}

// It was close when the fence was set, and then it stood still.
TEST(planned_switch, lets_the_old_primary_go_on_when_nobody_catches_up) {
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
    EXPECT_FALSE(p.next_promotion().has_value()) << "nobody else was promoted";
}

TEST(planned_switch, loses_nothing_when_the_primary_does_not_answer_the_leader_but_lives) {
    switchover_site p;
    p.leave();
    p.answer();
    ASSERT_FALSE(p.takes_writes());
    p.primary_answers = false;
    p.run_for(milliseconds{3200});
    EXPECT_FALSE(p.next_promotion().has_value()) << "what it acknowledged last is not known";
    EXPECT_TRUE(p.takes_writes());
    EXPECT_EQ(p.s.group().primary, server_id{"s1"});
    EXPECT_TRUE(p.has_event("switchover_given_up"));
}

TEST(planned_switch, is_a_failover_when_the_primary_dies_meanwhile) {
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
        const auto order = p.next_promotion();
        ASSERT_TRUE(order.has_value());
        EXPECT_NE(order->server.id, server_id{"s1"});
    }
}

// The leader that set the fence is gone; the next one leaves the primary as carefully.
TEST(planned_switch, goes_on_as_carefully_under_a_new_leader) {
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

TEST(planned_switch, of_an_operator_is_given_up_without_a_fence_where_the_target_is_behind) {
    switchover_site p;
    p.replica_position = 10;
    p.run_for(milliseconds{10}); // all are seen alive
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

TEST(planned_switch, of_an_operator_goes_before_one_that_has_closed_nothing_yet) {
    switchover_site p;
    p.replica_position = 10;
    p.leave();
    p.run_for(milliseconds{100});
    control_actions actions;
    EXPECT_EQ(start_switchover(p.s.control, p.s.cluster, {"g"}, {"s3"}, p.s.now, actions), result_code::ok);
    p.s.execute(actions);
    p.replica_position = 100;
    p.run_for(milliseconds{500});
    const auto order = p.next_promotion();
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->server.id, server_id{"s3"});
}

//-----------------------------------------------------------------------------
// [leaving], more of it
//-----------------------------------------------------------------------------

TEST(leaving, an_announcement_that_was_overtaken_changes_nothing) {
    control_site s = make_site();
    server_announcement bye = announce("s2", false, 5);
    bye.leaving = true;
    s.renew("x", {bye});
    s.renew("x", {announce("s2", false, 4)});
    EXPECT_EQ(s.leaving(), std::vector<server_id>{{"s2"}});
}

// Held up by a cut, it arrives after its sender has crashed and another server has come up at its address.
TEST(leaving, a_late_announcement_of_a_replaced_server_changes_nothing) {
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
    EXPECT_FALSE(s.cluster.servers.contains({"s2"})) << "however many of them come";
    EXPECT_TRUE(s.cluster.servers.contains({"n2"}));
    EXPECT_EQ(s.group().primary, server_id{"s1"});
}

// A new leader has not heard who came up last at an address: a late announcement may look like the
// newcomer's.
TEST(leaving, a_server_that_was_taken_for_replaced_is_heard_again_once_the_other_is_silent) {
    control_site s = make_site();
    start_leading(s.control, 2, s.now);
    server_announcement living = announce("n2", false, 7);
    living.record.port = announce("x2", false, 1).record.port;
    s.renew("x", {living});
    s.renew("x", {announce("x2", false, 50)}); // of a server that nobody remembers
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

// An acknowledgement rests on it, so neither silence nor a change of leader may end it.
TEST(leaving, a_server_that_leaves_is_not_chosen_after_silence_or_by_a_new_leader) {
    for (const bool new_leader : {false, true}) {
        control_site s = make_site();
        server_announcement bye = announce("s2", false, 2);
        bye.leaving = true;
        s.renew("x", {bye}, all_alive());
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
        const auto order = s.take_pending<promote_server>();
        ASSERT_TRUE(order.has_value());
        EXPECT_EQ(order->server.id, server_id{"s3"}) << "new leader: " << new_leader;
    }
}

// Nobody could follow anyone otherwise, and the group would stay without a primary for good.
TEST(leaving, a_server_that_leaves_is_chosen_where_nobody_else_holds_the_log) {
    control_site s = make_site();
    server_announcement bye = announce("s1", true, 2);
    bye.leaving = true;
    s.renew("x", {bye}, all_alive());
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
        EXPECT_EQ(s.group().phase, group_phase::serving) << "it goes on while the others may catch up";
    }
    EXPECT_EQ(s.group().primary, server_id{"s1"});
    EXPECT_FALSE(s.take_pending<promote_server>().has_value());
}

// The same after a fence that an earlier leader has set.
TEST(leaving, a_server_that_leaves_is_chosen_behind_a_fence_where_nobody_else_holds_the_log) {
    control_site s = make_site();
    server_announcement bye = announce("s1", true, 2);
    bye.leaving = true;
    s.renew("x", {bye}, all_alive());
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

TEST(leaving, a_server_that_is_gone_loses_its_record_but_not_while_it_is_the_primary) {
    control_site s = make_site();
    server_announcement gone = announce("s2", false, 9);
    gone.stopped = true;
    s.renew("x", {gone});
    s.tick();
    EXPECT_FALSE(s.cluster.servers.contains({"s2"}));
    s.renew("x", {announce("s2", false, 8)});
    EXPECT_FALSE(s.cluster.servers.contains({"s2"})) << "a late announcement brings nobody back";
    server_announcement primary_gone = announce("s1", true, 9);
    primary_gone.stopped = true;
    s.renew("x", {primary_gone});
    s.tick();
    EXPECT_TRUE(s.cluster.servers.contains({"s1"}));
}

TEST(leaving, a_server_that_is_lost_for_good_is_forgotten_and_comes_back_by_announcing_itself) {
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

TEST(leaving, nobody_is_forgotten_while_no_announcement_comes_from_anyone) {
    control_site s = make_site();
    for (int i = 0; i < 40; ++i) {
        s.now += milliseconds{500};
        s.renew("x");
        s.tick();
    }
    EXPECT_EQ(s.cluster.servers.size(), 3U);
}

//-----------------------------------------------------------------------------
// [starts]
//-----------------------------------------------------------------------------

server_announcement announce_start(const std::string& id, bool primary, std::uint64_t started,
                                   std::uint64_t sequence) {
    server_announcement a = announce(id, primary, sequence);
    a.record.start_time_ms = started;
    return a;
}

// A founded group whose servers tell when they started; s1 is the primary, all were heard 40 times.
control_site make_site_with_starts() {
    control_site s;
    s.renew("x",
            {announce_start("s1", true, 1'000, 40), announce_start("s2", false, 1'000, 40),
             announce_start("s3", false, 1'000, 40)},
            all_alive());
    s.answer_probes({"s1"}, 10);
    return s;
}

// Its count starts anew, so it counted as overtaken until the count had caught up, or as gone for good.
TEST(starts, a_server_that_starts_again_under_its_id_is_heard_at_once_and_nothing_of_before_holds) {
    for (const bool gone : {false, true}) {
        control_site s = make_site_with_starts();
        server_announcement bye = announce_start("s2", false, 1'000, 41);
        (gone ? bye.stopped : bye.leaving) = true;
        s.renew("x", {bye}, all_alive());
        s.tick();
        server_announcement again = announce_start("s2", false, 2'000, 1);
        again.record.port = 6000;
        s.renew("x", {again}, all_alive());
        ASSERT_TRUE(s.cluster.servers.contains({"s2"})) << "gone: " << gone;
        const server_record record = s.cluster.servers.at({"s2"});
        EXPECT_EQ(record.port, 6000) << "gone: " << gone;
        EXPECT_EQ(record.start_time_ms, 2'000U);
        EXPECT_FALSE(record.leaving);
    }
}

TEST(starts, an_earlier_start_changes_nothing_however_far_it_had_counted) {
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

// It holds nothing, whatever it says of itself; where another server holds the log, that one goes on.
TEST(starts, a_primary_that_starts_again_before_it_was_missed_is_no_primary_until_it_is_promoted) {
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
    const auto order = s.take_pending<promote_server>();
    ASSERT_TRUE(order.has_value());
    EXPECT_NE(order->server.id, server_id{"s1"});
}

// The leader that registered the new start may be gone before it has fenced the group.
TEST(starts, a_new_leader_sees_that_the_primary_has_started_again) {
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

// All servers of the group have come back empty: nobody holds the newest timeline any more, and nobody will.
TEST(starts, a_group_whose_servers_all_lost_their_logs_gets_a_primary_again) {
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

// The server's clock was set back while it was down, or two starts fell into one millisecond, or it tells no
// start at all: its word looks late. But late words end, and this one goes on while the other start is
// silent.
TEST(starts, one_that_looks_earlier_is_believed_when_it_goes_on_and_the_later_one_is_silent) {
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

// Within one start a server keeps its group: another group is another writer's word.
TEST(starts, a_server_does_not_change_its_group) {
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

// Drives a failover of the dead s1 up to the order to promote.
promote_server fail_over(control_site& s) {
    const std::vector<server_observation> seen{{.server = {"s1"}, .alive = false},
                                               {.server = {"s2"}, .alive = true},
                                               {.server = {"s3"}, .alive = true}};
    s.renew("x", {}, seen);
    s.tick();
    s.renew("x", {}, seen);
    s.tick();
    s.answer_probes({"s1"}, 20);
    const auto order = s.take_pending<promote_server>();
    EXPECT_TRUE(order.has_value());
    return order.value_or(promote_server{});
}

TEST(promotion, each_order_has_a_token_above_all_earlier_ones) {
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
    EXPECT_GT(make_monotonic_number(later, 0), second->token) << "of the next leader";
}

TEST(promotion, an_order_without_an_answer_is_given_again_to_the_same_server) {
    control_site s = make_site();
    s.control.config.always_promote = true;
    const promote_server first = fail_over(s);
    s.answer({.operation = first.operation, .server = first.server.id, .outcome_unknown = true});
    const auto second = s.take_pending<promote_server>();
    ASSERT_TRUE(second.has_value()) << "at once, without asking everyone again";
    EXPECT_EQ(second->server.id, first.server.id);
    EXPECT_GT(second->token, first.token);
}

//-----------------------------------------------------------------------------
// [a new leader]
//-----------------------------------------------------------------------------

TEST(a_new_leader, goes_on_once_everyone_has_confirmed_and_not_before) {
    control_site s = make_site();
    s.renew("y");
    start_leading(s.control, 4, s.now); // another one, at once
    s.seqs.clear();
    const revision_number fence = s.cluster.revision;
    s.renew("x");
    EXPECT_FALSE(is_in_force(s.control, s.cluster, fence, s.now))
        << "y may hold a lease of the earlier leader";
    s.renew("y");
    EXPECT_TRUE(is_in_force(s.control, s.cluster, fence, s.now)) << "no need to wait for any lease";
    EXPECT_FALSE(is_in_force(s.control, s.cluster, fence + 1, s.now)) << "nobody has confirmed that";
    s.now += std::chrono::seconds{3};
    EXPECT_TRUE(is_in_force(s.control, s.cluster, fence, s.now));
}

//-----------------------------------------------------------------------------
// [members]
//-----------------------------------------------------------------------------

// A leader, and instances that stand with it in the log, all heard of just now.
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
    void silence(raft::node_id id, duration time) { core.consensus.peers[id].acked_round_sent_at = now - time; }
    // Lets the leader change its members once, as if the change were committed at once.
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

TEST(members, a_replaced_instance_that_is_one_too_many_loses_its_vote) {
    member_site s = make_members(0);
    for (raft::node_id id = 1; id <= 4; ++id) {
        s.add(id, "d" + std::to_string(id), true);
    }
    s.silence(4, std::chrono::seconds{10});
    s.run();
    EXPECT_TRUE(s.votes(4)) << "unless a number of voters is wanted, votes are kept";
    s.core.target_voters = 3;
    s.run();
    EXPECT_FALSE(s.knows(4));
    EXPECT_EQ(s.core.consensus.members.members.size(), 3U);
}

TEST(members, learners_stand_by_while_enough_voters_live) {
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
    EXPECT_TRUE(s.votes(3)) << "the silent one goes after, not before";
    s.run();
    EXPECT_FALSE(s.knows(3));
}

TEST(members, a_learner_of_the_failure_domain_with_the_fewest_voters_comes_first) {
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

TEST(members, no_change_is_taken_before_there_are_enough_voters) {
    member_site s = make_members(voters_for_tolerated_losses(2));
    s.add(1, "a", true);
    s.add(2, "b", true);
    s.add(3, "c", true);
    EXPECT_FALSE(has_enough_voters(s.core)) << "two lost disks could take it away";
    s.add(4, "a", true);
    s.add(5, "b", true);
    EXPECT_TRUE(has_enough_voters(s.core));
}

TEST(members, an_instance_that_hears_no_leader_asks_to_join_again) {
    member_site s = make_members(voters_for_tolerated_losses(1));
    s.add(1, "a", true);
    s.add(2, "b", true);
    EXPECT_FALSE(should_join(s.core, s.now)) << "it leads";
    s.core.consensus.current_role = raft::role::follower;
    s.core.consensus.last_leader_contact = s.now;
    EXPECT_FALSE(should_join(s.core, s.now + std::chrono::seconds{1}));
    EXPECT_TRUE(should_join(s.core, s.now + std::chrono::seconds{10}));
}

TEST(members, a_learner_that_is_gone_is_forgotten) {
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

// A daemon that is cut off goes on reading over its connections for a moment, and the server has to bear
// them.
TEST(shares_of_connections, of_a_lost_daemon_are_given_to_others_only_after_a_while) {
    control_site s = make_site();
    apply(s.cluster, s.cluster.revision + 1, make_versioned(1, 10));
    const share_claim few{.key = {.service = {"g"}, .server = {"s1"}}, .in_effect = 8, .wanted = 8};
    const share_claim many{.key = few.key, .in_effect = 0, .wanted = 10};
    s.renew("x");
    s.renew("y");
    s.renew("x", {}, {}, {few});
    s.now += s.control.config.lease * 11 / 10; // x is not heard of any more
    EXPECT_LE(s.renew("y", {}, {}, {many}).shares.at(0).connections, 2U);
    s.now += s.control.config.share_grace;
    EXPECT_EQ(s.renew("y", {}, {}, {many}).shares.at(0).connections, 9U) << "x keeps its reserve for good";
}

// All processes end at once, and one control instance is gone for good: it held no connections, so its lease
// need not be waited out before the others get theirs.
TEST(shares_of_connections, of_a_new_leader_wait_for_those_only_that_may_hold_some) {
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
    EXPECT_EQ(s.renew("x", {}, {}, {claim}).shares.at(0).connections, 0U) << "y may hold some";
    s.renew("y");
    EXPECT_EQ(s.renew("x", {}, {}, {claim}).shares.at(0).connections, 0U)
        << "y may have sent that before it got some by an earlier leader's last word";
    s.renew("y");
    EXPECT_EQ(s.renew("x", {}, {}, {claim}).shares.at(0).connections, 4U);
    s.accepts_clients = false;
    EXPECT_EQ(s.renew("control", {}, {}, {claim}).shares.at(0).connections, 0U) << "it is not counted";
}

// Over a link that lost packets, or to an instance that was frozen, it arrives after a later one.
TEST(shares_of_connections, are_not_given_away_by_a_renewal_that_was_overtaken) {
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
    EXPECT_TRUE(s.renew("x", {}, {}, {wants}).shares.empty()) << "sent before it held anything";
    s.seqs[{"x"}] = newest;
    EXPECT_LE(s.renew("y", {}, {}, {wants}).shares.at(0).connections, 10 - held);
}

// The next leader knows by the log alone who may hold a lease.
TEST(a_new_leader, finds_every_holder_of_a_lease_in_the_log) {
    control_site s;
    s.control.leading_since = s.now; // a commit takes time, and leaders change meanwhile
    renewal first;
    first.instance = {.id = {"x"}, .domain = {"d"}, .address = "127.0.0.1:1", .accepts_clients = true};
    first.incarnation = 1;
    control_actions uncommitted;
    EXPECT_EQ(on_renewal(s.control, s.cluster, first, s.now, uncommitted).lease, duration{0});
    s.execute(uncommitted);
    EXPECT_GT(s.renew("x").lease, duration{0});
}

// An instance that started again after its time of day had been set back got no lease, and served nothing,
// until control changed its leader.
TEST(leases, of_an_instance_whose_clock_went_back_are_given_once_its_earlier_life_is_over) {
    control_site s = make_site();
    s.incarnation = 5;
    EXPECT_GT(s.renew("x").lease, duration{0});
    s.incarnation = 4;
    s.seqs.clear();
    EXPECT_EQ(s.renew("x").code, result_code::bad_message) << "the other life may hold a lease";
    s.now += std::chrono::seconds{2};
    const renewal_reply reply = s.renew("x");
    EXPECT_EQ(reply.code, result_code::ok);
    EXPECT_GT(reply.lease, duration{0});
}

TEST(shares_of_connections, leave_room_for_probes) {
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

// What a daemon was granted and has not confirmed yet counts, also where it does not claim the share any
// more.
TEST(shares_of_connections, count_until_their_holder_is_known_to_hold_nothing) {
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
    s.seqs[{"x"}] = confirmed; // the grant is still on its way to it
    const std::uint64_t sent = granted.seq;
    s.renew("x");
    EXPECT_LE(left(), 10 - granted.shares[0].connections) << "it claims nothing, but may act on the grant";
    s.seqs[{"x"}] = sent;
    s.renew("x");
    EXPECT_GE(left(), 8U);
}

TEST(shares_of_connections, are_divided_by_wishes_and_counted_by_holdings) {
    share_ledger l;
    const share_key key{.service = {"g"}, .server = {"s1"}};
    const time_point now{std::chrono::seconds{100}};
    const holder_number a = assign_holder_number(l, {"a"});
    const holder_number b = assign_holder_number(l, {"b"});
    const holder_number gone = assign_holder_number(l, {"gone"});
    l.held_until[a] = now + milliseconds{1};
    l.held_until[b] = now + milliseconds{1};
    note_holder(l, key, a, 3, 6);
    note_holder(l, key, b, 4, 2);
    note_holder(l, key, gone, 5, 5);
    const share_decision expected{.target = 6, .held_by_others = 4};
    EXPECT_EQ(decide_share(l, key, a, 6, 8, now), expected) << "the one whose time is over does not count";
    set_reserves(l, key, {{"gone"}}, 1);
    EXPECT_EQ(decide_share(l, key, a, 6, 8, now).held_by_others, 5U) << "but for its reserve";
    remove_holder(l, b);
    EXPECT_EQ(decide_share(l, key, a, 6, 8, now).held_by_others, 1U);
}

} // namespace
} // namespace larchpin
