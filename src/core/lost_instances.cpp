#include "core/lost_instances.hpp"

namespace larchpin {
namespace {

constexpr std::size_t bits_per_byte = 8;
// Of a lease: often enough that the look adds little to the lease that has to end first.
constexpr int looks_per_lease = 20;
constexpr int stood_still_part = 4; // a leader that has not looked for this part of a lease
constexpr int blind_part = 2;       // of a lease, in which everyone renews more than once

} // namespace

//-----------------------------------------------------------------------------
// [control's side]
//-----------------------------------------------------------------------------

bool is_time_to_look(lost_ledger& l, duration lease, time_point now) {
    if (l.looked_at != time_point{} && now - l.looked_at < lease / looks_per_lease) {
        return false;
    }
    if (l.looked_at != time_point{} && now - l.looked_at >= lease / stood_still_part) {
        l.blind_until = now + lease / blind_part;
    }
    l.looked_at = now;
    return now >= l.blind_until;
}

bool set_lost(lost_ledger& l, std::set<instance_id> lost) {
    l.is_known = true;
    if (lost == l.lost) {
        return false;
    }
    l.lost = std::move(lost);
    ++l.changes;
    return true;
}

bool note_back(lost_ledger& l, const instance_id& id) {
    if (l.lost.erase(id) == 0) {
        return false;
    }
    ++l.changes;
    return true;
}

std::string encode_lost(const std::set<instance_id>& lost,
                        const std::map<instance_id, instance_record>& instances) {
    std::string bits((instances.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    std::size_t place = 0;
    for (const auto& [id, record] : instances) {
        if (lost.contains(id)) {
            const unsigned before = static_cast<unsigned char>(bits[place / bits_per_byte]);
            bits[place / bits_per_byte] = static_cast<char>(before | (1U << (place % bits_per_byte)));
        }
        ++place;
    }
    return bits;
}

//-----------------------------------------------------------------------------
// [a daemon's side]
//-----------------------------------------------------------------------------

bool take_news(known_lost& k, const lost_news& news, const cluster_state& s) {
    if (news.number == 0) {
        k = {};
        return true;
    }
    const std::size_t bytes = (s.instances.size() + bits_per_byte - 1) / bits_per_byte;
    if (news.instances_revision != s.instances_revision || news.bits.size() != bytes) {
        return false;
    }
    k.number = news.number;
    k.lost.clear();
    std::size_t place = 0;
    for (const auto& [id, record] : s.instances) {
        const unsigned byte = static_cast<unsigned char>(news.bits[place / bits_per_byte]);
        if ((byte >> (place % bits_per_byte) & 1U) != 0) {
            k.lost.insert(id);
        }
        ++place;
    }
    return true;
}

} // namespace larchpin
