// See control_core.hpp.
//
// Index
//   [applying]  [leading]  [members]  [handing over]  [public functions]
#include "core/control_core.hpp"

#include "core/control_pacing.hpp"

#include <algorithm>

namespace larchpin {
namespace {

//-----------------------------------------------------------------------------
// [applying]
//-----------------------------------------------------------------------------

void append(control_actions& to, control_actions& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
    from.clear();
}

void note_event_now(control_core& c, const std::string& what) {
    c.out.actions.emplace_back(report_event{.event = what, .group = {}, .server = {}});
}

// Caches the entry for daemons, without the operator's document of the table, which is as large as the table.
void cache_recent_entry(control_core& c, const raft::entry& e, const std::optional<command>& decoded) {
    c.recent_entries.push_back(e);
    const auto* edit = decoded ? std::get_if<edit_table>(&*decoded) : nullptr;
    if (edit != nullptr && !edit->document.empty()) {
        edit_table without_document = *edit;
        without_document.document.clear();
        c.recent_entries.back().command = c.codec.encode(without_document);
    }
    c.recent_bytes += c.recent_entries.back().command.size();
}

void apply_entry(control_core& c, const raft::entry& e) {
    const auto decoded =
        e.command.empty() ? std::optional<command>{std::monostate{}} : c.codec.decode(e.command);
    const bool urgent = is_urgent(decoded.value_or(std::monostate{}), c.cluster);
    const change_outcome outcome = apply(c.cluster, e.index, decoded.value_or(std::monostate{}));
    cache_recent_entry(c, e, decoded);
    c.urgent_revision = urgent ? e.index : c.urgent_revision;
    while (c.recent_entries.size() > max_recent_entries || c.recent_bytes > max_recent_bytes) {
        c.recent_bytes -= c.recent_entries.front().command.size();
        c.recent_entries.pop_front();
    }
    const auto* edit = decoded ? std::get_if<edit_table>(&*decoded) : nullptr;
    if (edit != nullptr) {
        c.out.decided_edits.push_back({.change_id = edit->change_id, .outcome = outcome});
    }
}

// Returns whether any entry or snapshot was applied.
bool apply_committed(control_core& c) {
    raft::output& log = c.consensus.out;
    if (!log.restored && log.committed.empty()) {
        return false;
    }
    if (log.restored) {
        c.cluster = c.codec.decode_state(log.restored->data).value_or(cluster_state{});
        c.cluster.revision = log.restored->index;
        c.urgent_revision = log.restored->index;
        c.recent_entries.clear();
        c.recent_bytes = 0;
        log.restored.reset();
    }
    const std::vector<raft::entry> committed = std::move(log.committed);
    log.committed.clear();
    for (const raft::entry& e : committed) {
        apply_entry(c, e);
    }
    c.out.state_changed = true;
    return true;
}

void compact_if_large(control_core& c) {
    const bool is_large =
        c.consensus.log.size() >= c.snapshot_entries || c.consensus.log_bytes >= max_log_bytes;
    if (is_large && c.cluster.revision == c.consensus.delivered) {
        raft::compact(c.consensus, c.cluster.revision, c.codec.encode_state(c.cluster));
    }
}

//-----------------------------------------------------------------------------
// [leading]
//-----------------------------------------------------------------------------

bool has_applied_all_committed(const control_core& c) {
    return raft::leader_is_ready(c.consensus) && c.cluster.revision == c.consensus.commit;
}

// Returns whether this instance has just become the leader of control.
bool update_leadership(control_core& c, time_point now) {
    const bool leads = c.consensus.current_role == raft::role::leader;
    if (c.control.leading && !leads) {
        stop_leading(c.control);
        note_event_now(c, "leadership_lost");
    } else if (!c.control.leading && leads && has_applied_all_committed(c)) {
        start_leading(c.control, c.consensus.hard.term, now);
        note_event_now(c, "leadership_won");
        return true;
    }
    return false;
}

// Appends proposals to the log at once and leaves all other actions to the caller.
void dispatch_actions(control_core& c, control_actions& actions, time_point now) {
    std::erase_if(actions, [&c, now](const control_action& action) {
        const auto* proposal = std::get_if<propose_command>(&action);
        if (proposal != nullptr) {
            raft::propose(c.consensus, c.codec.encode(proposal->proposed), now);
        }
        return proposal != nullptr;
    });
    append(c.out.actions, actions);
}

// Applies committed entries until none is left: they may lead to decisions and those to new entries, which a
// single voter commits at once.
void process_committed(control_core& c, time_point now) {
    bool again = true;
    while (again) {
        again = apply_committed(c);
        const bool won = update_leadership(c, now);
        if (c.control.leading && (again || won)) {
            control_actions actions;
            on_applied(c.control, c.cluster, now, actions);
            dispatch_actions(c, actions, now);
            again = true;
        }
    }
    compact_if_large(c);
}

//-----------------------------------------------------------------------------
// [members]
//-----------------------------------------------------------------------------

bool has_caught_up(const raft::state& s, raft::node_id id) {
    const auto p = s.peers.find(id);
    return p != s.peers.end() && p->second.acked &&
           p->second.match + s.config.catch_up_entries >= raft::last_index(s);
}

bool is_silent(const raft::state& s, raft::node_id id, time_point now) {
    const auto p = s.peers.find(id);
    return p != s.peers.end() && now - p->second.acked_round_sent_at > s.config.election_timeout;
}

// Returns whether the member acknowledged one of the last few heartbeats: a dead learner must not get a vote.
bool is_responsive(const raft::state& s, raft::node_id id, time_point now) {
    constexpr int heartbeats = 3;
    const auto p = s.peers.find(id);
    return p != s.peers.end() && p->second.acked &&
           now - p->second.acked_round_sent_at <= s.config.heartbeat_interval * heartbeats;
}

// Founders know each other only by address, so an instance is identified by its name or its address.
bool is_same_instance(const raft::member& a, const raft::member& b) {
    return a.name == b.name || a.address == b.address;
}

// Returns whether the instance returned with an empty disk under a new identity, which has caught up.
bool is_replaced(const raft::state& s, const raft::member& old, time_point now) {
    return std::any_of(s.members.members.begin(), s.members.members.end(), [&](const raft::member& m) {
        return is_same_instance(m, old) && m.id != old.id && has_caught_up(s, m.id) &&
               is_responsive(s, m.id, now);
    });
}

// Longer than the pauses of a healthy instance: elections, a slow sync.
constexpr int silent_voter_election_timeouts = 3;
// A learner that does not answer for this long is removed; if it returns, it asks to join again.
constexpr duration learner_timeout = std::chrono::seconds{12};
// After this long without contact with a leader an instance may have been removed, and asks to join.
constexpr int rejoin_election_timeouts = 10;
// More would only be left over from earlier elections.
constexpr std::size_t max_sender_addresses = 16;

bool is_silent_for(const raft::state& s, raft::node_id id, duration time, time_point now) {
    const auto p = s.peers.find(id);
    return p != s.peers.end() && now - p->second.acked_round_sent_at > time;
}

bool is_silent_voter(const raft::state& s, const raft::member& m, time_point now) {
    return m.voter && is_silent_for(s, m.id, s.config.election_timeout * silent_voter_election_timeouts, now);
}

std::size_t count_voters(const raft::configuration& c) {
    return static_cast<std::size_t>(
        std::count_if(c.members.begin(), c.members.end(), [](const raft::member& m) { return m.voter; }));
}

std::size_t count_responsive_voters(const raft::state& s, time_point now) {
    const auto& members = s.members.members;
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const raft::member& m) {
        return m.voter && !is_silent_voter(s, m, now);
    }));
}

// The log names founders by their address, so instances are matched by address.
failure_domain domain_of(const control_core& c, const raft::member& m) {
    const auto found = std::find_if(c.cluster.instances.begin(), c.cluster.instances.end(),
                                    [&m](const auto& i) { return i.second.address == m.address; });
    return found == c.cluster.instances.end() ? failure_domain{} : found->second.domain;
}

std::size_t count_responsive_voters_in_domain(const control_core& c, const failure_domain& domain,
                                              time_point now) {
    const raft::state& s = c.consensus;
    const auto& members = s.members.members;
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const raft::member& m) {
        return m.voter && !is_silent_voter(s, m, now) && domain_of(c, m) == domain;
    }));
}

// Returns a silent voter if there are more voters than the target: it would count against every majority from
// now on.
const raft::member* find_surplus_voter(const control_core& c, time_point now) {
    const auto& members = c.consensus.members.members;
    if (c.target_voters == 0 || count_voters(c.consensus.members) <= c.target_voters) {
        return nullptr;
    }
    const auto found = std::find_if(members.begin(), members.end(), [&](const raft::member& m) {
        return is_silent_voter(c.consensus, m, now);
    });
    return found == members.end() ? nullptr : &*found;
}

const raft::member* find_silent_learner(const control_core& c, time_point now) {
    const auto& members = c.consensus.members.members;
    const auto found = std::find_if(members.begin(), members.end(), [&](const raft::member& m) {
        return !m.voter && is_silent_for(c.consensus, m.id, learner_timeout, now);
    });
    return found == members.end() ? nullptr : &*found;
}

bool is_promotable_learner(const raft::state& s, const raft::member& m, time_point now) {
    const auto& members = s.members.members;
    const bool instance_has_vote =
        std::any_of(members.begin(), members.end(),
                    [&m](const raft::member& other) { return other.voter && is_same_instance(other, m); });
    return !m.voter && !instance_has_vote && has_caught_up(s, m.id) && is_responsive(s, m.id, now);
}

// Returns the learner that replaces a silent or missing voter, from the failure domain with the fewest
// voters. The learner gets its vote before the silent voter is removed, so a change is never held by fewer
// disks.
const raft::member* find_next_voter(const control_core& c, time_point now) {
    const raft::state& s = c.consensus;
    if (c.target_voters != 0 && count_responsive_voters(s, now) >= c.target_voters) {
        return nullptr;
    }
    const raft::member* best = nullptr;
    std::size_t fewest = 0;
    for (const raft::member& m : s.members.members) {
        if (!is_promotable_learner(s, m, now)) {
            continue;
        }
        const std::size_t voters = count_responsive_voters_in_domain(c, domain_of(c, m), now);
        if (best == nullptr || voters < fewest) {
            best = &m;
            fewest = voters;
        }
    }
    return best;
}

void remove_member(control_core& c, raft::node_id id, const std::string& event, time_point now) {
    raft::configuration next = c.consensus.members;
    std::erase_if(next.members, [id](const raft::member& m) { return m.id == id; });
    if (raft::propose_members(c.consensus, next, now) != 0) {
        note_event_now(c, event);
    }
}

void promote_learner(control_core& c, raft::node_id id, time_point now) {
    raft::configuration next = c.consensus.members;
    for (raft::member& m : next.members) {
        m.voter = m.voter || m.id == id;
    }
    if (raft::propose_members(c.consensus, next, now) != 0) {
        note_event_now(c, "control_voter_added");
    }
}

// Makes one membership change at a time. A lost identity is removed first: it counts against the majority and
// can never vote again, so its removal risks nothing, while adding before removing would need one more living
// voter.
void maintain_members(control_core& c, time_point now) {
    const raft::state& s = c.consensus;
    const auto& members = s.members.members;
    const auto replaced = std::find_if(members.begin(), members.end(), [&](const raft::member& m) {
        return m.id != s.self && is_silent(s, m.id, now) && is_replaced(s, m, now);
    });
    if (replaced != members.end()) {
        remove_member(c, replaced->id, "control_member_removed", now);
    } else if (const raft::member* surplus = find_surplus_voter(c, now)) {
        remove_member(c, surplus->id, "control_silent_voter_removed", now);
    } else if (const raft::member* ready = find_next_voter(c, now)) {
        promote_learner(c, ready->id, now);
    } else if (const raft::member* silent_learner = find_silent_learner(c, now)) {
        remove_member(c, silent_learner->id, "control_silent_learner_removed", now);
    }
}

//-----------------------------------------------------------------------------
// [handing over]
//-----------------------------------------------------------------------------

// Requests of instances are late after this time, though leases can still be renewed in time.
constexpr duration late_loop_delay = std::chrono::milliseconds{100};
constexpr int loop_delay_samples = 4; // for the smoothed delay
// Longer than single pauses, a slow sync or the start of everything.
constexpr duration max_late_time = std::chrono::seconds{1};
// Where all instances are slow, leadership does not go around more often.
constexpr duration min_leading_time = std::chrono::seconds{10};

bool is_late_leader(const control_core& c, time_point now) {
    return c.consensus.current_role == raft::role::leader && c.loop_late_since != time_point{} &&
           now - c.loop_late_since >= max_late_time && now - c.consensus.became_leader_at >= min_leading_time;
}

// Returns the voter that is to lead next, or nothing.
const raft::member* find_successor(const control_core& c, time_point now) {
    const raft::state& s = c.consensus;
    const raft::member* best = nullptr;
    duration best_delay{0};
    for (const raft::member& m : s.members.members) {
        const auto p = s.peers.find(m.id);
        const bool can_lead = m.voter && m.id != s.self && p != s.peers.end() && p->second.acked &&
                              p->second.match == raft::last_index(s) &&
                              !is_silent_for(s, m.id, s.config.election_timeout, now);
        if (can_lead && (best == nullptr || p->second.ack_delay < best_delay)) {
            best = &m;
            best_delay = p->second.ack_delay;
        }
    }
    return best;
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

control_core make_control_core(const command_codec& codec, const raft::member& self,
                               const raft::settings& timing, const control_settings& settings,
                               const raft::recovered_state& recovered, time_point now,
                               std::mt19937_64& random) {
    control_core c;
    c.codec = codec;
    c.self = self;
    c.control.config = settings;
    c.consensus = raft::make_state(self.id, timing, recovered, now, random);
    process_committed(c, now);
    return c;
}

void tick(control_core& c, time_point now, std::mt19937_64& random) {
    raft::tick(c.consensus, now, random);
    process_committed(c, now);
    if (is_late_leader(c, now)) {
        hand_over_leadership(c, now, random);
    }
    if (!is_active_leader(c, now)) {
        return;
    }
    control_actions actions;
    on_tick(c.control, c.cluster, now, actions);
    dispatch_actions(c, actions, now);
    maintain_members(c, now);
    process_committed(c, now);
}

void record_loop_delay(control_core& c, duration delay, time_point now) {
    c.loop_delay += (delay - c.loop_delay) / loop_delay_samples;
    const bool is_late = c.loop_delay >= late_loop_delay;
    c.loop_late_since = !is_late ? time_point{} : c.loop_late_since == time_point{} ? now : c.loop_late_since;
}

bool hand_over_leadership(control_core& c, time_point now, std::mt19937_64& random) {
    const raft::member* successor = find_successor(c, now);
    if (successor == nullptr || !raft::transfer_leadership(c.consensus, successor->id, now, random)) {
        return false;
    }
    note_event_now(c, "leadership_handed_over");
    process_committed(c, now);
    return true;
}

void step(control_core& c, const raft::message& m, time_point now, std::mt19937_64& random) {
    const bool is_late = c.loop_late_since != time_point{};
    if (m.kind == raft::message_kind::transfer_request && is_late) {
        return; // a voter that is in time wins the next election
    }
    raft::step(c.consensus, m, now, random);
    process_committed(c, now);
}

void record_sender(control_core& c, const raft::message& m, const std::string& address) {
    const bool from_leader =
        m.kind == raft::message_kind::append_request || m.kind == raft::message_kind::snapshot_request;
    if (address.empty() || address == c.self.address) {
        return;
    }
    if (m.to != c.self.id) {
        if (from_leader) {
            record_leader_seen(c.joining, address, m.term);
        }
    } else if (raft::find_member(c.consensus.members, m.from) == nullptr) {
        if (c.sender_addresses.size() >= max_sender_addresses) {
            c.sender_addresses.clear();
        }
        c.sender_addresses[m.from] = address;
    }
}

std::string find_address(const control_core& c, raft::node_id id) {
    if (const raft::member* m = raft::find_member(c.consensus.members, id)) {
        return m->address;
    }
    const auto sender = c.sender_addresses.find(id);
    return sender == c.sender_addresses.end() ? std::string{} : sender->second;
}

std::string leader_address(const control_core& c) {
    const std::string address = find_address(c, c.consensus.leader);
    return address.empty() ? c.joining.leader : address;
}

void on_persisted(control_core& c, std::uint64_t index, std::uint64_t term, time_point now) {
    raft::on_persisted(c.consensus, index, term, now);
    process_committed(c, now);
}

control_output take_output(control_core& c) {
    control_output taken = std::move(c.out);
    taken.consensus = raft::take_output(c.consensus);
    c.out = control_output{};
    return taken;
}

bool is_active_leader(const control_core& c, time_point now) {
    return c.control.leading && raft::leader_has_lease(c.consensus, now);
}

std::optional<renewal_reply> renew(control_core& c, const renewal& r, time_point now) {
    if (!is_active_leader(c, now)) {
        return std::nullopt;
    }
    control_actions actions;
    c.control.control_addresses.clear();
    for (const raft::member& m : c.consensus.members.members) {
        c.control.control_addresses.push_back(m.address);
    }
    c.control.lease_revision = c.urgent_revision;
    const renewal_reply reply = on_renewal(c.control, c.cluster, r, now, actions);
    dispatch_actions(c, actions, now);
    process_committed(c, now);
    return reply;
}

std::optional<std::vector<rate_grant>> grant_operations(control_core& c, const rate_request& r,
                                                        time_point now) {
    if (!is_active_leader(c, now)) {
        return std::nullopt;
    }
    return on_rate_request(c.control, c.cluster, r, now);
}

std::optional<change_outcome> propose_edit(control_core& c, const edit_table& edit, time_point now) {
    if (const auto earlier = find_change(c.cluster, edit.change_id)) {
        return earlier;
    }
    raft::propose(c.consensus, c.codec.encode(edit), now);
    process_committed(c, now);
    return std::nullopt;
}

result_code switch_over(control_core& c, const group_id& group, const server_id& target, bool accepts_loss,
                        time_point now) {
    if (!is_active_leader(c, now)) {
        return result_code::not_leader;
    }
    control_actions actions;
    const result_code code = accepts_loss
                                 ? accept_loss(c.control, c.cluster, group, target, now, actions)
                                 : start_switchover(c.control, c.cluster, group, target, now, actions);
    dispatch_actions(c, actions, now);
    process_committed(c, now);
    return code;
}

void handle_server_answer(control_core& c, const server_answer& a, time_point now) {
    if (!is_active_leader(c, now)) {
        return;
    }
    control_actions actions;
    on_server_answer(c.control, c.cluster, a, now, actions);
    dispatch_actions(c, actions, now);
    process_committed(c, now);
}

result_code join(control_core& c, const raft::member& joining, time_point now) {
    if (!is_active_leader(c, now)) {
        return result_code::not_leader;
    }
    if (raft::find_member(c.consensus.members, joining.id) != nullptr) {
        return result_code::ok;
    }
    raft::configuration next = c.consensus.members;
    next.members.push_back(joining);
    next.members.back().voter = false;
    std::sort(next.members.begin(), next.members.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    if (raft::propose_members(c.consensus, next, now) != 0) {
        note_event_now(c, "control_learner_added");
    }
    process_committed(c, now);
    return result_code::ok;
}

bool bootstrap(control_core& c, time_point now, std::mt19937_64& random) {
    raft::member voter = c.self;
    voter.voter = true;
    return bootstrap(c, raft::configuration{.members = {voter}}, now, random);
}

bool bootstrap(control_core& c, const raft::configuration& founders, time_point now,
               std::mt19937_64& random) {
    const bool started = raft::bootstrap(c.consensus, founders, now, random);
    process_committed(c, now);
    return started;
}

bool should_join(const control_core& c, time_point now) {
    const raft::state& s = c.consensus;
    const bool is_member = raft::find_member(s.members, s.self) != nullptr;
    const bool may_be_removed =
        s.current_role != raft::role::leader &&
        now - s.last_leader_contact > s.config.election_timeout * rejoin_election_timeouts;
    const bool is_told = s.current_role != raft::role::leader && c.joining.leader_term != 0 &&
                         c.joining.leader_term >= s.hard.term &&
                         now - s.last_leader_contact > s.config.election_timeout;
    return !is_member || may_be_removed || is_told;
}

std::optional<std::string> choose_join_address(control_core& c, const std::vector<std::string>& configured,
                                               time_point now) {
    if (!should_join(c, now)) {
        c.joining = join_search{}; // outdated by the next time
        return std::nullopt;
    }
    std::vector<std::string> known = configured;
    for (const raft::member& m : c.consensus.members.members) {
        known.push_back(m.address);
    }
    return choose_join_address(c.joining, known, c.self.address, now);
}

std::vector<std::string> find_unknown_controls(const control_core& c,
                                               const std::vector<std::string>& configured, time_point now) {
    if (!is_active_leader(c, now)) {
        return {};
    }
    std::vector<std::string> controls = configured;
    for (const auto& [id, address] : c.sender_addresses) {
        controls.push_back(address);
    }
    const auto& members = c.consensus.members.members;
    std::erase_if(controls, [&members](const std::string& address) {
        return std::any_of(members.begin(), members.end(),
                           [&address](const raft::member& m) { return m.address == address; });
    });
    return controls;
}

std::size_t voters_for_tolerated_losses(unsigned losses) {
    return losses == 0 ? 0 : 2 * std::size_t{losses} + 1;
}

bool has_enough_voters(const control_core& c) {
    return count_voters(c.consensus.members) >= c.target_voters;
}

bool can_acknowledge_changes(const control_core& c) {
    return has_enough_voters(c) && c.consensus.commit >= c.consensus.members_index;
}

std::size_t count_tolerated_losses(const control_core& c, time_point now) {
    const std::size_t responsive = count_responsive_voters(c.consensus, now);
    const std::size_t majority = count_voters(c.consensus.members) / 2 + 1;
    return responsive > majority ? responsive - majority : 0;
}

} // namespace larchpin
