// Workspaces on a whole small site: keys that come and go, whose connections requests run on, and a rate that
// two entries share.
//
// Index
//   [a site with workspaces]  [keys]  [connections]  [rate]
#include "platform_site.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace larchpin::testing {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [a site with workspaces]
//-----------------------------------------------------------------------------

constexpr const char* two_workspaces =
    R"([{"name":"acme","api_keys":["key-a1","key-a2"],"priority":1,"rate_per_s":1000,"burst":1000},)"
    R"({"name":"bell","api_keys":["key-b1"],"priority":2,"rate_per_s":1000,"burst":1000}])";

std::string body_with(std::uint64_t version, const std::string& workspaces) {
    std::string body = platform_site::table_body(version);
    body.insert(body.size() - 1, ",\"tenants\":" + workspaces);
    return body;
}

struct workspace_site {
    platform_site site;
    std::uint64_t version = 10;

    explicit workspace_site(const std::string& workspaces = two_workspaces, unsigned entries = 1) {
        site.start();
        for (unsigned i = 1; i < entries; ++i) {
            site.add_entry();
        }
        replace(workspaces);
    }
    // In force at every daemon when it returns.
    void replace(const std::string& workspaces) {
        ++version;
        EXPECT_EQ(site.post(site.daemons.front().control_port, "/larchpin/config/replace",
                            body_with(version, workspaces))
                      .status,
                  200);
        EXPECT_TRUE(site.run_until([&] {
            return std::all_of(site.daemons.begin(), site.daemons.end(), [&](const site_daemon& d) {
                return d.core->cluster().table_version == version && d.core->has_lease();
            });
        }));
    }
    line_caller open(const std::string& database, const std::string& key, std::size_t entry = 0) {
        line_caller c(site, std::next(site.daemons.begin(), static_cast<long>(entry))->entry_port);
        last = c.open("STARTUP " + database + " " + key);
        return c;
    }
    std::string why_refused(const std::string& workspaces) {
        return site
            .post(site.daemons.front().control_port, "/larchpin/config/replace",
                  body_with(version + 1, workspaces))
            .body;
    }
    answer last;
};

//-----------------------------------------------------------------------------
// [keys]
//-----------------------------------------------------------------------------

TEST(keys, open_sessions_of_their_workspace_and_nothing_else_does) {
    workspace_site s;
    line_caller a = s.open("shop", "key-a1");
    EXPECT_EQ(s.last.state, "I");
    EXPECT_EQ(a.ask("1", "STORE k v").state, "I");
    EXPECT_EQ(s.site.statements_with("1").at(0).who, "acme") << "the name, and never the key";
    line_caller stranger = s.open("shop", "acme");
    EXPECT_TRUE(s.last.error.starts_with("NOAUTH")) << s.last.error;
    EXPECT_TRUE(s.site.run_until([&] { return stranger.has_ended(); }));
}

TEST(keys, that_are_taken_away_end_their_sessions_and_nobody_elses) {
    workspace_site s;
    line_caller gone = s.open("shop", "key-a1");
    line_caller stays = s.open("shop", "key-a2");
    EXPECT_EQ(gone.ask("1", "FETCH k").state, "I");
    s.replace(R"([{"name":"acme","api_keys":["key-a2"],"priority":1,"rate_per_s":1000,"burst":1000}])");
    EXPECT_TRUE(s.site.run_until([&] { return gone.has_ended(); }));
    EXPECT_EQ(stays.ask("2", "FETCH k").state, "I");
    line_caller again = s.open("shop", "key-a1");
    EXPECT_TRUE(s.last.error.starts_with("NOAUTH")) << s.last.error;
}

TEST(keys, that_are_taken_away_abort_a_transaction_that_is_open) {
    workspace_site s;
    line_caller c = s.open("strict", "key-b1");
    c.ask("b", "BEGIN");
    EXPECT_EQ(c.ask("1", "STORE k v").state, "T");
    s.replace(R"([{"name":"acme","api_keys":["key-a2"],"priority":1,"rate_per_s":0,"burst":0}])");
    s.site.run_for(milliseconds{50});
    const answer end = c.ask("c", "COMMIT");
    EXPECT_TRUE(end.error.starts_with("ABORTED")) << end.error;
    EXPECT_TRUE(s.site.run_until([&] { return c.has_ended(); }));
    EXPECT_EQ(s.site.server("s1").applied, 0U) << "nothing of it was committed";
}

TEST(keys, work_as_soon_as_their_edit_is_in_force) {
    workspace_site s;
    s.replace(R"([{"name":"cole","api_keys":["key-c1"],"priority":1,"rate_per_s":1000,"burst":5}])");
    line_caller c = s.open("shop", "key-c1");
    EXPECT_EQ(c.ask("1", "STORE k v").state, "I");
    EXPECT_EQ(s.site.statements_with("1").at(0).who, "cole");
}

TEST(keys, reach_control_only_and_are_read_back_whole) {
    workspace_site s(two_workspaces, 2);
    const site_daemon& entry = s.site.daemons.back();
    EXPECT_TRUE(entry.core->cluster().document.empty());
    EXPECT_EQ(entry.core->cluster().current_table.keys.size(), 3U);
    EXPECT_EQ(s.site.get(s.site.daemons.front().control_port, "/larchpin/config/fetch").body,
              body_with(s.version, two_workspaces));
}

TEST(keys, of_an_invalid_table_are_named_in_no_answer) {
    workspace_site s;
    for (const char* bad :
         {R"([{"name":"a","api_keys":["key-x"]},{"name":"b","api_keys":["key-x"]}])",
          R"([{"name":"a","api_keys":["key-x"]},{"name":"a","api_keys":["key-y"]}])",
          R"([{"name":"a","api_keys":["key-x",""]}])", R"([{"name":"","api_keys":["key-x"]}])",
          R"([{"name":"a","api_keys":"key-x"}])", R"([{"name":"a","api_keys":["key-x"],"rate_per_s":-1}])"}) {
        const std::string why = s.why_refused(bad);
        EXPECT_NE(why.find("2004"), std::string::npos) << bad << ": " << why;
        EXPECT_EQ(why.find("key-x"), std::string::npos) << why;
    }
}

//-----------------------------------------------------------------------------
// [connections]
//-----------------------------------------------------------------------------

TEST(workspace_connections, are_never_shared_by_two_workspaces) {
    workspace_site s;
    line_caller a = s.open("shop", "key-a1");
    line_caller b = s.open("shop", "key-b1");
    for (int i = 0; i < 10; ++i) {
        a.ask("a" + std::to_string(i), "STORE k v");
        b.ask("b" + std::to_string(i), "FETCH k");
    }
    std::map<std::uint64_t, std::string> owner;
    for (const seen_statement& seen : s.site.group.statements) {
        if (seen.id == "-") {
            continue;
        }
        EXPECT_EQ(seen.who, seen.id[0] == 'a' ? "acme" : "bell") << seen.id;
        EXPECT_EQ(owner.emplace(seen.connection, seen.who).first->second, seen.who);
    }
    EXPECT_GE(owner.size(), 2U);
}

// Over another entry's connections, too.
TEST(workspace_connections, are_lent_to_requests_of_their_workspace_only) {
    workspace_site s(two_workspaces, 2);
    std::string body = body_with(++s.version, two_workspaces);
    const std::string plenty = "\"max_connections\":20";
    body.replace(body.find(plenty), plenty.size(), "\"max_connections\":2");
    ASSERT_EQ(s.site.post(s.site.daemons.front().control_port, "/larchpin/config/replace", body).status, 200);
    s.site.run_for(milliseconds{300});
    line_caller a = s.open("strict", "key-a1", 0);
    line_caller b = s.open("strict", "key-b1", 1);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(a.ask("a" + std::to_string(i), "STORE k v").error, "");
        EXPECT_EQ(b.ask("b" + std::to_string(i), "STORE k v").error, "");
    }
    for (const seen_statement& seen : s.site.group.statements) {
        if (seen.id != "-") {
            EXPECT_EQ(seen.who, seen.id[0] == 'a' ? "acme" : "bell") << seen.id;
        }
    }
}

//-----------------------------------------------------------------------------
// [rate]
//-----------------------------------------------------------------------------

TEST(rate, holds_over_two_entries_and_leaves_other_workspaces_alone) {
    workspace_site s(R"([{"name":"acme","api_keys":["key-a1"],"priority":1,"rate_per_s":1,"burst":6},)"
                     R"({"name":"bell","api_keys":["key-b1"],"priority":1,"rate_per_s":0,"burst":0}])",
                     2);
    s.site.run_for(milliseconds{6500}); // the bucket fills from the leader's first moment
    unsigned served = 0;
    std::string refusal;
    for (int i = 0; i < 10; ++i) {
        for (const std::size_t entry : {0U, 1U}) {
            line_caller c = s.open("shop", "key-a1", entry);
            const answer a = c.ask(std::to_string(entry) + "/" + std::to_string(i), "FETCH k");
            served += a.error.empty() ? 1 : 0;
            refusal = a.error.empty() ? refusal : a.error;
        }
    }
    EXPECT_GE(served, 5U);
    EXPECT_LE(served, 9U) << "six at once, and one a second for what this took";
    EXPECT_TRUE(refusal.starts_with("BUSY 3016")) << refusal;
    EXPECT_NE(refusal.find("retry after"), std::string::npos);
    line_caller b = s.open("shop", "key-b1");
    EXPECT_EQ(b.ask("b", "FETCH k").error, "");
}

TEST(rate, counts_a_transaction_once_and_lets_it_go_on) {
    workspace_site s(R"([{"name":"acme","api_keys":["key-a1"],"priority":1,"rate_per_s":1,"burst":1}])");
    s.site.run_for(milliseconds{1500});
    line_caller c = s.open("strict", "key-a1");
    c.ask("b", "BEGIN");
    EXPECT_EQ(c.ask("1", "STORE k v").state, "T");
    EXPECT_EQ(c.ask("2", "STORE l v").state, "T");
    EXPECT_EQ(c.ask("3", "STORE m v").state, "T");
    EXPECT_EQ(c.ask("c", "COMMIT").error, "");
}

TEST(rate, does_not_count_what_no_server_has_run) {
    workspace_site s(R"([{"name":"acme","api_keys":["key-a1"],"priority":1,"rate_per_s":1,"burst":2}])");
    s.site.run_for(milliseconds{2500});
    s.site.server("s1").refuse_with = "BUSY";
    line_caller c = s.open("strict", "key-a1");
    for (int i = 0; i < 4; ++i) {
        const answer a = c.ask("busy" + std::to_string(i), "STORE k v");
        EXPECT_TRUE(a.error.starts_with("BUSY")) << a.error;
        EXPECT_EQ(a.error.find("3016"), std::string::npos) << a.error;
    }
    s.site.server("s1").refuse_with = "";
    EXPECT_EQ(c.ask("1", "STORE k v").error, "");
}

} // namespace
} // namespace larchpin::testing
