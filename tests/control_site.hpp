// A leader of control without I/O, for tests of its decisions.
#pragma once

#include "core/control.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace larchpin::testing {

// A leader, one group of three servers and one daemon per failure domain. Commands are applied when
// proposed.
struct control_site {
    control_state control;
    cluster_state cluster;
    time_point now{std::chrono::seconds{100}};
    std::vector<control_action> pending_actions; // unanswered probes and promotions
    std::vector<std::string> events;
    std::map<instance_id, std::uint64_t> seqs;

    control_site() {
        start_leading(control, 3, now);
        now += std::chrono::seconds{3}; // the leases of an earlier leader have expired
    }

    void execute(control_actions& actions) {
        for (const control_action& a : actions) {
            if (const auto* proposal = std::get_if<propose_command>(&a)) {
                apply(cluster, cluster.revision + 1, proposal->proposed);
                control_actions more;
                on_applied(control, cluster, now, more);
                execute(more);
            } else if (const auto* report = std::get_if<report_event>(&a)) {
                events.push_back(report->event);
            } else {
                pending_actions.push_back(a);
            }
        }
    }

    std::map<std::string, std::string> addresses; // of daemons; others have a common one
    bool accepts_clients = true;                  // of the next daemon that renews
    std::uint64_t incarnation = 1;
    std::vector<acknowledged_mark> acknowledged; // told with the next renewal
    revision_number known_since = 0;             // of the daemons that renew; 0 = of no use
    renewal_reply renew(const std::string& daemon, const std::vector<server_announcement>& announced = {},
                        const std::vector<server_observation>& seen = {},
                        const std::vector<share_claim>& claims = {}) {
        renewal r;
        r.instance = {.id = {daemon},
                      .domain = {"d-" + daemon},
                      .address = addresses.contains(daemon) ? addresses.at(daemon) : "127.0.0.1:1",
                      .accepts_clients = accepts_clients};
        r.incarnation = incarnation;
        r.applied_revision = cluster.revision;
        r.last_reply_seq = seqs[r.instance.id];
        r.announcements = announced;
        r.observations = seen;
        r.claims = claims;
        r.acknowledged = std::exchange(acknowledged, {});
        r.known_since = known_since;
        control_actions actions;
        renewal_reply reply = on_renewal(control, cluster, r, now, actions);
        seqs[r.instance.id] = reply.seq;
        execute(actions);
        return reply;
    }

    void tick() {
        control_actions actions;
        on_tick(control, cluster, now, actions);
        execute(actions);
    }

    void answer(const server_answer& a) {
        control_actions actions;
        on_server_answer(control, cluster, a, now, actions);
        execute(actions);
    }

    // Removes and returns the first pending action of this kind.
    template <typename kind> std::optional<kind> take_pending() {
        const auto found =
            std::find_if(pending_actions.begin(), pending_actions.end(),
                         [](const control_action& a) { return std::holds_alternative<kind>(a); });
        if (found == pending_actions.end()) {
            return std::nullopt;
        }
        const kind taken = std::get<kind>(*found);
        pending_actions.erase(found);
        return taken;
    }

    // Answers every pending probe as a healthy group does: `primary` is the primary, all servers hold
    // `position`.
    void answer_probes(const server_id& primary, log_position position) {
        while (const auto probe = take_pending<probe_server>()) {
            answer({.operation = probe->operation,
                    .server = probe->server.id,
                    .answered = true,
                    .is_primary = probe->server.id == primary,
                    .timeline = cluster.groups.contains({"g"}) ? cluster.groups.at({"g"}).timeline : 1,
                    .position = position});
        }
    }

    group_record group() { return cluster.groups.at({"g"}); }

    // Returns the leaving servers according to the replicated records.
    std::vector<server_id> leaving() const {
        std::vector<server_id> found;
        for (const auto& [id, server] : cluster.servers) {
            if (server.leaving) {
                found.push_back(id);
            }
        }
        return found;
    }
};

inline server_announcement announce(const std::string& id, bool primary, std::uint64_t sequence) {
    server_announcement a;
    const auto port = static_cast<std::uint16_t>(5400 + id.back()); // a distinct address for each server
    a.record = {.id = {id}, .group = {"g"}, .host = "127.0.0.1", .port = port, .domain = {"d-x"}};
    a.is_primary = primary;
    a.sequence = sequence;
    return a;
}

inline std::vector<server_observation> all_alive() {
    return {{.server = {"s1"}, .alive = true},
            {.server = {"s2"}, .alive = true},
            {.server = {"s3"}, .alive = true}};
}

// Returns a site with a group whose primary is s1.
inline control_site make_site() {
    control_site s;
    s.renew("x", {announce("s1", true, 1), announce("s2", false, 1), announce("s3", false, 1)}, all_alive());
    s.answer_probes({"s1"}, 10);
    return s;
}

} // namespace larchpin::testing
