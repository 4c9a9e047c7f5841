#include "daemon/consensus_log.hpp"

#include "core/control_core.hpp"
#include "core/raft.hpp"
#include "io/log.hpp"

#include <algorithm>
#include <string>

namespace larchpin {
namespace {

constexpr duration no_leader_interval = std::chrono::seconds{1};
constexpr duration dropped_message_interval = std::chrono::seconds{1};

std::string_view to_string(raft::refusal_reason reason) {
    switch (reason) {
    case raft::refusal_reason::leader_active: return "hears a leader";
    case raft::refusal_reason::older_term: return "older term";
    case raft::refusal_reason::older_log: return "older log";
    case raft::refusal_reason::voted_for_another: return "voted for another";
    }
    return "";
}

std::string_view to_string(raft::role role) {
    switch (role) {
    case raft::role::follower: return "follower";
    case raft::role::pre_candidate: return "pre-candidate";
    case raft::role::candidate: return "candidate";
    case raft::role::leader: return "leader";
    }
    return "";
}

void add_name(std::string& names, const std::string& name) {
    names += (names.empty() ? "" : ", ") + name;
}

std::string names_of(const raft::configuration& c, bool voters) {
    std::string names;
    for (const raft::member& m : c.members) {
        if (m.voter == voters) {
            add_name(names, m.name + " " + std::to_string(m.id));
        }
    }
    return names;
}

std::string names_of_awaited(const raft::state& s) {
    std::string names;
    for (const raft::node_id id : raft::awaited_voters(s)) {
        add_name(names, raft::find_member(s.members, id)->name);
    }
    return names;
}

void log_members(consensus_log& logged, const raft::state& s) {
    const bool committed = s.commit >= s.members_index;
    if (logged.members_index == s.members_index && logged.members_committed == committed) {
        return;
    }
    logged.members_index = s.members_index;
    logged.members_committed = committed;
    log_event(severity::info, "control_members",
              {{"index", s.members_index},
               {"committed", committed},
               {"voters", names_of(s.members, true)},
               {"learners", names_of(s.members, false)}});
}

void log_missing_leader(consensus_log& logged, const raft::state& s, time_point now) {
    if (s.leader != 0 || logged.leader_known_at == time_point{}) {
        logged.leader_known_at = now;
        return;
    }
    const time_point last = std::max(logged.leader_known_at, logged.no_leader_logged_at);
    if (now - last < no_leader_interval) {
        return;
    }
    logged.no_leader_logged_at = now;
    const auto missing = std::chrono::duration_cast<std::chrono::milliseconds>(now - logged.leader_known_at);
    log_event(severity::warning, "no_control_leader",
              {{"missing_ms", missing.count()},
               {"role", to_string(s.current_role)},
               {"term", s.hard.term},
               {"last_index", raft::last_index(s)},
               {"last_log_term", raft::term_at(s, raft::last_index(s))},
               {"voters", names_of(s.members, true)},
               {"awaited", names_of_awaited(s)}});
}

// Returns whether a line is due, and if so records it.
bool is_due(time_point& logged_at, time_point now) {
    if (logged_at != time_point{} && now - logged_at < dropped_message_interval) {
        return false;
    }
    logged_at = now;
    return true;
}

} // namespace

void log_consensus(consensus_log& logged, const raft::state& s, time_point now) {
    log_members(logged, s);
    log_missing_leader(logged, s, now);
}

void log_refusal(const raft::vote_refusal& refusal, const raft::state& s) {
    log_event(severity::info, "vote_refused",
              {{"candidate", refusal.candidate},
               {"pre_vote", refusal.pre_vote},
               {"reason", to_string(refusal.reason)},
               {"term", refusal.term},
               {"candidate_log_term", refusal.candidate_log_term},
               {"candidate_log_index", refusal.candidate_log_index},
               {"own_term", s.hard.term},
               {"own_log_term", raft::term_at(s, raft::last_index(s))},
               {"own_log_index", raft::last_index(s)}});
}

void log_tolerated_losses(consensus_log& logged, const control_core& c, time_point now) {
    if (!is_active_leader(c, now)) {
        logged.tolerated_losses.reset();
        return;
    }
    const std::size_t tolerated = count_tolerated_losses(c, now);
    if (logged.tolerated_losses == tolerated) {
        return;
    }
    logged.tolerated_losses = tolerated;
    const std::size_t wanted = c.target_voters / 2;
    log_event(tolerated < wanted ? severity::warning : severity::info, "control_tolerated_losses",
              {{"tolerated", static_cast<std::uint64_t>(tolerated)},
               {"wanted", static_cast<std::uint64_t>(wanted)},
               {"voters", names_of(c.consensus.members, true)}});
}

void log_undeliverable(consensus_log& logged, const raft::message& m, time_point now) {
    if (is_due(logged.undeliverable_logged_at, now)) {
        log_event(severity::warning, "control_message_undeliverable",
                  {{"kind", static_cast<std::uint64_t>(m.kind)}, {"to", m.to}, {"granted", m.granted}});
    }
}

void log_misaddressed(consensus_log& logged, const raft::message& m, const raft::state& s, time_point now) {
    if (is_due(logged.misaddressed_logged_at, now)) {
        log_event(
            severity::info, "control_message_misaddressed",
            {{"kind", static_cast<std::uint64_t>(m.kind)}, {"from", m.from}, {"to", m.to}, {"node", s.self}});
    }
}

void log_join_answer(const std::string& address, std::uint32_t code, const std::string& leader) {
    log_event(severity::info, "control_join_answered",
              {{"address", address}, {"code", static_cast<std::uint64_t>(code)}, {"leader", leader}});
}

} // namespace larchpin
