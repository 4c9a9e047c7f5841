#include "core/lost_instances.hpp"

namespace larchpin {
namespace {

constexpr std::size_t bits_per_byte = 8;
// A loss is detected one check interval after the lease has expired at the latest. 20 checks per lease keep
// this interval small beside the lease.
constexpr int checks_per_lease = 20;
constexpr int stall_divisor = 4; // a leader without a check for lease / stall_divisor was stalled
// Grace period is lease / grace_divisor; each instance renews several times in it.
constexpr int grace_divisor = 2;

} // namespace

//-----------------------------------------------------------------------------
// [control instance]
//-----------------------------------------------------------------------------

bool is_check_due(lost_instances_tracker& l, duration lease, time_point now) {
    if (l.checked_at != time_point{} && now - l.checked_at < lease / checks_per_lease) {
        return false;
    }
    if (l.checked_at != time_point{} && now - l.checked_at >= lease / stall_divisor) {
        l.grace_until = now + lease / grace_divisor;
    }
    l.checked_at = now;
    return now >= l.grace_until;
}

bool set_lost(lost_instances_tracker& l, std::set<instance_id> lost) {
    l.is_known = true;
    if (lost == l.instances) {
        return false;
    }
    l.instances = std::move(lost);
    ++l.change_count;
    return true;
}

bool remove_lost(lost_instances_tracker& l, const instance_id& id) {
    if (l.instances.erase(id) == 0) {
        return false;
    }
    ++l.change_count;
    return true;
}

std::string encode_lost(const std::set<instance_id>& lost,
                        const std::map<instance_id, instance_record>& instances) {
    std::string bits((instances.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    std::size_t index = 0;
    for (const auto& [id, record] : instances) {
        if (lost.contains(id)) {
            const unsigned byte = static_cast<unsigned char>(bits[index / bits_per_byte]);
            bits[index / bits_per_byte] = static_cast<char>(byte | (1U << (index % bits_per_byte)));
        }
        ++index;
    }
    return bits;
}

//-----------------------------------------------------------------------------
// [daemon]
//-----------------------------------------------------------------------------

bool apply_lost_instances_update(lost_instance_set& k, const lost_instances_update& update,
                                 const cluster_state& s) {
    if (update.version == 0) {
        k = {};
        return true;
    }
    const std::size_t bytes = (s.instances.size() + bits_per_byte - 1) / bits_per_byte;
    if (update.instances_revision != s.instances_revision || update.bits.size() != bytes) {
        return false;
    }
    k.version = update.version;
    k.instances.clear();
    std::size_t index = 0;
    for (const auto& [id, record] : s.instances) {
        const unsigned byte = static_cast<unsigned char>(update.bits[index / bits_per_byte]);
        if ((byte >> (index % bits_per_byte) & 1U) != 0) {
            k.instances.insert(id);
        }
        ++index;
    }
    return true;
}

} // namespace larchpin
