// One HTTP/2 client for each of our processes that this one talks to, made when it is first asked for.
//
// Usage
//   clients.to("10.0.0.3:7432").post("/v1/renew", body, timeout, done);
#pragma once

#include "io/http2.hpp"

#include <map>
#include <memory>
#include <string>

namespace larchpin {

class http2_clients {
public:
    // `silence` as for http2_client.
    http2_clients(boost::asio::io_context& io, shared_keys keys, duration silence = default_peer_silence);

    // "ip:port"; what is no such address is given a client whose requests all fail.
    http2_client& to(const std::string& address);

private:
    boost::asio::io_context& io_;
    shared_keys keys_;
    duration silence_;
    std::map<std::string, std::unique_ptr<http2_client>> clients_; // by address
};

} // namespace larchpin
