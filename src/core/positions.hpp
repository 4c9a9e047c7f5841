// Log positions of backend servers, and the bounds on replica staleness that follow from them.
//
// A sample of the primary states that at `not_before` or later the true primary was at `position`. A replica
// at or beyond that position holds every write acknowledged before `not_before`, so its staleness is at most
// now - not_before. A replica of unknown staleness is not considered fresh.
//
// Caveat: samples of the primary must be added only while the daemon's lease is live. A replaced primary may
// continue to answer, and its samples would make stale replicas look fresh.
#pragma once

#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>

namespace larchpin {

struct position_sample {
    time_point not_before{}; // the server was queried at this time or later
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const position_sample&) const = default;
};

struct server_position {
    position_sample newest;
    duration lag{0}; // upper bound of the replication lag at that time; 0 also if unknown
    auto operator<=>(const server_position&) const = default;
};

struct group_positions {
    term_number term = 0;                        // term of the primary's samples
    std::deque<position_sample> primary_samples; // oldest first; downsampled above max_primary_samples
    std::map<server_id, server_position> servers;
    bool operator==(const group_positions&) const = default;
};

constexpr std::size_t max_primary_samples = 512;

// Adds a sample of the primary. A newer term discards the stored samples; a sample of an older term is
// ignored.
void add_primary_sample(group_positions& g, term_number term, const position_sample& sample);
// Adds a sample of any server. `answered_by`: latest time at which the server had answered.
void add_server_sample(group_positions& g, const server_id& server, const position_sample& sample,
                       time_point answered_by);

// Returns true if the server has probably reached this position, extrapolated from its lag at the last query.
// A sample older than `max_sample_age` is ignored, however often it is reported, and the result is then true.
// This is an estimate: use it only for servers that enforce the floor position themselves.
bool likely_has_position(const group_positions& g, const server_id& server, std::uint64_t timeline,
                         log_position position, time_point now, duration max_sample_age);

// Returns a time such that the server holds every write acknowledged before it; nothing if unknown.
std::optional<time_point> fresh_as_of(const group_positions& g, const server_id& server,
                                      std::uint64_t timeline);

// Returns the server's newest known position on this timeline; nothing if unknown.
std::optional<log_position> known_position(const group_positions& g, const server_id& server,
                                           std::uint64_t timeline);

// Returns the lowest known position of the primary that covers every write acknowledged before `since`: the
// position of the oldest sample queried at or after it. Nothing if there is no such sample.
std::optional<log_position> oldest_primary_position_since(const group_positions& g, term_number term,
                                                          time_point since);

// Returns the newest position of the primary if it was queried at or after `since`; nothing otherwise.
std::optional<log_position> primary_position_since(const group_positions& g, term_number term,
                                                   time_point since);

} // namespace larchpin
