// One larchpin daemon: the entry, the cluster agent and, on some instances, a control node, with the peer
// listener that serves them all.
#pragma once

#include "daemon/agent.hpp"
#include "daemon/control_node.hpp"
#include "daemon/entry.hpp"
#include "daemon/pools.hpp"
#include "io/http2.hpp"
#include "io/metrics.hpp"
#include "io/settings.hpp"

#include <boost/asio/signal_set.hpp>

#include <memory>

namespace larchpin {

class daemon {
public:
    daemon(boost::asio::io_context& io, const settings& config, const shared_keys& keys);

    // Errors: address_in_use, data_folder_unusable, log_damaged (as result_code).
    boost::leaf::result<void> start();

private:
    void serve(const http_request& request, const http_respond& respond);
    void serve_control(const http_request& request, const http_respond& respond);
    void forward_to_control(const http_request& request, const http_respond& respond,
                            const std::string& address, unsigned hops);
    void refresh_gauges();
    void stop();

    boost::asio::io_context& io_;
    settings config_;
    shared_keys keys_;
    metrics counts_;
    backend_pools pools_;
    agent agent_;
    std::unique_ptr<control_node> control_;
    std::unique_ptr<entry> entry_;
    std::unique_ptr<http2_server> server_;
    std::map<std::string, std::unique_ptr<http2_client>> clients_;
    boost::asio::signal_set signals_;
    bool stopping_ = false;
};

} // namespace larchpin
