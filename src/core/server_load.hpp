// Load reports of backend servers: how an instance computes them and how its peers use them.
//
// The reporting instance is the home instance that the server's statements pass through. It sees every
// running and queued statement, so its report is more accurate than an estimate from another instance's own
// few requests. Reports are piggybacked on other answers and lose value with age; consumers check `as_of`.
//
// All routing instances have received a report by the time it is half a second old, and would all send to the
// server that was idle then. Therefore an instance does not pick the fastest server but draws one at random,
// weighted by expected completion time (see core/routing), and adds the requests that it has sent itself
// since the report.
//
// A server's failure ratio is computed from the answers to all of its users, so a few failures of one user
// change it little. The ratio decays slowly: a server that alternates between healthy and failing regains its
// share only over seconds.
//
// Index
//   [reporting]  [routing]
#pragma once

#include "core/positions.hpp"
#include "core/types.hpp"

#include <map>
#include <optional>

namespace larchpin {

struct server_load {
    server_id server{};
    std::uint64_t start_number = 0;            // start of the server that the report describes
    unsigned slots = 0;                        // concurrent statements; 0 = unknown
    unsigned running = 0;                      // statements running at the server
    unsigned waiting = 0;                      // requests queued at the reporting instance
    duration response_time{0};                 // smoothed (EWMA), from sending to answer; 0 = unknown
    duration queue_delay{0};                   // expected queueing delay of a request of class "normal"
    double failure_ratio = 0;                  // 0..1; recent share of failed and unanswered statements
    std::optional<position_sample> position{}; // of the server's log, in the local clock
    time_point as_of{};                        // latest time of the report, in the local clock
    auto operator<=>(const server_load&) const = default;
};

//-----------------------------------------------------------------------------
// [reporting]
//-----------------------------------------------------------------------------

// Response statistics of one backend server.
struct response_stats {
    duration response_time{0};     // smoothed (EWMA); 0 = no answer yet
    duration min_response_time{0}; // minimum of `response_time`, rising slowly
    double failure_ratio = 0;      // smoothed (EWMA)
    double peak_failure_ratio = 0; // peak of `failure_ratio` at `peak_at`; decays
    time_point peak_at{};
    time_point last_ended_at{}; // end of the last statement, answered or not
    std::optional<position_sample> position{};
    auto operator<=>(const response_stats&) const = default;
};

// Describes the outcome of one statement. `failed`: the server caused a failure; a refusal because its log is
// behind the requested position is not a failure.
struct statement_outcome {
    duration took{0};
    bool answered = true;
    bool failed = false;
    std::optional<position_sample> position{};
};
void record_outcome(response_stats& a, const statement_outcome& e, time_point now);

// Returns the smoothed response time. It decays towards the minimum while the server receives no requests, so
// that a server that was slow once is tried again.
duration current_response_time(const response_stats& a, time_point now);

// Returns the expected failure ratio, 0..1. It rises with each failed answer and decays slowly.
double current_failure_ratio(const response_stats& a, time_point now);

struct server_usage {
    unsigned slots = 0; // 0 = unknown
    unsigned running = 0;
    unsigned waiting = 0;
    auto operator<=>(const server_usage&) const = default;
};
server_load make_load(const server_id& server, const response_stats& a, const server_usage& use,
                      time_point now);

// Returns true if the two reports differ enough to change the routing decisions of other instances.
bool differs_significantly(const server_load& a, const server_load& b);

//-----------------------------------------------------------------------------
// [routing]
//-----------------------------------------------------------------------------

// Older reports are discarded: a queue of typical length has built up and drained twice in this time.
constexpr duration max_load_age = std::chrono::milliseconds{500};

struct known_load {
    server_load load;
    unsigned sent_since = 0;      // requests that this instance sent since the report
    duration age{0};              // since the report
    duration round_trip_delay{0}; // smoothed; between this instance and the reporting instance
    auto operator<=>(const known_load&) const = default;
};

struct load_cache {
    std::map<server_id, known_load> loads;
    std::map<server_id, duration> round_trip_delays; // kept when the load is evicted
};

constexpr std::size_t max_known_loads = 1000; // the oldest report is evicted

// Stores a report. Returns false if a newer one is stored already.
bool update_load(load_cache& cache, const server_load& load);
void record_sent(load_cache& cache, const server_id& server);
// Records the time that an answer took beyond the processing time stated in it.
void record_round_trip_delay(load_cache& cache, const server_id& server, duration delay);
// Returns the server's load; nothing if it is unknown or older than max_load_age.
std::optional<known_load> find_load(const load_cache& cache, const server_id& server, time_point now);
void evict_old_loads(load_cache& cache, time_point now);

// Returns the expected time until a request sent now is answered. The failure ratio adds the delay after
// which a client retries. The reported queueing delay is discounted by the age of the report in response
// times, because all instances react to the same report and would overcorrect before the next one arrives.
// Discounting by the square of the age keeps the queues from oscillating under late reports (see the tests)
// and still reacts to a persistent queue.
duration expected_completion(const known_load& k);

// Returns true if the last report shows no queue and a free slot.
bool has_free_slot(const known_load& k);

} // namespace larchpin
