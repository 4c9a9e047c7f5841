#include "core/control_talk.hpp"

#include <algorithm>
#include <variant>

namespace larchpin {
namespace {

constexpr int usual_renewals_per_lease = 5;
// A renewal costs a leader about 0.1 ms of a processor, so these are a sixteenth of one.
constexpr std::int64_t renewals_per_second = 600;
// Told of urgent news a leader is in use for a third of its time, where it has a third of a processor.
constexpr duration news_per_instance = std::chrono::microseconds{1000};
constexpr duration urgent_news_per_instance = std::chrono::microseconds{300};
constexpr duration longest_news_interval = std::chrono::milliseconds{300};
constexpr duration longest_urgent_news_interval = std::chrono::milliseconds{100};
constexpr std::size_t few_instances = 40; // told of each revision by itself
constexpr duration search_per_instance = std::chrono::microseconds{500};
constexpr duration longest_search_pause = std::chrono::milliseconds{150};

duration interval_for(std::size_t instances, duration each, duration longest) {
    if (instances <= few_instances) {
        return duration{0};
    }
    return std::min(each * static_cast<std::int64_t>(instances), longest);
}

} // namespace

duration renewal_interval(duration lease, std::size_t instances) {
    const duration usual = lease / usual_renewals_per_lease;
    const duration paced =
        duration{std::chrono::seconds{1}} * static_cast<std::int64_t>(instances) / renewals_per_second;
    return std::clamp(paced, usual, usual * 2);
}

duration news_interval(std::size_t instances) {
    return interval_for(instances, news_per_instance, longest_news_interval);
}

duration urgent_news_interval(std::size_t instances) {
    return interval_for(instances, urgent_news_per_instance, longest_urgent_news_interval);
}

duration leader_search_pause(duration usual, std::size_t instances) {
    const duration paced = search_per_instance * static_cast<std::int64_t>(instances);
    return std::max(usual, std::min(paced, longest_search_pause));
}

bool is_urgent(const command& c, const cluster_state& before) {
    if (const auto* server = std::get_if<register_server>(&c)) {
        return before.servers.contains(server->record.id) || server->record.leaving;
    }
    if (const auto* group = std::get_if<set_group>(&c)) {
        return before.groups.contains(group->next.id);
    }
    return std::holds_alternative<edit_table>(c) || std::holds_alternative<remove_server>(c);
}

} // namespace larchpin
