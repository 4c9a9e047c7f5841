// Who may open a session, and whose it is.
//
// A key that is not in the table may be a new one, as long as the table is not known to be the newest: then
// the caller is asked to come back, and is neither refused for good nor let in.
#pragma once

#include "core/cluster_state.hpp"

#include <cstdint>

namespace larchpin {

enum class admission_verdict : std::uint8_t {
    admitted,
    refused,   // the newest table holds no such key
    undetermined, // the table may be old
};

struct admission {
    admission_verdict verdict = admission_verdict::refused;
    workspace_id workspace; // empty where the table names none, or the route is public and the key unknown
    auto operator<=>(const admission&) const = default;
};

// `key_digest` is of what the caller showed. Asked anew for each transaction: a key may be taken away.
admission admit(const table& t, const route_entry& route, const std::string& key_digest,
                bool table_is_current);

} // namespace larchpin
