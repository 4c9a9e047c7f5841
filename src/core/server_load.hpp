// How loaded a backend server is, as the instance through which its statements go tells it, and what others
// make of that.
//
// That instance sees everything that runs at the server and everything that waits for it, so its word is
// better than what another instance can tell from its own few requests. The word passes with answers that are
// sent anyway and is worth less with every millisecond: whoever uses it looks at `as_of`.
//
// A word that is half a second old has been heard by all who choose, and all of them would go where it was
// quiet then. So nobody takes the quickest: each draws, by weights that follow the expected times (see
// core/routing), and counts what it sent itself since.
//
// A server that fails a part of what it gets is judged by all of its users' answers together, so one user's
// bad luck changes little. What was failed is forgotten slowly: a server that turns well and bad in turn is
// taken back no quicker than over seconds.
//
// Index
//   [at the lender]  [at a reader]
#pragma once

#include "core/positions.hpp"
#include "core/types.hpp"

#include <map>
#include <optional>

namespace larchpin {

struct server_load {
    server_id server{};
    std::uint64_t start_number = 0; // of the server, that this tells of
    unsigned slots = 0;             // statements that it runs at once; 0: not known
    unsigned running = 0;           // statements there now
    unsigned waiting = 0;           // requests that wait at the instance until they may be sent
    duration response_time{0};       // smoothed time from sending to answer; 0: unknown
    duration queue_delay{0};               // that a request of class "normal" has to expect before it is sent
    double failure_ratio = 0;              // 0..1: share of answers that failed lately, or of what got none
    std::optional<position_sample> position{}; // of its log, by the clock of whoever reads it
    time_point as_of{};                        // by the clock of whoever reads it, at the latest
    auto operator<=>(const server_load&) const = default;
};

//-----------------------------------------------------------------------------
// [at the lender]
//-----------------------------------------------------------------------------

// What the answers of one server tell.
struct response_stats {
    duration response_time{0}; // smoothed; 0: none yet
    duration min_response_time{0}; // the least that `usual` has been, rising slowly
    double failure_ratio = 0; // smoothed share
    double peak_failure_ratio = 0;  // the highest that `failed` has been, at `peak_at`; fades
    time_point peak_at{};
    time_point last_ended_at{}; // the last one, also of what got none
    std::optional<position_sample> position{};
    auto operator<=>(const response_stats&) const = default;
};

// A statement ended: answered after `took`, or not. `failed`: without use to its caller, by the server's
// doing. A refusal for a floor is none of that.
struct statement_outcome {
    duration took{0};
    bool answered = true;
    bool failed = false;
    std::optional<position_sample> position{};
};
void record_outcome(response_stats& a, const statement_outcome& e, time_point now);

// The usual time of an answer. That of a server which nobody asks any more fades towards the least, so that
// one that was slow once is tried again.
duration current_response_time(const response_stats& a, time_point now);

// The share of failures that a request has to expect, 0..1; rises with the answers, and falls slowly.
double current_failure_ratio(const response_stats& a, time_point now);

struct server_usage {
    unsigned slots = 0; // 0: not known
    unsigned running = 0;
    unsigned waiting = 0;
    auto operator<=>(const server_usage&) const = default;
};
server_load make_load(const server_id& server, const response_stats& a, const server_usage& use,
                      time_point now);

// Different enough that others would choose differently.
bool differs_significantly(const server_load& a, const server_load& b);

//-----------------------------------------------------------------------------
// [at a reader]
//-----------------------------------------------------------------------------

// A word so old says nothing any more: a queue of usual length has come and gone twice.
constexpr duration max_load_age = std::chrono::milliseconds{500};

struct known_load {
    server_load load;
    unsigned sent_since = 0; // requests of this instance that went there since it was told
    duration age{0};         // since it was told
    duration round_trip_delay{0};         // smoothed time between this instance and the server's lender, both directions
    auto operator<=>(const known_load&) const = default;
};

struct load_cache {
    std::map<server_id, known_load> loads;
    std::map<server_id, duration> round_trip_delays; // stay known when the load is forgotten
};

constexpr std::size_t max_known_loads = 1000; // the one told longest ago goes

// False where a newer one is known.
bool update_load(load_cache& cache, const server_load& load);
void note_sent(load_cache& cache, const server_id& server);
// An answer took so much longer than its lender says it took there.
void record_round_trip_delay(load_cache& cache, const server_id& server, duration delay);
// Nothing where it is not known, or was told too long ago.
std::optional<known_load> find_load(const load_cache& cache, const server_id& server, time_point now);
void evict_old_loads(load_cache& cache, time_point now);

// When a request sent now is answered, counted from now. What fails costs the time after which a caller
// comes back. What was told of a queue counts the less the older it is, in usual answers: all who choose
// answer to it, and together they would answer many times over before the next word tells them so. With the
// square of the age the queues of servers that are told late do not swing (see the tests), and a queue that
// stays is still answered to.
duration expected_completion(const known_load& k);

// Nothing waits there, as far as is known, and a slot is free.
bool has_free_slot(const known_load& k);

} // namespace larchpin
