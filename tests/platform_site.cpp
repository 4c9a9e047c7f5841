// Index
//   [one server connection]  [servers]  [callers]  [daemons]  [site]
#include "platform_site.hpp"

#include "ports.hpp"

#include "caller_session.hpp"
#include "server_connection.hpp"
#include "web_api.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>
#include <thread>

namespace larchpin::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr const char* loopback = "127.0.0.1";
constexpr std::size_t buffer_bytes = 4096;

tcp::endpoint local(unsigned port) {
    return {asio::ip::make_address(loopback), static_cast<unsigned short>(port)};
}

std::string address_of(unsigned port) {
    return std::string(loopback) + ":" + std::to_string(port);
}

} // namespace

//-----------------------------------------------------------------------------
// [one server connection]
//-----------------------------------------------------------------------------

struct platform_site::server_session : std::enable_shared_from_this<platform_site::server_session> {
    server_session(platform_site& owner, fake_server& on, std::shared_ptr<tcp::socket> s)
        : where(owner), server(on), socket(std::move(s)), number(owner.next_connection_++) {}

    void read() {
        socket->async_read_some(asio::buffer(buffer),
                                [self = shared_from_this()](const auto& error, auto length) {
                                    if (error) {
                                        return;
                                    }
                                    self->in.bytes.append(self->buffer.data(), length);
                                    while (const auto line = platform::next_line(self->in)) {
                                        self->take(*line);
                                    }
                                    self->read();
                                });
    }

    void send(const std::string& bytes) {
        boost::system::error_code ignored;
        asio::write(*socket, asio::buffer(bytes), ignored);
    }

    std::string ready() const {
        const std::string position =
            server.tells_position ? std::to_string(server.commit_term) + "." + std::to_string(server.applied)
                                  : "-";
        return "READY " + std::string(in_transaction ? "T" : "I") + " " + position + "\r\n";
    }

    void take(const std::string& line) {
        std::string_view rest = line;
        const auto word = platform::take_word(rest);
        if (word == "STARTUP") {
            const auto service = platform::take_word(rest);
            who = platform::take_word(rest);
            if (!server.cut_from.empty() && who == server.cut_from) {
                return;
            }
            if (server.full) {
                send("ERROR TOOMANY no\r\n");
                return;
            }
            const bool right = service == where.group.name && (rest.empty() || rest == server.id);
            send(right ? ready() : "ERROR WRONGNODE no\r\n");
            return;
        }
        if (!server.cut_from.empty() && who == server.cut_from) {
            return;
        }
        const std::string id(platform::take_word(rest));
        answer_statement(id, std::string(rest));
    }

    // Values, prepared statements and probes; false for what takes a slot.
    bool answer_context(std::string_view text) {
        const auto verb = platform::take_word(text);
        if (verb == "SET") {
            const std::string name(platform::take_word(text));
            values[name] = text;
        } else if (verb == "PREPARE") {
            const std::string name(platform::take_word(text));
            prepared[name] = text;
        } else if (verb == "RESET") {
            values.clear();
            prepared.clear();
        } else if (verb == "STATUS") {
            const std::string mark =
                std::to_string(server.commit_term) + "." + std::to_string(server.applied);
            send("DATAROW " + std::string(server.is_primary ? "primary " : "replica ") +
                 std::to_string(where.group.term) + " " + mark + " 0 0 0 1\r\n");
        } else {
            return false;
        }
        send("COMPLETE -\r\n" + ready());
        return true;
    }

    void answer_statement(const std::string& id, const std::string& whole) {
        if (answer_context(whole)) {
            return;
        }
        std::string_view text = whole;
        std::uint64_t floor = 0;
        if (text.starts_with("WAITLSN ")) {
            platform::take_word(text);
            floor = platform::parse_mark(platform::take_word(text)).value_or(log_mark{}).position;
        }
        if (server.applied < floor) {
            send("ERROR LAGGING wait\r\n" + ready());
            return;
        }
        where.group.statements.push_back({.server = server.id,
                                          .connection = number,
                                          .id = id,
                                          .text = whole,
                                          .values = values,
                                          .in_transaction = in_transaction,
                                          .who = who});
        run(id, std::string(text));
    }

    void run(const std::string& id, const std::string& text) {
        if (server.silent) {
            return;
        }
        if (server.refusals_as_busy > 0) {
            --server.refusals_as_busy;
            send("ERROR BUSY crowded\r\n" + ready());
            return;
        }
        if (server.answers_to_lose > 0 && text != "ROLLBACK") {
            --server.answers_to_lose;
            return;
        }
        if (text.starts_with("BEGIN")) {
            in_transaction = server.is_primary || text == "BEGIN FETCH";
            send((in_transaction ? "COMPLETE -\r\n" : "ERROR READONLY no\r\n") + ready());
            return;
        }
        if (text == "ROLLBACK") {
            in_transaction = false;
            pending = 0;
            send("COMPLETE -\r\n" + ready());
            return;
        }
        if (!server.refuse_with.empty()) {
            send("ERROR " + server.refuse_with + " as told\r\n" + ready());
            return;
        }
        const auto shape =
            prepared.find(text.substr(0, text.find(' ', 8)).substr(std::min<std::size_t>(8, text.size())));
        const bool executes = text.starts_with("EXECUTE ");
        if (executes && shape == prepared.end()) {
            send("ERROR NOSTMT no\r\n" + ready());
            return;
        }
        const bool writes = text.starts_with("STORE ") || (executes && shape->second.starts_with("STORE"));
        if (writes && !server.is_primary) {
            send("ERROR READONLY no\r\n" + ready());
            return;
        }
        if (server.holds_writes && writes && !in_transaction) {
            server.held_writes.emplace_back([self = shared_from_this(), id, text] { self->run(id, text); });
            return;
        }
        if (text == "COMMIT") {
            in_transaction = false;
            commit();
        } else if (writes) {
            ++pending;
            if (!in_transaction) {
                commit();
            }
        }
        if (server.cuts_writes && (writes || text == "COMMIT")) {
            boost::system::error_code ignored;
            socket->close(ignored);
            return;
        }
        const std::string row = writes || text == "COMMIT" ? "" : "DATAROW value\r\n";
        send(row + "COMPLETE " + server.id + "/" + id + "\r\n" + ready());
    }

    void commit() {
        if (pending == 0) {
            return;
        }
        pending = 0;
        ++server.applied;
        server.commit_term = where.group.term;
        for (fake_server& other : where.group.servers) {
            const bool receives =
                other.follows && (other.follows_until == 0 || server.applied <= other.follows_until);
            if (receives && other.applied <= server.applied) {
                other.applied = server.applied;
                other.commit_term = server.commit_term;
            }
        }
    }

    platform_site& where;
    fake_server& server;
    std::shared_ptr<tcp::socket> socket;
    std::uint64_t number;
    platform::line_input in;
    std::array<char, buffer_bytes> buffer{};
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    std::string who; // the daemon, as it calls itself, or a workspace
    bool in_transaction = false;
    unsigned pending = 0;
};

//-----------------------------------------------------------------------------
// [servers]
//-----------------------------------------------------------------------------

void platform_site::start_server(fake_server& s) {
    s.acceptor = std::make_unique<tcp::acceptor>(io, local(0));
    accept(s);
}

void platform_site::accept(fake_server& s) {
    s.acceptor->async_accept([this, &s](const auto& error, tcp::socket socket) {
        if (error) {
            return;
        }
        const auto shared = std::make_shared<tcp::socket>(std::move(socket));
        s.sockets.push_back(shared);
        std::make_shared<server_session>(*this, s, shared)->read();
        accept(s);
    });
}

fake_server& platform_site::server(const std::string& id) {
    const auto found = std::find_if(group.servers.begin(), group.servers.end(),
                                    [&id](const fake_server& s) { return s.id == id; });
    if (found == group.servers.end()) {
        throw std::out_of_range("no server " + id);
    }
    return *found;
}

fake_server& platform_site::add_server(const std::string& id) {
    fake_server& s = group.servers.emplace_back();
    s.id = id;
    s.zone = "z1";
    s.tells_position = !hides_positions;
    start_server(s);
    return s;
}

void platform_site::start_server_again(const std::string& id, bool keeps_log) {
    fake_server& s = server(id);
    s.started += 5'000;
    s.applied = keeps_log ? s.applied : 0;
    start_server(s);
}

void platform_site::stop_server(const std::string& id) {
    boost::system::error_code ignored;
    server(id).acceptor->close(ignored);
    drop_connections(id);
}

void platform_site::hold_commits(const std::string& id, bool holds) {
    server(id).holds_writes = holds;
    std::vector<std::function<void()>> held;
    held.swap(server(id).held_writes);
    for (const auto& run : held) {
        run();
    }
}

void platform_site::drop_connections(const std::string& id) {
    boost::system::error_code ignored;
    for (const auto& weak : server(id).sockets) {
        if (const auto socket = weak.lock()) {
            socket->close(ignored);
        }
    }
}

void platform_site::start_authority() {
    authority_port_ = free_port();
    authority_ = std::make_unique<platform::http_server>(
        io, local(authority_port_),
        [this](const platform::web_request& q, const platform::web_respond& respond) {
            const auto body = boost::json::parse(q.body).as_object();
            const std::string chosen(body.at("instance_id").as_string());
            promotions.push_back({.server = chosen, .token = std::string(body.at("service").as_string())});
            group.term += server(chosen).is_primary ? 0 : 1;
            for (fake_server& s : group.servers) {
                s.is_primary = s.id == chosen;
            }
            respond({.status = 200, .body = "{}"});
        });
}

//-----------------------------------------------------------------------------
// [callers]
//-----------------------------------------------------------------------------

line_caller::line_caller(platform_site& where, unsigned port)
    : where_(where), socket_(std::make_shared<tcp::socket>(where.io)),
      in_(std::make_shared<platform::line_input>()), ended_(std::make_shared<bool>(false)) {
    boost::system::error_code error;
    socket_->connect(local(port), error);
    *ended_ = error.failed();
    read();
}

void line_caller::read() {
    const auto buffer = std::make_shared<std::array<char, buffer_bytes>>();
    socket_->async_read_some(asio::buffer(*buffer), [buffer, socket = socket_, in = in_, ended = ended_,
                                                     this](const auto& error, auto length) {
        if (error) {
            *ended = true;
            return;
        }
        in->bytes.append(buffer->data(), length);
        read();
    });
}

void line_caller::send(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(*socket_, asio::buffer(bytes), ignored);
}

answer line_caller::receive() {
    answer a;
    const auto take = [&] {
        while (const auto line = platform::next_line(*in_)) {
            std::string_view rest = *line;
            const auto word = platform::take_word(rest);
            if (word == "DATAROW") {
                a.rows.emplace_back(rest);
            } else if (word == "COMPLETE") {
                a.done = rest;
            } else if (word == "ERROR") {
                a.error = rest;
            } else if (word == "READY") {
                a.state = std::string(platform::take_word(rest));
                return true;
            }
        }
        return *ended_;
    };
    if (!where_.run_until(take)) {
        throw std::runtime_error("no answer");
    }
    return a;
}

answer line_caller::open(const std::string& line) {
    send(line + "\r\n");
    return receive();
}

answer line_caller::ask(const std::string& id, const std::string& text) {
    send("QUERY " + id + " " + text + "\r\n");
    return receive();
}

bool line_caller::has_ended() {
    return *ended_;
}

void line_caller::close() {
    boost::system::error_code ignored;
    socket_->close(ignored);
}

//-----------------------------------------------------------------------------
// [daemons]
//-----------------------------------------------------------------------------

site_daemon& platform_site::start_daemon(asio::io_context& runs_on, const std::string& domain) {
    const bool control = &runs_on == &control_io;
    site_daemon& d = daemons.emplace_back();
    const unsigned peer = free_port();
    control_peer_ = control ? peer : control_peer_;
    d.entry_port = free_port();
    d.control_port = free_port();
    d.ready_port = free_port();
    d.config.id = {"daemon-" + std::to_string(daemons.size())};
    d.config.domain = {domain};
    d.config.entry_listen = address_of(d.entry_port);
    d.config.peer_listen = address_of(peer);
    d.config.peer_address = d.config.peer_listen;
    d.config.control_addresses = {address_of(control_peer_)};
    d.config.control_member = control;
    d.config.founds_cluster = control;
    d.config.data_folder = (folder_ / d.config.id.value).string();
    d.config.lease = std::chrono::milliseconds{400};
    d.config.heartbeat = std::chrono::milliseconds{20};
    d.config.election = std::chrono::milliseconds{80};
    d.config.probe_interval = std::chrono::milliseconds{50};
    d.config.detect_time = std::chrono::milliseconds{200};
    d.config.leave_time = leave_time;
    d.config.close_without_lease = true;
    d.config.order_statements = order_statements;
    const platform::driver_settings driver{.who = d.config.id.value,
                                           .promotion_authority = address_of(authority_port_)};
    d.core = std::make_unique<larchpin::daemon>(
        runs_on, d.config, shared_keys{.keys = {std::string(40, 'k')}},
        platform::make_driver(runs_on, driver), platform::make_caller_session);
    boost::leaf::try_handle_all(
        [&] { return d.core->start(); },
        [](result_code code) { throw std::runtime_error(std::string(describe(code).name)); },
        [] { throw std::runtime_error("a daemon does not start"); });
    d.control_listener = std::make_unique<platform::http_server>(
        runs_on, local(d.control_port), [core = d.core.get()](const auto& q, const auto& respond) {
            platform::answer_control(*core, q, respond);
        });
    d.ready_listener = std::make_unique<platform::http_server>(
        runs_on, local(d.ready_port), [core = d.core.get()](const auto& q, const auto& respond) {
            platform::answer_balancer(*core, q, respond);
        });
    return d;
}

//-----------------------------------------------------------------------------
// [site]
//-----------------------------------------------------------------------------

platform_site::platform_site() {
    std::random_device device;
    folder_ = std::filesystem::temp_directory_path() / ("larchpin-platform-" + std::to_string(device()));
    std::filesystem::create_directories(folder_);
    group.name = "svc";
    start_authority();
}

platform_site::~platform_site() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void platform_site::start() {
    for (const char* id : {"s1", "s2", "s3"}) {
        add_server(id).is_primary = std::string(id) == "s1";
    }
    std::string table = table_body(5);
    const std::string none = R"("sync_replica_count":0)";
    table.replace(table.find(none), none.size(),
                  R"("sync_replica_count":)" + std::to_string(sync_replica_count));
    site_daemon& d = start_daemon(control_io, "z1");
    const auto ready = [&] {
        beat();
        post(d.control_port, "/larchpin/config/replace", table);
        return get(d.ready_port, "/larchpin/readiness").status == 200 &&
               d.core->cluster().groups.contains({"svc"}) && d.core->cluster().servers.size() == 3;
    };
    for (int i = 0; i < 100; ++i) {
        if (ready()) {
            return;
        }
        run_for(std::chrono::milliseconds{50});
    }
    throw std::runtime_error("the site does not become ready");
}

site_daemon& platform_site::add_entry(const std::string& domain) {
    site_daemon& d = start_daemon(io, domain);
    if (!run_until([&] { return d.core->is_ready(); })) {
        throw std::runtime_error("the entry does not become ready");
    }
    return d;
}

site_daemon& platform_site::add_entry_apart() {
    site_daemon& d = start_daemon(apart_io, "z1");
    if (!run_until([&] { return d.core->is_ready(); })) {
        throw std::runtime_error("the entry does not become ready");
    }
    return d;
}

void platform_site::freeze_control() {
    control_frozen_ = true;
}

void platform_site::pump() {
    io.restart();
    control_io.restart();
    apart_io.restart();
    const std::size_t ran =
        io.poll() + (control_frozen_ ? 0 : control_io.poll()) + (apart_frozen_ ? 0 : apart_io.poll());
    if (ran == 0) {
        std::this_thread::sleep_for(std::chrono::microseconds{200});
    }
}

line_caller platform_site::connect(const std::string& database) {
    line_caller c(*this, daemons.back().entry_port);
    c.open("STARTUP " + database + " somebody");
    return c;
}

platform::http_result platform_site::post(unsigned port, const std::string& path, const std::string& body) {
    platform::http_result result;
    bool done = false;
    platform::post_json(io, {.address = address_of(port), .path = path, .headers = {}, .body = body},
                        patience, [&](const platform::http_result& r) {
                            result = r;
                            done = true;
                        });
    (void)run_until([&] { return done; });
    return result;
}

platform::http_result platform_site::get(unsigned port, const std::string& path) {
    namespace http = beast::http;
    const auto stream = std::make_shared<beast::tcp_stream>(io);
    stream->socket().connect(local(port));
    http::request<http::string_body> request{http::verb::get, path, 11};
    request.set(http::field::host, loopback);
    http::write(*stream, request);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    bool done = false;
    http::async_read(*stream, buffer, response, [&](const auto&, auto) { done = true; });
    (void)run_until([&] { return done; });
    return {.answered = done, .status = static_cast<int>(response.result_int()), .body = response.body()};
}

void platform_site::beat() {
    for (const fake_server& s : group.servers) {
        if (s.heard_of && s.acceptor->is_open()) {
            beat_at(daemons.front(), s);
        }
    }
}

platform::http_result platform_site::beat_at(const site_daemon& d, const fake_server& s) {
    const std::string body = R"({"service":"svc","address":")" + address_of(s.port()) + R"(","zone":")" +
                             s.zone + R"(","version":"v1","capacity":3,"state":")" +
                             (s.leaves ? "draining" : "ready") + R"(","warmup_remaining_ms":0,)" +
                             R"("database_role":")" + (s.is_primary ? "primary" : "replica") +
                             R"(","sequence_number":)" + std::to_string(next_beat_++) +
                             (s.started == 0 ? "" : R"(,"born":)" + std::to_string(s.started)) + "}";
    return post(d.control_port, "/larchpin/instances/" + s.id + "/heartbeat", body);
}

void platform_site::run_for(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        pump();
    }
}

bool platform_site::run_until(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        pump();
    }
    return true;
}

std::vector<seen_statement> platform_site::statements_with(const std::string& id) const {
    std::vector<seen_statement> found;
    std::copy_if(group.statements.begin(), group.statements.end(), std::back_inserter(found),
                 [&id](const seen_statement& s) { return s.id == id; });
    return found;
}

std::string platform_site::table_body(std::uint64_t version, const std::string& more_routes) {
    const auto route = [](const std::string& host, const std::string& kind) {
        return R"({"name":"r-)" + host + R"(","host":")" + host +
               R"(","path_prefix":"/","read_consistency":")" + kind +
               R"(","timeout_ms":800,"target_latency_ms":250,"priority":1,"service":"svc","max_attempts":2,)" +
               R"("max_staleness_ms":1500})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("shop", "read_your_writes") +
           "," + route("strict", "primary") + "," + route("poll", "bounded_staleness") + more_routes +
           R"(],"services":[{"name":"svc","health_path":"/health","max_connections":20,"protocol":"h1",)" +
           R"("tls_enabled":false,"sync_replica_count":0}],"limits":{"txn_idle_ms":300}})";
}

} // namespace larchpin::testing
