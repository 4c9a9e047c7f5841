// Raft consensus: see raft.hpp.
//
// Index
//   [log]  [timers and roles]  [replication]  [votes]  [messages]  [public functions]
#include "core/raft.hpp"

#include <algorithm>

namespace larchpin::raft {
namespace {

//-----------------------------------------------------------------------------
// [log]
//-----------------------------------------------------------------------------

constexpr std::size_t max_unacked_rounds = 256;
constexpr int ack_delay_samples = 4; // for the smoothed delay
// Longer than a vote takes (two syncs of 2 to 5 ms and a round trip), so that one candidate's election ends
// before the next voter starts its own.
constexpr duration initial_election_stagger = std::chrono::milliseconds{60};
// A peer whose disk hangs already has the entries, and each copy costs their full size (100 KB for a table of
// 340 routes). An entry that was lost with its connection is delayed by at most this time.
constexpr duration max_resend_backoff = std::chrono::seconds{1};

const entry* entry_at(const state& s, std::uint64_t index) {
    if (index <= s.snap.index || index > last_index(s)) {
        return nullptr;
    }
    return &s.log[index - s.snap.index - 1];
}

void refresh_members(state& s) {
    s.members = s.snap.config;
    s.members_index = s.snap.index;
    for (const entry& e : s.log) {
        if (e.config) {
            s.members = *e.config;
            s.members_index = e.index;
        }
    }
}

void store_entry(state& s, const entry& e) {
    bool members_dropped = false;
    while (last_index(s) >= e.index) {
        members_dropped = members_dropped || s.log.back().config.has_value();
        s.log_bytes -= s.log.back().command.size();
        s.log.pop_back();
    }
    s.persisted = std::min(s.persisted, e.index - 1);
    s.log.push_back(e);
    s.log_bytes += e.command.size();
    s.out.records.push_back(record{.hard = {}, .log_entry = e, .snap = {}});
    if (members_dropped) {
        refresh_members(s);
    } else if (e.config) {
        s.members = *e.config;
        s.members_index = e.index;
    }
}

void store_hard_state(state& s) {
    s.out.records.push_back(record{.hard = s.hard, .log_entry = {}, .snap = {}});
}

void deliver_committed(state& s) {
    while (s.delivered < s.commit) {
        const entry* e = entry_at(s, s.delivered + 1);
        if (e == nullptr) {
            return;
        }
        s.out.committed.push_back(*e);
        s.delivered = e->index;
    }
}

//-----------------------------------------------------------------------------
// [timers and roles]
//-----------------------------------------------------------------------------

void reset_election_timer(state& s, time_point now, std::mt19937_64& random) {
    std::uniform_int_distribution<std::int64_t> extra(0, s.config.election_timeout.count());
    s.election_deadline = now + s.config.election_timeout + duration{extra(random)};
}

// After a start the voters start their elections in order of rank: if all nodes start at once there is no
// leader, and the first voter only has to wait for the longest possible leader lease. A leader is elected
// within 0.33 to 0.49 s, compared with 0.35 to 0.95 s for random timers (four restarts, election timeout 300
// ms).
void set_initial_election_timer(state& s, time_point now) {
    std::int64_t rank = 0;
    for (const member& m : s.members.members) {
        rank += m.voter && m.id < s.self ? 1 : 0;
    }
    s.election_deadline = now + s.config.election_timeout + initial_election_stagger * rank;
}

void become_follower(state& s, std::uint64_t term, node_id leader, time_point now, std::mt19937_64& random) {
    if (term > s.hard.term) {
        s.hard = hard_state{.term = term, .voted_for = 0};
        store_hard_state(s);
    }
    s.current_role = role::follower;
    s.leader = leader;
    s.votes.clear();
    s.peers.clear();
    s.round_sent_at.clear();
    reset_election_timer(s, now, random);
}

std::size_t voter_count(const state& s) {
    return static_cast<std::size_t>(std::count_if(s.members.members.begin(), s.members.members.end(),
                                                  [](const member& m) { return m.voter; }));
}

std::size_t majority(const state& s) {
    return voter_count(s) / 2 + 1;
}

bool has_recent_leader_contact(const state& s, time_point now) {
    return now - s.last_leader_contact < s.config.election_timeout;
}

//-----------------------------------------------------------------------------
// [replication]
//-----------------------------------------------------------------------------

// Returns whether the peer has not yet acknowledged entries that were sent to it.
bool has_entries_in_flight(const progress& p) {
    return p.in_flight_base + 1 < p.next;
}

void reset_resend_backoff(const state& s, progress& p, time_point now) {
    p.resend_backoff = s.config.heartbeat_interval;
    p.resend_at = now + p.resend_backoff;
}

message make_message(const state& s, message_kind kind, node_id to) {
    message m;
    m.kind = kind;
    m.from = s.self;
    m.to = to;
    m.term = s.hard.term;
    return m;
}

void send_append(state& s, node_id to, progress& p, time_point now) {
    if (p.next <= s.snap.index) {
        message m = make_message(s, message_kind::snapshot_request, to);
        m.snap = s.snap;
        m.round = s.round;
        p.snapshot_in_flight = true;
        p.last_send = now;
        s.out.messages.push_back(std::move(m));
        return;
    }
    message m = make_message(s, message_kind::append_request, to);
    m.log_index = p.next - 1;
    m.log_term = term_at(s, m.log_index);
    m.commit = s.commit;
    m.round = s.round;
    const std::uint64_t end = std::min(last_index(s), p.next + s.config.batch_entries - 1);
    if (!has_entries_in_flight(p)) {
        p.resend_at = std::max(p.resend_at, now + s.config.heartbeat_interval);
    }
    for (std::uint64_t i = p.next; i <= end; ++i) {
        m.entries.push_back(*entry_at(s, i));
    }
    p.next = end + 1; // optimistic; a refusal resets it
    p.last_send = now;
    s.out.messages.push_back(std::move(m));
}

// Rewinds `next` to the first entry in flight if the acknowledgement is overdue. A peer that has not answered
// this leader until the longest backoff may be empty and not know the leader's address, so it gets the log
// from the start.
void rewind_if_ack_overdue(progress& p, time_point now) {
    const bool silent = !p.acked && p.resend_backoff >= max_resend_backoff;
    if (now < p.resend_at || p.snapshot_in_flight || !(has_entries_in_flight(p) || !p.acked)) {
        return;
    }
    p.in_flight_base = silent ? 0 : p.in_flight_base;
    p.next = p.in_flight_base + 1;
    p.resend_backoff = std::min(p.resend_backoff * 2, max_resend_backoff);
    p.resend_at = now + p.resend_backoff;
}

void update_peers(state& s, time_point now) {
    for (const member& m : s.members.members) {
        if (m.id != s.self && !s.peers.contains(m.id)) {
            // A joining member is empty and cannot report it, because it does not know the other members yet.
            const bool is_joining = now > s.became_leader_at;
            progress p;
            p.in_flight_base = is_joining ? 0 : last_index(s);
            p.next = p.in_flight_base + 1;
            reset_resend_backoff(s, p, now);
            p.acked_round_sent_at = now; // time to answer before the peer counts as silent
            s.peers.emplace(m.id, p);
        }
    }
    std::erase_if(s.peers, [&s](const auto& p) { return find_member(s.members, p.first) == nullptr; });
}

void broadcast(state& s, time_point now, bool new_round) {
    if (new_round) {
        ++s.round;
        s.round_sent_at[s.round] = now;
        while (s.round_sent_at.size() > max_unacked_rounds) {
            s.round_sent_at.erase(s.round_sent_at.begin());
        }
        s.last_heartbeat = now;
    }
    update_peers(s, now);
    for (auto& [id, p] : s.peers) {
        const bool silent = now - p.acked_round_sent_at > max_resend_backoff;
        const duration snapshot_wait = silent ? max_resend_backoff : s.config.election_timeout;
        const bool waits_for_snapshot = p.snapshot_in_flight && now - p.last_send < snapshot_wait;
        if (!waits_for_snapshot) {
            send_append(s, id, p, now);
        }
    }
}

void advance_commit(state& s) {
    std::vector<std::uint64_t> matches;
    for (const member& m : s.members.members) {
        if (!m.voter) {
            continue;
        }
        if (m.id == s.self) {
            matches.push_back(s.persisted);
        } else {
            const auto p = s.peers.find(m.id);
            matches.push_back(p == s.peers.end() ? 0 : p->second.match);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t majority_index = matches[majority(s) - 1];
    // Only entries of the leader's own term commit by counting replicas (Raft, 5.4.2).
    if (majority_index > s.commit && term_at(s, majority_index) == s.hard.term) {
        s.commit = majority_index;
        deliver_committed(s);
    }
}

void become_leader(state& s, time_point now) {
    s.current_role = role::leader;
    s.leader = s.self;
    s.became_leader_at = now;
    s.peers.clear();
    s.round_sent_at.clear();
    entry noop;
    noop.index = last_index(s) + 1;
    noop.term = s.hard.term;
    store_entry(s, noop);
    for (const member& m : s.members.members) {
        if (m.id != s.self) {
            progress p;
            p.in_flight_base = noop.index - 1; // until a refusal reports a shorter log
            p.next = noop.index;
            reset_resend_backoff(s, p, now);
            p.acked_round_sent_at = now;
            s.peers.emplace(m.id, p);
        }
    }
    broadcast(s, now, true);
}

//-----------------------------------------------------------------------------
// [votes]
//-----------------------------------------------------------------------------

bool has_vote_majority(const state& s) {
    std::size_t granted = 0;
    for (const auto& [id, vote] : s.votes) {
        granted += (vote && is_voter(s.members, id)) ? 1 : 0;
    }
    return granted >= majority(s);
}

void request_votes(state& s, message_kind kind, std::uint64_t term) {
    for (const member& m : s.members.members) {
        if (!m.voter || m.id == s.self) {
            continue;
        }
        message request = make_message(s, kind, m.id);
        request.term = term;
        request.log_index = last_index(s);
        request.log_term = term_at(s, last_index(s));
        s.out.messages.push_back(std::move(request));
    }
}

void start_election(state& s, message_kind request, time_point now, std::mt19937_64& random) {
    s.current_role = role::candidate;
    reset_election_timer(s, now, random); // randomized so that two candidates do not keep splitting the votes
    s.hard = hard_state{.term = s.hard.term + 1, .voted_for = s.self};
    store_hard_state(s);
    s.votes = {{s.self, true}};
    if (has_vote_majority(s)) {
        become_leader(s, now);
        return;
    }
    request_votes(s, request, s.hard.term);
}

void start_pre_vote(state& s, time_point now, std::mt19937_64& random) {
    // A pre-vote disrupts no leader, so it is retried soon if it is not granted.
    std::uniform_int_distribution<std::int64_t> extra(0, s.config.election_timeout.count() / 2);
    s.election_deadline = now + s.config.election_timeout / 4 + duration{extra(random)};
    if (!is_voter(s.members, s.self)) {
        return;
    }
    s.current_role = role::pre_candidate;
    s.leader = 0;
    s.votes = {{s.self, true}};
    if (has_vote_majority(s)) {
        start_election(s, message_kind::vote_request, now, random);
        return;
    }
    request_votes(s, message_kind::pre_vote_request, s.hard.term + 1);
}

bool is_candidate_log_up_to_date(const state& s, const message& m) {
    const std::uint64_t own_term = term_at(s, last_index(s));
    return m.log_term > own_term || (m.log_term == own_term && m.log_index >= last_index(s));
}

// Returns whether this node rejects elections, in any term, because it holds the leader lease or has recent
// contact with a leader. The leader's lease depends on this rule.
bool refuses_elections(const state& s, time_point now) {
    return s.current_role == role::leader ? leader_has_lease(s, now) : has_recent_leader_contact(s, now);
}

void record_refusal(state& s, const message& m, refusal_reason reason) {
    s.out.refusals.push_back({.candidate = m.from,
                              .pre_vote = m.kind == message_kind::pre_vote_request,
                              .reason = reason,
                              .term = m.term,
                              .candidate_log_term = m.log_term,
                              .candidate_log_index = m.log_index});
}

// Returns why a pre-vote is refused, or nothing if it is granted.
std::optional<refusal_reason> find_pre_vote_refusal(const state& s, const message& m, time_point now) {
    if (m.term <= s.hard.term) {
        return refusal_reason::older_term;
    }
    if (refuses_elections(s, now)) {
        return refusal_reason::leader_active;
    }
    return is_candidate_log_up_to_date(s, m) ? std::nullopt : std::optional{refusal_reason::older_log};
}

void on_pre_vote_request(state& s, const message& m, time_point now) {
    message reply = make_message(s, message_kind::pre_vote_reply, m.from);
    const auto refusal = find_pre_vote_refusal(s, m, now);
    reply.granted = !refusal;
    reply.term = reply.granted ? m.term : s.hard.term;
    s.out.messages.push_back(std::move(reply));
    if (refusal) {
        record_refusal(s, m, *refusal);
    }
}

// Returns why a vote in the current term is refused, or nothing if it is granted.
std::optional<refusal_reason> find_vote_refusal(const state& s, const message& m) {
    if (s.hard.voted_for != 0 && s.hard.voted_for != m.from) {
        return refusal_reason::voted_for_another;
    }
    return is_candidate_log_up_to_date(s, m) ? std::nullopt : std::optional{refusal_reason::older_log};
}

void on_vote_request(state& s, const message& m, time_point now, std::mt19937_64& random) {
    const bool transferred = m.kind == message_kind::transfer_vote_request;
    const bool leader_active = !transferred && refuses_elections(s, now);
    if (leader_active || m.term < s.hard.term) {
        s.out.messages.push_back(make_message(s, message_kind::vote_reply, m.from));
        record_refusal(s, m, leader_active ? refusal_reason::leader_active : refusal_reason::older_term);
        return;
    }
    if (m.term > s.hard.term) {
        become_follower(s, m.term, 0, now, random);
    }
    message reply = make_message(s, message_kind::vote_reply, m.from);
    const auto refusal = find_vote_refusal(s, m);
    reply.granted = !refusal;
    if (refusal) {
        record_refusal(s, m, *refusal);
    } else if (s.hard.voted_for == 0) {
        s.hard.voted_for = m.from;
        store_hard_state(s);
        reset_election_timer(s, now, random);
    }
    s.out.messages.push_back(std::move(reply));
}

// A leader that has stepped down does not lead again in its term, so no lease of that term is in the way.
void on_transfer_request(state& s, const message& m, time_point now, std::mt19937_64& random) {
    const bool is_current = m.term == s.hard.term && s.current_role != role::leader;
    if (is_current && is_voter(s.members, s.self)) {
        start_election(s, message_kind::transfer_vote_request, now, random);
    }
}

void on_vote_reply(state& s, const message& m, time_point now, std::mt19937_64& random) {
    if (!m.granted && m.term > s.hard.term) {
        become_follower(s, m.term, 0, now, random);
        return;
    }
    const bool pre = m.kind == message_kind::pre_vote_reply;
    const bool awaited = pre ? s.current_role == role::pre_candidate && m.term == s.hard.term + 1
                             : s.current_role == role::candidate && m.term == s.hard.term;
    if (!awaited || !m.granted) {
        return;
    }
    s.votes[m.from] = true;
    if (!has_vote_majority(s)) {
        return;
    }
    if (pre) {
        start_election(s, message_kind::vote_request, now, random);
    } else {
        become_leader(s, now);
    }
}

//-----------------------------------------------------------------------------
// [messages]
//-----------------------------------------------------------------------------

// Returns false for a message from a leader of an older term, after replying to it.
bool accept_leader_message(state& s, const message& m, message_kind reply_kind, time_point now,
                           std::mt19937_64& random) {
    if (m.term < s.hard.term) {
        s.out.messages.push_back(make_message(s, reply_kind, m.from));
        return false;
    }
    if (m.term > s.hard.term || s.current_role != role::follower || s.leader != m.from) {
        become_follower(s, m.term, m.from, now, random);
    }
    s.last_leader_contact = now;
    reset_election_timer(s, now, random);
    return true;
}

void on_append_request(state& s, const message& m, time_point now, std::mt19937_64& random) {
    if (!accept_leader_message(s, m, message_kind::append_reply, now, random)) {
        return;
    }
    message reply = make_message(s, message_kind::append_reply, m.from);
    reply.round = m.round;
    const bool before_snapshot = m.log_index < s.snap.index;
    if (!before_snapshot && (m.log_index > last_index(s) || term_at(s, m.log_index) != m.log_term)) {
        reply.granted = false;
        reply.log_index = std::min(m.log_index == 0 ? 0 : m.log_index - 1, last_index(s));
        s.out.messages.push_back(std::move(reply));
        return;
    }
    for (const entry& e : m.entries) {
        if (e.index > s.snap.index && term_at(s, e.index) != e.term) {
            store_entry(s, e);
        }
    }
    const std::uint64_t matched = std::max(s.snap.index, m.log_index + m.entries.size());
    reply.granted = true;
    reply.log_index = matched;
    s.commit = std::max(s.commit, std::min(m.commit, matched));
    deliver_committed(s);
    s.out.messages.push_back(std::move(reply));
}

void on_snapshot_request(state& s, const message& m, time_point now, std::mt19937_64& random) {
    if (!m.snap || !accept_leader_message(s, m, message_kind::snapshot_reply, now, random)) {
        return;
    }
    message reply = make_message(s, message_kind::snapshot_reply, m.from);
    reply.round = m.round;
    reply.granted = true;
    if (m.snap->index > s.commit) {
        s.snap = *m.snap;
        s.log.clear();
        s.log_bytes = 0;
        s.commit = s.snap.index;
        s.delivered = s.snap.index;
        s.persisted = s.snap.index;
        refresh_members(s);
        s.out.committed.clear();
        s.out.restored = s.snap;
        s.out.records.push_back(record{.hard = {}, .log_entry = {}, .snap = s.snap});
    }
    reply.log_index = s.commit;
    s.out.messages.push_back(std::move(reply));
}

void record_ack_time(const state& s, progress& p, const message& m, time_point now) {
    const auto sent = s.round_sent_at.find(m.round);
    if (sent == s.round_sent_at.end()) {
        return;
    }
    p.acked_round_sent_at = std::max(p.acked_round_sent_at, sent->second);
    p.ack_delay += (now - sent->second - p.ack_delay) / ack_delay_samples;
    p.acked = true;
}

// Ignores a refusal that reports no gap before the entries in flight: they have just not arrived yet, and
// sending large entries again for each such refusal would overload the peer.
void on_append_refused(state& s, progress& p, const message& m, time_point now) {
    const bool in_flight = has_entries_in_flight(p) || p.snapshot_in_flight;
    if (in_flight && m.log_index >= p.in_flight_base) {
        return;
    }
    p.next = std::max<std::uint64_t>(p.match + 1, m.log_index + 1);
    p.in_flight_base = p.next - 1;
    send_append(s, m.from, p, now);
}

void on_append_reply(state& s, const message& m, time_point now, std::mt19937_64& random) {
    if (m.term > s.hard.term) {
        become_follower(s, m.term, 0, now, random);
        return;
    }
    const auto found = s.peers.find(m.from);
    if (s.current_role != role::leader || m.term != s.hard.term || found == s.peers.end()) {
        return;
    }
    progress& p = found->second;
    record_ack_time(s, p, m, now);
    if (!m.granted) {
        on_append_refused(s, p, m, now);
        return;
    }
    p.snapshot_in_flight = false;
    if (m.log_index > p.match) {
        p.match = m.log_index;
        reset_resend_backoff(s, p, now);
    }
    p.in_flight_base = std::max(p.in_flight_base, p.match);
    p.next = std::max(p.next, p.match + 1);
    const std::uint64_t commit_before = s.commit;
    advance_commit(s);
    if (s.commit > commit_before) {
        broadcast(s, now, false); // tells followers the new commit index at once
    } else if (p.next <= last_index(s)) {
        send_append(s, m.from, p, now);
    }
}

bool majority_acked_since(const state& s, time_point since) {
    std::size_t acked = 0;
    for (const member& m : s.members.members) {
        if (!m.voter) {
            continue;
        }
        const auto p = s.peers.find(m.id);
        const bool has_recent_ack =
            p != s.peers.end() && p->second.acked && p->second.acked_round_sent_at >= since;
        acked += (m.id == s.self || has_recent_ack) ? 1 : 0;
    }
    return acked >= majority(s);
}

void tick_leader(state& s, time_point now, std::mt19937_64& random) {
    const duration quorum_timeout = s.config.election_timeout * 2;
    if (now - s.became_leader_at > quorum_timeout && !majority_acked_since(s, now - quorum_timeout)) {
        become_follower(s, s.hard.term, 0, now, random);
        return;
    }
    // A leader that was removed steps down once the new configuration has committed.
    if (find_member(s.members, s.self) == nullptr && s.commit >= s.members_index) {
        become_follower(s, s.hard.term, 0, now, random);
        return;
    }
    if (now - s.last_heartbeat < s.config.heartbeat_interval) {
        return;
    }
    for (auto& [id, p] : s.peers) {
        rewind_if_ack_overdue(p, now);
    }
    broadcast(s, now, true);
}

} // namespace

//-----------------------------------------------------------------------------
// [public functions]
//-----------------------------------------------------------------------------

std::vector<node_id> awaited_voters(const state& s) {
    std::vector<node_id> awaited;
    if (s.current_role != role::pre_candidate && s.current_role != role::candidate) {
        return awaited;
    }
    for (const member& m : s.members.members) {
        if (m.voter && !s.votes.contains(m.id)) {
            awaited.push_back(m.id);
        }
    }
    return awaited;
}

const member* find_member(const configuration& c, node_id id) {
    const auto found =
        std::find_if(c.members.begin(), c.members.end(), [id](const member& m) { return m.id == id; });
    return found == c.members.end() ? nullptr : &*found;
}

bool is_voter(const configuration& c, node_id id) {
    const member* m = find_member(c, id);
    return m != nullptr && m->voter;
}

std::uint64_t last_index(const state& s) {
    return s.snap.index + s.log.size();
}

std::uint64_t term_at(const state& s, std::uint64_t index) {
    if (index == s.snap.index) {
        return s.snap.term;
    }
    const entry* e = entry_at(s, index);
    return e == nullptr ? 0 : e->term;
}

std::optional<std::vector<entry>> committed_after(const state& s, std::uint64_t from, std::size_t limit) {
    if (from < s.snap.index) {
        return std::nullopt;
    }
    std::vector<entry> found;
    for (std::uint64_t i = from + 1; i <= s.commit && found.size() < limit; ++i) {
        found.push_back(*entry_at(s, i));
    }
    return found;
}

state make_state(node_id self, const settings& config, const recovered_state& recovered, time_point now,
                 std::mt19937_64& random) {
    state s;
    s.self = self;
    s.config = config;
    s.hard = recovered.hard;
    s.snap = recovered.snap;
    s.log.assign(recovered.log.begin(), recovered.log.end());
    for (const entry& e : s.log) {
        s.log_bytes += e.command.size();
    }
    s.commit = s.snap.index;
    s.delivered = s.snap.index;
    s.persisted = last_index(s);
    refresh_members(s);
    if (s.snap.index > 0) {
        s.out.restored = s.snap;
    }
    // This node may have had contact with a leader just before it stopped, so it waits until that lease has
    // expired.
    s.last_leader_contact = now;
    reset_election_timer(s, now, random);
    if (is_voter(s.members, self)) {
        set_initial_election_timer(s, now);
    }
    return s;
}

bool bootstrap(state& s, const configuration& founders, time_point now, std::mt19937_64& random) {
    if (last_index(s) != 0 || s.hard.term != 0 || !is_voter(founders, s.self)) {
        return false;
    }
    // No node leads in term 1, so the first entry cannot conflict with another one.
    s.hard = hard_state{.term = 1, .voted_for = s.self};
    store_hard_state(s);
    entry first;
    first.index = 1;
    first.term = 1;
    first.config = founders;
    store_entry(s, first);
    reset_election_timer(s, now, random);
    return true;
}

void tick(state& s, time_point now, std::mt19937_64& random) {
    if (s.current_role == role::leader) {
        tick_leader(s, now, random);
    } else if (now >= s.election_deadline) {
        start_pre_vote(s, now, random);
    }
}

void step(state& s, const message& m, time_point now, std::mt19937_64& random) {
    if (m.to != s.self) {
        return;
    }
    switch (m.kind) {
    case message_kind::pre_vote_request: on_pre_vote_request(s, m, now); break;
    case message_kind::vote_request:
    case message_kind::transfer_vote_request: on_vote_request(s, m, now, random); break;
    case message_kind::transfer_request: on_transfer_request(s, m, now, random); break;
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply: on_vote_reply(s, m, now, random); break;
    case message_kind::append_request: on_append_request(s, m, now, random); break;
    case message_kind::snapshot_request: on_snapshot_request(s, m, now, random); break;
    case message_kind::append_reply:
    case message_kind::snapshot_reply: on_append_reply(s, m, now, random); break;
    }
}

std::uint64_t propose(state& s, const std::string& command, time_point now) {
    if (s.current_role != role::leader) {
        return 0;
    }
    entry e;
    e.index = last_index(s) + 1;
    e.term = s.hard.term;
    e.command = command;
    store_entry(s, e);
    broadcast(s, now, false);
    return e.index;
}

std::uint64_t propose_members(state& s, const configuration& next, time_point now) {
    if (s.current_role != role::leader || s.commit < s.members_index || !leader_is_ready(s)) {
        return 0;
    }
    entry e;
    e.index = last_index(s) + 1;
    e.term = s.hard.term;
    e.config = next;
    store_entry(s, e);
    broadcast(s, now, false);
    return e.index;
}

bool transfer_leadership(state& s, node_id to, time_point now, std::mt19937_64& random) {
    const auto peer = s.peers.find(to);
    const bool may_lead = s.current_role == role::leader && is_voter(s.members, to) &&
                          peer != s.peers.end() && peer->second.acked && peer->second.match == last_index(s);
    if (!may_lead) {
        return false;
    }
    become_follower(s, s.hard.term, 0, now, random);
    s.last_leader_contact = now;
    s.out.messages.push_back(make_message(s, message_kind::transfer_request, to));
    return true;
}

void on_persisted(state& s, std::uint64_t index, std::uint64_t term, time_point now) {
    if (index > last_index(s) || term_at(s, index) != term) {
        return; // replaced while it was being synced; the sync of the replacement calls this again
    }
    s.persisted = std::max(s.persisted, index);
    if (s.current_role != role::leader) {
        return;
    }
    const std::uint64_t before = s.commit;
    advance_commit(s);
    if (s.commit > before) {
        broadcast(s, now, false);
    }
}

void compact(state& s, std::uint64_t index, const std::string& data) {
    if (index <= s.snap.index || index > s.delivered) {
        return;
    }
    snapshot next;
    next.index = index;
    next.term = term_at(s, index);
    next.config = s.snap.config;
    next.data = data;
    while (!s.log.empty() && s.log.front().index <= index) {
        if (s.log.front().config) {
            next.config = *s.log.front().config;
        }
        s.log_bytes -= s.log.front().command.size();
        s.log.pop_front();
    }
    s.snap = next;
    s.out.records.push_back(record{.hard = {}, .log_entry = {}, .snap = next});
}

output take_output(state& s) {
    output taken = std::move(s.out);
    s.out = output{};
    taken.persist_index = last_index(s);
    taken.persist_term = term_at(s, taken.persist_index);
    return taken;
}

bool leader_has_lease(const state& s, time_point now) {
    if (s.current_role != role::leader) {
        return false;
    }
    const auto window = duration{static_cast<std::int64_t>(
        static_cast<double>(s.config.election_timeout.count()) * (1.0 - 2 * clock_drift_bound))};
    return majority_acked_since(s, now - window);
}

bool leader_is_ready(const state& s) {
    return s.current_role == role::leader && term_at(s, s.commit) == s.hard.term;
}

} // namespace larchpin::raft
