#include "core/acknowledgements.hpp"

#include <algorithm>

namespace larchpin {

void merge_mark(acknowledged_mark& known, const acknowledged_mark& told) {
    if (told.term > known.term) {
        known = told;
    } else if (told.term == known.term) {
        known.confirmed = std::max(known.confirmed, told.confirmed);
        known.highest = std::max(known.highest, told.highest);
    }
}

acknowledged_mark make_mark(const group_id& group, term_number term, const commit_start& sent,
                            log_position position) {
    return {.group = group,
            .term = term,
            .confirmed = sent.is_promised ? sent.position + 1 : 0,
            .highest = position};
}

bool record_acknowledgement(acknowledgement_ledger& l, const group_id& group, term_number term,
                            const commit_start& sent, log_position position, time_point now) {
    if (position > sent.position) {
        acknowledgement_ledger::entry& entry = l.groups[group];
        merge_mark(entry.mark, make_mark(group, term, sent, position));
        entry.recorded_at = now;
    }
    return position >= sent.position;
}

std::vector<acknowledged_mark> record_held_marks(acknowledgement_ledger& l, const cluster_state& s,
                                                 const std::vector<acknowledged_mark>& marks,
                                                 time_point now) {
    std::vector<acknowledged_mark> refused;
    for (const acknowledged_mark& mark : marks) {
        const auto group = s.groups.find(mark.group);
        const bool is_over =
            group != s.groups.end() &&
            (group->second.term > mark.term ||
             (group->second.term == mark.term && group->second.phase != group_phase::serving));
        if (is_over || mark.confirmed > mark.highest) {
            refused.push_back(mark);
            continue;
        }
        acknowledgement_ledger::entry& entry = l.groups[mark.group];
        merge_mark(entry.mark, mark);
        entry.recorded_at = now;
    }
    return refused;
}

void drop_outdated_marks(acknowledgement_ledger& l, const cluster_state& s, duration lease, time_point now) {
    for (auto known = l.groups.begin(); known != l.groups.end();) {
        acknowledgement_ledger::entry& entry = known->second;
        const auto group = s.groups.find(known->first);
        entry.is_promised = group != s.groups.end() && group->second.sync_replicas > 0;
        const bool is_outdated = group == s.groups.end() || group->second.term > entry.mark.term ||
                                 (!entry.is_promised && now - entry.recorded_at > lease);
        known = is_outdated ? l.groups.erase(known) : std::next(known);
    }
}

std::vector<acknowledged_mark> find_untold_marks(const acknowledgement_ledger& l, std::uint64_t leader_term) {
    std::vector<acknowledged_mark> untold;
    for (const auto& [id, entry] : l.groups) {
        if (entry.is_promised && (entry.told_to != leader_term || entry.told != entry.mark)) {
            untold.push_back(entry.mark);
        }
    }
    return untold;
}

void record_told_marks(acknowledgement_ledger& l, std::uint64_t leader_term,
                       const std::vector<acknowledged_mark>& told) {
    for (const acknowledged_mark& mark : told) {
        const auto entry = l.groups.find(mark.group);
        if (entry == l.groups.end()) {
            continue;
        }
        if (entry->second.told_to != leader_term) {
            entry->second.told = {};
        }
        entry->second.told_to = leader_term;
        merge_mark(entry->second.told, mark);
    }
}

} // namespace larchpin
