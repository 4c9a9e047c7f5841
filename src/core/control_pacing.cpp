#include "core/control_pacing.hpp"

#include <algorithm>
#include <variant>

namespace larchpin {
namespace {

constexpr int max_renewals_per_lease = 5;
// A renewal costs a leader about 0.1 ms of processor time, so this rate uses a sixteenth of a processor.
constexpr std::int64_t target_renewals_per_second = 600;
// A leader with a third of a processor spends a third of its time on urgent notifications at these intervals.
constexpr duration notification_interval_per_instance = std::chrono::microseconds{1000};
constexpr duration urgent_notification_interval_per_instance = std::chrono::microseconds{300};
constexpr duration max_notification_interval = std::chrono::milliseconds{300};
constexpr duration max_urgent_notification_interval = std::chrono::milliseconds{100};
constexpr std::size_t max_unpaced_instances = 40; // notified of each revision separately
constexpr duration search_backoff_per_instance = std::chrono::microseconds{500};
constexpr duration max_search_backoff = std::chrono::milliseconds{150};

duration paced_interval(std::size_t instance_count, duration per_instance, duration max_interval) {
    if (instance_count <= max_unpaced_instances) {
        return duration{0};
    }
    return std::min(per_instance * static_cast<std::int64_t>(instance_count), max_interval);
}

} // namespace

duration renewal_interval(duration lease, std::size_t instance_count) {
    const duration min_interval = lease / max_renewals_per_lease;
    const duration paced = duration{std::chrono::seconds{1}} * static_cast<std::int64_t>(instance_count) /
                           target_renewals_per_second;
    return std::clamp(paced, min_interval, min_interval * 2);
}

duration notification_interval(std::size_t instance_count) {
    return paced_interval(instance_count, notification_interval_per_instance, max_notification_interval);
}

duration urgent_notification_interval(std::size_t instance_count) {
    return paced_interval(instance_count, urgent_notification_interval_per_instance,
                          max_urgent_notification_interval);
}

duration leader_search_backoff(duration min_backoff, std::size_t instance_count) {
    const duration paced = search_backoff_per_instance * static_cast<std::int64_t>(instance_count);
    return std::max(min_backoff, std::min(paced, max_search_backoff));
}

bool is_urgent(const command& c, const cluster_state& before) {
    if (const auto* server = std::get_if<register_server>(&c)) {
        return before.servers.contains(server->record.id) || server->record.leaving;
    }
    if (const auto* group = std::get_if<set_group>(&c)) {
        const auto known = before.groups.find(group->next.id);
        if (known == before.groups.end()) {
            return false;
        }
        group_record only_positions = known->second; // what follows from them need not be known at once
        only_positions.seen_position = group->next.seen_position;
        only_positions.confirmed_position = group->next.confirmed_position;
        only_positions.acknowledged_position = group->next.acknowledged_position;
        return only_positions != group->next;
    }
    return std::holds_alternative<edit_table>(c) || std::holds_alternative<remove_server>(c);
}

} // namespace larchpin
