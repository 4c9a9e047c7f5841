// What control costs at three sizes and more, on one core: the slopes behind docs/CAPACITY.md.
//
// Usage: control_bench            prints one table a mechanism
//
// Index
//   [building a site]  [measuring]  [tables]
#include "core/control_core.hpp"
#include "core/routing.hpp"
#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/http2.hpp"
#include "io/raft_store.hpp"

#include <boost/asio/io_context.hpp>

#include <malloc.h>

#include <ctime>
#include <filesystem>
#include <functional>
#include <iomanip>
#include <iostream>

namespace larchpin {
namespace {

constexpr command_codec codec{.encode = encode_command,
                              .decode = decode_command,
                              .encode_state = encode_state,
                              .decode_state = decode_state};
constexpr int domains = 4;
constexpr int servers_per_group = 3;
constexpr int renewals_per_second = 5; // a lease of one second, renewed five times

struct size_point {
    int daemons = 0;
    int groups = 0;
};
const std::vector<size_point> sizes{{9, 9}, {100, 100}, {365, 380}, {730, 760}};

//-----------------------------------------------------------------------------
// [building a site]
//-----------------------------------------------------------------------------

std::string domain_name(int i) {
    return "region-a-domain-" + std::to_string(i % domains);
}

cluster_state make_state(const size_point& size) {
    cluster_state s;
    revision_number revision = 0;
    for (int i = 0; i < size.daemons; ++i) {
        const std::string id = "instance-" + std::to_string(i);
        apply(s, ++revision,
              register_instance{{.id = {id},
                                 .domain = {domain_name(i)},
                                 .address = "10.20.30.40:7432",
                                 .accepts_clients = true}});
    }
    for (int g = 0; g < size.groups; ++g) {
        const std::string group = "database-" + std::to_string(g);
        for (int n = 0; n < servers_per_group; ++n) {
            apply(s, ++revision,
                  register_server{{.id = {group + "-server-" + std::to_string(n)},
                                   .group = {group},
                                   .host = "10.20.30.40",
                                   .port = 5432,
                                   .domain = {domain_name(g + n)}}});
        }
        group_record record;
        record.id = {group};
        record.term = 1;
        record.primary = {group + "-server-0"};
        record.timeline = 1;
        record.term_starts = {{.term = 1, .position = 0}};
        apply(s, ++revision, set_group{.next = record});
    }
    edit_table edit;
    edit.change_id = "first";
    for (int i = 0; i < size.groups; ++i) {
        edit.next.services.push_back({.id = {"service-" + std::to_string(10000 + i)}});
    }
    apply(s, ++revision, edit);
    return s;
}

// One control instance that leads alone, with the state of a whole site.
control_core make_leader(const cluster_state& s, std::mt19937_64& random) {
    raft::recovered_state from;
    from.hard = {.term = 1, .voted_for = 1};
    from.snap = {.index = s.revision,
                 .term = 1,
                 .config = {.members = {{.id = 1, .name = "a", .address = "b", .voter = true}}},
                 .data = encode_state(s)};
    control_core c =
        make_control_core(codec, {.id = 1, .name = "a", .address = "b"}, {}, {}, from, now(), random);
    for (int i = 0; i < 2000 && !is_active_leader(c, now()); ++i) {
        tick(c, now() + std::chrono::seconds{2}, random);
        control_output out = take_output(c);
        on_persisted(c, out.consensus.persist_index, out.consensus.persist_term, now());
    }
    return c;
}

renewal make_renewal(const cluster_state& s, int daemon, int observed, int claims) {
    renewal r;
    r.instance = s.instances.at({"instance-" + std::to_string(daemon)});
    r.incarnation = 1;
    r.applied_revision = s.revision;
    const int groups = static_cast<int>(s.groups.size());
    for (int i = 0; i < observed; ++i) {
        const std::string server = "database-" + std::to_string((daemon + i) % groups) + "-server-" +
                                   std::to_string(i % servers_per_group);
        r.observations.push_back({.server = {server}, .alive = true, .timeline = 1, .position = 123456789});
    }
    for (int i = 0; i < claims; ++i) {
        const std::string server = "database-" + std::to_string((daemon + i) % groups) + "-server-0";
        r.claims.push_back(
            {.key = {.service = {"service-10000"}, .server = {server}}, .in_effect = 1, .wanted = 1});
    }
    return r;
}

//-----------------------------------------------------------------------------
// [measuring]
//-----------------------------------------------------------------------------

double cpu_microseconds() {
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

double cost_of(int times, const std::function<void()>& work) {
    const double before = cpu_microseconds();
    for (int i = 0; i < times; ++i) {
        work();
    }
    return (cpu_microseconds() - before) / times;
}

double heap_kilobytes() {
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

//-----------------------------------------------------------------------------
// [tables]
//-----------------------------------------------------------------------------

double http_cost() {
    boost::asio::io_context io(1);
    const shared_keys keys{.keys = {std::string(48, 'k')}};
    const boost::asio::ip::tcp::endpoint at(boost::asio::ip::make_address("127.0.0.1"), 0);
    // Both sides run in this process: the cost is a request's and its answer's together.
    boost::asio::ip::tcp::acceptor probe(io, at);
    const auto endpoint = probe.local_endpoint();
    probe.close();
    http2_server server(io, endpoint, keys, [](const http_request& q, const http_respond& respond) {
        respond({.status = 200, .body = q.body});
    });
    http2_client client(io, endpoint, keys);
    constexpr int requests = 20000;
    int done = 0;
    std::function<void()> next = [&] {
        client.post("/v1/renew", std::string(600, 'x'), std::chrono::seconds{5}, [&](const http_outcome&) {
            if (done >= requests) {
                return;
            }
            if (++done == requests) {
                io.stop();
            } else {
                next();
            }
        });
    };
    const double before = cpu_microseconds();
    for (int i = 0; i < 16; ++i) {
        next();
    }
    io.run();
    return (cpu_microseconds() - before) / requests;
}

// Every daemon uses every server, and there are fewer connections than daemons: the grown deployments.
void print_scarce_shares() {
    constexpr size_point size{.daemons = 76, .groups = 8};
    constexpr unsigned connections = 53;
    constexpr int rounds = 20;
    std::mt19937_64 random(1);
    cluster_state s = make_state(size);
    for (service_entry& service : s.current_table.services) {
        service.max_connections = connections;
    }
    control_core c = make_leader(s, random);
    std::vector<renewal> renewals;
    for (int d = 0; d < size.daemons; ++d) {
        renewal r = make_renewal(s, d, 1, 0);
        for (const auto& [id, server] : s.servers) {
            r.claims.push_back(
                {.key = {.service = {"service-10000"}, .server = id}, .in_effect = 0, .wanted = 1});
        }
        renewals.push_back(std::move(r));
    }
    const double cost = cost_of(rounds, [&] {
        for (renewal& r : renewals) {
            if (const auto reply = renew(c, r, now())) {
                r.last_reply_seq = reply->seq;
            }
            take_output(c);
        }
    });
    std::cout << "\nrenewals with " << s.servers.size() << " shares each, " << size.daemons << " daemons, "
              << connections << " connections a server: " << cost / size.daemons << " us of the leader\n";
}

struct renewal_cost {
    double request_bytes = 0;
    double leader_us = 0;
};

// Renewals of which each tells marks of this many groups.
renewal_cost measure_marks(const cluster_state& s, int daemons, int observed, int claims, int marks) {
    constexpr int rounds = 40;
    std::mt19937_64 random(1);
    control_core c = make_leader(s, random);
    const int groups = static_cast<int>(s.groups.size());
    log_position position = 123456789;
    std::size_t bytes = 0;
    int next = 0;
    const auto serve = [&] {
        const int daemon = next++ % daemons;
        renewal r = make_renewal(s, daemon, observed, claims);
        r.known_since = marks == 0 ? 0 : 1234;
        r.last_reply_seq = marks == 0 ? 0 : 1;
        for (int i = 0; i < marks; ++i) {
            r.acknowledged.push_back({.group = {"database-" + std::to_string((daemon + i) % groups)},
                                      .term = 1,
                                      .confirmed = position,
                                      .highest = position + 1});
            ++position;
        }
        wire::renewal m;
        to_wire(r, m);
        const std::string body = m.SerializeAsString();
        bytes += body.size();
        wire::renewal received;
        received.ParseFromString(body);
        renew(c, from_wire(received), now());
    };
    cost_of(daemons, serve); // first round: everyone becomes known
    bytes = 0;
    const double cost = cost_of(rounds * daemons, serve);
    return {.request_bytes = static_cast<double>(bytes) / (rounds * daemons), .leader_us = cost};
}

void print_marks() {
    constexpr size_point size{.daemons = 300, .groups = 20};
    cluster_state s = make_state(size);
    for (auto& [id, group] : s.groups) {
        group.sync_replicas = 1;
    }
    const int servers = size.groups * servers_per_group;
    std::cout << "\nmarks of acknowledged commits, " << size.daemons << " daemons, " << servers
              << " servers (with encoding, both sides)\nmarks a renewal  request B  us/renewal\n";
    for (const int marks : {0, 1, 4}) {
        const renewal_cost cost = measure_marks(s, size.daemons, 1, servers, marks);
        std::cout << std::setw(15) << marks << std::setw(11) << std::fixed << std::setprecision(1)
                  << cost.request_bytes << std::setw(12) << cost.leader_us << "\n";
    }
}

void print_renewals(double http) {
    std::cout << "renewals (lease 1 s, renewed 5 times a second; observed servers = servers x 4 domains / "
                 "daemons)\n"
              << "daemons groups observed  request B  reply B  leader us/renewal  +http us  leader core %  "
                 "daemon B/s  leader heap KB\n";
    for (const size_point& size : sizes) {
        std::mt19937_64 random(1);
        const cluster_state s = make_state(size);
        const double heap_before = heap_kilobytes();
        control_core c = make_leader(s, random);
        const int observed = std::max(1, size.groups * servers_per_group * domains / size.daemons);
        const int claims = 3;
        std::vector<std::string> requests;
        for (int d = 0; d < size.daemons; ++d) {
            wire::renewal m;
            to_wire(make_renewal(s, d, observed, claims), m);
            requests.push_back(m.SerializeAsString());
        }
        std::size_t reply_bytes = 0;
        int next = 0;
        const auto serve = [&] {
            wire::renewal m;
            m.ParseFromString(requests[static_cast<std::size_t>(next++ % size.daemons)]);
            const auto reply = renew(c, from_wire(m), now());
            wire::renewal_reply out;
            if (reply) {
                to_wire(*reply, out);
            }
            reply_bytes = out.SerializeAsString().size();
        };
        cost_of(size.daemons, serve); // first round: everyone becomes known
        tick(c, now(), random);
        const double cost = cost_of(std::max(2000, size.daemons * 2), serve);
        const double per_second = size.daemons * renewals_per_second;
        const double daemon_bytes =
            renewals_per_second * static_cast<double>(requests[0].size() + reply_bytes + 250);
        std::cout << std::setw(7) << size.daemons << std::setw(7) << size.groups << std::setw(9) << observed
                  << std::setw(11) << requests[0].size() << std::setw(9) << reply_bytes << std::setw(19)
                  << std::fixed << std::setprecision(1) << cost << std::setw(10) << http << std::setw(15)
                  << per_second * (cost + http / 2) / 1e4 << std::setw(12) << daemon_bytes << std::setw(16)
                  << heap_kilobytes() - heap_before << "\n";
    }
}

void print_ticks() {
    std::cout << "\nleader's tick (100 a second)\ndaemons groups  us/tick  core %  new observers us (a "
                 "daemon came or went)\n";
    for (const size_point& size : sizes) {
        std::mt19937_64 random(1);
        const cluster_state s = make_state(size);
        control_core c = make_leader(s, random);
        const auto everyone = [&] {
            for (int d = 0; d < size.daemons; ++d) {
                renew(c, make_renewal(s, d, 12, 0), now());
            }
        };
        everyone();
        tick(c, now(), random);
        everyone();
        const double cost = cost_of(200, [&] { tick(c, now(), random); });
        c.control.observers.clear();
        const double assign = cost_of(1, [&] { tick(c, now(), random); });
        std::cout << std::setw(7) << size.daemons << std::setw(7) << size.groups << std::setw(9) << cost
                  << std::setw(8) << cost * 100 / 1e4 << std::setw(12) << assign << "\n";
    }
}

void print_state() {
    std::cout << "\nagreed state at every daemon\ndaemons groups  heap KB  full B  table edit B  failover B  "
                 "apply us\n";
    for (const size_point& size : sizes) {
        const double before = heap_kilobytes();
        cluster_state s = make_state(size);
        const double heap = heap_kilobytes() - before;
        edit_table edit;
        edit.change_id = "0123456789abcdef";
        edit.next = s.current_table;
        edit.expected_revision = s.table_revision;
        const set_group failover{.expected_term = 1, .next = s.groups.begin()->second};
        const std::string edit_bytes = encode_command(edit);
        const double cost = cost_of(
            200, [&] { apply(s, s.revision + 1, decode_command(edit_bytes).value_or(std::monostate{})); });
        std::cout << std::setw(7) << size.daemons << std::setw(7) << size.groups << std::setw(9) << heap
                  << std::setw(8) << encode_state(s).size() << std::setw(14) << edit_bytes.size()
                  << std::setw(12) << encode_command(failover).size() << std::setw(10) << cost << "\n";
    }
}

void print_log() {
    std::cout << "\ncontrol log on disk after a day's 1,400 edits (snapshot every 4,096 entries)\ngroups  "
                 "log KB  restart ms  sync us (this disk)\n";
    for (const size_point& size : sizes) {
        cluster_state s = make_state(size);
        const auto folder = std::filesystem::temp_directory_path() / ("larchpin-bench-" + random_hex(6));
        double sync = 0;
        {
            raft_store store;
            const auto opened = store.open(folder);
            if (!opened) {
                return;
            }
            edit_table edit;
            edit.next = s.current_table;
            const time_point began = now();
            for (std::uint64_t i = 1; i <= 1400; ++i) {
                edit.change_id = "change-" + std::to_string(i);
                raft::record r;
                r.log_entry =
                    raft::entry{.index = i, .term = 1, .command = encode_command(edit), .config = {}};
                store.append({r});
            }
            sync = static_cast<double>((now() - began).count()) / 1400 / 1e3;
        }
        raft_store again;
        const time_point began = now();
        const auto found = again.open(folder);
        for (const raft::entry& e : found.value().state.log) {
            apply(s, s.revision + 1, decode_command(e.command).value_or(std::monostate{}));
        }
        const double restart = static_cast<double>((now() - began).count()) / 1e6;
        std::cout << std::setw(6) << size.groups << std::setw(8) << found.value().file_bytes / 1024
                  << std::setw(12) << restart << std::setw(14) << sync << "\n";
        std::filesystem::remove_all(folder);
    }
}

void print_routing() {
    std::cout << "\nrouting one read (3 servers, 512 samples of the primary)\n";
    group_view g;
    group_positions positions;
    for (int i = 0; i < 512; ++i) {
        add_primary_sample(positions, 1,
                           {.not_before = std::chrono::milliseconds{i},
                            .timeline = 1,
                            .position = static_cast<log_position>(i)});
    }
    g.record = {.id = {"g"},
                .term = 1,
                .primary = {"s0"},
                .timeline = 1,
                .term_starts = {{.term = 1, .position = 0}}};
    g.positions = &positions;
    for (const char* id : {"s0", "s1", "s2"}) {
        g.servers.push_back({.id = {id}});
        add_server_sample(positions, {id},
                          {.not_before = std::chrono::seconds{1}, .timeline = 1, .position = 600},
                          std::chrono::seconds{1});
    }
    session_state s;
    s.group = {"g"};
    s.positions.floor = session_token{.group = {"g"}, .term = 1, .position = 5};
    std::mt19937_64 random(1);
    read_context wish;
    wish.arrived_at = std::chrono::seconds{1};
    wish.now = std::chrono::seconds{1};
    wish.lease_live = true;
    const double strict = cost_of(200000, [&] { route_read(g, s, wish, {}, random); });
    wish.staleness = std::chrono::seconds{5};
    const double stale = cost_of(200000, [&] { route_read(g, s, wish, {}, random); });
    std::cout << "strict us " << std::setprecision(2) << strict << "  stated age us " << stale << "\n";
}

} // namespace
} // namespace larchpin

int main() {
    std::cout << std::fixed << std::setprecision(1);
    const double http = larchpin::http_cost();
    std::cout << "one signed HTTP/2 request of 600 B and its answer, both sides: " << http
              << " us of CPU\n\n";
    larchpin::print_renewals(http);
    larchpin::print_scarce_shares();
    larchpin::print_marks();
    larchpin::print_ticks();
    larchpin::print_state();
    larchpin::print_log();
    larchpin::print_routing();
}
