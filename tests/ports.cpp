#include "ports.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <random>
#include <set>

namespace larchpin::testing {
namespace {

constexpr unsigned lowest_port = 10000;          // below it stand well-known services
constexpr unsigned linux_ephemeral_port = 32768; // Linux's default, where the file cannot be read

bool is_free(unsigned port) {
    const int s = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto* raw = reinterpret_cast<sockaddr*>(&address); // NOLINT(*-reinterpret-cast): the socket API
    const bool bound = ::bind(s, raw, sizeof(address)) == 0;
    ::close(s);
    return bound;
}

} // namespace

unsigned first_ephemeral_port() {
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    unsigned first = 0;
    range >> first;
    return first > lowest_port ? first : linux_ephemeral_port;
}

unsigned free_port() {
    // Random, so that two test programs at the same time rarely meet; the tests' verdicts do not depend on
    // it.
    static std::mt19937 random{std::random_device{}()};
    static std::set<unsigned> given;
    std::uniform_int_distribution<unsigned> ports(lowest_port, first_ephemeral_port() - 1);
    for (unsigned tries = 0; tries < first_ephemeral_port(); ++tries) {
        const unsigned port = ports(random);
        if (!given.contains(port) && is_free(port)) {
            given.insert(port);
            return port;
        }
    }
    return 0;
}

} // namespace larchpin::testing
