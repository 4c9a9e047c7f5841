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

bool record_acknowledgement(acknowledgement_ledger& l, const group_id& group, term_number term,
                            log_position before, log_position position) {
    if (position > before) {
        merge_mark(l.groups[group].mark,
                   {.group = group, .term = term, .confirmed = before + 1, .highest = position});
    }
    return position >= before;
}

std::vector<acknowledged_mark> find_untold_marks(const acknowledgement_ledger& l, std::uint64_t leader_term) {
    std::vector<acknowledged_mark> untold;
    for (const auto& [id, entry] : l.groups) {
        if (entry.told_to != leader_term || entry.told != entry.mark) {
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
