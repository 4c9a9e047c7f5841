#include "core/positions.hpp"

#include <algorithm>

namespace larchpin {
namespace {

// Drops every second sample of the older half; old samples are needed for coarse staleness bounds only.
void downsample_older_half(std::deque<position_sample>& samples) {
    std::deque<position_sample> kept;
    const std::size_t half = samples.size() / 2;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        if (i >= half || i % 2 == 0) {
            kept.push_back(samples[i]);
        }
    }
    samples = std::move(kept);
}

} // namespace

void add_primary_sample(group_positions& g, term_number term, const position_sample& sample) {
    if (term < g.term) {
        return;
    }
    if (term > g.term) {
        g.term = term;
        g.primary_samples.clear();
    }
    // Samples from several observers may arrive out of order; an older one adds no information.
    if (!g.primary_samples.empty() && sample.not_before <= g.primary_samples.back().not_before) {
        return;
    }
    g.primary_samples.push_back(sample);
    if (g.primary_samples.size() > max_primary_samples) {
        downsample_older_half(g.primary_samples);
    }
}

void add_server_sample(group_positions& g, const server_id& server, const position_sample& sample,
                       time_point answered_by) {
    server_position& known = g.servers[server];
    if (sample.not_before < known.newest.not_before) {
        return;
    }
    known.newest = sample;
    // The first sample of the primary beyond the server's position dates the oldest write that the server may
    // lack.
    const auto beyond =
        std::partition_point(g.primary_samples.begin(), g.primary_samples.end(),
                             [&sample](const auto& s) { return s.position <= sample.position; });
    known.lag = beyond == g.primary_samples.end() ? duration{0}
                                                  : std::max(duration{0}, answered_by - beyond->not_before);
}

bool likely_has_position(const group_positions& g, const server_id& server, std::uint64_t timeline,
                         log_position position, time_point now, duration max_sample_age) {
    const auto found = g.servers.find(server);
    if (found == g.servers.end() || now - found->second.newest.not_before > max_sample_age) {
        return true; // no usable sample: a query to the server provides one
    }
    const server_position& p = found->second;
    if (p.newest.timeline == timeline && p.newest.position >= position) {
        return true;
    }
    const auto reached = std::partition_point(g.primary_samples.begin(), g.primary_samples.end(),
                                              [position](const auto& s) { return s.position < position; });
    return reached != g.primary_samples.end() && now - reached->not_before >= p.lag;
}

std::optional<time_point> fresh_as_of(const group_positions& g, const server_id& server,
                                      std::uint64_t timeline) {
    const auto position = known_position(g, server, timeline);
    if (!position) {
        return std::nullopt;
    }
    // Positions increase with time, so the last sample not beyond the replica is the newest one that it
    // covers.
    const auto after = std::partition_point(g.primary_samples.begin(), g.primary_samples.end(),
                                            [&position](const auto& s) { return s.position <= *position; });
    if (after == g.primary_samples.begin()) {
        return std::nullopt;
    }
    return std::prev(after)->not_before;
}

std::optional<log_position> known_position(const group_positions& g, const server_id& server,
                                           std::uint64_t timeline) {
    const auto found = g.servers.find(server);
    if (found == g.servers.end() || found->second.newest.timeline != timeline) {
        return std::nullopt;
    }
    return found->second.newest.position;
}

std::optional<log_position> oldest_primary_position_since(const group_positions& g, term_number term,
                                                          time_point since) {
    const auto first = std::partition_point(g.primary_samples.begin(), g.primary_samples.end(),
                                            [since](const auto& s) { return s.not_before < since; });
    if (g.term != term || first == g.primary_samples.end()) {
        return std::nullopt;
    }
    return first->position;
}

std::optional<log_position> primary_position_since(const group_positions& g, term_number term,
                                                   time_point since) {
    if (g.term != term || g.primary_samples.empty() || g.primary_samples.back().not_before < since) {
        return std::nullopt;
    }
    return g.primary_samples.back().position;
}

} // namespace larchpin
