// See loss_report.hpp. What is printed and drawn stands in loss_output.cpp.
#include "ctl/loss_report.hpp"

#include "core/result_codes.hpp"
#include "ctl/log_lines.hpp"

#include <algorithm>
#include <charconv>
#include <istream>

namespace larchpin {
namespace {

constexpr std::size_t ids_kept = 3;
// Lines that were left out are told of with the next line, in the second after at the earliest.
constexpr std::int64_t told_after_ms = 2000;
// Longer ago, a line of a failover belongs to an earlier one.
constexpr std::int64_t failover_ms = 30'000;
constexpr std::string_view refusal_metric = "larchpin_refusals{";

// How far the failovers of each group were, by time.
using failover_phases = std::map<std::string, std::map<std::int64_t, loss_cause>>;

// What one line says of a request's end, before the failovers are known.
struct seen_end {
    loss what;
    bool is_lost = false;
    bool for_want_of_primary = false;
};

void note_failover(const log_line& line, std::int64_t at, failover_phases& phases) {
    static const std::map<std::string_view, loss_cause> events{
        {"primary_suspected", loss_cause::primary_suspected},
        {"switchover_started", loss_cause::primary_suspected},
        {"writes_revoked", loss_cause::primary_choosing},
        {"promoting", loss_cause::primary_promoting},
        {"promoted", loss_cause::primary_promoting}};
    const auto found = events.find(text_field(line, "event"));
    if (found != events.end()) {
        phases[text_field(line, "group")][at] = found->second;
    }
}

loss_cause phase_at(const failover_phases& phases, const loss& what) {
    const auto group = phases.find(what.group);
    if (group == phases.end()) {
        return loss_cause::primary_unknown;
    }
    const auto next = group->second.upper_bound(what.at_ms);
    if (next == group->second.begin() || what.at_ms - std::prev(next)->first > failover_ms) {
        return loss_cause::primary_unknown;
    }
    return std::prev(next)->second;
}

loss_cause cause_of_server_error(const std::string& error) {
    if (error == "BUSY" || error == "53300") {
        return loss_cause::server_busy;
    }
    if (error == "LAGGING") {
        return loss_cause::server_behind;
    }
    const bool refused =
        error == "READONLY" || error == "WRONGNODE" || error == "TOOMANY" || error == "NOSTMT";
    return refused ? loss_cause::server_refused : loss_cause::server_failed;
}

// A lender's refusal is one of its queue; the same codes at later steps mean that an answer did not come.
bool ended_in_queue(const log_line& line) {
    const std::string step = text_field(line, "step");
    const bool by_lender = !text_field(line, "lender").empty() && text_field(line, "run") == "not-run" &&
                           number_field(line, "server_us") == 0;
    return step == "queued" || step == "routed" || by_lender;
}

loss_cause cause_of_refusal(const log_line& line) {
    switch (static_cast<result_code>(number_field(line, "code"))) {
    case result_code::no_lease: return loss_cause::no_lease;
    case result_code::no_primary: return loss_cause::primary_unknown;
    case result_code::log_awaited: return loss_cause::log_awaited;
    case result_code::server_left: return loss_cause::server_left;
    case result_code::no_replica: return loss_cause::no_fresh_position;
    case result_code::queue_full:
    case result_code::overloaded: return loss_cause::refused_by_estimate;
    case result_code::deadline_passed:
        return ended_in_queue(line) ? loss_cause::waited_for_place : loss_cause::unanswered;
    case result_code::connection_lost: return loss_cause::unreachable;
    case result_code::term_changed: return loss_cause::term_changed;
    case result_code::stopping: return loss_cause::session_closed;
    case result_code::rate_limited: return loss_cause::beyond_rate;
    default: return loss_cause::other;
    }
}

loss_cause cause_of_lateness(const log_line& line) {
    if (!text_field(line, "lender").empty()) {
        return loss_cause::late_relayed;
    }
    const bool waited = number_field(line, "waited_us") >= number_field(line, "server_us");
    return waited ? loss_cause::late_waiting : loss_cause::late_at_server;
}

seen_end read_end(const log_line& line, std::int64_t at) {
    seen_end seen;
    seen.what = {.at_ms = at,
                 .cause = loss_cause::other,
                 .klass = text_field(line, "class"),
                 .group = text_field(line, "group"),
                 .domain = text_field(line, "failure_domain"),
                 .instance = text_field(line, "instance"),
                 .request = text_field(line, "request"),
                 .lost_us = number_field(line, "took_us")};
    const std::string end = text_field(line, "end");
    const std::int64_t objective = number_field(line, "objective_us");
    if (end == "success") {
        seen.is_lost = objective > 0 && seen.what.lost_us > objective;
        seen.what.cause = cause_of_lateness(line);
    } else if (end == "server_error") {
        seen.is_lost = true;
        seen.what.cause = cause_of_server_error(text_field(line, "server_error"));
    } else {
        seen.is_lost = true;
        seen.what.cause = cause_of_refusal(line);
        seen.for_want_of_primary = seen.what.cause == loss_cause::primary_unknown;
    }
    return seen;
}

struct dropped_lines {
    std::int64_t at_ms = 0;
    std::string instance;
    std::string of; // event
    std::string level;
    std::uint64_t count = 0;
};

// What a process left out of its log in a second was lost for the same causes as what it wrote.
void attribute_dropped(loss_report& report, const dropped_lines& lines) {
    if (lines.of == "session_refused") {
        report.left_out.at(static_cast<std::size_t>(loss_cause::session_closed)) += lines.count;
        return;
    }
    if (lines.of != "request_ended" || lines.level != "warning") {
        return; // requests that were served in time
    }
    loss_counts written{};
    std::uint64_t all = 0;
    for (const loss& l : report.losses) {
        const bool same = l.instance == lines.instance && l.cause != loss_cause::session_closed;
        if (same && l.at_ms <= lines.at_ms && l.at_ms > lines.at_ms - told_after_ms) {
            ++written.at(static_cast<std::size_t>(l.cause));
            ++all;
        }
    }
    if (all == 0) {
        report.left_out.at(static_cast<std::size_t>(loss_cause::other)) += lines.count;
        return;
    }
    for (std::size_t cause = 0; cause < written.size(); ++cause) {
        report.left_out.at(cause) += written.at(cause) * lines.count / all;
    }
}

// The value behind the last blank of a metric's line; 0 where there is none.
std::uint64_t read_metric(const std::string& text) {
    const std::size_t blank = text.rfind(' ');
    double value = 0;
    if (blank != std::string::npos) {
        std::from_chars(text.data() + blank + 1, text.data() + text.size(), value);
    }
    return static_cast<std::uint64_t>(std::max(0.0, value));
}

} // namespace

std::string_view to_string(loss_cause cause) {
    constexpr std::array<std::string_view, loss_cause_count> names{"no lease",
                                                                   "no primary: revoking",
                                                                   "no primary: choosing",
                                                                   "no primary: promoting",
                                                                   "no primary",
                                                                   "no primary: log awaited",
                                                                   "server left",
                                                                   "no fresh position",
                                                                   "waited for a place",
                                                                   "refused by estimate",
                                                                   "server busy",
                                                                   "server behind",
                                                                   "server refused",
                                                                   "server failed",
                                                                   "unreachable",
                                                                   "unanswered",
                                                                   "term changed",
                                                                   "session closed",
                                                                   "beyond its rate",
                                                                   "late: waited here",
                                                                   "late: at the server",
                                                                   "late: relayed",
                                                                   "other"};
    return names.at(static_cast<std::size_t>(cause));
}

loss_report collect_losses(const std::vector<std::istream*>& logs) {
    loss_report report;
    failover_phases phases;
    std::vector<seen_end> ends;
    std::vector<dropped_lines> dropped;
    for (std::istream* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            if (text.starts_with(refusal_metric)) {
                report.refusals_counted += read_metric(text);
                continue;
            }
            const auto line = read_log_line(text);
            const auto at = line ? to_unix_ms(line->time) : std::nullopt;
            if (!at) {
                continue;
            }
            const std::string event = text_field(*line, "event");
            if (event == "request_ended") {
                ++report.requests;
                ends.push_back(read_end(*line, *at));
            } else if (event == "session_refused") {
                seen_end seen;
                seen.is_lost = true;
                seen.what.at_ms = *at;
                seen.what.cause = loss_cause::session_closed;
                seen.what.domain = text_field(*line, "failure_domain");
                seen.what.instance = text_field(*line, "instance");
                ends.push_back(std::move(seen));
            } else if (event == "log_lines_dropped") {
                report.dropped += static_cast<std::uint64_t>(number_field(*line, "count"));
                dropped.push_back({.at_ms = *at,
                                   .instance = text_field(*line, "instance"),
                                   .of = text_field(*line, "of"),
                                   .level = text_field(*line, "severity"),
                                   .count = static_cast<std::uint64_t>(number_field(*line, "count"))});
            } else {
                note_failover(*line, *at, phases);
            }
        }
    }
    for (seen_end& seen : ends) {
        if (seen.is_lost) {
            seen.what.cause = seen.for_want_of_primary ? phase_at(phases, seen.what) : seen.what.cause;
            report.losses.push_back(std::move(seen.what));
        }
    }
    for (const dropped_lines& lines : dropped) {
        attribute_dropped(report, lines);
    }
    return report;
}

std::map<std::string, loss_sum> sum_losses(const std::vector<loss>& losses, loss_key key) {
    std::map<std::string, loss_sum> sums;
    std::map<std::string, std::vector<std::int64_t>> times;
    for (const loss& l : losses) {
        const std::string name = key(l);
        loss_sum& sum = sums[name];
        ++sum.count;
        times[name].push_back(l.lost_us);
        if (sum.requests.size() < ids_kept && !l.request.empty()) {
            sum.requests.push_back(l.request);
        }
    }
    for (auto& [name, values] : times) {
        std::sort(values.begin(), values.end());
        sums[name].p50_us = values[values.size() / 2];
        sums[name].p99_us = values[values.size() * 99 / 100];
    }
    return sums;
}

std::map<std::int64_t, loss_counts> count_by_interval(const std::vector<loss>& losses,
                                                      std::int64_t interval_ms) {
    std::map<std::int64_t, loss_counts> counts;
    for (const loss& l : losses) {
        loss_counts& at = counts[l.at_ms / interval_ms * interval_ms];
        ++at.at(static_cast<std::size_t>(l.cause));
    }
    return counts;
}

} // namespace larchpin
