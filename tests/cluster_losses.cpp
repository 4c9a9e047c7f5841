// Tolerated losses of control instances: see cluster_model.hpp.
#include "cluster_model.hpp"

#include <algorithm>
#include <numeric>

namespace larchpin::testing {
namespace {

constexpr duration catch_up_time = std::chrono::seconds{6}; // an instance counts as lost this much longer
constexpr int max_loss_ms = 5000;
constexpr std::size_t domains = 3; // instances belong to them in turn

} // namespace

std::size_t cluster_model::count_lost() const {
    return static_cast<std::size_t>(std::count_if(
        controls_.begin(), controls_.end(), [this](const auto& c) { return !c.up || now_ < c.lost_until; }));
}

void cluster_model::restart_stopped_controls() {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        model_control& c = controls_[i];
        if (!c.up && c.restart_at != time_point{} && now_ >= c.restart_at) {
            c.restart_at = {};
            start_control(i, false);
        }
    }
}

bool cluster_model::has_all_voters() const {
    return std::any_of(controls_.begin(), controls_.end(), [this](const model_control& c) {
        return c.up && is_active_leader(c.core, clock_of(c)) && has_enough_voters(c.core);
    });
}

void cluster_model::cut_off_domain(std::size_t first) {
    ++outages;
    const time_point until = now_ + duration{std::chrono::milliseconds{random_up_to(max_loss_ms)}};
    for (std::size_t i = first; i < controls_.size(); i += domains) {
        controls_[i].partitioned_until = until;
        controls_[i].lost_until = until + catch_up_time;
    }
}

void cluster_model::inject_tolerated_loss() {
    founded_ = founded_ || has_all_voters();
    if (founded_ && chance(rates_.domain_cut) && count_lost() == 0) {
        cut_off_domain(static_cast<std::size_t>(random_up_to(static_cast<int>(domains) - 1)));
    }
    if (!founded_ || !chance(rates_.tolerated_loss) || count_lost() >= rates_.tolerated_losses) {
        return;
    }
    const auto i = static_cast<std::size_t>(random_up_to(rates_.controls - 1));
    model_control& c = controls_[i];
    if (!c.up || now_ < c.lost_until) {
        return;
    }
    ++outages;
    const time_point until = now_ + duration{std::chrono::milliseconds{random_up_to(max_loss_ms)}};
    c.lost_until = until + catch_up_time;
    enum kind { stop, freeze, cut, cut_from_peers, lose_disk, kinds };
    switch (random_up_to(kinds - 1)) {
    case stop:
        stop_control(i);
        c.restart_at = until;
        break;
    case freeze: c.frozen_until = until; break;
    case cut: c.partitioned_until = until; break;
    case cut_from_peers: c.peer_partitioned_until = until; break;
    default:
        ++disks_lost;
        stop_control(i);
        c.disk.clear();
        start_control(i, true);
        c.frozen_until = until; // until the machine has restarted
        c.disk_lost_until = c.lost_until;
        break;
    }
}

bool cluster_model::has_all_decided_edits(const control_core& core) const {
    return std::all_of(decided_.begin(), decided_.end(), [&core](const auto& edit) {
        return edit.second.revision <= core.cluster.revision && find_change(core.cluster, edit.first);
    });
}

std::string cluster_model::run_power_loss(bool beside_losses) {
    if (!beside_losses) {
        rates_.tolerated_loss = 0;
        rates_.domain_cut = 0;
        while (violation_.empty() && count_lost() > 0) {
            restart_stopped_controls();
            step();
        }
    }
    const std::size_t decided = decided_.size();
    for (int i = 0; i < 10'000 && violation_.empty() && decided_.size() == decided; ++i) {
        step();
    }
    if (decided_.size() == decided) {
        return "no edit is decided although no more are lost than is tolerated";
    }
    const auto lost = static_cast<std::size_t>(std::count_if(
        controls_.begin(), controls_.end(), [this](const auto& c) { return now_ < c.disk_lost_until; }));
    return lose_power_and_disks(rates_.tolerated_losses - lost);
}

std::string cluster_model::lose_power_and_disks(std::size_t disks) {
    std::vector<std::size_t> order(controls_.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    // An instance without a disk has none to lose.
    std::stable_partition(order.begin(), order.end(),
                          [this](std::size_t i) { return now_ >= controls_[i].disk_lost_until; });
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        stop_control(i);
    }
    for (std::size_t n = 0; n < order.size(); ++n) {
        const bool empty_disk = n < disks;
        disks_lost += empty_disk ? 1 : 0;
        start_control(order[n], empty_disk);
        controls_[order[n]].frozen_until = now_ + duration{std::chrono::milliseconds{random_up_to(300)}};
    }
    std::string not_recovered = run_until_healthy();
    if (!not_recovered.empty()) {
        return not_recovered;
    }
    const bool kept = std::any_of(controls_.begin(), controls_.end(), [this](const model_control& c) {
        return is_active_leader(c.core, clock_of(c)) && has_all_decided_edits(c.core);
    });
    return kept ? "" : "a decided edit is lost";
}

} // namespace larchpin::testing
