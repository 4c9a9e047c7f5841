// Which other instance is asked first for a connection to a backend server, by what they said lately.
//
// The pattern: after a loss of power servers count the lost connections for seconds and have room for a few
// of their users only. Whoever got a connection lends it to the others, who have to find out who that is with
// few questions: each costs a process with a quarter of a core.
//
// A lender behind a cut leaves requests without an answer until their deadline. It counts as silent once it
// has answered nothing for reachability_timeout, and is then asked by pings only, until one is answered: so it
// costs the requests of a quarter of a second, and not those of every try.
#pragma once

#include "core/reachability.hpp"
#include "core/types.hpp"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace larchpin {

struct lender {
    std::string address;
    bool in_other_domain = false;       // in another failure domain
    std::uint64_t rank = 0; // among those that are alike otherwise the lower goes first; equal: any order
    bool lost = false;      // control does not hear it any more
    auto operator<=>(const lender&) const = default;
};

// What is known of lenders, by address.
struct lender_tracker {
    std::map<std::string, time_point> silent_until;                        // did not answer
    std::map<std::pair<server_id, std::string>, time_point> no_connection_until; // has no connection to the server
    std::map<server_id, std::string> last_lender;                            // where it is hard to find one
    std::map<std::string, reachability> reachability_by_address;                             // of those that were asked
    std::map<std::string, duration> round_trip_delays; // smoothed; that answers take beyond the lender's own account
};

// A question goes to a lender.
void record_request(lender_tracker& tracker, const std::string& address, time_point now);

// The lenders to send a ping now: silent ones, and those that have just become silent, which are noted so.
std::vector<std::string> take_due_pings(lender_tracker& tracker, time_point now);

// True where this changes what was known.
bool mark_silent(lender_tracker& tracker, const std::string& address, time_point now);
bool mark_responsive(lender_tracker& tracker, const std::string& address);
void mark_without_connection(lender_tracker& tracker, const server_id& server, const std::string& address,
                             time_point now);

// An answer took so much longer than the lender says it took there.
void record_round_trip_delay(lender_tracker& tracker, const std::string& address, duration delay);

// True for a lender whose answers take clearly longer on their way than the quickest lender's: it is slow
// itself, since the network takes about the same time to all of them. For whoever ranks lenders.
bool is_slow(const lender_tracker& tracker, const std::string& address);

bool is_silent(const lender_tracker& tracker, const std::string& address, time_point now);

// It has just said that it has no connection to the server.
bool is_without_connection(const lender_tracker& tracker, const server_id& server, const std::string& address,
                           time_point now);

// Forgets what is over.
void clear_expired(lender_tracker& tracker, time_point now);

// Addresses in the order in which they are asked: whoever lent last, then those that answer, near ones before
// far ones, each group by rank and then in a random order; lost ones come last. Whoever has just said that it
// has no connection is left out; where all have, one of them is asked.
std::vector<std::string> order_lenders(const lender_tracker& tracker, const server_id& server,
                                       const std::vector<lender>& candidates, time_point now,
                                       std::mt19937_64& random);

} // namespace larchpin
