// See fault_links.hpp. Everything but add() and harm() runs on the relays' own thread.
#include "fault_links.hpp"

#include "ports.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <vector>

namespace larchpin::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds look_interval{5}; // at what is held up
constexpr std::size_t piece_bytes = 16384;

} // namespace

//-----------------------------------------------------------------------------
// [one direction of a connection]
//-----------------------------------------------------------------------------

namespace {

struct relayed_connection;

struct direction {
    direction(tcp::socket& f, tcp::socket& t, asio::io_context& io) : from(f), to(t), timer(io) {}
    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    std::array<char, piece_bytes> piece{};
    std::size_t length = 0;
};

// What both directions need to know, asked anew for each piece.
struct link_rules {
    link_fault fault;
    std::vector<std::weak_ptr<relayed_connection>> open;
};

struct relayed_connection : std::enable_shared_from_this<relayed_connection> {
    relayed_connection(asio::io_context& io, tcp::socket caller, std::shared_ptr<link_rules> r)
        : near(std::move(caller)), far(io), rules(std::move(r)), towards(near, far, io), back(far, near, io) {
    }

    tcp::socket near;
    tcp::socket far;
    std::shared_ptr<link_rules> rules;
    bool silenced = false;
    direction towards;
    direction back;

    void start(unsigned target) {
        far.async_connect({asio::ip::address_v4::loopback(), static_cast<asio::ip::port_type>(target)},
                          [self = shared_from_this()](const error& e) {
                              if (e) {
                                  self->end(true);
                                  return;
                              }
                              self->read(self->towards);
                              self->read(self->back);
                          });
    }

    [[nodiscard]] bool is_held(const direction& d) const {
        return silenced || (&d == &towards ? rules->fault.holds_towards : rules->fault.holds_back);
    }

    void read(direction& d) {
        d.from.async_read_some(asio::buffer(d.piece),
                               [self = shared_from_this(), &d](const error& e, std::size_t length) {
                                   d.length = e ? 0 : length;
                                   self->wait(d, self->rules->fault.delay);
                               });
    }

    void wait(direction& d, std::chrono::milliseconds time) {
        d.timer.expires_after(time);
        d.timer.async_wait([self = shared_from_this(), &d](const error& e) {
            if (e) {
                return;
            }
            if (self->is_held(d)) {
                self->wait(d, look_interval);
            } else {
                self->pass(d);
            }
        });
    }

    void pass(direction& d) {
        if (d.length == 0) {
            end(false); // the end of a connection is held up like its bytes
            return;
        }
        asio::async_write(d.to, asio::buffer(d.piece, d.length),
                          [self = shared_from_this(), &d](const error& e, std::size_t) {
                              if (e) {
                                  self->end(false);
                              } else {
                                  self->read(d);
                              }
                          });
    }

    void end(bool with_reset) {
        error ignored;
        for (tcp::socket* s : {&near, &far}) {
            if (with_reset && s->is_open()) {
                s->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            s->close(ignored);
        }
        towards.timer.cancel();
        back.timer.cancel();
    }
};

} // namespace

//-----------------------------------------------------------------------------
// [links]
//-----------------------------------------------------------------------------

struct fault_links::link {
    link(asio::io_context& context, unsigned port, unsigned target_port)
        : io(context), acceptor(context), target(target_port) {
        const tcp::endpoint at(asio::ip::address_v4::loopback(), static_cast<asio::ip::port_type>(port));
        acceptor.open(at.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(at);
        acceptor.listen();
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    unsigned target;
    std::shared_ptr<link_rules> rules = std::make_shared<link_rules>();

    void accept() {
        acceptor.async_accept([this](const error& e, tcp::socket socket) {
            if (e) {
                return;
            }
            error ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<relayed_connection>(io, std::move(socket), rules);
            std::erase_if(rules->open, [](const auto& c) { return c.expired(); });
            rules->open.push_back(connection);
            connection->start(target);
            accept();
        });
    }

    void harm(const link_fault& fault) const {
        rules->fault = fault;
        for (const auto& weak : rules->open) {
            const auto connection = weak.lock();
            if (connection && fault.resets_open) {
                connection->end(true);
            } else if (connection && fault.silences_open) {
                connection->silenced = true;
            }
        }
    }
};

fault_links::fault_links()
    : thread_([this] {
          const auto work = asio::make_work_guard(io_);
          io_.run();
      }) {}

fault_links::~fault_links() {
    io_.stop();
    thread_.join();
}

unsigned fault_links::add(unsigned target) {
    const unsigned port = free_port();
    const auto added = std::make_shared<link>(io_, port, target);
    links_[port] = added;
    asio::post(io_, [added] { added->accept(); });
    return port;
}

void fault_links::harm(unsigned port, const link_fault& fault) {
    asio::post(io_, [harmed = links_.at(port), fault] { harmed->harm(fault); });
}

} // namespace larchpin::testing
