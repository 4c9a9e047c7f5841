// One larchpin daemon: the entry, the cluster agent and, on some instances, a control node, with the peer
// listener that serves them all.
//
// A program chooses the protocols: the driver speaks to backend servers, the session maker to callers. Both
// are PostgreSQL's in larchpind.
#pragma once

#include "daemon/agent.hpp"
#include "daemon/control_node.hpp"
#include "daemon/entry.hpp"
#include "daemon/load_report.hpp"
#include "daemon/loans.hpp"
#include "daemon/pools.hpp"
#include "daemon/rate_limiter.hpp"
#include "io/http2_clients.hpp"
#include "io/metrics.hpp"
#include "io/settings.hpp"

#include <boost/asio/signal_set.hpp>

#include <memory>

namespace larchpin {

class daemon {
public:
    // Without a session maker the instance takes no callers.
    daemon(boost::asio::io_context& io, const settings& config, const shared_keys& keys,
           backend_driver driver, session_maker make_session);

    // Errors: address_in_use, data_folder_unusable, log_damaged (as result_code).
    boost::leaf::result<void> start();

    // Reads this file again at SIGHUP and whenever its content changes. Addresses of control and the log
    // level take effect; a change of anything else waits for the next start, and the log says so.
    void follow_settings(const std::string& file);

    // A planned stop; the io_context is stopped at its end.
    void stop();

    // Whether requests of callers can be expected to be served here.
    [[nodiscard]] bool is_ready() const;
    // The same, asked by the balancer: after two answers of "no" it sends nobody here any more, so sessions
    // whose requests nothing is left for end then.
    bool answer_balancer();
    // Control has been reached lately.
    [[nodiscard]] bool has_lease() const { return agent_.has_lease(); }
    [[nodiscard]] const cluster_state& cluster() const { return agent_.cluster(); }

    // A backend server has announced itself: see agent::take_announcement().
    void take_announcement(const server_announcement& a, duration patience,
                           const std::function<void(result_code)>& done) {
        agent_.take_announcement(a, patience, done);
    }

    // Has an edit decided by whoever leads. The outcome's code is ok once a majority holds the edit;
    // table_invalid and revision_conflict are final; with no_quorum nothing is known.
    void submit_edit(const edit_table& edit, duration patience,
                     const std::function<void(result_code, const std::string& detail)>& done);

    // The newest table's document and version, from whoever leads; no_quorum where nobody surely does.
    void fetch_document(const std::function<void(result_code, const std::string& document)>& done);

    [[nodiscard]] std::string metrics_text();

private:
    void serve(const http_request& request, const http_respond& respond);
    void serve_path(const http_request& request, const http_respond& respond);
    void serve_control(const http_request& request, const http_respond& respond);
    void forward_to_control(const http_request& request, const http_respond& respond,
                            const std::string& address, unsigned hops);
    void ask_control(const std::string& path, const std::string& body, const http_respond& respond);
    void refresh_gauges();
    void refresh_order_gauges();
    void await_reload_signal();
    void watch_settings();
    void reload_settings(bool by_signal);

    boost::asio::io_context& io_;
    settings config_;
    shared_keys keys_;
    backend_driver driver_;
    session_maker make_session_;
    metrics counts_;
    load_report load_;
    backend_pools pools_;
    agent agent_;
    server_loads loads_;
    connection_loans loans_;
    rate_limiter limits_;
    role_queries queries_; // for control
    std::unique_ptr<control_node> control_;
    std::unique_ptr<entry> entry_;
    std::unique_ptr<http2_server> server_;
    http2_clients clients_;
    boost::asio::signal_set signals_;
    boost::asio::signal_set reload_signal_;
    boost::asio::steady_timer settings_timer_;
    std::string settings_file_;
    std::string settings_text_; // as read last
    bool stopping_ = false;
    unsigned refused_looks_ = 0;  // of the balancer, in a row
    std::uint64_t next_edit_ = 1; // submitted by this daemon
};

} // namespace larchpin
