// Selection of the ordering home of a backend server, and its limit on concurrent statements.
//
// Index
//   [order of homes]  [slots]  [permits]  [several services]  [peak demand]
#include "core/control_core.hpp"
#include "core/home_order.hpp"
#include "core/pool.hpp"
#include "core/rendezvous.hpp"
#include "daemon/pools.hpp"
#include "io/clock.hpp"
#include "io/codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//-----------------------------------------------------------------------------
// [order of homes]
//-----------------------------------------------------------------------------

constexpr unsigned few_connections = 46;

struct test_cluster {
    cluster_state state;

    test_cluster(int instances, int servers, int domains = 3) {
        for (int i = 0; i < instances; ++i) {
            add_instance(i, domains);
        }
        for (int i = 0; i < servers; ++i) {
            const std::string id = "s" + std::to_string(i);
            state.servers[{id}] = {.id = {id},
                                   .group = {"g" + std::to_string(i / 3)},
                                   .host = "10.1.0.1",
                                   .port = 1,
                                   .domain = {"z" + std::to_string(i % domains)}};
        }
    }
    void add_instance(int i, int domains = 3) {
        const std::string id = "e" + std::to_string(i);
        state.instances[{id}] = {.id = {id},
                                 .domain = {"z" + std::to_string(i % domains)},
                                 .address = "10.0.0." + std::to_string(i) + ":1",
                                 .accepts_clients = true};
    }
    [[nodiscard]] std::map<server_id, instance_id> first_homes() const {
        std::map<server_id, instance_id> all;
        for (const auto& [id, server] : state.servers) {
            all[id] = order_homes(state, id, 1).front();
        }
        return all;
    }
};

TEST(order_homes, lists_all_client_facing_instances_and_the_servers_domain_first) {
    test_cluster s(70, 24);
    s.state.instances.at({"e3"}).accepts_clients = false;
    for (const auto& [id, server] : s.state.servers) {
        const auto homes = order_homes(s.state, id, few_connections);
        ASSERT_EQ(homes.size(), 69U);
        EXPECT_EQ(std::set<instance_id>(homes.begin(), homes.end()).size(), 69U);
        bool far = false;
        for (const instance_id& home : homes) {
            const bool is_far = s.state.instances.at(home).domain != server.domain;
            EXPECT_FALSE(far && !is_far) << home.value << " is listed after an instance of another domain";
            far = is_far;
        }
    }
}

TEST(order_homes, is_independent_of_insertion_order_and_other_state) {
    test_cluster a(70, 24);
    test_cluster b(0, 24);
    for (int i = 69; i >= 0; --i) {
        b.add_instance(i);
    }
    b.state.revision = 77;
    b.state.servers.at({"s3"}).start_time_ms = 5; // a restart must not move any server
    for (const auto& [id, server] : a.state.servers) {
        EXPECT_EQ(order_homes(a.state, id, few_connections), order_homes(b.state, id, few_connections));
    }
}

// Guards against uneven first places: plain hashing gives some instances two or three of them and most
// instances none, and each place carries the load of a whole server.
TEST(order_homes, spreads_the_first_places_evenly) {
    for (const auto& [instances, servers] : {std::pair{70, 24}, {9, 24}, {30, 24}, {4, 24}, {300, 90}}) {
        const test_cluster s(instances, servers);
        std::map<instance_id, std::size_t> places;
        for (const auto& [server, first] : s.first_homes()) {
            ++places[first];
        }
        for (const auto& [instance, count] : places) {
            const failure_domain& domain = s.state.instances.at(instance).domain;
            const auto in_domain = [&](const auto& entry) { return entry.second.domain == domain; };
            const auto near = std::count_if(s.state.instances.begin(), s.state.instances.end(), in_domain);
            const auto own = std::count_if(s.state.servers.begin(), s.state.servers.end(), in_domain);
            EXPECT_LE(count, static_cast<std::size_t>((own + near - 1) / near))
                << instances << " instances, " << servers << " servers";
        }
    }
}

// Each move of a server requires its connections to be reopened.
TEST(order_homes, moves_few_servers_when_an_instance_is_removed) {
    const test_cluster whole(70, 24);
    const auto before = whole.first_homes();
    std::size_t moved_in_all = 0;
    for (int i = 0; i < 70; ++i) {
        test_cluster less = whole;
        less.state.instances.erase({"e" + std::to_string(i)});
        const auto after = less.first_homes();
        std::size_t moved = 0;
        std::size_t had_to_move = 0;
        for (const auto& [server, first] : before) {
            moved += after.at(server) != first ? 1 : 0;
            had_to_move += first.value == "e" + std::to_string(i) ? 1 : 0;
        }
        EXPECT_LE(moved, had_to_move + 2) << "e" << i;
        EXPECT_TRUE(had_to_move > 0 || moved == 0) << "e" << i << " was first for no server";
        moved_in_all += moved;
    }
    EXPECT_LE(moved_in_all, 36U) << "24 servers must move once each";
}

TEST(order_homes, is_empty_if_all_instances_hold_connections_or_the_server_is_unknown) {
    const test_cluster s(70, 24);
    EXPECT_TRUE(order_homes(s.state, {"s1"}, 140).empty());
    EXPECT_FALSE(order_homes(s.state, {"s1"}, 139).empty());
    EXPECT_TRUE(order_homes(s.state, {"nobody"}, few_connections).empty());
    const test_cluster alone(0, 1);
    EXPECT_TRUE(order_homes(alone.state, {"s0"}, 0).empty());
}

TEST(order_homes, uses_other_domains_if_the_servers_domain_has_no_client_facing_instance) {
    test_cluster s(9, 3);
    for (auto& [id, instance] : s.state.instances) {
        instance.accepts_clients = instance.domain.value != "z0";
    }
    EXPECT_EQ(order_homes(s.state, {"s0"}, 4).size(), 6U);
}

//-----------------------------------------------------------------------------
// [slots]
//-----------------------------------------------------------------------------

// The control core alone; proposed commands are applied immediately.
struct announcing_server {
    control_state control;
    cluster_state cluster;
    time_point now{seconds{100}};
    std::uint64_t sequence = 0;

    announcing_server() { start_leading(control, 3, now); }

    void announce(unsigned announced_slots, std::uint64_t started) {
        server_announcement a;
        a.record = {.id = {"s1"}, .group = {"g"}, .host = "127.0.0.1", .port = 5, .domain = {"z"}};
        a.record.start_time_ms = started;
        a.record.slots = announced_slots;
        a.is_primary = true;
        a.timeline = 1;
        a.sequence = ++sequence;
        renewal r;
        r.instance = {.id = {"x"}, .domain = {"z"}, .address = "127.0.0.1:1", .accepts_clients = true};
        r.incarnation = 1;
        r.applied_revision = cluster.revision;
        r.announcements = {a};
        control_actions actions;
        on_renewal(control, cluster, r, now, actions);
        for (const control_action& action : actions) {
            if (const auto* proposal = std::get_if<propose_command>(&action)) {
                apply(cluster, cluster.revision + 1, proposal->proposed);
            }
        }
        now += milliseconds{100};
    }
    [[nodiscard]] unsigned agreed_slots() const { return cluster.servers.at({"s1"}).slots; }
};

TEST(slots, follow_the_servers_announcements) {
    announcing_server s;
    s.announce(4, 10);
    EXPECT_EQ(s.agreed_slots(), 4U);
    const revision_number before = s.cluster.revision;
    s.announce(4, 10);
    EXPECT_EQ(s.cluster.revision, before) << "an unchanged announcement changes nothing";
    s.announce(6, 10);
    EXPECT_EQ(s.agreed_slots(), 6U) << "a changed slot count changes the record";
    s.announce(0, 10);
    EXPECT_EQ(s.agreed_slots(), 6U) << "an announced count is kept until the server restarts";
    s.announce(0, 20);
    EXPECT_EQ(s.agreed_slots(), 0U) << "a restarted server has announced no count";
    s.announce(5, 20);
    EXPECT_EQ(s.agreed_slots(), 5U);
}

TEST(slots, survive_encoding) {
    cluster_state s;
    s.servers[{"s1"}] = {.id = {"s1"}, .group = {"g"}, .host = "10.1.0.1", .port = 1, .domain = {"z"}};
    s.servers.at({"s1"}).slots = 7;
    const auto read = decode_state(encode_state(s));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->servers.at({"s1"}).slots, 7U);
}

//-----------------------------------------------------------------------------
// [permits]
//-----------------------------------------------------------------------------

constexpr unsigned slots = 4;

struct server_work {
    connection_number connection = 0;
    duration length{0};
    bool is_opening = false;
    time_point ends{}; // 0 = queued at the server
};

struct transaction {
    unsigned statements_left = 0; // after the first one
    duration pause{0};            // before each statement
};

// A pool and its server, in virtual time. The server runs `slots` statements or connection setups
// concurrently and queues the rest in the order of arrival.
struct simulated_pool {
    pool_state p;
    time_point now{seconds{1}};
    connection_number next = 1;
    request_number next_request = 1;
    std::vector<server_work> at_server; // in the order of arrival
    std::map<request_number, duration> lengths;
    std::map<request_number, transaction> transactions; // requested
    std::map<connection_number, transaction> open;      // in progress
    std::map<connection_number, request_class> classes;
    std::map<connection_number, time_point> assigned_at;
    std::map<connection_number, time_point> next_statement_at;
    std::vector<request_number> used;
    std::vector<request_number> refused;
    unsigned max_concurrent = 0;
    duration waited_by_transactions{0};

    explicit simulated_pool(unsigned permits, unsigned share = few_connections) {
        p.share = share;
        p.limit.permits = permits;
        p.background_share = 100;
    }
    void apply_actions(const pool_actions& actions) {
        for (const pool_action& a : actions) {
            if (const auto* o = std::get_if<open_connection>(&a)) {
                begin({.connection = o->connection,
                       .length = milliseconds{12},
                       .is_opening = true,
                       .ends = {}});
            } else if (const auto* u = std::get_if<assign_connection>(&a)) {
                used.push_back(u->request);
                assigned_at[u->connection] = now;
                if (transactions.contains(u->request)) {
                    open[u->connection] = transactions[u->request];
                }
                begin({.connection = u->connection,
                       .length = lengths.at(u->request),
                       .is_opening = false,
                       .ends = {}});
            } else if (const auto* r = std::get_if<refuse_request>(&a)) {
                refused.push_back(r->request);
            }
        }
    }
    // Starts new work, for which a permit must be free.
    void begin(const server_work& w) {
        if (p.limit.permits > 0) {
            EXPECT_LT(at_server.size(), p.limit.permits);
        }
        send(w);
    }
    void send(const server_work& w) {
        at_server.push_back(w);
        start_work();
        max_concurrent = std::max(max_concurrent, static_cast<unsigned>(at_server.size()));
    }
    void start_work() {
        for (std::size_t i = 0; i < at_server.size() && i < slots; ++i) {
            if (at_server[i].ends == time_point{}) {
                at_server[i].ends = now + at_server[i].length;
            }
        }
    }
    request_number submit(request_class klass, duration length, const std::string& workspace = "",
                          transaction t = {}) {
        const request_number r = next_request++;
        lengths[r] = length;
        if (t.statements_left > 0) {
            transactions[r] = t;
        }
        pool_actions actions;
        request_connection(
            p, {.request = r, .klass = klass, .deadline = now + seconds{60}, .workspace = {workspace}}, now,
            next, actions);
        apply_actions(actions);
        return r;
    }
    void finish(const server_work& w) {
        pool_actions actions;
        if (w.is_opening) {
            connection_opened(p, w.connection, now, next, actions);
            apply_actions(actions);
            return;
        }
        const auto under_way = open.find(w.connection);
        const bool stays = under_way != open.end() && under_way->second.statements_left > 0;
        statement_ended(p, w.connection, {.took = w.length, .in_transaction = stays}, now, next, actions);
        if (stays) {
            next_statement_at[w.connection] = now + under_way->second.pause;
        } else {
            open.erase(w.connection);
            release_connection(p, w.connection, true, now - assigned_at[w.connection], now, next, actions);
        }
        apply_actions(actions);
    }
    // Advances the virtual time by one millisecond.
    void step() {
        now += milliseconds{1};
        std::vector<server_work> done;
        for (const server_work& w : at_server) {
            if (w.ends != time_point{} && w.ends <= now) {
                done.push_back(w);
            }
        }
        std::erase_if(at_server,
                      [&](const server_work& w) { return w.ends != time_point{} && w.ends <= now; });
        start_work();
        for (const server_work& w : done) {
            finish(w);
        }
        std::vector<connection_number> due;
        for (const auto& [c, at] : next_statement_at) {
            if (at <= now) {
                due.push_back(c);
            }
        }
        for (const connection_number c : due) {
            next_statement_at.erase(c);
            --open.at(c).statements_left;
            statement_started(p, c);
            send({.connection = c, .length = milliseconds{8}, .is_opening = false, .ends = {}});
        }
        pool_actions actions;
        expire_waiters(p, now, next, actions);
        apply_actions(actions);
    }
    void run(milliseconds time) {
        for (auto i = time.count(); i > 0; --i) {
            step();
        }
    }
};

TEST(permits, limit_concurrency_to_slots_plus_one_including_new_connections) {
    simulated_pool s(slots + 1);
    for (int i = 0; i < 60; ++i) {
        s.submit(request_class::normal, milliseconds{20});
    }
    EXPECT_EQ(s.at_server.size(), slots + 1) << "connection setups";
    s.run(milliseconds{600});
    EXPECT_EQ(s.max_concurrent, slots + 1);
    EXPECT_EQ(s.used.size(), 60U);
    EXPECT_TRUE(s.refused.empty());
    EXPECT_LE(open_count(s.p), slots + 2) << "more connections would never be used concurrently";
}

TEST(permits, standby_has_one) {
    simulated_pool s(1);
    for (int i = 0; i < 5; ++i) {
        s.submit(request_class::normal, milliseconds{20});
    }
    s.run(milliseconds{200});
    EXPECT_EQ(s.max_concurrent, 1U);
    EXPECT_EQ(s.used.size(), 5U);
}

// A transaction that waited behind new work would hold its locks for that time.
TEST(permits, open_transaction_does_not_wait_for_one) {
    simulated_pool s(slots + 1);
    s.submit(request_class::background, milliseconds{8}, "",
             {.statements_left = 3, .pause = milliseconds{5}});
    s.run(milliseconds{21});
    ASSERT_EQ(s.open.size(), 1U);
    const connection_number c = s.open.begin()->first;
    for (int i = 0; i < 50; ++i) {
        s.submit(request_class::critical, milliseconds{10});
    }
    while (s.next_statement_at.contains(c)) {
        s.step();
    }
    const auto sent = [&] {
        return std::any_of(s.at_server.begin(), s.at_server.end(),
                           [&](const auto& w) { return w.connection == c; });
    };
    EXPECT_TRUE(sent()) << "sent immediately, although fifty requests wait";
    EXPECT_LE(s.at_server.size(), slots + 2) << "the statement counts towards the limit";
    s.run(milliseconds{300});
    EXPECT_EQ(s.used.size(), 51U);
}

TEST(permits, are_not_held_by_idle_transactions) {
    simulated_pool s(slots + 1);
    for (int i = 0; i < 8; ++i) {
        s.submit(request_class::normal, milliseconds{8}, "", {.statements_left = 1, .pause = seconds{30}});
    }
    s.run(milliseconds{200});
    EXPECT_EQ(s.open.size(), 8U) << "all transactions are idle";
    const request_number r = s.submit(request_class::normal, milliseconds{8});
    s.run(milliseconds{20});
    EXPECT_NE(std::find(s.used.begin(), s.used.end(), r), s.used.end());
}

// Guards against starvation of a request that needs a new connection by requests whose connections are open.
TEST(permits, are_reserved_for_a_workspace_without_connection) {
    simulated_pool s(slots + 1);
    for (int i = 0; i < 40; ++i) {
        s.submit(request_class::normal, milliseconds{10}, "large");
    }
    s.run(milliseconds{60});
    // Milliseconds until the requests ahead have run, in the order of arrival.
    const auto turn = waiting_count(s.p) * 10 / slots;
    const request_number small = s.submit(request_class::normal, milliseconds{10}, "small");
    unsigned passed = 0;
    while (std::find(s.used.begin(), s.used.end(), small) == s.used.end() && passed < 200) {
        s.step();
        ++passed;
        while (waiting_count(s.p) < 30) {
            s.submit(request_class::normal, milliseconds{10}, "large");
        }
    }
    EXPECT_LE(passed, turn + 27U) << "15 ms for the permit, 12 ms for the connection setup";
}

// Lowers and raises the permits while statements are queued and running.
TEST(permits, can_be_reduced_and_raised_under_load) {
    simulated_pool s(0);
    for (int i = 0; i < 20; ++i) {
        s.submit(request_class::normal, milliseconds{20});
    }
    s.run(milliseconds{1});
    pool_actions actions;
    set_permits(s.p, 1, 0, s.now, s.next, actions);
    s.apply_actions(actions);
    s.run(milliseconds{20 * 12 / slots + 20 * 20 + 10}); // connection setups, then statements
    EXPECT_EQ(s.used.size(), 20U) << "one at a time, after the first ones have ended";
    for (int i = 0; i < 20; ++i) {
        s.submit(request_class::normal, milliseconds{20});
    }
    EXPECT_EQ(s.at_server.size(), 1U);
    actions.clear();
    set_permits(s.p, slots + 1, 0, s.now, s.next, actions);
    s.apply_actions(actions);
    EXPECT_EQ(s.at_server.size(), slots + 1);
    actions.clear();
    set_permits(s.p, slots + 1, slots + 1, s.now, s.next, actions);
    const std::size_t at_server = s.at_server.size();
    s.apply_actions(actions);
    s.run(milliseconds{400});
    EXPECT_EQ(running_count(s.p), 0U) << "another pool of the server holds all permits";
    EXPECT_LE(s.at_server.size(), at_server);
}

//-----------------------------------------------------------------------------
// [several services]
//-----------------------------------------------------------------------------

// Returns a driver whose connections open immediately and run nothing.
backend_driver make_idle_driver() {
    backend_driver driver;
    driver.make_connection = [](const server_record&, const service_id&, const workspace_id&) {
        auto c = std::make_shared<backend_connection>();
        c->connect = [](const connect_callback& done) { done(connect_result::connected); };
        c->close = [] {};
        c->is_open = [] { return true; };
        c->is_running = [] { return false; };
        return c;
    };
    return driver;
}

struct two_services {
    boost::asio::io_context io{1};
    backend_driver driver = make_idle_driver();
    backend_pools pools{io, driver};
    server_record server{.id = {"s1"}, .group = {"g"}, .host = "10.1.0.1", .port = 1, .domain = {"z"}};
    share_key a{.service = {"a"}, .server = {"s1"}};
    share_key b{.service = {"b"}, .server = {"s1"}};
    std::vector<std::pair<share_key, connection_number>> running;
    std::map<share_key, unsigned> served;

    two_services() {
        for (const share_key& key : {a, b}) {
            pools.set_share(key, 10);
            pools.set_order(key,
                            {.permits = 3, .claims_at_most = 0, .keeps_one = false, .is_ordering = true});
        }
    }
    void submit(const share_key& key) {
        pools.request(key, server, 100, {.deadline = larchpin::now() + seconds{60}},
                      [this, key](const pool_answer& answer) {
                          ASSERT_TRUE(answer.connection);
                          running.emplace_back(key, answer.number);
                          ++served[key];
                          EXPECT_LE(running.size(), 3U);
                      });
    }
    void finish_oldest() {
        const auto [key, number] = running.front();
        running.erase(running.begin());
        pools.note_statement_ended(key, number, {.took = milliseconds{10}});
        pools.release(key, number, true, milliseconds{10});
    }
};

TEST(several_services, share_the_permits_of_one_server_in_turn) {
    two_services s;
    for (int i = 0; i < 30; ++i) {
        s.submit(s.a);
    }
    EXPECT_EQ(s.running.size(), 3U);
    for (int i = 0; i < 10; ++i) {
        s.submit(s.b);
    }
    EXPECT_EQ(s.running.size(), 3U) << "the permits belong to the server";
    for (int i = 0; i < 20; ++i) {
        s.finish_oldest();
        EXPECT_EQ(s.running.size(), 3U) << "no permit is idle while a request waits";
    }
    EXPECT_EQ(s.served[s.b], 10U) << "in turn with the other service, which has more requests";
    while (!s.running.empty()) {
        s.finish_oldest();
    }
    EXPECT_EQ(s.served[s.a], 30U);
}

//-----------------------------------------------------------------------------
// [peak demand]
//-----------------------------------------------------------------------------

// Demand exceeds the capacity of the server for seconds, with short urgent statements, long normal statements
// and transactions that are idle between their statements, from thirty workspaces with their own connections
// each.
TEST(peak_demand, leaves_no_slot_idle_and_prioritizes_urgent_statements) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        std::mt19937_64 random(seed);
        const auto number = [&random](unsigned below) { return static_cast<unsigned>(random() % below); };
        simulated_pool s(slots + 1);
        duration idle{0};
        duration counted{0};
        std::map<request_number, time_point> asked; // urgent requests
        std::vector<duration> urgent_waits;
        for (int ms = 0; ms < 12'000; ++ms) {
            const bool crest = ms > 3'000 && ms < 9'000;
            const unsigned rate = crest ? 420 : 200; // per second; the server's capacity is about 300
            if (number(1000) < rate) {
                const std::string workspace = "w" + std::to_string(number(30));
                const unsigned kind = number(10);
                if (kind < 4) {
                    const request_number r = s.submit(request_class::critical, milliseconds{8}, workspace);
                    asked[r] = s.now;
                } else if (kind < 9) {
                    s.submit(request_class::normal, milliseconds{12 + number(18)}, workspace);
                } else {
                    s.submit(request_class::normal, milliseconds{8}, workspace,
                             {.statements_left = 2, .pause = milliseconds{30}});
                }
            }
            const std::size_t used_before = s.used.size();
            s.step();
            for (std::size_t i = used_before; i < s.used.size(); ++i) {
                if (asked.contains(s.used[i])) {
                    urgent_waits.push_back(s.now - asked[s.used[i]]);
                }
            }
            const auto& waiting = s.p.queue.waiting;
            const bool long_wait = std::any_of(waiting.begin(), waiting.end(), [&](const queued_request& w) {
                return s.now - w.queued_at > milliseconds{10};
            });
            if (long_wait) {
                const auto busy = std::min<std::size_t>(slots, s.at_server.size());
                idle += milliseconds{1} * (slots - busy);
                counted += milliseconds{1} * slots;
            }
        }
        ASSERT_GT(counted, seconds{8}) << "demand must exceed the capacity";
        EXPECT_LT(idle * 50, counted)
            << "seed " << seed << ": idle " << idle.count() << " of " << counted.count();
        EXPECT_LE(s.max_concurrent, slots + 1 + 6) << "at most six more, for statements of open transactions";
        EXPECT_GT(s.p.usage.waited, duration{0});
        std::sort(urgent_waits.begin(), urgent_waits.end());
        EXPECT_LT(urgent_waits.at(urgent_waits.size() * 9 / 10), milliseconds{60}) << "seed " << seed;
    }
}

} // namespace
} // namespace larchpin
