// What can be said of a statement from its first words. A hint only: no parser, and nothing rests on it but
// speed. A statement taken for a read runs where the server itself refuses a write (SQLSTATE 25006, which
// proves that it did not run), and is then sent to the primary.
#pragma once

#include "core/types.hpp"

#include <string>
#include <string_view>

namespace larchpin {

enum class statement_kind : std::uint8_t {
    empty,
    read_hint,       // select, show, values, table, explain, with
    write,           // everything that is not known better
    begin,           // begin, start transaction
    begin_read_only, // the same, read only
    commit,          // commit, end
    rollback,        // rollback, abort (but not "to savepoint")
    set_session,     // set or reset of a session setting
    discard,         // discard all
    unsupported,         // needs a connection of its own; see unsupported_feature()
};

// Several statements in one text count as a write.
statement_kind classify_statement(std::string_view text);

// True where a statement taken for a read might write all the same, by a function that it calls. One without
// any parenthesis calls none (a view or an operator that writes is beyond this hint: see docs/CALLERS.md).
bool may_call_functions(std::string_view text);

// The name of the feature that cannot be carried over shared connections, or nothing.
std::string_view unsupported_feature(std::string_view text);

// The name and value of "set name = value", "set name to value" and "reset name" (empty value).
struct setting_change {
    std::string name;   // lower case
    std::string value;  // without quotes
    bool local = false; // "set local": ends with the transaction
    bool reset = false;
    auto operator<=>(const setting_change&) const = default;
};
setting_change parse_setting(std::string_view text);

} // namespace larchpin
