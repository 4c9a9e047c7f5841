// Values and prepared statements that belong to a session while its statements run on shared connections.
//
// A session's values must be in effect, and the statement that it executes must be prepared, on whichever
// connection it gets. What a connection holds is remembered beside it, so only the difference is sent, in
// front of the statement. Prepared statements get a name made from what they do, so sessions share them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace larchpin {

struct prepared_statement {
    bool writes = false;
    std::string shape; // the server's own text of it
    auto operator<=>(const prepared_statement&) const = default;
};

// What a connection holds.
struct connection_context {
    std::map<std::string, std::string> values;          // by name
    std::map<std::string, prepared_statement> prepared; // by name on this connection
    bool operator==(const connection_context&) const = default;
};

enum class context_step_kind : std::uint8_t {
    reset,     // forgets all values and prepared statements
    set_value, // name, value
    prepare,   // name, statement
};

struct context_step {
    context_step_kind kind = context_step_kind::reset;
    std::string name;
    std::string value;
    prepared_statement statement;
    auto operator<=>(const context_step&) const = default;
};

// The name under which every connection prepares this statement.
std::string shared_statement_name(const prepared_statement& statement);

// The fewest steps that put these values into effect, no others, and prepare the statement if there is one.
std::vector<context_step> plan_context(const connection_context& current,
                                       const std::map<std::string, std::string>& values,
                                       const std::optional<prepared_statement>& statement);

void apply_step(connection_context& current, const context_step& step);

} // namespace larchpin
