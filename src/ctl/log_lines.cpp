#include "ctl/log_lines.hpp"

#include <boost/json/parse.hpp>

#include <ctime>
#include <iomanip>
#include <sstream>

namespace larchpin {

namespace json = boost::json;

namespace {

constexpr std::int64_t ms_per_second = 1000;
constexpr int ms_digits = 3;

} // namespace

std::optional<log_line> read_log_line(const std::string& text) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code problem;
    const json::value v = json::parse(std::string_view(text).substr(start), problem);
    if (problem || !v.is_object()) {
        return std::nullopt;
    }
    log_line line{.time = {}, .fields = v.as_object()};
    line.time = text_field(line, "time");
    return text_field(line, "event").empty() ? std::nullopt : std::optional{line};
}

std::string text_field(const log_line& line, const char* key) {
    const json::value* v = line.fields.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->as_string()) : std::string{};
}

std::int64_t number_field(const log_line& line, const char* key) {
    const json::value* v = line.fields.if_contains(key);
    return v != nullptr && v->is_int64() ? v->as_int64() : 0;
}

bool flag_field(const log_line& line, const char* key) {
    const json::value* v = line.fields.if_contains(key);
    return v != nullptr && v->is_bool() && v->as_bool();
}

std::optional<std::int64_t> to_unix_ms(const std::string& time) {
    std::tm parts{};
    std::istringstream in(time);
    int ms = 0;
    char dot = 0;
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> ms;
    if (in.fail()) {
        return std::nullopt;
    }
    return std::int64_t{timegm(&parts)} * ms_per_second + ms;
}

std::string to_time_text(std::int64_t unix_ms) {
    const std::time_t seconds = unix_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << "." << std::setw(ms_digits) << std::setfill('0')
        << unix_ms % ms_per_second << "Z";
    return out.str();
}

} // namespace larchpin
