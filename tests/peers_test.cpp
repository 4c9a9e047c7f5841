// Connections between instances: late peers and lost ones, busy servers, and what a peer that is gone leaves
// behind.
//
// Index
//   [liveness]  [clients]  [servers]
#include "core/peer_liveness.hpp"
#include "few_descriptors.hpp"
#include "io/http2.hpp"
#include "io/listener.hpp"
#include "ports.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace larchpin {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

const shared_keys& test_keys() {
    static const shared_keys keys{.keys = {std::string(40, 'k')}};
    return keys;
}

tcp::endpoint free_endpoint() {
    return {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(testing::free_port())};
}

//-----------------------------------------------------------------------------
// [liveness]
//-----------------------------------------------------------------------------

// Guards against a busy peer that is taken for one that is gone, and against connections to it that are
// replaced as often as it is late.
TEST(peer_liveness, peer_is_gone_only_after_silence_that_doubles) {
    peer_liveness l{.min_silence = milliseconds{400}};
    time_point at{std::chrono::seconds{10}};
    const auto time_until_gone = [&l, &at] {
        const time_point sent = at;
        record_new_connection(l);
        record_late_request(l, sent, {});
        EXPECT_EQ(check_liveness(l, {}, at), liveness_verdict::ping);
        while (check_liveness(l, {}, at) != liveness_verdict::gone) {
            at += milliseconds{5};
        }
        record_gone(l);
        return at - sent;
    };
    for (const int silence_ms : {400, 800, 1600, 3200, 3200}) {
        EXPECT_EQ(time_until_gone(), milliseconds{silence_ms});
    }
    record_timely_answer(l);
    EXPECT_EQ(time_until_gone(), milliseconds{400});
    record_new_connection(l);
    record_late_request(l, at, {});
    EXPECT_EQ(check_liveness(l, {}, at), liveness_verdict::ping);
    EXPECT_EQ(check_liveness(l, at + milliseconds{1}, at + std::chrono::hours{1}), liveness_verdict::alive);
    EXPECT_FALSE(is_in_doubt(l)) << "the ping was answered";
}

//-----------------------------------------------------------------------------
// [clients]
//-----------------------------------------------------------------------------

// A peer that lost its power answers nothing and resets nothing, and its successor knows no old connection.
TEST(peers, a_connection_on_which_nothing_comes_back_is_replaced) {
    boost::asio::io_context io(1);
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::vector<tcp::socket> accepted;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const boost::system::error_code& error, tcp::socket socket) {
            if (!error) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    http2_client client(io, acceptor.local_endpoint(), test_keys(), milliseconds{30});
    int unanswered = 0;
    const auto ask = [&] {
        client.post("/v1/x", "", milliseconds{30},
                    [&](const http_outcome& o) { unanswered += o.answered ? 0 : 1; });
        const int before = unanswered;
        while (unanswered == before) {
            io.run_one();
        }
    };
    ask(); // late, and the peer is pinged
    ask(); // the ping has no answer either
    ask();
    io.poll();
    EXPECT_EQ(accepted.size(), 2U);
}

// Guards against a new connection for every late answer, which costs a busy peer more than the answer.
TEST(peers, late_answers_keep_their_connection) {
    const tcp::endpoint at = free_endpoint();
    boost::asio::io_context server_io(1);
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> handled{0};
    std::optional<http2_server> server;
    server.emplace(server_io, at, test_keys(), [&](const http_request&, const http_respond& respond) {
        std::this_thread::sleep_for(milliseconds{40}); // its whole loop is late
        respond({.status = 200, .body = {}});
        accepted = server->counts().accepted;
        ++handled;
    });
    std::thread serving([&server_io] { server_io.run(); });
    boost::asio::io_context io(1);
    http2_client client(io, at, test_keys());
    const std::function<void()> ask = [&] {
        client.post("/v1/x", "", milliseconds{10}, [&](const http_outcome&) { ask(); });
    };
    ask();
    constexpr std::uint64_t requests = 20;
    while (handled < requests) {
        io.run_one();
    }
    server_io.stop();
    serving.join();
    EXPECT_LE(accepted, requests / 4);
}

// Guards against callbacks into an owner whose members are already destroyed: a crash when a process ends.
TEST(peers, destroyed_client_calls_nobody_back) {
    boost::asio::io_context io(1);
    const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    int called = 0;
    {
        http2_client client(io, acceptor.local_endpoint(), test_keys());
        const auto ask = [&] {
            client.post("/v1/x", "", std::chrono::hours{1}, [&called](const http_outcome&) { ++called; });
        };
        ask();
        io.run_one(); // connected, and the request is sent
        ask();
    }
    io.poll();
    EXPECT_EQ(called, 0);
}

//-----------------------------------------------------------------------------
// [servers]
//-----------------------------------------------------------------------------

// Guards against a busy server that works on requests whose senders have given up, and has no time left for
// those that are waited for.
TEST(peers, abandoned_requests_are_not_worked_on) {
    const tcp::endpoint at = free_endpoint();
    boost::asio::io_context server_io(1);
    unsigned handled = 0;
    const http2_server server(server_io, at, test_keys(),
                              [&handled](const http_request&, const http_respond& respond) {
                                  ++handled;
                                  respond({.status = 200, .body = {}});
                              });
    boost::asio::io_context io(1);
    http2_client client(io, at, test_keys());
    int ended = 0;
    const auto ask = [&](duration timeout) {
        client.post("/v1/x", "", timeout, [&ended](const http_outcome&) { ++ended; });
    };
    const auto run_client_until = [&](int count) {
        while (ended < count) {
            io.run_one();
        }
    };
    // The server's loop stands still: the client abandons these before they are read.
    constexpr int abandoned = 5;
    for (int i = 0; i < abandoned; ++i) {
        ask(milliseconds{10});
        run_client_until(i + 1);
    }
    ask(std::chrono::minutes{1});
    while (ended <= abandoned) {
        server_io.poll();
        io.poll();
    }
    EXPECT_EQ(handled, 1U);
}

// Guards against connections that wait for many turns of a busy loop before they are accepted, longer than
// their peers wait for an answer.
TEST(peers, all_waiting_connections_are_accepted_in_one_turn) {
    boost::asio::io_context io(1);
    const tcp::endpoint at = free_endpoint();
    constexpr std::size_t callers = 40;
    std::size_t accepted = 0;
    const listener listening(io, at, [&accepted](const tcp::socket&) { ++accepted; });
    boost::asio::io_context caller_io(1);
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < callers; ++i) {
        sockets.emplace_back(caller_io).connect(at);
    }
    io.run_one();
    EXPECT_EQ(accepted, callers);
}

// Guards against connections of forgotten peers that keep new ones out.
TEST(peers, new_connection_replaces_longest_silent_one_at_the_bound) {
    boost::asio::io_context io(1);
    const tcp::endpoint at = free_endpoint();
    constexpr std::size_t bound = 3;
    const http2_server server(
        io, at, test_keys(),
        [](const http_request&, const http_respond& respond) { respond({.status = 200, .body = {}}); },
        bound);
    std::vector<tcp::socket> silent;
    for (std::size_t i = 0; i < bound; ++i) {
        silent.emplace_back(io).connect(at);
        while (server.counts().accepted <= i) {
            io.run_one();
        }
    }
    http2_client client(io, at, test_keys());
    bool answered = false;
    client.post("/v1/x", "", std::chrono::minutes{1},
                [&answered](const http_outcome& o) { answered = o.answered; });
    while (!answered) {
        io.run_one();
    }
    EXPECT_EQ(server.counts().open, bound);
    EXPECT_EQ(server.counts().accepted, bound + 1);
}

// Guards against descriptors that are held forever for peers that lost their power.
TEST(peers, accepted_connections_are_probed_while_idle) {
    boost::asio::io_context io(1);
    const tcp::endpoint at = free_endpoint();
    const http2_server server(io, at, test_keys(), [](const http_request&, const http_respond&) {});
    tcp::socket caller(io);
    caller.connect(at);
    while (server.counts().open == 0) {
        io.run_one();
    }
    int probed = 0;
    constexpr int max_descriptor = 1024;
    for (int fd = 0; fd < max_descriptor; ++fd) {
        tcp::endpoint peer;
        auto length = static_cast<socklen_t>(peer.capacity());
        const bool is_accepted =
            ::getpeername(fd, peer.data(), &length) == 0 && peer.port() == caller.local_endpoint().port();
        int value = 0;
        length = sizeof value;
        if (is_accepted && ::getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &value, &length) == 0) {
            probed += value;
        }
    }
    EXPECT_EQ(probed, 1);
}

// An instance that was short of descriptors tried to accept again and again, and did nothing else, so that no
// connection was closed either.
TEST(peers, a_server_short_of_descriptors_goes_on_with_its_other_work_and_accepts_later) {
    boost::asio::io_context io(1);
    const tcp::endpoint at = free_endpoint();
    const http2_server server(io, at, test_keys(), [](const http_request&, const http_respond& respond) {
        respond({.status = 200, .body = {}});
    });
    tcp::socket caller(io);
    caller.connect(at);
    constexpr int many = 1000;
    int handled = 0;
    {
        const testing::few_descriptors none_more(0);
        while (handled < many && io.poll_one() != 0) {
            ++handled;
        }
    }
    EXPECT_LT(handled, many);
    bool answered = false;
    http2_client client(io, at, test_keys());
    client.post("/v1/x", "", std::chrono::minutes{1}, [&answered](const http_outcome&) { answered = true; });
    while (!answered) {
        io.run_one();
    }
}

} // namespace
} // namespace larchpin
