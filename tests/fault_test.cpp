// Failures of real processes: each test injects one kind of fault and checks every answer the callers got
// against what the servers really hold.
//
// Index
//   [primaries]  [daemons]  [replicas]  [control]  [operators]  [leaving and stopping]
#include "site.hpp"

#include "generated/larchpin.pb.h"

#include <gtest/gtest.h>
#include <libpq-fe.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <optional>
#include <set>
#include <stdexcept>
#include <thread>

namespace larchpin::testing {
namespace {

unsigned number_of(result_code code) {
    return static_cast<unsigned>(code);
}

// Writes one numbered row after another until told to stop; remembers what became of each.
struct writer_log {
    std::set<std::string> acknowledged;
    std::set<std::string> not_run;
    std::set<std::string> unknown;
};

class background_writer {
public:
    background_writer(const site& where, int daemon, std::string prefix)
        : where_(where), daemon_(daemon), prefix_(std::move(prefix)), thread_([this] { work(); }) {}
    ~background_writer() { stop(); }
    background_writer(const background_writer&) = delete;
    background_writer& operator=(const background_writer&) = delete;
    background_writer(background_writer&&) = delete;
    background_writer& operator=(background_writer&&) = delete;

    void stop() {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    std::size_t count() const { return count_; }
    writer_log log;

private:
    void work() {
        caller c = where_.connect(daemon_, "shop", "g0");
        for (int i = 0; !stopping_; ++i) {
            if (!c.connected()) {
                c = where_.connect(daemon_, "shop", "g0");
                std::this_thread::sleep_for(std::chrono::milliseconds{20});
                continue;
            }
            const std::string key = prefix_ + std::to_string(i);
            const outcome o = c.run("insert into w (key, value) values ('" + key + "', 'v')");
            if (o.ok) {
                log.acknowledged.insert(key);
                ++count_;
            } else if (o.run == "not-run") {
                log.not_run.insert(key);
            } else {
                log.unknown.insert(key); // also a connection that ended without an answer
            }
        }
    }

    const site& where_;
    int daemon_;
    std::string prefix_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> count_{0};
    std::thread thread_;
};

std::set<std::string> rows_of(const site& s, const std::string& server, const std::string& table) {
    std::set<std::string> keys;
    const caller c = s.connect_server(server);
    PGresult* result = PQexec(c.raw(), ("select key, value from " + table).c_str());
    for (int i = 0; i < PQntuples(result); ++i) {
        keys.insert(PQgetvalue(result, i, 0));
    }
    PQclear(result);
    return keys;
}

void expect_none_of(const std::set<std::string>& keys, const std::set<std::string>& rows, const char* what) {
    for (const std::string& key : keys) {
        EXPECT_FALSE(rows.contains(key)) << key << " " << what;
    }
}

bool write_lands(const site& s, int daemon, const std::string& key) {
    return s.connect(daemon, "shop", "g0")
        .run("insert into after (key, value) values ('" + key + "', 'v')")
        .ok;
}

//-----------------------------------------------------------------------------
// [primaries]
//-----------------------------------------------------------------------------

TEST(fault_test, a_killed_primary_is_replaced_and_not_run_is_true) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    background_writer a(s, 0, "a");
    background_writer b(s, 1, "b");
    ASSERT_TRUE(wait_until([&] { return a.count() > 50 && b.count() > 50; }));
    s.stop_server("g0-s0", SIGKILL);
    const std::size_t before = a.count();
    ASSERT_TRUE(wait_until([&] { return a.count() > before + 50; }));
    a.stop();
    b.stop();
    const std::string primary = s.primary_of("g0");
    EXPECT_NE(primary, "g0-s0");
    EXPECT_EQ(s.term_of("g0"), 2U);
    const auto rows = rows_of(s, primary, "w");
    expect_none_of(a.log.not_run, rows, "was called not-run and ran");
    expect_none_of(b.log.not_run, rows, "was called not-run and ran");
    s.start_server("g0-s0"); // comes back empty, as a replica
    EXPECT_TRUE(wait_until([&] { return rows_of(s, "g0-s0", "w").size() == rows.size(); }));
}

TEST(fault_test, a_frozen_primary_acknowledges_nothing_when_it_wakes) {
    site s({.lag_ms = 0, .deadline_ms = 3000});
    ASSERT_TRUE(s.start());
    background_writer a(s, 0, "a");
    ASSERT_TRUE(wait_until([&] { return a.count() > 50; }));
    s.signal_server("g0-s0", SIGSTOP);
    ASSERT_TRUE(wait_until([&] { return s.term_of("g0") == 2; }));
    const std::size_t before = a.count();
    ASSERT_TRUE(wait_until([&] { return a.count() > before + 20; }));
    s.signal_server("g0-s0", SIGCONT);
    ASSERT_TRUE(wait_until([&] { return a.count() > before + 100; }));
    a.stop();
    const std::string primary = s.primary_of("g0");
    const auto rows = rows_of(s, primary, "w");
    expect_none_of(a.log.not_run, rows, "was called not-run and ran");
    // What was acknowledged in the new term is all there; the old primary follows the new one.
    EXPECT_TRUE(wait_until([&] { return rows_of(s, "g0-s0", "w") == rows_of(s, primary, "w"); }));
    EXPECT_EQ(s.connect_server("g0-s0").run("select pg_is_in_recovery()").value, "t");
}

// Leases and terms know nothing of what a server holds. It was believed: reads found nothing of what had been
// acknowledged, and writes landed on it that were lost with the next primary.
TEST(fault_test, a_primary_that_is_back_empty_before_it_was_missed_is_not_believed) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    ASSERT_TRUE(s.connect(0, "shop", "g0").run("insert into w (key, value) values ('kept', 'v')").ok);
    ASSERT_TRUE(wait_until([&] { return rows_of(s, "g0-s1", "w").contains("kept"); }));
    ASSERT_TRUE(wait_until([&] { return rows_of(s, "g0-s2", "w").contains("kept"); }));
    s.stop_server("g0-s0", SIGKILL);
    s.start_server("g0-s0");
    background_writer writer(s, 1, "b");
    ASSERT_TRUE(wait_until([&] {
        const outcome read = s.connect(0, "shop", "g0").run("select value from w where key = 'kept'");
        EXPECT_TRUE(!read.ok || read.value == "v") << "an acknowledged write is read back as absent";
        return s.term_of("g0") >= 2U && writer.count() > 50;
    }));
    writer.stop();
    const auto rows = rows_of(s, s.primary_of("g0"), "w");
    EXPECT_TRUE(rows.contains("kept"));
    for (const std::string& key : writer.log.acknowledged) {
        EXPECT_TRUE(rows.contains(key)) << key;
    }
    expect_none_of(writer.log.not_run, rows, "was called not-run and ran");
}

TEST(fault_test, a_session_learns_that_its_write_was_lost) {
    site s({.lag_ms = 3000});
    ASSERT_TRUE(s.start());
    caller c = s.connect(0, "shop", "g0");
    ASSERT_TRUE(c.run("insert into lost (key, value) values ('k', 'v')").ok);
    s.stop_server("g0-s0", SIGKILL); // before any replica has it
    ASSERT_TRUE(wait_until([&] { return s.term_of("g0") == 2; }));
    const outcome read = c.run("select value from lost where key = 'k'");
    EXPECT_EQ(read.code, number_of(result_code::lost_write)) << read.message << read.value;
    EXPECT_EQ(read.run, "not-run");
    EXPECT_TRUE(c.run("set larchpin.session = ''").ok);
    EXPECT_TRUE(wait_until([&] { return c.run("select value from lost where key = 'k'").ok; }));
}

TEST(fault_test, a_commit_that_meets_a_frozen_primary_ends_as_unknown_in_time) {
    site s({.lag_ms = 0, .deadline_ms = 1000});
    ASSERT_TRUE(s.start());
    caller c = s.connect(0, "shop", "g0");
    ASSERT_TRUE(c.run("begin").ok);
    ASSERT_TRUE(c.run("insert into u (key, value) values ('k', 'v')").ok);
    s.signal_server("g0-s0", SIGSTOP);
    const outcome commit = c.run("commit");
    EXPECT_FALSE(commit.ok);
    // Refused before it was sent, or unknown after; never a success, and "not-run" must be true.
    EXPECT_TRUE(commit.run == "unknown" || commit.run == "not-run") << commit.message;
    ASSERT_TRUE(wait_until([&] { return s.term_of("g0") == 2; }));
    s.signal_server("g0-s0", SIGCONT);
    ASSERT_TRUE(
        wait_until([&] { return s.connect_server("g0-s0").run("select pg_is_in_recovery()").value == "t"; }));
    EXPECT_TRUE(c.run("rollback").ok);
    EXPECT_TRUE(wait_until([&] { return write_lands(s, 0, "x"); }));
    if (commit.run == "not-run") {
        EXPECT_FALSE(rows_of(s, s.primary_of("g0"), "u").contains("k"));
    }
}

TEST(fault_test, keyed_requests_run_once_over_a_failover) {
    site s({.lag_ms = 0, .deadline_ms = 2000});
    ASSERT_TRUE(s.start());
    std::atomic<bool> killed{false};
    std::vector<std::thread> threads;
    std::atomic<int> reported{0};
    for (int t = 0; t < 3; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 40; ++i) {
                const std::string name = std::to_string(t) + "-" + std::to_string(i);
                // Resends the same key to one proxy after another until it is told that it ran.
                for (int attempt = 0; attempt < 60; ++attempt) {
                    caller c =
                        s.connect((t + attempt) % 3, "shop", "g0", "-c larchpin.idempotency_key=" + name);
                    const outcome o = c.run("insert into runs (key, value) values ('" + name + "-" +
                                            std::to_string(attempt) + "', 'v')");
                    if (o.ok || o.code == number_of(result_code::duplicate_request)) {
                        ++reported;
                        break;
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds{50});
                }
                if (t == 0 && i == 15 && !killed.exchange(true)) {
                    s.stop_server("g0-s0", SIGKILL);
                }
            }
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    EXPECT_EQ(reported, 120);
    std::map<std::string, int> runs;
    for (const std::string& key : rows_of(s, s.primary_of("g0"), "runs")) {
        ++runs[key.substr(0, key.rfind('-'))];
    }
    for (const auto& [name, count] : runs) {
        EXPECT_EQ(count, 1) << name << " ran more than once";
    }
}

TEST(fault_test, a_switchover_loses_nothing) {
    site s({.lag_ms = 100});
    ASSERT_TRUE(s.start());
    background_writer a(s, 0, "a");
    ASSERT_TRUE(wait_until([&] { return a.count() > 50; }));
    const auto done = run_program({"larchpinctl", "--key-file", s.folder() + "/key", "--to",
                                   s.peer_address(0) + "," + s.peer_address(1) + "," + s.peer_address(2),
                                   "switchover", "g0", "g0-s2"});
    EXPECT_EQ(done.status, 0) << done.output;
    ASSERT_TRUE(wait_until([&] { return s.primary_of("g0") == "g0-s2"; }));
    const std::size_t before = a.count();
    ASSERT_TRUE(wait_until([&] { return a.count() > before + 20; }));
    a.stop();
    const auto rows = rows_of(s, "g0-s2", "w");
    for (const std::string& key : a.log.acknowledged) {
        EXPECT_TRUE(rows.contains(key)) << key << " was acknowledged and is gone";
    }
    expect_none_of(a.log.not_run, rows, "was called not-run and ran");
}

//-----------------------------------------------------------------------------
// [daemons]
//-----------------------------------------------------------------------------

TEST(fault_test, a_daemon_killed_in_a_transaction_leaves_nothing_of_it) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    caller c = s.connect(1, "shop", "g0");
    ASSERT_TRUE(c.run("begin").ok);
    ASSERT_TRUE(c.run("insert into half (key, value) values ('k', 'v')").ok);
    s.stop_daemon(1, SIGKILL);
    EXPECT_FALSE(c.run("commit").ok);
    caller other = s.connect(0, "shop", "g0");
    EXPECT_TRUE(wait_until([&] { return other.run("insert into half (key, value) values ('k', 'w')").ok; }));
    s.start_daemon(1);
    EXPECT_TRUE(wait_until([&] {
        return s.connect(1, "shop", "g0").run("select value from half where key = 'k'").value == "w";
    }));
}

TEST(fault_test, a_frozen_daemon_delays_a_failover_by_its_lease_only_and_acknowledges_nothing_after) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    // Daemon 2 has sent a write to a primary that stands still, and is frozen itself.
    caller c = s.connect(2, "shop", "g0");
    ASSERT_TRUE(c.run("insert into f (key, value) values ('warm', 'v')").ok);
    s.signal_server("g0-s0", SIGSTOP);
    ASSERT_TRUE(c.send("insert into f (key, value) values ('k', 'v')"));
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    s.signal_daemon(2, SIGSTOP);
    ASSERT_TRUE(wait_until([&] { return s.term_of("g0") == 2; }));
    s.signal_server("g0-s0", SIGCONT); // runs the write and answers it
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    s.signal_daemon(2, SIGCONT);
    const outcome o = c.finish();
    EXPECT_FALSE(o.ok) << "acknowledged by a replaced primary";
    EXPECT_EQ(o.run, "unknown") << o.message;
}

TEST(fault_test, connection_limits_hold_when_daemons_come_and_go) {
    constexpr unsigned limit = 6;
    site s({.lag_ms = 0, .service_ms = 5, .max_connections = limit});
    ASSERT_TRUE(s.start());
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    for (int t = 0; t < 12; ++t) {
        threads.emplace_back([&, t] {
            while (!stopping) {
                caller c = s.connect(t % 3, "shop", "g0", "-c larchpin.read_mode=primary");
                for (int i = 0; i < 20 && c.connected() && !stopping; ++i) {
                    c.run("select 1");
                }
            }
        });
    }
    // The stand-in counts everyone; the probes' and this test's own connections are not the service's.
    const auto peak_within_limit = [&] { return s.connect_server("g0-s0").run("standin peak shop").value; };
    std::this_thread::sleep_for(std::chrono::milliseconds{1500});
    s.stop_daemon(1, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds{1500});
    s.start_daemon(1);
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    const std::string peak = peak_within_limit();
    stopping = true;
    for (std::thread& t : threads) {
        t.join();
    }
    ASSERT_FALSE(peak.empty());
    EXPECT_LE(std::stoul(peak), limit);
    EXPECT_GE(std::stoul(peak), limit - 2) << "the connections should be used";
}

//-----------------------------------------------------------------------------
// [replicas]
//-----------------------------------------------------------------------------

TEST(fault_test, replicas_a_minute_behind_never_show_a_session_old_data) {
    site s({.lag_ms = 60000});
    ASSERT_TRUE(s.start());
    for (int i = 0; i < 10; ++i) {
        const std::string key = "'k" + std::to_string(i) + "'";
        ASSERT_TRUE(
            s.connect(i % 3, "shop", "g0").run("insert into far (key, value) values (" + key + ", 'v')").ok);
        EXPECT_EQ(s.connect((i + 1) % 3, "shop", "g0").run("select value from far where key = " + key).value,
                  "v");
        caller five_seconds = s.connect((i + 2) % 3, "shop", "g0", "-c larchpin.max_staleness_ms=5000");
        five_seconds.run("select value from far where key = " + key);
    }
    // More than five seconds old on the replicas by now: only the primary may answer.
    std::this_thread::sleep_for(std::chrono::milliseconds{5500});
    caller c = s.connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=5000");
    EXPECT_EQ(c.run("select value from far where key = 'k0'").value, "v");
}

TEST(fault_test, a_frozen_replica_costs_a_read_little_and_its_late_answer_reaches_nobody) {
    site s({.lag_ms = 0, .deadline_ms = 2000});
    ASSERT_TRUE(s.start());
    ASSERT_TRUE(s.connect(0, "shop", "g0").run("insert into late (key, value) values ('k', 'right')").ok);
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    s.signal_server("g0-s1", SIGSTOP);
    int good = 0;
    caller c = s.connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=60000");
    for (int i = 0; i < 60; ++i) {
        const outcome o = c.run("select value from late where key = 'k'");
        good += o.ok && o.value == "right" ? 1 : 0;
        if (!o.ok) {
            EXPECT_EQ(o.run, "not-run") << o.message;
        }
    }
    EXPECT_GE(good, 55);
    s.signal_server("g0-s1", SIGCONT);
    for (int i = 0; i < 60; ++i) {
        const std::string n = std::to_string(i);
        EXPECT_EQ(c.run("select " + n).value, n) << "another request's answer";
    }
}

//-----------------------------------------------------------------------------
// [control]
//-----------------------------------------------------------------------------

// Asks until control answers, which may be electing a leader.
table_file read_table(const site& s) {
    std::optional<table_file> table;
    const bool is_read = wait_until([&] {
        const auto got =
            run_program({"larchpinctl", "--key-file", s.folder() + "/key", "--to",
                         s.peer_address(0) + "," + s.peer_address(1) + "," + s.peer_address(2), "get"});
        const auto parsed = parse_table(got.output, "get");
        if (got.status == 0 && parsed) {
            table = parsed.value();
        }
        return table.has_value();
    });
    if (!is_read || table->content.services.empty()) {
        throw std::runtime_error("control told no table with a service");
    }
    return *table;
}

program_result apply(const site& s, const table_file& t, const std::string& change_id) {
    const std::string file = s.folder() + "/" + change_id + ".toml";
    std::ofstream(file) << format_table(t);
    return run_program({"larchpinctl", "--key-file", s.folder() + "/key", "--to",
                        s.peer_address(0) + "," + s.peer_address(1) + "," + s.peer_address(2), "--change-id",
                        change_id, "apply", "--wait", file});
}

TEST(fault_test, a_frozen_control_leader_decides_nothing_when_it_wakes) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    table_file t = read_table(s);
    const auto status = ask_leader(s.operators(), "/v1/status", "");
    wire::status_reply reply;
    ASSERT_TRUE(status && reply.ParseFromString(*status));
    ASSERT_FALSE(reply.leader().empty());
    const int leader = reply.leader().back() - '0';
    s.signal_daemon(leader, SIGSTOP);
    t.content.services[0].background_share = 33;
    operator_client others;
    ASSERT_TRUE(wait_until([&] { return apply(s, t, "while-frozen").status == 0; }));
    EXPECT_TRUE(wait_until([&] { return write_lands(s, (leader + 1) % 3, "during"); }));
    s.signal_daemon(leader, SIGCONT);
    const table_file after = read_table(s);
    EXPECT_EQ(after.content.services[0].background_share, 33U);
    EXPECT_TRUE(wait_until([&] { return write_lands(s, leader, "woken"); }));
    // The edit on the revision from before loses, whoever is asked.
    t.content.services[0].background_share = 77;
    EXPECT_EQ(apply(s, t, "too-late").status, 1);
    EXPECT_EQ(read_table(s).content.services[0].background_share, 33U);
}

// The identity under which an instance is a member of control; 0 where it is none.
std::uint64_t node_of(const site& s, int instance) {
    const auto body = ask_leader(s.operators(), "/v1/status", "");
    wire::status_reply status;
    if (!body || !status.ParseFromString(*body)) {
        return 0;
    }
    const auto& members = status.members();
    const auto found = std::find_if(members.begin(), members.end(), [instance](const auto& m) {
        return m.name() == "i" + std::to_string(instance);
    });
    return found == members.end() ? 0 : found->id();
}

TEST(fault_test, a_second_machine_may_be_lost_right_after_the_first_is_repaired) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    table_file t = read_table(s);
    t.content.services[0].background_share = 41;
    ASSERT_EQ(apply(s, t, "before").status, 0);
    const auto all_vote = [&s] {
        const auto body = ask_leader(s.operators(), "/v1/status", "");
        wire::status_reply status;
        return body && status.ParseFromString(*body) && status.members_size() == 3 &&
               std::all_of(status.members().begin(), status.members().end(),
                           [](const auto& m) { return m.voter() && !m.silent(); });
    };
    for (const int lost : {0, 1, 2}) {
        const std::uint64_t lost_node = node_of(s, lost);
        s.stop_daemon(lost, SIGKILL);
        s.lose_data(lost);
        s.start_daemon(lost);
        const auto repaired = [&] { return all_vote() && node_of(s, lost) != lost_node; };
        ASSERT_TRUE(wait_until(repaired)) << "instance " << lost << " has no vote again";
    }
    // By now no instance has the disk that it started with.
    const table_file after = read_table(s);
    EXPECT_EQ(after.content.services[0].background_share, 41U);
    EXPECT_TRUE(wait_until([&] { return write_lands(s, 0, "after-three-lost-disks"); }));
}

TEST(fault_test, a_daemon_restarted_after_hundreds_of_changes_acts_on_none_it_remembers) {
    site s({.lag_ms = 0, .snapshot_entries = 64});
    ASSERT_TRUE(s.start());
    s.stop_daemon(2, SIGKILL); // a control instance with an old log on disk
    table_file t = read_table(s);
    const operator_client operators = s.operators();
    for (unsigned i = 0; i < 200; ++i) {
        wire::edit_request request;
        t.content.services[0].background_share = 1 + i % 100;
        request.mutable_edit()->set_change_id("many-" + std::to_string(i));
        request.mutable_edit()->set_expected_revision(t.revision);
        auto* entry = request.mutable_edit()->mutable_next()->add_services();
        entry->set_id("shop");
        entry->set_max_connections(20);
        entry->set_deadline_ms(5000);
        entry->set_background_share(1 + i % 100);
        const auto body = ask_leader(operators, "/v1/edit", request.SerializeAsString());
        wire::operator_reply reply;
        ASSERT_TRUE(body && reply.ParseFromString(*body));
        ASSERT_EQ(reply.code(), 0U);
        t.revision = reply.table_revision();
    }
    s.stop_server("g0-s0", SIGKILL); // and a failover while it is away
    ASSERT_TRUE(wait_until([&] { return s.term_of("g0") == 2; }));
    s.start_daemon(2);
    ASSERT_TRUE(wait_until([&] { return write_lands(s, 2, "restarted"); }));
    EXPECT_EQ(read_table(s).revision, t.revision);
    EXPECT_TRUE(rows_of(s, s.primary_of("g0"), "after").contains("restarted"));
}

TEST(fault_test, without_a_majority_no_write_is_taken_but_stale_reads_go_on) {
    site s({.lag_ms = 0, .deadline_ms = 6000});
    ASSERT_TRUE(s.start());
    ASSERT_TRUE(s.connect(0, "shop", "g0").run("insert into alone (key, value) values ('k', 'v')").ok);
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    caller reader =
        s.connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=3600000 -c larchpin.read_mode=read");
    ASSERT_EQ(reader.run("select value from alone where key = 'k'").value, "v");
    s.stop_daemon(1, SIGKILL);
    s.stop_daemon(2, SIGKILL);
    ASSERT_TRUE(wait_until([&] { return s.log_of_daemon(0).find("lease_lost") != std::string::npos; }));
    const outcome alone = reader.run("select value from alone where key = 'k'");
    EXPECT_EQ(alone.value, "v") << alone.message;
    const outcome o = reader.run("insert into alone (key, value) values ('k2', 'v')");
    EXPECT_EQ(o.code, number_of(result_code::no_lease)) << o.message;
    EXPECT_EQ(o.run, "not-run");
    s.start_daemon(1);
    EXPECT_TRUE(wait_until([&] { return write_lands(s, 0, "again"); }));
}

//-----------------------------------------------------------------------------
// [operators]
//-----------------------------------------------------------------------------

TEST(fault_test, of_two_edits_on_one_revision_one_wins_and_a_resent_one_gets_its_first_answer) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    for (int round = 0; round < 5; ++round) {
        table_file t = read_table(s);
        std::array<program_result, 2> results;
        std::vector<std::thread> threads;
        for (int i = 0; i < 2; ++i) {
            threads.emplace_back([&, i, mine = t]() mutable {
                mine.content.services[0].background_share = 10 + static_cast<unsigned>(round * 2 + i);
                results.at(static_cast<std::size_t>(i)) =
                    apply(s, mine, "race-" + std::to_string(round) + "-" + std::to_string(i));
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        EXPECT_EQ((results[0].status == 0) + (results[1].status == 0), 1)
            << results[0].output << results[1].output;
        const std::size_t winner = results[0].status == 0 ? 0 : 1;
        EXPECT_NE(results.at(1 - winner).output.find("2003"), std::string::npos)
            << results.at(1 - winner).output;
        t.content.services[0].background_share =
            10 + static_cast<unsigned>(round) * 2 + static_cast<unsigned>(winner);
        EXPECT_EQ(apply(s, t, "race-" + std::to_string(round) + "-" + std::to_string(winner)).status, 0);
        EXPECT_EQ(read_table(s).content.services[0].background_share, t.content.services[0].background_share);
    }
}

//-----------------------------------------------------------------------------
// [leaving and stopping]
//-----------------------------------------------------------------------------

TEST(fault_test, a_server_that_leaves_gets_no_new_work) {
    site s({.lag_ms = 0});
    ASSERT_TRUE(s.start());
    std::atomic<bool> stopping{false};
    std::thread reader([&] {
        caller c = s.connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=60000");
        while (!stopping) {
            c.run("select 1");
        }
    });
    ASSERT_TRUE(wait_until([&] { return s.connect_server("g0-s1").run("standin work shop").value != "0"; }));
    ASSERT_TRUE(s.connect_server("g0-s1").run("standin set leave = on").ok);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    const std::string before = s.connect_server("g0-s1").run("standin work shop").value;
    std::this_thread::sleep_for(std::chrono::seconds{1});
    const std::string after = s.connect_server("g0-s1").run("standin work shop").value;
    stopping = true;
    reader.join();
    EXPECT_FALSE(before.empty());
    EXPECT_NE(before, "0") << "it had work before";
    EXPECT_EQ(before, after);
}

TEST(fault_test, a_planned_stop_cuts_no_request_in_flight) {
    site s({.lag_ms = 0, .service_ms = 20});
    ASSERT_TRUE(s.start());
    std::atomic<int> cut{0};
    std::atomic<int> told{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&, t] {
            caller c = s.connect(1, "shop", "g0");
            for (int i = 0; i < 1000; ++i) {
                const bool transaction = t % 2 == 0 && c.run("begin").ok;
                const std::string key = std::to_string(t) + "-" + std::to_string(i);
                const outcome o = c.run("insert into d (key, value) values ('" + key + "', 'v')");
                const bool committed = !transaction || c.run("commit").ok;
                if (o.ok && committed) {
                    ++served;
                    continue;
                }
                const bool was_told = o.code == number_of(result_code::stopping) || o.sqlstate == "57P01";
                // A request sent in the moment the idle session was ended has been told so on the wire.
                const bool between = c.notices().find("being stopped") != std::string::npos;
                (was_told || between ? told : cut) += 1;
                return;
            }
        });
    }
    ASSERT_TRUE(wait_until([&] { return served > 50; }));
    s.signal_daemon(1, SIGTERM);
    for (std::thread& t : threads) {
        t.join();
    }
    EXPECT_EQ(s.wait_daemon(1), 0);
    EXPECT_EQ(cut, 0);
    EXPECT_EQ(told, 8);
    EXPECT_NE(s.log_of_daemon(1).find("\"cut\":0"), std::string::npos);
}

} // namespace
} // namespace larchpin::testing
