// Decoders, the log on disk, settings and the table of codes: what strangers, disks and people may hand in.
//
// Index
//   [log]  [messages]  [settings]  [codes]  [workers]  [stories]
#include "ctl/log_story.hpp"
#include "ctl/table_file.hpp"
#include "few_descriptors.hpp"
#include "generated/larchpin.pb.h"
#include "io/auth.hpp"
#include "io/codec.hpp"
#include "io/pg_driver.hpp"
#include "io/pg_frame.hpp"
#include "io/raft_store.hpp"
#include "io/settings.hpp"
#include "io/workers.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace larchpin {
namespace {

namespace leaf = boost::leaf;

std::string read_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

//-----------------------------------------------------------------------------
// [log]
//-----------------------------------------------------------------------------

class log_folder {
public:
    log_folder()
        : path((std::filesystem::temp_directory_path() / ("larchpin-log-" + random_hex(8))).string()) {}
    ~log_folder() { std::filesystem::remove_all(path); }
    log_folder(const log_folder&) = delete;
    log_folder& operator=(const log_folder&) = delete;
    log_folder(log_folder&&) = delete;
    log_folder& operator=(log_folder&&) = delete;
    [[nodiscard]] std::string file() const { return path + "/control.log"; }
    std::string path;
};

raft::record entry_record(std::uint64_t index, std::uint64_t term, const std::string& command) {
    return {.hard = {},
            .log_entry = raft::entry{.index = index, .term = term, .command = command, .config = {}},
            .snap = {}};
}

TEST(log, keeps_identity_entries_and_votes_over_a_restart) {
    const log_folder folder;
    raft::node_id node = 0;
    {
        raft_store store;
        const auto opened = store.open(folder.path);
        ASSERT_TRUE(opened);
        EXPECT_TRUE(opened.value().is_new);
        node = opened.value().node;
        EXPECT_EQ(
            store.append({{.hard = raft::hard_state{.term = 3, .voted_for = 7}, .log_entry = {}, .snap = {}},
                          entry_record(1, 3, "a"),
                          entry_record(2, 3, "b")}),
            result_code::ok);
        EXPECT_EQ(store.append({entry_record(2, 4, "c")}), result_code::ok);
    }
    raft_store again;
    const auto opened = again.open(folder.path);
    ASSERT_TRUE(opened);
    EXPECT_FALSE(opened.value().is_new);
    EXPECT_EQ(opened.value().node, node);
    EXPECT_EQ(opened.value().state.hard, (raft::hard_state{.term = 3, .voted_for = 7}));
    ASSERT_EQ(opened.value().state.log.size(), 2U);
    EXPECT_EQ(opened.value().state.log[1].command, "c");
}

TEST(log, an_end_cut_off_anywhere_loses_only_the_last_record) {
    const log_folder folder;
    {
        raft_store store;
        ASSERT_TRUE(store.open(folder.path));
        store.append({entry_record(1, 1, "first"), entry_record(2, 1, "second")});
    }
    const std::string whole = read_file(folder.file());
    const std::size_t last = encode_record(entry_record(2, 1, "second"), 0).size();
    for (std::size_t cut = 1; cut < last; ++cut) {
        std::ofstream(folder.file(), std::ios::binary | std::ios::trunc)
            << whole.substr(0, whole.size() - cut);
        raft_store store;
        const auto opened = store.open(folder.path);
        ASSERT_TRUE(opened) << cut;
        ASSERT_EQ(opened.value().state.log.size(), 1U) << cut;
        EXPECT_EQ(store.append({entry_record(2, 2, "again")}), result_code::ok);
    }
}

TEST(log, damage_of_what_was_synced_is_refused) {
    const log_folder folder;
    {
        raft_store store;
        ASSERT_TRUE(store.open(folder.path));
        store.append({entry_record(1, 1, "first")});
        store.append({entry_record(2, 1, "second")});
    }
    const std::string whole = read_file(folder.file());
    const std::size_t first_end =
        whole.size() - encode_mark(0).size() - encode_record(entry_record(2, 1, "second"), 0).size();
    for (std::size_t at = 0; at < first_end; ++at) {
        std::string bytes = whole;
        bytes[at] = static_cast<char>(bytes[at] ^ 1);
        std::ofstream(folder.file(), std::ios::binary | std::ios::trunc) << bytes;
        const auto code = leaf::try_handle_all(
            [&]() -> leaf::result<result_code> {
                raft_store store;
                BOOST_LEAF_CHECK(store.open(folder.path));
                return result_code::ok;
            },
            [](result_code c) { return c; }, [] { return result_code::ok; });
        EXPECT_EQ(code, result_code::log_damaged) << at;
    }
}

// Bytes of the file as a loss of power may leave them: those from `synced` on were written and not synced, so
// each block of theirs is there or reads as zeros, and the file ends anywhere among them.
std::string tear(const std::string& whole, std::size_t synced) {
    constexpr std::size_t block_bytes = 512;
    std::string torn = whole;
    for (std::size_t block = synced / block_bytes; block * block_bytes < torn.size(); ++block) {
        const std::size_t begin = std::max(synced, block * block_bytes);
        const std::size_t end = std::min(torn.size(), (block + 1) * block_bytes);
        if (!*rc::gen::arbitrary<bool>()) {
            std::fill(torn.begin() + static_cast<std::ptrdiff_t>(begin),
                      torn.begin() + static_cast<std::ptrdiff_t>(end), '\0');
        }
    }
    torn.resize(*rc::gen::inRange(synced, whole.size() + 1));
    return torn;
}

// An instance refused to start for good after a loss of power that tore its last write, which nobody had been
// answered for.
TEST(log, a_write_torn_by_a_loss_of_power_is_cut_off_and_what_was_synced_is_kept) {
    EXPECT_TRUE(rc::check([] {
        const log_folder folder;
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(0, 3000));
        raft::node_id node = 0;
        std::size_t synced = 0;
        {
            raft_store store;
            const auto opened = store.open(folder.path);
            RC_ASSERT(opened.has_value());
            node = opened.value().node;
            RC_ASSERT(store.append({entry_record(1, 1, std::string(700, 'a')), entry_record(2, 1, "b")}) ==
                      result_code::ok);
            synced = std::filesystem::file_size(folder.file());
            std::vector<raft::record> last{entry_record(3, 1, "c")};
            for (const std::size_t size : sizes) {
                last.push_back(entry_record(last.size() + 3, 1, std::string(size, 'x')));
            }
            RC_ASSERT(store.append(last) == result_code::ok);
        }
        const std::string torn = tear(read_file(folder.file()), synced);
        std::ofstream(folder.file(), std::ios::binary | std::ios::trunc) << torn;
        raft_store again;
        const auto opened = again.open(folder.path);
        RC_ASSERT(opened.has_value());
        RC_ASSERT(opened.value().node == node);
        RC_ASSERT(opened.value().state.log.size() >= 2U);
        RC_ASSERT(opened.value().state.log[1].command == "b");
        const std::size_t kept = opened.value().state.log.size();
        RC_ASSERT(again.append({entry_record(kept + 1, 2, "next")}) == result_code::ok);
        raft_store third;
        const auto reopened = third.open(folder.path);
        RC_ASSERT(reopened.has_value());
        RC_ASSERT(reopened.value().state.log.size() == kept + 1);
        RC_ASSERT(reopened.value().state.log.back().command == "next");
    }));
}

TEST(log, a_snapshot_drops_what_does_not_follow_it) {
    raft::record snap{.hard = {},
                      .log_entry = {},
                      .snap = raft::snapshot{.index = 2, .term = 5, .config = {}, .data = "s"}};
    // Entry 2 of the log is another one than the snapshot's last: what follows it goes too.
    const auto other =
        replay_records({entry_record(1, 1, "a"), entry_record(2, 1, "b"), entry_record(3, 1, "c"), snap});
    EXPECT_TRUE(other.log.empty());
    const auto same =
        replay_records({entry_record(1, 1, "a"), entry_record(2, 5, "b"), entry_record(3, 5, "c"), snap});
    ASSERT_EQ(same.log.size(), 1U);
    EXPECT_EQ(same.log[0].command, "c");
}

TEST(log, survives_a_rewrite_by_a_snapshot) {
    const log_folder folder;
    {
        raft_store store;
        ASSERT_TRUE(store.open(folder.path));
        store.append({{.hard = raft::hard_state{.term = 2, .voted_for = 9}, .log_entry = {}, .snap = {}},
                      entry_record(1, 2, "a"),
                      entry_record(2, 2, "b"),
                      entry_record(3, 2, "c")});
        const raft::record snap{.hard = {},
                                .log_entry = {},
                                .snap = raft::snapshot{.index = 2, .term = 2, .config = {}, .data = "state"}};
        EXPECT_EQ(store.append({snap, entry_record(4, 2, "d")}), result_code::ok);
    }
    raft_store again;
    const auto opened = again.open(folder.path);
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened.value().state.snap.data, "state");
    EXPECT_EQ(opened.value().state.hard.voted_for, 9U);
    EXPECT_EQ(opened.value().state.log.size(), 2U);
}

const raft::record whole_snapshot{.hard = {},
                                  .log_entry = {},
                                  .snap =
                                      raft::snapshot{.index = 1, .term = 1, .config = {}, .data = "state"}};

// An instance came back with a new identity after a loss of power in the middle of a rewrite: the log's old
// name was gone and its new one not there yet.
TEST(log, is_found_under_the_name_that_a_rewrite_gave_it) {
    const log_folder folder;
    raft::node_id node = 0;
    {
        raft_store store;
        const auto opened = store.open(folder.path);
        ASSERT_TRUE(opened.has_value());
        node = opened.value().node;
        ASSERT_EQ(store.append({entry_record(1, 1, "a"), whole_snapshot}), result_code::ok);
    }
    std::filesystem::rename(folder.file(), folder.file() + ".new");
    raft_store again;
    const auto opened = again.open(folder.path);
    ASSERT_TRUE(opened.has_value());
    EXPECT_EQ(opened.value().node, node);
    EXPECT_EQ(opened.value().state.snap.data, "state");
}

// What was appended after a rewrite whose folder could not be synced went into a file without a name, and was
// gone after the next start.
TEST(log, goes_on_in_the_renamed_file_when_its_folder_could_not_be_synced) {
    const log_folder folder;
    {
        raft_store store;
        ASSERT_TRUE(store.open(folder.path).has_value());
        ASSERT_EQ(store.append({entry_record(1, 1, "a")}), result_code::ok);
        {
            const testing::few_descriptors one_more(1); // for the new log, and then not for its folder
            store.append({whole_snapshot});
        }
        EXPECT_EQ(store.append({entry_record(2, 1, "b")}), result_code::ok);
    }
    raft_store again;
    const auto opened = again.open(folder.path);
    ASSERT_TRUE(opened.has_value());
    ASSERT_EQ(opened.value().state.log.size(), 1U);
    EXPECT_EQ(opened.value().state.log[0].command, "b");
}

// An instance whose log could not be read at its start, for want of descriptors, took it for an empty one,
// gave itself a new identity and wrote over it.
TEST(log, that_cannot_be_read_is_not_taken_for_an_empty_one) {
    const log_folder folder;
    {
        raft_store store;
        ASSERT_TRUE(store.open(folder.path).has_value());
        ASSERT_EQ(store.append({entry_record(1, 1, "a")}), result_code::ok);
    }
    {
        const testing::few_descriptors one_more(1); // for appending, and not for reading as well
        raft_store store;
        EXPECT_FALSE(store.open(folder.path).has_value());
    }
    raft_store again;
    const auto opened = again.open(folder.path);
    ASSERT_TRUE(opened.has_value());
    EXPECT_EQ(opened.value().state.log.size(), 1U);
}

// Lets files grow up to this size, like a disk that is full.
class full_disk {
public:
    explicit full_disk(std::uintmax_t bytes) {
        ::getrlimit(RLIMIT_FSIZE, &before_);
        std::signal(SIGXFSZ, SIG_IGN); // the write fails in place of the process
        rlimit full = before_;
        full.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &full);
    }
    ~full_disk() { ::setrlimit(RLIMIT_FSIZE, &before_); }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;
    full_disk(full_disk&&) = delete;
    full_disk& operator=(full_disk&&) = delete;

private:
    rlimit before_{};
};

// A disk that is full for a while: what it refused is not in the file, not even in part, and may be sent
// again.
TEST(log, goes_on_after_a_disk_was_full) {
    const log_folder folder;
    const raft::record first{
        .hard = raft::hard_state{.term = 1, .voted_for = 1}, .log_entry = {}, .snap = {}};
    const raft::record second{
        .hard = raft::hard_state{.term = 2, .voted_for = 1}, .log_entry = {}, .snap = {}};
    {
        raft_store store;
        ASSERT_TRUE(store.open(folder.path).has_value());
        ASSERT_EQ(store.append({first}), result_code::ok);
        {
            const full_disk full(std::filesystem::file_size(folder.file()) + 5);
            EXPECT_EQ(store.append({second}), result_code::data_folder_unusable);
        }
        EXPECT_EQ(store.append({second}), result_code::ok);
    }
    raft_store again;
    const auto found = again.open(folder.path);
    ASSERT_TRUE(found.has_value());
    EXPECT_EQ(found.value().state.hard, (raft::hard_state{.term = 2, .voted_for = 1}));
}

enum class after_failure { again_at_once, restart, fails_twice };

constexpr std::uint64_t last_of_batch = 60; // the batch is longer than what the snapshot replaces

std::vector<raft::record> entries_between(std::uint64_t first, std::uint64_t last) {
    std::vector<raft::record> records;
    for (std::uint64_t index = first; index <= last; ++index) {
        records.push_back(entry_record(index, 1, "entry " + std::to_string(index)));
    }
    return records;
}

// Syncs entries 1 to 14, fails to write a batch of more entries, a snapshot at 10 and the rest once a file
// reaches `bytes`, and returns what is read back. Nothing if the batch was not refused.
std::optional<raft::recovered_state> read_back_after_failure(std::uintmax_t bytes, after_failure then) {
    const log_folder folder;
    std::vector<raft::record> batch = entries_between(15, 16);
    batch.push_back({.hard = {},
                     .log_entry = {},
                     .snap = raft::snapshot{.index = 10, .term = 1, .config = {}, .data = "state"}});
    const auto rest = entries_between(17, last_of_batch);
    batch.insert(batch.end(), rest.begin(), rest.end());
    raft_store store;
    EXPECT_TRUE(store.open(folder.path).has_value());
    EXPECT_EQ(store.append(entries_between(1, 14)), result_code::ok);
    for (int i = 0; i < (then == after_failure::fails_twice ? 2 : 1); ++i) {
        const full_disk full(bytes);
        if (store.append(batch) == result_code::ok) {
            return std::nullopt;
        }
    }
    if (then != after_failure::restart) {
        EXPECT_EQ(store.append(batch), result_code::ok);
    }
    raft_store again;
    const auto found = again.open(folder.path);
    EXPECT_TRUE(found.has_value());
    return found ? std::optional{found.value().state} : std::nullopt;
}

// A disk filled up between the rewrite of the log for a snapshot and the records behind it. The batch was
// tried again, and synced entries behind the snapshot were gone.
TEST(log, keeps_what_was_synced_wherever_a_batch_with_a_snapshot_fails) {
    constexpr std::uintmax_t largest_log = 4096;
    for (const after_failure then :
         {after_failure::again_at_once, after_failure::restart, after_failure::fails_twice}) {
        int failures = 0;
        for (std::uintmax_t bytes = 1; bytes < largest_log; ++bytes) {
            const auto state = read_back_after_failure(bytes, then);
            if (!state) {
                continue;
            }
            ++failures;
            const std::uint64_t last = then == after_failure::restart ? 14 : last_of_batch;
            for (std::uint64_t index = state->snap.index + 1; index <= last; ++index) {
                const bool held = std::any_of(state->log.begin(), state->log.end(),
                                              [index](const raft::entry& e) { return e.index == index; });
                ASSERT_TRUE(held) << "entry " << index << " is gone, disk full at " << bytes << " bytes";
            }
            ASSERT_LE(state->snap.index, 10U);
        }
        EXPECT_GT(failures, 100);
    }
}

TEST(log, any_bytes_are_decoded_without_harm) {
    EXPECT_TRUE(rc::check([](const std::string& bytes) { decode_log(bytes); }));
    const std::string good = encode_record(entry_record(1, 1, "x"), 5);
    EXPECT_TRUE(rc::check([&good](std::uint8_t position, std::uint8_t value) {
        std::string bytes = good;
        bytes[position % bytes.size()] = static_cast<char>(value);
        decode_log(bytes + good);
    }));
}

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

TEST(messages, any_bytes_are_framed_without_harm) {
    EXPECT_TRUE(rc::check([](const std::string& bytes, bool startup) {
        pg_input in;
        in.bytes = bytes;
        in.startup = startup;
        while (const auto m = next_message(in)) {
            parse_startup(m->body);
            parse_parse(m->body);
            parse_bind(m->body);
            parse_target(m->body);
            parse_execute(m->body);
            parse_text(m->body);
        }
        RC_ASSERT(in.offset <= in.bytes.size());
    }));
}

TEST(messages, come_out_as_they_went_in_however_they_are_cut) {
    EXPECT_TRUE(rc::check([](const std::vector<std::string>& bodies) {
        std::string wire;
        for (const std::string& body : bodies) {
            put_message(wire, 'Q', body);
        }
        pg_input in;
        in.startup = false;
        std::vector<std::string> seen;
        for (const char c : wire) {
            in.bytes.push_back(c);
            while (const auto m = next_message(in)) {
                seen.push_back(m->body);
            }
        }
        RC_ASSERT(seen == bodies);
    }));
}

TEST(messages, a_length_out_of_range_ends_the_conversation) {
    pg_input in;
    in.startup = false;
    in.bytes = std::string("Q\x7f\xff\xff\xff", 5);
    EXPECT_FALSE(next_message(in).has_value());
    EXPECT_TRUE(in.broken);
}

TEST(messages, any_bytes_are_no_command_or_a_harmless_one) {
    EXPECT_TRUE(rc::check([](const std::string& bytes) {
        decode_command(bytes);
        decode_state(bytes);
        wire::renewal r;
        if (r.ParseFromString(bytes)) {
            from_wire(r);
        }
        wire::raft_message m;
        if (m.ParseFromString(bytes)) {
            from_wire(m);
        }
    }));
}

TEST(messages, a_probes_row_is_read_strictly) {
    backend_outcome o;
    o.answered = true;
    o.first_value = "f\t7\t4096";
    EXPECT_EQ(parse_probe_row(o), (probe_result{.is_primary = true, .timeline = 7, .position = 4096}));
    EXPECT_TRUE(rc::check([](const std::string& text) {
        backend_outcome any;
        any.answered = true;
        any.first_value = text;
        parse_probe_row(any);
    }));
}

TEST(messages, signatures_bind_path_body_and_reply) {
    const shared_keys keys{.keys = {std::string(40, 'k')}};
    const signed_nonce s = sign_request(keys, "/v1/edit", "body");
    EXPECT_TRUE(check_request(keys, "/v1/edit", "body", s));
    EXPECT_FALSE(check_request(keys, "/v1/drain", "body", s));
    EXPECT_FALSE(check_request(keys, "/v1/edit", "other", s));
    EXPECT_FALSE(check_request({.keys = {std::string(40, 'x')}}, "/v1/edit", "body", s));
    EXPECT_TRUE(check_request({.keys = {std::string(40, 'x'), std::string(40, 'k')}}, "/v1/edit", "body", s))
        << "rotation";
    EXPECT_FALSE(check_reply(keys, "another request", "answer", sign_reply(keys, s.signature, "answer")));
}

//-----------------------------------------------------------------------------
// [settings]
//-----------------------------------------------------------------------------

const std::string good_settings = "[instance]\nid = \"a\"\nfailure_domain = \"d\"\n[peer]\nkey_file = \"k\"\n"
                                  "[control]\naddresses = [\"127.0.0.1:1\"]\n";

std::string problem_of(const std::string& text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parse_settings(text, "f.toml"));
            return std::string("good");
        },
        [](const settings_problem& p) { return to_string(p); }, [] { return std::string("?"); });
}

TEST(settings, every_mistake_is_named_with_its_place_and_code) {
    EXPECT_EQ(problem_of(good_settings), "good");
    EXPECT_EQ(problem_of(good_settings + "[entry]\nmax_client = 5\n"),
              "f.toml:9: entry.max_client: no such key [1002 settings_unknown_key]");
    EXPECT_EQ(problem_of(good_settings + "[entry]\nmax_clients = \"many\"\n"),
              "f.toml:9: entry.max_clients: takes a whole number [1003 settings_wrong_type]");
    EXPECT_EQ(problem_of(good_settings + "[entry]\nmax_clients = 0\n"),
              "f.toml:9: entry.max_clients: takes 1 to 100000 [1004 settings_out_of_range]");
    EXPECT_EQ(problem_of("[instance]\nid = \"a\"\n"),
              "f.toml: instance.failure_domain: names the part of the site that fails together [1005 "
              "settings_missing_key]");
    EXPECT_EQ(problem_of(good_settings + "[entry]\nlisten = \"127.0.0.1:22x\"\n"),
              "f.toml:9: entry.listen: takes \"ip:port\" [1004 settings_out_of_range]");
    EXPECT_EQ(problem_of(good_settings + "[backend]\nslots = 0\n"),
              "f.toml:9: backend.slots: takes 1 to 10000 [1004 settings_out_of_range]");
    EXPECT_EQ(problem_of(good_settings + "[backend]\nslots = 10001\n"),
              "f.toml:9: backend.slots: takes 1 to 10000 [1004 settings_out_of_range]");
    EXPECT_EQ(problem_of(good_settings + "[backend]\norder_statements = 1\n"),
              "f.toml:9: backend.order_statements: takes true or false [1003 settings_wrong_type]");
    EXPECT_EQ(problem_of(good_settings + "[backend]\nslots = 4\norder_statements = true\n"), "good");
    EXPECT_NE(problem_of("[instance\n").find("[1001 settings_unreadable]"), std::string::npos);
    EXPECT_NE(problem_of("x = 1\n").find("[1002"), std::string::npos);
}

settings settings_of(const std::string& text) {
    return boost::leaf::try_handle_all([&] { return parse_settings(text, "f.toml"); },
                                       [] { return settings{}; });
}

// A list that somebody else renders: one bad entry must not keep an instance from control.
TEST(settings, a_bad_control_address_leaves_the_others_in_force) {
    const std::string file = "[instance]\nid = \"a\"\nfailure_domain = \"d\"\n[peer]\nkey_file = \"k\"\n"
                             "[control]\naddresses = [\"127.0.0.1:1\", \"nowhere\", 7, \"127.0.0.1:2\"]\n";
    const settings s = settings_of(file);
    EXPECT_EQ(s.control_addresses, (std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"}));
    ASSERT_EQ(s.ignored_addresses.size(), 2U);
    EXPECT_EQ(s.ignored_addresses[0], "f.toml:7: control.addresses: ignored, takes \"ip:port\": nowhere "
                                      "[1004 settings_out_of_range]");
    const std::string all_bad = file.substr(0, file.find("addresses")) + "addresses = [\"nowhere\"]\n";
    EXPECT_EQ(problem_of(all_bad), "f.toml:7: control.addresses: takes \"ip:port\", and no entry is one "
                                   "[1004 settings_out_of_range]");
}

// Two founders with different lists would begin two different logs.
TEST(settings, a_founder_does_not_start_with_a_part_of_the_list) {
    settings s = settings_of(good_settings);
    const auto may_start = [&s] {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(check_for_start(s, "f.toml"));
                return true;
            },
            [] { return false; });
    };
    s.founds_cluster = true;
    EXPECT_TRUE(may_start());
    s.ignored_addresses = {"a line"};
    EXPECT_FALSE(may_start());
    s.founds_cluster = false;
    EXPECT_TRUE(may_start());
}

// However many there are, and however long.
TEST(settings, what_is_told_of_bad_addresses_is_bounded) {
    std::string list = "\"127.0.0.1:1\"";
    for (int i = 0; i < 100; ++i) {
        list += ", \"" + std::string(1000, 'x') + "\"";
    }
    const settings s =
        settings_of("[instance]\nid = \"a\"\nfailure_domain = \"d\"\n[peer]\nkey_file = \"k\"\n"
                    "[control]\naddresses = [" +
                    list + "]\n");
    EXPECT_EQ(s.control_addresses.size(), 1U);
    ASSERT_LE(s.ignored_addresses.size(), 8U);
    EXPECT_LT(s.ignored_addresses[0].size(), 200U);
}

TEST(settings, any_text_is_read_without_harm) {
    EXPECT_TRUE(rc::check([](const std::string& text) {
        problem_of(text);
        problem_of(good_settings + text);
    }));
}

TEST(settings, a_table_file_comes_back_as_it_was) {
    EXPECT_TRUE(rc::check([](std::uint8_t connections, std::uint8_t weight, bool leaving) {
        table_file t;
        t.revision = 7;
        t.content.transaction_idle_timeout = std::chrono::milliseconds{weight};
        t.content.routes = {
            {.database = "fotos",
             .group = {"catalogo"},
             .service = {"shop"},
             .consistency = static_cast<read_consistency>(weight % 4),
             .max_staleness = weight % 3 == 0
                                  ? std::nullopt
                                  : std::optional<duration>{std::chrono::milliseconds{weight % 3 - 1}},
             .statement_timeout = std::chrono::milliseconds{weight + 1},
             .latency_objective = std::chrono::milliseconds{connections},
             .priority = weight,
             .max_attempts = weight % 10U + 1,
             .is_public = leaving}};
        t.content.requires_key = leaving;
        t.content.workspaces = {{.id = {"acme"}, .priority = weight, .rate = connections, .burst = weight},
                                {.id = {"bell"}}};
        t.content.keys = {{.digest = digest_key("one"), .workspace = {"acme"}},
                          {.digest = digest_key("two"), .workspace = {"acme"}}};
        std::sort(t.content.keys.begin(), t.content.keys.end());
        t.content.services = {{.id = {"shop"}, .max_connections = connections + 1U}};
        t.content.servers = {{.id = {"pg-1"}, .weight = weight, .leaving = leaving}};
        t.content.groups = {{.id = {"catalogo"}, .sync_replicas = weight % 101U}};
        const auto back = parse_table(format_table(t), "t.toml");
        RC_ASSERT(back.has_value());
        RC_ASSERT(back.value() == t);
    }));
}

TEST(settings, a_table_file_takes_keys_and_shows_their_digests_only) {
    const auto t =
        parse_table("needs_key = true\n[workspace.acme]\nrate = 5\nkeys = [\"secret-1\"]\n", "t.toml");
    ASSERT_TRUE(t.has_value());
    ASSERT_NE(find_key(t.value().content, digest_key("secret-1")), nullptr);
    EXPECT_EQ(format_table(t.value()).find("secret"), std::string::npos);
    EXPECT_NE(diff_tables({}, t.value().content).find("rate = 5"), std::string::npos);
    for (const char* bad : {"key_digests = [\"secret-1\"]", "key_digests = [\"zz\"]", "keys = [\"\"]",
                            "keys = \"secret-1\"", "rate = -1", "speed = 1"}) {
        const std::string text = std::string("[workspace.acme]\n") + bad + "\n";
        std::string told;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(parse_table(text, "t.toml"));
                return {};
            },
            [&](const settings_problem& p) { told = to_string(p); }, [&] { told = "?"; });
        EXPECT_NE(told.find("t.toml:2"), std::string::npos) << bad << ": " << told;
        EXPECT_EQ(told.find("secret"), std::string::npos) << told;
    }
}

TEST(codec, carries_workspaces_and_claims_on_their_rates) {
    edit_table edit;
    edit.change_id = "c";
    edit.document = "d";
    edit.next.requires_key = true;
    edit.next.workspaces = {{.id = {"acme"}, .priority = 1, .rate = 2, .burst = 3}};
    edit.next.keys = {{.digest = digest_key("k"), .workspace = {"acme"}}};
    EXPECT_EQ(std::get<edit_table>(decode_command(encode_command(edit)).value()), edit);
    const rate_request request{
        .instance = {"i"},
        .incarnation = 5,
        .seq = 6,
        .claims = {
            {.workspace = {"acme"}, .held = 1, .running = 2, .needed = 3, .wanted = 4, .returned = 5}}};
    wire::rate_request m;
    to_wire(request, m);
    EXPECT_EQ(from_wire(m), request);
    const std::vector<rate_grant> grants{
        {.workspace = {"acme"}, .operations = 7, .retry_after = std::chrono::milliseconds{8}}};
    wire::rate_reply reply;
    to_wire(grants, reply);
    EXPECT_EQ(from_wire(reply), grants);
}

TEST(codec, carries_what_binds_promotions) {
    cluster_state s;
    s.current_table.groups = {{.id = {"g"}, .sync_replicas = 2}};
    group_record& group = s.groups[{"g"}];
    group.id = {"g"};
    group.sync_replicas = 1;
    group.protected_position = 77;
    group.seen_position = 78;
    group.awaits_log = true;
    group.confirmed_position = 79;
    group.acknowledged_position = 80;
    group.promised_since = 80;
    server_record& server = s.servers[{"s1"}];
    server.id = {"s1"};
    server.log_incomplete = true;
    EXPECT_EQ(decode_state(encode_state(s)), s);
    const set_group change{
        .expected_term = 3, .expected_phase = group_phase::fencing, .next = group, .acknowledged_bound = 83};
    EXPECT_EQ(std::get<set_group>(decode_command(encode_command(change)).value()), change);
    renewal r;
    r.acknowledged = {{.group = {"g"}, .term = 3, .confirmed = 79, .highest = 80}};
    r.known_since = 81;
    wire::renewal m;
    to_wire(r, m);
    EXPECT_EQ(from_wire(m), r);
    renewal_reply reply;
    reply.known_since = 82;
    wire::renewal_reply reply_message;
    to_wire(reply, reply_message);
    EXPECT_EQ(from_wire(reply_message), reply);
}

//-----------------------------------------------------------------------------
// [codes]
//-----------------------------------------------------------------------------

TEST(codes, stand_in_the_documents_table_word_for_word) {
    const std::string page = read_file(std::string(LARCHPIN_SOURCE_DIR) + "/docs/ERRORS.md");
    std::size_t rows = 0;
    for (const result_code_entry& e : result_code_table()) {
        std::ostringstream row;
        row << "| " << static_cast<unsigned>(e.code) << " | `" << e.name << "` | " << e.sqlstate << " | "
            << e.meaning << " |";
        EXPECT_NE(page.find(row.str()), std::string::npos) << row.str();
        ++rows;
    }
    std::size_t in_page = 0;
    for (auto at = page.find("| `"); at != std::string::npos; at = page.find("| `", at + 1)) {
        ++in_page;
    }
    EXPECT_EQ(in_page, rows);
}

//-----------------------------------------------------------------------------
// [workers]
//-----------------------------------------------------------------------------

// Cancel requests to servers that are silent block for as long as these are.
TEST(workers, the_log_is_written_while_other_work_is_blocked) {
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::atomic<int> ended{0};
    constexpr int blocked = 16; // more than there are workers
    for (int i = 0; i < blocked; ++i) {
        run_on_worker([released, &ended] {
            released.wait();
            ++ended;
        });
    }
    auto written = std::make_shared<std::promise<void>>();
    std::future<void> done = written->get_future();
    run_on_log_worker([written] { written->set_value(); });
    const bool in_time = done.wait_for(std::chrono::seconds{10}) == std::future_status::ready;
    EXPECT_TRUE(in_time);
    EXPECT_EQ(ended, 0);
    release.set_value();
    while (ended < blocked) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

//-----------------------------------------------------------------------------
// [stories] of one request, from the logs of several processes
//-----------------------------------------------------------------------------

std::string make_log_line(const std::string& time, const std::string& event, const std::string& instance,
                          const std::string& more) {
    return R"({"time":"2026-12-02T10:00:)" + time + R"(Z","level":"info","event":")" + event +
           R"(","instance":")" + instance + R"(","failure_domain":"d")" + more + "}\n";
}

TEST(stories, join_what_several_processes_say_of_a_request) {
    std::istringstream entry(
        make_log_line("05.000", "lease_lost", "e1", "") +
        make_log_line("08.500", "server_unreachable", "e1", R"(,"server":"s1")") +
        make_log_line("08.600", "server_unreachable", "e1", R"(,"server":"other")") +
        make_log_line("09.000", "request_ended", "e1", R"(,"request":"abd","server":"s1")") +
        "a torn line {\"time\n" +
        make_log_line("09.200", "request_ended", "e1",
                      R"(,"request":"abc","group":"g","server":"s1","code":3002)") +
        make_log_line("09.300", "lease_held", "e1", ""));
    std::istringstream lender(
        "16.2 lender " +
        make_log_line("09.100", "loan_refused", "e2", R"(,"request":"abc","server":"s1","code":3006)"));
    std::istringstream control(make_log_line("08.900", "promoting", "c1", R"(,"group":"g","server":"s2")") +
                               make_log_line("08.900", "promoting", "c1", R"(,"group":"h","server":"t")"));
    const auto story = tell_story("abc", {&entry, &lender, &control});
    std::vector<std::string> events;
    for (const story_line& line : story) {
        events.push_back((line.is_own ? "*" : "") + line.text.substr(0, line.text.find("  ")));
    }
    const std::vector<std::string> expected{"server_unreachable at e1", "promoting at c1",
                                            "*loan_refused at e2", "*request_ended at e1"};
    EXPECT_EQ(events, expected);
    EXPECT_NE(story.back().text.find("code=3002"), std::string::npos);
}

TEST(stories, of_unknown_requests_and_any_bytes_are_empty) {
    rc::check([](const std::string& bytes) {
        std::istringstream log(bytes);
        RC_ASSERT(tell_story("abc", {&log}).empty());
    });
}

} // namespace
} // namespace larchpin
