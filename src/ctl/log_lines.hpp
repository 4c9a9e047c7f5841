// One JSON line of a daemon's log, as the tools read it back.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace larchpin {

struct log_line {
    std::string time; // as logged, UTC with milliseconds: sorts as text
    boost::json::object fields;
};

// Nothing where the text is no line of a log: a file may have lost a part. A collector may have put its own
// words in front.
std::optional<log_line> read_log_line(const std::string& text);

// The field's value; empty or 0 where it is missing or of another type.
std::string text_field(const log_line& line, const char* key);
std::int64_t number_field(const log_line& line, const char* key);
bool flag_field(const log_line& line, const char* key);

// Milliseconds since the epoch; nothing where the text is no time.
std::optional<std::int64_t> to_unix_ms(const std::string& time);
std::string to_time_text(std::int64_t unix_ms);

} // namespace larchpin
