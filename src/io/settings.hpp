// A daemon's settings, read from one TOML file. Every key is checked; docs/OPERATIONS.md lists them.
//
// Usage
//   leaf::result<settings> s = load_settings("larchpin.toml");
// An error carries a settings_problem: file, line, key, what is allowed, and the numbered code.
#pragma once

#include "core/rate_limits.hpp"
#include "core/result_codes.hpp"
#include "core/types.hpp"
#include "io/log.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <vector>

namespace larchpin {

struct settings {
    // [instance]
    instance_id id; // unique in the site
    failure_domain domain;
    std::string region = "default";
    // [entry]
    std::string entry_listen = "127.0.0.1:6432"; // callers, PostgreSQL protocol
    unsigned max_clients = 5000;
    duration drain_time = std::chrono::seconds{30}; // a planned stop waits this long for requests in flight
    duration drain_notice{0}; // before that it goes on as before, while a balancer takes it out
    bool close_without_lease =
        false;                   // ends idle sessions while control is out of reach: a balancer finds others
    std::string tls_certificate; // PEM; empty: no TLS for callers
    std::string tls_key;         // PEM
    // [peer]
    std::string peer_listen =
        "127.0.0.1:7432";     // our own processes, backend servers' announcements, operators
    std::string peer_address; // as others reach it; empty: peer_listen
    std::string key_file;     // shared key, 32 bytes or more
    std::string old_key_file; // still taken, for a rotation; may be empty
    // [control]
    bool control_member = false;                // keeps a copy of the control log; needs data_folder
    std::vector<std::string> control_addresses; // peer listeners of the control instances
    // Entries of control_addresses that are none, a line for a person each. The others are in force: one slip
    // of whoever renders the list must not keep an instance from control.
    std::vector<std::string> ignored_addresses;
    unsigned control_port = 0; // replaces the port of each of them, where they name another listener; 0: none
    bool founds_cluster = false; // first start of all: the instances of control_addresses found the cluster
    std::string data_folder;
    duration lease = std::chrono::milliseconds{1000};
    duration heartbeat = std::chrono::milliseconds{75};
    duration election = std::chrono::milliseconds{450};
    unsigned tolerated_losses = 0;    // disks lost at once without losing a change; 0: every instance votes
    unsigned snapshot_entries = 4096; // log entries before it is cut by a snapshot
    // [limits] what workspaces may exceed their rates by, before it counts as a broken limit
    rate_bounds rates;
    // [backend]
    std::string backend_user;          // empty: the caller's user
    std::string backend_password_file; // empty: none
    unsigned kept_connections = 0;     // of a service's limit to one server, kept back for our own probes
    // One instance orders all statements for a server, where few instances hold a server's connections.
    bool order_statements = false;
    unsigned slots = 0; // statements that a server runs at once which announces no number; 0: not known
    duration probe_interval = std::chrono::milliseconds{50};
    duration detect_time = std::chrono::milliseconds{400}; // without an answer for so long: dead
    // A server that announced that it leaves may be sent requests for so long. Servers are told to wait
    // longer than that before they end: 7 s at the users' sites.
    duration leave_time = std::chrono::seconds{7};
    // [log]
    severity log_level = severity::info;
    auto operator<=>(const settings&) const = default;
};

struct settings_problem {
    result_code code = result_code::settings_unreadable;
    std::string file;
    unsigned line = 0; // 0: the whole file
    std::string key;
    std::string detail;
};

// The file's text; nothing where it cannot be read.
std::optional<std::string> read_settings_text(const std::string& file);

boost::leaf::result<settings> load_settings(const std::string& file);

// Whether a process may start by them; a running one takes up less than the whole list, too. Founders must
// all have the same list, since the cluster's first entry is made of it.
boost::leaf::result<void> check_for_start(const settings& s, const std::string& file);

// A line in the log for each entry that is ignored.
void log_ignored_addresses(const settings& s);

// The same from text, for tests and fuzzing.
boost::leaf::result<settings> parse_settings(const std::string& text, const std::string& file);

// One line for a person.
std::string to_string(const settings_problem& p);

} // namespace larchpin
