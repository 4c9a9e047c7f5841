// See log_story.hpp. The logs are read once; lines that may belong to the surroundings are kept until it is
// known when and where the request ran, bounded by max_kept_lines.
#include "ctl/log_story.hpp"

#include "ctl/log_lines.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <istream>
#include <set>

namespace larchpin {
namespace {

namespace json = boost::json;

constexpr std::size_t max_kept_lines = 1'000'000; // some 300 MB of text at worst
// Detection of a silent server, a lost lease and an election each take less (settings: 600 ms, 600 ms, 300
// ms).
constexpr std::chrono::milliseconds time_before{3000};

// Every event of a process but the ends of other requests may explain one.
bool may_explain(const log_line& line) {
    return text_field(line, "request").empty() && text_field(line, "event") != "session_refused";
}

// The moment `time_before` earlier, as text; the text itself where it is no time.
std::string earlier(const std::string& time) {
    const auto ms = to_unix_ms(time);
    return ms ? to_time_text(*ms - time_before.count()) : time;
}

story_line to_story(const log_line& line, bool is_own) {
    std::string text = text_field(line, "event") + " at " + text_field(line, "instance");
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
        around.instances.insert(text_field(line, "instance"));
        around.names.insert(text_field(line, "server"));
        around.names.insert(text_field(line, "group"));
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
    const std::string server = text_field(line, "server");
    const std::string group = text_field(line, "group");
    const bool about_it = around.names.contains(server) || around.names.contains(group);
    const bool about_nobody = server.empty() && group.empty();
    return about_it || (about_nobody && around.instances.contains(text_field(line, "instance")));
}

} // namespace

std::vector<story_line> tell_story(const std::string& request, const std::vector<std::istream*>& logs) {
    std::vector<log_line> own;
    std::deque<log_line> others;
    for (std::istream* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            const auto line = read_log_line(text);
            if (!line) {
                continue;
            }
            if (text_field(*line, "request") == request) {
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
