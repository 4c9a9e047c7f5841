// A server's statements over one instance of a small site: where they go, and what happens when that instance
// stands still, comes back, or is stopped.
#include "core/home_order.hpp"
#include "platform_site.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace larchpin::testing {
namespace {

using std::chrono::milliseconds;

// Four daemons, and fewer connections to a server than two for each. The one that orders the primary's
// statements runs apart from the others.
struct ordered_site {
    static constexpr unsigned daemon_count = 4;
    static constexpr unsigned connections = 7;
    platform_site site;
    site_daemon* first = nullptr; // of the primary's list
    site_daemon* other = nullptr; // neither that nor control's
    unsigned asked = 0;

    ordered_site() {
        site.order_statements = true;
        site.start();
        const std::string orders = first_of_primary();
        EXPECT_NE(orders, "daemon-1") << "control must go on; another number of daemons would do";
        for (unsigned i = 2; i <= daemon_count; ++i) {
            const bool is_first = orders == "daemon-" + std::to_string(i);
            site_daemon& d = is_first ? site.add_entry_apart() : site.add_entry();
            (is_first ? first : other) = &d;
        }
        std::string body = platform_site::table_body(20);
        const std::string plenty = "\"max_connections\":20";
        body.replace(body.find(plenty), plenty.size(), "\"max_connections\":" + std::to_string(connections));
        EXPECT_EQ(site.post(site.daemons.front().control_port, "/larchpin/config/replace", body).status, 200);
        site.run_for(milliseconds{300});
    }
    // Names alone decide, so it is known before they start.
    [[nodiscard]] std::string first_of_primary() const {
        cluster_state s;
        for (unsigned i = 1; i <= daemon_count; ++i) {
            const std::string id = "daemon-" + std::to_string(i);
            s.instances[{id}] = {.id = {id}, .domain = {"z1"}, .address = id, .accepts_clients = true};
        }
        for (const fake_server& server : site.group.servers) {
            s.servers[{server.id}] = {
                .id = {server.id}, .group = {"g"}, .host = "", .port = 1, .domain = {"z1"}};
        }
        return order_homes(s, {"s1"}, connections).front().value;
    }
    // Writes through the entry; how many of them were acknowledged.
    unsigned write(site_daemon& entry, unsigned count) {
        unsigned done = 0;
        for (unsigned i = 0; i < count; ++i) {
            line_caller c(site, entry.entry_port);
            c.open("STARTUP strict somebody");
            done += c.ask("w" + std::to_string(++asked), "STORE k v").error.empty() ? 1 : 0;
        }
        return done;
    }
    [[nodiscard]] long others_that_order() {
        return std::count_if(site.daemons.begin(), site.daemons.end(),
                             [this](site_daemon& d) { return &d != first && orders(d); });
    }
    static bool orders(site_daemon& d) {
        return d.core->metrics_text().find(R"(larchpin_ordered_permits{service="svc",server="s1"} 4)") !=
               std::string::npos;
    }
};

TEST(ordering, of_a_server_is_one_instances_with_a_place_more_than_it_announced_slots) {
    ordered_site s;
    EXPECT_EQ(s.write(*s.other, 5), 5U);
    EXPECT_EQ(s.write(s.site.daemons.front(), 5), 5U);
    EXPECT_EQ(s.write(*s.first, 5), 5U);
    for (site_daemon& d : s.site.daemons) {
        EXPECT_EQ(ordered_site::orders(d), &d == s.first) << d.config.id.value;
    }
    std::set<std::uint64_t> used;
    for (const seen_statement& seen : s.site.group.statements) {
        if (seen.server == "s1" && seen.id != "-") {
            used.insert(seen.connection);
        }
    }
    EXPECT_LE(used.size(), 2U) << "all over the connections of one instance";
}

// The pattern: the process that orders stands still. Who comes after it is known to all.
TEST(ordering, goes_on_over_the_next_instance_when_the_first_stands_still_and_comes_back) {
    ordered_site s;
    ASSERT_EQ(s.write(*s.other, 3), 3U);
    s.site.freeze_apart(true);
    s.write(*s.other, 2); // may end unknown: they were sent to the one that stands still
    EXPECT_TRUE(s.site.run_until([&] { return s.write(*s.other, 1) == 1; }));
    EXPECT_EQ(s.write(*s.other, 10), 10U);
    EXPECT_TRUE(s.site.run_until([&] { return s.write(*s.other, 1) == 1 && s.others_that_order() == 1; }))
        << "it has found the first one silent by itself";
    s.site.freeze_apart(false);
    EXPECT_TRUE(s.site.run_until([&] {
        return s.write(*s.other, 1) == 1 && ordered_site::orders(*s.first) && s.others_that_order() == 0;
    }));
}

TEST(ordering, goes_on_over_the_next_instance_when_the_first_is_stopped) {
    ordered_site s;
    ASSERT_EQ(s.write(*s.other, 3), 3U);
    s.first->core->stop();
    EXPECT_EQ(s.write(*s.other, 10), 10U) << "it says so itself, and nothing is lost";
    s.site.run_for(milliseconds{500});
    EXPECT_TRUE(s.site.run_until([&] { return s.write(*s.other, 1) == 1; }));
}

} // namespace
} // namespace larchpin::testing
