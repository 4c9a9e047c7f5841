// The model of a loaded group, and what the decisions make of its first pattern.
#include "model/loaded_group.hpp"

#include <gtest/gtest.h>

#include <numeric>

namespace larchpin::model {
namespace {

pattern primary_alone() {
    return read_pattern(LARCHPIN_SOURCE_DIR "/bench/model/patterns/primary-alone.toml");
}

double in_time(const outcome& o, const std::string& kind) {
    const kind_outcome& k = o.kinds.at(kind);
    return static_cast<double>(k.in_time) / k.asked;
}

TEST(load_model, gives_the_same_for_the_same_seed) {
    const pattern p = primary_alone();
    const outcome a = run_model(p, {}, 3);
    const outcome b = run_model(p, {}, 3);
    EXPECT_EQ(a.kinds.at("upload").took, b.kinds.at("upload").took);
    EXPECT_EQ(a.in_time_by_entry, b.in_time_by_entry);
}

TEST(load_model, replicas_are_used_again_within_a_second_of_having_caught_up) {
    const outcome o = run_model(primary_alone(), {}, 1);
    const auto& reads = o.replica_reads_by_second;
    EXPECT_GT(reads.at(1), 40U);
    EXPECT_LT(std::accumulate(reads.begin() + 13, reads.begin() + 16, 0U), 30U) << "9 s behind";
    EXPECT_GT(reads.at(19), 40U) << "what was committed at 9 s is applied at 18 s";
}

TEST(load_model, no_critical_work_is_refused_at_a_primary_that_has_all_it_can_do) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const kind_outcome alarms = run_model(primary_alone(), {}, seed).kinds.at("alarm");
        EXPECT_EQ(alarms.refused, 0U);
        EXPECT_GE(alarms.in_time, alarms.asked * 3 / 4) << "transactions of four statements are late first";
    }
}

// The estimate that allowed a third of the patience refused while a slot was idle.
TEST(load_model, waiting_for_as_long_as_the_answer_can_be_in_time_serves_more) {
    const pattern p = primary_alone();
    const policy third{.name = "third", .a_third_of_patience = true};
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const outcome as_built = run_model(p, {}, seed);
        const outcome with_third = run_model(p, third, seed);
        EXPECT_GT(in_time(as_built, "upload"), in_time(with_third, "upload") + 0.03);
        EXPECT_LT(as_built.servers[0].idle_refusals * 5, with_third.servers[0].idle_refusals);
    }
}

TEST(load_model, a_pattern_that_makes_no_sense_is_refused_with_a_reason) {
    EXPECT_THROW(read_pattern("/nowhere.toml"), std::runtime_error);
}

} // namespace
} // namespace larchpin::model
