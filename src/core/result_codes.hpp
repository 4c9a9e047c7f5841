// Numbered result codes, as shown to clients and operators and in log lines. docs/ERRORS.md documents the
// same table; a test compares the two.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace larchpin {

enum class result_code : std::uint16_t {
    ok = 0,
    // 1000: startup, settings, files
    settings_unreadable = 1001,
    settings_unknown_key = 1002,
    settings_wrong_type = 1003,
    settings_out_of_range = 1004,
    settings_missing_key = 1005,
    address_in_use = 1006,
    data_folder_unusable = 1007,
    log_damaged = 1008,
    bad_command_line = 1009,
    internal_fault = 1010,
    // 2000: control plane and the table
    not_leader = 2001,
    no_quorum = 2002,
    revision_conflict = 2003,
    table_invalid = 2004,
    already_bootstrapped = 2005,
    unauthenticated = 2006,
    bad_message = 2007,
    not_in_force_yet = 2008,
    no_such_record = 2009,
    switchover_refused = 2010,
    // 3000: requests
    no_lease = 3001,
    no_primary = 3002,
    no_replica = 3003,
    queue_full = 3004,
    deadline_passed = 3005,
    connection_lost = 3006,
    term_changed = 3007,
    lost_write = 3008,
    duplicate_request = 3009,
    unknown_group = 3010,
    unknown_service = 3011,
    stopping = 3012,
    overloaded = 3013,
    not_safe_yet = 3014,
    server_left = 3015,
    rate_limited = 3016,
    log_awaited = 3017,
    // 4000: client protocol
    unsupported = 4001,
    protocol_violation = 4002,
    bad_setting = 4003,
    authentication_failed = 4004,
    too_large = 4005,
    unknown_key = 4006,
};

// Whether a request took effect, as far as larchpin can prove it.
enum class run_state : std::uint8_t {
    not_run, // proved: the request did not and will not take effect
    ran,     // proved: the request took effect
    unknown, // neither outcome is proved
};

struct result_code_entry {
    result_code code;
    std::string_view name;
    std::string_view sqlstate; // sent to the client in error field C
    std::string_view meaning;
};

std::span<const result_code_entry> result_code_table();
const result_code_entry& describe(result_code code);
std::string_view to_string(run_state run);

} // namespace larchpin
