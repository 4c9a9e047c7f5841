// Distribution of reads between backend servers by their reported loads, with slow and failing servers.
//
// Index
//   [model]  [uneven servers]  [failing servers]  [idle servers]  [loads]  [forwarding peers]
#include "core/forwarding_peers.hpp"
#include "core/routing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//-----------------------------------------------------------------------------
// [model]
//-----------------------------------------------------------------------------

constexpr time_point start = seconds{100};
constexpr unsigned slots = 4;
constexpr std::size_t router_count = 70;

// Behavior of a server at a time since the start.
struct server_behavior {
    duration service_time = milliseconds{20};
    double failure_ratio = 0;
};
using behavior_at = std::function<server_behavior(duration)>;

behavior_at always(duration work, double fails = 0) {
    return [work, fails](duration /*at*/) {
        return server_behavior{.service_time = work, .failure_ratio = fails};
    };
}

struct finished_read {
    time_point at{};
    duration took{0};
    bool failed = false;
};

// A server behind an ordering home, which runs at most `slots` statements at once and queues the rest.
struct simulated_server {
    server_id id;
    behavior_at behavior;
    std::deque<time_point> queue{};                           // arrival times
    std::vector<std::pair<time_point, time_point>> running{}; // arrival, sending
    std::vector<time_point> ends{};                           // of the running statements
    response_stats answers{};
    std::deque<server_load> published_loads{}; // one per 10 ms
    std::vector<finished_read> finished{};
    std::vector<time_point> sent_at{};
};

// Routing instances that receive each load report after a fixed delay and send reads at random times, in
// steps of 1 ms.
class simulated_group {
public:
    simulated_group(std::vector<behavior_at> replicas, double reads_a_second, duration age)
        : rate_(reads_a_second), load_age_(age), caches_(router_count) {
        view_.record = {
            .id = {"g"}, .term = 1, .primary = {"p"}, .timeline = 1, .term_starts = {{.term = 1}}};
        view_.positions = &positions_;
        view_.servers_enforce_floor = true;
        session_.group = {"g"};
        view_.servers.push_back({.id = {"p"}, .same_domain = true});
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            servers_.push_back({.id = {"r" + std::to_string(i)}, .behavior = std::move(replicas[i])});
            view_.servers.push_back({.id = servers_.back().id, .same_domain = true});
        }
    }

    void run(duration length) {
        const time_point end = now_ + length;
        for (; now_ < end; now_ += milliseconds{1}) {
            update_positions();
            for (simulated_server& s : servers_) {
                serve(s);
                if ((now_ - start) % milliseconds{10} == duration{0}) {
                    s.published_loads.push_back(make_load(
                        s.id, s.answers,
                        {slots, static_cast<unsigned>(s.ends.size()), static_cast<unsigned>(s.queue.size())},
                        now_));
                }
            }
            if (std::uniform_real_distribution<double>(0, 1)(random_) < rate_ / 1000) {
                read();
            }
        }
    }

    // Returns the share of the reads sent between `from` and `to` that this server got.
    [[nodiscard]] double share(std::size_t server, duration from, duration to) const {
        double own = 0;
        double all = 0;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const auto n = static_cast<double>(
                std::count_if(servers_[i].sent_at.begin(), servers_[i].sent_at.end(),
                              [&](time_point at) { return at >= start + from && at < start + to; }));
            all += n;
            own += i == server ? n : 0;
        }
        return own / std::max(all, 1.0);
    }

    // Returns the share of the reads ended after `from` that failed or took longer than `objective`.
    [[nodiscard]] double bad_share(duration from, duration objective) const {
        double bad = 0;
        double all = 0;
        for (const simulated_server& s : servers_) {
            for (const finished_read& r : s.finished) {
                if (r.at >= start + from) {
                    all += 1;
                    bad += r.failed || r.took > objective ? 1 : 0;
                }
            }
        }
        return bad / std::max(all, 1.0);
    }

private:
    void update_positions() {
        const auto since = (now_ - start) / milliseconds{10};
        const position_sample sample{
            .not_before = now_, .timeline = 1, .position = static_cast<log_position>(since)};
        add_primary_sample(positions_, 1, sample);
        for (const simulated_server& s : servers_) {
            add_server_sample(positions_, s.id, sample, now_);
        }
    }

    void serve(simulated_server& s) {
        for (std::size_t i = 0; i < s.ends.size();) {
            if (s.ends[i] > now_) {
                ++i;
                continue;
            }
            const auto offset = static_cast<std::ptrdiff_t>(i);
            const auto [came, sent] = s.running[i];
            const bool failed = std::uniform_real_distribution<double>(0, 1)(random_) <
                                s.behavior(now_ - start).failure_ratio;
            record_outcome(s.answers, {.took = now_ - sent, .failed = failed}, now_);
            s.finished.push_back({.at = now_, .took = now_ - came, .failed = failed});
            s.running.erase(s.running.begin() + offset);
            s.ends.erase(s.ends.begin() + offset);
        }
        while (s.ends.size() < slots && !s.queue.empty()) {
            s.running.emplace_back(s.queue.front(), now_);
            s.ends.push_back(now_ + s.behavior(now_ - start).service_time);
            s.queue.pop_front();
        }
    }

    void read() {
        load_cache& book = caches_[std::uniform_int_distribution<std::size_t>(0, router_count - 1)(random_)];
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const auto& reports = servers_[i].published_loads;
            const auto received = std::find_if(reports.rbegin(), reports.rend(),
                                               [&](const auto& l) { return l.as_of <= now_ - load_age_; });
            const auto known = find_load(book, servers_[i].id, now_);
            if (received != reports.rend() && (!known || known->load.as_of < received->as_of)) {
                update_load(book, *received);
            }
            view_.servers[i + 1].load = find_load(book, servers_[i].id, now_);
        }
        const read_context wish{
            .staleness = seconds{1}, .arrived_at = now_, .now = now_, .lease_live = true, .excluded = {}};
        const routing_decision d = route_read(view_, session_, wish, {}, random_);
        for (simulated_server& s : servers_) {
            if (s.id == d.server) {
                s.queue.push_back(now_);
                s.sent_at.push_back(now_);
                record_sent(book, s.id);
            }
        }
    }

    double rate_;
    duration load_age_;
    time_point now_ = start;
    std::mt19937_64 random_{20261203};
    group_positions positions_;
    group_view view_;
    session_state session_;
    std::vector<simulated_server> servers_;
    std::vector<load_cache> caches_;
};

constexpr duration objective = milliseconds{200}; // latency objective of short reads

// A primary and two replicas that are caught up.
struct routed_group {
    group_positions positions;
    group_view view;
    session_state session;
    read_context wish;
    std::mt19937_64 random{1};

    routed_group() {
        view.record = {.id = {"g"}, .term = 1, .primary = {"p"}, .timeline = 1, .term_starts = {{.term = 1}}};
        view.positions = &positions;
        view.servers_enforce_floor = true;
        session.group = {"g"};
        wish.now = start;
        wish.arrived_at = start;
        wish.staleness = seconds{1};
        wish.lease_live = true;
        add_primary_sample(positions, 1, {.not_before = start, .timeline = 1, .position = 10});
        for (const char* id : {"p", "a", "b"}) {
            view.servers.push_back(
                {.id = {id}, .same_domain = true, .latency = milliseconds{20}, .last_request_at = start});
            add_server_sample(positions, {id}, {.not_before = start, .timeline = 1, .position = 10}, start);
        }
    }

    server_view& server(const std::string& id) {
        return *std::find_if(view.servers.begin(), view.servers.end(),
                             [&](const auto& s) { return s.id.value == id; });
    }

    void set_load(const std::string& id, server_load load, duration way = duration{0}) {
        load.server = {id};
        load.slots = slots;
        load.as_of = wish.now;
        server(id).load = known_load{.load = load, .round_trip_delay = way};
    }

    double share(const std::string& id) {
        constexpr int tries = 2000;
        int hits = 0;
        for (int i = 0; i < tries; ++i) {
            hits += route_read(view, session, wish, {}, random).server.value == id ? 1 : 0;
        }
        return static_cast<double>(hits) / tries;
    }
};

//-----------------------------------------------------------------------------
// [uneven servers]
//-----------------------------------------------------------------------------

// 300 reads/s at a capacity of 500; a server with half the speed of the others provides a fifth of it.
TEST(uneven_servers, slower_server_gets_a_smaller_share) {
    simulated_group g({always(milliseconds{20}), always(milliseconds{20}), always(milliseconds{40})}, 300,
                      milliseconds{100});
    g.run(seconds{10});
    EXPECT_GT(g.share(2, seconds{1}, seconds{10}), 0.05);
    EXPECT_LT(g.share(2, seconds{1}, seconds{10}), 0.2);
    EXPECT_LT(g.bad_share(seconds{1}, objective), 0.01);
}

// 450 reads/s at a capacity of 500; the fast servers alone provide 400.
TEST(uneven_servers, slow_server_is_used_near_capacity) {
    simulated_group g({always(milliseconds{20}), always(milliseconds{20}), always(milliseconds{40})}, 450,
                      milliseconds{100});
    g.run(seconds{10});
    EXPECT_GT(g.share(2, seconds{1}, seconds{10}), 0.1);
    EXPECT_LT(g.bad_share(seconds{1}, objective), 0.02);
}

// 320 reads/s at two servers with a capacity of 400 in total. If all instances sent to the server that was
// idle 300 ms ago, each server would alternate between no reads and about 100 reads per 300 ms, at a capacity
// of 60.
TEST(uneven_servers, late_reports_do_not_cause_oscillation) {
    simulated_group g({always(milliseconds{20}), always(milliseconds{20})}, 320, milliseconds{300});
    g.run(seconds{20});
    EXPECT_LT(g.bad_share(seconds{1}, objective), 0.01);
    for (int i = 2; i < 40; ++i) {
        const duration from = milliseconds{500} * i;
        EXPECT_GT(g.share(0, from, from + milliseconds{500}), 0.3) << i;
        EXPECT_LT(g.share(0, from, from + milliseconds{500}), 0.7) << i;
    }
}

TEST(uneven_servers, remote_server_gets_reads_only_if_the_local_one_has_a_queue) {
    routed_group g;
    g.server("b").same_domain = false;
    g.set_load("a", {.response_time = milliseconds{20}});
    g.set_load("b", {.response_time = milliseconds{20}}, milliseconds{6});
    EXPECT_EQ(g.share("a"), 1.0) << "no read leaves its failure domain without need";
    g.set_load(
        "a",
        {.running = 4, .waiting = 12, .response_time = milliseconds{20}, .queue_delay = milliseconds{60}});
    EXPECT_GT(g.share("b"), 0.75);
}

TEST(uneven_servers, primary_gets_reads_only_if_clearly_faster_and_without_queue) {
    routed_group g;
    g.set_load(
        "a",
        {.running = 4, .waiting = 20, .response_time = milliseconds{20}, .queue_delay = milliseconds{100}});
    g.set_load(
        "b",
        {.running = 4, .waiting = 20, .response_time = milliseconds{20}, .queue_delay = milliseconds{100}});
    g.set_load("p", {.running = 1, .response_time = milliseconds{20}});
    EXPECT_GT(g.share("p"), 0.3);
    EXPECT_LT(g.share("p"), 0.6) << "all instances see the primary idle";
    g.set_load(
        "p", {.running = 4, .waiting = 1, .response_time = milliseconds{20}, .queue_delay = milliseconds{5}});
    EXPECT_EQ(g.share("p"), 0.0);
    g.set_load("p", {.running = 1, .response_time = milliseconds{80}});
    EXPECT_EQ(g.share("p"), 0.0) << "not clearly faster";
}

//-----------------------------------------------------------------------------
// [failing servers]
//-----------------------------------------------------------------------------

// From 2 to 6 s one of two servers is slower by this factor. The other one has the capacity for all reads
// (160 of 200).
TEST(failing_servers, slow_server_is_avoided_and_used_again_after_recovery) {
    for (const int times : {4, 8}) {
        const behavior_at slow = [times](duration at) {
            const bool now_slow = at >= seconds{2} && at < seconds{6};
            return server_behavior{.service_time = milliseconds{20} * (now_slow ? times : 1)};
        };
        simulated_group g({slow, always(milliseconds{20})}, 120, milliseconds{100});
        g.run(seconds{15});
        EXPECT_LT(g.share(0, seconds{3}, seconds{6}), 0.15) << times;
        EXPECT_GT(g.share(0, seconds{9}, seconds{15}), 0.35) << times;
    }
}

TEST(failing_servers, partly_failing_server_is_avoided_and_regains_its_share_slowly) {
    const behavior_at failing = [](duration at) {
        return server_behavior{.failure_ratio = at >= seconds{2} && at < seconds{6} ? 0.33 : 0.0};
    };
    simulated_group g({failing, always(milliseconds{20})}, 120, milliseconds{100});
    g.run(seconds{20});
    EXPECT_LT(g.share(0, seconds{3}, seconds{6}), 0.1);
    EXPECT_LT(g.share(0, milliseconds{6000}, milliseconds{6500}), 0.15);
    EXPECT_GT(g.share(0, seconds{15}, seconds{20}), 0.35);
}

// The server alternates between one second without failures and one second in which all statements fail. If
// it were used again at once each time, a quarter of all reads would fail.
TEST(failing_servers, flapping_server_stays_excluded) {
    const behavior_at flapping = [](duration at) {
        return server_behavior{.failure_ratio = (at / seconds{1}) % 2 == 1 ? 1.0 : 0.0};
    };
    simulated_group g({flapping, always(milliseconds{20})}, 120, milliseconds{100});
    g.run(seconds{12});
    EXPECT_LT(g.bad_share(seconds{2}, objective), 0.03);
}

// The statements succeed; only the health probes and the local ejection state report the server as bad.
TEST(failing_servers, reported_load_overrides_local_health) {
    routed_group g;
    server_view& a = g.server("a");
    a.unresponsive = true;
    a.ejected_until = start + seconds{8};
    a.slow_start_factor = 0.1;
    apply_load(a, {.load = {.server = {"a"}, .response_time = milliseconds{20}, .as_of = start}});
    g.set_load("b", {.response_time = milliseconds{20}});
    EXPECT_GT(g.share("a"), 0.4);
}

TEST(failing_servers, least_failing_server_stays_in_use) {
    routed_group g;
    g.set_load("a", {.response_time = milliseconds{20}, .failure_ratio = 0.9});
    g.set_load("b", {.response_time = milliseconds{20}, .failure_ratio = 0.3});
    g.set_load(
        "p",
        {.running = 4, .waiting = 3, .response_time = milliseconds{20}, .queue_delay = milliseconds{15}});
    EXPECT_GT(g.share("b"), 0.7);
    EXPECT_EQ(g.share("p"), 0.0);
}

// No instance reaches either replica: every read sent there fails, and late.
TEST(failing_servers, busy_primary_serves_reads_if_all_replicas_fail) {
    routed_group g;
    g.set_load("a", {.response_time = milliseconds{20}, .failure_ratio = 1});
    g.set_load("b", {.response_time = milliseconds{20}, .failure_ratio = 1});
    g.set_load(
        "p",
        {.running = 4, .waiting = 3, .response_time = milliseconds{20}, .queue_delay = milliseconds{15}});
    EXPECT_GT(g.share("p"), 0.9);
    EXPECT_LT(g.share("p"), 1.0) << "trial reads detect a recovery";
}

TEST(failing_servers, single_failure_has_little_effect) {
    response_stats a;
    time_point at = start;
    for (int i = 0; i < 100; ++i) {
        at += milliseconds{10};
        record_outcome(a, {.took = milliseconds{20}, .failed = i == 99}, at);
    }
    EXPECT_LT(current_failure_ratio(a, at), 0.1);
    response_stats bad;
    for (int i = 0; i < 100; ++i) {
        record_outcome(bad, {.answered = i % 3 != 0}, start + milliseconds{10} * i);
    }
    EXPECT_GT(current_failure_ratio(bad, start + seconds{1}), 0.25);
}

//-----------------------------------------------------------------------------
// [idle servers]
//-----------------------------------------------------------------------------

// Guards against idle replicas while their primary has a queue: every instance had ejected both replicas
// after network failures.
TEST(idle_servers, ejected_replica_is_preferred_to_the_primary) {
    routed_group g;
    g.server("a").ejected_until = start + seconds{8};
    g.server("b").ejected_until = start + seconds{4};
    EXPECT_EQ(g.share("b"), 1.0) << "the replica whose ejection ends first";
    g.server("b").latency = seconds{2}; // including the remaining failure penalty
    EXPECT_EQ(g.share("p"), 1.0) << "the replica has just failed";
}

// The latency recorded while a replica was slow does not change as long as no request is sent to it.
TEST(idle_servers, slow_replica_is_tried_again) {
    routed_group g;
    g.server("a").latency = milliseconds{400};
    g.server("b").latency = milliseconds{400};
    EXPECT_EQ(g.share("p"), 1.0);
    g.server("a").last_request_at = start - seconds{2};
    g.server("b").last_request_at = start - seconds{2};
    EXPECT_EQ(g.share("p"), 0.0);
}

TEST(idle_servers, response_time_decays_without_requests) {
    response_stats a;
    time_point at = start;
    const auto answer = [&](duration took, int times) {
        for (int i = 0; i < times; ++i) {
            at += milliseconds{10};
            record_outcome(a, {.took = took}, at);
        }
    };
    answer(milliseconds{20}, 50);
    answer(milliseconds{400}, 50);
    EXPECT_GT(current_response_time(a, at), milliseconds{300});
    EXPECT_LT(current_response_time(a, at + seconds{2}), milliseconds{60});
}

// An observer that gets no answer itself reports the same old sample repeatedly.
TEST(idle_servers, repeated_position_sample_expires) {
    group_positions p;
    for (int i = 0; i < 300; ++i) {
        add_primary_sample(p, 1,
                           {.not_before = start + milliseconds{10 * i},
                            .timeline = 1,
                            .position = static_cast<log_position>(i)});
    }
    const position_sample old{.not_before = start + seconds{2}, .timeline = 1, .position = 20};
    const time_point now = start + seconds{3};
    const duration trust = routing_settings{}.position_max_age;
    add_server_sample(p, {"a"}, old, start + seconds{2});
    EXPECT_FALSE(likely_has_position(p, {"a"}, 1, 290, start + milliseconds{2100}, trust));
    for (int i = 0; i < 10; ++i) {
        add_server_sample(p, {"a"}, old, now - milliseconds{10 * i});
    }
    EXPECT_TRUE(likely_has_position(p, {"a"}, 1, 290, now, trust)) << "the replica is queried again";
}

TEST(idle_servers, lag_excludes_the_delay_of_the_report) {
    group_positions p;
    for (int i = 0; i < 300; ++i) {
        add_primary_sample(p, 1,
                           {.not_before = start + milliseconds{10 * i},
                            .timeline = 1,
                            .position = static_cast<log_position>(i)});
    }
    // At 2.7 s the replica had the primary's position of 2.65 s; the report arrives at 3 s.
    add_server_sample(p, {"a"}, {.not_before = start + milliseconds{2700}, .timeline = 1, .position = 265},
                      start + milliseconds{2710});
    EXPECT_TRUE(likely_has_position(p, {"a"}, 1, 290, start + seconds{3}, seconds{1}));
}

// 400 reads/s go to the primary because both replicas are known to be behind; then one has caught up. The
// instance that queries it reports the position to all others in the next exchange, 50 ms later.
TEST(idle_servers, replica_gets_reads_soon_after_catching_up) {
    std::vector<duration> found;
    for (int seed = 1; seed <= 40; ++seed) {
        routed_group g;
        g.random.seed(static_cast<std::uint64_t>(seed));
        g.set_load(
            "p",
            {.running = 4, .waiting = 4, .response_time = milliseconds{20}, .queue_delay = milliseconds{20}});
        add_primary_sample(g.positions, 1,
                           {.not_before = start + milliseconds{1}, .timeline = 1, .position = 20});
        g.session.positions.written = session_token{.group = {"g"}, .term = 1, .position = 20};
        for (const char* id : {"a", "b"}) { // a large lag for a long time
            g.set_load(id, {.response_time = milliseconds{20}});
            g.positions.servers[{id}].lag = seconds{10};
        }
        duration at = milliseconds{2};
        int vain = 0;
        for (; at < seconds{1}; at += milliseconds{1}) {
            g.wish.now = start + at;
            g.wish.arrived_at = g.wish.now;
            const bool caught_up = at >= milliseconds{200};
            if (std::uniform_real_distribution<double>(0, 1)(g.random) >= 0.4) {
                continue;
            }
            const auto d = route_read(g.view, g.session, g.wish, {}, g.random);
            if (d.is_primary) {
                continue;
            }
            EXPECT_EQ(d.floor, 20U);
            if (caught_up) {
                break;
            }
            ++vain;
            g.positions.servers[d.server].newest.not_before = g.wish.now;
        }
        EXPECT_LT(vain, 16) << "a tenth of 80 reads, doubled as a margin for chance";
        found.push_back(at - milliseconds{200} + milliseconds{50});
    }
    std::sort(found.begin(), found.end());
    EXPECT_LE(found[found.size() / 2], milliseconds{100});
    EXPECT_LE(found.back(), milliseconds{300});
}

//-----------------------------------------------------------------------------
// [loads]
//-----------------------------------------------------------------------------

TEST(loads, expire_are_bounded_and_are_replaced_by_newer_only) {
    load_cache b;
    EXPECT_TRUE(update_load(b, {.server = {"a"}, .running = 3, .as_of = start}));
    EXPECT_FALSE(update_load(b, {.server = {"a"}, .running = 1, .as_of = start - milliseconds{1}}));
    record_sent(b, {"a"});
    EXPECT_EQ(find_load(b, {"a"}, start)->sent_since, 1U);
    EXPECT_TRUE(update_load(b, {.server = {"a"}, .running = 4, .as_of = start + milliseconds{1}}));
    EXPECT_EQ(find_load(b, {"a"}, start)->sent_since, 0U) << "included in the new report";
    EXPECT_FALSE(find_load(b, {"a"}, start + seconds{1}));
    for (std::size_t i = 0; i < 2 * max_known_loads; ++i) {
        update_load(b, {.server = {std::to_string(i)}, .as_of = start + milliseconds{2}});
        record_round_trip_delay(b, {std::to_string(i)}, milliseconds{1});
    }
    EXPECT_LE(b.loads.size(), max_known_loads);
    EXPECT_LE(b.round_trip_delays.size(), max_known_loads);
    evict_old_loads(b, start + seconds{1});
    EXPECT_TRUE(b.loads.empty());
}

TEST(loads, local_latency_is_used_without_reports) {
    routed_group g;
    g.server("b").latency = milliseconds{40};
    EXPECT_GT(g.share("a"), 0.7);
    g.server("a").same_domain = false;
    EXPECT_GT(g.share("b"), 0.9) << "latency of another failure domain counts twice";
}

TEST(loads, requests_sent_since_the_report_count) {
    known_load k{.load = {.slots = 4, .running = 3, .response_time = milliseconds{20}}};
    EXPECT_TRUE(has_free_slot(k));
    const duration before = expected_completion(k);
    k.sent_since = 4;
    EXPECT_FALSE(has_free_slot(k));
    EXPECT_EQ(expected_completion(k), before + milliseconds{20});
}

TEST(loads, small_changes_are_not_significant) {
    const server_load told{.running = 4, .waiting = 8, .response_time = milliseconds{20}};
    server_load now = told;
    now.waiting = 9;
    EXPECT_FALSE(differs_significantly(told, now));
    now.waiting = 16;
    EXPECT_TRUE(differs_significantly(told, now));
    now = told;
    now.failure_ratio = 0.2;
    EXPECT_TRUE(differs_significantly(told, now));
}

//-----------------------------------------------------------------------------
// [forwarding peers]
//-----------------------------------------------------------------------------

// An instance at a fifth of its normal speed delays each answer by tens of milliseconds.
TEST(slow_peers, are_distinguished_from_remote_ones_by_their_delay) {
    forwarding_peer_tracker b;
    for (int i = 0; i < 20; ++i) {
        record_round_trip_delay(b, "near", milliseconds{1});
        record_round_trip_delay(b, "far", milliseconds{7});
        record_round_trip_delay(b, "slow", milliseconds{40});
    }
    EXPECT_FALSE(is_slow(b, "near"));
    EXPECT_FALSE(is_slow(b, "far"));
    EXPECT_TRUE(is_slow(b, "slow"));
    EXPECT_FALSE(is_slow(b, "unknown"));
    for (int i = 0; i < 40; ++i) {
        record_round_trip_delay(b, "slow", milliseconds{2});
    }
    EXPECT_FALSE(is_slow(b, "slow")) << "the peer has recovered";
}

} // namespace
} // namespace larchpin
