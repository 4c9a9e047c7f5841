// Instances whose control answers late or does not lead: what they ask of it, and what that costs it.
//
// A stand-in of control answers from a thread of its own; the instance's own parts run on the test's thread.
// Counts are compared, never times.
//
// Index
//   [stand-in]  [instance]  [tests]
#include "core/control.hpp"
#include "core/control_search.hpp"
#include "daemon/agent.hpp"
#include "daemon/pools.hpp"
#include "daemon/rate_limiter.hpp"
#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "ports.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace larchpin {
namespace {

using std::chrono::milliseconds;

const workspace_id workspace{"acme"};
constexpr int status_unavailable = 503;

const shared_keys& test_keys() {
    static const shared_keys keys{.keys = {std::string(40, 'k')}};
    return keys;
}

//-----------------------------------------------------------------------------
// [stand-in]
//-----------------------------------------------------------------------------

// A control instance whose loop takes `delay` for every renewal and every rate request. Everything else that
// arrives meanwhile waits.
class slow_control {
public:
    slow_control(duration delay, bool leads)
        : delay_(delay), leads_(leads), port_(testing::free_port()),
          server_(io_, {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port_)},
                  test_keys(), [this](const http_request& q, const http_respond& r) { serve(q, r); }),
          thread_([this] { io_.run(); }) {}

    ~slow_control() {
        io_.stop();
        thread_.join();
    }
    slow_control(const slow_control&) = delete;
    slow_control& operator=(const slow_control&) = delete;
    slow_control(slow_control&&) = delete;
    slow_control& operator=(slow_control&&) = delete;

    // From now on every watch fails at once.
    void refuse_watches() { refuses_watches_ = true; }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] unsigned renewals() const { return renewals_; }
    [[nodiscard]] unsigned rate_requests() const { return rate_requests_; }
    [[nodiscard]] unsigned watches() const { return watches_; }
    [[nodiscard]] std::uint64_t connections() const { return connections_; }

private:
    void serve(const http_request& request, const http_respond& respond) {
        if (request.path == "/v1/renew") {
            std::this_thread::sleep_for(delay_);
            respond({.status = 200, .body = answer_renewal()});
        } else if (request.path == "/v1/rates") {
            std::this_thread::sleep_for(delay_);
            respond({.status = 200, .body = answer_rates(request.body)});
        } else if (request.path == "/v1/watch") {
            watch(request.body, respond);
        }
        connections_ = server_.counts().accepted;
    }

    std::string answer_renewal() {
        ++renewals_;
        renewal_reply reply;
        reply.seq = ++seq_;
        if (leads_) {
            reply.lease = milliseconds{600};
            reply.revision = 1;
            reply.renew_after = milliseconds{120};
        } else {
            reply.code = result_code::not_leader;
        }
        wire::renewal_reply m;
        to_wire(reply, m);
        return m.SerializeAsString();
    }

    std::string answer_rates(const std::string& body) {
        ++rate_requests_;
        wire::rate_request request;
        wire::rate_reply reply;
        request.ParseFromString(body);
        if (leads_) {
            std::vector<rate_grant> grants;
            for (const rate_claim& claim : from_wire(request).claims) {
                grants.push_back({.workspace = claim.workspace, .operations = claim.needed});
            }
            to_wire(grants, reply);
        } else {
            reply.set_code(static_cast<std::uint32_t>(result_code::not_leader));
        }
        return reply.SerializeAsString();
    }

    void watch(const std::string& body, const http_respond& respond) {
        ++watches_;
        if (refuses_watches_) {
            respond({.status = status_unavailable, .body = {}});
            return;
        }
        wire::watch_request request;
        request.ParseFromString(body);
        if (request.applied() > 0) {
            return; // a long poll without an end
        }
        cluster_state state;
        state.revision = 1;
        state.current_table.workspaces = {{.id = workspace, .rate = 1000, .burst = 1000}};
        wire::watch_reply reply;
        reply.set_commit(state.revision);
        to_wire(state, *reply.mutable_full());
        respond({.status = 200, .body = reply.SerializeAsString()});
    }

    duration delay_;
    bool leads_;
    unsigned port_;
    std::uint64_t seq_ = 0;
    std::atomic<bool> refuses_watches_{false};
    std::atomic<unsigned> renewals_{0};
    std::atomic<unsigned> rate_requests_{0};
    std::atomic<unsigned> watches_{0};
    std::atomic<std::uint64_t> connections_{0};
    boost::asio::io_context io_;
    http2_server server_;
    std::thread thread_;
};

//-----------------------------------------------------------------------------
// [instance]
//-----------------------------------------------------------------------------

settings make_settings(const std::string& control) {
    settings s;
    s.id = {"entry-1"};
    s.domain = {"domain-1"};
    s.peer_address = "127.0.0.1:1";
    s.control_addresses = {control};
    s.lease = milliseconds{600};
    return s;
}

// An instance in whose workspace an operation always waits to be let through.
struct busy_instance {
    boost::asio::io_context io{1};
    settings config;
    backend_driver driver;
    backend_pools pools;
    agent cluster;
    rate_limiter limits;
    unsigned granted = 0;

    explicit busy_instance(const std::string& control)
        : config(make_settings(control)), pools(io, driver), cluster(io, config, test_keys(), pools, driver),
          limits(io, config, test_keys(), cluster) {
        cluster.start();
    }

    void admit_next() {
        limits.admit(workspace, now() + std::chrono::hours{1}, [this](const rate_verdict& v) {
            granted += v.code == result_code::ok ? 1 : 0;
            boost::asio::post(io, [this] { admit_next(); });
        });
    }

    template <typename Condition> void run_until(Condition done) {
        while (!done()) {
            io.run_one();
        }
    }

    // Until it knows the workspace's limit.
    void learn_table() {
        run_until([this] { return cluster.cluster().revision > 0; });
    }
};

//-----------------------------------------------------------------------------
// [tests]
//-----------------------------------------------------------------------------

// Renewals of one instance in virtual time, to three control instances that answer as `answer` says.
struct searching_instance {
    enum class outcome : std::uint8_t { silence = 1, refused, not_leader, granted };

    std::mt19937_64 random{1};
    control_search search = make_control_search({"a", "b", "c"});
    time_point now{std::chrono::seconds{10}};
    std::function<outcome(const std::string&)> answer;
    std::string hint; // of those that do not lead
    unsigned sent = 0;
    unsigned asked_again = 0; // while the address had an open renewal
    std::optional<time_point> granted_at;

    void run_for(duration time) {
        constexpr duration timeout = milliseconds{600};
        for (const time_point end = now + time; now < end && !granted_at; now += milliseconds{5}) {
            const auto open = search.open;
            for (const auto& [address, sent_at] : open) {
                if (now - sent_at >= timeout) {
                    record_unanswered(search, address, now, random);
                }
            }
            if (const auto to = choose_control(search, true, now)) {
                ask(*to);
            }
        }
    }

    void ask(const std::string& address) {
        ++sent;
        asked_again += search.open.contains(address) ? 1 : 0;
        record_sent(search, address, now);
        switch (answer(address)) {
        case outcome::silence: break;
        case outcome::refused: record_unanswered(search, address, now, random); break;
        case outcome::not_leader:
            record_not_leader(search, address, hint, milliseconds{30}, now, random);
            break;
        case outcome::granted:
            record_granted(search, address);
            granted_at = now;
            break;
        }
    }
};

// Guards against renewals that multiply when control is late: an instance sends as many as its pauses allow.
TEST(control_search, renewals_are_bounded_while_nobody_answers) {
    searching_instance i;
    i.answer = [](const std::string&) { return searching_instance::outcome::silence; };
    constexpr duration time = std::chrono::seconds{60};
    i.run_for(time);
    EXPECT_EQ(i.asked_again, 0U);
    EXPECT_LE(i.sent, time / max_search_pause);
}

// Guards against a slow leader that gets a second renewal for each one that it has not answered yet.
TEST(control_search, late_leader_is_not_asked_again_when_others_name_it) {
    searching_instance i;
    unsigned to_leader = 0;
    i.hint = "a";
    i.answer = [&to_leader](const std::string& address) {
        to_leader += address == "a" ? 1 : 0;
        return address == "a" ? searching_instance::outcome::silence
                              : searching_instance::outcome::not_leader;
    };
    i.run_for(milliseconds{595});
    EXPECT_EQ(to_leader, 1U);
    EXPECT_EQ(i.search.leader, "a");
}

// Guards against a lost leader that is waited for although its successor would grant the lease.
TEST(control_search, successor_of_silent_leader_is_found_within_one_lease) {
    for (unsigned seed = 0; seed < 50; ++seed) {
        searching_instance i;
        i.random.seed(seed);
        i.hint = "a";
        const time_point elected_at = i.now + milliseconds{400};
        i.answer = [&i, elected_at](const std::string& address) {
            if (address == "a") {
                return searching_instance::outcome::silence;
            }
            return address == "c" && i.now >= elected_at ? searching_instance::outcome::granted
                                                         : searching_instance::outcome::not_leader;
        };
        i.run_for(std::chrono::seconds{10});
        ASSERT_TRUE(i.granted_at.has_value()) << seed;
        EXPECT_LE(*i.granted_at - elected_at, milliseconds{600}) << seed;
    }
}

// Guards against a start of everything in which instances wait although control is back.
TEST(control_search, leader_is_found_soon_after_all_refused) {
    for (unsigned seed = 0; seed < 50; ++seed) {
        searching_instance i;
        i.random.seed(seed);
        const time_point back_at = i.now + std::chrono::seconds{2};
        i.answer = [&i, back_at](const std::string& address) {
            if (i.now < back_at) {
                return searching_instance::outcome::refused;
            }
            return address == "c" ? searching_instance::outcome::granted
                                  : searching_instance::outcome::not_leader;
        };
        i.run_for(std::chrono::seconds{10});
        ASSERT_TRUE(i.granted_at.has_value()) << seed;
        EXPECT_LE(*i.granted_at - back_at, max_search_pause) << seed;
    }
}

// Guards against a control instance that gets a new connection for every answer that is late: its queue of
// connections grows faster than it can take them, and nothing is answered any more.
TEST(slow_control, late_rate_grants_open_no_new_connections) {
    slow_control control(milliseconds{120}, true);
    busy_instance instance(control.address());
    instance.learn_table();
    instance.admit_next();
    constexpr unsigned requests = 20;
    instance.run_until([&control] { return control.rate_requests() >= requests; });
    EXPECT_LE(control.connections(), requests / 4);
    EXPECT_GE(instance.granted, requests / 2);
}

// Guards against rate requests that are repeated at once without a leader, hundreds a second from each
// instance.
TEST(slow_control, rate_requests_are_paced_while_nobody_leads) {
    slow_control control(duration{0}, false);
    busy_instance instance(control.address());
    instance.learn_table();
    instance.admit_next();
    constexpr unsigned renewals = 20;
    const unsigned before = control.renewals();
    instance.run_until([&control, before] { return control.renewals() >= before + renewals; });
    EXPECT_LE(control.rate_requests(), renewals * 2);
}

// Guards against watches that are repeated at once at an instance that cannot answer them.
TEST(slow_control, failed_watches_are_paced) {
    slow_control control(duration{0}, true);
    control.refuse_watches();
    busy_instance instance(control.address());
    constexpr unsigned renewals = 20;
    instance.run_until([&control] { return control.renewals() >= renewals; });
    EXPECT_LE(control.watches(), renewals);
}

// Guards against instances that lose their leases although control answers well within a lease.
TEST(slow_control, late_answer_to_renewal_grants_lease) {
    slow_control control(milliseconds{300}, true);
    busy_instance instance(control.address());
    constexpr unsigned renewals = 10;
    instance.run_until([&] { return instance.cluster.has_lease() || control.renewals() >= renewals; });
    EXPECT_TRUE(instance.cluster.has_lease());
    EXPECT_LE(control.connections(), renewals / 4);
}

} // namespace
} // namespace larchpin
