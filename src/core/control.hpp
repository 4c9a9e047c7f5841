// What the leading control instance decides: leases, connection shares, failovers, and when a change is in
// force. All of this is soft state. A new leader starts with none of it and first waits until every lease
// of its predecessor has run out (settled()); what must survive goes through the log as a command.
//
// Failover, per group
//   idle -> fencing   a majority of the server's observers call the primary dead: command set_group(fencing)
//   -> revoking       committed; wait until every daemon has confirmed it or its lease has run out
//   -> probing        ask every replica for its position; wait for all, or probe_timeout
//   -> promoting      promote the one with the highest position; on failure go back to probing
//   -> idle           command set_group(serving, term + 1), committed
// A new leader that finds a group in phase fencing goes on from `revoking`.
//
// Planned switch, for an operator or because the primary leaves: an acknowledged write is never lost by it
//   idle -> approaching  writes go on until a successor holds what the primary held at the start: so fenced
//                        writes wait about as long as this took, and no fence is set in vain
//   -> fencing .. probing as above, asked again until a successor holds all that the fenced primary holds
//   -> promoting         that one; or the old primary again, where nobody caught up within the bound
// A primary that dies meanwhile is a failover.
//
// Index
//   [messages]  [actions]  [state]  [functions]
#pragma once

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
// [messages] from a daemon, and back
//-----------------------------------------------------------------------------

// What an observer last saw of a backend server.
struct server_observation {
    server_id server;
    bool alive = false;   // answered within the detection time
    bool connection_refused = false; // the connection was refused: no process is there
    bool is_primary = false;
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const server_observation&) const = default;
};

// A backend server that announced itself to a daemon.
struct server_announcement {
    server_record record; // but for `leaving` and `start_number`, which control agrees on
    bool is_primary = false;
    std::uint64_t timeline = 0; // 0: not told
    log_position position = 0;
    bool leaving = false;       // serves for some seconds more
    bool stopped = false;          // serves nothing any more: its record may go
    std::uint64_t sequence = 0; // rises from one announcement of a server to the next
    auto operator<=>(const server_announcement&) const = default;
};

struct renewal {
    instance_record instance;
    std::uint64_t incarnation = 0;    // another one after every restart
    revision_number applied_revision = 0;      // everything up to this is in force there
    std::uint64_t last_reply_seq = 0; // newest reply that it has acted upon
    bool stopping = false;            // gives its lease and shares back
    std::vector<server_observation> observations;
    std::vector<server_announcement> announcements;
    std::vector<share_claim> claims;
    std::uint64_t lost_version = 0; // of the set of lost instances that it goes by
    bool operator==(const renewal&) const = default;
};

struct renewal_reply {
    result_code code = result_code::ok;
    duration lease{0};            // 0: none granted
    revision_number revision = 0; // the lease counts once this is applied
    std::uint64_t seq = 0;
    std::vector<share_grant> shares;
    std::vector<server_id> servers_to_observe;             // to be probed by this daemon
    std::vector<std::string> control_addresses; // peer listeners of the control instances
    std::optional<lost_update> lost;              // nothing: the set that the daemon named still holds
    duration renew_after{0};                    // from the renewal's sending to the next one's; 0: not told
    bool operator==(const renewal_reply&) const = default;
};

//-----------------------------------------------------------------------------
// [actions] what the I/O round the core is asked to do
//-----------------------------------------------------------------------------

struct propose_command {
    command proposed;
};

// Ask a server for its role, timeline and position; answer with on_server_answer().
struct probe_server {
    std::uint64_t operation = 0;
    server_record server;
};

// Promote a replica, if it is still on this timeline, and then ask as above.
struct promote_server {
    std::uint64_t operation = 0;
    server_record server;
    std::uint64_t timeline = 0;
    std::uint64_t token = 0; // fencing token: above that of every earlier attempt of any leader
};

// Something an operator wants to read in the log.
struct report_event {
    std::string event;
    group_id group;
    server_id server;
    duration since_suspected{0}; // since the failover began; 0 outside one
    bool planned = false;        // of a switch that an operator or a leaving primary asked for
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
    bool outcome_unknown = false; // an order to promote had no answer: it may be carried out yet
    auto operator<=>(const server_answer&) const = default;
};

//-----------------------------------------------------------------------------
// [state]
//-----------------------------------------------------------------------------

struct control_settings {
    duration lease = std::chrono::milliseconds{1000};
    duration probe_timeout = std::chrono::milliseconds{300};    // for the replicas' positions
    duration promotion_timeout = std::chrono::milliseconds{2000}; // for one promotion
    duration retry_delay = std::chrono::milliseconds{200};    // before asking again when no replica answers
    // For a successor to catch up, with the writes fenced. A second or two is within what callers wait for a
    // failover; an operator's switch gives up after it also before the fence.
    duration switchover_timeout = std::chrono::milliseconds{3000};
    // Between two questions for the positions of a planned switch, at least: a usual replication lag.
    duration catch_up_interval = std::chrono::milliseconds{50};
    duration max_observation_age = std::chrono::milliseconds{1000}; // older ones count no more
    duration max_announcement_age = std::chrono::milliseconds{3000};
    duration switchover_retry_interval = std::chrono::milliseconds{1000}; // between two tries to leave one primary
    // A daemon whose lease has ended keeps its connections for this long, for reads by known positions: most
    // of the least staleness that routes state (1.5 s).
    duration share_grace = std::chrono::milliseconds{1200};
    duration lost_server_timeout = std::chrono::seconds{12}; // servers that neither answer nor announce themselves
    unsigned kept_connections = 0; // of a service's limit to one server, kept back for probes
    // Where promotions go through an authority that fences by token, a call whose answer was lost may be
    // carried out later. Each failover then ends with a call of its own, also for the present primary.
    bool always_promote = false;
    rate_bounds rates;
};

struct granted_lease {
    revision_number revision = 0; // control's when it granted
    time_point expires_at{};
    auto operator<=>(const granted_lease&) const = default;
};

struct sent_shares {
    std::uint64_t seq = 0;
    std::map<share_key, unsigned> shares;
};

struct daemon_state {
    std::uint64_t incarnation = 0;
    holder_number holder = 0; // in the ledger of shares
    failure_domain domain;
    revision_number confirmed_revision = 0;
    std::deque<granted_lease> leases; // one per revision, the longest
    std::uint64_t last_reply_seq = 0; // the newest that its renewals have named
    time_point last_renewal_at{};
    std::map<server_id, server_observation> observations;
    std::uint64_t reply_count = 0;           // sent to it by this leader
    std::deque<sent_shares> unconfirmed_replies; // replies that it may yet act upon
    std::map<share_key, share_claim> claims;
    std::set<share_key> share_keys; // shares that it holds a part of, or wants one
};

enum class failover_step : std::uint8_t { catching_up, fencing, revoking, probing, promoting, publishing };

struct failover {
    failover_step step = failover_step::fencing;
    time_point started_at{};
    time_point step_started_at{};
    revision_number fence_revision = 0; // everyone must have confirmed this
    std::set<std::uint64_t> pending_operations;
    std::map<server_id, server_answer> answers;
    std::set<server_id> failed_candidates; // candidates that did not answer a promotion
    std::optional<server_id> candidate;
    std::uint64_t promotion_timeline = 0; // that the candidate was seen on
    std::optional<server_id> requested_target;    // a switchover's target
    bool planned = false;               // loses nothing; the old primary may be chosen again
    std::optional<log_position> catch_up_position;   // approaching: what the primary held when it was asked first
    time_point fence_proposed_at{};       // planned: writes have been closed since
    log_position position_before_restart = 0;      // the primary started again, and was seen to hold so much before
};

struct received_announcement {
    server_announcement announcement;
    time_point received_at{};
};

// Announcements that look overtaken, as long as they go on.
struct unverified_start {
    std::uint64_t start_time_ms = 0;
    std::uint64_t sequence = 0;
    time_point first_received_at{};
    time_point last_received_at{};
};

struct control_state {
    control_settings config;
    bool leading = false;
    time_point leading_since{};
    std::uint64_t leader_term = 0; // of the control log; orders the replies of different leaders
    std::map<instance_id, daemon_state> daemons;
    std::map<group_id, failover> failovers;
    std::map<server_id, received_announcement> latest_announcements;
    std::vector<observer_candidate> observer_candidates; // that `observers` was made from
    std::map<server_id, std::vector<instance_id>> observers;
    std::map<instance_id, std::vector<server_id>> servers_by_observer; // the same, the other way round
    share_ledger shares;
    rate_ledger rates;
    lost_tracker lost;
    std::set<instance_id> proposed_instances; // in the log, not applied yet
    std::map<server_id, server_record> proposed_servers;
    std::set<group_id> proposed_groups;
    std::set<server_id> proposed_removals;
    time_point lost_servers_checked_at{};                       // remove_lost_servers()
    std::map<server_id, std::uint64_t> stopped_starts;       // which start of theirs
    std::map<server_id, unverified_start> unverified_starts;            // one that goes on is another start after all
    std::uint64_t start_number_count = 0;                     // by this leader
    std::map<std::string, server_id> address_holders;      // by "host:port": who came up there last
    std::set<server_id> replaced_servers;                          // another server came up at their address
    std::map<std::uint64_t, server_announcement> pending_group_creations; // by operation: asked for its timeline
    std::map<group_id, time_point> last_switchover_at;            // last try to leave a leaving primary
    std::set<group_id> groups_without_successor;                  // their leaving primary cannot be replaced
    std::vector<std::string> control_addresses;            // told to daemons; set by the control core
    revision_number lease_revision = 0; // a lease counts once it is applied; set likewise; 0: the newest
    std::uint64_t next_operation = 1;
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Rises with `count`, also over a change of leader. Numbers the replies to a daemon (one that names a reply
// has acted upon no later one of any leader) and the orders to promote.
std::uint64_t make_monotonic_number(const control_state& c, std::uint64_t count);

// The term of the leader that gave out this number.
std::uint64_t leader_term_of(std::uint64_t number);

// This instance has won an election and knows every committed command, or has lost the lead.
void start_leading(control_state& c, std::uint64_t leader_term, time_point now);
void stop_leading(control_state& c);

// Every lease that an earlier leader granted has run out, or its holder is known to be in touch with this
// one: then what it holds is known, and what it has confirmed counts (see is_in_force()).
bool knows_all_leases(const control_state& c, const cluster_state& s, time_point now);

// A daemon renews its lease. Call only while raft::leader_has_lease().
renewal_reply on_renewal(control_state& c, const cluster_state& s, const renewal& r, time_point now,
                         control_actions& actions);

// A daemon asks for operations within the workspaces' rates. Call only while raft::leader_has_lease().
std::vector<rate_grant> on_rate_request(control_state& c, const cluster_state& s, const rate_request& r,
                                        time_point now);

// A command was applied; or time passed.
void on_applied(control_state& c, const cluster_state& s, time_point now, control_actions& actions);
void on_tick(control_state& c, const cluster_state& s, time_point now, control_actions& actions);
void on_server_answer(control_state& c, const cluster_state& s, const server_answer& a, time_point now,
                      control_actions& actions);

// An operator wants another primary; `target` may be empty.
result_code start_switchover(control_state& c, const cluster_state& s, const group_id& group,
                             const server_id& target, time_point now, control_actions& actions);

// No daemon can act on anything older than this revision any more.
bool is_in_force(const control_state& c, const cluster_state& s, revision_number revision, time_point now);

// The daemons that still may, for an operator who waits.
std::vector<instance_id> unconfirmed_daemons(const control_state& c, const cluster_state& s,
                                      revision_number revision, time_point now);

bool has_live_lease(const daemon_state& d, time_point now);

// The most connections that a daemon may hold for this key, as far as the leader knows.
unsigned held_share(const daemon_state& d, const share_key& key);

} // namespace larchpin
