// One control instance without its I/O: consensus, the agreed state, and the leader's decisions, in step.
//
// Everything that happens goes in through one of the functions below, with the time and the source of random
// numbers; what is to be done comes out of take_output(). The caller
//   1. syncs output.log.records, in order, then calls persisted() and sends output.log.messages,
//   2. carries out output.actions,
//   3. tells operators of output.decided.
// A bench can drive many of these in one process.
#pragma once

#include "core/control.hpp"
#include "core/raft.hpp"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace larchpin {

// How commands and snapshots become the log's bytes; the core knows no format.
struct command_codec {
    std::string (*encode)(const command&) = nullptr;
    std::optional<command> (*decode)(const std::string&) = nullptr;
    std::string (*encode_state)(const cluster_state&) = nullptr;
    std::optional<cluster_state> (*decode_state)(const std::string&) = nullptr;
};

struct decided_edit {
    std::string change_id;
    change_outcome outcome;
    auto operator<=>(const decided_edit&) const = default;
};

struct control_output {
    raft::output consensus;        // records and messages; `committed` is used up already
    control_actions actions; // proposals are carried out already
    std::vector<decided_edit> decided_edits;
    bool state_changed = false; // the agreed state has moved on: watchers want it
};

struct control_core {
    command_codec codec;
    raft::state consensus;
    cluster_state cluster;
    control_state control;
    std::deque<raft::entry> recent_entries;      // applied entries that daemons may still ask for
    std::size_t recent_bytes = 0;        // of their commands
    revision_number urgent_revision = 0; // the newest that daemons are to be told at once
    std::size_t snapshot_entries = 4096; // log entries before they are replaced by a snapshot
    std::size_t target_voters = 0; // others stay learners, and replace silent ones; 0: all vote for good
    raft::member self;
    control_output out;
};

// An edit carries the whole table, 18 KB at the size to design for, so bytes are bounded too.
constexpr std::size_t max_recent_entries = 8192;
constexpr std::size_t max_recent_bytes = 4'194'304;
constexpr std::size_t max_log_bytes = 4'194'304;

control_core make_control_core(const command_codec& codec, const raft::member& self,
                               const raft::settings& timing, const control_settings& settings,
                               const raft::recovered_state& recovered, time_point now, std::mt19937_64& random);

void tick(control_core& c, time_point now, std::mt19937_64& random);
void step(control_core& c, const raft::message& m, time_point now, std::mt19937_64& random);
void on_persisted(control_core& c, std::uint64_t index, std::uint64_t term, time_point now);
control_output take_output(control_core& c);

// True where this instance may speak for control at this moment.
bool is_active_leader(const control_core& c, time_point now);

// Nothing where it may not lead.
std::optional<renewal_reply> renew(control_core& c, const renewal& r, time_point now);

// Operations within the workspaces' rate limits. Nothing where it may not lead.
std::optional<std::vector<rate_grant>> grant_operations(control_core& c, const rate_request& r,
                                                       time_point now);

// Proposes an edit, or finds the outcome of an earlier one with the same id. Nothing: it is being decided.
std::optional<change_outcome> propose_edit(control_core& c, const edit_table& edit, time_point now);

result_code switch_over(control_core& c, const group_id& group, const server_id& target, time_point now);
void handle_server_answer(control_core& c, const server_answer& a, time_point now);

// A node that is in no configuration, or was removed from it, wants in as a learner.
result_code join(control_core& c, const raft::member& joining, time_point now);
bool bootstrap(control_core& c, time_point now, std::mt19937_64& random); // alone
bool bootstrap(control_core& c, const raft::configuration& founders, time_point now, std::mt19937_64& random);

// This node is in no configuration that it knows, or has not heard a leader for so long that it may have been
// removed: one that was silent while another took over its vote. It keeps its identity then, and joins again.
bool should_join(const control_core& c, time_point now);

// How many voters it takes to bear so many lost disks at once; 0: not stated, everyone votes.
std::size_t voters_for_tolerated_losses(unsigned losses);

// Enough voters hold what is committed that the losses to be borne cannot take it away. Before that, and
// while one of them is being replaced, no change is acknowledged.
bool has_enough_voters(const control_core& c);

} // namespace larchpin
