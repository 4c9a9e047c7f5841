// Manages session values and prepared statements while a session's statements run on shared connections.
//
// A session's values must be in effect, and the statement to execute must be prepared, on the connection that
// runs it. The proxy tracks the state of each connection and sends only the difference ahead of the
// statement. A prepared statement is named after its content, so sessions share it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace larchpin {

struct prepared_statement {
    bool writes = false;
    std::string shape; // the statement's text in the server's syntax
    auto operator<=>(const prepared_statement&) const = default;
};

// The session state that is in effect on a connection.
struct connection_context {
    std::map<std::string, std::string> values;          // by name
    std::map<std::string, prepared_statement> prepared; // by name on the connection
    bool operator==(const connection_context&) const = default;
};

enum class context_step_kind : std::uint8_t {
    reset,     // drops all values and prepared statements
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

// Returns the name under which every connection prepares the statement.
std::string shared_statement_name(const prepared_statement& statement);

// Returns the fewest steps after which exactly these values are in effect and the statement, if any, is
// prepared.
std::vector<context_step> plan_context(const connection_context& current,
                                       const std::map<std::string, std::string>& values,
                                       const std::optional<prepared_statement>& statement);

// Updates the tracked state of a connection by one step.
void apply_step(connection_context& current, const context_step& step);

} // namespace larchpin
