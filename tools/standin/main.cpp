// larchpin-standin: one backend server of a database group, for tests, demos and measurements.
//
// Speaks the PostgreSQL v3 protocol to clients, streams its log to replicas on the same port (startup
// parameter "replication"), and announces itself to larchpin's entry instances. The announcement's answer
// names the primary: a replica follows it, a primary that was replaced steps down and takes over its log.
//
// Faults, by SQL: "standin set lag_ms = 500" (replica), sync_replicas, service_ms, connect_ms,
// max_connections, slots, leave. Others from outside: SIGSTOP freezes it, SIGKILL crashes it (its data is
// gone unless --data keeps it).
//
// Index
//   [options]  [sessions]  [replication]  [announcing]  [main]
#include "replies.hpp"
#include "store.hpp"

#include "generated/larchpin.pb.h"
#include "io/addresses.hpp"
#include "io/auth.hpp"
#include "io/clock.hpp"
#include "io/http2.hpp"
#include "io/pg_frame.hpp"

#include <boost/asio.hpp>
#include <cxxopts.hpp>

#include <deque>
#include <fstream>
#include <iostream>
#include <sstream>

namespace larchpin::standin {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

//-----------------------------------------------------------------------------
// [options]
//-----------------------------------------------------------------------------

struct options {
    std::string id;
    std::string group;
    std::string domain;
    std::string host = "127.0.0.1";
    unsigned port = 0;
    unsigned announce_port = 0; // told to others in place of `port`; 0: the same
    std::string upstream;       // "ip:port" of the primary to follow; empty: starts as primary
    std::vector<std::string> announce_to;
    std::string key_file;
    unsigned lag_ms = 0;        // of a replica
    unsigned sync_replicas = 0; // that have applied a commit before it is answered
    unsigned service_ms = 0;    // each statement takes this long
    unsigned connect_ms = 10;   // a new connection takes this long
    unsigned max_connections = 100;
    unsigned slots = 0; // told to the daemons; 0: not told
    unsigned announce_ms = 200;
    bool leave = false;
    std::string data_file; // keeps log and timeline over a crash; empty: memory only
};

// Tells one start of this server from the next.
std::uint64_t unix_milliseconds() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

struct server;

//-----------------------------------------------------------------------------
// [sessions]
//-----------------------------------------------------------------------------

struct prepared {
    std::string text;
    std::vector<std::optional<std::string>> values;
};

struct session : std::enable_shared_from_this<session> {
    session(server& owner, tcp::socket s, std::uint64_t number);
    void start();
    void read_some();
    void on_bytes();
    void handle(const pg_message& m);
    void handle_replica(const pg_message& m);
    void start_up(const pg_message& m);
    void greet();
    void run_query(const std::string& text);
    void run_next();
    bool run_one(const std::string& text, const std::vector<std::optional<std::string>>& values,
                 bool describe);
    void await_replicas(const sql_result& r, bool describe);
    void finish(const sql_result& r, bool describe);
    void emit(const sql_result& r, bool describe);
    void generate_rows();
    void send(bool then_read);
    void fail_extended(const sql_result& r);
    void send_timeline();
    void replicate();
    char status() const { return t.failed ? 'E' : t.open ? 'T' : 'I'; }

    server& host;
    tcp::socket socket;
    asio::steady_timer timer;
    std::uint64_t id;
    pg_input in;
    std::array<char, 16384> buffer{};
    std::string out;
    std::string writing;
    bool write_active = false;
    bool busy = false;    // waits for a timer or a lock
    bool blocked = false; // by another session's row lock
    bool counted = false;
    std::string user;
    bool is_replica = false;
    bool skip_to_sync = false;
    transaction t;
    std::deque<std::string> statements; // of a simple query
    bool in_simple = false;
    prepared parsed;
    prepared bound;
    std::uint64_t rows_left = 0;
    std::string rows_tag;
    std::size_t sent_records = 0; // replication
    std::uint64_t sent_timeline = 0;
    std::uint64_t applied = 0; // by the replica, as it says
    std::uint64_t awaited = 0; // position that replicas must have applied before the answer; 0: none
    sql_result awaited_answer;
    bool awaited_describe = false;
};

struct server {
    server(asio::io_context& context, options given)
        : io(context), opt(std::move(given)),
          acceptor(context,
                   tcp::endpoint(asio::ip::make_address(opt.host), static_cast<std::uint16_t>(opt.port))),
          tick(context), announce_timer(context), upstream_socket(context) {}

    void start();
    void accept();
    void wake_blocked() const;
    void push_to_replicas();
    void apply_due();
    void tell_applied();
    bool is_confirmed(std::uint64_t position) const;
    void answer_confirmed() const;
    void promote();
    void follow(const std::string& address);
    void connect_upstream();
    void read_upstream();
    void on_upstream(const pg_message& m);
    void set_option(const std::string& name, const std::string& value);
    void announce();
    void rewind();
    void leave_upstream();
    void end_callers();
    void end_replicas();           // that follow this server
    void keep_replication_alive(); // both ways: a connection may go silent without an end
    void on_announced(const wire::announcement_reply& reply);

    asio::io_context& io;
    options opt;
    std::ofstream disk; // of `data`
    store data;
    tcp::acceptor acceptor;
    asio::steady_timer tick;
    asio::steady_timer announce_timer;
    std::map<std::uint64_t, std::weak_ptr<session>> sessions;
    std::uint64_t next_session = 1;
    unsigned connection_count = 0;
    struct user_counters {
        unsigned open = 0;
        unsigned peak = 0;
        std::uint64_t statements = 0;
    };
    std::map<std::string, user_counters> users; // "standin peak USER", "standin work USER"
    // replication, as a replica
    tcp::socket upstream_socket;
    std::string upstream;
    std::uint64_t upstream_generation = 0;
    bool upstream_connected = false;
    time_point upstream_retry_at{};
    time_point upstream_heard_at{};
    time_point next_keepalive{}; // to replicas
    pg_input upstream_in;
    std::array<char, 65536> upstream_buffer{};
    struct pending_record {
        time_point due{};
        bool reset = false;
        std::uint64_t timeline = 0;
        commit_record record;
    };
    std::deque<pending_record> pending;
    std::vector<std::unique_ptr<http2_client>> announcers;
};

session::session(server& owner, tcp::socket s, std::uint64_t number)
    : host(owner), socket(std::move(s)), timer(owner.io), id(number) {
    t.session = number;
}

void session::start() {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    read_some();
}

void session::read_some() {
    auto self = shared_from_this();
    socket.async_read_some(asio::buffer(buffer),
                           [self](const boost::system::error_code& error, std::size_t length) {
                               if (error) {
                                   if (self->counted) {
                                       --self->host.connection_count;
                                       --self->host.users[self->user].open;
                                       self->counted = false;
                                   }
                                   end_transaction(self->host.data, self->t);
                                   self->host.sessions.erase(self->id);
                                   self->host.wake_blocked();
                                   self->timer.cancel();
                                   self->busy = true; // nothing more runs for it
                                   return;
                               }
                               self->in.bytes.append(self->buffer.data(), length);
                               self->on_bytes();
                               self->read_some();
                           });
}

void session::on_bytes() {
    while (!busy) {
        const auto m = next_message(in);
        if (!m) {
            break;
        }
        handle(*m);
    }
    send(false);
}

void session::start_up(const pg_message& m) {
    const auto request = parse_startup(m.body);
    if (!request) {
        return;
    }
    if (request->code == pg_ssl_request || request->code == pg_gss_request) {
        out += 'N';
        return;
    }
    if (request->code == pg_cancel_request) {
        const auto target = host.sessions.find(request->process);
        if (target != host.sessions.end()) {
            if (auto victim = target->second.lock(); victim && victim->busy) {
                victim->timer.cancel();
            }
        }
        return;
    }
    in.startup = false;
    if (request->parameters.contains("replication")) {
        is_replica = true;
        return;
    }
    if (host.connection_count >= host.opt.max_connections) {
        put_message(out, 'E', error_body("53300", "sorry, too many clients already"));
        return;
    }
    ++host.connection_count;
    counted = true;
    const auto name = request->parameters.find("user");
    user = name == request->parameters.end() ? "" : name->second;
    auto& mine = host.users[user];
    mine.peak = std::max(mine.peak, ++mine.open);
    busy = true;
    timer.expires_after(std::chrono::milliseconds(host.opt.connect_ms));
    timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
            self->greet();
        }
    });
}

void session::greet() {
    busy = false;
    std::string ok;
    put_u32(ok, 0);
    put_message(out, 'R', ok);
    put_parameter(out, "server_version", "15.0");
    put_parameter(out, "client_encoding", "UTF8");
    put_parameter(out, "standard_conforming_strings", "on");
    std::string key;
    put_u32(key, static_cast<std::uint32_t>(id));
    put_u32(key, 1);
    put_message(out, 'K', key);
    put_ready(out, 'I');
    on_bytes();
}

// A replica asks for what follows its log, and tells how far it has come.
void session::handle_replica(const pg_message& m) {
    if (m.type == 'a') {
        applied = std::stoull(m.body);
        host.answer_confirmed();
        return;
    }
    if (!host.data.is_primary) {
        // Its log may be shorter than that of who asks, which must not be thrown away for it.
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        return;
    }
    field_reader r{.rest = m.body};
    const std::string position = read_text(r);
    const std::string hash = read_text(r);
    const auto next = find_successor(host.data, std::stoull(position), std::stoull(hash));
    send_timeline(); // first: whoever is on a later one does not follow
    if (!next) {
        put_message(out, 'x', "");
    }
    sent_records = next.value_or(0);
    applied = next ? std::stoull(position) : 0;
    replicate();
}

void session::handle(const pg_message& m) {
    if (in.startup) {
        start_up(m);
        return;
    }
    if (is_replica) {
        handle_replica(m);
        return;
    }
    if (skip_to_sync && m.type != 'S') {
        return;
    }
    switch (m.type) {
    case 'Q': run_query(parse_text(m.body).value_or("")); return;
    case 'P': {
        const auto p = parse_parse(m.body);
        parsed = prepared{.text = p ? p->query : "", .values = {}};
        put_message(out, '1', "");
        return;
    }
    case 'B': {
        const auto b = parse_bind(m.body);
        bound = prepared{.text = parsed.text,
                         .values = b ? b->values : std::vector<std::optional<std::string>>{}};
        put_message(out, '2', "");
        return;
    }
    case 'D': {
        if (!m.body.empty() && m.body[0] == 'S') {
            constexpr std::uint32_t text_type = 25;
            const auto count =
                static_cast<std::uint16_t>(std::count(parsed.text.begin(), parsed.text.end(), '$'));
            std::string types;
            put_u16(types, count);
            for (std::uint16_t i = 0; i < count; ++i) {
                put_u32(types, text_type);
            }
            put_message(out, 't', types);
        }
        const auto columns = describe_columns(parsed.text);
        if (columns.empty()) {
            put_message(out, 'n', "");
        } else {
            put_columns(out, columns);
        }
        return;
    }
    case 'E': run_one(bound.text, bound.values, false); return;
    case 'S':
        skip_to_sync = false;
        put_ready(out, status());
        return;
    case 'C': put_message(out, '3', ""); return;
    case 'X': {
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        return;
    }
    default: return;
    }
}

void session::run_query(const std::string& text) {
    const auto parts = split_statements(text);
    statements.assign(parts.begin(), parts.end());
    in_simple = true;
    if (statements.empty()) {
        put_message(out, 'I', "");
    }
    run_next();
}

void session::run_next() {
    while (!statements.empty()) {
        if (!run_one(statements.front(), {}, true)) {
            return; // goes on when the timer or the lock lets it
        }
        if (!statements.empty()) {
            statements.pop_front();
        }
    }
    if (in_simple) {
        in_simple = false;
        put_ready(out, status());
    }
}

// Returns false where the statement's answer comes later.
bool session::run_one(const std::string& text, const std::vector<std::optional<std::string>>& values,
                      bool describe) {
    const std::uint64_t position_before = position_of(host.data);
    sql_result r = execute(host.data, t, text, values);
    blocked = r.blocked;
    if (blocked) {
        busy = true;
        return false;
    }
    ++host.users[user].statements;
    if (r.setting == "peak" || r.setting == "work") {
        const auto& asked = host.users[r.setting_value];
        r.columns = {r.setting};
        r.rows = {{std::to_string(r.setting == "peak" ? asked.peak : asked.statements)}};
        r.tag = "SELECT 1";
        r.setting.clear();
    }
    if (r.promote) {
        host.promote();
    }
    if (!r.setting.empty()) {
        host.set_option(r.setting, r.setting_value);
    }
    host.push_to_replicas();
    host.wake_blocked();
    if (position_of(host.data) > position_before && !host.is_confirmed(position_of(host.data))) {
        await_replicas(r, describe);
        return false;
    }
    const bool is_probe = text.starts_with("/* larchpin"); // no work of a caller
    const double delay_ms = r.sleep_seconds * 1000 + (is_probe ? 0 : host.opt.service_ms);
    if (delay_ms <= 0) {
        emit(r, describe);
        return rows_left == 0;
    }
    busy = true;
    timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(delay_ms * 1000)));
    timer.async_wait([self = shared_from_this(), r, describe](const boost::system::error_code& error) {
        if (!self->socket.is_open()) {
            return;
        }
        sql_result answer = r;
        if (error) {
            answer = sql_result{};
            answer.error_state = "57014";
            answer.error_text = "canceling statement due to user request";
        }
        self->finish(answer, describe);
    });
    return false;
}

// The commit stands in the log and is visible to others, like one whose answer is on its way.
void session::await_replicas(const sql_result& r, bool describe) {
    busy = true;
    awaited = position_of(host.data);
    awaited_answer = r;
    awaited_describe = describe;
}

// Answers a statement that has waited, and goes on.
void session::finish(const sql_result& r, bool describe) {
    busy = false;
    emit(r, describe);
    if (!statements.empty()) {
        statements.pop_front();
    }
    run_next();
    on_bytes();
}

void session::fail_extended(const sql_result& r) {
    put_message(out, 'E', error_body(r.error_state, r.error_text));
    statements.clear();
    skip_to_sync = !in_simple;
}

void session::emit(const sql_result& r, bool describe) {
    if (!r.error_state.empty()) {
        fail_extended(r);
        return;
    }
    if (describe && !r.columns.empty()) {
        put_columns(out, r.columns);
    }
    for (const auto& row : r.rows) {
        put_row(out, row);
    }
    if (r.rows_generated > 0) {
        rows_left = r.rows_generated;
        rows_tag = r.tag;
        busy = true;
        generate_rows();
        return;
    }
    put_command_complete(out, r.tag);
}

void session::generate_rows() {
    constexpr std::size_t chunk = 65536;
    while (rows_left > 0 && out.size() < chunk) {
        put_row(out, {"row " + std::to_string(rows_left) + " of a large answer that is streamed, not held"});
        --rows_left;
    }
    if (rows_left == 0) {
        busy = false;
        put_command_complete(out, rows_tag);
        if (!statements.empty()) {
            statements.pop_front();
        }
        run_next();
    }
    send(false);
}

void session::send(bool /*then_read*/) {
    if (write_active || out.empty()) {
        return;
    }
    write_active = true;
    writing.swap(out);
    out.clear();
    auto self = shared_from_this();
    asio::async_write(socket, asio::buffer(writing),
                      [self](const boost::system::error_code& error, std::size_t) {
                          self->write_active = false;
                          if (error) {
                              return;
                          }
                          if (self->rows_left > 0) {
                              self->generate_rows();
                          }
                          self->send(false);
                      });
}

//-----------------------------------------------------------------------------
// [replication]
//-----------------------------------------------------------------------------

void session::send_timeline() {
    if (sent_timeline == host.data.timeline) {
        return;
    }
    sent_timeline = host.data.timeline;
    std::string body;
    put_text(body, std::to_string(sent_timeline));
    put_message(out, 't', body);
}

void session::replicate() {
    constexpr std::size_t batch = 2000;
    send_timeline();
    for (std::size_t n = 0; sent_records < host.data.log.size() && n < batch; ++n) {
        put_message(out, 'w', encode_commit(host.data.log[sent_records++]));
    }
    send(false);
}

void server::push_to_replicas() {
    for (auto& [id, weak] : sessions) {
        if (auto s = weak.lock(); s && s->is_replica && !s->in.startup) {
            s->replicate();
        }
    }
}

bool server::is_confirmed(std::uint64_t position) const {
    const auto holders = std::count_if(sessions.begin(), sessions.end(), [position](const auto& entry) {
        const auto s = entry.second.lock();
        return s && s->is_replica && s->applied >= position;
    });
    return static_cast<unsigned>(holders) >= opt.sync_replicas;
}

void server::answer_confirmed() const {
    for (auto& [id, weak] : std::map(sessions)) {
        const auto s = weak.lock();
        if (s && s->awaited != 0 && is_confirmed(s->awaited)) {
            s->awaited = 0;
            s->finish(s->awaited_answer, s->awaited_describe);
        }
    }
}

// Tells the primary how far this replica has come.
void server::tell_applied() {
    if (!upstream_connected) {
        return;
    }
    auto bytes = std::make_shared<std::string>();
    put_message(*bytes, 'a', std::to_string(position_of(data)));
    asio::async_write(upstream_socket, asio::buffer(*bytes),
                      [bytes](const boost::system::error_code&, std::size_t) {});
}

void server::wake_blocked() const {
    for (auto& [id, weak] : std::map(sessions)) {
        auto s = weak.lock();
        if (!s || !s->blocked) {
            continue;
        }
        s->busy = false;
        s->blocked = false;
        if (s->in_simple) {
            s->run_next();
        } else {
            s->run_one(s->bound.text, s->bound.values, false);
        }
        s->on_bytes();
    }
}

void server::promote() {
    data.is_primary = true;
    set_timeline(data, data.timeline + 1);
    pending.clear(); // received but not applied: as if it had not come yet
    upstream.clear();
    ++upstream_generation;
    boost::system::error_code ignored;
    upstream_socket.close(ignored);
}

void server::follow(const std::string& address) {
    if (address == upstream) {
        return;
    }
    upstream = address;
    upstream_connected = false;
    ++upstream_generation;
    boost::system::error_code ignored;
    upstream_socket.close(ignored);
    upstream_retry_at = {};
}

void server::connect_upstream() {
    const std::uint64_t generation = ++upstream_generation;
    upstream_retry_at = now() + std::chrono::milliseconds(100);
    upstream_socket = tcp::socket(io);
    upstream_in = pg_input{};
    upstream_in.startup = false;
    pending.clear();
    upstream_socket.async_connect(
        parse_endpoint(upstream).value_or(tcp::endpoint{}),
        [this, generation](const boost::system::error_code& error) {
            if (error || generation != upstream_generation) {
                return;
            }
            upstream_connected = true;
            upstream_heard_at = now();
            std::string startup;
            put_u32(startup, pg_protocol_3);
            put_text(startup, "replication");
            put_text(startup, "standin");
            startup.push_back('\0');
            std::string bytes;
            put_u32(bytes, static_cast<std::uint32_t>(startup.size() + 4));
            bytes += startup;
            std::string body;
            put_text(body, std::to_string(position_of(data)));
            put_text(body, std::to_string(data.log.empty() ? 0 : data.log.back().hash));
            put_message(bytes, 'f', body);
            auto owned = std::make_shared<std::string>(bytes);
            asio::async_write(upstream_socket, asio::buffer(*owned),
                              [owned](const boost::system::error_code&, std::size_t) {});
            read_upstream();
        });
}

void server::read_upstream() {
    const std::uint64_t generation = upstream_generation;
    upstream_socket.async_read_some(
        asio::buffer(upstream_buffer),
        [this, generation](const boost::system::error_code& error, std::size_t length) {
            if (generation != upstream_generation) {
                return;
            }
            if (error) {
                upstream_connected = false;
                upstream_retry_at = now() + std::chrono::milliseconds(50);
                return;
            }
            upstream_heard_at = now();
            upstream_in.bytes.append(upstream_buffer.data(), length);
            while (const auto m = next_message(upstream_in)) {
                on_upstream(*m);
                if (generation != upstream_generation) {
                    return; // left
                }
            }
            apply_due();
            read_upstream();
        });
}

void server::on_upstream(const pg_message& m) {
    if (m.type == 'k') {
        return;
    }
    pending_record p;
    p.due = now() + std::chrono::milliseconds(opt.lag_ms);
    if (m.type == 'x') {
        p.reset = true;
    } else if (m.type == 't') {
        p.timeline = std::stoull(m.body);
        if (p.timeline < data.timeline) {
            leave_upstream();
            return;
        }
    } else if (const auto r = decode_commit(m.body)) {
        p.record = *r;
    }
    pending.push_back(p);
}

// A server that came back empty is on an earlier timeline than those that followed it. Following it again
// would throw away the log that it has lost itself.
void server::leave_upstream() {
    upstream_connected = false;
    ++upstream_generation;
    boost::system::error_code ignored;
    upstream_socket.close(ignored);
    upstream_retry_at = now() + std::chrono::milliseconds(100);
}

// A replica whose log has parted from its primary's is rewound, and that takes a restart of the process:
// nobody who is connected to it stays so, and what comes up is another start.
void server::rewind() {
    if (!data.log.empty()) {
        data.started = unix_milliseconds();
        end_callers();
    }
    clear_store(data);
}

void server::end_callers() {
    for (auto& [id, weak] : sessions) {
        if (auto s = weak.lock(); s && !s->is_replica) {
            boost::system::error_code ignored;
            s->socket.close(ignored);
        }
    }
}

void server::keep_replication_alive() {
    constexpr std::chrono::milliseconds interval{200};
    constexpr std::chrono::milliseconds longest_silence{1000};
    if (now() >= next_keepalive) {
        next_keepalive = now() + interval;
        for (auto& [id, weak] : sessions) {
            if (auto s = weak.lock(); s && s->is_replica) {
                put_message(s->out, 'k', "");
                s->send(false);
            }
        }
    }
    if (upstream_connected && now() - upstream_heard_at > longest_silence) {
        leave_upstream();
    }
}

void server::end_replicas() {
    for (auto& [id, weak] : sessions) {
        if (auto s = weak.lock(); s && s->is_replica) {
            boost::system::error_code ignored;
            s->socket.close(ignored);
        }
    }
}

void server::apply_due() {
    const time_point at = now();
    const std::uint64_t position_before = position_of(data);
    while (!pending.empty() && pending.front().due <= at) {
        const pending_record p = pending.front();
        pending.pop_front();
        if (p.reset) {
            rewind();
        } else if (p.timeline != 0) {
            set_timeline(data, p.timeline);
        } else {
            apply_record(data, p.record);
        }
    }
    if (position_of(data) > position_before) {
        tell_applied();
    }
}

//-----------------------------------------------------------------------------
// [announcing]
//-----------------------------------------------------------------------------

void server::set_option(const std::string& name, const std::string& value) {
    const auto number = static_cast<unsigned>(std::atoi(value.c_str()));
    if (name == "lag_ms") {
        opt.lag_ms = number;
    } else if (name == "sync_replicas") {
        opt.sync_replicas = number;
    } else if (name == "service_ms") {
        opt.service_ms = number;
    } else if (name == "connect_ms") {
        opt.connect_ms = number;
    } else if (name == "max_connections") {
        opt.max_connections = number;
    } else if (name == "slots") {
        opt.slots = number;
    } else if (name == "leave") {
        opt.leave = value == "on";
    }
}

void server::announce() {
    wire::server_announcement m;
    m.mutable_record()->set_id(opt.id);
    m.mutable_record()->set_group(opt.group);
    m.mutable_record()->set_domain(opt.domain);
    m.mutable_record()->set_host(opt.host);
    m.mutable_record()->set_port(opt.announce_port == 0 ? opt.port : opt.announce_port);
    m.mutable_record()->set_started(data.started);
    m.mutable_record()->set_slots(opt.slots);
    m.set_is_primary(data.is_primary);
    m.set_timeline(data.timeline);
    m.set_position(position_of(data));
    m.set_leaving(opt.leave);
    for (auto& to : announcers) {
        to->post("/v1/announce", m.SerializeAsString(), std::chrono::milliseconds(opt.announce_ms),
                 [this, was_primary = data.is_primary](const http_outcome& o) {
                     wire::announcement_reply reply;
                     // An answer to what it was before a promotion says nothing about it now.
                     if (o.answered && was_primary == data.is_primary && reply.ParseFromString(o.body)) {
                         on_announced(reply);
                     }
                 });
    }
    announce_timer.expires_after(std::chrono::milliseconds(opt.announce_ms));
    announce_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            announce();
        }
    });
}

void server::on_announced(const wire::announcement_reply& reply) {
    const auto& group = reply.group();
    if (!reply.has_group() || !reply.has_primary() || group.phase() != 0 || group.primary() == opt.id) {
        return;
    }
    if (data.is_primary) {
        data.is_primary = false; // replaced while away
        data.locks.clear();
        end_callers();
        end_replicas();
    }
    follow(reply.primary().host() + ":" + std::to_string(reply.primary().port()));
}

void server::start() {
    data.started = unix_milliseconds();
    if (!opt.data_file.empty() && !open_disk(data, opt.data_file, disk)) {
        throw std::runtime_error(opt.data_file + " cannot be written");
    }
    data.is_primary = opt.upstream.empty();
    upstream = opt.upstream;
    std::string key;
    std::getline(std::ifstream(opt.key_file), key);
    const shared_keys keys{.keys = {key}};
    for (const std::string& address : opt.announce_to) {
        announcers.push_back(
            std::make_unique<http2_client>(io, parse_endpoint(address).value_or(tcp::endpoint{}), keys));
    }
    accept();
    if (!announcers.empty()) {
        announce();
    }
    const auto on_tick = [this](auto&& again) -> void {
        apply_due();
        keep_replication_alive();
        if (!data.is_primary && !upstream.empty() && !upstream_connected && now() >= upstream_retry_at) {
            connect_upstream();
        }
        tick.expires_after(std::chrono::milliseconds(2));
        tick.async_wait([again](const boost::system::error_code& error) {
            if (!error) {
                again(again);
            }
        });
    };
    on_tick(on_tick);
}

void server::accept() {
    acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (!error) {
            const std::uint64_t number = next_session++;
            auto s = std::make_shared<session>(*this, std::move(socket), number);
            sessions[number] = s;
            s->start();
        }
        accept();
    });
}

} // namespace
} // namespace larchpin::standin

//-----------------------------------------------------------------------------
// [main]
//-----------------------------------------------------------------------------

int main(int argc, char** argv) {
    using larchpin::standin::options;
    options opt;
    cxxopts::Options arguments("larchpin-standin", "A stand-in backend server for tests and measurements.");
    arguments.add_options()("help", "print this")("version", "print the version")(
        "id", "name of this server", cxxopts::value(opt.id))("group", "its group", cxxopts::value(opt.group))(
        "domain", "its failure domain", cxxopts::value(opt.domain))(
        "host", "IP number", cxxopts::value(opt.host))("port", "port", cxxopts::value(opt.port))(
        "follow", "ip:port of the primary", cxxopts::value(opt.upstream))(
        "announce-port", "port that others are told, of a relay", cxxopts::value(opt.announce_port))(
        "announce-to", "ip:port of peer listeners",
        cxxopts::value(opt.announce_to))("key-file", "shared key", cxxopts::value(opt.key_file))(
        "lag-ms", "replication lag",
        cxxopts::value(opt.lag_ms))("sync-replicas", "that have applied a commit before it is answered",
                                    cxxopts::value(opt.sync_replicas))("service-ms", "time a statement takes",
                                                                       cxxopts::value(opt.service_ms))(
        "connect-ms", "time a new connection takes", cxxopts::value(opt.connect_ms))(
        "max-connections", "limit", cxxopts::value(opt.max_connections))("announce-ms", "interval",
                                                                         cxxopts::value(opt.announce_ms))(
        "slots", "statements at once that it announces", cxxopts::value(opt.slots))(
        "data", "file that keeps the data over a crash", cxxopts::value(opt.data_file));
    try {
        const auto given = arguments.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << arguments.help();
            return 0;
        }
        if (given.count("version") != 0) {
            std::cout << "larchpin-standin " << LARCHPIN_VERSION << "\n";
            return 0;
        }
        boost::asio::io_context io;
        larchpin::standin::server one(io, opt);
        one.start();
        io.run();
    } catch (const std::exception& e) {
        std::cerr << "larchpin-standin: " << e.what() << " [1009 bad_command_line]\n";
        return 2;
    }
    return 0;
}
