// Logs as JSON lines on standard output: time, level, event, instance, failure domain, then the event's
// fields.
//
// Usage
//   start_log(severity::info, "bkk-1", "bkk-bangna");
//   log_event(severity::info, "lease_granted", {{"revision", revision}});
//   log_failure("edit_refused", result_code::revision_conflict, {{"change", id}});
//
// Lines are handed to a thread of their own over a bounded queue, so that a slow reader never holds the
// daemon up; and of one event in one severity only so many are written in a second. What was left out is
// counted and told in a line "log_lines_dropped" for each event and severity, with the next line that is
// written.
//
// Never log statements, parameters, keys or passwords: they are the callers' secrets.
#pragma once

#include "core/result_codes.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace larchpin {

enum class severity : std::uint8_t { debug, info, warning, error };

struct log_field {
    std::string_view key;
    std::variant<std::string_view, std::int64_t, std::uint64_t, bool> value;
};
using log_fields = std::initializer_list<log_field>;

// `lines_per_event` is the bound for one event of one severity in one second.
constexpr unsigned default_lines_per_event = 100; // a peak day has 60 statements a second on an instance

void start_log(severity lowest, const std::string& instance, const std::string& domain);
void set_log_level(severity lowest);
// Writes out what is queued.
void stop_log();
void log_event(severity level, std::string_view event, log_fields fields = {});
void log_failure(std::string_view event, result_code code, log_fields fields = {});

} // namespace larchpin
