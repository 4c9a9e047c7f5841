// Measurements on real processes on loopback: both of the product's measures, and what larchpin adds.
//
// Usage: site_bench failover [KILLS] | reads | latency | idle | edits
//   failover   the gap in writes after a primary is killed, or frozen, by phase
//   reads      share of reads served by replicas, and what the sessions saw, beside two baselines
//   latency    larchpin beside a direct connection, statements a second, memory a caller
//   idle       processor time and memory of an idle daemon, by servers observed
//   edits      from an edit's acceptance to its being in force everywhere
//
// Nothing is injected between the processes; a site's own network comes on top.
//
// Index
//   [helpers]  [failover]  [reads]  [latency]  [edits]
#include "site.hpp"

#include <libpq-fe.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace larchpin::testing {
namespace {

using clock = std::chrono::steady_clock;

//-----------------------------------------------------------------------------
// [helpers]
//-----------------------------------------------------------------------------

double ms_since(clock::time_point t) {
    return std::chrono::duration<double, std::milli>(clock::now() - t).count();
}

double quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void print_row(const std::string& name, const std::vector<double>& values) {
    std::cout << std::left << std::setw(44) << name << std::right << std::fixed << std::setprecision(2)
              << std::setw(8) << values.size() << std::setw(10) << quantile(values, 0.5) << std::setw(10)
              << quantile(values, 0.99) << std::setw(10) << quantile(values, 1.0) << std::endl;
}

void print_head(const std::string& unit) {
    std::cout << std::left << std::setw(44) << unit << std::right << std::setw(8) << "n" << std::setw(10)
              << "p50" << std::setw(10) << "p99" << std::setw(10) << "max" << std::endl;
}

double metric(const site& s, int daemons, const std::string& name, const std::string& label) {
    double sum = 0;
    for (int i = 0; i < daemons; ++i) {
        const auto body = ask_one(s.operators(), s.peer_address(i), "/v1/metrics", "");
        std::istringstream lines(body ? body->body : "");
        std::string line;
        while (std::getline(lines, line)) {
            if (line.starts_with(name + "{") && line.find(label) != std::string::npos) {
                sum += std::stod(line.substr(line.rfind(' ')));
            }
        }
    }
    return sum;
}

//-----------------------------------------------------------------------------
// [failover]
//-----------------------------------------------------------------------------

struct phases {
    std::vector<double> gap;
    std::vector<double> revoke;
    std::vector<double> choose;
    std::vector<double> promote;
};

// The phases of the last failover, from the leader's log, in milliseconds since it suspected the primary.
void read_phases(const site& s, int daemons, phases& p) {
    double revoked = 0;
    double promoting = 0;
    double promoted = 0;
    for (int i = 0; i < daemons; ++i) {
        std::istringstream lines(s.log_of_daemon(i));
        std::string line;
        while (std::getline(lines, line)) {
            const auto at = line.find("\"since_suspected_us\":");
            if (at == std::string::npos) {
                continue;
            }
            const double ms = std::stod(line.substr(at + 21)) / 1000;
            revoked = line.find("writes_revoked") != std::string::npos ? ms : revoked;
            promoting = line.find("\"promoting\"") != std::string::npos ? ms : promoting;
            promoted = line.find("\"promoted\"") != std::string::npos ? ms : promoted;
        }
    }
    p.revoke.push_back(revoked);
    p.choose.push_back(promoting - revoked);
    p.promote.push_back(promoted - promoting);
}

void run_failovers(int kills, bool freeze_primary, bool freeze_daemon, const std::string& name) {
    site s({.daemons = 9, .lag_ms = 10, .deadline_ms = 10000});
    if (!s.start()) {
        std::cout << "the site did not start\n";
        return;
    }
    phases p;
    for (int i = 0; i < kills; ++i) {
        const std::string primary = s.primary_of("g0");
        caller c = s.connect(i % 3, "shop", "g0");
        c.run("insert into gap (key, value) values ('before-" + std::to_string(i) + "', 'v')");
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
        if (freeze_daemon) {
            s.signal_daemon(8, SIGSTOP);
        }
        const auto lost_at = clock::now();
        if (freeze_primary) {
            s.signal_server(primary, SIGSTOP);
        } else {
            s.stop_server(primary, SIGKILL);
        }
        // New sessions that write until one is acknowledged: each attempt has its own short deadline.
        for (int n = 0;; ++n) {
            caller w = s.connect(i % 3, "shop", "g0", "-c larchpin.deadline_ms=300");
            if (w.run("insert into gap (key, value) values ('" + std::to_string(i) + "-" + std::to_string(n) +
                      "', 'v')")
                    .ok) {
                break;
            }
        }
        p.gap.push_back(ms_since(lost_at));
        read_phases(s, 3, p);
        if (freeze_daemon) {
            s.signal_daemon(8, SIGCONT);
        }
        if (freeze_primary) {
            s.signal_server(primary, SIGCONT);
        } else {
            s.start_server(primary);
        }
        // The returned server must follow before it can be chosen next.
        wait_until([&] {
            return s.connect_server(primary).run("select count(*) from gap").value ==
                       s.connect_server(s.primary_of("g0")).run("select count(*) from gap").value &&
                   s.connect_server(primary).run("select pg_is_in_recovery()").value == "t";
        });
        std::this_thread::sleep_for(std::chrono::milliseconds{700});
    }
    print_row(name + ": gap in writes", p.gap);
    print_row(name + ":   revoke (since suspected)", p.revoke);
    print_row(name + ":   choose", p.choose);
    print_row(name + ":   promote", p.promote);
}

//-----------------------------------------------------------------------------
// [reads]
//-----------------------------------------------------------------------------

struct reads_result {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> possible{0};   // some replica had all that this session wrote
    std::atomic<std::uint64_t> violations{0}; // older than the session's own write
    std::atomic<std::uint64_t> failed{0};
};

enum class policy { sessions, stated_age, all_primary, round_robin };

// Sessions that browse (90% reads) and order now and then; each checks that it sees its own writes.
void run_sessions(const site& s, policy how, unsigned lag_ms, reads_result& r, int seconds) {
    std::vector<std::thread> threads;
    const auto end = clock::now() + std::chrono::seconds{seconds};
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&, t] {
            std::mt19937 random(static_cast<unsigned>(t + 1));
            const std::string service = how == policy::sessions     ? "strict"
                                        : how == policy::stated_age ? "aged"
                                                                    : "primary";
            const std::string options = how == policy::all_primary  ? "-c larchpin.read_mode=primary"
                                        : how == policy::stated_age ? "-c larchpin.max_staleness_ms=5000"
                                                                    : "";
            caller writer = s.connect(t % 3, service, "g0", options);
            std::vector<caller> replicas;
            replicas.push_back(s.connect_server("g0-s1"));
            replicas.push_back(s.connect_server("g0-s2"));
            const std::string key = service + "-" + std::to_string(t);
            writer.run("insert into n (key, value) values ('" + key + "', '0')");
            int written = 0;
            auto wrote_at = clock::now();
            for (int i = 0; clock::now() < end; ++i) {
                if (random() % 100 < 3) {
                    if (writer
                            .run("update n set value = '" + std::to_string(written + 1) + "' where key = '" +
                                 key + "'")
                            .ok) {
                        ++written;
                        wrote_at = clock::now();
                    }
                    continue;
                }
                r.possible += ms_since(wrote_at) >= lag_ms ? 1 : 0;
                caller& reader =
                    how == policy::round_robin ? replicas[static_cast<std::size_t>(i) % 2] : writer;
                const outcome o = reader.run("select value from n where key = '" + key + "'");
                ++r.reads;
                if (!o.ok) {
                    ++r.failed;
                } else if (o.value.empty() || std::stoi(o.value) < written) {
                    ++r.violations;
                }
                std::this_thread::sleep_for(std::chrono::microseconds{random() % 4000});
            }
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
}

void run_reads() {
    constexpr int seconds = 6;
    std::cout << "8 sessions on 3 daemons, 3% writes, a read every 2 ms; share of reads on replicas, the "
                 "best possible for read-your-writes\n"
              << std::left << std::setw(10) << "lag ms" << std::setw(26) << "policy" << std::right
              << std::setw(10) << "reads" << std::setw(10) << "share %" << std::setw(12) << "possible %"
              << std::setw(12) << "violations" << std::setw(8) << "failed" << std::endl;
    for (const unsigned lag : {50U, 500U, 2000U}) {
        site s({.lag_ms = lag, .services = {"aged", "primary", "shop", "strict"}});
        if (!s.start()) {
            continue;
        }
        const std::vector<std::pair<policy, std::string>> policies{
            {policy::sessions, "strict"},
            {policy::stated_age, "aged"},
            {policy::all_primary, "primary"},
            {policy::round_robin, "round robin, no sessions"}};
        for (const auto& [how, name] : policies) {
            reads_result r;
            const std::string label = "service=\"" + name + "\"";
            const double before = metric(s, 3, "larchpin_reads_on_replica", label);
            run_sessions(s, how, lag, r, seconds);
            const double on_replica = how == policy::round_robin
                                          ? static_cast<double>(r.reads)
                                          : metric(s, 3, "larchpin_reads_on_replica", label) - before;
            const auto reads = static_cast<double>(r.reads);
            std::cout << std::left << std::setw(10) << lag << std::setw(26) << name << std::right
                      << std::setw(10) << r.reads << std::fixed << std::setprecision(1) << std::setw(10)
                      << 100 * on_replica / reads << std::setw(12)
                      << 100 * static_cast<double>(r.possible) / reads << std::setw(12) << r.violations
                      << std::setw(8) << r.failed << std::endl;
        }
    }
}

//-----------------------------------------------------------------------------
// [latency]
//-----------------------------------------------------------------------------

std::vector<double> time_statements(caller& c, const std::string& sql, int times) {
    std::vector<double> took;
    for (int i = 0; i < times; ++i) {
        const auto began = clock::now();
        c.run(sql);
        took.push_back(ms_since(began));
    }
    return took;
}

long resident_kb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

double cpu_seconds(pid_t pid) {
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    std::vector<std::string> words;
    while (stat >> word) {
        words.push_back(word);
    }
    return words.size() < 15
               ? 0
               : (std::stod(words[13]) + std::stod(words[14])) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void run_latency() {
    site s({.lag_ms = 0, .max_connections = 60});
    if (!s.start()) {
        return;
    }
    constexpr int times = 5000;
    print_head("milliseconds a statement, one caller");
    caller direct_primary = s.connect_server("g0-s0");
    caller direct_replica = s.connect_server("g0-s1");
    caller through = s.connect(0, "shop", "g0");
    caller aged = s.connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=5000");
    direct_primary.run("insert into l (key, value) values ('k', 'v')");
    print_row("read, direct to a replica",
              time_statements(direct_replica, "select value from l where key = 'k'", times));
    print_row("read, larchpin, strict session",
              time_statements(through, "select value from l where key = 'k'", times));
    print_row("read, larchpin, stated age",
              time_statements(aged, "select value from l where key = 'k'", times));
    print_row("write, direct to the primary",
              time_statements(direct_primary, "update l set value = 'x' where key = 'k'", times));
    print_row("write, larchpin", time_statements(through, "update l set value = 'x' where key = 'k'", times));

    // One daemon, as many statements as it will take.
    std::atomic<std::uint64_t> done{0};
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    for (int t = 0; t < 24; ++t) {
        threads.emplace_back([&] {
            caller c =
                s.connect(0, "shop", "g0", "-c larchpin.max_staleness_ms=5000 -c larchpin.read_mode=read");
            while (!stopping) {
                done += c.run("select 1").ok ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    const double cpu_before = cpu_seconds(s.pid_of_daemon(0));
    const std::uint64_t done_before = done;
    std::this_thread::sleep_for(std::chrono::seconds{4});
    const double cpu = cpu_seconds(s.pid_of_daemon(0)) - cpu_before;
    const auto count = static_cast<double>(done - done_before);
    stopping = true;
    for (std::thread& t : threads) {
        t.join();
    }
    std::cout << "reads a second through one daemon, 24 callers: " << count / 4 << ", " << count / cpu
              << " a second of its CPU" << std::endl;

    // Idle callers.
    for (const int callers : {500, 1000, 2000}) {
        const long before = resident_kb(s.pid_of_daemon(1));
        std::vector<caller> idle;
        for (int i = 0; i < callers; ++i) {
            idle.push_back(s.connect(1, "shop", "g0"));
        }
        std::cout << callers << " idle callers: "
                  << static_cast<double>(resident_kb(s.pid_of_daemon(1)) - before) / callers << " KB each"
                  << std::endl;
    }
    const double idle_before = cpu_seconds(s.pid_of_daemon(2));
    std::this_thread::sleep_for(std::chrono::seconds{5});
    std::cout << "an idle daemon: " << (cpu_seconds(s.pid_of_daemon(2)) - idle_before) / 5 * 100
              << "% of a core, " << resident_kb(s.pid_of_daemon(2)) << " KB resident" << std::endl;
}

// What an idle daemon costs, by the number of servers that it observes: 3 daemons, each in a domain of its
// own, so each observes them all.
void run_idle() {
    std::cout << "servers observed  % of a core (control leader or follower, and entry)  KB resident"
              << std::endl;
    for (const int groups : {1, 4, 8}) {
        site s({.groups = groups});
        if (!s.start()) {
            continue;
        }
        std::this_thread::sleep_for(std::chrono::seconds{4}); // the callers' groups are no longer in use
        std::vector<double> before;
        for (int i = 0; i < 3; ++i) {
            before.push_back(cpu_seconds(s.pid_of_daemon(i)));
        }
        std::this_thread::sleep_for(std::chrono::seconds{5});
        std::cout << std::setw(16) << groups * 3;
        for (int i = 0; i < 3; ++i) {
            const double used = cpu_seconds(s.pid_of_daemon(i)) - before.at(static_cast<std::size_t>(i));
            std::cout << std::fixed << std::setprecision(2) << std::setw(8) << used / 5 * 100;
        }
        std::cout << std::setw(12) << resident_kb(s.pid_of_daemon(1)) << std::endl;
    }
}

//-----------------------------------------------------------------------------
// [edits]
//-----------------------------------------------------------------------------

void run_edits() {
    site s({.daemons = 9});
    if (!s.start()) {
        return;
    }
    const std::string to = s.peer_address(0) + "," + s.peer_address(1) + "," + s.peer_address(2);
    const std::string file = s.folder() + "/edit.toml";
    print_head("milliseconds, larchpinctl apply --wait, 9 daemons");
    std::vector<double> took;
    std::vector<double> took_frozen;
    for (int i = 0; i < 30; ++i) {
        const auto got = run_program({"larchpinctl", "--key-file", s.folder() + "/key", "--to", to, "get"});
        auto t = parse_table(got.output, "get").value();
        t.content.services[0].background_share = 1 + static_cast<unsigned>(i);
        std::ofstream(file) << format_table(t);
        const bool freeze = i % 3 == 2;
        if (freeze) {
            s.signal_daemon(8, SIGSTOP);
        }
        const auto began = clock::now();
        const auto done = run_program(
            {"larchpinctl", "--key-file", s.folder() + "/key", "--to", to, "apply", "--wait", file});
        (freeze ? took_frozen : took).push_back(ms_since(began));
        if (freeze) {
            s.signal_daemon(8, SIGCONT);
            std::this_thread::sleep_for(std::chrono::milliseconds{500});
        }
        if (done.status != 0) {
            std::cout << done.output;
        }
    }
    print_row("all daemons answer", took);
    print_row("one daemon is frozen", took_frozen);
}

} // namespace
} // namespace larchpin::testing

int main(int argc, char** argv) {
    using namespace larchpin::testing; // NOLINT(*-using-namespace): the whole file is about it
    const std::string what = argc > 1 ? argv[1] : "";
    const int kills = argc > 2 ? std::atoi(argv[2]) : 30;
    if (what == "failover") {
        print_head("milliseconds, 9 daemons, 3 servers");
        run_failovers(kills, false, false, "primary killed");
        run_failovers(kills, true, false, "primary frozen");
        run_failovers(std::max(1, kills / 3), false, true, "killed, one daemon frozen");
    } else if (what == "reads") {
        run_reads();
    } else if (what == "latency") {
        run_latency();
    } else if (what == "idle") {
        run_idle();
    } else if (what == "edits") {
        run_edits();
    } else {
        std::cerr << "usage: site_bench failover [KILLS] | reads | latency | idle | edits\n";
        return 2;
    }
    return 0;
}
