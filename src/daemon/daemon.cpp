// See daemon.hpp.
//
// Index
//   [starting and stopping]  [requests of other processes]
#include "daemon/daemon.hpp"

#include "generated/larchpin.pb.h"
#include "io/addresses.hpp"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/log.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>

namespace larchpin {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

constexpr duration control_timeout = std::chrono::seconds{12};
constexpr duration settings_look_interval = std::chrono::seconds{1};
constexpr duration cancel_timeout = std::chrono::seconds{1};
constexpr unsigned max_hops = 4;
constexpr unsigned looks_to_leave_rotation = 2; // the platform's balancer; one more elsewhere costs a second
constexpr int status_not_found = 404;

std::string encode_reply(result_code code) {
    wire::operator_reply m;
    m.set_code(static_cast<std::uint32_t>(code));
    return m.SerializeAsString();
}

// Every reply of control to an operator starts with its code in field 1.
std::optional<wire::operator_reply> peek_reply(const std::string& body) {
    wire::operator_reply m;
    return m.ParseFromString(body) ? std::optional{m} : std::nullopt;
}

} // namespace

//-----------------------------------------------------------------------------
// [starting and stopping]
//-----------------------------------------------------------------------------

daemon::daemon(asio::io_context& io, const settings& config, const shared_keys& keys, backend_driver driver,
               session_maker make_session)
    : io_(io), config_(config), keys_(keys), driver_(std::move(driver)),
      make_session_(std::move(make_session)), pools_(io, driver_),
      agent_(io, config_, keys_, pools_, driver_), loads_(io, config_, keys_, agent_, pools_, driver_),
      loans_(io, config_, keys_, agent_, pools_, driver_, loads_), limits_(io, config_, keys_, agent_),
      queries_(io, driver_), clients_(io, keys), signals_(io, SIGTERM, SIGINT), reload_signal_(io, SIGHUP),
      settings_timer_(io) {}

leaf::result<void> daemon::start() {
    if (config_.control_member) {
        control_ = std::make_unique<control_node>(io_, config_, keys_, driver_);
        BOOST_LEAF_CHECK(control_->start());
    }
    try {
        server_ = std::make_unique<http2_server>(
            io_, parse_endpoint(config_.peer_listen).value_or(asio::ip::tcp::endpoint{}), keys_,
            [this](const http_request& request, const http_respond& respond) { serve(request, respond); });
        if (make_session_) {
            entry_ = std::make_unique<entry>(io_, config_, agent_, pools_, counts_, driver_, loans_, limits_,
                                             make_session_);
        }
    } catch (const boost::system::system_error&) {
        return leaf::new_error(result_code::address_in_use);
    }
    if (entry_) {
        entry_->on_foreign_cancel = [this](std::uint32_t process, std::uint32_t secret) {
            // The balancer gave the cancel request to another instance than the session's.
            const std::string body = std::to_string(process) + " " + std::to_string(secret);
            for (const auto& [id, record] : agent_.cluster().instances) {
                if (id != config_.id) {
                    clients_.to(record.address)
                        .post("/v1/cancel", body, cancel_timeout, [](const http_outcome&) {});
                }
            }
        };
    }
    agent_.takes_callers = entry_ != nullptr;
    agent_.borrow = [this](const loan_terms& terms) { return loans_.borrow(terms); };
    agent_.may_borrow_near = [this](const share_key& key) { return loans_.may_borrow_near(key); };
    agent_.load_of = [this](const server_id& id) { return loads_.find(id); };
    agent_.start();
    signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
        if (!error) {
            stop();
        }
    });
    log_event(severity::info, "daemon_started",
              {{"entry", config_.entry_listen},
               {"peer", config_.peer_listen},
               {"control", config_.control_member}});
    return {};
}

//-----------------------------------------------------------------------------
// [settings]
//-----------------------------------------------------------------------------

void daemon::follow_settings(const std::string& file) {
    settings_file_ = file;
    settings_text_ = read_settings_text(file).value_or("");
    await_reload_signal();
    watch_settings();
}

void daemon::await_reload_signal() {
    reload_signal_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
        if (!error) {
            reload_settings(true);
            await_reload_signal();
        }
    });
}

// The file may change without any signal.
void daemon::watch_settings() {
    settings_timer_.expires_after(settings_look_interval);
    settings_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        const auto text = read_settings_text(settings_file_);
        if (text && *text != settings_text_) {
            reload_settings(false);
        }
        watch_settings();
    });
}

void daemon::reload_settings(bool by_signal) {
    settings_text_ = read_settings_text(settings_file_).value_or("");
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(const settings next, parse_settings(settings_text_, settings_file_));
            const bool moved = next.control_addresses != config_.control_addresses;
            config_.control_addresses = next.control_addresses;
            config_.ignored_addresses = next.ignored_addresses;
            log_ignored_addresses(next);
            config_.log_level = next.log_level;
            set_log_level(next.log_level);
            if (control_) {
                control_->set_control_addresses(next.control_addresses);
            }
            agent_.update_control_addresses();
            log_event(severity::info, "settings_reloaded",
                      {{"by_signal", by_signal},
                       {"control_addresses_changed", moved},
                       {"others_wait_for_restart", !(next == config_)}});
            return {};
        },
        [&](const settings_problem& p) {
            log_failure("settings_not_reloaded", p.code, {{"why", to_string(p)}});
        },
        [&] { log_failure("settings_not_reloaded", result_code::settings_unreadable); });
}

void daemon::stop() {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    loans_.stop();
    log_event(severity::info, "daemon_stopping");
    const auto leave = [this](std::size_t) {
        agent_.stop([this] {
            log_event(severity::info, "daemon_stopped");
            io_.stop();
        });
    };
    if (entry_) {
        entry_->drain(leave);
    } else {
        leave(0);
    }
}

bool daemon::is_ready() const {
    return !stopping_ && agent_.is_in_touch() && agent_.has_confirmed_state() &&
           !agent_.cluster().current_table.services.empty();
}

bool daemon::answer_balancer() {
    const bool ready = is_ready();
    refused_looks_ = ready ? 0 : refused_looks_ + 1;
    if (refused_looks_ == looks_to_leave_rotation && entry_) {
        entry_->leave_if_without_lease();
    }
    return ready;
}

//-----------------------------------------------------------------------------
// [for operators' fronts]
//-----------------------------------------------------------------------------

// As if the request had come from another process: answered here, or passed on to whoever leads.
void daemon::ask_control(const std::string& path, const std::string& body, const http_respond& respond) {
    serve_control({.path = path, .body = body}, [this, path, body, respond](const http_response& response) {
        const auto reply = peek_reply(response.body);
        const bool other_leads =
            control_ && reply && reply->code() == static_cast<std::uint32_t>(result_code::not_leader);
        if (!other_leads) {
            respond(response);
            return;
        }
        const std::string hint = reply->detail();
        forward_to_control({.path = path, .body = body}, respond,
                           hint.empty() ? config_.control_addresses.front() : hint, 0);
    });
}

void daemon::submit_edit(const edit_table& edit, duration patience,
                         const std::function<void(result_code, const std::string&)>& done) {
    wire::edit_request request;
    edit_table numbered = edit;
    numbered.change_id =
        config_.id.value + "/" + std::to_string(now().count()) + "/" + std::to_string(next_edit_++);
    to_wire(numbered, *request.mutable_edit());
    request.set_wait_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(patience).count()));
    ask_control("/v1/edit", request.SerializeAsString(), [done](const http_response& response) {
        const auto reply = peek_reply(response.body);
        if (!reply) {
            done(result_code::no_quorum, "");
            return;
        }
        done(static_cast<result_code>(reply->code()), reply->detail());
    });
}

void daemon::fetch_document(const std::function<void(result_code, const std::string&)>& done) {
    ask_control("/v1/document", "", [done](const http_response& response) {
        wire::document_reply reply;
        if (!reply.ParseFromString(response.body)) {
            done(result_code::no_quorum, "");
            return;
        }
        done(static_cast<result_code>(reply.code()), reply.document());
    });
}

std::string daemon::metrics_text() {
    refresh_gauges();
    return counts_.to_text();
}

//-----------------------------------------------------------------------------
// [requests of other processes]
//-----------------------------------------------------------------------------

// Of each server that this instance orders the statements of.
void daemon::refresh_order_gauges() {
    const auto seconds = [](duration d) { return std::chrono::duration<double>(d).count(); };
    counts_.drop_gauges("ordered_");
    for (const order_report& r : pools_.order_reports()) {
        std::string of = "service=\"" + r.key.service.value;
        of += "\",server=\"" + r.key.server.value + "\"";
        counts_.set_gauge("ordered_permits{" + of + "}", r.permits);
        counts_.set_gauge("ordered_running{" + of + "}", r.running);
        for (std::size_t i = 0; i < r.waiting.size(); ++i) {
            std::string of_class = of + ",class=\"";
            of_class += to_string(static_cast<request_class>(i));
            of_class += "\"";
            counts_.set_gauge("ordered_waiting{" + of_class + "}", static_cast<double>(r.waiting.at(i)));
        }
        counts_.set_gauge("ordered_waited_seconds{" + of + "}", seconds(r.use.waited));
        counts_.set_gauge("ordered_idle_while_waiting_seconds{" + of + "}",
                          seconds(r.use.idle_while_waiting));
    }
}

void daemon::refresh_gauges() {
    counts_.set_gauge("sessions", entry_ ? static_cast<double>(entry_->session_count()) : 0);
    counts_.set_gauge("lease_held", agent_.has_lease() ? 1 : 0);
    counts_.set_gauge("revision", static_cast<double>(agent_.cluster().revision));
    counts_.set_gauge("connections_opened", static_cast<double>(pools_.counters().opened));
    counts_.set_gauge("connections_open_failed", static_cast<double>(pools_.counters().open_failed));
    counts_.set_gauge("connections_borrowed", static_cast<double>(loans_.borrowed_count()));
    counts_.set_gauge("connections_lent", static_cast<double>(loans_.lent_count()));
    counts_.set_gauge("server_loads_known", static_cast<double>(loads_.known_count()));
    counts_.set_gauge("server_loads_oldest_ms",
                      std::chrono::duration<double, std::milli>(loads_.oldest()).count());
    counts_.set_gauge("queue_refusals", static_cast<double>(pools_.counters().refused));
    const auto& groups = agent_.cluster().groups;
    counts_.set_gauge("groups_awaiting_log",
                      static_cast<double>(std::count_if(groups.begin(), groups.end(),
                                                        [](const auto& g) { return g.second.awaits_log; })));
    counts_.drop_gauges("control_tolerated_losses");
    if (const auto tolerated = control_ ? control_->tolerated_losses() : std::nullopt) {
        counts_.set_gauge("control_tolerated_losses", static_cast<double>(*tolerated));
    }
    refresh_order_gauges();
}

void daemon::serve(const http_request& request, const http_respond& respond) {
    serve_path(request, [this, path = request.path, respond](const http_response& response) {
        load_.note_answered(path, response.body.size());
        respond(response);
    });
    load_.note_asked(request.path, request.body.size());
    load_.tell(server_->counts(), now());
}

void daemon::serve_path(const http_request& request, const http_respond& respond) {
    const auto reply = [&respond](const std::string& body) { respond({.status = 200, .body = body}); };
    if (request.path == "/v1/announce") {
        reply(agent_.answer_announcement(request.body));
    } else if (request.path == "/v1/marks") {
        reply(agent_.answer_marks(request.body));
    } else if (request.path == "/v1/positions") {
        agent_.answer_positions(request.body, respond);
    } else if (request.path == "/v1/role") {
        queries_.answer(request.body, respond);
    } else if (request.path == "/v1/loan") {
        loans_.answer(request.body, respond);
    } else if (request.path == "/v1/loads") {
        reply(loads_.answer(request.body));
    } else if (request.path == "/v1/cancel") {
        const auto space = request.body.find(' ');
        std::uint32_t process = 0;
        std::uint32_t secret = 0;
        const char* end = request.body.data() + request.body.size();
        if (space != std::string::npos && entry_) {
            std::from_chars(request.body.data(), end, process);
            std::from_chars(request.body.data() + space + 1, end, secret);
            entry_->cancel(process, secret);
        }
        reply("");
    } else if (request.path == "/v1/metrics") {
        reply(metrics_text());
    } else if (request.path == "/v1/drain") {
        reply(encode_reply(result_code::ok));
        asio::post(io_, [this] { stop(); });
    } else {
        serve_control(request, respond);
    }
}

void daemon::serve_control(const http_request& request, const http_respond& respond) {
    const auto reply = [&respond](const std::string& body) { respond({.status = 200, .body = body}); };
    const bool for_operators = request.path == "/v1/edit" || request.path == "/v1/status" ||
                               request.path == "/v1/switchover" || request.path == "/v1/document";
    if (!control_) {
        if (for_operators) {
            forward_to_control(request, respond, config_.control_addresses.front(), 0);
        } else {
            respond({.status = status_not_found, .body = {}});
        }
        return;
    }
    if (request.path == "/v1/raft") {
        control_->on_raft_message(request.body);
        reply("");
    } else if (request.path == "/v1/renew") {
        reply(control_->answer_renewal(request.body));
    } else if (request.path == "/v1/rates") {
        reply(control_->answer_rates(request.body));
    } else if (request.path == "/v1/watch") {
        control_->answer_watch(request.body, respond);
    } else if (request.path == "/v1/join") {
        reply(control_->answer_join(request.body));
    } else if (request.path == "/v1/bootstrap") {
        reply(control_->answer_bootstrap());
    } else if (request.path == "/v1/edit") {
        control_->answer_edit(request.body, respond);
    } else if (request.path == "/v1/status") {
        reply(control_->answer_status());
    } else if (request.path == "/v1/document") {
        reply(control_->answer_document());
    } else if (request.path == "/v1/switchover") {
        reply(control_->answer_switchover(request.body));
    } else {
        respond({.status = status_not_found, .body = {}});
    }
}

// An operator may ask any daemon; this one passes the request on, following hints, to whoever leads.
void daemon::forward_to_control(const http_request& request, const http_respond& respond,
                                const std::string& address, unsigned hops) {
    clients_.to(address).post(
        request.path, request.body, control_timeout, [this, request, respond, hops](const http_outcome& o) {
            const auto reply = o.answered ? peek_reply(o.body) : std::nullopt;
            const bool other_leads =
                !reply || reply->code() == static_cast<std::uint32_t>(result_code::not_leader);
            if (!other_leads || hops >= max_hops) {
                respond({.status = 200, .body = o.answered ? o.body : encode_reply(result_code::no_quorum)});
                return;
            }
            const std::size_t next = (hops + 1) % config_.control_addresses.size();
            const bool has_hint = reply && !reply->detail().empty();
            forward_to_control(request, respond, has_hint ? reply->detail() : config_.control_addresses[next],
                               hops + 1);
        });
}

} // namespace larchpin
