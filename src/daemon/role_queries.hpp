// Asks backend servers for their role, timeline and position, each over a connection of its own.
//
// A server that turns the connection away or is busy is asked again until the query's deadline.
#pragma once

#include "core/cluster_state.hpp"
#include "io/backend_driver.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace larchpin {

struct http_response;

struct role_query {
    server_record server;
    bool wait_for_lead = false; // asked until it leads, or until the deadline
    time_point deadline{};
};

class role_queries {
public:
    using query_number = std::uint64_t;
    // Called once; nothing where the server cannot be reached, or the deadline has passed.
    using done_callback = std::function<void(const std::optional<probe_result>&)>;

    role_queries(boost::asio::io_context& io, const backend_driver& driver);

    query_number ask(const role_query& query, done_callback done);
    void cancel(query_number number); // its callback is not called any more

    // Answers another instance that cannot reach the server. `body`: a wire::role_request.
    void answer(const std::string& body, const std::function<void(const http_response&)>& respond);

private:
    struct open_query {
        role_query query;
        done_callback done;
        std::shared_ptr<backend_connection> connection;
        std::shared_ptr<boost::asio::steady_timer> timer; // of the deadline
    };

    void connect(query_number number);
    void run(query_number number);
    void take_outcome(query_number number, const backend_outcome& outcome);
    void ask_again(query_number number);
    void finish(query_number number, const std::optional<probe_result>& result);
    std::optional<open_query> take(query_number number);

    boost::asio::io_context& io_;
    const backend_driver& driver_;
    std::map<query_number, open_query> open_;
    query_number next_number_ = 1;
};

} // namespace larchpin
