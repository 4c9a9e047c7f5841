// Control instances that lost their disks and join again, as processes: whom they reach, whatever control
// instances their settings name.
//
// Index
//   [helpers]  [tests]
#include "site.hpp"

#include "generated/larchpin.pb.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace larchpin::testing {
namespace {

//-----------------------------------------------------------------------------
// [helpers]
//-----------------------------------------------------------------------------

constexpr const char* unused_address = "127.0.0.1:1"; // refuses connections

std::optional<wire::status_reply> find_status(const site& s) {
    const auto body = ask_leader(s.operators(), "/v1/status", "");
    wire::status_reply status;
    if (!body || !status.ParseFromString(*body) || status.code() != 0) {
        return std::nullopt;
    }
    return status;
}

int index_of(const std::string& instance) {
    return std::stoi(instance.substr(1));
}

int find_leader(const site& s) {
    const auto status = find_status(s);
    return status ? index_of(status->leader()) : -1;
}

// Returns the identity of the daemon's last start, from its log, or an empty string.
std::string identity_of(const site& s, int daemon) {
    const std::string log = s.log_of_daemon(daemon);
    const std::string field = R"("node":)";
    const auto start = log.rfind(R"("event":"control_started")");
    const auto at = start == std::string::npos ? start : log.find(field, start);
    if (at == std::string::npos) {
        return "";
    }
    const auto first = at + field.size();
    return log.substr(first, log.find_first_not_of("0123456789", first) - first);
}

bool has_member(const site& s, const std::string& identity) {
    const auto status = find_status(s);
    return status && std::any_of(status->members().begin(), status->members().end(),
                                 [&](const auto& m) { return std::to_string(m.id()) == identity; });
}

bool is_member(const site& s, int daemon) {
    return has_member(s, identity_of(s, daemon));
}

std::size_t count_answering_voters(const site& s) {
    const auto status = find_status(s);
    return !status ? 0
                   : static_cast<std::size_t>(
                         std::count_if(status->members().begin(), status->members().end(),
                                       [](const auto& m) { return m.voter() && !m.silent(); }));
}

bool has_lease(const site& s, int daemon) {
    const auto status = find_status(s);
    return status && std::any_of(status->daemons().begin(), status->daemons().end(),
                                 [&](const auto& d) { return index_of(d.id()) == daemon && d.lease(); });
}

// `seeds` are the control addresses of its settings from then on.
void lose_disk(site& s, int daemon, const std::vector<std::string>& seeds) {
    s.stop_daemon(daemon, SIGKILL);
    s.lose_data(daemon);
    s.set_control_addresses(daemon, seeds);
}

// Returns once the daemon has its new identity.
bool start_empty(site& s, int daemon) {
    const std::string lost = identity_of(s, daemon);
    s.start_daemon(daemon);
    return wait_until([&] { return identity_of(s, daemon) != lost; });
}

// Returns `count` control instances that do not lead.
std::vector<int> find_followers(const site& s, int count) {
    const int leader = find_leader(s);
    std::vector<int> found;
    for (int i = 0; i < s.options().controls && static_cast<int>(found.size()) < count; ++i) {
        if (i != leader) {
            found.push_back(i);
        }
    }
    return found;
}

site_options three_controls() {
    return {.daemons = 4, .controls = 3, .tolerated_losses = 1, .groups = 0};
}

//-----------------------------------------------------------------------------
// [tests]
//-----------------------------------------------------------------------------

// An empty instance whose settings named only followers was never added: it dropped their hint at the leader.
TEST(joining, empty_instance_joins_when_its_settings_name_only_followers) {
    site s(three_controls());
    ASSERT_TRUE(s.start());
    const auto followers = find_followers(s, 2);
    lose_disk(s, followers[0], {s.peer_address(followers[1])});
    ASSERT_TRUE(start_empty(s, followers[0]));
    EXPECT_TRUE(wait_until([&] { return is_member(s, followers[0]) && count_answering_voters(s) == 3; }));
}

// An empty instance whose settings named no instance that answers was never added, though the leader wrote to
// it all the time.
TEST(joining, empty_instance_joins_when_its_settings_name_nobody_that_answers) {
    site s(three_controls());
    ASSERT_TRUE(s.start());
    const auto followers = find_followers(s, 1);
    lose_disk(s, followers[0], {unused_address});
    ASSERT_TRUE(start_empty(s, followers[0]));
    EXPECT_TRUE(wait_until([&] { return is_member(s, followers[0]) && count_answering_voters(s) == 3; }));
}

// The same after the lost identity was removed from the members: no instance writes to the address any more.
// The other instances' settings name it.
TEST(joining, empty_instance_that_only_others_know_joins_after_removal) {
    site s({.daemons = 4, .controls = 4, .tolerated_losses = 1, .groups = 0});
    ASSERT_TRUE(s.start());
    const int victim = find_followers(s, 1)[0];
    for (int i = 0; i < s.options().daemons; ++i) {
        s.set_control_addresses(i, {s.peer_address(victim)});
    }
    lose_disk(s, victim, {unused_address});
    ASSERT_TRUE(wait_until([&] {
        const auto status = find_status(s);
        return status && status->members_size() == 3 && count_answering_voters(s) == 3;
    }));
    ASSERT_TRUE(start_empty(s, victim));
    EXPECT_TRUE(wait_until([&] { return is_member(s, victim); }));
}

// Entries that started after all control instances of their settings had lost their disks never found the
// leader.
TEST(joining, entry_finds_control_when_all_instances_of_its_settings_lost_their_disks) {
    site s({.daemons = 6, .controls = 5, .tolerated_losses = 2, .groups = 0});
    ASSERT_TRUE(s.start());
    const auto followers = find_followers(s, 2);
    const std::vector<std::string> seeds{s.peer_address(followers[0]), s.peer_address(followers[1])};
    const int entry = 5;
    s.stop_daemon(entry, SIGKILL);
    s.set_control_addresses(entry, seeds);
    for (const int i : followers) {
        lose_disk(s, i, seeds);
    }
    for (const int i : followers) {
        ASSERT_TRUE(start_empty(s, i));
    }
    ASSERT_TRUE(wait_until([&] { return !has_lease(s, entry); }));
    s.start_daemon(entry);
    EXPECT_TRUE(wait_until([&] { return has_lease(s, entry); }));
    EXPECT_TRUE(wait_until([&] { return count_answering_voters(s) == 5; }));
}

// An entry that started with control addresses of which none answers did not use those of changed settings.
TEST(joining, entry_without_a_lease_follows_changed_settings) {
    site s(three_controls());
    ASSERT_TRUE(s.start());
    const int entry = 3;
    ASSERT_TRUE(wait_until([&] { return has_lease(s, entry); }));
    s.stop_daemon(entry, SIGKILL);
    s.set_control_addresses(entry, {unused_address});
    ASSERT_TRUE(wait_until([&] { return !has_lease(s, entry); }));
    s.start_daemon(entry);
    ASSERT_TRUE(wait_until([&] {
        return s.log_of_daemon(entry).rfind("daemon_started") > s.log_of_daemon(entry).rfind("lease_held");
    }));
    s.set_control_addresses(entry, {s.peer_address(0), s.peer_address(1), s.peer_address(2)});
    EXPECT_TRUE(wait_until([&] { return has_lease(s, entry); }));
}

// Instances lost their disks one after another, each tolerated, and control had no majority after two more:
// those before had never been added again.
TEST(joining, majority_survives_lost_disks_one_after_another) {
    site s({.daemons = 6, .controls = 6, .tolerated_losses = 2, .groups = 0});
    ASSERT_TRUE(s.start());
    // The lost identity counts as an answering voter for a moment.
    const auto all_back = [&](int daemon, const std::string& lost) {
        return wait_until(
            [&] { return is_member(s, daemon) && !has_member(s, lost) && count_answering_voters(s) == 5; });
    };
    for (int round = 0; round < 3; ++round) {
        const auto followers = find_followers(s, 5);
        const int lost = followers[static_cast<std::size_t>(round)];
        const std::string lost_identity = identity_of(s, lost);
        lose_disk(s, lost, {s.peer_address(followers[3]), s.peer_address(followers[4])});
        ASSERT_TRUE(start_empty(s, lost));
        ASSERT_TRUE(all_back(lost, lost_identity)) << "loss " << round;
    }
    const auto followers = find_followers(s, 2);
    const std::vector<std::string> seeds{s.peer_address(followers[0]), s.peer_address(followers[1])};
    for (int i = 0; i < s.options().daemons; ++i) {
        s.stop_daemon(i, SIGKILL);
        s.set_control_addresses(i, seeds);
    }
    for (const int i : followers) {
        s.lose_data(i);
    }
    for (int i = 0; i < s.options().daemons; ++i) {
        s.start_daemon(i);
    }
    EXPECT_TRUE(wait_until([&] { return count_answering_voters(s) == 5; }));
}

} // namespace
} // namespace larchpin::testing
