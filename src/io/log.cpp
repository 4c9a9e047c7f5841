#include "io/log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>

namespace larchpin {
namespace {

namespace json = boost::json;
namespace blog = boost::log;

struct log_identity {
    severity lowest = severity::info;
    std::string instance;
    std::string domain;
};

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

json::value to_json(const log_field& field) {
    return std::visit([](const auto& v) { return json::value(v); }, field.value);
}

void write(severity level, std::string_view event, json::object extra, log_fields fields) {
    if (level < identity().lowest) {
        return;
    }
    json::object line;
    line["time"] = utc_now();
    line["level"] = to_string(level);
    line["event"] = event;
    line["instance"] = identity().instance;
    line["failure_domain"] = identity().domain;
    for (auto& item : extra) {
        line[item.key()] = item.value();
    }
    for (const log_field& field : fields) {
        line[field.key] = to_json(field);
    }
    BOOST_LOG(logger()) << json::serialize(line);
}

} // namespace

void start_log(severity lowest, const std::string& instance, const std::string& domain) {
    identity() = log_identity{.lowest = lowest, .instance = instance, .domain = domain};
    using backend = blog::sinks::text_ostream_backend;
    auto sink_backend = boost::make_shared<backend>();
    sink_backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
    sink_backend->auto_flush(true);
    blog::core::get()->add_sink(boost::make_shared<blog::sinks::synchronous_sink<backend>>(sink_backend));
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
