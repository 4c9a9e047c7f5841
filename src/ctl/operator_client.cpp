#include "ctl/operator_client.hpp"

#include "core/result_codes.hpp"
#include "generated/larchpin.pb.h"
#include "io/addresses.hpp"

#include <boost/asio/io_context.hpp>

#include <thread>

namespace larchpin {

namespace {

constexpr unsigned rounds = 20; // an election may be going on
constexpr std::chrono::milliseconds pause_between_rounds{100};
constexpr int status_ok = 200;

} // namespace

std::optional<http_outcome> ask_one(const operator_client& c, const std::string& address,
                                    const std::string& path, const std::string& body) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return std::nullopt;
    }
    boost::asio::io_context io(1);
    http2_client client(io, *endpoint, c.keys);
    std::optional<http_outcome> answer;
    client.post(path, body, c.timeout, [&](const http_outcome& o) {
        answer = o;
        io.stop();
    });
    io.run();
    const bool good = answer && answer->answered && answer->status == status_ok;
    return good ? answer : std::nullopt;
}

std::optional<std::string> ask_leader(const operator_client& c, const std::string& path,
                                      const std::string& body) {
    std::vector<std::string> to_try = c.addresses;
    for (unsigned round = 0; round < rounds; ++round) {
        std::vector<std::string> hints;
        for (const std::string& address : to_try) {
            const auto answer = ask_one(c, address, path, body);
            if (!answer) {
                continue;
            }
            wire::operator_reply reply;
            reply.ParseFromString(answer->body);
            if (reply.code() != static_cast<std::uint32_t>(result_code::not_leader)) {
                return answer->body;
            }
            if (!reply.detail().empty()) {
                hints.push_back(reply.detail());
            }
        }
        to_try = hints.empty() ? c.addresses : hints;
        if (hints.empty()) {
            std::this_thread::sleep_for(pause_between_rounds);
        }
    }
    return std::nullopt;
}

} // namespace larchpin
