#include "core/result_codes.hpp"

#include <algorithm>
#include <array>

namespace larchpin {
namespace {

constexpr auto table = std::to_array<result_code_entry>({
    {result_code::ok, "ok", "00000", "It worked."},
    {result_code::settings_unreadable, "settings_unreadable", "F0000",
     "The settings file cannot be read or is not TOML."},
    {result_code::settings_unknown_key, "settings_unknown_key", "F0000",
     "A key that does not exist; mind the spelling."},
    {result_code::settings_wrong_type, "settings_wrong_type", "F0000",
     "A value of another type than the key takes."},
    {result_code::settings_out_of_range, "settings_out_of_range", "F0000",
     "A value outside the range that the message names."},
    {result_code::settings_missing_key, "settings_missing_key", "F0000",
     "A key that has no default is missing."},
    {result_code::address_in_use, "address_in_use", "F0000",
     "The address to listen on is taken or not ours."},
    {result_code::data_folder_unusable, "data_folder_unusable", "58030",
     "The data folder cannot be opened, written or synced."},
    {result_code::log_damaged, "log_damaged", "58030",
     "The control log is damaged before its end; restore the instance with an empty data folder."},
    {result_code::bad_command_line, "bad_command_line", "F0000", "An unknown flag or a missing argument."},
    {result_code::internal_fault, "internal_fault", "XX000",
     "The process ended because of a fault of its own; the message names it."},
    {result_code::not_leader, "not_leader", "57P03",
     "This control instance does not lead; another one is asked."},
    {result_code::no_quorum, "no_quorum", "57P03",
     "No majority of control instances answers; nothing was changed, or its fate is not known yet."},
    {result_code::revision_conflict, "revision_conflict", "40001",
     "The table has changed since the revision that the edit was made on; get, edit and apply again."},
    {result_code::table_invalid, "table_invalid", "22023",
     "The table breaks a rule; nothing of it was taken."},
    {result_code::already_bootstrapped, "already_bootstrapped", "55000",
     "The data folder already holds a cluster."},
    {result_code::unauthenticated, "unauthenticated", "28000",
     "The request does not carry a valid signature of the shared key."},
    {result_code::bad_message, "bad_message", "08P01",
     "A message that cannot be decoded or exceeds a limit."},
    {result_code::not_in_force_yet, "not_in_force_yet", "57014",
     "The edit is accepted and stays so, but is not in force everywhere yet."},
    {result_code::no_such_record, "no_such_record", "42704",
     "The name is not in the table or not announced."},
    {result_code::switchover_refused, "switchover_refused", "55000",
     "The switchover cannot be started: the target is no healthy replica or a change is running."},
    {result_code::no_lease, "no_lease", "57P03",
     "This daemon is cut off from control and may not send writes."},
    {result_code::no_primary, "no_primary", "57P03",
     "The group has no primary at the moment; a failover is running."},
    {result_code::no_replica, "no_replica", "57P03",
     "No replica can give the guarantee and the primary cannot be used."},
    {result_code::queue_full, "queue_full", "53300",
     "Too many requests wait for this service's connections."},
    {result_code::deadline_passed, "deadline_passed", "57014",
     "The request's deadline passed; `run` says whether it may have taken effect."},
    {result_code::connection_lost, "connection_lost", "08006",
     "The connection to the backend server broke under the request."},
    {result_code::term_changed, "term_changed", "08007",
     "The primary was replaced, or the lease ran out, before its answer could be trusted."},
    {result_code::lost_write, "lost_write", "40003",
     "The session has seen writes that were lost with a replaced primary; reset larchpin.session to go on."},
    {result_code::duplicate_request, "duplicate_request", "23505",
     "A request with this idempotency key has run already."},
    {result_code::unknown_group, "unknown_group", "3D000",
     "No group of backend servers has the name of this database."},
    {result_code::unknown_service, "unknown_service", "28000",
     "The table has no service with the name of this user."},
    {result_code::stopping, "stopping", "57P01",
     "This daemon is being stopped; connect again, to another one."},
    {result_code::overloaded, "overloaded", "53300", "The daemon has no room for the connection or request."},
    {result_code::not_safe_yet, "not_safe_yet", "40003",
     "The write ran on the primary, but no second failure domain confirmed it in time."},
    {result_code::server_left, "server_left", "57P03",
     "The primary has announced that it leaves, its time is over, and no other server can take over yet."},
    {result_code::rate_limited, "rate_limited", "53400",
     "The workspace has asked for more operations than its rate and burst allow."},
    {result_code::log_awaited, "log_awaited", "57P03",
     "The group's primary has failed, and no server that answers is known to hold every acknowledged write."},
    {result_code::unsupported, "unsupported", "0A000",
     "A feature that cannot be carried over shared connections."},
    {result_code::protocol_violation, "protocol_violation", "08P01",
     "A message that the protocol does not allow here."},
    {result_code::bad_setting, "bad_setting", "22023",
     "An unknown larchpin.* setting or a value that it does not take."},
    {result_code::authentication_failed, "authentication_failed", "28P01", "The password is wrong."},
    {result_code::too_large, "too_large", "54000", "A message larger than the limit."},
    {result_code::unknown_key, "unknown_key", "28000", "No workspace of the table holds this key."},
});

} // namespace

std::span<const result_code_entry> result_code_table() {
    return table;
}

const result_code_entry& describe(result_code code) {
    const auto* found =
        std::find_if(table.begin(), table.end(), [code](const auto& e) { return e.code == code; });
    return found == table.end() ? table.front() : *found;
}

std::string_view to_string(run_state run) {
    switch (run) {
    case run_state::not_run: return "not-run";
    case run_state::ran: return "ran";
    case run_state::unknown: break;
    }
    return "unknown";
}

} // namespace larchpin
