#include "io/log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <map>

namespace larchpin {
namespace {

namespace json = boost::json;
namespace blog = boost::log;

constexpr std::size_t queued_lines = 4096; // about 1.5 MB

using backend = blog::sinks::text_ostream_backend;
using frontend = blog::sinks::asynchronous_sink<
    backend, blog::sinks::bounded_fifo_queue<queued_lines, blog::sinks::drop_on_overflow>>;

struct log_identity {
    severity lowest = severity::info;
    std::string instance;
    std::string domain;
    boost::shared_ptr<frontend> sink;
};

// How many lines of each event and severity this second has seen.
struct log_budget {
    std::int64_t second = 0;
    std::map<std::pair<severity, std::string>, unsigned> written; // and left out
};

log_budget& budget() {
    static log_budget one;
    return one;
}

log_identity& identity() {
    static log_identity one;
    return one;
}

blog::sources::logger_mt& logger() {
    static blog::sources::logger_mt one;
    return one;
}

std::string_view to_string(severity level) {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::string utc_now() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    constexpr std::int64_t ms_per_second = 1000;
    const std::time_t seconds = ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(ms % ms_per_second);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(text.data(), length) + "." + fraction + "Z";
}

std::int64_t current_second() {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since_start).count();
}

void write_line(const json::object& line) {
    BOOST_LOG(logger()) << json::serialize(line);
}

json::object begin_line(severity level, std::string_view event) {
    json::object line;
    line["time"] = utc_now();
    line["level"] = to_string(level);
    line["event"] = event;
    line["instance"] = identity().instance;
    line["failure_domain"] = identity().domain;
    return line;
}

// What the last second has left out, a line for each event and severity.
void tell_dropped(const log_budget& b) {
    for (const auto& [what, written] : b.written) {
        if (written > default_lines_per_event) {
            json::object line = begin_line(severity::warning, "log_lines_dropped");
            line["of"] = what.second;
            line["severity"] = to_string(what.first);
            line["count"] = written - default_lines_per_event;
            write_line(line);
        }
    }
}

// False where this second has had enough of the event already.
bool take_budget(severity level, std::string_view event) {
    log_budget& b = budget();
    const std::int64_t second = current_second();
    if (second != b.second) {
        tell_dropped(b);
        b = log_budget{.second = second, .written = {}};
    }
    unsigned& written = b.written[{level, std::string(event)}];
    ++written;
    return written <= default_lines_per_event;
}

json::value to_json(const log_field& field) {
    return std::visit([](const auto& v) { return json::value(v); }, field.value);
}

void write(severity level, std::string_view event, json::object extra, log_fields fields) {
    if (level < identity().lowest || !take_budget(level, event)) {
        return;
    }
    json::object line = begin_line(level, event);
    for (auto& item : extra) {
        line[item.key()] = item.value();
    }
    for (const log_field& field : fields) {
        line[field.key] = to_json(field);
    }
    write_line(line);
}

} // namespace

void start_log(severity lowest, const std::string& instance, const std::string& domain) {
    auto sink_backend = boost::make_shared<backend>();
    sink_backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
    sink_backend->auto_flush(true);
    const auto sink = boost::make_shared<frontend>(sink_backend);
    identity() = log_identity{.lowest = lowest, .instance = instance, .domain = domain, .sink = sink};
    blog::core::get()->add_sink(sink);
}

void set_log_level(severity lowest) {
    identity().lowest = lowest;
}

void stop_log() {
    const auto sink = identity().sink;
    if (sink) {
        blog::core::get()->remove_sink(sink);
        sink->stop();
        sink->flush();
    }
}

void log_event(severity level, std::string_view event, log_fields fields) {
    write(level, event, {}, fields);
}

void log_failure(std::string_view event, result_code code, log_fields fields) {
    json::object extra;
    extra["code"] = static_cast<std::int64_t>(code);
    extra["meaning"] = describe(code).meaning;
    write(severity::error, event, std::move(extra), fields);
}

} // namespace larchpin
