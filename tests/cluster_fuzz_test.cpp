// Stateful fuzzing of control, leases, failover, edits and shares: see cluster_model.hpp.
#include "cluster_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <iostream>

namespace larchpin::testing {
namespace {

constexpr int steps = 4000; // about 20 s of the model's time

fault_rates all_faults() {
    return {.loss = 0.05,
            .repeat = 0.02,
            .max_delay_ms = 30,
            .control_crash = 0.0005,
            .control_freeze = 0.0005,
            .lost_disk = 0.0003,
            .daemon_crash = 0.0005,
            .daemon_freeze = 0.0005,
            .server_crash = 0.0005,
            .server_freeze = 0.0005,
            .partition = 0.0005,
            .peer_partition = 0.0005};
}

// Runs the property over seeds that RapidCheck chooses (RC_PARAMS fixes its own seed in CI).
void expect_no_violation(const fault_rates& rates, const char* what) {
    std::uint64_t failovers = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t in_force = 0;
    std::uint64_t left = 0;
    const bool held = rc::check(what, [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        cluster_model model(seed, rates, {});
        const std::string violation = model.run(steps);
        RC_ASSERT(violation == std::string{});
        const std::string not_recovered = model.run_until_healthy();
        RC_ASSERT(not_recovered == std::string{});
        failovers += model.failovers;
        acknowledged += model.acknowledged;
        in_force += model.edits_in_force;
        left += model.leaves_acked;
    });
    EXPECT_TRUE(held);
    EXPECT_GT(acknowledged, 0U);
    EXPECT_GT(in_force, 0U);
    EXPECT_EQ(left > 0, rates.leave > 0);
    std::cout << what << ": " << failovers << " promotions, " << acknowledged << " writes acknowledged, "
              << in_force << " edits in force, " << left << " servers left\n";
}

// Breaks one rule and expects the model to notice within some seeds.
void expect_violation(const fault_rates& rates, const broken_rules& broken) {
    constexpr std::uint64_t max_seeds = 400;
    for (std::uint64_t seed = 1; seed <= max_seeds; ++seed) {
        cluster_model model(seed, rates, broken);
        const std::string violation = model.run(steps);
        if (!violation.empty()) {
            std::cout << "noticed with seed " << seed << ": " << violation << "\n";
            return;
        }
    }
    ADD_FAILURE() << "the broken rule went unnoticed";
}

TEST(cluster_fuzz, holds_without_faults) {
    expect_no_violation({}, "no faults");
}

TEST(cluster_fuzz, holds_under_all_faults) {
    expect_no_violation(all_faults(), "all faults");
}

TEST(cluster_fuzz, holds_when_disks_are_lost_one_after_another) {
    fault_rates rates = all_faults();
    rates.lost_disk = 0.004;
    expect_no_violation(rates, "lost disks");
}

TEST(cluster_fuzz, holds_when_primaries_fail_all_the_time) {
    fault_rates rates = all_faults();
    rates.server_crash = 0.004;
    rates.server_freeze = 0.004;
    rates.daemon_freeze = 0.003;
    expect_no_violation(rates, "failing primaries");
}

TEST(cluster_fuzz, holds_when_control_is_cut_and_frozen) {
    fault_rates rates = all_faults();
    rates.control_freeze = 0.003;
    rates.partition = 0.003;
    rates.peer_partition = 0.003;
    expect_no_violation(rates, "cut control");
}

// More instances than votes: silent voters are replaced, and come back as learners.
TEST(cluster_fuzz, holds_when_instances_stand_by_for_voters) {
    fault_rates rates = all_faults();
    rates.controls = 6;
    rates.tolerated_losses = 2;
    rates.control_freeze = 0.002;
    rates.partition = 0.002;
    rates.peer_partition = 0.002;
    rates.lost_disk = 0.001;
    expect_no_violation(rates, "standing by");
}

// All that the cluster is to bear, and nothing beyond: whatever is lost when, with everybody back it decides
// edits, and keeps them when two disks go and all others lose power right after.
TEST(cluster_fuzz, keeps_edits_over_two_lost_disks_and_a_loss_of_power_after_any_tolerated_losses) {
    fault_rates rates{.controls = 6, .tolerated_losses = 2, .loss = 0, .max_delay_ms = 10};
    rates.tolerated_loss = 0.01;
    EXPECT_TRUE(rc::check("tolerated losses", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        cluster_model model(seed, rates, {});
        const std::string violation = model.run(steps);
        RC_ASSERT(violation == std::string{});
        const std::string not_recovered = model.run_power_loss();
        RC_ASSERT(not_recovered == std::string{});
    }));
}

TEST(cluster_fuzz, holds_when_one_instance_stands_by) {
    fault_rates rates = all_faults();
    rates.controls = 4;
    rates.tolerated_losses = 1;
    rates.partition = 0.003;
    expect_no_violation(rates, "one standing by");
}

// Servers leave, end and start again under their id, while leaders change and announcements are late.
TEST(cluster_fuzz, holds_when_servers_leave_and_start_again) {
    fault_rates rates = all_faults();
    rates.leave = 0.01;
    rates.partition = 0.002;
    expect_no_violation(rates, "servers leave");
}

// The only holder of the newest log was leaving: it was no candidate, and nobody could catch up without it.
TEST(cluster_fuzz, heals_where_the_only_holder_of_the_log_leaves) {
    fault_rates rates = all_faults();
    rates.leave = 0.01;
    rates.partition = 0.002;
    cluster_model model(8914, rates, {});
    EXPECT_EQ(model.run(steps), "");
    EXPECT_EQ(model.run_until_healthy(), "");
}

// Servers leave all the time, and operators switch: no order of our own loses what was acknowledged.
TEST(cluster_fuzz, holds_when_primaries_are_switched_all_the_time) {
    fault_rates rates = all_faults();
    rates.leave = 0.01;
    rates.switchover = 0.01;
    expect_no_violation(rates, "planned switches");
}

//-----------------------------------------------------------------------------
// [seeds] that showed a fault once
//-----------------------------------------------------------------------------

// A renewal that was sent before the daemon had its share arrived after a later one: it held nothing, as it
// seemed, and others got what it held.
TEST(cluster_fuzz, a_renewal_that_was_overtaken_gives_no_share_away) {
    fault_rates rates = all_faults();
    rates.leave = 0.01;
    rates.partition = 0.002;
    cluster_model model(72, rates, {});
    EXPECT_EQ(model.run(300), "");
}

// A daemon had a lease before its record was in the log, and the next leader did not wait for it.
TEST(cluster_fuzz, a_new_leader_waits_for_leases_of_daemons_that_it_never_heard_of) {
    cluster_model model(690, all_faults(), {});
    EXPECT_EQ(model.run(steps), "");
    EXPECT_EQ(model.run_until_healthy(), "");
}

// The founder ended before anything was on its disk, and nobody founded the cluster any more. The model's
// founder starts as a control instance does now.
TEST(cluster_fuzz, founds_the_cluster_when_the_founder_starts_again) {
    cluster_model model(29801, all_faults(), {});
    EXPECT_EQ(model.run(steps), "");
    EXPECT_EQ(model.run_until_healthy(), "");
}

//-----------------------------------------------------------------------------
// [broken rules]
//-----------------------------------------------------------------------------

// The rules, broken one by one: each must be noticed, or the checks above prove nothing.

TEST(cluster_fuzz, notices_leaving_that_was_acknowledged_from_memory) {
    fault_rates rates = all_faults();
    rates.leave = 0.01;
    rates.partition = 0.002;
    expect_violation(rates, {.leaving_acked_from_memory = true});
}

TEST(cluster_fuzz, notices_acknowledgements_without_a_lease) {
    fault_rates rates = all_faults();
    rates.server_freeze = 0.004;
    rates.daemon_freeze = 0.004;
    expect_violation(rates, {.ack_without_lease = true});
}

TEST(cluster_fuzz, notices_grants_that_count_too_early) {
    expect_violation(all_faults(), {.grant_counts_at_once = true});
}

TEST(cluster_fuzz, notices_a_leader_that_acts_without_its_lease) {
    const fault_rates rates{
        .loss = 0, .repeat = 0, .max_delay_ms = 10, .server_crash = 0.01, .peer_partition = 0.004};
    expect_violation(rates, {.leader_without_lease = true});
}

TEST(cluster_fuzz, notices_a_lost_disk_that_votes_again) {
    const fault_rates rates{.loss = 0.1, .control_crash = 0.003, .lost_disk = 0.002, .peer_partition = 0.002};
    expect_violation(rates, {.lost_disk_keeps_identity = true});
}

TEST(cluster_fuzz, notices_shares_that_count_too_early) {
    expect_violation(all_faults(), {.share_before_confirmed = true});
}

} // namespace
} // namespace larchpin::testing
