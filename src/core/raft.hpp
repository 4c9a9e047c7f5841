// Raft consensus on one log of commands that the control instances replicate.
//
// A state struct and free functions without a clock, sockets or files: messages, time and random numbers are
// inputs; records to sync, messages to send and entries to apply are outputs.
//
// Usage
//   raft::state s = raft::make_state(self, settings, recovered, now, random);
//   raft::tick(s, now, random);  raft::step(s, message, now, random);  raft::propose(s, command, now);
//   raft::output out = raft::take_output(s);   // sync out.records, then call raft::on_persisted(...),
//                                              // and only then send out.messages
//
// Extensions of basic Raft
//   pre-vote        a node that was partitioned does not depose a working leader when it returns
//   check quorum    a leader without acknowledgements from a majority steps down
//   leader lease    leader_has_lease() is true only while no other leader can exist, so a partitioned leader
//                   grants nothing. The lease is shorter than election_timeout by twice the drift bound.
//   single change   one member is added or removed at a time, after the previous change has committed
//   learners        a new member receives the log, and gets a vote only after it has caught up
//   transfer        a leader steps down in favor of a voter, which starts its election at once; voters grant
//                   it although they have just heard the leader, whose lease has ended with its step down
//
// Index
//   [data]  [functions]
#pragma once

#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace larchpin::raft {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

// Identifies a data folder, not an instance: an instance that lost its disk gets a new id, so it can never
// vote twice in a term. 0 = none.
using node_id = std::uint64_t;

struct member {
    node_id id = 0;
    std::string name;    // instance name; the same for a new data folder
    std::string address; // "ip:port" of the peer listener
    bool voter = false;  // false: learner
    bool operator==(const member&) const = default;
};

struct configuration {
    std::vector<member> members; // sorted by id
    bool operator==(const configuration&) const = default;
};

struct entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string command;                 // opaque; empty for the no-op entry of a new leader
    std::optional<configuration> config; // set for a membership change
    bool operator==(const entry&) const = default;
};

struct snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    configuration config;
    std::string data; // opaque; state after applying the log up to `index`
    bool operator==(const snapshot&) const = default;
};

// State that must survive a restart, besides the log and the snapshot.
struct hard_state {
    std::uint64_t term = 0;
    node_id voted_for = 0;
    bool operator==(const hard_state&) const = default;
};

enum class message_kind : std::uint8_t {
    pre_vote_request = 1,
    pre_vote_reply,
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_request,
    snapshot_reply,
    transfer_request,      // the leader has stepped down in favor of the receiver
    transfer_vote_request, // a vote request by the receiver of a transfer_request
};

struct message {
    message_kind kind = message_kind::append_request;
    node_id from = 0;
    node_id to = 0;
    std::uint64_t term = 0;
    std::uint64_t log_index = 0; // entry before the first one sent; in replies the last one acknowledged
    std::uint64_t log_term = 0;
    std::uint64_t commit = 0;
    std::uint64_t round = 0; // heartbeat round, echoed in the reply; its send time starts the leader's lease
    bool granted = false;    // vote replies: granted; other replies: the log matched
    std::vector<entry> entries;
    std::optional<snapshot> snap;
    bool operator==(const message&) const = default;
};

// One durable record. Recovery applies records in the order of the log file.
struct record {
    std::optional<hard_state> hard;
    std::optional<entry> log_entry; // truncates the log from its index on, then is appended
    std::optional<snapshot> snap;   // discards the log up to its index
    bool operator==(const record&) const = default;
};

enum class refusal_reason : std::uint8_t { leader_active = 1, older_term, older_log, voted_for_another };

// Describes a vote that this node refused, for logging.
struct vote_refusal {
    node_id candidate = 0;
    bool pre_vote = false;
    refusal_reason reason = refusal_reason::leader_active;
    std::uint64_t term = 0; // requested term
    std::uint64_t candidate_log_term = 0;
    std::uint64_t candidate_log_index = 0;
    auto operator<=>(const vote_refusal&) const = default;
};

struct output {
    std::vector<record> records;   // sync in order before sending `messages`
    std::vector<message> messages; // send after the records are synced
    std::vector<entry> committed;  // apply in order
    std::vector<vote_refusal> refusals;
    std::optional<snapshot> restored; // replaces the applied state before `committed`
    std::uint64_t persist_index = 0;  // pass index and term to on_persisted() after syncing
    std::uint64_t persist_term = 0;
};

struct settings {
    duration heartbeat_interval = std::chrono::milliseconds{75};
    duration election_timeout = std::chrono::milliseconds{450}; // randomized up to twice this
    std::size_t batch_entries = 256;                            // maximum entries in one append request
    std::size_t catch_up_entries = 64; // maximum lag at which a learner may get a vote
};

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

// Replication progress of one peer, tracked by the leader.
struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::uint64_t in_flight_base = 0; // index before the oldest entry in flight; peer assumed to hold it
    time_point acked_round_sent_at{}; // send time of the newest acknowledged round
    duration ack_delay{0};            // from sending a round until its acknowledgement; smoothed
    bool acked = false;
    time_point last_send{};
    bool snapshot_in_flight = false;
    time_point resend_at{};     // unacknowledged entries in flight are sent again at this time
    duration resend_backoff{0}; // delay until resend_at; doubles until the peer acknowledges an entry
};

// State recovered from a data folder.
struct recovered_state {
    hard_state hard;
    snapshot snap;
    std::vector<entry> log;
};

struct state {
    node_id self = 0;
    settings config;
    hard_state hard;
    snapshot snap;             // base of the log
    std::deque<entry> log;     // entries after the snapshot
    std::size_t log_bytes = 0; // total size of the commands in `log`
    configuration members;     // newest configuration in the log, committed or not
    std::uint64_t members_index = 0;
    role current_role = role::follower;
    node_id leader = 0;
    std::uint64_t commit = 0;
    std::uint64_t delivered = 0; // last index delivered for applying
    std::uint64_t persisted = 0; // last index synced to the local disk
    time_point election_deadline{};
    time_point last_leader_contact{};
    time_point became_leader_at{};
    std::uint64_t round = 0;
    std::map<std::uint64_t, time_point> round_sent_at; // send times of rounds that may still be acknowledged
    time_point last_heartbeat{};
    std::map<node_id, progress> peers;
    std::map<node_id, bool> votes;
    output out;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

state make_state(node_id self, const settings& config, const recovered_state& recovered, time_point now,
                 std::mt19937_64& random);

// Initializes a new cluster with these voters, which must include `s.self`. Returns false unless the data
// folder is empty. All founders call it with the same list in the same order and so create the same first
// entry; the cluster can start without any one of them.
bool bootstrap(state& s, const configuration& founders, time_point now, std::mt19937_64& random);

// Runs the timers: heartbeats, elections, stepping down. Call at least every heartbeat_interval / 2.
void tick(state& s, time_point now, std::mt19937_64& random);

void step(state& s, const message& m, time_point now, std::mt19937_64& random);

// Appends a command. Returns the index that it has if it commits, or 0 if this node is not the leader.
std::uint64_t propose(state& s, const std::string& command, time_point now);

// Proposes a configuration that adds, changes or removes one member. Returns 0 if this node is not a ready
// leader or an earlier change is not yet committed.
std::uint64_t propose_members(state& s, const configuration& next, time_point now);

// Steps down and asks this voter to become the leader. Returns false, and changes nothing, unless this node
// leads and the voter has acknowledged the whole log.
bool transfer_leadership(state& s, node_id to, time_point now, std::mt19937_64& random);

// Records that the entries up to `index` are synced. Has no effect if the entry at `index` has another term:
// it was replaced meanwhile.
void on_persisted(state& s, std::uint64_t index, std::uint64_t term, time_point now);

// Replaces the log up to the applied `index` by a snapshot that holds `data`.
void compact(state& s, std::uint64_t index, const std::string& data);

output take_output(state& s);

// Returns whether this leader's lease is valid: a majority acknowledged a heartbeat sent less than an
// election timeout (less the drift bound) ago, so no other node can have become leader.
bool leader_has_lease(const state& s, time_point now);

// Returns whether an entry of the leader's own term is committed; from then on the leader knows every
// committed entry.
bool leader_is_ready(const state& s);

// Returns the voters that have not granted this candidate or pre-candidate their vote; empty in other roles.
std::vector<node_id> awaited_voters(const state& s);

const member* find_member(const configuration& c, node_id id);
bool is_voter(const configuration& c, node_id id);
std::uint64_t last_index(const state& s);
std::uint64_t term_at(const state& s, std::uint64_t index); // 0 if unknown

// Returns at most `limit` committed entries after index `from`, or nothing if the log no longer holds them.
std::optional<std::vector<entry>> committed_after(const state& s, std::uint64_t from, std::size_t limit);

} // namespace larchpin::raft
