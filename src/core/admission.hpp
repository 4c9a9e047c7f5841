// Authorization of sessions by key, and their workspace.
//
// A key that the table lacks may be new, unless the table is known to be current. In this case the caller is
// asked to retry, and is neither rejected permanently nor admitted.
#pragma once

#include "core/cluster_state.hpp"

#include <cstdint>

namespace larchpin {

enum class admission_verdict : std::uint8_t {
    admitted,
    refused,      // the current table has no such key
    undetermined, // the table may be stale
};

struct admission {
    admission_verdict verdict = admission_verdict::refused;
    workspace_id workspace; // empty = no workspaces in the table, or public route and unknown key
    auto operator<=>(const admission&) const = default;
};

// Checks a session's key, given as digest. Callers repeat the check for each transaction, since a key may be
// revoked.
admission admit(const table& t, const route_entry& route, const std::string& key_digest,
                bool table_is_current);

} // namespace larchpin
