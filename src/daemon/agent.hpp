// A daemon's side of the cluster: its copy of the agreed state, its lease, what it sees of backend servers,
// and the positions it can prove.
//
// Loops, each with one request open at a time
//   renew      every lease / 5, and at once after a change that others wait for: keeps the lease, reports
//              observations, passes on announcements, claims connection shares; while the leader is late the
//              other control instances are asked too (core/control_search)
//   watch      a long poll for the next commands; the copy follows the leader within a round trip
//   probe      asks the servers that control assigned to this daemon for role and position
//   positions  asks the daemons that probe, in this failure domain, for the groups in use here
#pragma once

#include "core/control.hpp"
#include "core/control_search.hpp"
#include "core/health.hpp"
#include "core/lease.hpp"
#include "core/leave_deadlines.hpp"
#include "core/lost_instances.hpp"
#include "core/positions.hpp"
#include "core/reachability.hpp"
#include "core/routing.hpp"
#include "core/server_load.hpp"
#include "daemon/mark_replication.hpp"
#include "daemon/pools.hpp"
#include "daemon/start_phases.hpp"
#include "io/backend_driver.hpp"
#include "io/http2_clients.hpp"
#include "io/settings.hpp"

#include <memory>
#include <random>

namespace larchpin {

struct loan_terms;

// Returns the silence after which a connection to control is replaced: a lease that was renewed just before
// the connection failed can still be renewed over the next one.
constexpr duration control_silence(duration lease) {
    return lease * 2 / 3;
}

namespace wire {
class watch_reply;
}

class agent {
public:
    agent(boost::asio::io_context& io, const settings& config, const shared_keys& keys, backend_pools& pools,
          const backend_driver& driver);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;
    agent(agent&&) = delete;
    agent& operator=(agent&&) = delete;

    void start();
    // Gives lease and shares back; `done` is called when control knows, or cannot be reached.
    void stop(std::function<void()> done);

    [[nodiscard]] const cluster_state& cluster() const { return cluster_; }
    [[nodiscard]] bool has_lease() const;
    // Control has no lease of this instance any more, so hardly anybody reaches it. Only while this one has a
    // lease: without control it goes by what it finds out itself.
    [[nodiscard]] bool is_lost(const instance_id& id) const { return lost().instances.contains(id); }
    [[nodiscard]] const lost_instance_set& lost() const;
    // Renewed within the last half of the lease: it will hardly be lost in the next moment.
    [[nodiscard]] bool is_in_touch() const;
    // Peer listener of the control instance that leads, as far as is known here.
    [[nodiscard]] const std::string& leader() const { return search_.leader; }
    // Call after the settings' control addresses have changed.
    void update_control_addresses();
    // Its term, as far as it has answered a renewal.
    [[nodiscard]] std::uint64_t leader_term() const { return leader_term_of(last_reply_seq_); }
    // Another leader has answered a renewal; called before it is told so.
    std::function<void()> on_leader;
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    // The copy is known to have been current at some time since this process started.
    [[nodiscard]] bool has_confirmed_state() const { return confirmed_once_; }

    // What routing needs for one group; also notes that the group is in use here.
    [[nodiscard]] group_view view(const group_id& group, const service_id& service);
    // Requests went out to the server, and answers came back.
    void note_asked(const server_id& server);
    void note_answered(const server_id& server);
    // It has answered nothing here for a while, whatever others hear of it.
    [[nodiscard]] bool is_unreachable(const server_id& server) const;
    // Nobody here has heard of the server for the detection time.
    [[nodiscard]] bool is_silent(const server_record& server) const;
    // Asks for the primary's position anew, for sessions that have no floor yet.
    void want_fresh_position(const group_id& group, const service_id& service);

    // An answer of the server carried this position; it was asked at `asked_at`.
    void note_position(const server_id& server, time_point asked_at, const log_mark& mark);

    // Returns a position that the log of the group's primary has reached in this term; 0 if none is known.
    [[nodiscard]] log_position seen_primary_position(const group_id& group) const;
    // Call when a commit is sent to the group's primary.
    [[nodiscard]] commit_start find_commit_start(const group_id& group) const;
    // Call before a caller is told that its commit succeeded in this term. `sent`: find_commit_start() when
    // the commit was sent; `position` came with the server's answer. `done` gets true once the commit
    // outlives this instance: at once, but that where replicas confirm commits its mark is stored by control
    // instances first. False: the term is over. Neither comes while control is out of reach.
    void note_acknowledged(const group_id& group, term_number term, const commit_start& sent,
                           log_position position, std::function<void(bool)> done);

    // Another instance tells where the server's log stood, as of its start number. `taken_by`: by then, at
    // the latest, by our clock.
    void note_told_position(const server_id& server, std::uint64_t start_number,
                            const position_sample& sample, time_point taken_by);

    void note_request_started(const server_id& server);
    void note_request_ended(const server_id& server, bool ok, duration took);
    void note_request_left(const server_id& server); // says nothing of the server
    // Smoothed time that its answers took; 0: unknown.
    [[nodiscard]] duration usual_latency(const server_id& server) const;
    retry_budget& budget(const group_id& group) { return budgets_[group]; }

    // A server has announced itself; passed on with the next renewals. `done` gets ok where it may be
    // acknowledged: at once, but that a server leaves or is gone only when control has agreed on it. Else
    // bad_message; no_lease where it could not be passed on; no_quorum after `patience`.
    void take_announcement(const server_announcement& a, duration patience,
                           std::function<void(result_code)> done);
    // The server leaves, and the time is over in which requests may be sent to it.
    [[nodiscard]] bool is_leave_over(const server_id& server) const;

    // Bodies of /v1/announce and /v1/positions, and their answers.
    std::string answer_announcement(const std::string& body);
    // Of /v1/marks.
    std::string answer_marks(const std::string& body);
    void answer_positions(const std::string& body, const http_respond& respond);

    bool takes_callers = false; // told to control: whoever has sessions may hold connections for others
    // A connection of another instance, where this one uses none of its own (see loans.hpp).
    std::function<std::shared_ptr<backend_connection>(const loan_terms&)> borrow;
    // Another instance of this failure domain may lend one for this share, also without control.
    std::function<bool(const share_key&)> may_borrow_near;
    // What is known of the server's load; empty, or nothing, where no instance tells it.
    std::function<std::optional<known_load>(const server_id&)> load_of;

    // Called after every change of the copy or the lease: waiting requests may go on.
    std::function<void()> on_change;

private:
    struct probed_server {
        server_record record;
        std::shared_ptr<backend_connection> connection;
        bool connecting = false;
        bool asking = false;
        time_point asked_at{};
        time_point next_at{};
        time_point answered_at{};
        unsigned refusals = 0; // in a row
        server_observation seen;
        position_sample sample;
        bool has_sample = false;
        std::optional<log_mark> least_when_asked; // see least_mark()
        std::vector<std::function<void()>> waiting_for_fresh;
        std::vector<std::function<void()>> answering_fresh;
    };
    // How far the primary of a term has been seen.
    struct reign {
        term_number term = 0;
        log_mark highest;
    };
    struct heard_announcement {
        server_announcement last;
        time_point at{};
        bool has_bad_slots = false; // it was said in the log
    };
    struct awaited_agreement {
        server_announcement announced;
        time_point until{};
        std::function<void(result_code)> done;
    };

    void on_tick();
    void renew_soon();
    void renew(const std::string& control);
    void on_renewed(const http_outcome& o, const std::string& control, time_point sent,
                    const std::vector<acknowledged_mark>& told);
    void apply_renewal(const renewal_reply& reply, time_point sent);
    renewal make_renewal();
    void follow_starts();
    void forget_start(const server_id& id);
    void learn_leaving(revision_number first_new);
    [[nodiscard]] bool makes_sense(const server_announcement& a) const;
    server_announcement without_bad_slots(const server_announcement& a);
    bool note_announcement(const server_announcement& told);
    [[nodiscard]] bool is_agreed(const server_announcement& a) const;
    void answer_awaited();
    void watch();
    void on_watched(const http_outcome& o, std::uint64_t generation);
    bool apply_reply(const wire::watch_reply& reply); // whether others may wait for it
    [[nodiscard]] duration spread(duration most);     // up to so much, by chance
    void apply_shares(const renewal_reply& reply);
    void follow_lease();
    [[nodiscard]] bool holds_reserve(const server_record& server) const;
    void take_reserves();
    void give_shares_back();
    void follow_assignment(const std::vector<server_id>& observe);
    void probe_all();
    void probe(const server_id& id);
    void connect_probe(const server_id& id);
    void on_probed(const server_id& id, const backend_outcome& outcome, time_point asked_at);
    void set_alive(probed_server& p, bool alive);
    [[nodiscard]] bool is_promised(const group_id& group) const; // replicas confirm its commits
    [[nodiscard]] std::optional<log_mark> least_mark(const server_id& id) const;
    void note_reign(const group_record& group, const position_sample& sample);
    void take_sample(const server_id& id, bool is_primary, const position_sample& sample,
                     time_point taken_by);
    void pull_positions();
    void probe_unreachable();
    void ask_primaries();
    void ask_primary(const group_id& group, const service_id& service, const server_record& primary);

    boost::asio::io_context& io_;
    const settings& config_;
    backend_pools& pools_;
    const backend_driver& driver_;
    boost::asio::steady_timer timer_;
    std::uint64_t incarnation_;
    cluster_state cluster_;
    lease_state lease_;
    bool had_lease_ = false;
    start_phases phases_;
    time_point shares_end_{}; // when the shares of an ended lease are given back; 0: no such
    bool confirmed_once_ = false;
    bool stopping_ = false;
    // renewals
    control_search search_;
    std::vector<std::string> control_members_; // addresses, from the newest answered renewal
    bool renew_again_ = false;
    time_point next_renewal_{};
    duration renewal_interval_{0}; // as the leader asks
    std::mt19937_64 random_;
    bool asked_for_share_ = false;    // with the last renewal, before its time
    time_point next_share_request_{}; // no renewal before it for want of a connection
    std::uint64_t last_reply_seq_ = 0;
    time_point answered_sent_at_{}; // of the newest renewal that was granted
    lost_instance_set lost_;
    // watching
    bool watching_ = false;
    std::uint64_t watch_generation_ = 0;
    std::string watch_address_;
    time_point next_watch_{};
    retry_backoff watch_backoff_;
    // servers
    std::map<server_id, probed_server> probed_;
    std::map<server_id, heard_announcement> announced_;
    std::vector<awaited_agreement> awaited_;
    leave_deadlines leave_times_;
    std::map<server_id, std::uint64_t> starts_; // by control's number, of the servers in the copy
    std::map<server_id, server_health> health_;
    std::map<server_id, reachability> reach_;
    std::map<group_id, group_positions> positions_;
    std::map<group_id, reign> reigns_;
    acknowledgement_ledger acknowledged_;
    revision_number known_since_ = 0; // see renewal_reply
    std::map<group_id, time_point> used_at_;
    struct position_wish {
        time_point since{};
        service_id service; // whose connections may be used for it
    };
    std::map<group_id, position_wish> fresh_wanted_;
    std::map<group_id, bool> asking_primary_;
    std::map<group_id, retry_budget> budgets_;
    std::map<std::string, bool> pulling_;
    struct position_source {
        std::string address;
        time_point answered_at{};
    };
    std::map<server_id, position_source> sources_; // who answered last for a server
    time_point next_pull_{};
    http2_clients clients_;
    mark_replication marks_;
};

} // namespace larchpin
