// Every statement that larchpin itself sends to a backend server.
#pragma once

#include <string_view>

namespace larchpin {

// A server's timeline: a primary's own; a replica's by what it receives, or, once nobody sends, by how far it
// has recovered.
#define LARCHPIN_TIMELINE_SQL                                                                                \
    "case when pg_is_in_recovery() then coalesce((select received_tli from pg_stat_wal_receiver), "          \
    "greatest((select timeline_id from pg_control_checkpoint()), "                                           \
    "(select min_recovery_end_timeline from pg_control_recovery()))) "                                       \
    "else ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int end"

// One row: in recovery (t or f), timeline, position in bytes.
constexpr std::string_view probe_sql =
    "/* larchpin probe */ select pg_is_in_recovery(), " LARCHPIN_TIMELINE_SQL
    ", pg_wal_lsn_diff(case when pg_is_in_recovery() then pg_last_wal_replay_lsn() "
    "else pg_current_wal_lsn() end, '0/0')::bigint";

// Only while the server is still where the choice was made: a statement that lay in a frozen server's socket
// must not promote it after it has followed another primary. The timeline's number follows.
constexpr std::string_view promote_sql =
    "/* larchpin promote */ select pg_promote() where " LARCHPIN_TIMELINE_SQL " = ";

#undef LARCHPIN_TIMELINE_SQL

// One row: when the server process started, in Unix milliseconds, as its announcements tell.
constexpr std::string_view start_sql =
    "/* larchpin start */ select (extract(epoch from pg_postmaster_start_time()) * 1000)::bigint";

// The row that makes a request with an idempotency key run at most once: it is written in the request's own
// transaction, so it lives and dies with the write, also over a failover.
//   create table larchpin_request (key text primary key, value text)
constexpr std::string_view claim_key_sql = "insert into larchpin_request (key, value) values ($1, $2)";

constexpr std::string_view sqlstate_unique_violation = "23505";
constexpr std::string_view sqlstate_read_only = "25006";

} // namespace larchpin
