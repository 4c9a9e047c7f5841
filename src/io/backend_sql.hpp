// Every statement that larchpin itself sends to a backend server.
#pragma once

#include <string_view>

namespace larchpin {

// One row: in recovery (t or f), timeline, position in bytes. A replica's timeline is the one it receives.
constexpr std::string_view probe_sql =
    "/* larchpin probe */ select pg_is_in_recovery(), "
    "case when pg_is_in_recovery() then coalesce((select received_tli from pg_stat_wal_receiver), 0) "
    "else ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int end, "
    "pg_wal_lsn_diff(case when pg_is_in_recovery() then pg_last_wal_replay_lsn() "
    "else pg_current_wal_lsn() end, '0/0')::bigint";

constexpr std::string_view promote_sql = "/* larchpin promote */ select pg_promote()";

// The row that makes a request with an idempotency key run at most once: it is written in the request's own
// transaction, so it lives and dies with the write, also over a failover.
//   create table larchpin_request (key text primary key, value text)
constexpr std::string_view claim_key_sql = "insert into larchpin_request (key, value) values ($1, $2)";

constexpr std::string_view sqlstate_unique_violation = "23505";
constexpr std::string_view sqlstate_read_only = "25006";

} // namespace larchpin
