// Decisions of the leading control instance: leases, connection shares, failovers, and when a change is in
// force. This state is volatile. A new leader starts without it and first waits until every lease of its
// predecessors has expired (knows_all_leases()); state that must survive goes through the log as a command.
//
// Failover of a group
//   idle -> fencing   a majority of the server's observers report the primary dead:
//                     command set_group(fencing)
//   -> revoking       committed; wait until every daemon has confirmed it or its lease has expired
//   -> probing        query every replica for its position; wait for all answers, or probe_timeout
//   -> promoting      promote the replica with the highest position; on failure go back to probing. Where
//                     replicas confirm commits, only once the answers include every acknowledged commit
//                     (commit_safety.hpp); writes are refused meanwhile
//   -> idle           command set_group(serving, term + 1), committed
// A new leader that finds a group in phase fencing resumes at `revoking`.
//
// Planned switchover, requested by an operator or by a leaving primary: loses no acknowledged write
//   idle -> catching_up    writes continue until a successor holds what the primary held at the start.
//                          This bounds the time that fenced writes wait to about the time of catching up,
//                          and sets no fence without a successor.
//   -> fencing .. probing  as above; positions are queried until a successor holds all of the fenced
//                          primary's log
//   -> promoting           that successor; or the old primary again, if no successor catches up within
//                          the bound
// A primary that dies during a switchover turns it into a failover.
//
// Index
//   [messages]  [actions]  [state]  [functions]
#pragma once

#include "core/acknowledgements.hpp"
#include "core/cluster_state.hpp"
#include "core/lost_instances.hpp"
#include "core/rate_limits.hpp"
#include "core/rendezvous.hpp"
#include "core/share_ledger.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [messages] between daemons and control
//-----------------------------------------------------------------------------

// The last result of an observer's probe of a backend server.
struct server_observation {
    server_id server;
    bool alive = false;              // answered within the detection time
    bool connection_refused = false; // no process listens on the address
    bool is_primary = false;
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const server_observation&) const = default;
};

// An announcement that a backend server sent to a daemon.
struct server_announcement {
    server_record record; // without `leaving` and `start_number`, which control decides
    bool is_primary = false;
    std::uint64_t timeline = 0; // 0 = unknown
    log_position position = 0;
    bool leaving = false;       // still serves for a few seconds
    bool stopped = false;       // no longer serves; its record may be removed
    std::uint64_t sequence = 0; // increases with each announcement of a server
    auto operator<=>(const server_announcement&) const = default;
};

struct renewal {
    instance_record instance;
    std::uint64_t incarnation = 0;        // differs after every restart
    revision_number applied_revision = 0; // revision up to which the daemon has applied commands
    std::uint64_t last_reply_seq = 0;     // newest reply that the daemon has acted upon
    bool stopping = false;                // returns its lease and shares
    std::vector<server_observation> observations;
    std::vector<server_announcement> announcements;
    std::vector<share_claim> claims;
    std::vector<acknowledged_mark> acknowledged; // that the leader has not acknowledged yet
    revision_number known_since = 0;             // of the first reply that told it; 0 = not told yet
    std::uint64_t lost_version = 0;              // version of the daemon's set of lost instances
    bool operator==(const renewal&) const = default;
};

struct renewal_reply {
    result_code code = result_code::ok;
    duration lease{0};            // 0 = not granted
    revision_number revision = 0; // the lease is valid once this revision is applied
    std::uint64_t seq = 0;
    std::vector<share_grant> shares;
    std::vector<server_id> servers_to_observe;  // probed by this daemon
    std::vector<std::string> control_addresses; // peer listeners of the control instances
    std::optional<lost_instances_update> lost;  // unset if the daemon's version is current
    // The instance's marks are known from this revision on: nothing that it acknowledged in a term that began
    // later is missing. Told until the daemon repeats it; else 0.
    revision_number known_since = 0;
    duration renew_after{0}; // between sending two renewals; 0 = unspecified
    bool operator==(const renewal_reply&) const = default;
};

//-----------------------------------------------------------------------------
// [actions] requested from the I/O layer
//-----------------------------------------------------------------------------

struct propose_command {
    command proposed;
};

// Queries a server's role, timeline and position; the result goes to on_server_answer().
struct probe_server {
    std::uint64_t operation = 0;
    server_record server;
    std::vector<std::string> relays; // peer listeners of instances to ask if the server does not answer
};

// Promotes a replica if it is still on this timeline, then queries it like probe_server.
struct promote_server {
    std::uint64_t operation = 0;
    server_record server;
    std::uint64_t timeline = 0;
    std::uint64_t token = 0;         // fencing token, higher than that of every earlier attempt of any leader
    std::vector<std::string> relays; // for the query
};

// An event for the operator's log.
struct report_event {
    std::string event;
    group_id group;
    server_id server;
    duration since_suspected{0}; // since the failover began; 0 = no failover
    bool planned = false;        // part of a planned switchover
    instance_id instance{};      // that the event is about; may be empty
    log_position position = 0;   // that the event is about; 0 = none
    // Bounds of the acknowledged commits, for a decision on a log; 0 = none.
    log_position acknowledged_from = 0;
    log_position acknowledged_to = 0;
};

using control_action = std::variant<propose_command, probe_server, promote_server, report_event>;
using control_actions = std::vector<control_action>;

struct server_answer {
    std::uint64_t operation = 0;
    server_id server;
    bool answered = false;
    bool is_primary = false;
    std::uint64_t timeline = 0;
    log_position position = 0;
    bool outcome_unknown = false; // a promotion got no answer and may still be executed
    auto operator<=>(const server_answer&) const = default;
};

//-----------------------------------------------------------------------------
// [state]
//-----------------------------------------------------------------------------

struct control_settings {
    duration lease = std::chrono::milliseconds{1000};
    duration probe_timeout = std::chrono::milliseconds{300};      // for the replicas' positions
    duration promotion_timeout = std::chrono::milliseconds{2000}; // for one promotion
    duration retry_delay = std::chrono::milliseconds{200}; // before the next query if no replica answers
    // Time for a successor to catch up while writes are fenced. A second or two is within what clients wait
    // for a failover. An operator's switchover is also abandoned after this time before the fence.
    duration switchover_timeout = std::chrono::milliseconds{3000};
    // Minimum interval between position queries of a planned switchover: a typical replication lag.
    duration catch_up_interval = std::chrono::milliseconds{50};
    // Between two failovers of a group without progress, from the third in a row; doubled each time.
    duration fruitless_failover_pause = std::chrono::milliseconds{250};
    duration max_fruitless_failover_pause = std::chrono::seconds{4};
    duration max_observation_age = std::chrono::milliseconds{1000}; // older observations are ignored
    duration max_announcement_age = std::chrono::milliseconds{3000};
    // Minimum interval between two attempts to move a group off a leaving primary.
    duration switchover_retry_interval = std::chrono::milliseconds{1000};
    // Time that a daemon keeps its connections after its lease has expired, for reads at known positions.
    // 1.2 s is most of the smallest staleness bound of any route (1.5 s).
    duration share_grace = std::chrono::milliseconds{1200};
    // Servers that neither answer nor announce themselves for this long are removed.
    duration lost_server_timeout = std::chrono::seconds{12};
    unsigned kept_connections = 0; // of a service's limit per server, reserved for probes
    // Ends each failover with a promotion call, even for the current primary. An authority that fences by
    // token may execute a call late if its answer was lost; the new call's higher token prevents that.
    bool always_promote = false;
    rate_bounds rates;
};

struct granted_lease {
    revision_number revision = 0; // control's revision at the grant
    time_point expires_at{};
    auto operator<=>(const granted_lease&) const = default;
};

struct sent_shares {
    std::uint64_t seq = 0;
    std::map<share_key, unsigned> shares;
};

// A mark that a daemon has told, and when it arrived last.
struct told_mark {
    acknowledged_mark mark;
    time_point at{};
    bool is_plausible = true; // not beyond the primary's log
};

// The term of a group, and when this leader applied it; at or soon after the leader's start for a term that
// is older.
struct observed_term {
    term_number term = 0;
    time_point at{};
};

struct daemon_state {
    std::uint64_t incarnation = 0;
    holder_number holder = 0; // index in the share ledger
    failure_domain domain;
    revision_number confirmed_revision = 0;
    std::deque<granted_lease> leases; // one per revision, the longest
    std::uint64_t last_reply_seq = 0; // newest reply acknowledged by a renewal
    time_point last_renewal_at{};
    std::map<server_id, server_observation> observations;
    std::uint64_t reply_count = 0;               // sent by this leader
    std::deque<sent_shares> unconfirmed_replies; // replies that the daemon may still act upon
    std::map<share_key, share_claim> claims;
    std::map<group_id, told_mark> acknowledged; // of this incarnation
    revision_number marks_revision = 0;         // `acknowledged` is whole as of this applied revision
    revision_number known_since = 0;            // see renewal_reply; 0 = unknown
    bool stopped = false;                       // has returned its lease, and told all marks
    std::set<share_key> share_keys;             // shares of which the daemon holds or wants a part
};

enum class failover_step : std::uint8_t { catching_up, fencing, revoking, probing, promoting, publishing };

struct failover {
    failover_step step = failover_step::fencing;
    time_point started_at{};
    time_point step_started_at{};
    revision_number fence_revision = 0; // must be confirmed by every daemon
    std::set<std::uint64_t> pending_operations;
    std::map<server_id, server_answer> answers;
    std::set<server_id> failed_candidates; // candidates that did not confirm a promotion
    std::optional<server_id> candidate;
    std::uint64_t promotion_timeline = 0;      // timeline on which the candidate was seen
    std::optional<server_id> requested_target; // of an operator's switchover
    bool planned = false; // loses no acknowledged write; may choose the old primary again
    // Position that a successor must reach before the fence: the primary's first answer in
    // `catching_up`.
    std::optional<log_position> catch_up_position;
    time_point fence_proposed_at{};           // start of the time that writes are fenced
    log_position position_before_restart = 0; // highest seen; 0 = the primary has not restarted
    log_position candidate_position = 0;      // at which the candidate was selected
    std::set<server_id> awaited;              // servers reported as missing, see commit_safety.hpp
    bool accepts_loss = false;                // an operator gives up acknowledged commits
};

struct received_announcement {
    server_announcement announcement;
    time_point received_at{};
};

// Tracks announcements that appear outdated, until they prove to belong to a new start (see
// announcements.hpp).
struct unverified_start {
    std::uint64_t start_time_ms = 0;
    std::uint64_t sequence = 0;
    time_point first_received_at{};
    time_point last_received_at{};
};

// Position at which a log holds what a server that has ended or started again may have confirmed before.
struct catch_up_goal {
    std::uint64_t start_number = 0;
    term_number term = 0;
    time_point since{};           // when the end or the start was noticed
    std::optional<log_mark> mark; // of the primary, sampled later
};

// A primary that is queried for its timeline, to create its group.
struct group_creation {
    server_announcement announcement;
    time_point queried_at{};
};

// Failovers of a group, one after the other, of which each began before the log of its term had grown.
struct failover_pace {
    unsigned fruitless = 0;
    time_point not_before{}; // of the next one
};

struct control_state {
    control_settings config;
    bool leading = false;
    time_point leading_since{};
    std::uint64_t leader_term = 0; // of the control log; orders the replies of different leaders
    std::map<instance_id, daemon_state> daemons;
    std::map<group_id, failover> failovers;
    std::map<server_id, received_announcement> latest_announcements;
    std::vector<observer_candidate> observer_candidates; // candidates from which `observers` was computed
    std::map<server_id, std::vector<instance_id>> observers;
    std::map<instance_id, std::vector<server_id>> servers_by_observer; // inverse of `observers`
    share_ledger shares;
    rate_ledger rates;
    lost_instances_tracker lost;
    std::set<instance_id> proposed_instances; // proposed, not applied yet
    std::map<server_id, server_record> proposed_servers;
    std::set<group_id> proposed_groups;
    std::set<server_id> proposed_removals;
    time_point lost_servers_checked_at{};                    // last run of remove_lost_servers()
    std::map<server_id, std::uint64_t> stopped_starts;       // start time of the stopped process, by server
    std::map<server_id, unverified_start> unverified_starts; // by server
    // The next five are kept only for groups whose replicas confirm commits (commit_safety.hpp).
    std::map<group_id, acknowledged_mark> past_marks;     // of incarnations of daemons that have ended
    std::map<group_id, acknowledged_mark> proposed_marks; // proposed for the group's record
    std::map<group_id, observed_term> observed_terms;
    std::map<server_id, log_mark> highest_marks; // highest position observed of the known start
    std::map<server_id, catch_up_goal> catch_up_goals;
    std::map<group_id, term_number> seen_position_terms; // term for which seen_position was proposed
    time_point positions_recorded_at{};                  // last run of record_positions()
    std::uint64_t start_number_count = 0;                // start numbers assigned by this leader
    std::map<std::string, server_id> address_holders;    // latest server to announce itself, by "host:port"
    std::set<server_id> replaced_servers;                // another server has announced their address
    std::map<std::uint64_t, group_creation> pending_group_creations; // by operation
    std::map<group_id, failover_pace> failover_paces;
    std::map<group_id, time_point> last_switchover_at; // last attempt to move off a leaving primary
    std::set<group_id> groups_without_successor;       // groups whose leaving primary has no successor
    std::vector<std::string> control_addresses;        // sent to daemons; set by the control core
    // A lease is valid once this revision is applied; 0 = the newest. Set by the control core.
    revision_number lease_revision = 0;
    std::uint64_t next_operation = 1;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Returns a number that increases with `count` and with the leader's term. It numbers promotions and the
// replies to a daemon: a daemon that acknowledges a reply has acted upon no later one of any leader.
std::uint64_t make_monotonic_number(const control_state& c, std::uint64_t count);

// Returns the term of the leader that made this number.
std::uint64_t leader_term_of(std::uint64_t number);

// Called when this instance has won an election and has applied every committed command, or when it has lost
// leadership.
void start_leading(control_state& c, std::uint64_t leader_term, time_point now);
void stop_leading(control_state& c);

// Returns true if every lease granted by an earlier leader has expired or its holder has renewed with this
// leader. Holdings and confirmations are known then (see is_in_force()).
bool knows_all_leases(const control_state& c, const cluster_state& s, time_point now);

// Handles a daemon's lease renewal. Call only while raft::leader_has_lease().
renewal_reply on_renewal(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                         control_actions& actions);

// Grants operations within the workspaces' rates. Call only while raft::leader_has_lease().
std::vector<rate_grant> on_rate_request(control_state& c, const cluster_state& s, const rate_request& r,
                                        time_point now);

// Handlers for an applied command, a timer tick and a server's answer.
void on_applied(control_state& c, const cluster_state& s, time_point now, control_actions& actions);
void on_tick(control_state& c, const cluster_state& s, time_point now, control_actions& actions);
void on_server_answer(control_state& c, const cluster_state& s, const server_answer& a, time_point now,
                      control_actions& actions);

// Starts a planned switchover for an operator. An empty `target` permits any successor.
result_code start_switchover(control_state& c, const cluster_state& s, const group_id& group,
                             const server_id& target, time_point now, control_actions& actions);

// Ends the wait of a failover for acknowledged commits, for an operator who gives them up: the longest log
// that answers, or `target` among equals, is promoted. Refused unless the failover waits.
result_code accept_loss(control_state& c, const cluster_state& s, const group_id& group,
                        const server_id& target, time_point now, control_actions& actions);

// Returns true if no daemon can act on a revision older than this one.
bool is_in_force(const control_state& c, const cluster_state& s, revision_number revision, time_point now);

// Returns the daemons that may still act on an older revision, for operators to see.
std::vector<instance_id> unconfirmed_daemons(const control_state& c, const cluster_state& s,
                                             revision_number revision, time_point now);

bool has_live_lease(const daemon_state& d, time_point now);

// Returns the maximum number of connections that a daemon may hold for this key, as far as the leader knows.
unsigned held_share(const daemon_state& d, const share_key& key);

} // namespace larchpin
