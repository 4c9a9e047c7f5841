// The whole path in real processes, without faults: what a caller can do through larchpin.
#include "ports.hpp"
#include "site.hpp"

#include <gtest/gtest.h>
#include <libpq-fe.h>

#include <csignal>
#include <fstream>
#include <set>
#include <thread>

namespace larchpin::testing {
namespace {

class whole_path : public ::testing::Test {
protected:
    static void SetUpTestSuite() {
        shared = std::make_unique<site>(site_options{.lag_ms = 300});
        ASSERT_TRUE(shared->start());
    }
    static void TearDownTestSuite() { shared.reset(); }
    static std::unique_ptr<site>
        shared; // NOLINT(*-avoid-non-const-global-variables): one site serves all tests
};
std::unique_ptr<site> whole_path::shared; // NOLINT(*-avoid-non-const-global-variables)

TEST(ports_of_a_site, are_never_given_twice_nor_taken_by_outgoing_connections) {
    std::set<unsigned> given;
    for (int i = 0; i < 200; ++i) {
        const unsigned port = free_port();
        EXPECT_NE(port, 0U);
        EXPECT_LT(port, first_ephemeral_port());
        EXPECT_TRUE(given.insert(port).second) << port;
    }
}

TEST_F(whole_path, serves_queries_and_errors) {
    caller c = shared->connect(0, "shop", "g0");
    ASSERT_TRUE(c.connected()) << c.error();
    EXPECT_TRUE(c.run("insert into a (key, value) values ('k1', 'v1')").ok);
    EXPECT_EQ(c.run("select value from a where key = 'k1'").value, "v1");
    const outcome twice = c.run("insert into a (key, value) values ('k1', 'v2')");
    EXPECT_EQ(twice.sqlstate, "23505");
    EXPECT_EQ(twice.code, 0U) << "a server's own error is passed on as it is";
    EXPECT_EQ(c.run("select value from a where key = 'k1'").value, "v1");
}

TEST_F(whole_path, serves_prepared_statements) {
    caller c = shared->connect(1, "shop", "g0");
    ASSERT_TRUE(c.run_with("insert into p (key, value) values ($1, $2)", {"k", "v"}).ok);
    EXPECT_EQ(c.run_with("select value from p where key = $1", {"k"}).value, "v");
    PGresult* prepared = PQprepare(c.raw(), "s", "select value from p where key = $1", 0, nullptr);
    EXPECT_EQ(PQresultStatus(prepared), PGRES_COMMAND_OK);
    PQclear(prepared);
    PGresult* described = PQdescribePrepared(c.raw(), "s");
    EXPECT_EQ(PQnparams(described), 1);
    EXPECT_EQ(PQnfields(described), 1);
    PQclear(described);
    const char* value = "k";
    PGresult* result = PQexecPrepared(c.raw(), "s", 1, &value, nullptr, nullptr, 0);
    ASSERT_EQ(PQntuples(result), 1);
    EXPECT_STREQ(PQgetvalue(result, 0, 0), "v");
    PQclear(result);
}

TEST_F(whole_path, serves_transactions) {
    caller c = shared->connect(2, "shop", "g0");
    ASSERT_TRUE(c.run("begin").ok);
    EXPECT_EQ(PQtransactionStatus(c.raw()), PQTRANS_INTRANS);
    ASSERT_TRUE(c.run("insert into t (key, value) values ('k', 'v')").ok);
    EXPECT_EQ(shared->connect(1, "shop", "g0").run("select value from t where key = 'k'").rows, 0U);
    ASSERT_TRUE(c.run("commit").ok);
    EXPECT_EQ(PQtransactionStatus(c.raw()), PQTRANS_IDLE);
    EXPECT_EQ(c.run("select value from t where key = 'k'").value, "v");
    ASSERT_TRUE(c.run("begin").ok);
    EXPECT_FALSE(c.run("insert into t (key, value) values ('k', 'again')").ok);
    EXPECT_EQ(PQtransactionStatus(c.raw()), PQTRANS_INERROR);
    EXPECT_EQ(c.run("select value from t where key = 'k'").sqlstate, "25P02");
    EXPECT_TRUE(c.run("rollback").ok);
}

TEST_F(whole_path, sends_a_write_behind_a_select_to_the_primary) {
    caller c = shared->connect(0, "shop", "g0");
    EXPECT_EQ(c.run("select write_value('w', 'k', 'v')").value, "v");
    EXPECT_EQ(c.run("select value from w where key = 'k'").value, "v");
}

TEST_F(whole_path, streams_a_large_answer) {
    caller c = shared->connect(0, "shop", "g0");
    EXPECT_EQ(c.run("select generate_series(1, 200000)").rows, 200000U);
    EXPECT_TRUE(c.run("select 1").ok);
}

TEST_F(whole_path, survives_a_caller_that_leaves_in_mid_answer) {
    {
        caller c = shared->connect(0, "shop", "g0");
        c.send("select generate_series(1, 2000000)");
    }
    caller next = shared->connect(0, "shop", "g0");
    EXPECT_EQ(next.run("select 42").value, "42");
}

TEST_F(whole_path, cancels_a_statement) {
    caller c = shared->connect(0, "shop", "g0");
    ASSERT_TRUE(c.send("select pg_sleep(4)"));
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    EXPECT_TRUE(c.cancel());
    EXPECT_EQ(c.finish().sqlstate, "57014");
    EXPECT_TRUE(c.run("select 1").ok);
}

TEST_F(whole_path, reads_its_writes_through_another_proxy) {
    for (int i = 0; i < 20; ++i) {
        const std::string key = "'r" + std::to_string(i) + "'";
        caller writer = shared->connect(i % 3, "shop", "g0");
        ASSERT_TRUE(writer.run("insert into r (key, value) values (" + key + ", 'v')").ok);
        ASSERT_FALSE(writer.token().empty());
        caller with_token =
            shared->connect((i + 1) % 3, "shop", "g0", "-c larchpin.session=" + writer.token());
        EXPECT_EQ(with_token.run("select value from r where key = " + key).value, "v");
        caller without = shared->connect((i + 2) % 3, "shop", "g0");
        EXPECT_EQ(without.run("select value from r where key = " + key).value, "v");
    }
}

TEST_F(whole_path, serves_stale_reads_on_replicas_but_never_staler_than_stated) {
    caller c = shared->connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=60000");
    ASSERT_TRUE(c.connected()) << c.error();
    EXPECT_TRUE(c.run("select value from s where key = 'k'").ok);
    caller other = shared->connect(1, "shop", "g0");
    ASSERT_TRUE(other.run("insert into s (key, value) values ('k', 'v')").ok);
    // 100 ms is less than the replicas' lag of 300 ms.
    caller strict = shared->connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=100");
    std::this_thread::sleep_for(std::chrono::milliseconds{150});
    EXPECT_EQ(strict.run("select value from s where key = 'k'").value, "v");
}

TEST_F(whole_path, refuses_by_name_what_cannot_be_shared) {
    caller c = shared->connect(0, "shop", "g0");
    for (const char* sql :
         {"listen x", "copy t from stdin", "create temp table x (a int)", "select pg_advisory_lock(1)"}) {
        const outcome o = c.run(sql);
        EXPECT_EQ(o.code, static_cast<unsigned>(result_code::unsupported)) << sql;
        EXPECT_EQ(o.run, "not-run") << sql;
    }
    EXPECT_TRUE(c.run("select 1").ok);
    EXPECT_FALSE(c.run("set larchpin.nonsense = 1").ok);
    EXPECT_TRUE(c.run("set larchpin.class = 'background'").ok);
}

TEST_F(whole_path, refuses_unknown_services_and_groups) {
    caller unknown_service = shared->connect(0, "nobody", "g0");
    EXPECT_FALSE(unknown_service.connected());
    caller unknown_group = shared->connect(0, "shop", "nowhere");
    ASSERT_TRUE(unknown_group.connected());
    EXPECT_EQ(unknown_group.run("select 1").code, static_cast<unsigned>(result_code::unknown_group));
}

TEST_F(whole_path, gives_strangers_nothing) {
    operator_client stranger = shared->operators();
    stranger.keys.keys = {std::string(48, 'x')};
    for (const char* path :
         {"/v1/status", "/v1/metrics", "/v1/renew", "/v1/announce", "/v1/drain", "/v1/raft"}) {
        EXPECT_FALSE(ask_one(stranger, shared->peer_address(0), path, "").has_value()) << path;
    }
}

TEST_F(whole_path, runs_a_keyed_request_once_though_two_proxies_race) {
    ASSERT_TRUE(
        shared->connect(0, "shop", "g0").run("insert into stock (key, value) values ('deck', '0')").ok);
    for (int i = 0; i < 10; ++i) {
        const std::string key = "-c larchpin.idempotency_key=order-" + std::to_string(i);
        caller a = shared->connect(0, "shop", "g0", key);
        caller b = shared->connect(1, "shop", "g0", key);
        a.send("update stock set value = value + 1 where key = 'deck'");
        b.send("update stock set value = value + 1 where key = 'deck'");
        const outcome first = a.finish();
        const outcome second = b.finish();
        EXPECT_NE(first.ok, second.ok);
        const outcome& refused = first.ok ? second : first;
        EXPECT_EQ(refused.code, static_cast<unsigned>(result_code::duplicate_request)) << refused.message;
        EXPECT_EQ(refused.run, "ran");
    }
    EXPECT_EQ(shared->connect(2, "shop", "g0").run("select value from stock where key = 'deck'").value, "10");
}

TEST_F(whole_path, carries_session_settings_over_shared_connections) {
    caller c = shared->connect(0, "shop", "g0", "-c statement_timeout=9s");
    EXPECT_TRUE(c.run("set work_mem = '8MB'").ok);
    EXPECT_TRUE(c.run("select 1").ok);
    caller other = shared->connect(0, "shop", "g0");
    EXPECT_TRUE(other.run("select 1").ok);
}

TEST_F(whole_path, reads_its_settings_again_on_a_signal_and_on_a_silent_change) {
    const std::string file = shared->folder() + "/daemon-1.toml";
    const auto logged = [](const std::string& text) {
        return wait_until([&] { return shared->log_of_daemon(1).find(text) != std::string::npos; });
    };
    std::ofstream(file, std::ios::app) << "# changed without a signal\n";
    EXPECT_TRUE(logged(R"("event":"settings_reloaded")"));
    shared->signal_daemon(1, SIGHUP);
    EXPECT_TRUE(logged(R"("by_signal":true)"));
    std::ofstream(file, std::ios::app) << "no settings\n";
    EXPECT_TRUE(logged(R"("event":"settings_not_reloaded")"));
    EXPECT_TRUE(shared->connect(1, "shop", "g0").run("select 1").ok) << "it goes on with what it had";
}

} // namespace
} // namespace larchpin::testing
