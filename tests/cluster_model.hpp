// A model of a whole cluster in one process for stateful fuzzing: core states of control instances, daemons
// and backend servers; a network that drops, delays, duplicates and reorders messages; clock drift; lost
// disks; processes that freeze, stop and restart. The invariants are checked after every step.
//
// The model is a loop over pure functions: it has no protocol, no sessions and one group.
#pragma once

#include "core/control_core.hpp"
#include "core/lease.hpp"
#include "core/leave_deadlines.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace larchpin::testing {

struct fault_rates {
    int controls = 3;              // control instances
    unsigned tolerated_losses = 0; // see control_core's target_voters
    double loss = 0.05;            // of a message
    double repeat = 0.02;          // of a message
    int max_delay_ms = 30;
    double control_crash = 0.0; // per step
    double control_freeze = 0.0;
    double lost_disk = 0.0;
    double daemon_crash = 0.0;
    double daemon_freeze = 0.0;
    double server_crash = 0.0;
    double server_freeze = 0.0;
    double partition = 0.0;      // of one control instance from all processes
    double peer_partition = 0.0; // of one control instance from the other control instances only
    // A control instance is stopped, frozen, partitioned or loses its disk, while fewer than tolerated_losses
    // are lost. It counts as lost until catch_up_time after its return.
    double tolerated_loss = 0.0;
    double domain_cut = 0.0; // of all control instances of a failure domain, while none is lost
    double edit = 0.02;
    double switchover = 0.002;
    double hand_over = 0.0; // of the leadership of control
    double leave = 0.0;     // of a server, if none is leaving; it restarts under its id
    // Replicas that have received a write before the primary acknowledges it, once an edit has set the count.
    unsigned sync_replicas = 0;
    bool sync_replicas_vary = false; // edits set any count up to sync_replicas
    double server_deaf = 0.0;        // of a server, which receives nothing for a while
    double server_cut = 0.0;         // of a server, from the control instances only
    double server_reborn = 0.0;      // of a server, which starts again at once under its id, empty
    double server_mute = 0.0;        // of a server, whose announcements reach nobody for a while
    double server_restart = 0.0; // that a crashed server announces a later start when it is back with its log
    bool newcomer = false;       // one server is not heard of at first
};

// Rules of the core that a test disables to verify that the model detects the violation.
struct broken_rules {
    bool ack_without_lease = false;           // daemons acknowledge by their copy of the group record alone
    bool grant_counts_at_once = false;        // a lease takes effect before its revision is applied
    bool leader_without_lease = false;        // a leader acts although it may have been replaced
    bool forget_votes = false;                // a restarted control instance forgets its vote
    bool lost_disk_keeps_identity = false;    // and may vote twice in a term
    bool leaving_acked_from_memory = false;   // before the leave has committed
    bool share_before_confirmed = false;      // a smaller share takes effect before the daemon confirms it
    bool drop_join_hints = false;             // a joining instance asks only the instances of its settings
    bool drop_senders = false;                // messages do not tell their sender's address
    bool control_unaware_of_replicas = false; // the table tells no count of replicas that confirm writes
    bool marks_held_by_none = false;          // callers are told before other instances hold the mark
};

struct model_control {
    std::string name;
    control_core core;
    std::vector<raft::record> disk;
    bool up = false;
    std::uint64_t incarnation = 0; // messages and syncs of earlier incarnations are dropped
    double clock_rate = 1.0;
    time_point clock_offset{};
    time_point frozen_until{};
    time_point partitioned_until{};
    time_point peer_partitioned_until{};
    time_point sync_free_at{};
    time_point next_tick{};
    time_point next_greeting{};
    std::vector<std::string> seeds; // control addresses of its settings, drawn anew at each start
    time_point restart_at{};        // while stopped by a tolerated loss
    time_point lost_until{};
    time_point disk_lost_until{}; // counts as lost with its disk until then
    // As a daemon: the marks that it holds, and its renewals.
    acknowledgement_ledger held;
    std::uint64_t last_seq = 0;
    revision_number known_since = 0;
    std::size_t control_index = 0; // control instance that gets the next renewal
    time_point next_renewal{};
};

struct model_daemon {
    instance_id id;
    failure_domain domain;
    bool up = false;
    std::uint64_t incarnation = 0;
    cluster_state copy;
    lease_state lease;
    leave_deadlines leaves;
    std::uint64_t last_seq = 0;
    unsigned share = 0;
    unsigned open = 0; // connections
    unsigned wanted = 1;
    double clock_rate = 1.0;
    time_point clock_offset{};
    time_point frozen_until{};
    time_point next_renewal{};
    std::size_t control_index = 0;                // control instance that gets the next renewal
    std::map<server_id, server_observation> seen; // highest position of each server's known start
    std::map<server_id, std::uint64_t> seen_starts;
    acknowledgement_ledger acknowledged;
    revision_number known_since = 0;
    term_number seen_term = 0;
    log_position seen_position = 0; // highest of the primary in that term
};

struct model_server {
    server_record record;
    bool up = true;
    bool is_primary = false;
    std::uint64_t timeline = 1;
    std::vector<std::uint64_t> writes; // log; its size is the position
    time_point frozen_until{};
    time_point deaf_until{};
    time_point cut_until{};
    time_point mute_until{};
    bool leaving = false;
    std::optional<time_point> leave_acked_at;
    revision_number leave_acked_revision = 0; // revision of the copy that acknowledged it
};

class cluster_model {
public:
    cluster_model(std::uint64_t seed, const fault_rates& rates, const broken_rules& broken);
    // Returns the first violation, or an empty string.
    std::string run(int steps);
    // Ends all faults. Returns what does not recover, or an empty string.
    std::string run_until_healthy();
    // Ends the faults of control and of daemons. One server is down from now on, and control cannot reach
    // some others. Returns an empty string if writes are served in time, or if no log that is left is known
    // to hold everything.
    std::string run_until_served();
    // Right after an edit is decided, as many disks as are tolerated are lost and all other control instances
    // lose power. Returns what does not recover, or an empty string. `beside_losses`: other losses may last
    // until that moment; a disk that was lost shortly before counts among the tolerated ones.
    std::string run_power_loss(bool beside_losses);

    std::uint64_t failovers = 0;
    std::uint64_t planned_switches = 0;
    std::uint64_t leaders_handed_over = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t edits_in_force = 0;
    std::uint64_t leaves_acked = 0;
    std::uint64_t refused_edits = 0;
    std::uint64_t disks_lost = 0;
    std::uint64_t members_removed = 0; // removals of lost identities
    std::uint64_t silent_members_removed = 0;
    std::uint64_t confirmed = 0;    // writes acknowledged while replicas had to confirm them
    std::uint64_t logs_lost = 0;    // servers that started again empty
    std::uint64_t served_again = 0; // runs in which run_until_served() had something to check
    std::uint64_t outages = 0;      // control instances stopped, frozen or partitioned

private:
    using delivery = std::function<void()>;

    void step();
    void inject_faults();
    void inject_tolerated_loss();
    void restart_stopped_controls();
    void cut_off_domain(std::size_t first);
    [[nodiscard]] std::size_t count_lost() const;
    std::string lose_power_and_disks(std::size_t disks);
    [[nodiscard]] bool has_all_voters() const;
    [[nodiscard]] bool has_all_decided_edits(const control_core& core) const;
    void send(std::size_t control_a, std::size_t control_b, const delivery& what);
    void schedule_delivery(const delivery& what);
    void start_control(std::size_t i, bool empty_disk);
    void stop_control(std::size_t i);
    void run_control(std::size_t i);
    void renew_control(std::size_t i);
    bool store_mark(const acknowledged_mark& mark);
    void draw_seeds(model_control& c);
    void send_message(std::size_t from, const raft::message& m, const std::string& address);
    void ask_to_join(std::size_t i);
    void answer_join(std::size_t i, std::uint64_t asking_incarnation, std::size_t asked);
    void greet_unknown_controls(std::size_t i);
    [[nodiscard]] std::size_t index_of(const std::string& address) const;
    [[nodiscard]] bool is_reachable(const model_control& c) const;
    void process_control_output(std::size_t i);
    void server_operation(std::size_t control, std::uint64_t operation, const server_id& id,
                          std::uint64_t promote_from, const std::vector<std::string>& relays);
    [[nodiscard]] bool is_answering(const model_server& s, std::size_t control,
                                    const std::vector<std::string>& relays) const;
    void start_daemon(std::size_t i);
    void run_daemon(std::size_t i);
    renewal make_renewal(const model_daemon& d) const;
    void observe_servers(model_daemon& d);
    static void record_seen_position(model_daemon& d, term_number term, log_position position);
    static log_position seen_primary_position(const model_daemon& d);
    void send_renewal(std::size_t i);
    void receive_renewal(std::size_t i, std::size_t asked, const renewal& r, time_point sent,
                         std::uint64_t control_incarnation);
    void receive_reply(model_daemon& d, std::size_t asked, const std::optional<renewal_reply>& reply,
                       const renewal& r, time_point sent);
    void catch_up(model_daemon& d, const control_core& from);
    void replicate();
    void try_write(model_daemon& d);
    struct sent_write {
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0; // of the daemon
        std::uint64_t write = 0;
        term_number term = 0;
        server_id primary;
        commit_start start;
    };
    void acknowledge_if_confirmed(const sent_write& w);
    [[nodiscard]] bool holds_everything(const model_server& s) const;
    [[nodiscard]] bool is_served() const;
    [[nodiscard]] model_server& server_with(const server_id& id);
    [[nodiscard]] bool holds(const model_server& s, std::uint64_t write) const;
    [[nodiscard]] bool may_lose_log(const model_server& lost) const;
    void start_again_empty(model_server& s, std::uint64_t timeline);
    void inject_server_faults();
    void check_promotion(const model_server& chosen);
    void propose_random_edit();
    void check();
    void check_removals();
    void update_leaving_server();
    void acknowledge_leaving(const model_daemon& d);
    void check_leaving();
    void check_planned_switch(const server_id& primary, const server_id& successor);
    void record_violation(const std::string& what);
    bool chance(double p);
    int random_up_to(int highest);
    time_point clock_of(const model_control& c) const;
    time_point clock_of(const model_daemon& d) const;
    bool is_running(const model_control& c) const { return c.up && now_ >= c.frozen_until; }
    bool is_running(const model_daemon& d) const { return d.up && now_ >= d.frozen_until; }
    bool is_running(const model_server& s) const { return s.up && now_ >= s.frozen_until; }
    bool majority_survives_without(raft::node_id lost) const;
    bool accepts_acknowledgements(const model_daemon& d) const;

    std::mt19937_64 random_;
    fault_rates rates_;
    broken_rules broken_;
    time_point now_{std::chrono::seconds{100}};
    std::vector<model_control> controls_;
    std::vector<model_daemon> daemons_;
    std::vector<model_server> servers_;
    std::multimap<time_point, delivery> queue_;
    std::map<std::uint64_t, raft::entry> committed_; // by index, as first seen
    cluster_state agreed_state_;                     // state after applying committed_
    std::map<std::string, change_outcome> decided_;
    std::map<std::string, revision_number> in_force_; // edits reported to an operator as in force
    term_number highest_acked_term_ = 0;
    std::set<std::uint64_t> acknowledged_writes_;
    std::set<std::uint64_t> confirmed_writes_; // acknowledged while replicas had to confirm them
    std::uint64_t next_write_ = 1;
    std::uint64_t next_edit_ = 1;
    raft::node_id founder_ = 1;
    raft::node_id next_node_ = 1;
    bool founded_ = false; // the voters needed for the tolerated losses were reached once
    std::string violation_;
};

} // namespace larchpin::testing
