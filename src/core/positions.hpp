// What a daemon can prove about how far each backend server's log has come.
//
// A sample of the primary says: at some moment not before `not_before`, the true primary was at `position`.
// A replica at or beyond that position holds every write acknowledged before `not_before`, so its data is
// at most now - not_before old. Nothing else counts as fresh: an unknown age is not fresh.
//
// Caveat: a sample of the primary is taken in only while the daemon's lease is live. A primary that was
// replaced goes on answering, and its samples would make stale replicas look fresh.
#pragma once

#include "core/types.hpp"

#include <deque>
#include <map>
#include <optional>

namespace larchpin {

struct position_sample {
    time_point not_before{}; // the server was asked at this moment or later
    std::uint64_t timeline = 0;
    log_position position = 0;
    auto operator<=>(const position_sample&) const = default;
};

struct server_position {
    position_sample newest;
    duration lag{0}; // how far behind the primary it was then, at most; 0 also where that is not known
    auto operator<=>(const server_position&) const = default;
};

struct group_positions {
    term_number term = 0;                // that the primary's samples belong to
    std::deque<position_sample> primary_samples; // oldest first; thinned out when there are many
    std::map<server_id, server_position> servers;
    bool operator==(const group_positions&) const = default;
};

constexpr std::size_t max_primary_samples = 512;

// Samples of a new term start afresh; those of an older term are dropped.
void add_primary_sample(group_positions& g, term_number term, const position_sample& sample);
// `taken_by`: the server had answered by then.
void add_server_sample(group_positions& g, const server_id& server, const position_sample& sample,
                       time_point answered_by);

// Whether the server most likely holds this position by now, going by its lag when it was asked last. What
// was asked longer ago than `trust` says nothing, however often it is told. A guess: only a server that
// enforces the floor may be chosen by it.
bool likely_has_position(const group_positions& g, const server_id& server, std::uint64_t timeline,
                       log_position position, time_point now, duration max_sample_age);

// A moment such that the server holds every write acknowledged before it; nothing where unknown.
std::optional<time_point> fresh_as_of(const group_positions& g, const server_id& server,
                                      std::uint64_t timeline);

// The newest known position on this timeline; nothing where unknown.
std::optional<log_position> known_position(const group_positions& g, const server_id& server,
                                           std::uint64_t timeline);

// The lowest known position of the primary that holds every write acknowledged before this moment: that of
// the oldest sample asked at or after it. Nothing where there is no such sample.
std::optional<log_position> oldest_primary_position_since(const group_positions& g, term_number term,
                                                          time_point since);

// The primary's position as asked at or after this moment; nothing where none is known yet.
std::optional<log_position> primary_position_since(const group_positions& g, term_number term,
                                                   time_point since);

} // namespace larchpin
