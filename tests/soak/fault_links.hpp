// Loopback relays that stand before listeners and harm what passes: connections are held up in one direction
// or both, silenced for good while new ones work, delayed, or reset. Bytes that are held up arrive late and
// whole, as after a cut network; none is lost within a connection that goes on.
//
// Usage
//   fault_links links;
//   unsigned port = links.add(5432);             // relays to 127.0.0.1:5432
//   links.harm(port, {.holds_back = true});      // answers come no more
//   links.harm(port, {});                        // and now they do
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <thread>

namespace larchpin::testing {

struct link_fault {
    bool holds_towards = false;         // what goes to the listener
    bool holds_back = false;            // what comes from it
    bool resets_open = false;           // ends what is open now, at once
    bool silences_open = false;         // what is open now passes nothing more, for good
    std::chrono::milliseconds delay{0}; // each piece, in each direction
    auto operator<=>(const link_fault&) const = default;
};

class fault_links {
public:
    fault_links();
    ~fault_links();
    fault_links(const fault_links&) = delete;
    fault_links& operator=(const fault_links&) = delete;
    fault_links(fault_links&&) = delete;
    fault_links& operator=(fault_links&&) = delete;

    // The port to connect to in place of `target`; throws where none can be bound.
    unsigned add(unsigned target);
    // From now on, in place of what was before.
    void harm(unsigned port, const link_fault& fault);

private:
    struct link;
    boost::asio::io_context io_{1};
    std::map<unsigned, std::shared_ptr<link>> links_; // by port
    std::jthread thread_;
};

} // namespace larchpin::testing
