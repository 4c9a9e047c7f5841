// How reads are divided between servers where their loads are told, and what becomes of slow and failing
// ones.
//
// Index
//   [model]  [uneven servers]  [bad servers]  [idle servers]  [loads]  [lenders]
#include "core/lenders.hpp"
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

// How a server does at a moment since the start.
struct server_behavior {
    duration service_time = milliseconds{20};
    double failure_ratio = 0;
};
using behavior_at = std::function<server_behavior(duration)>;

behavior_at always(duration work, double fails = 0) {
    return [work, fails](duration /*at*/) { return server_behavior{.service_time = work, .failure_ratio = fails}; };
}

struct finished_read {
    time_point at{};
    duration took{0};
    bool failed = false;
};

// A server whose statements one instance orders: at most `slots` at once, the rest waits there.
struct simulated_server {
    server_id id;
    behavior_at behavior;
    std::deque<time_point> queue{};                           // when they came
    std::vector<std::pair<time_point, time_point>> running{}; // came, sent
    std::vector<time_point> ends{};                           // of those running
    response_stats answers{};
    std::deque<server_load> published_loads{}; // one each 10 ms
    std::vector<finished_read> finished{};
    std::vector<time_point> sent_at{};
};

// Choosers that hear each load so much later, and ask for reads at random moments, in steps of 1 ms.
class simulated_group {
public:
    simulated_group(std::vector<behavior_at> replicas, double reads_a_second, duration age)
        : rate_(reads_a_second), load_age_(age), caches_(router_count) {
        view_.record = {.id = {"g"}, .term = 1, .primary = {"p"}, .timeline = 1, .term_starts = {{.term = 1}}};
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

    // Share of the reads sent from `from` to `to` that this server got.
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

    // Share of the reads that ended after `from`, and failed or took longer.
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
            const bool failed =
                std::uniform_real_distribution<double>(0, 1)(random_) < s.behavior(now_ - start).failure_ratio;
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
            const auto& told = servers_[i].published_loads;
            const auto received = std::find_if(told.rbegin(), told.rend(),
                                            [&](const auto& l) { return l.as_of <= now_ - load_age_; });
            const auto known = find_load(book, servers_[i].id, now_);
            if (received != told.rend() && (!known || known->load.as_of < received->as_of)) {
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
                note_sent(book, s.id);
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

constexpr duration objective = milliseconds{200}; // of quick work

// A primary and two replicas that hold everything.
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

// 300 reads a second where 500 can be done, a fifth of it by a server with half the others' speed.
TEST(uneven_servers, one_with_half_the_speed_gets_less_and_is_not_left_idle) {
    simulated_group g({always(milliseconds{20}), always(milliseconds{20}), always(milliseconds{40})}, 300,
                     milliseconds{100});
    g.run(seconds{10});
    EXPECT_GT(g.share(2, seconds{1}, seconds{10}), 0.05);
    EXPECT_LT(g.share(2, seconds{1}, seconds{10}), 0.2);
    EXPECT_LT(g.bad_share(seconds{1}, objective), 0.01);
}

// 450 of 500: the quick ones alone do 400.
TEST(uneven_servers, near_the_limit_the_slow_one_carries_its_part) {
    simulated_group g({always(milliseconds{20}), always(milliseconds{20}), always(milliseconds{40})}, 450,
                     milliseconds{100});
    g.run(seconds{10});
    EXPECT_GT(g.share(2, seconds{1}, seconds{10}), 0.1);
    EXPECT_LT(g.bad_share(seconds{1}, objective), 0.02);
}

// 320 reads a second where two servers do 400. If all went where it was quiet 300 ms ago, each would get
// nothing and then three times what it can do: 100 reads in 300 ms where 60 can be done.
TEST(uneven_servers, seventy_choosers_that_hear_late_do_not_swing) {
    simulated_group g({always(milliseconds{20}), always(milliseconds{20})}, 320, milliseconds{300});
    g.run(seconds{20});
    EXPECT_LT(g.bad_share(seconds{1}, objective), 0.01);
    for (int i = 2; i < 40; ++i) {
        const duration from = milliseconds{500} * i;
        EXPECT_GT(g.share(0, from, from + milliseconds{500}), 0.3) << i;
        EXPECT_LT(g.share(0, from, from + milliseconds{500}), 0.7) << i;
    }
}

TEST(uneven_servers, a_far_idle_one_takes_over_from_a_near_one_with_a_queue_and_only_then) {
    routed_group g;
    g.server("b").same_domain = false;
    g.set_load("a", {.response_time = milliseconds{20}});
    g.set_load("b", {.response_time = milliseconds{20}}, milliseconds{6});
    EXPECT_EQ(g.share("a"), 1.0) << "nothing crosses a border for nothing";
    g.set_load("a", {.running = 4, .waiting = 12, .response_time = milliseconds{20}, .queue_delay = milliseconds{60}});
    EXPECT_GT(g.share("b"), 0.75);
}

TEST(uneven_servers, the_primary_reads_only_where_it_is_clearly_better_and_has_no_queue_of_its_own) {
    routed_group g;
    g.set_load("a", {.running = 4, .waiting = 20, .response_time = milliseconds{20}, .queue_delay = milliseconds{100}});
    g.set_load("b", {.running = 4, .waiting = 20, .response_time = milliseconds{20}, .queue_delay = milliseconds{100}});
    g.set_load("p", {.running = 1, .response_time = milliseconds{20}});
    EXPECT_GT(g.share("p"), 0.3);
    EXPECT_LT(g.share("p"), 0.6) << "everyone else sees it idle as well";
    g.set_load("p", {.running = 4, .waiting = 1, .response_time = milliseconds{20}, .queue_delay = milliseconds{5}});
    EXPECT_EQ(g.share("p"), 0.0);
    g.set_load("p", {.running = 1, .response_time = milliseconds{80}});
    EXPECT_EQ(g.share("p"), 0.0) << "not clearly better";
}

//-----------------------------------------------------------------------------
// [bad servers]
//-----------------------------------------------------------------------------

// From 2 to 6 s one of two servers takes so many times as long. The other can do all of it (160 of 200).
TEST(bad_servers, one_that_turns_slow_is_left_and_taken_back) {
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

TEST(bad_servers, one_that_fails_a_third_with_good_health_is_left_and_taken_back_slowly) {
    const behavior_at failing = [](duration at) {
        return server_behavior{.failure_ratio = at >= seconds{2} && at < seconds{6} ? 0.33 : 0.0};
    };
    simulated_group g({failing, always(milliseconds{20})}, 120, milliseconds{100});
    g.run(seconds{20});
    EXPECT_LT(g.share(0, seconds{3}, seconds{6}), 0.1);
    EXPECT_LT(g.share(0, milliseconds{6000}, milliseconds{6500}), 0.15);
    EXPECT_GT(g.share(0, seconds{15}, seconds{20}), 0.35);
}

// Well for a second and failing everything for the next, over and over: taken back at once each time, it
// would fail a quarter of all reads.
TEST(bad_servers, one_that_flaps_stays_out) {
    const behavior_at flapping = [](duration at) {
        return server_behavior{.failure_ratio = (at / seconds{1}) % 2 == 1 ? 1.0 : 0.0};
    };
    simulated_group g({flapping, always(milliseconds{20})}, 120, milliseconds{100});
    g.run(seconds{12});
    EXPECT_LT(g.bad_share(seconds{2}, objective), 0.03);
}

// The users' answers are good; only what else is heard of it is not.
TEST(bad_servers, one_that_answers_well_stays_whatever_its_health_answers_say) {
    routed_group g;
    server_view& a = g.server("a");
    a.unresponsive = true;
    a.ejected_until = start + seconds{8};
    a.slow_start_factor = 0.1;
    apply_load(a, {.load = {.server = {"a"}, .response_time = milliseconds{20}, .as_of = start}});
    g.set_load("b", {.response_time = milliseconds{20}});
    EXPECT_GT(g.share("a"), 0.4);
}

TEST(bad_servers, of_several_bad_ones_the_least_bad_stays_in_use) {
    routed_group g;
    g.set_load("a", {.response_time = milliseconds{20}, .failure_ratio = 0.9});
    g.set_load("b", {.response_time = milliseconds{20}, .failure_ratio = 0.3});
    g.set_load("p", {.running = 4, .waiting = 3, .response_time = milliseconds{20}, .queue_delay = milliseconds{15}});
    EXPECT_GT(g.share("b"), 0.7);
    EXPECT_EQ(g.share("p"), 0.0);
}

// Nobody reaches either replica: whatever is sent there comes back, and late.
TEST(bad_servers, replicas_that_answer_nobody_leave_their_reads_to_the_primary_however_busy) {
    routed_group g;
    g.set_load("a", {.response_time = milliseconds{20}, .failure_ratio = 1});
    g.set_load("b", {.response_time = milliseconds{20}, .failure_ratio = 1});
    g.set_load("p", {.running = 4, .waiting = 3, .response_time = milliseconds{20}, .queue_delay = milliseconds{15}});
    EXPECT_GT(g.share("p"), 0.9);
    EXPECT_LT(g.share("p"), 1.0) << "or nobody would see them come back";
}

TEST(bad_servers, one_users_bad_luck_ejects_nobody) {
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

// The pattern: both replicas of a group idle while their primary has a queue. Each instance has ejected them
// for failures of the way there.
TEST(idle_servers, ejected_replicas_do_not_leave_everything_to_the_primary) {
    routed_group g;
    g.server("a").ejected_until = start + seconds{8};
    g.server("b").ejected_until = start + seconds{4};
    EXPECT_EQ(g.share("b"), 1.0) << "the one that comes back first";
    g.server("b").latency = seconds{2}; // with what is left of the penalty for its failures
    EXPECT_EQ(g.share("p"), 1.0) << "its last failures are a moment ago";
}

// What an instance learned of a replica while that was slow stays, as long as nothing is sent there.
TEST(idle_servers, a_replica_that_was_slow_once_is_tried_again) {
    routed_group g;
    g.server("a").latency = milliseconds{400};
    g.server("b").latency = milliseconds{400};
    EXPECT_EQ(g.share("p"), 1.0);
    g.server("a").last_request_at = start - seconds{2};
    g.server("b").last_request_at = start - seconds{2};
    EXPECT_EQ(g.share("p"), 0.0);
}

TEST(idle_servers, a_load_of_a_server_that_nobody_asks_fades_to_its_quick_times) {
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

// An observer that is not answered itself tells the same old sample over and over.
TEST(idle_servers, a_position_that_is_told_again_is_no_news) {
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
    EXPECT_TRUE(likely_has_position(p, {"a"}, 1, 290, now, trust)) << "it is asked again";
}

TEST(idle_servers, the_lag_of_a_position_that_was_told_late_is_not_that_of_the_telling) {
    group_positions p;
    for (int i = 0; i < 300; ++i) {
        add_primary_sample(p, 1,
                           {.not_before = start + milliseconds{10 * i},
                            .timeline = 1,
                            .position = static_cast<log_position>(i)});
    }
    // At 2.7 s it stood where the primary was at 2.65 s; that is heard at 3 s.
    add_server_sample(p, {"a"}, {.not_before = start + milliseconds{2700}, .timeline = 1, .position = 265},
                      start + milliseconds{2710});
    EXPECT_TRUE(likely_has_position(p, {"a"}, 1, 290, start + seconds{3}, seconds{1}));
}

// 400 reads a second at the primary, since both replicas are known to be behind; then one has caught up.
// Whoever asks it tells all others with the next exchange, 50 ms later.
TEST(idle_servers, a_replica_takes_reads_soon_after_its_log_is_far_enough) {
    std::vector<duration> found;
    for (int seed = 1; seed <= 40; ++seed) {
        routed_group g;
        g.random.seed(static_cast<std::uint64_t>(seed));
        g.set_load("p", {.running = 4, .waiting = 4, .response_time = milliseconds{20}, .queue_delay = milliseconds{20}});
        add_primary_sample(g.positions, 1,
                           {.not_before = start + milliseconds{1}, .timeline = 1, .position = 20});
        g.session.written = session_token{.group = {"g"}, .term = 1, .position = 20};
        for (const char* id : {"a", "b"}) { // far behind: it has been so for long
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
        EXPECT_LT(vain, 16) << "a tenth of 80 reads, and as many again for chance";
        found.push_back(at - milliseconds{200} + milliseconds{50});
    }
    std::sort(found.begin(), found.end());
    EXPECT_LE(found[found.size() / 2], milliseconds{100});
    EXPECT_LE(found.back(), milliseconds{300});
}

//-----------------------------------------------------------------------------
// [loads]
//-----------------------------------------------------------------------------

TEST(loads, are_forgotten_and_bounded_and_an_older_one_replaces_no_newer) {
    load_cache b;
    EXPECT_TRUE(update_load(b, {.server = {"a"}, .running = 3, .as_of = start}));
    EXPECT_FALSE(update_load(b, {.server = {"a"}, .running = 1, .as_of = start - milliseconds{1}}));
    note_sent(b, {"a"});
    EXPECT_EQ(find_load(b, {"a"}, start)->sent_since, 1U);
    EXPECT_TRUE(update_load(b, {.server = {"a"}, .running = 4, .as_of = start + milliseconds{1}}));
    EXPECT_EQ(find_load(b, {"a"}, start)->sent_since, 0U) << "counted there";
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

TEST(loads, where_none_is_told_the_choice_is_by_this_instances_own_answers) {
    routed_group g;
    g.server("b").latency = milliseconds{40};
    EXPECT_GT(g.share("a"), 0.7);
    g.server("a").same_domain = false;
    EXPECT_GT(g.share("b"), 0.9) << "the other failure domain counts twice";
}

TEST(loads, what_this_instance_sent_since_counts) {
    known_load k{.load = {.slots = 4, .running = 3, .response_time = milliseconds{20}}};
    EXPECT_TRUE(has_free_slot(k));
    const duration before = expected_completion(k);
    k.sent_since = 4;
    EXPECT_FALSE(has_free_slot(k));
    EXPECT_EQ(expected_completion(k), before + milliseconds{20});
}

TEST(loads, small_changes_are_not_worth_telling) {
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
// [lenders]
//-----------------------------------------------------------------------------

// An instance that runs at a fifth of its usual speed holds each answer up by tens of milliseconds.
TEST(slow_lenders, are_told_from_far_ones_by_what_they_add) {
    lender_tracker b;
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
    EXPECT_FALSE(is_slow(b, "slow")) << "it has recovered";
}

} // namespace
} // namespace larchpin
