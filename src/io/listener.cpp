#include "io/listener.hpp"

#include "core/types.hpp"
#include "io/log.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace larchpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// The loop does its other work meanwhile, which closes connections.
constexpr duration pause_after_failure = std::chrono::milliseconds{50};
// Accepting one connection per turn of a busy loop, newcomers would wait for many turns, and their peers give
// up before they are served.
constexpr int max_accepted_per_turn = 64;

} // namespace

struct listener::implementation : std::enable_shared_from_this<listener::implementation> {
    implementation(asio::io_context& io, const tcp::endpoint& at, accepted_handler handler)
        : context(io), acceptor(io, at), pause(io), on_accepted(std::move(handler)) {
        acceptor.non_blocking(true);
    }

    void accept() {
        auto self = shared_from_this();
        acceptor.async_accept([self](boost::system::error_code error, tcp::socket socket) {
            int accepted = 0;
            while (!error && self->acceptor.is_open()) {
                self->on_accepted(std::move(socket));
                if (++accepted == max_accepted_per_turn || !self->acceptor.is_open()) {
                    break;
                }
                socket = tcp::socket(self->context);
                self->acceptor.accept(socket, error);
            }
            self->go_on(error == asio::error::would_block ? boost::system::error_code{} : error);
        });
    }

    void go_on(const boost::system::error_code& error) {
        if (!acceptor.is_open()) {
            return;
        }
        if (error) {
            log_event(severity::warning, "accept_failed", {{"why", error.message()}});
            accept_later();
            return;
        }
        accept();
    }

    void accept_later() {
        pause.expires_after(pause_after_failure);
        pause.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void close() {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        pause.cancel();
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer pause;
    accepted_handler on_accepted;
};

listener::listener(asio::io_context& io, const tcp::endpoint& at, accepted_handler on_accepted)
    : self_(std::make_shared<implementation>(io, at, std::move(on_accepted))) {
    self_->accept();
}

listener::~listener() {
    close();
}

void listener::close() {
    self_->close();
}

} // namespace larchpin
