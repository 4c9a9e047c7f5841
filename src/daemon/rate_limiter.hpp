// Admits operations within the rate limits of the workspaces: the I/O around core/rate_limits of one daemon.
//
// Usage
//   limits.admit(workspace, until, [](const rate_verdict& v) { ... });   // once, maybe at once
//   limits.end(workspace, may_have_run);                                 // after an admitted operation
//
// One request to control is open at a time and claims for all workspaces, so a daemon asks at most as fast as
// control answers. After a request without a usable answer it pauses.
#pragma once

#include "core/rate_limits.hpp"
#include "core/retry_backoff.hpp"
#include "daemon/agent.hpp"
#include "io/http2_clients.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace larchpin {

struct rate_verdict {
    result_code code = result_code::ok; // rate_limited, or no_lease where control did not answer in time
    duration retry_after{0};
};
using rate_callback = std::function<void(const rate_verdict&)>;

class rate_limiter {
public:
    rate_limiter(boost::asio::io_context& io, const settings& config, const shared_keys& keys,
                 agent& cluster);

    // Admits an operation of this workspace; it may wait for a grant until then.
    void admit(const workspace_id& workspace, time_point until, rate_callback done);
    // Records the end of an admitted operation.
    void end(const workspace_id& workspace, bool may_have_run);
    // Records that an admitted operation is sent once more, and may run twice.
    void charge_again(const workspace_id& workspace);

private:
    struct waiting_operation {
        time_point until{};
        rate_callback done;
    };
    struct limited_workspace {
        rate_holding holding;
        std::deque<waiting_operation> waiting;
    };

    void ask();
    void on_answer(const http_outcome& o, time_point sent, const std::vector<workspace_id>& asked);
    bool take_grants(const http_outcome& o, time_point sent, const std::vector<workspace_id>& asked);
    void ask_new_leader();
    void log_unanswered(const http_outcome& o, duration waited) const;
    void follow_leader(std::uint64_t term);
    void serve(limited_workspace& w);
    void refuse_waiting(limited_workspace& w);
    void refuse_overdue();
    [[nodiscard]] duration spread(duration earliest);
    void on_tick();

    boost::asio::io_context& io_;
    const settings& config_;
    agent& cluster_;
    boost::asio::steady_timer timer_;
    http2_clients clients_;
    std::mt19937_64 random_;
    std::map<workspace_id, limited_workspace> workspaces_; // those with a limit that were in use here
    std::uint64_t leader_term_ = 0;                        // of the leader that granted what is held
    std::uint64_t seq_ = 0;                                // of the newest request
    bool asking_ = false;
    bool ask_posted_ = false;
    time_point next_look_{};
    retry_backoff backoff_;
    time_point next_ask_{}; // no request before it
};

} // namespace larchpin
