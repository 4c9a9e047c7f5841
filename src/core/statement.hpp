// Classifies a statement by its first words. The result is only a hint and affects only performance, because
// this is not a parser. A statement that is misclassified as a read runs on a server that refuses writes
// (SQLSTATE 25006, which proves that the statement did not run), and is then sent to the primary.
#pragma once

#include "core/types.hpp"

#include <string>
#include <string_view>

namespace larchpin {

enum class statement_kind : std::uint8_t {
    empty,
    read_hint,       // select, show, values, table, explain, with
    write,           // default for all other statements
    begin,           // begin, start transaction
    begin_read_only, // begin or start transaction, with "read only"
    commit,          // commit, end
    rollback,        // rollback, abort (but not "to savepoint")
    set_session,     // set or reset of a session setting
    discard,         // discard all
    unsupported,     // needs a dedicated connection; see unsupported_feature()
};

// Returns the kind of the statement. A text with several statements is a write.
statement_kind classify_statement(std::string_view text);

// Returns true if a statement that is classified as a read might write through a function call. A text
// without a parenthesis calls no function. Writes by views or operators are not detected (see
// docs/CALLERS.md).
bool may_call_functions(std::string_view text);

// Returns the name of the used feature that shared connections cannot support, or an empty view.
std::string_view unsupported_feature(std::string_view text);

// Name and value of "set name = value", "set name to value" or "reset name" (empty value).
struct setting_change {
    std::string name;   // lower case
    std::string value;  // without quotes
    bool local = false; // "set local": valid until the end of the transaction
    bool reset = false;
    auto operator<=>(const setting_change&) const = default;
};
setting_change parse_setting(std::string_view text);

} // namespace larchpin
