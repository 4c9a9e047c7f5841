// See log_story.hpp. The logs are read once; lines that may belong to the surroundings are kept until it is
// known when and where the request ran, bounded by max_kept_lines.
#include "ctl/log_story.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <iomanip>
#include <istream>
#include <optional>
#include <set>
#include <sstream>

namespace larchpin {
namespace {

namespace json = boost::json;

constexpr std::size_t max_kept_lines = 1'000'000; // some 300 MB of text at worst
// Detection of a silent server, a lost lease and an election each take less (settings: 600 ms, 600 ms, 300
// ms).
constexpr std::chrono::seconds time_before{3};
constexpr std::size_t time_text_length = 23; // 2026-12-02T19:33:17.000

struct log_line {
    std::string time;
    json::object fields;
};

std::string text_of(const json::object& o, const char* key) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->as_string()) : std::string{};
}

std::optional<log_line> read_line(const std::string& text) {
    const std::size_t start = text.find('{'); // a collector may put its own words in front
    if (start == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code problem;
    const json::value v = json::parse(std::string_view(text).substr(start), problem);
    if (problem || !v.is_object() || text_of(v.as_object(), "event").empty()) {
        return std::nullopt;
    }
    return log_line{.time = text_of(v.as_object(), "time"), .fields = v.as_object()};
}

// Every event of a process but the ends of other requests may explain one.
bool may_explain(const log_line& line) {
    return text_of(line.fields, "request").empty() && text_of(line.fields, "event") != "session_refused";
}

// The moment `time_before` earlier, as text; the text itself where it is no time.
std::string earlier(const std::string& time) {
    std::tm parts{};
    std::istringstream in(time);
    int ms = 0;
    char dot = 0;
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> ms;
    if (in.fail()) {
        return time;
    }
    const std::time_t moment = timegm(&parts) - time_before.count();
    std::tm before{};
    gmtime_r(&moment, &before);
    std::ostringstream out;
    out << std::put_time(&before, "%Y-%m-%dT%H:%M:%S") << time.substr(time_text_length - 4, 4) << "Z";
    return out.str();
}

story_line to_story(const log_line& line, bool is_own) {
    std::string text = text_of(line.fields, "event") + " at " + text_of(line.fields, "instance");
    static const std::set<std::string_view> told{"time", "level", "event", "instance", "failure_domain"};
    for (const auto& [key, value] : line.fields) {
        const bool empty = value.is_string() && value.as_string().empty();
        if (!told.contains(std::string_view(key)) && !empty) {
            text.append("  ").append(key).append("=").append(json::serialize(value));
        }
    }
    return {.time = line.time, .text = text, .is_own = is_own};
}

// Who and what the request met.
struct surroundings {
    std::string from;
    std::string until;
    std::set<std::string> instances;
    std::set<std::string> names; // of servers and groups
};

surroundings look_around(const std::vector<log_line>& own) {
    surroundings around{.from = own.front().time, .until = own.front().time, .instances = {}, .names = {}};
    for (const log_line& line : own) {
        around.from = std::min(around.from, line.time);
        around.until = std::max(around.until, line.time);
        around.instances.insert(text_of(line.fields, "instance"));
        around.names.insert(text_of(line.fields, "server"));
        around.names.insert(text_of(line.fields, "group"));
    }
    around.names.erase("");
    around.from = earlier(around.from);
    return around;
}

// A line of an instance that took part counts where it is not about some other server; a line of any other
// (of control, mostly) where it is about the request's own.
bool belongs(const log_line& line, const surroundings& around) {
    if (line.time < around.from || line.time > around.until) {
        return false;
    }
    const std::string server = text_of(line.fields, "server");
    const std::string group = text_of(line.fields, "group");
    const bool about_it = around.names.contains(server) || around.names.contains(group);
    const bool about_nobody = server.empty() && group.empty();
    return about_it || (about_nobody && around.instances.contains(text_of(line.fields, "instance")));
}

} // namespace

std::vector<story_line> tell_story(const std::string& request, const std::vector<std::istream*>& logs) {
    std::vector<log_line> own;
    std::deque<log_line> others;
    for (std::istream* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            const auto line = read_line(text);
            if (!line) {
                continue;
            }
            if (text_of(line->fields, "request") == request) {
                own.push_back(*line);
            } else if (may_explain(*line) && others.size() < max_kept_lines) {
                others.push_back(*line);
            }
        }
    }
    std::vector<story_line> story;
    if (own.empty()) {
        return story;
    }
    const surroundings around = look_around(own);
    for (const log_line& line : own) {
        story.push_back(to_story(line, true));
    }
    for (const log_line& line : others) {
        if (belongs(line, around)) {
            story.push_back(to_story(line, false));
        }
    }
    std::sort(story.begin(), story.end());
    return story;
}

} // namespace larchpin
