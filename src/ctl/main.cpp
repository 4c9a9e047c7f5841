// larchpinctl: the operators' tool.
//
// Index
//   [output]  [commands]  [main]
#include "ctl/log_story.hpp"
#include "ctl/loss_report.hpp"
#include "ctl/operator_client.hpp"
#include "ctl/table_file.hpp"
#include "generated/larchpin.pb.h"
#include "io/codec.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <list>
#include <map>
#include <sstream>
#include <thread>

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
using larchpin::result_code;
using larchpin::wire::operator_reply;
using larchpin::wire::status_reply;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr std::chrono::seconds watch_interval{1};

struct arguments {
    larchpin::operator_client client;
    std::vector<std::string> words; // command and its arguments
    bool as_json = false;
    bool accept_loss = false;
    bool wait = false;
    bool watch = false;
    std::string change_id;
    std::uint64_t wait_ms = 10000;
    bool as_csv = false;
    std::string plot_file;
    std::int64_t interval_ms = 1000;
};

//-----------------------------------------------------------------------------
// [output]
//-----------------------------------------------------------------------------

int fail(const std::string& what, result_code code) {
    std::cerr << "larchpinctl: " << what << " [" << static_cast<unsigned>(code) << " "
              << larchpin::describe(code).name << "]\n";
    return code == result_code::bad_command_line ? exit_usage : exit_failure;
}

int fail_unanswered() {
    return fail("no control instance answered for a majority", result_code::no_quorum);
}

int report(const std::optional<std::string>& answer, const std::string& success) {
    if (!answer) {
        return fail_unanswered();
    }
    operator_reply reply;
    reply.ParseFromString(*answer);
    const auto code = static_cast<result_code>(reply.code());
    if (code != result_code::ok) {
        const std::string detail = reply.detail().empty() ? "" : ": " + reply.detail();
        return fail(std::string(larchpin::describe(code).meaning) + detail, code);
    }
    std::cout << success;
    if (reply.table_revision() != 0) {
        std::cout << " revision=" << reply.table_revision();
    }
    std::cout << "\n";
    return 0;
}

std::optional<status_reply> ask_status(const arguments& a) {
    const auto answer = larchpin::ask_leader(a.client, "/v1/status", "");
    status_reply reply;
    if (!answer || !reply.ParseFromString(*answer)) {
        return std::nullopt;
    }
    return reply;
}

json::value status_json(const status_reply& s) {
    json::object out{
        {"leader", s.leader()}, {"revision", s.revision()}, {"table_revision", s.table_revision()}};
    json::array groups;
    for (const auto& g : s.groups()) {
        groups.push_back(json::object{{"group", g.id()},
                                      {"term", g.term()},
                                      {"primary", g.primary()},
                                      {"phase", g.phase() == 0 ? "serving" : "fencing"},
                                      {"awaits_log", g.awaits_log()},
                                      {"sync_replicas", g.sync_replicas()},
                                      {"timeline", g.timeline()}});
    }
    json::array servers;
    for (const auto& m : s.servers()) {
        servers.push_back(json::object{{"server", m.record().id()},
                                       {"group", m.record().group()},
                                       {"failure_domain", m.record().domain()},
                                       {"alive", m.alive()},
                                       {"primary", m.is_primary()},
                                       {"timeline", m.timeline()},
                                       {"position", m.position()},
                                       {"weight", m.weight()},
                                       {"slots", m.record().slots()},
                                       {"leaving", m.leaving()}});
    }
    json::array daemons;
    for (const auto& d : s.daemons()) {
        daemons.push_back(json::object{{"instance", d.id()},
                                       {"failure_domain", d.domain()},
                                       {"lease", d.lease()},
                                       {"confirmed", d.confirmed()}});
    }
    json::array shares;
    for (const auto& m : s.services()) {
        shares.push_back(json::object{
            {"service", m.service()}, {"server", m.server()}, {"held", m.held()}, {"limit", m.limit()}});
    }
    json::array members;
    for (const auto& m : s.members()) {
        members.push_back(json::object{{"name", m.name()},
                                       {"node", std::to_string(m.id())},
                                       {"voter", m.voter()},
                                       {"silent", m.silent()}});
    }
    json::array waits;
    for (const auto& w : s.waits()) {
        json::array awaited;
        for (const auto& id : w.servers()) {
            awaited.emplace_back(id);
        }
        waits.push_back(json::object{{"group", w.group()},
                                     {"position", w.position()},
                                     {"servers", awaited},
                                     {"may_be_unknown", w.may_be_unknown()}});
    }
    out["groups"] = groups;
    out["waits"] = waits;
    out["servers"] = servers;
    out["daemons"] = daemons;
    out["shares"] = shares;
    out["control"] = members;
    return out;
}

void print_wait(const larchpin::wire::log_wait& w) {
    std::cout << "  AWAITS the log up to " << w.position() << " from one of:";
    for (const auto& id : w.servers()) {
        std::cout << " " << id;
    }
    std::cout << (w.may_be_unknown() ? " or a server that has not announced itself\n" : "\n");
}

void print_group(const status_reply& s, const larchpin::wire::group_record& g) {
    std::cout << "group " << g.id() << "  term " << g.term() << "  "
              << (g.phase() == 0 ? "serving" : "FENCING") << "\n";
    for (const auto& w : s.waits()) {
        if (w.group() == g.id()) {
            print_wait(w);
        }
    }
    std::uint64_t head = 0;
    for (const auto& m : s.servers()) {
        head = m.record().group() == g.id() ? std::max(head, m.position()) : head;
    }
    for (const auto& m : s.servers()) {
        if (m.record().group() != g.id()) {
            continue;
        }
        const bool primary = m.record().id() == g.primary();
        std::cout << "  " << std::left << std::setw(16) << m.record().id() << std::setw(18)
                  << m.record().domain() << std::setw(9) << (primary ? "primary" : "replica") << std::setw(8)
                  << (m.alive() ? "up" : "DOWN") << "behind " << std::setw(10)
                  << (m.alive() ? std::to_string(head - m.position()) + "B" : "?") << "weight " << m.weight()
                  << "  slots " << (m.record().slots() == 0 ? "?" : std::to_string(m.record().slots()))
                  << (m.leaving() ? "  leaving" : "") << "\n";
    }
}

void print_status(const status_reply& s) {
    std::cout << "control leader " << s.leader() << "  revision " << s.revision() << "  table "
              << s.table_revision() << "\n";
    for (const auto& m : s.members()) {
        std::cout << "  " << std::left << std::setw(16) << m.name() << (m.voter() ? "voter" : "learner")
                  << (m.silent() ? "  SILENT" : "") << "\n";
    }
    for (const auto& g : s.groups()) {
        print_group(s, g);
    }
    std::cout << "daemons\n";
    for (const auto& d : s.daemons()) {
        std::cout << "  " << std::left << std::setw(16) << d.id() << std::setw(18) << d.domain()
                  << std::setw(10) << (d.lease() ? "lease" : "NO LEASE") << "revision " << d.confirmed()
                  << "\n";
    }
    std::map<std::pair<std::string, std::string>, std::pair<unsigned, unsigned>> held;
    for (const auto& m : s.services()) {
        auto& sum = held[{m.service(), m.server()}];
        sum.first += m.held();
        sum.second = m.limit();
    }
    std::cout << "connections (held / limit)\n";
    for (const auto& [key, sum] : held) {
        std::cout << "  " << std::left << std::setw(16) << key.first << std::setw(16) << key.second
                  << sum.first << " / " << sum.second << "\n";
    }
}

//-----------------------------------------------------------------------------
// [commands]
//-----------------------------------------------------------------------------

int run_status(const arguments& a) {
    do {
        const auto status = ask_status(a);
        if (!status) {
            return fail_unanswered();
        }
        if (a.watch) {
            std::cout << "\033[H\033[2J";
        }
        if (a.as_json) {
            std::cout << json::serialize(status_json(*status)) << std::endl;
        } else {
            print_status(*status);
        }
        if (a.watch) {
            std::this_thread::sleep_for(watch_interval);
        }
    } while (a.watch);
    return 0;
}

int run_get(const arguments& a) {
    const auto status = ask_status(a);
    if (!status) {
        return fail_unanswered();
    }
    std::cout << larchpin::format_table(
        {.revision = status->table_revision(), .content = larchpin::from_wire(status->current())});
    return 0;
}

leaf::result<larchpin::table_file> read_table(const std::string& file) {
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream stream(file);
        if (!stream) {
            return leaf::new_error(larchpin::settings_problem{.code = result_code::settings_unreadable,
                                                              .file = file,
                                                              .line = 0,
                                                              .key = {},
                                                              .detail = "cannot be read"});
        }
        text << stream.rdbuf();
    }
    return larchpin::parse_table(text.str(), file);
}

int send_edit(const arguments& a, const larchpin::table_file& t) {
    larchpin::wire::edit_request request;
    larchpin::edit_table edit;
    edit.change_id = a.change_id;
    edit.expected_revision = t.revision;
    edit.next = t.content;
    larchpin::to_wire(edit, *request.mutable_edit());
    request.set_wait(a.wait);
    request.set_wait_ms(a.wait_ms);
    return report(larchpin::ask_leader(a.client, "/v1/edit", request.SerializeAsString()),
                  a.wait ? "in force everywhere; change=" + a.change_id : "accepted; change=" + a.change_id);
}

leaf::result<int> run_apply(const arguments& a, bool only_diff) {
    if (a.words.size() != 2) {
        return fail("a file is needed", result_code::bad_command_line);
    }
    BOOST_LEAF_ASSIGN(const larchpin::table_file t, read_table(a.words[1]));
    if (!only_diff) {
        return send_edit(a, t);
    }
    const auto status = ask_status(a);
    if (!status) {
        return fail_unanswered();
    }
    std::cout << larchpin::diff_tables(larchpin::from_wire(status->current()), t.content);
    return 0;
}

// Marks one server as leaving, on top of whatever the table is now.
int run_leave(const arguments& a) {
    if (a.words.size() != 2) {
        return fail("a server is needed", result_code::bad_command_line);
    }
    const auto status = ask_status(a);
    if (!status) {
        return fail_unanswered();
    }
    larchpin::table_file t{.revision = status->table_revision(),
                           .content = larchpin::from_wire(status->current())};
    larchpin::server_entry entry = larchpin::server_settings(t.content, {a.words[1]});
    entry.leaving = true;
    std::erase_if(t.content.servers, [&entry](const auto& s) { return s.id == entry.id; });
    t.content.servers.push_back(entry);
    std::sort(t.content.servers.begin(), t.content.servers.end());
    return send_edit(a, t);
}

int run_history(const arguments& a) {
    const auto status = ask_status(a);
    if (!status) {
        return fail_unanswered();
    }
    for (const auto& c : status->changes()) {
        const auto code = static_cast<result_code>(c.code());
        std::cout << c.table_revision() << "  " << c.change_id() << "  " << larchpin::describe(code).name
                  << "\n";
    }
    return 0;
}

int run_switchover(const arguments& a) {
    if (a.words.size() != 3) {
        return fail("a group and a target server are needed", result_code::bad_command_line);
    }
    larchpin::wire::switchover_request request;
    request.set_group(a.words[1]);
    request.set_target(a.words[2]);
    request.set_accept_loss(a.accept_loss);
    return report(larchpin::ask_leader(a.client, "/v1/switchover", request.SerializeAsString()),
                  "switchover started");
}

int run_bootstrap(const arguments& a) {
    const auto answer = larchpin::ask_one(a.client, a.client.addresses.front(), "/v1/bootstrap", "");
    return report(answer ? std::optional{answer->body} : std::nullopt, "cluster started");
}

int run_drain(const arguments& a) {
    const auto answer = larchpin::ask_one(a.client, a.client.addresses.front(), "/v1/drain", "");
    return report(answer ? std::optional{answer->body} : std::nullopt, "drain started");
}

int run_stats(const arguments& a) {
    for (const std::string& address : a.client.addresses) {
        const auto answer = larchpin::ask_one(a.client, address, "/v1/metrics", "");
        if (!answer) {
            return fail(address + " does not answer", result_code::no_quorum);
        }
        std::cout << "# " << address << "\n" << answer->body;
    }
    return 0;
}

// The logs that the arguments from `first` on name, or standard input.
struct open_logs {
    std::list<std::ifstream> files;
    std::vector<std::istream*> streams;
    std::string unreadable; // the first that is
};

open_logs open_named_logs(const arguments& a, std::size_t first) {
    open_logs logs;
    for (std::size_t i = first; i < a.words.size(); ++i) {
        logs.files.emplace_back(a.words[i]);
        if (!logs.files.back() && logs.unreadable.empty()) {
            logs.unreadable = a.words[i];
        }
        logs.streams.push_back(&logs.files.back());
    }
    if (logs.streams.empty()) {
        logs.streams.push_back(&std::cin);
    }
    return logs;
}

// Needs no daemon: on-call engineers have the logs only.
int run_losses(const arguments& a) {
    if (a.interval_ms <= 0) {
        return fail("--interval-ms must be above 0", result_code::bad_command_line);
    }
    const open_logs logs = open_named_logs(a, 1);
    if (!logs.unreadable.empty()) {
        return fail("the log cannot be read: " + logs.unreadable, result_code::bad_command_line);
    }
    const larchpin::loss_report report = larchpin::collect_losses(logs.streams);
    if (report.requests == 0) {
        return fail("no line tells of a request's end", result_code::no_such_record);
    }
    if (!a.plot_file.empty()) {
        std::ofstream picture(a.plot_file);
        larchpin::plot_losses(report, a.interval_ms, picture);
        if (!picture.flush()) {
            return fail("the picture cannot be written: " + a.plot_file, result_code::bad_command_line);
        }
    }
    (a.as_csv ? larchpin::print_losses_csv : larchpin::print_losses)(report, a.interval_ms, std::cout);
    return 0;
}

int run_explain(const arguments& a) {
    if (a.words.size() < 2) {
        return fail("explain needs the request's id; see --help", result_code::bad_command_line);
    }
    const open_logs logs = open_named_logs(a, 2);
    if (!logs.unreadable.empty()) {
        return fail("the log cannot be read: " + logs.unreadable, result_code::bad_command_line);
    }
    const auto story = larchpin::tell_story(a.words[1], logs.streams);
    if (story.empty()) {
        return fail("no line names the request " + a.words[1], result_code::no_such_record);
    }
    for (const larchpin::story_line& line : story) {
        std::cout << line.time << (line.is_own ? "  * " : "    ") << line.text << "\n";
    }
    return 0;
}

leaf::result<int> run_command(const arguments& a) {
    const std::string& command = a.words.front();
    if (command == "apply" || command == "diff") {
        return run_apply(a, command == "diff");
    }
    static const std::map<std::string, int (*)(const arguments&)> commands{
        {"status", run_status},       {"get", run_get},     {"history", run_history},
        {"leave", run_leave},         {"drain", run_drain}, {"switchover", run_switchover},
        {"bootstrap", run_bootstrap}, {"stats", run_stats}};
    const auto found = commands.find(command);
    if (found == commands.end()) {
        return fail("no such command: " + command, result_code::bad_command_line);
    }
    return found->second(a);
}

//-----------------------------------------------------------------------------
// [main]
//-----------------------------------------------------------------------------

leaf::result<int> run(arguments& a, const std::string& key_file) {
    std::ifstream stream(key_file);
    std::string key;
    if (!std::getline(stream, key)) {
        return leaf::new_error(larchpin::settings_problem{.code = result_code::settings_unreadable,
                                                          .file = key_file,
                                                          .line = 0,
                                                          .key = {},
                                                          .detail = "the key cannot be read"});
    }
    a.client.keys.keys = {key};
    if (a.change_id.empty()) {
        a.change_id = larchpin::random_hex(8);
    }
    return run_command(a);
}

} // namespace

int main(int argc, char** argv) {
    arguments a;
    std::string key_file;
    cxxopts::Options options(
        "larchpinctl", "The operators' tool.\n"
                       "  status [--json] [--watch]      groups, servers, daemons, connections\n"
                       "  get | diff FILE | apply FILE   the table; FILE may be -\n"
                       "  history                        the last edits and their outcomes\n"
                       "  leave SERVER                   gives a backend server no new work\n"
                       "  switchover GROUP SERVER        makes a replica the primary\n"
                       "    --accept-loss                ends a failover's wait for acknowledged commits\n"
                       "  drain                          stops the daemon at --to gracefully\n"
                       "  explain ID [LOG...]            what happened to a request, from logs\n"
                       "  losses [--csv] [--plot FILE] [LOG...]  where service was lost, from logs\n"
                       "  stats                          metrics of each daemon at --to\n"
                       "  bootstrap                      starts a new cluster at --to, once\n");
    options.add_options()("help", "print this")("version", "print the version")(
        "to", "peer addresses of daemons (ip:port), any control instance first",
        cxxopts::value(a.client.addresses))("key-file", "the shared key", cxxopts::value(key_file))(
        "json", "for scripts", cxxopts::value(a.as_json))("watch", "again every second",
                                                          cxxopts::value(a.watch))(
        "accept-loss", "give up acknowledged commits that no server which answers is known to hold",
        cxxopts::value(a.accept_loss))("wait", "return when the edit is in force everywhere",
                                       cxxopts::value(a.wait))("wait-ms", "at most this long",
                                                               cxxopts::value(a.wait_ms))(
        "csv", "losses as comma-separated values",
        cxxopts::value(a.as_csv))("plot", "losses over time as an SVG picture", cxxopts::value(a.plot_file))(
        "interval-ms", "of losses; 1000", cxxopts::value(a.interval_ms))(
        "change-id", "the same id again asks for the first answer",
        cxxopts::value(a.change_id))("words", "command", cxxopts::value(a.words));
    options.parse_positional({"words"});
    options.positional_help("COMMAND [ARGUMENTS]");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (given.count("version") != 0) {
            std::cout << "larchpinctl " << LARCHPIN_VERSION << "\n";
            return 0;
        }
        if (!a.words.empty() && a.words.front() == "explain") {
            return run_explain(a);
        }
        if (!a.words.empty() && a.words.front() == "losses") {
            return run_losses(a);
        }
        if (a.words.empty() || a.client.addresses.empty() || key_file.empty()) {
            return fail("a command, --to and --key-file are needed; see --help",
                        result_code::bad_command_line);
        }
        return leaf::try_handle_all([&] { return run(a, key_file); },
                                    [](const larchpin::settings_problem& p) {
                                        std::cerr << "larchpinctl: " << larchpin::to_string(p) << "\n";
                                        return exit_failure;
                                    },
                                    [] { return exit_failure; });
    } catch (const cxxopts::exceptions::exception& e) {
        return fail(e.what(), result_code::bad_command_line);
    }
}
