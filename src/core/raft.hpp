// Consensus on one log of commands between the control instances (Raft's published rules).
//
// A plain struct and free functions: messages, time and random numbers come in, output (records to sync,
// messages to send, entries to apply) goes out. No clock, socket or file in here.
//
// Usage
//   raft::state s = raft::make_state(self, settings, recovered, now, random);
//   raft::tick(s, now, random);  raft::step(s, message, now, random);  raft::propose(s, command, now);
//   raft::output out = raft::take_output(s);   // sync out.records first, then raft::persisted(...),
//                                              // and only then send out.messages
//
// Rules beyond the basic ones, and why
//   pre-vote        an instance that was cut off does not depose a working leader when it comes back
//   check quorum    a leader that hears from no majority steps down by itself
//   leader lease    leader_has_lease() is true only while no other leader can exist; a leader that was cut
//                   off silently hands out nothing. Needs election_timeout longer than lease_window.
//   one change      one member is added or removed at a time, and only after the last change committed
//   learners        a new member gets the log, but has no vote until it has caught up
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

// Names one data folder, not one instance: an instance that lost its disk gets a new one, so it can
// never vote twice in a term. 0 means none.
using node_id = std::uint64_t;

struct member {
    node_id id = 0;
    std::string name;    // instance name; a new data folder keeps it
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
    std::string command;                 // opaque; empty for a leader's first entry
    std::optional<configuration> config; // set for a change of members
    bool operator==(const entry&) const = default;
};

struct snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    configuration config;
    std::string data; // opaque state of the applied log
    bool operator==(const snapshot&) const = default;
};

// What must survive a restart besides log and snapshot.
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
};

struct message {
    message_kind kind = message_kind::append_request;
    node_id from = 0;
    node_id to = 0;
    std::uint64_t term = 0;
    std::uint64_t log_index = 0; // entry before the first sent, or the last one acknowledged
    std::uint64_t log_term = 0;
    std::uint64_t commit = 0;
    std::uint64_t round = 0; // heartbeat round, returned in the reply; dates the leader's lease
    bool granted = false;    // votes: granted; replies: the log matched
    std::vector<entry> entries;
    std::optional<snapshot> snap;
    bool operator==(const message&) const = default;
};

// One durable record. Records are applied in order when the log file is read back.
struct record {
    std::optional<hard_state> hard;
    std::optional<entry> log_entry; // drops any entry with this or a larger index first
    std::optional<snapshot> snap;   // drops the log up to its index
    bool operator==(const record&) const = default;
};

enum class refusal_reason : std::uint8_t { leader_active = 1, older_term, older_log, voted_for_another };

// A vote that this node did not grant, for the log.
struct vote_refusal {
    node_id candidate = 0;
    bool pre_vote = false;
    refusal_reason reason = refusal_reason::leader_active;
    std::uint64_t term = 0; // asked for
    std::uint64_t candidate_log_term = 0;
    std::uint64_t candidate_log_index = 0;
    auto operator<=>(const vote_refusal&) const = default;
};

struct output {
    std::vector<record> records;   // sync these in order before sending messages
    std::vector<message> messages; // to be sent after the records are synced
    std::vector<entry> committed;  // to be applied, in order
    std::vector<vote_refusal> refusals;
    std::optional<snapshot> restored; // replace the applied state by this before `committed`
    std::uint64_t persist_index = 0;  // pass both to persisted() once the records are synced
    std::uint64_t persist_term = 0;
};

struct settings {
    duration heartbeat_interval = std::chrono::milliseconds{75};
    duration election_timeout = std::chrono::milliseconds{450}; // up to twice this, by chance
    std::size_t batch_entries = 256;                            // entries in one append
    std::size_t catch_up_entries = 64; // a learner this close behind may get its vote
};

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

// What the leader knows of one other member.
struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::uint64_t in_flight_base = 0; // index before the oldest entry in flight: what it is thought to hold for certain
    time_point acked_round_sent_at{}; // when the newest acknowledged round was sent
    bool acked = false;
    time_point last_send{};
    bool snapshot_in_flight = false;
    time_point resend_at{};  // entries in flight that are not acknowledged by then are sent again
    duration resend_backoff{0}; // up to resend_at; doubles until something is acknowledged
};

// What a data folder held when it was read back.
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
    std::size_t log_bytes = 0; // of their commands
    configuration members;     // newest one in the log, committed or not
    std::uint64_t members_index = 0;
    role current_role = role::follower;
    node_id leader = 0;
    std::uint64_t commit = 0;
    std::uint64_t delivered = 0; // last index handed out for applying
    std::uint64_t persisted = 0; // last index known to be synced here
    time_point election_deadline{};
    time_point last_leader_contact{};
    time_point became_leader_at{};
    std::uint64_t round = 0;
    std::map<std::uint64_t, time_point> round_sent_at; // rounds that may still be acknowledged
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

// Founds a new cluster with these voters, `s.self` among them. Only for a data folder that holds nothing;
// returns false otherwise. Each of several founders calls it with the same list, in the same order, and all
// start from the same first entry, so none of them is needed for the others to begin.
bool bootstrap(state& s, const configuration& founders, time_point now, std::mt19937_64& random);

// Time passes: heartbeats, elections, stepping down. Call at least every heartbeat_interval / 2.
void tick(state& s, time_point now, std::mt19937_64& random);

void step(state& s, const message& m, time_point now, std::mt19937_64& random);

// Returns the index the command will have if it commits, or 0 where this node does not lead.
std::uint64_t propose(state& s, const std::string& command, time_point now);

// Adds, changes or removes one member. Returns 0 when not leading or when a change is still open.
std::uint64_t propose_members(state& s, const configuration& next, time_point now);

// The records up to this index are synced. The term tells whether the entry has been replaced meanwhile.
void on_persisted(state& s, std::uint64_t index, std::uint64_t term, time_point now);

// Drops the log up to the applied index, replaced by `data`.
void compact(state& s, std::uint64_t index, const std::string& data);

output take_output(state& s);

// True while no other node can have become leader: a majority acknowledged a heartbeat that was sent
// less than an election timeout (less the drift bound) ago.
bool leader_has_lease(const state& s, time_point now);

// True once an entry of the leader's own term is committed: it then knows every committed entry.
bool leader_is_ready(const state& s);

// Voters that this candidate still waits for; nobody where it is no candidate.
std::vector<node_id> awaited_voters(const state& s);

const member* find_member(const configuration& c, node_id id);
bool is_voter(const configuration& c, node_id id);
std::uint64_t last_index(const state& s);
std::uint64_t term_at(const state& s, std::uint64_t index); // 0 where unknown

// Committed entries after `from`, at most `limit`; nothing where the log no longer holds them.
std::optional<std::vector<entry>> committed_after(const state& s, std::uint64_t from, std::size_t limit);

} // namespace larchpin::raft
