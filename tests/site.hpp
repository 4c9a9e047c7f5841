// A small site of real processes on loopback, for failure tests and measurements: daemons, stand-in backend
// servers, and callers over libpq. Everything that is started is ended, by process id, by the destructor.
//
// Usage
//   site s({.daemons = 3, .groups = 1});
//   s.start();                                   // waits until writes can land
//   caller c = s.connect(0, "shop", "g0");
//   outcome o = c.run("insert into t values ('k', 'v')");
//   s.stop_server("g0-s0", SIGKILL);
#pragma once

#include "core/result_codes.hpp"
#include "core/types.hpp"
#include "ctl/operator_client.hpp"
#include "ctl/table_file.hpp"

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct pg_conn;

namespace larchpin::testing {

// How a statement ended for the caller.
struct outcome {
    bool ok = false;
    std::string sqlstate;
    unsigned code = 0; // larchpin's own, 0: none
    std::string run;   // not-run, ran, unknown; empty for a server's own error
    std::string value; // first column of the first row
    std::size_t rows = 0;
    std::string message;
};

class caller {
public:
    caller(const std::string& address, unsigned port, const std::string& service, const std::string& group,
           const std::string& options);
    ~caller();
    caller(caller&& other) noexcept;
    caller& operator=(caller&& other) noexcept;
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    outcome run(const std::string& sql);
    outcome run_with(const std::string& sql, const std::vector<std::string>& values);
    // Sends without waiting; finish() waits.
    bool send(const std::string& sql);
    outcome finish();
    bool cancel();
    [[nodiscard]] bool connected() const;
    [[nodiscard]] std::string token() const; // larchpin.session
    [[nodiscard]] std::string error() const;
    [[nodiscard]] const std::string& notices() const { return *notices_; } // also what came while idle
    [[nodiscard]] pg_conn* raw() const { return connection_; }

private:
    pg_conn* connection_ = nullptr;
    std::unique_ptr<std::string> notices_;
};

struct site_options {
    int daemons = 3;
    int controls = 3;              // the first ones are control members too
    unsigned tolerated_losses = 0; // of control members with their disks; 0: all vote
    int groups = 1;
    int servers = 3;            // of each group
    unsigned lag_ms = 20;       // of the replicas
    unsigned sync_replicas = 0; // that have a commit before the servers answer it
    bool keeps_data = false;    // servers that start again have what they had; else they are empty
    unsigned service_ms = 0;
    unsigned max_connections = 20; // the service's limit at one server
    unsigned server_limit = 200;   // the servers' own
    unsigned deadline_ms = 5000;
    unsigned lease_ms = 1000;
    unsigned detect_ms = 400;
    unsigned drain_ms = 5000;
    unsigned snapshot_entries = 4096;
    std::vector<std::string> services = {"shop"};
    // Puts a relay before a listener and gives its port; empty: everyone connects directly.
    std::function<unsigned(unsigned port)> relay = {};
};

class site {
public:
    explicit site(site_options options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;
    site(site&&) = delete;
    site& operator=(site&&) = delete;

    // False where a step of the start takes half a minute; says which on standard error.
    bool start();
    void start_daemon(int i);
    void start_server(const std::string& name);
    void signal_daemon(int i, int signal);
    void signal_server(const std::string& name, int signal);
    // Ends it and waits for its end; returns its exit status, or -1 after a signal.
    int stop_daemon(int i, int signal);
    void stop_server(const std::string& name, int signal);
    int wait_daemon(int i); // for an end that was asked for otherwise
    void lose_data(int i);  // its data folder; the daemon must be stopped
    // Writes the daemon's settings anew with these control addresses; a running daemon reads them soon.
    void set_control_addresses(int i, const std::vector<std::string>& addresses);

    caller connect(int daemon, const std::string& service, const std::string& group,
                   const std::string& options = "") const;
    caller connect_server(const std::string& name) const;                 // without larchpin
    [[nodiscard]] std::string primary_of(const std::string& group) const; // as control says; "" where unknown
    [[nodiscard]] term_number term_of(const std::string& group) const;
    [[nodiscard]] operator_client operators() const;
    [[nodiscard]] std::string log_of_daemon(int i) const;
    [[nodiscard]] pid_t pid_of_daemon(int i) const;
    [[nodiscard]] std::string peer_address(int i) const; // as others reach it
    [[nodiscard]] std::vector<unsigned> relays() const;  // ports of all
    [[nodiscard]] unsigned entry_port(int i) const;
    [[nodiscard]] const site_options& options() const { return options_; }
    [[nodiscard]] const std::string& folder() const { return folder_; }

private:
    struct server_process {
        std::string group;
        int index = 0;
        unsigned port = 0;
        unsigned relay_port = 0; // `port` where there is none
        pid_t pid = 0;
    };
    struct daemon_process {
        unsigned entry_port = 0;
        unsigned peer_port = 0;
        unsigned relay_port = 0;
        pid_t pid = 0;
        std::vector<std::string> control_addresses; // of its settings
    };

    void write_settings(int i) const;
    [[nodiscard]] bool has_started(const char* otherwise, const std::function<bool()>& holds) const;
    [[nodiscard]] bool takes_bootstrap() const;
    [[nodiscard]] bool takes_table() const;  // accepts the table of the options
    [[nodiscard]] bool stands() const;       // all votes given, all servers alive
    [[nodiscard]] bool takes_writes() const; // through every daemon, to every group

    site_options options_;
    std::string folder_;
    std::vector<daemon_process> daemons_;
    std::map<std::string, server_process> servers_;
};

// Looks every few milliseconds until it holds; false after the time. For failure tests the time is a limit
// that a sound run never comes near, not an expectation.
bool wait_until(const std::function<bool()>& holds, duration at_most = std::chrono::seconds{30});

// Runs one of our programs; its output (both streams) and exit status.
struct program_result {
    int status = -1;
    std::string output;
};
program_result run_program(const std::vector<std::string>& arguments);

} // namespace larchpin::testing
