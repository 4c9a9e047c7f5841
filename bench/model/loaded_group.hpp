// A loaded database group in virtual time: no network, no threads, the same result for the same seed.
//
// Entries drive the real decisions of src/core (routing, pool, running limit, health); servers, callers and
// what lies between them are made up here, as simply as the questions allow. A server has slots and a queue
// in the order of arrival; a replica applies what the primary has committed after a lag. Callers come by
// chance, have an objective and a deadline, open transactions with pauses, and come back after a refusal.
//
// Usage
//   const outcome o = run_model(pattern, policy, seed);
//
// Index
//   [pattern]  [policy]  [outcome]
#pragma once

#include "core/session.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace larchpin::model {

//-----------------------------------------------------------------------------
// [pattern]
//-----------------------------------------------------------------------------

struct request_kind {
    std::string name;
    double per_second = 0; // over all entries
    request_class klass = request_class::normal;
    bool strict = false; // reads go to the primary
    duration objective{0};
    duration deadline{0};
    duration staleness{0}; // of its reads
    duration work{0};      // mean of a statement's time on a slot, exponential
    double writes = 0;     // share of requests that write
    double transactions = 0;
    unsigned statements = 1; // of a transaction, without its commit
    duration pause{0};       // between them
};

struct lag_change {
    duration at{0};
    duration lag{0}; // of all replicas from then on
};

struct pattern {
    std::string name;
    duration length{0};
    unsigned slots = 2; // of each server
    unsigned replicas = 2;
    unsigned running_at_most = 0; // statements that an entry has at a server at once; 0: no limit
    unsigned retries = 2;         // of a caller
    duration come_back{0};        // a caller's pause before it asks again
    std::vector<double> callers;  // an entry's part of them
    std::vector<unsigned> shares; // an entry's connections to each server
    std::vector<lag_change> lags;
    std::vector<request_kind> kinds;
};

// Throws std::runtime_error with file, key and reason where the pattern cannot be read.
pattern read_pattern(const std::string& file);

//-----------------------------------------------------------------------------
// [policy]
//-----------------------------------------------------------------------------

// What is switched off to see what it is worth.
struct policy {
    std::string name = "as built";
    bool by_deadline_only = false;    // no objective in the queue's order
    bool a_third_of_patience = false; // waits for its turn in place of as long as its answer can be in time
    bool no_running_limit = false;
};

//-----------------------------------------------------------------------------
// [outcome]
//-----------------------------------------------------------------------------

struct kind_outcome {
    unsigned asked = 0;
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned refused = 0;       // for good
    std::vector<duration> took; // of those that were answered
};

struct server_outcome {
    duration busy{0}; // over all slots
    unsigned statements = 0;
    unsigned most_queued = 0;
    duration last_idle_refusal{0}; // when a request was refused here last while a slot stood idle
    unsigned idle_refusals = 0;
};

struct outcome {
    std::map<std::string, kind_outcome> kinds;
    std::vector<server_outcome> servers; // the primary first
    std::vector<unsigned> asked_by_entry;
    std::vector<unsigned> in_time_by_entry;
    std::vector<unsigned> replica_reads_by_second;
};

outcome run_model(const pattern& p, const policy& by, std::uint64_t seed);

} // namespace larchpin::model
