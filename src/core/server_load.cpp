#include "core/server_load.hpp"

#include <algorithm>
#include <cmath>

namespace larchpin {
namespace {

constexpr int smoothing = 8;         // of times
constexpr double failures_seen = 16; // answers over which the share of failures is taken
constexpr int least_rise = 512;      // answers after which the least time has followed the usual one halfway
// A server that fails in turns of a second stays out between them, and is back within seconds of its last.
constexpr duration failure_half_life = std::chrono::seconds{2};
// A server that was slow is tried again about as soon as a caller comes back.
constexpr duration slowness_half_life = std::chrono::milliseconds{500};
constexpr duration failure_cost =
    std::chrono::milliseconds{500}; // a refused caller is told to come back then
constexpr duration least_answer = std::chrono::milliseconds{1};
constexpr double noticeable = 0.25; // of a count or a time
constexpr unsigned noticeable_count = 2;
constexpr double noticeable_failures = 0.05;

double fading(duration since, duration half_life) {
    return std::exp2(-static_cast<double>(std::max(since, duration{0}).count()) /
                     static_cast<double>(half_life.count()));
}

duration scaled(duration d, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * factor)};
}

unsigned places(const server_load& l) {
    return std::max(1U, l.slots > 0 ? l.slots : l.running);
}

bool is_noticeable(duration a, duration b) {
    return std::chrono::abs(a - b) > scaled(std::max(a, b), noticeable);
}

} // namespace

//-----------------------------------------------------------------------------
// [at the lender]
//-----------------------------------------------------------------------------

void note_ended(server_answers& a, const ended_statement& e, time_point now) {
    const double known = failed_share(a, now);
    a.failed *= fading(now - a.answered_at, failure_half_life);
    a.failed += ((e.failed || !e.answered ? 1.0 : 0.0) - a.failed) / failures_seen;
    const bool is_worse = a.failed >= known;
    a.worst = is_worse ? a.failed : known;
    a.worst_at = now;
    if (e.answered && !e.failed) { // a quick failure is no quick answer
        const duration before = usual_answer(a, now);
        a.usual = before.count() == 0 ? e.took : before + (e.took - before) / smoothing;
        a.least = a.least.count() == 0 ? a.usual : std::min(a.usual, a.least + a.least / least_rise);
    }
    a.answered_at = now;
    if (e.position && (!a.position || a.position->not_before <= e.position->not_before)) {
        a.position = e.position;
    }
}

duration usual_answer(const server_answers& a, time_point now) {
    return a.least + scaled(a.usual - a.least, fading(now - a.answered_at, slowness_half_life));
}

double failed_share(const server_answers& a, time_point now) {
    const double lately = a.failed * fading(now - a.answered_at, failure_half_life);
    return std::clamp(std::max(lately, a.worst * fading(now - a.worst_at, failure_half_life)), 0.0, 1.0);
}

server_load make_load(const server_id& server, const server_answers& a, const server_use& use,
                      time_point now) {
    server_load l{.server = server,
                  .slots = use.slots,
                  .running = use.running,
                  .waiting = use.waiting,
                  .usual_answer = usual_answer(a, now),
                  .failed = failed_share(a, now),
                  .position = a.position,
                  .as_of = now};
    l.wait = l.usual_answer * use.waiting / places(l);
    return l;
}

bool differs(const server_load& a, const server_load& b) {
    const auto work = [](const server_load& l) { return l.running + l.waiting; };
    const unsigned most = std::max(work(a), work(b));
    const unsigned change = most - std::min(work(a), work(b));
    return (change >= noticeable_count && change > noticeable * most) ||
           is_noticeable(a.usual_answer, b.usual_answer) || is_noticeable(a.wait, b.wait) ||
           std::abs(a.failed - b.failed) > noticeable_failures;
}

//-----------------------------------------------------------------------------
// [at a reader]
//-----------------------------------------------------------------------------

bool take_load(load_book& b, const server_load& load) {
    const auto known = b.loads.find(load.server);
    if (known != b.loads.end()) {
        if (load.as_of < known->second.load.as_of) {
            return false;
        }
        known->second = {.load = load};
        return true;
    }
    if (b.loads.size() >= max_known_loads) {
        b.loads.erase(std::min_element(b.loads.begin(), b.loads.end(), [](const auto& x, const auto& y) {
            return x.second.load.as_of < y.second.load.as_of;
        }));
    }
    b.loads[load.server] = {.load = load};
    return true;
}

void note_sent(load_book& b, const server_id& server) {
    const auto known = b.loads.find(server);
    if (known != b.loads.end()) {
        ++known->second.sent_since;
    }
}

void note_way(load_book& b, const server_id& server, duration excess) {
    const auto known = b.ways.find(server);
    if (known != b.ways.end()) {
        known->second += (excess - known->second) / smoothing;
    } else if (b.ways.size() < max_known_loads) {
        b.ways[server] = excess;
    }
}

std::optional<known_load> find_load(const load_book& b, const server_id& server, time_point now) {
    const auto known = b.loads.find(server);
    if (known == b.loads.end() || now - known->second.load.as_of > load_memory) {
        return std::nullopt;
    }
    known_load k = known->second;
    const auto way = b.ways.find(server);
    k.age = std::max(duration{0}, now - k.load.as_of);
    k.way = way == b.ways.end() ? duration{0} : way->second;
    return k;
}

void forget_old(load_book& b, time_point now) {
    std::erase_if(b.loads, [now](const auto& l) { return now - l.second.load.as_of > load_memory; });
}

duration expected_completion(const known_load& k) {
    const double ages = static_cast<double>(k.age.count()) /
                        static_cast<double>(std::max(k.load.usual_answer, least_answer).count());
    const duration wait = scaled(k.load.wait, 1.0 / (1.0 + ages * ages));
    const duration own = k.load.usual_answer * k.sent_since / places(k.load);
    return wait + k.load.usual_answer + own + k.way + scaled(failure_cost, k.load.failed);
}

bool has_short_queue(const known_load& k) {
    const bool slot_is_free = k.load.slots == 0 || k.load.running + k.sent_since < k.load.slots;
    return k.load.waiting == 0 && slot_is_free;
}

} // namespace larchpin
