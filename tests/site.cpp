// Index
//   [processes]  [caller]  [site]
#include "site.hpp"

#include "generated/larchpin.pb.h"
#include "io/auth.hpp"
#include "ports.hpp"

#include <libpq-fe.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace larchpin::testing {
namespace {

constexpr const char* host = "127.0.0.1";
const std::string build = LARCHPIN_BINARY_DIR;
constexpr std::size_t shown_log_bytes = 4000; // of a daemon, where a site did not start

//-----------------------------------------------------------------------------
// [processes]
//-----------------------------------------------------------------------------

pid_t spawn(const std::vector<std::string>& arguments, const std::string& log) {
    std::vector<char*> raw;
    for (const std::string& a : arguments) {
        raw.push_back(const_cast<char*>(a.c_str())); // NOLINT(*-const-cast): execv's signature
    }
    raw.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also where a run is ended from outside
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        // A copy of a relay's connection would keep it open after its end.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(raw[0], raw.data());
        ::_exit(127);
    }
    return pid;
}

int reap(pid_t pid) {
    int status = 0;
    if (pid <= 0 || ::waitpid(pid, &status, 0) != pid) {
        return -1;
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string read_file(const std::string& path) {
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string domain_of(int i) {
    return "d" + std::to_string(i % 3);
}

std::string error_field(const PGresult* result, int field) {
    const char* text = PQresultErrorField(result, field);
    return text == nullptr ? "" : text;
}

outcome to_outcome(PGresult* result) {
    outcome o;
    const ExecStatusType status = PQresultStatus(result);
    o.ok = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK || status == PGRES_EMPTY_QUERY;
    o.sqlstate = error_field(result, PG_DIAG_SQLSTATE);
    o.run = error_field(result, 'o');
    const std::string code = error_field(result, 'k');
    o.code = code.empty() ? 0 : static_cast<unsigned>(std::stoul(code));
    o.message = PQresultErrorMessage(result);
    o.rows = static_cast<std::size_t>(PQntuples(result));
    if (o.rows > 0 && PQnfields(result) > 0) {
        o.value = PQgetvalue(result, 0, 0);
    }
    PQclear(result);
    return o;
}

} // namespace

bool wait_until(const std::function<bool()>& holds, duration at_most) {
    const auto end = std::chrono::steady_clock::now() + at_most;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return true;
}

program_result run_program(const std::vector<std::string>& arguments) {
    const std::string log = std::filesystem::temp_directory_path() / ("larchpin-" + random_hex(8) + ".out");
    std::vector<std::string> all = arguments;
    all[0] = build + "/" + all[0];
    const pid_t pid = spawn(all, log);
    program_result result;
    result.status = reap(pid);
    result.output = read_file(log);
    std::error_code ignored;
    std::filesystem::remove(log, ignored);
    return result;
}

//-----------------------------------------------------------------------------
// [caller]
//-----------------------------------------------------------------------------

caller::caller(const std::string& address, unsigned port, const std::string& service,
               const std::string& group, const std::string& options) {
    const std::string port_text = std::to_string(port);
    const std::array<const char*, 8> keys{"hostaddr",        "port", "user", "dbname", "options", "sslmode",
                                          "connect_timeout", nullptr};
    const std::array<const char*, 8> values{
        address.c_str(), port_text.c_str(), service.c_str(), group.c_str(), options.c_str(), "disable", "20",
        nullptr};
    connection_ = PQconnectdbParams(keys.data(), values.data(), 0);
    notices_ = std::make_unique<std::string>();
    PQsetNoticeProcessor(
        connection_, [](void* to, const char* text) { static_cast<std::string*>(to)->append(text); },
        notices_.get());
}

caller::~caller() {
    if (connection_ != nullptr) {
        PQfinish(connection_);
    }
}

caller::caller(caller&& other) noexcept
    : connection_(other.connection_), notices_(std::move(other.notices_)) {
    other.connection_ = nullptr;
}

caller& caller::operator=(caller&& other) noexcept {
    std::swap(connection_, other.connection_);
    std::swap(notices_, other.notices_);
    return *this;
}

bool caller::connected() const {
    return PQstatus(connection_) == CONNECTION_OK;
}

std::string caller::error() const {
    return PQerrorMessage(connection_);
}

std::string caller::token() const {
    const char* text = PQparameterStatus(connection_, "larchpin.session");
    return text == nullptr ? "" : text;
}

outcome caller::run(const std::string& sql) {
    return to_outcome(PQexec(connection_, sql.c_str()));
}

outcome caller::run_with(const std::string& sql, const std::vector<std::string>& values) {
    std::vector<const char*> raw;
    for (const std::string& v : values) {
        raw.push_back(v.c_str());
    }
    return to_outcome(PQexecParams(connection_, sql.c_str(), static_cast<int>(raw.size()), nullptr,
                                   raw.data(), nullptr, nullptr, 0));
}

bool caller::send(const std::string& sql) {
    return PQsendQuery(connection_, sql.c_str()) == 1;
}

outcome caller::finish() {
    outcome last;
    while (PGresult* result = PQgetResult(connection_)) {
        last = to_outcome(result);
    }
    return last;
}

bool caller::cancel() {
    PGcancel* handle = PQgetCancel(connection_);
    std::array<char, 256> problem{};
    const bool sent = PQcancel(handle, problem.data(), static_cast<int>(problem.size())) == 1;
    PQfreeCancel(handle);
    return sent;
}

//-----------------------------------------------------------------------------
// [site]
//-----------------------------------------------------------------------------

site::site(site_options options) : options_(std::move(options)) {
    folder_ = std::filesystem::temp_directory_path() / ("larchpin-" + random_hex(8));
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ + "/key") << random_hex(24) << "\n";
    const auto relay = [this](unsigned port) { return options_.relay ? options_.relay(port) : port; };
    for (int i = 0; i < options_.daemons; ++i) {
        const unsigned peer_port = free_port();
        daemons_.push_back({.entry_port = free_port(),
                            .peer_port = peer_port,
                            .relay_port = relay(peer_port),
                            .control_addresses = {}});
    }
    for (daemon_process& d : daemons_) {
        d.control_addresses = {peer_address(0), peer_address(1), peer_address(2)};
    }
    for (int g = 0; g < options_.groups; ++g) {
        for (int s = 0; s < options_.servers; ++s) {
            const std::string group = "g" + std::to_string(g);
            const unsigned port = free_port();
            servers_[group + "-s" + std::to_string(s)] = {
                .group = group, .index = s, .port = port, .relay_port = relay(port)};
        }
    }
}

site::~site() {
    for (auto& d : daemons_) {
        if (d.pid > 0) {
            ::kill(d.pid, SIGKILL);
            reap(d.pid);
        }
    }
    for (auto& [name, s] : servers_) {
        if (s.pid > 0) {
            ::kill(s.pid, SIGKILL);
            reap(s.pid);
        }
    }
    std::error_code ignored;
    if (std::getenv("LARCHPIN_KEEP") == nullptr) {
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::string site::peer_address(int i) const {
    return std::string(host) + ":" + std::to_string(daemons_.at(static_cast<std::size_t>(i)).relay_port);
}

std::vector<unsigned> site::relays() const {
    std::vector<unsigned> ports;
    for (const daemon_process& d : daemons_) {
        ports.push_back(d.relay_port);
    }
    for (const auto& [name, s] : servers_) {
        ports.push_back(s.relay_port);
    }
    return ports;
}

unsigned site::entry_port(int i) const {
    return daemons_.at(static_cast<std::size_t>(i)).entry_port;
}

void site::write_settings(int i) const {
    std::ofstream out(folder_ + "/daemon-" + std::to_string(i) + ".toml");
    out << "[instance]\nid = \"i" << i << "\"\nfailure_domain = \"" << domain_of(i) << "\"\n"
        << "[entry]\nlisten = \"" << host << ":" << entry_port(i) << "\"\ndrain_ms = " << options_.drain_ms
        << "\n"
        << "[peer]\nlisten = \"" << host << ":" << daemons_.at(static_cast<std::size_t>(i)).peer_port
        << "\"\naddress = \"" << peer_address(i) << "\"\nkey_file = \"" << folder_ << "/key\"\n"
        << "[backend]\ndetect_ms = " << options_.detect_ms << "\n"
        << "[control]\nlease_ms = " << options_.lease_ms
        << "\nsnapshot_entries = " << options_.snapshot_entries
        << "\ntolerated_losses = " << options_.tolerated_losses << "\naddresses = [";
    const char* separator = "";
    for (const std::string& address : daemons_.at(static_cast<std::size_t>(i)).control_addresses) {
        out << separator << "\"" << address << "\"";
        separator = ", ";
    }
    out << "]\n";
    if (i < options_.controls) {
        out << "member = true\ndata_folder = \"" << folder_ << "/data-" << i << "\"\n";
    }
}

void site::start_daemon(int i) {
    write_settings(i);
    const std::string name = folder_ + "/daemon-" + std::to_string(i);
    daemons_.at(static_cast<std::size_t>(i)).pid =
        spawn({build + "/larchpind", "--settings", name + ".toml"}, name + ".log");
}

void site::start_server(const std::string& name) {
    server_process& s = servers_.at(name);
    std::vector<std::string> arguments{build + "/larchpin-standin",
                                       "--id",
                                       name,
                                       "--group",
                                       s.group,
                                       "--domain",
                                       domain_of(s.index),
                                       "--port",
                                       std::to_string(s.port),
                                       "--announce-port",
                                       std::to_string(s.relay_port),
                                       "--key-file",
                                       folder_ + "/key",
                                       "--lag-ms",
                                       std::to_string(options_.lag_ms),
                                       "--sync-replicas",
                                       std::to_string(options_.sync_replicas),
                                       "--service-ms",
                                       std::to_string(options_.service_ms),
                                       "--max-connections",
                                       std::to_string(options_.server_limit)};
    if (s.index != 0 || s.pid != 0) { // one that comes back follows whoever it is told to
        const std::string first = s.group + "-s" + (s.index == 0 ? "1" : "0");
        arguments.insert(arguments.end(),
                         {"--follow", std::string(host) + ":" + std::to_string(servers_.at(first).port)});
    }
    if (options_.keeps_data) {
        arguments.insert(arguments.end(), {"--data", folder_ + "/" + name + ".data"});
    }
    for (int i = 0; i < options_.daemons && i < options_.controls; ++i) {
        arguments.insert(arguments.end(), {"--announce-to", peer_address(i)});
    }
    s.pid = spawn(arguments, folder_ + "/" + name + ".log");
}

bool site::takes_table() const {
    table_file t;
    for (const std::string& name : options_.services) {
        service_entry entry;
        entry.id = {name};
        entry.max_connections = options_.max_connections;
        entry.deadline = std::chrono::milliseconds{options_.deadline_ms};
        t.content.services.push_back(entry);
    }
    for (const auto& [name, server] : servers_) {
        if (options_.sync_replicas > 0 && server.index == 0) {
            t.content.groups.push_back({.id = {server.group}, .sync_replicas = options_.sync_replicas});
        }
    }
    const std::string file = folder_ + "/table.toml";
    std::ofstream(file) << format_table(t);
    // The same change again, after an answer that was lost, is the first one.
    const program_result applied =
        run_program({"larchpinctl", "--key-file", folder_ + "/key", "--to", peer_address(0), "apply",
                     "--wait", "--change-id", "start", file});
    if (applied.status != 0) {
        std::cerr << "site: the table was not applied: " << applied.output << "\n";
    }
    return applied.status == 0;
}

bool site::start() {
    for (int i = 0; i < options_.daemons; ++i) {
        start_daemon(i);
    }
    if (!has_started("no daemon took the bootstrap", [this] { return takes_bootstrap(); }) ||
        !has_started("the table was not accepted", [this] { return takes_table(); })) {
        return false;
    }
    for (const auto& [name, s] : servers_) {
        start_server(name);
    }
    return has_started("a vote or a server is missing", [this] { return stands(); }) &&
           has_started("writes do not land through every daemon", [this] { return takes_writes(); });
}

// Waits for one step of the start; a step that never holds is named on standard error, with what the daemons
// said last.
bool site::has_started(const char* otherwise, const std::function<bool()>& holds) const {
    if (wait_until(holds)) {
        return true;
    }
    std::cerr << "site did not start: " << otherwise << "\n";
    for (int i = 0; i < options_.daemons; ++i) {
        const std::string log = log_of_daemon(i);
        std::cerr << "daemon " << i << ": " << log.substr(log.size() - std::min(log.size(), shown_log_bytes))
                  << "\n";
    }
    return false;
}

bool site::takes_bootstrap() const {
    return ask_one(operators(), peer_address(0), "/v1/bootstrap", "").has_value();
}

bool site::stands() const {
    const auto body = ask_one(operators(), peer_address(0), "/v1/status", "");
    wire::status_reply status;
    const auto voters = [&status] {
        return std::count_if(status.members().begin(), status.members().end(),
                             [](const auto& m) { return m.voter(); });
    };
    const int wanted = options_.tolerated_losses == 0 ? options_.controls
                                                      : 2 * static_cast<int>(options_.tolerated_losses) + 1;
    return body && status.ParseFromString(body->body) && status.members_size() == options_.controls &&
           voters() == wanted && status.servers_size() == options_.groups * options_.servers &&
           std::all_of(status.servers().begin(), status.servers().end(),
                       [](const auto& m) { return m.alive(); });
}

bool site::takes_writes() const {
    for (int i = 0; i < options_.daemons; ++i) {
        for (int g = 0; g < options_.groups; ++g) {
            caller c = connect(i, options_.services.front(), "g" + std::to_string(g));
            if (!c.run("update ready set value = 'x' where key = 'x'").ok) {
                return false;
            }
        }
    }
    return true;
}

void site::signal_daemon(int i, int signal) {
    ::kill(daemons_.at(static_cast<std::size_t>(i)).pid, signal);
}

void site::signal_server(const std::string& name, int signal) {
    ::kill(servers_.at(name).pid, signal);
}

int site::stop_daemon(int i, int signal) {
    signal_daemon(i, signal);
    return wait_daemon(i);
}

int site::wait_daemon(int i) {
    daemon_process& d = daemons_.at(static_cast<std::size_t>(i));
    const int status = reap(d.pid);
    d.pid = 0;
    return status;
}

void site::stop_server(const std::string& name, int signal) {
    signal_server(name, signal);
    reap(servers_.at(name).pid);
    servers_.at(name).pid = -1; // has run before
}

void site::set_control_addresses(int i, const std::vector<std::string>& addresses) {
    daemons_.at(static_cast<std::size_t>(i)).control_addresses = addresses;
    write_settings(i);
}

void site::lose_data(int i) {
    std::filesystem::remove_all(folder_ + "/data-" + std::to_string(i));
}

caller site::connect(int daemon, const std::string& service, const std::string& group,
                     const std::string& options) const {
    return {host, entry_port(daemon), service, group, options};
}

caller site::connect_server(const std::string& name) const {
    const server_process& s = servers_.at(name);
    return {host, s.port, "test", s.group, ""};
}

operator_client site::operators() const {
    operator_client c;
    for (int i = 0; i < options_.daemons && i < options_.controls; ++i) {
        c.addresses.push_back(peer_address(i));
    }
    std::string key;
    std::ifstream stream(folder_ + "/key");
    std::getline(stream, key);
    c.keys.keys = {key};
    c.timeout = std::chrono::seconds{3};
    return c;
}

namespace {

std::optional<wire::group_record> find_group(const site& s, const std::string& group) {
    const auto body = ask_leader(s.operators(), "/v1/status", "");
    wire::status_reply status;
    if (!body || !status.ParseFromString(*body)) {
        return std::nullopt;
    }
    for (const auto& g : status.groups()) {
        if (g.id() == group) {
            return g;
        }
    }
    return std::nullopt;
}

} // namespace

std::string site::primary_of(const std::string& group) const {
    const auto g = find_group(*this, group);
    return g && g->phase() == 0 ? g->primary() : "";
}

term_number site::term_of(const std::string& group) const {
    const auto g = find_group(*this, group);
    return g ? g->term() : 0;
}

std::string site::log_of_daemon(int i) const {
    return read_file(folder_ + "/daemon-" + std::to_string(i) + ".log");
}

pid_t site::pid_of_daemon(int i) const {
    return daemons_.at(static_cast<std::size_t>(i)).pid;
}

} // namespace larchpin::testing
