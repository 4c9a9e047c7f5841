// Joins the log lines of several processes into what happened to one request: its own lines, and what the
// processes that took part learned shortly before and meanwhile about its server, its group, their leases and
// the table.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace larchpin {

struct story_line {
    std::string time;    // as logged, UTC with milliseconds: sorts as text
    std::string text;    // event, instance and fields, for a person
    bool is_own = false; // names the request; otherwise it tells of the surroundings
    auto operator<=>(const story_line&) const = default;
};

// Reads JSON lines from each stream, in whatever order; what is no such line is passed over, since a log file
// may have lost a part. Sorted by time; empty where no line names the request.
std::vector<story_line> tell_story(const std::string& request, const std::vector<std::istream*>& logs);

} // namespace larchpin
