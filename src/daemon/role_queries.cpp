#include "daemon/role_queries.hpp"

#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/http2.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr duration ask_again_after = std::chrono::milliseconds{10};
// Of other instances: a few groups may fail over at once, and each query takes one of a server's connections.
constexpr std::size_t max_open_queries = 64;
constexpr duration max_wait = std::chrono::seconds{5};
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

wire::role_reply to_reply(const std::optional<probe_result>& result) {
    wire::role_reply reply;
    reply.set_answered(result.has_value());
    if (result) {
        reply.set_is_primary(result->is_primary);
        reply.set_timeline(result->timeline);
        reply.set_position(result->position);
    }
    return reply;
}

} // namespace

role_queries::role_queries(asio::io_context& io, const backend_driver& driver) : io_(io), driver_(driver) {}

role_queries::query_number role_queries::ask(const role_query& query, done_callback done) {
    const query_number number = next_number_++;
    const auto timer = std::make_shared<asio::steady_timer>(io_, query.deadline - now());
    open_[number] = {.query = query, .done = std::move(done), .connection = nullptr, .timer = timer};
    timer->async_wait([this, number, timer](const boost::system::error_code& error) {
        if (!error) {
            finish(number, std::nullopt);
        }
    });
    connect(number);
    return number;
}

void role_queries::cancel(query_number number) {
    take(number);
}

void role_queries::answer(const std::string& body, const std::function<void(const http_response&)>& respond) {
    wire::role_request request;
    if (!request.ParseFromString(body)) {
        respond({.status = status_bad_request, .body = {}});
        return;
    }
    const auto reply = [respond](const std::optional<probe_result>& result) {
        respond({.status = status_ok, .body = to_reply(result).SerializeAsString()});
    };
    if (open_.size() >= max_open_queries) {
        reply(std::nullopt);
        return;
    }
    const duration wait =
        std::min<duration>(max_wait, std::chrono::microseconds{static_cast<std::int64_t>(request.wait_us())});
    const role_query query{.server = from_wire(request.server()),
                           .wait_for_lead = request.wait_for_lead(),
                           .deadline = now() + wait};
    ask(query, [reply, server = query.server.id](const std::optional<probe_result>& result) {
        log_event(severity::info, "server_asked_for_control",
                  {{"server", server.value},
                   {"answered", result.has_value()},
                   {"position", result ? result->position : 0}});
        reply(result);
    });
}

void role_queries::connect(query_number number) {
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    const auto connection = driver_.make_probe_connection(found->second.query.server);
    found->second.connection = connection;
    connection->connect([this, number](connect_result result) {
        if (result == connect_result::connected) {
            run(number);
        } else if (result == connect_result::turned_away) {
            ask_again(number); // there may be room in a moment
        } else {
            finish(number, std::nullopt);
        }
    });
}

void role_queries::run(query_number number) {
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    backend_sink sink;
    sink.keep_first_row = true;
    sink.on_done = [this, number](const backend_outcome& outcome) { take_outcome(number, outcome); };
    const auto connection = found->second.connection;
    connection->run(driver_.role_probe, sink);
}

void role_queries::take_outcome(query_number number, const backend_outcome& outcome) {
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return;
    }
    const auto probed = driver_.read_role(outcome);
    const bool busy = outcome.answered && outcome.refusal == server_refusal::busy;
    const bool not_yet = found->second.query.wait_for_lead && probed && !probed->is_primary;
    if (busy || not_yet) {
        ask_again(number);
    } else {
        finish(number, probed);
    }
}

void role_queries::ask_again(query_number number) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, ask_again_after);
    timer->async_wait([this, number, timer](const boost::system::error_code&) {
        const auto found = open_.find(number);
        if (found != open_.end() && found->second.connection->is_open()) {
            run(number);
        } else {
            connect(number);
        }
    });
}

void role_queries::finish(query_number number, const std::optional<probe_result>& result) {
    const auto ended = take(number);
    if (ended) {
        ended->done(result);
    }
}

// A connection may be closed by one of its own callbacks only later.
std::optional<role_queries::open_query> role_queries::take(query_number number) {
    const auto found = open_.find(number);
    if (found == open_.end()) {
        return std::nullopt;
    }
    open_query taken = std::move(found->second);
    open_.erase(found);
    taken.timer->cancel();
    if (taken.connection) {
        asio::post(io_, [connection = taken.connection] { connection->close(); });
    }
    return taken;
}

} // namespace larchpin
