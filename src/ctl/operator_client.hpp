// Asks daemons on an operator's behalf: any of the addresses given, following hints to the one that leads.
#pragma once

#include "io/http2.hpp"

#include <optional>
#include <string>
#include <vector>

namespace larchpin {

struct operator_client {
    std::vector<std::string> addresses;
    shared_keys keys;
    duration timeout = std::chrono::seconds{15};
};

// One request to one address; blocks. Nothing where it was not answered.
std::optional<http_outcome> ask_one(const operator_client& c, const std::string& address,
                                    const std::string& path, const std::string& body);

// Tries all addresses, and the hints they give, until one answers for the leader. Nothing where none does.
std::optional<std::string> ask_leader(const operator_client& c, const std::string& path,
                                      const std::string& body);

} // namespace larchpin
