// The users' platform: its messages, and the product behind them on a small site without the bench.
//
// Index
//   [messages]  [bodies]  [table]  [sessions]  [freshness]  [transactions]  [outcomes]  [leaving]  [failover]
//   [loans]  [lease]
#include "operator_messages.hpp"
#include "platform_site.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace larchpin::testing {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

TEST(lines, any_bytes_are_read_without_harm) {
    EXPECT_TRUE(rc::check([](const std::string& bytes) {
        platform::parse_caller_message(bytes);
        platform::parse_caller_text(bytes);
        platform::parse_server_message(bytes);
        platform::parse_status(bytes);
        platform::parse_mark(bytes);
        platform::line_input in{.bytes = bytes};
        while (platform::next_line(in)) {
        }
    }));
}

TEST(lines, come_out_as_they_went_in_however_they_are_cut) {
    EXPECT_TRUE(rc::check([](const std::vector<std::string>& texts) {
        std::vector<std::string> sent;
        std::string stream;
        for (std::string text : texts) {
            std::erase_if(text, [](char c) { return c == '\r' || c == '\n'; });
            sent.push_back(text);
            stream += text + "\r\n";
        }
        platform::line_input in;
        std::vector<std::string> seen;
        for (const char c : stream) {
            in.bytes.push_back(c);
            while (const auto line = platform::next_line(in)) {
                seen.push_back(*line);
            }
        }
        RC_ASSERT(seen == sent);
    }));
}

TEST(lines, of_a_mebibyte_and_one_byte_are_refused) {
    platform::line_input in;
    in.bytes = std::string(platform::max_line_bytes + 1, 'x');
    EXPECT_FALSE(platform::next_line(in).has_value());
    EXPECT_TRUE(in.too_long);
    platform::line_input ended;
    ended.bytes = std::string(platform::max_line_bytes - 1, 'x') + "\r\n";
    EXPECT_FALSE(platform::next_line(ended).has_value());
    EXPECT_TRUE(ended.too_long);
    platform::line_input fits;
    fits.bytes = std::string(platform::max_line_bytes - 2, 'x') + "\r\n";
    EXPECT_TRUE(platform::next_line(fits).has_value());
}

TEST(lines, a_control_character_smuggles_nothing) {
    using platform::caller_message_kind;
    EXPECT_EQ(platform::parse_caller_message("QUERY 1 FETCH a\nQUERY 2 STORE a b").kind,
              caller_message_kind::unknown);
    EXPECT_EQ(platform::parse_caller_message("QUERY 1 FETCH a").kind, caller_message_kind::statement);
}

TEST(lines, a_caller_cannot_state_a_floor) {
    EXPECT_EQ(platform::parse_caller_text("WAITLSN 1.1 FETCH a").kind, platform::text_kind::unknown);
}

//-----------------------------------------------------------------------------
// [bodies]
//-----------------------------------------------------------------------------

std::string why_refused(const std::string& body) {
    std::string why;
    return platform::parse_table(body, why) ? "good" : why;
}

std::string replace(std::string text, const std::string& what, const std::string& by) {
    const auto at = text.find(what);
    EXPECT_NE(at, std::string::npos) << what;
    return text.replace(at, what.size(), by);
}

TEST(bodies, any_text_is_read_without_harm) {
    EXPECT_TRUE(rc::check([](const std::string& text) {
        std::string why;
        platform::parse_table(text, why);
        platform::parse_heartbeat("i", text, why);
    }));
}

constexpr const char* good_heartbeat =
    R"({"service":"svc","address":"10.0.0.9:8080","zone":"z1","version":"v1","capacity":3,"state":"ready",)"
    R"("warmup_remaining_ms":0,"database_role":"replica","sequence_number":4,"born":1780000000000})";

bool is_read(const std::string& heartbeat) {
    std::string why;
    return platform::parse_heartbeat("i", heartbeat, why).has_value();
}

TEST(bodies, a_heartbeat_tells_the_start_that_it_is_of) {
    std::string why;
    const auto a = platform::parse_heartbeat("i", good_heartbeat, why);
    ASSERT_TRUE(a.has_value()) << why;
    EXPECT_EQ(a->record.start_time_ms, 1'780'000'000'000U);
    EXPECT_EQ(a->sequence, 4U);
    EXPECT_FALSE(a->leaving);
    EXPECT_EQ(platform::parse_farewell(R"({"born":17})", why), 17U);
    EXPECT_EQ(platform::parse_farewell("", why), 0U);
    EXPECT_EQ(platform::parse_farewell(R"({"born":"17"})", why), std::nullopt);
}

// A number that no server has is no reason to go without the server.
TEST(bodies, a_heartbeat_tells_how_many_statements_run_at_once) {
    const auto slots_of = [](const std::string& capacity) {
        std::string why;
        const auto a =
            platform::parse_heartbeat("i", replace(good_heartbeat, R"("capacity":3)", capacity), why);
        return a ? std::optional{a->record.slots} : std::nullopt;
    };
    EXPECT_EQ(slots_of(R"("capacity":3)"), 3U);
    EXPECT_EQ(slots_of(R"("capacity":10000)"), max_server_slots);
    EXPECT_EQ(slots_of(R"("capacity":0)"), max_server_slots + 1) << "none that is taken";
    EXPECT_EQ(slots_of(R"("capacity":1000000000000000)"), max_server_slots + 1);
}

// It names no server to use: a server that is half understood would be used by what it never said.
TEST(bodies, a_heartbeat_of_another_writer_is_not_read) {
    const std::string good = good_heartbeat;
    for (const char* born :
         {R"("born":"1780000000000")", R"("born":1.5)", R"("born":1.78e12)", R"("born":-1)", R"("born":null)",
          R"("born":99999999999999999999)", R"("born":true)"}) {
        EXPECT_FALSE(is_read(replace(good, R"("born":1780000000000)", born))) << born;
    }
    EXPECT_FALSE(is_read(replace(good, R"("state":"ready")", R"("state":"resting")")));
    EXPECT_FALSE(is_read(replace(good, R"("state":"ready")", R"("state":1)")));
    EXPECT_FALSE(is_read(replace(good, R"("database_role":"replica")", R"("database_role":"witness")")));
    EXPECT_FALSE(is_read(replace(good, R"("capacity":3)", R"("capacity":"3")")));
    EXPECT_FALSE(is_read(replace(good, R"("sequence_number":4)", R"("sequence_number":-4)")));
    EXPECT_FALSE(is_read(replace(good, R"("sequence_number":4)", R"("sequence_number":4e99)")));
    EXPECT_FALSE(is_read(replace(good, "10.0.0.9:8080", "10.0.0.9:80800")));
    EXPECT_FALSE(is_read(replace(good, "10.0.0.9:8080", "10.0.0.9")));
    EXPECT_FALSE(is_read(good.substr(0, good.size() - 1)));
    EXPECT_FALSE(is_read(good + "}"));
    EXPECT_FALSE(is_read("[" + good + "]"));
    EXPECT_FALSE(is_read("\xff\xfe"));
}

// Real heartbeats with a field taken out, or given a value of another type.
TEST(bodies, a_heartbeat_is_read_whole_or_not_at_all) {
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::string> names{"service",        "address",       "zone",
                                             "version",        "capacity",      "state",
                                             "born",           "database_role", "warmup_remaining_ms",
                                             "sequence_number"};
        const std::vector<std::string> values{"null", "true", "[]", "{}", "-1", "1.5", "[1]", R"({"a":1})"};
        const std::string name = *rc::gen::elementOf(names);
        const std::string good = good_heartbeat;
        const auto at = good.find("\"" + name + "\":");
        const auto colon = good.find(':', at);
        const auto end = good.find_first_of(",}", colon + (name == "address" ? 20 : 1));
        const bool taken_out = name != "born" && *rc::gen::arbitrary<bool>();
        const std::string mutated =
            taken_out ? good.substr(0, at) + R"("x":0)" + good.substr(end)
                      : good.substr(0, colon + 1) + *rc::gen::elementOf(values) + good.substr(end);
        RC_ASSERT(!is_read(mutated));
    }));
}

// Readers differ in which of the two counts, so nobody knows what the writer meant.
TEST(bodies, a_name_that_stands_twice_is_refused) {
    const std::string good = good_heartbeat;
    const std::string twice = replace(good, R"("state":)", R"("state":"draining","state":)");
    std::string why;
    EXPECT_FALSE(platform::parse_heartbeat("s1", twice, why).has_value());
    EXPECT_EQ(why, "state stands twice");
    EXPECT_FALSE(platform::parse_farewell(R"({"born":1,"born":2})", why).has_value());
    EXPECT_TRUE(platform::parse_farewell(R"({"born":1,"x":{"born":2}})", why).has_value())
        << "in another object";
    const std::string table = platform_site::table_body(5);
    EXPECT_EQ(why_refused(replace(table, R"("version":5)", R"("version":5,"version":6)")),
              "version stands twice");
    const std::string route_twice =
        replace(table, R"("timeout_ms":800)", R"("timeout_ms":800,"timeout_ms":80)");
    EXPECT_EQ(why_refused(route_twice), "timeout_ms stands twice");
}

TEST(bodies, an_invalid_table_is_refused_with_a_reason) {
    const std::string good = platform_site::table_body(5);
    EXPECT_EQ(why_refused(good), "good");
    EXPECT_NE(why_refused(good.substr(0, good.size() / 2)), "good") << "cut short";
    EXPECT_NE(why_refused(replace(good, R"("timeout_ms":800)", R"("timeout_ms":0)")), "good");
    EXPECT_NE(why_refused(replace(good, R"("service":"svc")", R"("service":"other")")), "good");
    EXPECT_NE(why_refused(replace(good, R"("host":"strict")", R"("host":"shop")")), "good") << "same place";
    EXPECT_NE(why_refused(replace(good, R"("version":5)", R"("version":"5")")), "good");
    EXPECT_NE(why_refused(replace(good, R"("read_consistency":"primary")", R"("read_consistency":"any")")),
              "good");
    EXPECT_NE(why_refused(replace(good, R"("host":"strict",)", "")), "good") << "a field is missing";
}

TEST(bodies, a_table_says_what_each_route_is_owed) {
    std::string why;
    const auto t = platform::parse_table(platform_site::table_body(5), why);
    ASSERT_TRUE(t.has_value()) << why;
    const route_entry* r = find_route(t->content, "shop");
    ASSERT_NE(r, nullptr);
    EXPECT_EQ(r->consistency, read_consistency::own_writes);
    EXPECT_EQ(r->max_staleness, milliseconds{1500});
    EXPECT_EQ(r->statement_timeout, milliseconds{800});
    EXPECT_EQ(r->latency_objective, milliseconds{250});
    EXPECT_EQ(t->content.transaction_idle_timeout, milliseconds{300});
}

// A bound of 0 and a missing one were the same, and one over an hour made the table invalid.
TEST(bodies, a_bound_of_0_a_missing_one_and_the_largest_are_told_apart) {
    const auto bound_of_poll = [](const std::string& text) {
        const std::string usual = R"(,"max_staleness_ms":1500)";
        std::string body = platform_site::table_body(5);
        body.replace(body.rfind(usual), usual.size(), text);
        std::string why;
        const auto t = platform::parse_table(body, why);
        EXPECT_TRUE(t.has_value()) << why;
        return t ? find_route(t->content, "poll")->max_staleness : std::nullopt;
    };
    EXPECT_EQ(bound_of_poll(""), std::nullopt);
    EXPECT_EQ(bound_of_poll(R"(,"max_staleness_ms":0)"), std::optional<duration>{milliseconds{0}});
    EXPECT_EQ(bound_of_poll(R"(,"max_staleness_ms":1)"), std::optional<duration>{milliseconds{1}});
    EXPECT_EQ(bound_of_poll(R"(,"max_staleness_ms":1000000000000000)"),
              std::optional<duration>{std::chrono::hours{1}});
}

// The count was not read, so promotions did not know that acknowledged commits may be on one replica only.
TEST(bodies, a_table_says_how_many_replicas_confirm_a_commit) {
    std::string why;
    const std::string none = platform_site::table_body(5);
    const auto without = platform::parse_table(none, why);
    ASSERT_TRUE(without.has_value()) << why;
    EXPECT_EQ(required_sync_replicas(without->content, {"svc"}), 0U);
    const auto one =
        platform::parse_table(replace(none, R"("sync_replica_count":0)", R"("sync_replica_count":1)"), why);
    ASSERT_TRUE(one.has_value()) << why;
    EXPECT_EQ(required_sync_replicas(one->content, {"svc"}), 1U);
}

//-----------------------------------------------------------------------------
// [table]
//-----------------------------------------------------------------------------

TEST(table_calls, the_highest_version_is_in_force_and_read_back_as_sent) {
    platform_site s;
    s.start();
    const unsigned port = s.daemons.front().control_port;
    const std::string seven = platform_site::table_body(7);
    EXPECT_EQ(s.post(port, "/larchpin/config/replace", seven).status, 200);
    EXPECT_EQ(s.post(port, "/larchpin/config/replace", seven).status, 200) << "sent again";
    EXPECT_EQ(s.post(port, "/larchpin/config/replace", platform_site::table_body(6)).status, 200)
        << "overtaken";
    EXPECT_EQ(s.post(port, "/larchpin/config/replace", "{").status, 400);
    EXPECT_EQ(s.get(port, "/larchpin/config/fetch").body, seven);
    EXPECT_EQ(s.get(port, "/larchpin/config/nothing").status, 404);
}

TEST(table_calls, a_body_over_the_limit_harms_nobody) {
    platform_site s;
    s.start();
    const unsigned port = s.daemons.front().control_port;
    EXPECT_EQ(s.post(port, "/larchpin/config/replace", std::string(platform::max_body_bytes + 1, ' ')).status,
              413);
    EXPECT_EQ(s.get(port, "/larchpin/config/fetch").status, 200);
}

TEST(heartbeats, that_make_no_sense_are_refused) {
    platform_site s;
    s.start();
    const unsigned port = s.daemons.front().control_port;
    const auto refused = s.post(port, "/larchpin/instances/x/heartbeat", "{}");
    EXPECT_EQ(refused.status, 400);
    EXPECT_EQ(refused.body, R"({"code":2007,"error":"service is missing"})");
    EXPECT_EQ(s.post(port, "/larchpin/instances//heartbeat", "{}").status, 404);
    EXPECT_EQ(s.post(port, "/larchpin/instances/s3/deregister", "").status, 200);
    EXPECT_TRUE(s.run_until([&] { return !s.daemons.front().core->cluster().servers.contains({"s3"}); }));
}

// Where databases tell when they started, a heartbeat or goodbye without that is another writer's, or of
// nobody knows which start.
TEST(heartbeats, that_tell_no_start_where_others_do_change_nothing) {
    platform_site s;
    s.start();
    for (fake_server& server : s.group.servers) {
        server.started = 1'780'000'000'000;
    }
    s.beat();
    const auto& servers = s.daemons.front().core->cluster().servers;
    ASSERT_TRUE(s.run_until([&] { return servers.at({"s2"}).start_time_ms != 0; }));
    const unsigned port = s.daemons.front().control_port;
    s.server("s2").started = 0;
    EXPECT_EQ(s.beat_at(s.daemons.front(), s.server("s2")).status, 400);
    EXPECT_EQ(s.post(port, "/larchpin/instances/s2/deregister", "").status, 400);
    EXPECT_EQ(s.post(port, "/larchpin/instances/s2/deregister", R"({"born":"x"})").status, 400);
    EXPECT_EQ(s.post(port, "/larchpin/instances/s2/deregister", R"({"born":1780000000000})").status, 200);
    EXPECT_TRUE(s.run_until([&] { return !servers.contains({"s2"}); }));
}

// A primary that is back at once, empty, before anyone missed it: its process is another one.
TEST(heartbeats, of_a_primary_that_has_started_again_move_the_lead_to_who_holds_the_log) {
    platform_site s;
    s.start();
    for (fake_server& server : s.group.servers) {
        server.started = 1'780'000'000'000;
    }
    s.beat();
    line_caller c = s.connect("shop");
    EXPECT_FALSE(c.ask("w1", "STORE k v").done.empty());
    s.drop_connections("s1");
    s.server("s1").started += 5'000;
    s.server("s1").applied = 0;
    s.beat();
    const auto& groups = s.daemons.front().core->cluster().groups;
    EXPECT_TRUE(s.run_until([&] {
        return groups.at({"svc"}).phase == group_phase::serving &&
               groups.at({"svc"}).primary != server_id{"s1"};
    }));
}

//-----------------------------------------------------------------------------
// [sessions]
//-----------------------------------------------------------------------------

TEST(sessions, an_unknown_database_is_named_so) {
    platform_site s;
    s.start();
    line_caller c(s, s.daemons.back().entry_port);
    const answer a = c.open("STARTUP nowhere somebody");
    EXPECT_TRUE(a.error.starts_with("NODB")) << a.error;
    EXPECT_TRUE(s.run_until([&] { return c.has_ended(); }));
}

TEST(sessions, values_and_prepared_statements_follow_their_session_over_shared_connections) {
    platform_site s;
    s.start();
    line_caller a = s.connect("strict");
    line_caller b = s.connect("strict");
    EXPECT_EQ(a.ask("1", "SET v0 one").done, "-");
    EXPECT_EQ(a.ask("2", "PREPARE s0 FETCH q1").done, "-");
    EXPECT_EQ(b.ask("3", "PREPARE s0 STORE q2").done, "-");
    EXPECT_FALSE(a.ask("4", "EXECUTE s0 k").done.empty());
    EXPECT_FALSE(b.ask("5", "EXECUTE s0 k data").done.empty());
    EXPECT_FALSE(a.ask("6", "EXECUTE s0 k").done.empty());
    EXPECT_EQ(s.statements_with("4")[0].values, (std::map<std::string, std::string>{{"v0", "one"}}));
    EXPECT_EQ(s.statements_with("4")[0].text, "EXECUTE r_q1 k");
    EXPECT_TRUE(s.statements_with("5")[0].values.empty());
    EXPECT_EQ(s.statements_with("5")[0].text, "EXECUTE w_q2 k data");
    EXPECT_EQ(s.statements_with("6")[0].values, (std::map<std::string, std::string>{{"v0", "one"}}));
    EXPECT_TRUE(a.ask("7", "DEALLOC s0").error.empty());
    EXPECT_TRUE(a.ask("8", "EXECUTE s0 k").error.starts_with("MALFORMED"));
}

TEST(sessions, what_is_not_understood_ends_the_session_and_nobody_else) {
    platform_site s;
    s.start();
    line_caller good = s.connect("shop");
    line_caller bad = s.connect("shop");
    bad.send("NONSENSE\r\n");
    EXPECT_TRUE(bad.receive().error.starts_with("MALFORMED"));
    EXPECT_TRUE(s.run_until([&] { return bad.has_ended(); }));
    line_caller early(s, s.daemons.back().entry_port);
    EXPECT_TRUE(early.ask("1", "FETCH k").error.starts_with("MALFORMED")) << "before STARTUP";
    EXPECT_TRUE(good.ask("1", "HELLO").error.starts_with("MALFORMED"));
    EXPECT_EQ(good.ask("2", "FETCH k").rows.size(), 1U);
}

//-----------------------------------------------------------------------------
// [freshness]
//-----------------------------------------------------------------------------

TEST(freshness, a_read_after_a_write_demands_that_write_of_the_replica) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    EXPECT_FALSE(c.ask("w", "STORE k v").done.empty());
    EXPECT_EQ(c.ask("r", "FETCH k").rows.size(), 1U);
    const seen_statement read = s.statements_with("r").at(0);
    EXPECT_NE(read.server, "s1");
    EXPECT_TRUE(read.text.starts_with("WAITLSN 1.1 ")) << read.text;
}

TEST(freshness, a_read_that_replicas_refuse_goes_to_the_primary) {
    platform_site s;
    s.start();
    s.server("s2").follows = false;
    s.server("s3").follows = false;
    line_caller c = s.connect("shop");
    EXPECT_FALSE(c.ask("w", "STORE k v").done.empty());
    EXPECT_EQ(c.ask("r", "FETCH k").rows.size(), 1U);
    EXPECT_EQ(s.statements_with("r").at(0).server, "s1");
}

TEST(freshness, strict_reads_never_leave_the_primary) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(c.ask("r" + std::to_string(i), "FETCH k").rows.size(), 1U);
        EXPECT_EQ(s.statements_with("r" + std::to_string(i)).at(0).server, "s1");
    }
}

//-----------------------------------------------------------------------------
// [transactions]
//-----------------------------------------------------------------------------

TEST(transactions, run_on_one_connection_and_begin_with_their_first_statement) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    EXPECT_EQ(c.ask("b", "BEGIN").state, "T");
    EXPECT_TRUE(s.group.statements.empty()) << "no connection is held while nothing is asked";
    EXPECT_EQ(c.ask("1", "FETCH k").state, "T");
    EXPECT_EQ(c.ask("2", "STORE k v").state, "T");
    const answer end = c.ask("c", "COMMIT");
    EXPECT_EQ(end.state, "I");
    EXPECT_EQ(end.done, "s1/c") << "the server's own word";
    EXPECT_EQ(s.statements_with("1").at(0).connection, s.statements_with("c").at(0).connection);
    EXPECT_TRUE(s.statements_with("1").at(0).in_transaction);
    EXPECT_EQ(s.server("s1").applied, 1U);
}

TEST(transactions, that_only_read_run_on_a_replica) {
    platform_site s;
    s.start();
    line_caller c = s.connect("poll");
    EXPECT_EQ(c.ask("b", "BEGIN FETCH").state, "T");
    EXPECT_EQ(c.ask("1", "FETCH k").state, "T");
    EXPECT_EQ(c.ask("c", "COMMIT").state, "I");
    EXPECT_NE(s.statements_with("1").at(0).server, "s1");
}

TEST(transactions, lost_with_their_connection_are_aborted_for_certain) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    c.ask("b", "BEGIN");
    EXPECT_EQ(c.ask("1", "STORE k v").state, "T");
    s.server("s1").cuts_writes = true;
    const answer lost = c.ask("2", "STORE k w");
    EXPECT_TRUE(lost.error.starts_with("ABORTED")) << lost.error;
    EXPECT_EQ(lost.state, "E");
    EXPECT_TRUE(c.ask("3", "FETCH k").error.starts_with("MALFORMED"));
    const answer end = c.ask("c", "COMMIT");
    EXPECT_TRUE(end.error.starts_with("ABORTED")) << "no success for what was rolled back";
    EXPECT_EQ(end.state, "I");
    EXPECT_EQ(s.server("s1").applied, 0U);
}

TEST(transactions, left_idle_give_their_connection_back) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    c.ask("b", "BEGIN");
    EXPECT_EQ(c.ask("1", "STORE k v").state, "T");
    s.run_for(milliseconds{500});
    EXPECT_TRUE(c.ask("c", "COMMIT").error.starts_with("ABORTED"));
    EXPECT_EQ(s.server("s1").applied, 0U);
}

//-----------------------------------------------------------------------------
// [outcomes]
//-----------------------------------------------------------------------------

TEST(outcomes, a_write_whose_answer_is_lost_is_in_doubt_at_once) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    s.server("s1").cuts_writes = true;
    EXPECT_TRUE(c.ask("w", "STORE k v").error.starts_with("INDOUBT"));
    EXPECT_EQ(s.statements_with("w").size(), 1U) << "never sent twice";
}

TEST(outcomes, a_commit_whose_answer_is_lost_is_in_doubt) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    c.ask("b", "BEGIN");
    c.ask("1", "STORE k v");
    s.server("s1").cuts_writes = true;
    const answer a = c.ask("c", "COMMIT");
    EXPECT_TRUE(a.error.starts_with("INDOUBT")) << a.error;
    EXPECT_EQ(a.state, "I");
}

TEST(outcomes, a_refusal_by_the_server_is_passed_on) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    s.server("s1").refuse_with = "BUSY";
    const answer a = c.ask("w", "STORE k v");
    EXPECT_TRUE(a.error.starts_with("BUSY")) << a.error;
    EXPECT_EQ(a.state, "I");
}

TEST(outcomes, a_crowded_primary_is_asked_again_from_our_own_queue) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    ASSERT_EQ(c.ask("w0", "STORE k v").state, "I");
    s.server("s1").refusals_as_busy = 1;
    EXPECT_FALSE(c.ask("w1", "STORE k v").done.empty());
    EXPECT_EQ(s.server("s1").applied, 2U);
}

TEST(outcomes, a_read_that_one_replica_refuses_is_served_by_another) {
    platform_site s;
    s.start();
    s.server("s2").refuse_with = "BUSY";
    line_caller c = s.connect("poll");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(c.ask("r" + std::to_string(i), "FETCH k").rows.size(), 1U);
    }
}

TEST(outcomes, a_read_that_one_replica_leaves_unanswered_is_served_by_another) {
    platform_site s;
    s.start();
    s.server("s2").silent = true;
    line_caller c = s.connect("poll");
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(c.ask("r" + std::to_string(i), "FETCH k").rows.size(), 1U);
    }
}

TEST(outcomes, a_read_that_the_primary_leaves_unanswered_is_asked_again) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    ASSERT_EQ(c.ask("r0", "FETCH k").rows.size(), 1U);
    s.server("s1").answers_to_lose = 1;
    EXPECT_EQ(c.ask("r1", "FETCH k").rows.size(), 1U);
    EXPECT_EQ(s.statements_with("r1").size(), 2U);
    s.server("s1").answers_to_lose = 1;
    EXPECT_TRUE(c.ask("w1", "STORE k v").error.starts_with("INDOUBT")) << "a write never is";
    EXPECT_EQ(s.statements_with("w1").size(), 1U);
}

TEST(outcomes, an_opening_that_is_left_unanswered_is_asked_again) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    ASSERT_EQ(c.ask("r0", "FETCH k").rows.size(), 1U);
    c.ask("b", "BEGIN");
    s.server("s1").answers_to_lose = 1;
    EXPECT_EQ(c.ask("w1", "STORE k v").state, "T");
    EXPECT_FALSE(c.ask("c", "COMMIT").done.empty());
    EXPECT_EQ(s.server("s1").applied, 1U);
}

//-----------------------------------------------------------------------------
// [leaving]
//-----------------------------------------------------------------------------

// The incident: requests reached a primary for three seconds after the time that it had been promised was
// over. It was the last server of its group: one replica was dead, the other gone. It announced every 1.2 s
// that it leaves, and every announcement was acknowledged. Leaving only made others preferred: replicas that
// leave got no reads, and a primary was replaced if another server could take over. Nothing knew when the
// time was over, and the way to the primary did not look. Brought about here, with log lines added for it,
// the leader and the instance were seen to know.
TEST(leaving, a_primary_without_a_successor_gets_nothing_once_its_time_is_over) {
    platform_site s;
    s.start();
    s.stop_server("s2");
    s.stop_server("s3");
    s.run_for(milliseconds{600}); // both are known to be dead
    line_caller c = s.connect("shop");
    s.server("s1").leaves = true;
    s.beat();
    EXPECT_FALSE(c.ask("w1", "STORE k v").done.empty()) << "its time is not over";
    s.run_for(leave_time);
    s.beat();
    for (const std::string kind : {"STORE k v", "FETCH k", "BEGIN"}) {
        line_caller late = s.connect("shop");
        const answer a = late.ask("late", kind);
        const answer first = kind == "BEGIN" ? late.ask("late", "FETCH k") : a;
        EXPECT_FALSE(first.error.empty()) << kind;
        EXPECT_TRUE(s.statements_with("late").empty()) << kind;
    }
}

// What was acknowledged must not be forgotten with the one instance that heard it, or with the leader.
TEST(leaving, is_acknowledged_only_once_control_has_agreed_on_it) {
    platform_site s;
    s.start();
    site_daemon& entry = s.add_entry();
    s.freeze_control();
    s.server("s2").leaves = true;
    EXPECT_NE(s.beat_at(entry, s.server("s2")).status, 200);
}

//-----------------------------------------------------------------------------
// [failover]
//-----------------------------------------------------------------------------

TEST(failover, goes_through_the_authority_and_writes_land_again) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    EXPECT_FALSE(c.ask("w1", "STORE k v").done.empty());
    s.server("s2").applied = 0; // has received less
    s.stop_server("s1");
    int tries = 0;
    const auto lands = [&] {
        ++tries;
        return !c.ask("w" + std::to_string(tries + 1), "STORE k v").done.empty();
    };
    while (tries < 40 && !lands()) {
        s.run_for(milliseconds{50});
    }
    ASSERT_FALSE(s.promotions.empty());
    EXPECT_EQ(s.promotions.front().server, "s3") << "the one with the longest log";
    EXPECT_LT(tries, 40);
    EXPECT_EQ(c.ask("r", "FETCH k").rows.size(), 1U);
}

// Asks for an item over a session until another server than s1 leads, and expects that s1 runs none of it.
void expect_nothing_read_from_s1(platform_site& s, line_caller& c) {
    const auto& groups = s.daemons.front().core->cluster().groups;
    int tries = 0;
    while (tries < 100 && groups.at({"svc"}).primary == server_id{"s1"}) {
        const std::string id = "r" + std::to_string(++tries);
        c.ask(id, "FETCH k");
        for (const seen_statement& seen : s.statements_with(id)) {
            EXPECT_NE(seen.server, "s1") << id;
        }
        s.run_for(milliseconds{20});
    }
    EXPECT_NE(groups.at({"svc"}).primary, server_id{"s1"});
}

// A new primary tells the term of its last commit, which is that of the primary before it, until it has taken
// a write. Taken for a log that has gone back, it was called dead.
TEST(failover, a_new_primary_is_believed_before_its_first_commit) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(c.ask("w" + std::to_string(i), "STORE k v").done.empty());
    }
    s.stop_server("s1");
    const auto& groups = s.daemons.front().core->cluster().groups;
    ASSERT_TRUE(s.run_until([&] { return groups.at({"svc"}).term == 2; }));
    s.drop_connections(groups.at({"svc"}).primary.value);
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        served += c.ask("r" + std::to_string(i), "FETCH k").rows.empty() ? 0 : 1;
        s.run_for(milliseconds{50});
    }
    EXPECT_GE(served, 15);
    EXPECT_EQ(groups.at({"svc"}).term, 2U);
}

// The primary came back empty before it was missed, and reported no start: its log alone told.
TEST(failover, a_primary_whose_log_has_gone_back_reads_nothing_back_as_absent) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(c.ask("w" + std::to_string(i), "STORE k v").done.empty());
    }
    s.server("s1").applied = 0; // comes back empty
    s.drop_connections("s1");
    expect_nothing_read_from_s1(s, c);
}

// All instances and the primary had started again, and an instance knew the primary's position by its own
// memory only: acknowledged writes were read back as absent from a database that was empty.
TEST(failover, an_instance_that_has_just_started_believes_no_empty_primary) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(c.ask("w" + std::to_string(i), "STORE k v").done.empty());
    }
    ASSERT_TRUE(
        s.run_until([&] { return s.daemons.front().core->cluster().groups.at({"svc"}).seen_position > 0; }));
    s.server("s1").applied = 0; // comes back empty
    s.drop_connections("s1");
    site_daemon& entry = s.add_entry("z2");
    line_caller fresh(s, entry.entry_port);
    fresh.open("STARTUP strict u1");
    expect_nothing_read_from_s1(s, fresh);
}

// Servers with an empty log that told no position were called dead, and the group got a new primary three
// times a second.
TEST(failover, servers_that_tell_no_position_yet_are_alive) {
    platform_site s;
    s.hides_positions = true;
    s.start();
    s.run_for(milliseconds{3000});
    EXPECT_TRUE(s.promotions.empty());
    EXPECT_EQ(s.daemons.front().core->cluster().groups.at({"svc"}).term, 1U);
}

// A position that could not be read passed the check of the primary's log.
TEST(failover, a_primary_that_tells_no_position_any_more_reads_nothing_back_as_absent) {
    platform_site s;
    s.start();
    line_caller c = s.connect("strict");
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(c.ask("w" + std::to_string(i), "STORE k v").done.empty());
    }
    s.server("s1").tells_position = false; // comes back empty
    s.drop_connections("s1");
    expect_nothing_read_from_s1(s, c);
}

// After a loss of power a server counts the lost connections for seconds and has no room for new ones.
TEST(failover, a_primary_that_turns_connections_away_is_not_dead) {
    platform_site s;
    s.start();
    s.server("s1").full = true;
    s.drop_connections("s1");
    s.run_for(milliseconds{1000});
    EXPECT_TRUE(s.promotions.empty());
}

//-----------------------------------------------------------------------------
// [lease]
//-----------------------------------------------------------------------------
// [loans]
//-----------------------------------------------------------------------------

// Two daemons that take callers, and fewer connections than they need: one of them holds them all.
struct scarce_site {
    platform_site site;
    site_daemon* borrower = nullptr; // of the primary's connections

    scarce_site() {
        constexpr unsigned few = 2;
        site.start();
        site.add_entry();
        std::string body = platform_site::table_body(9); // above the one that the site starts with
        const std::string plenty = "\"max_connections\":20";
        body.replace(body.find(plenty), plenty.size(), "\"max_connections\":" + std::to_string(few));
        EXPECT_EQ(site.post(site.daemons.front().control_port, "/larchpin/config/replace", body).status, 200);
        EXPECT_TRUE(site.run_until([&] {
            return std::all_of(site.daemons.begin(), site.daemons.end(), [&](const site_daemon& d) {
                return d.core->cluster().current_table.services.at(0).max_connections == few;
            });
        }));
        for (site_daemon& d : site.daemons) {
            line_caller c = open(d, "strict");
            EXPECT_EQ(c.ask("warm" + std::to_string(d.entry_port), "FETCH k").state, "I");
            borrower = has_borrowed(d) ? &d : borrower;
        }
    }
    line_caller open(const site_daemon& d, const std::string& database) {
        line_caller c(site, d.entry_port);
        c.open("STARTUP " + database + " somebody");
        return c;
    }
    static bool has_borrowed(const site_daemon& d) {
        return d.core->metrics_text().find("connections_borrowed 0") == std::string::npos;
    }
};

TEST(loans, an_instance_without_connections_serves_over_anothers) {
    scarce_site s;
    ASSERT_NE(s.borrower, nullptr);
    line_caller c = s.open(*s.borrower, "shop");
    EXPECT_EQ(c.ask("w", "STORE k v").state, "I");
    EXPECT_EQ(c.ask("r", "FETCH k").rows.size(), 1U);
    EXPECT_EQ(s.site.statements_with("r").at(0).text, "WAITLSN 1.1 FETCH k") << "the floor goes along";
    c.ask("v", "SET x 1");
    c.ask("p", "PREPARE n FETCH shape");
    EXPECT_EQ(c.ask("e", "EXECUTE n k").rows.size(), 1U);
    EXPECT_EQ(s.site.statements_with("e").at(0).values, (std::map<std::string, std::string>{{"x", "1"}}));
}

// The borrower sees one request of its own at the server; the lender sees those of all.
TEST(loans, an_answer_tells_the_load_of_its_server) {
    scarce_site s;
    ASSERT_NE(s.borrower, nullptr);
    s.site.run_for(std::chrono::seconds{1}); // what was told before is forgotten
    EXPECT_NE(s.borrower->core->metrics_text().find("server_loads_known 0"), std::string::npos);
    line_caller c = s.open(*s.borrower, "strict");
    EXPECT_EQ(c.ask("r", "FETCH k").state, "I");
    EXPECT_EQ(s.borrower->core->metrics_text().find("server_loads_known 0"), std::string::npos);
}

TEST(loans, a_transaction_keeps_its_connection_to_the_end) {
    scarce_site s;
    ASSERT_NE(s.borrower, nullptr);
    line_caller c = s.open(*s.borrower, "strict");
    c.ask("b", "BEGIN");
    EXPECT_EQ(c.ask("1", "STORE k v").state, "T");
    EXPECT_EQ(c.ask("2", "STORE l v").state, "T");
    EXPECT_EQ(c.ask("c", "COMMIT").state, "I");
    EXPECT_EQ(s.site.statements_with("1").at(0).connection, s.site.statements_with("c").at(0).connection);
    EXPECT_EQ(s.site.server("s1").applied, 1U);
}

TEST(loans, a_transaction_whose_caller_leaves_is_rolled_back) {
    scarce_site s;
    ASSERT_NE(s.borrower, nullptr);
    for (int i = 0; i < 4; ++i) { // more often than there are connections
        line_caller c = s.open(*s.borrower, "strict");
        c.ask("b", "BEGIN");
        EXPECT_EQ(c.ask("1", "STORE k v").state, "T") << "the connections before were given back";
        c.close();
        s.site.run_for(milliseconds{50});
    }
    EXPECT_EQ(s.site.server("s1").applied, 0U);
}

TEST(loans, a_write_whose_answer_is_lost_is_in_doubt) {
    scarce_site s;
    ASSERT_NE(s.borrower, nullptr);
    line_caller c = s.open(*s.borrower, "strict");
    s.site.server("s1").cuts_writes = true;
    const answer a = c.ask("w", "STORE k v");
    EXPECT_TRUE(a.error.starts_with("INDOUBT")) << a.error;
    EXPECT_EQ(s.site.statements_with("w").size(), 1U) << "never sent twice";
}

TEST(loans, are_refused_for_certain_by_an_instance_that_stops) {
    scarce_site s;
    ASSERT_NE(s.borrower, nullptr);
    line_caller c = s.open(*s.borrower, "strict");
    for (site_daemon& d : s.site.daemons) {
        if (&d != s.borrower) {
            d.core->stop();
        }
    }
    const answer a = c.ask("w", "STORE k v");
    EXPECT_TRUE(a.error.starts_with("BUSY")) << a.error;
    EXPECT_TRUE(s.site.statements_with("w").empty());
}

TEST(loans, a_primary_that_one_instance_cannot_reach_is_reached_over_another) {
    platform_site s;
    s.start();
    s.add_entry("z3");
    s.add_entry("z2");
    line_caller c = s.connect("strict");
    ASSERT_EQ(c.ask("w0", "STORE k v").state, "I");
    s.server("s1").cut_from = "daemon-3";
    // What is on its way when the cut begins is lost, and says so.
    int failed = 0;
    while (failed < 20 && c.ask("w" + std::to_string(failed + 1), "STORE k v").done.empty()) {
        ++failed;
    }
    EXPECT_LT(failed, 20);
    for (int i = 0; i < 5; ++i) {
        EXPECT_FALSE(c.ask("x" + std::to_string(i), "STORE k v").done.empty());
    }
    c.ask("b", "BEGIN");
    EXPECT_EQ(c.ask("t", "STORE k v").state, "T");
    EXPECT_FALSE(c.ask("c", "COMMIT").done.empty());
    EXPECT_TRUE(s.server("s1").is_primary) << "the observers of the other failure domains hear it";
}

// After a loss of power a server counts the lost connections for seconds; who got one of the rest lends it.
TEST(loans, a_server_without_room_is_used_over_the_connection_of_another_instance) {
    platform_site s;
    s.start();
    line_caller first = s.connect("strict");
    ASSERT_EQ(first.ask("w0", "STORE k v").state, "I");
    s.server("s1").full = true;
    site_daemon& late = s.add_entry("z2");
    line_caller c(s, late.entry_port);
    ASSERT_EQ(c.open("STARTUP strict somebody").state, "I");
    for (int i = 0; i < 5; ++i) {
        const answer a = c.ask("x" + std::to_string(i), "STORE k v");
        EXPECT_FALSE(a.done.empty()) << a.error;
    }
    s.server("s1").full = false;
    const auto has_own = [&] {
        c.ask("y", "FETCH k");
        const auto seen = s.statements_with("y");
        return !seen.empty() && seen.back().connection != s.statements_with("w0").at(0).connection;
    };
    EXPECT_TRUE(s.run_until(has_own)) << "it goes on asking for a connection of its own";
}

//-----------------------------------------------------------------------------
// [lease lost]
//-----------------------------------------------------------------------------

TEST(lease_lost, idle_sessions_are_ended_and_new_ones_refused_without_a_claim) {
    platform_site s;
    s.start();
    site_daemon& entry = s.add_entry();
    line_caller idle = s.connect("shop");
    EXPECT_EQ(idle.ask("r", "FETCH k").rows.size(), 1U);
    s.freeze_control();
    EXPECT_TRUE(s.run_until([&] { return !entry.core->has_lease(); }));
    s.run_for(milliseconds{200});
    line_caller strict(s, entry.entry_port);
    strict.open("STARTUP strict somebody");
    EXPECT_TRUE(strict.ask("w", "STORE k v").error.starts_with("BUSY"));
    EXPECT_TRUE(s.run_until([&] { return idle.has_ended(); }));
    EXPECT_EQ(s.get(entry.ready_port, "/larchpin/readiness").status, 503);
    line_caller late(s, entry.entry_port);
    const answer a = late.open("STARTUP nowhere somebody");
    EXPECT_TRUE(a.error.starts_with("BUSY")) << "whether it exists is not known here: " << a.error;
}

} // namespace
} // namespace larchpin::testing
