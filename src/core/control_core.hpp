// One control instance without I/O: consensus, the replicated cluster state and the leader's decisions, kept
// in step.
//
// Events enter through the functions below, with the time and the random number generator; take_output()
// returns the resulting work. The caller
//   1. syncs output.consensus.records in order, calls on_persisted() and sends output.consensus.messages,
//   2. carries out output.actions,
//   3. reports output.decided_edits to operators.
// A bench can run many instances in one process.
#pragma once

#include "core/control.hpp"
#include "core/join_search.hpp"
#include "core/raft.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace larchpin {

// Serialization of commands and snapshots for the log; the core does not depend on a format.
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
    raft::output consensus;  // records and messages; `committed` is already applied
    control_actions actions; // without proposals, which are already in the log
    std::vector<decided_edit> decided_edits;
    bool state_changed = false; // the cluster state changed; watchers must be notified
};

struct control_core {
    command_codec codec;
    raft::state consensus;
    cluster_state cluster;
    control_state control;
    std::deque<raft::entry> recent_entries; // applied entries that daemons may still request
    std::size_t recent_bytes = 0;           // total size of the commands in recent_entries
    revision_number urgent_revision = 0;    // newest revision that daemons must be notified of at once
    std::size_t snapshot_entries = 4096;    // log length at which a snapshot replaces it
    // Other members stay learners and replace silent voters; 0 = all keep a vote.
    std::size_t target_voters = 0;
    raft::member self;
    join_search joining;
    std::map<raft::node_id, std::string> sender_addresses; // of nodes that are no members here
    duration loop_delay{0};                                // smoothed, see record_loop_delay()
    time_point loop_late_since{};                          // 0 = the event loop is on time
    control_output out;
};

// An edit carries the whole table, 18 KB at the design size, so the bytes are limited as well as the entries.
constexpr std::size_t max_recent_entries = 8192;
constexpr std::size_t max_recent_bytes = 4'194'304;
constexpr std::size_t max_log_bytes = 4'194'304;

control_core make_control_core(const command_codec& codec, const raft::member& self,
                               const raft::settings& timing, const control_settings& settings,
                               const raft::recovered_state& recovered, time_point now,
                               std::mt19937_64& random);

void tick(control_core& c, time_point now, std::mt19937_64& random);
void step(control_core& c, const raft::message& m, time_point now, std::mt19937_64& random);

// Records the address that a message came from. Call before step(). A leader that writes to an earlier
// identity of this instance can then be asked to add it, and a node that is no member here yet can be
// answered.
void record_sender(control_core& c, const raft::message& m, const std::string& address);

// Returns the address to send messages for this node to, or an empty string.
std::string find_address(const control_core& c, raft::node_id id);

// Returns the peer address of control's leader as far as this instance knows, or an empty string.
std::string leader_address(const control_core& c);
void on_persisted(control_core& c, std::uint64_t index, std::uint64_t term, time_point now);
control_output take_output(control_core& c);

// Records how late the caller's event loop ran a tick; 0 if in time. A leader whose loop is late for longer
// than its instances can wait hands over to another voter, see tick().
void record_loop_delay(control_core& c, duration delay, time_point now);

// Steps down in favor of the voter that has the whole log and acknowledges soonest. Returns false if there is
// none, or this instance does not lead.
bool hand_over_leadership(control_core& c, time_point now, std::mt19937_64& random);

// Returns whether this instance leads control and holds the leader lease.
bool is_active_leader(const control_core& c, time_point now);

// Answers a renewal. Returns nothing if this instance is not the active leader.
std::optional<renewal_reply> renew(control_core& c, const renewal& r, time_point now);

// Grants operations within the rate limits of the workspaces. Returns nothing if this instance is not the
// active leader.
std::optional<std::vector<rate_grant>> grant_operations(control_core& c, const rate_request& r,
                                                        time_point now);

// Proposes an edit, or returns the outcome of an earlier one with the same id. Returns nothing while the edit
// is undecided.
std::optional<change_outcome> propose_edit(control_core& c, const edit_table& edit, time_point now);

// Starts a planned switchover; with `accepts_loss`, ends a failover's wait instead (see accept_loss()).
result_code switch_over(control_core& c, const group_id& group, const server_id& target, bool accepts_loss,
                        time_point now);
void handle_server_answer(control_core& c, const server_answer& a, time_point now);

// Adds a node that is in no configuration, or was removed from it, as a learner.
result_code join(control_core& c, const raft::member& joining, time_point now);
bool bootstrap(control_core& c, time_point now, std::mt19937_64& random); // as the only voter
bool bootstrap(control_core& c, const raft::configuration& founders, time_point now, std::mt19937_64& random);

// Returns whether this node should ask to join: it is in no configuration that it knows; a leader that does
// not count it as a member has written to it; or it has had no contact with a leader for so long that it may
// have been removed, as a silent voter that was replaced. A removed node keeps its identity when it joins
// again.
bool should_join(const control_core& c, time_point now);

// Returns the control instance to ask now, if this node should join; see join_search.hpp. `configured`: the
// control addresses of the settings.
std::optional<std::string> choose_join_address(control_core& c, const std::vector<std::string>& configured,
                                               time_point now);

// Returns the control instances that are no members, for the leader to write to: the configured ones, since
// one that lost its disk after its earlier identity was removed gets no messages otherwise, and removed
// voters that ask for votes. Empty unless this instance leads.
std::vector<std::string> find_unknown_controls(const control_core& c,
                                               const std::vector<std::string>& configured, time_point now);

// Returns the number of voters needed to survive this many simultaneous disk losses; 0 = not specified, all
// members vote.
std::size_t voters_for_tolerated_losses(unsigned losses);

// Returns whether there are enough voters for committed entries to survive the tolerated losses. Before that,
// no change is accepted.
bool has_enough_voters(const control_core& c);

// Returns whether a change that is committed now survives the tolerated losses: a majority of enough voters
// holds it. While a lost voter is being replaced, changes that are committed already wait for that.
bool can_acknowledge_changes(const control_core& c);

// Returns how many more voters may be lost with a majority left, counting silent voters as lost. Meaningful
// on the leader only.
std::size_t count_tolerated_losses(const control_core& c, time_point now);

} // namespace larchpin
