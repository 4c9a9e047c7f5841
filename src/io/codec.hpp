// Between the core's value types and the protobuf messages on the wire and on disk.
//
// Decoding checks sizes and ranges, since the bytes may come from a stranger or a damaged disk; a message
// that breaks a limit is refused whole (nothing returned).
#pragma once

#include "core/cluster_state.hpp"
#include "core/control.hpp"
#include "core/raft.hpp"

#include <optional>
#include <string>

namespace larchpin {

namespace wire {
class cluster_state;
class group_record;
class raft_entry;
class raft_member;
class raft_message;
class raft_record;
class rate_reply;
class rate_request;
class acknowledged_mark;
class renewal;
class renewal_reply;
class server_announcement;
class server_record;
class table;
class edit_table;
class instance_record;
class raft_configuration;
class raft_snapshot;
} // namespace wire

// A group as two daemons of different versions may see it: unknown phases read as fencing.
group_record from_wire(const wire::group_record& m);
void to_wire(const group_record& v, wire::group_record& m);
server_record from_wire(const wire::server_record& m);
void to_wire(const server_record& v, wire::server_record& m);
instance_record from_wire(const wire::instance_record& m);
void to_wire(const instance_record& v, wire::instance_record& m);
raft::configuration from_wire(const wire::raft_configuration& m);
void to_wire(const raft::configuration& v, wire::raft_configuration& m);
raft::snapshot from_wire(const wire::raft_snapshot& m);
void to_wire(const raft::snapshot& v, wire::raft_snapshot& m);
table from_wire(const wire::table& m);
void to_wire(const table& v, wire::table& m);
edit_table from_wire(const wire::edit_table& m);
void to_wire(const edit_table& v, wire::edit_table& m);
cluster_state from_wire(const wire::cluster_state& m);
void to_wire(const cluster_state& v, wire::cluster_state& m);
server_announcement from_wire(const wire::server_announcement& m);
void to_wire(const server_announcement& v, wire::server_announcement& m);
acknowledged_mark from_wire(const wire::acknowledged_mark& m);
void to_wire(const acknowledged_mark& v, wire::acknowledged_mark& m);
renewal from_wire(const wire::renewal& m);
void to_wire(const renewal& v, wire::renewal& m);
renewal_reply from_wire(const wire::renewal_reply& m);
void to_wire(const renewal_reply& v, wire::renewal_reply& m);
rate_request from_wire(const wire::rate_request& m);
void to_wire(const rate_request& v, wire::rate_request& m);
std::vector<rate_grant> from_wire(const wire::rate_reply& m);
void to_wire(const std::vector<rate_grant>& v, wire::rate_reply& m);
raft::entry from_wire(const wire::raft_entry& m);
void to_wire(const raft::entry& v, wire::raft_entry& m);
raft::member from_wire(const wire::raft_member& m);
void to_wire(const raft::member& v, wire::raft_member& m);
raft::message from_wire(const wire::raft_message& m);
void to_wire(const raft::message& v, wire::raft_message& m);
raft::record from_wire(const wire::raft_record& m);
void to_wire(const raft::record& v, wire::raft_record& m);

// Commands and snapshots, as the log holds them. Nothing is returned for bytes that are no such message.
std::string encode_command(const command& c);
std::optional<command> decode_command(const std::string& bytes);
std::string encode_state(const cluster_state& s);
std::optional<cluster_state> decode_state(const std::string& bytes);

} // namespace larchpin
