// Marks of acknowledged commits: who holds them before a caller is told.
#include "core/acknowledgements.hpp"
#include "core/mark_quorum.hpp"

#include <gtest/gtest.h>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

mark_quorum quorum_of(const std::vector<std::string>& addresses) {
    mark_quorum q;
    set_mark_holders(q, addresses);
    return q;
}

// A mark that one other process held was gone with that process.
TEST(mark_quorum, batch_is_stored_once_a_majority_holds_it) {
    mark_quorum q = quorum_of({"a", "b", "c"});
    q.newest = 1;
    EXPECT_EQ(take_mark_messages(q, {}).size(), 3U);
    record_mark_stored(q, "a");
    EXPECT_EQ(find_stored_batch(q), 0U);
    record_mark_stored(q, "c");
    EXPECT_EQ(find_stored_batch(q), 1U);
    EXPECT_EQ(find_stored_batch(quorum_of({"a", "b"})), 0U);
}

// Two of four are no majority.
TEST(mark_quorum, half_of_the_holders_do_not_suffice) {
    mark_quorum q = quorum_of({"a", "b", "c", "d"});
    q.newest = 1;
    take_mark_messages(q, {});
    record_mark_stored(q, "a");
    record_mark_stored(q, "b");
    EXPECT_EQ(find_stored_batch(q), 0U);
    record_mark_stored(q, "c");
    EXPECT_EQ(find_stored_batch(q), 1U);
}

// Each commit had a message of its own.
TEST(mark_quorum, batches_wait_for_the_message_that_is_on_its_way) {
    mark_quorum q = quorum_of({"a"});
    q.newest = 1;
    EXPECT_EQ(take_mark_messages(q, {}).size(), 1U);
    q.newest = 3;
    EXPECT_TRUE(take_mark_messages(q, {}).empty());
    record_mark_stored(q, "a");
    EXPECT_EQ(find_stored_batch(q), 1U) << "the message held the first batch only";
    EXPECT_EQ(take_mark_messages(q, {}).size(), 1U);
    record_mark_stored(q, "a");
    EXPECT_EQ(find_stored_batch(q), 3U);
}

// A holder that does not answer is asked again after a pause, and does not hold up the others.
TEST(mark_quorum, silent_holder_is_asked_again) {
    mark_quorum q = quorum_of({"a", "b"});
    q.newest = 1;
    take_mark_messages(q, {});
    record_mark_stored(q, "a");
    record_mark_unanswered(q, "b", milliseconds{100});
    EXPECT_TRUE(take_mark_messages(q, milliseconds{100}).empty());
    EXPECT_EQ(take_mark_messages(q, milliseconds{100} + mark_retry_pause).size(), 1U);
}

// A control instance that is replaced by another one takes what it held with it.
TEST(mark_quorum, replaced_holder_holds_nothing) {
    mark_quorum q = quorum_of({"a", "b", "c"});
    q.newest = 1;
    take_mark_messages(q, {});
    record_mark_stored(q, "a");
    record_mark_stored(q, "b");
    set_mark_holders(q, {"a", "c", "d"});
    EXPECT_EQ(find_stored_batch(q), 0U);
}

// A control instance that knows of the fence may have told its marks already.
TEST(held_marks, are_refused_once_the_term_is_fenced_or_over) {
    cluster_state s;
    group_record& g = s.groups[{"g"}];
    g.id = {"g"};
    g.term = 3;
    const auto is_taken = [&](term_number term) {
        acknowledgement_ledger l;
        const acknowledged_mark mark{.group = {"g"}, .term = term, .confirmed = 5, .highest = 7};
        return record_held_marks(l, s, {mark}, {}).empty();
    };
    EXPECT_TRUE(is_taken(3));
    EXPECT_TRUE(is_taken(4)) << "this instance may be behind";
    EXPECT_FALSE(is_taken(2));
    g.phase = group_phase::fencing;
    EXPECT_FALSE(is_taken(3));
    acknowledgement_ledger l;
    const acknowledged_mark broken{.group = {"h"}, .term = 1, .confirmed = 9, .highest = 7};
    EXPECT_FALSE(record_held_marks(l, s, {broken}, {}).empty());
    EXPECT_TRUE(l.groups.empty());
}

} // namespace
} // namespace larchpin
