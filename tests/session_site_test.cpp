// What the reads of one session are owed on the users' platform: its own writes, and its route's bound.
//
// Index
//   [routes that move]  [bounds of 0]
#include "platform_site.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace larchpin::testing {
namespace {

//-----------------------------------------------------------------------------
// [routes that move]
//-----------------------------------------------------------------------------

// A table in which the database "shop" belongs to this service; "other" has no servers.
std::string table_with_shop_at(std::uint64_t version, const std::string& service) {
    std::string body = platform_site::table_body(version);
    const std::string service_field = R"("service":")";
    const auto at = body.find(service_field, body.find(R"("host":"shop")"));
    body.replace(at + service_field.size(), std::string("svc").size(), service);
    const std::string services = R"("services":[)";
    return body.insert(body.find(services) + services.size(),
                       R"({"name":"other","health_path":"/health","max_connections":20,"protocol":"h1",)"
                       R"("tls_enabled":false,"sync_replica_count":0},)");
}

void move_shop(platform_site& s, std::uint64_t version, const std::string& service) {
    ASSERT_EQ(s.post(s.daemons.front().control_port, "/larchpin/config/replace",
                     table_with_shop_at(version, service))
                  .status,
              200);
    ASSERT_TRUE(s.run_until([&] {
        return std::all_of(s.daemons.begin(), s.daemons.end(), [version](const site_daemon& d) {
            return d.core->cluster().table_version == version;
        });
    }));
}

// Both replicas lack everything that is written from now on. The primary's position before that is known, so
// a read that requires no more than it may use them.
void stop_replication(platform_site& s) {
    s.server("s2").follows = false;
    s.server("s3").follows = false;
    line_caller other = s.connect("strict");
    EXPECT_EQ(other.ask("before", "FETCH k").rows.size(), 1U);
}

void expect_reads_at_the_primary(platform_site& s, line_caller& c) {
    for (int i = 0; i < 10; ++i) {
        const std::string id = "back" + std::to_string(i);
        EXPECT_EQ(c.ask(id, "FETCH k").rows.size(), 1U);
        ASSERT_EQ(s.statements_with(id).size(), 1U);
        EXPECT_EQ(s.statements_with(id).at(0).server, "s1") << "the replicas lack the session's write";
    }
}

// A session forgot its writes once it had used its route at another service.
TEST(moved_routes, session_that_is_back_at_a_service_reads_its_own_write_there) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    stop_replication(s);
    ASSERT_FALSE(c.ask("w", "STORE k v").done.empty());
    move_shop(s, 11, "other");
    EXPECT_FALSE(c.ask("away", "FETCH k").error.empty());
    move_shop(s, 12, "svc");
    expect_reads_at_the_primary(s, c);
}

// The same where the route moves several times, and the write was the commit of a transaction.
TEST(moved_routes, session_keeps_the_commit_of_a_transaction_over_several_moves) {
    platform_site s;
    s.start();
    line_caller c = s.connect("shop");
    stop_replication(s);
    c.ask("b", "BEGIN");
    c.ask("w", "STORE k v");
    ASSERT_TRUE(c.ask("c", "COMMIT").error.empty());
    for (std::uint64_t version = 11; version < 17; version += 2) {
        move_shop(s, version, "other");
        EXPECT_FALSE(c.ask("away", "FETCH k").error.empty());
        move_shop(s, version + 1, "svc");
        expect_reads_at_the_primary(s, c);
        s.group.statements.clear();
    }
}

//-----------------------------------------------------------------------------
// [bounds of 0]
//-----------------------------------------------------------------------------

// The table of the site with this bound for the databases "shop" and "poll"; empty: no bound is stated.
std::string table_with_bound(std::uint64_t version, const std::string& bound) {
    std::string body = platform_site::table_body(version);
    const std::string usual = R"(,"max_staleness_ms":1500)";
    for (auto at = body.find(usual); at != std::string::npos; at = body.find(usual, at + bound.size())) {
        body.replace(at, usual.size(), bound);
    }
    return body;
}

// Lets a session of the database read before and after a write of another instance's session that no replica
// receives. Returns the server of the second read.
std::string server_of_read_after_foreign_write(const std::string& database, const std::string& bound) {
    platform_site s;
    s.start();
    const site_daemon& first = s.daemons.front();
    EXPECT_EQ(s.post(first.control_port, "/larchpin/config/replace", table_with_bound(11, bound)).status,
              200);
    site_daemon& second = s.add_entry("z2");
    EXPECT_TRUE(s.run_until([&] { return second.core->cluster().table_version == 11; }));
    line_caller reader(s, second.entry_port);
    reader.open("STARTUP " + database + " somebody");
    EXPECT_EQ(reader.ask("r1", "FETCH k").rows.size(), 1U);
    stop_replication(s);
    line_caller writer(s, first.entry_port);
    writer.open("STARTUP strict somebody");
    EXPECT_FALSE(writer.ask("w", "STORE k v").done.empty());
    EXPECT_EQ(reader.ask("r2", "FETCH k").rows.size(), 1U);
    return s.statements_with("r2").at(0).server;
}

// A bound of 0 was taken for the consistency of a session, whose reads may lack others' later commits.
TEST(bounds_of_zero, read_holds_what_others_committed_before_it) {
    for (const std::string database : {"poll", "shop"}) {
        EXPECT_EQ(server_of_read_after_foreign_write(database, R"(,"max_staleness_ms":0)"), "s1") << database;
    }
}

// A bounded route that states no bound promised nothing but the session's consistency.
TEST(bounds_of_zero, missing_bound_of_a_bounded_route_counts_as_0) {
    EXPECT_EQ(server_of_read_after_foreign_write("poll", ""), "s1");
}

} // namespace
} // namespace larchpin::testing
