// Where service was lost, told from the log lines of all processes alone: which requests were refused, failed
// or answered late, when, and for what reason.
//
// Usage
//   loss_report report = collect_losses(logs);
//   for (const auto& [cause, sum] : sum_losses(report, cause_of)) ...
//
// Index
//   [data]  [functions]
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

enum class loss_cause : std::uint8_t {
    no_lease,            // the entry was cut off from control
    primary_suspected,   // no primary: leases of those that are cut off run out
    primary_choosing,    // no primary: replicas are asked for their positions
    primary_promoting,   // no primary: the promotion is on its way
    primary_unknown,     // no primary, and no line tells how far its failover was
    log_awaited,         // no primary: no server that answers holds every acknowledged commit
    server_left,         // the primary left, and no other server could take over
    no_fresh_position,   // nobody knew how far a replica must be
    waited_for_place,    // waited in a queue for a connection or its turn until it was hopeless
    refused_by_estimate, // refused at once: it would have waited in vain
    server_busy,
    server_behind,
    server_refused, // any other refusal by the server: turned away, not the primary
    server_failed,  // it ran there and failed
    unreachable,    // the connection broke, or none could be opened
    unanswered,     // sent, and no answer came in time
    term_changed,   // the primary was replaced meanwhile
    session_closed, // the session was refused, or its entry was stopping
    beyond_rate,    // its workspace had used up its rate limit
    late_waiting,   // answered late: most of the time passed before it was sent
    late_at_server, // answered late: most of the time passed at the server
    late_relayed,   // answered late over another instance's connection
    other,
};
constexpr std::size_t loss_cause_count = static_cast<std::size_t>(loss_cause::other) + 1;

std::string_view to_string(loss_cause cause);

struct loss {
    std::int64_t at_ms = 0; // since the epoch
    loss_cause cause = loss_cause::other;
    std::string klass; // of the request; empty where a session was refused
    std::string group;
    std::string domain; // failure domain of the entry
    std::string instance;
    std::string request;
    std::int64_t lost_us = 0; // from the request's arrival to its end
    auto operator<=>(const loss&) const = default;
};

// Counts by cause.
using loss_counts = std::array<std::uint64_t, loss_cause_count>;

struct loss_report {
    std::vector<loss> losses;           // in the order of the logs
    std::uint64_t requests = 0;         // lines that tell of a request's end
    std::uint64_t dropped = 0;          // lines that the processes left out
    loss_counts left_out{};             // losses among them, by the causes of the same instance and second
    std::uint64_t refusals_counted = 0; // by the processes' metrics, where their text was among the logs
};

// What losses of one kind have in common.
struct loss_sum {
    std::uint64_t count = 0;
    std::int64_t p50_us = 0;
    std::int64_t p99_us = 0;
    std::vector<std::string> requests; // three at most, for `explain`
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

// Reads JSON lines and metrics text (Prometheus) from each stream, in whatever order; other lines are passed
// over.
loss_report collect_losses(const std::vector<std::istream*>& logs);

using loss_key = std::string (*)(const loss&);

std::map<std::string, loss_sum> sum_losses(const std::vector<loss>& losses, loss_key key);

// By interval (its start, ms since the epoch).
std::map<std::int64_t, loss_counts> count_by_interval(const std::vector<loss>& losses,
                                                      std::int64_t interval_ms);

// For people: by cause, class, group, failure domain and interval.
void print_losses(const loss_report& report, std::int64_t interval_ms, std::ostream& out);

// interval,class,group,failure_domain,cause,count,share,p50_us,p99_us
void print_losses_csv(const loss_report& report, std::int64_t interval_ms, std::ostream& out);

// A bar for each interval, a colour for each cause, as an SVG picture.
void plot_losses(const loss_report& report, std::int64_t interval_ms, std::ostream& out);

} // namespace larchpin
