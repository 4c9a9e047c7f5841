// A caller's messages: see client_session.hpp. How one request is carried out stands in request_path.cpp.
//
// Index
//   [lifetime]  [reading and writing]  [startup]  [simple query]  [extended query]  [answers made here]
//   [requests]
#include "daemon/client_session.hpp"

#include "daemon/entry.hpp"
#include "io/clock.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <sstream>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr std::size_t message_header_bytes = 5;
constexpr std::size_t max_prepared = 1000;
constexpr std::size_t max_session_settings = 100;
constexpr std::size_t pause_above = 1U << 20U; // bytes not yet taken by the caller
constexpr std::size_t resume_below = 1U << 18U;
constexpr std::string_view own_prefix = "larchpin.";

// Every connection is opened with these already, or the proxy answers for them.
bool is_harmless_parameter(const std::string& name, const std::string& value) {
    return name == "user" || name == "database" || name == "options" || name == "replication" ||
           (name == "client_encoding" && (value == "UTF8" || value == "utf8" || value == "UTF-8"));
}

std::string quote(const std::string& text) {
    std::string quoted = "'";
    for (const char c : text) {
        quoted += c;
        if (c == '\'') {
            quoted += '\'';
        }
    }
    return quoted + "'";
}

bool is_setting_name(const std::string& name) {
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '_' || c == '.';
    });
}

std::string to_statements(const std::map<std::string, std::string>& settings) {
    std::string text;
    for (const auto& [name, value] : settings) {
        text += "set " + name + " = " + quote(value) + ";";
    }
    return text;
}

std::uint32_t message_length(std::string_view bytes) {
    field_reader r{.rest = bytes.substr(1)};
    return read_u32(r) + 1;
}

// Splits whole messages: all before the first CommandComplete, and the rest.
std::size_t find_acknowledgement(std::string_view bytes) {
    std::size_t at = 0;
    while (bytes.size() - at >= message_header_bytes) {
        if (bytes[at] == 'C') {
            return at;
        }
        at += message_length(bytes.substr(at));
    }
    return bytes.size();
}

// Takes the row description out of the answer to an execute that nobody asked to describe.
std::string without_description(std::string_view bytes) {
    std::string kept;
    std::size_t at = 0;
    while (bytes.size() - at >= message_header_bytes) {
        const std::uint32_t length = message_length(bytes.substr(at));
        if (bytes[at] != 'T') {
            kept.append(bytes.substr(at, length));
        }
        at += length;
    }
    return kept;
}

// A described execute without rows is answered "no data" before its completion.
bool starts_with_completion(std::string_view bytes) {
    return !bytes.empty() && (bytes.front() == 'C' || bytes.front() == 'I');
}

} // namespace

//-----------------------------------------------------------------------------
// [lifetime]
//-----------------------------------------------------------------------------

client_session::client_session(entry& owner, session_number number, std::uint32_t secret,
                               asio::ip::tcp::socket socket)
    : owner_(owner), number_(number), secret_(secret), stream_(std::move(socket)),
      path_(std::make_shared<request_path>(owner, number, make_front())) {}

void client_session::start() {
    read_some();
}

void client_session::stop_when_idle() {
    stopping_ = true;
    end_if_idle();
}

void client_session::end_if_idle() {
    if (path_->is_idle() && !closed_) {
        fail_session({.code = result_code::stopping, .run = run_state::not_run, .fatal = true});
    }
}

void client_session::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    stream_.close();
    path_->close();
    owner_.remove(number_);
}

void client_session::poke() {
    path_->poke();
}

void client_session::cancel() {
    path_->cancel();
}

void client_session::fail_session(const caller_error& error) {
    put_error(out_, error);
    closing_ = true;
    send();
}

void client_session::protocol_error(const std::string& what) {
    fail_session(
        {.code = result_code::protocol_violation, .run = run_state::not_run, .detail = what, .fatal = true});
}

//-----------------------------------------------------------------------------
// [reading and writing]
//-----------------------------------------------------------------------------

void client_session::read_some() {
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    stream_.read_some(read_buffer_, [self = shared_from_this()](bool ok, std::size_t length) {
        self->reading_ = false;
        if (!ok) {
            self->close();
            return;
        }
        self->in_.bytes.append(self->read_buffer_.data(), length);
        self->process_input();
        // While a request runs, a caller may send only so much ahead.
        if (self->in_.bytes.size() < max_pg_message * 2) {
            self->read_some();
        }
    });
}

void client_session::process_input() {
    while (!is_busy() && !closed_ && !closing_) {
        const auto m = next_message(in_);
        if (!m) {
            break;
        }
        if (in_.startup) {
            handle_startup(*m);
        } else {
            handle(*m);
        }
    }
    if (in_.broken && !closing_ && !is_busy()) {
        fail_session({.code = result_code::too_large, .run = run_state::not_run, .fatal = true});
    }
    send();
    if (!is_busy()) {
        read_some();
    }
}

void client_session::send() {
    if (write_active_ || closed_) {
        return;
    }
    if (out_.empty()) {
        if (closing_) {
            stream_.shutdown();
            close();
        }
        return;
    }
    write_active_ = true;
    writing_.swap(out_);
    out_.clear();
    stream_.write(writing_, [self = shared_from_this()](bool ok) {
        self->write_active_ = false;
        self->writing_.clear();
        if (!ok) {
            self->close();
            return;
        }
        if (self->out_.size() < resume_below) {
            self->path_->resume();
        }
        self->send();
    });
}

void client_session::forward(std::string_view bytes) {
    out_.append(bytes);
    if (out_.size() > pause_above) {
        path_->pause();
    }
    send();
}

//-----------------------------------------------------------------------------
// [startup]
//-----------------------------------------------------------------------------

void client_session::handle_startup(const pg_message& m) {
    const auto request = parse_startup(m.body);
    if (!request) {
        protocol_error("a startup packet that cannot be read");
        return;
    }
    if (request->code == pg_cancel_request) {
        if (!owner_.cancel(request->process, request->secret) && owner_.on_foreign_cancel) {
            owner_.on_foreign_cancel(request->process, request->secret);
        }
        closing_ = true;
        send();
        return;
    }
    if (request->code == pg_gss_request || (request->code == pg_ssl_request && !owner_.tls)) {
        out_ += 'N';
        return;
    }
    if (request->code == pg_ssl_request) {
        securing_ = true;
        const auto self = shared_from_this();
        writing_ = "S";
        write_active_ = true;
        stream_.write(writing_, [self](bool ok) {
            self->write_active_ = false;
            if (!ok) {
                self->close();
                return;
            }
            self->stream_.start_tls(*self->owner_.tls, [self](bool secured) {
                self->securing_ = false;
                if (!secured) {
                    self->close();
                    return;
                }
                self->process_input();
            });
        });
        return;
    }
    if (request->code != pg_protocol_3) {
        protocol_error("only version 3 of the protocol is spoken");
        return;
    }
    greet(*request);
}

// A route, where the table has one of the caller's database's name, says what its requests are owed.
void client_session::follow_route(session_state& state) const {
    const route_entry* route = find_route(owner_.cluster.cluster().current_table, state.group.value);
    if (route == nullptr) {
        return;
    }
    state.group = route->group;
    state.service = route->service;
    apply_route(state.settings, *route);
}

bool client_session::apply_startup_options(const startup_request& request) {
    const auto options = request.parameters.find("options");
    if (options != request.parameters.end()) {
        std::istringstream words(options->second);
        std::string word;
        while (words >> word) {
            if (word == "-c") {
                continue;
            }
            const std::string text =
                word.starts_with("-c") ? word.substr(2) : word.substr(word.starts_with("--") ? 2 : 0);
            const auto equals = text.find('=');
            if (equals == std::string::npos ||
                !change_setting("set " + text.substr(0, equals) + " = " + quote(text.substr(equals + 1)))) {
                return false;
            }
        }
    }
    return std::all_of(request.parameters.begin(), request.parameters.end(), [this](const auto& parameter) {
        const auto& [name, value] = parameter;
        return is_harmless_parameter(name, value) || change_setting("set " + name + " = " + quote(value));
    });
}

void client_session::greet(const startup_request& request) {
    in_.startup = false;
    const auto parameter = [&request](const std::string& name, const std::string& otherwise) {
        const auto found = request.parameters.find(name);
        return found == request.parameters.end() ? otherwise : found->second;
    };
    const std::string user = parameter("user", "");
    session_state& state = path_->state;
    state.service = {user};
    state.group = {parameter("database", user)};
    state.arrived_at = now();
    follow_route(state);
    if (owner_.is_draining()) {
        fail_session({.code = result_code::stopping, .run = run_state::not_run, .fatal = true});
        return;
    }
    if (owner_.session_count() > owner_.config.max_clients) {
        fail_session({.code = result_code::overloaded, .run = run_state::not_run, .fatal = true});
        return;
    }
    if (request.parameters.contains("replication")) {
        fail_session({.code = result_code::unsupported,
                      .run = run_state::not_run,
                      .detail = "replication",
                      .fatal = true});
        return;
    }
    if (owner_.cluster.cluster().current_table.requires_key) {
        fail_session({.code = result_code::unknown_key,
                      .run = run_state::not_run,
                      .detail = "keys of workspaces are not taken over this protocol yet",
                      .fatal = true});
        return;
    }
    const service_entry* service = find_service(owner_.cluster.cluster().current_table, state.service);
    if (service == nullptr) {
        const bool known = owner_.cluster.has_confirmed_state();
        fail_session({.code = known ? result_code::unknown_service : result_code::no_lease,
                      .run = run_state::not_run,
                      .retry_after = known ? duration{0} : duration{std::chrono::milliseconds{500}},
                      .fatal = true});
        return;
    }
    path_->service = *service;
    if (!apply_startup_options(request)) {
        fail_session({.code = result_code::bad_setting, .run = run_state::not_run, .fatal = true});
        return;
    }
    std::string ok;
    put_u32(ok, 0);
    put_message(out_, 'R', ok);
    put_parameter(out_, "server_version", "15.0 (larchpin " LARCHPIN_VERSION ")");
    put_parameter(out_, "server_encoding", "UTF8");
    put_parameter(out_, "client_encoding", "UTF8");
    put_parameter(out_, "DateStyle", "ISO, MDY");
    put_parameter(out_, "integer_datetimes", "on");
    put_parameter(out_, "standard_conforming_strings", "on");
    put_token();
    std::string key;
    put_u32(key, number_);
    put_u32(key, secret_);
    put_message(out_, 'K', key);
    put_ready(out_, 'I');
    started_ = true;
}

//-----------------------------------------------------------------------------
// [simple query]
//-----------------------------------------------------------------------------

void client_session::handle(const pg_message& m) {
    if (skip_to_sync_ && m.type != 'S' && m.type != 'X') {
        return;
    }
    switch (m.type) {
    case 'Q': {
        const auto text = parse_text(m.body);
        if (text) {
            handle_simple(*text);
        } else {
            protocol_error("a query without its end");
        }
        return;
    }
    case 'P': handle_parse(m); return;
    case 'B': handle_bind(m); return;
    case 'D': handle_describe(m); return;
    case 'E': handle_execute(m); return;
    case 'C': handle_close(m); return;
    case 'S': handle_sync(); return;
    case 'H': send(); return;
    case 'X':
        closing_ = true;
        send();
        return;
    default: protocol_error("a message of an unknown kind"); return;
    }
}

void client_session::handle_simple(const std::string& text) {
    const statement_kind kind = classify_statement(text);
    if (answer_locally(kind, text) != local_answer::none) {
        put_token();
        put_ready(out_, transaction_status());
        return;
    }
    backend_request request;
    request.shape = request_shape::simple;
    request.text = text;
    begin_request(kind, request, false, true);
}

//-----------------------------------------------------------------------------
// [extended query]
//-----------------------------------------------------------------------------

void client_session::handle_parse(const pg_message& m) {
    const auto request = parse_parse(m.body);
    if (!request) {
        protocol_error("a parse message that cannot be read");
        return;
    }
    if (statements_.size() >= max_prepared && !statements_.contains(request->statement)) {
        put_error(out_, {.code = result_code::overloaded,
                         .run = run_state::not_run,
                         .detail = "too many prepared statements"});
        skip_to_sync_ = true;
        return;
    }
    statements_[request->statement] = *request;
    put_message(out_, '1', "");
}

void client_session::handle_bind(const pg_message& m) {
    const auto request = parse_bind(m.body);
    if (!request || !statements_.contains(request->statement)) {
        put_error(out_, {.code = result_code::protocol_violation,
                         .run = run_state::not_run,
                         .detail = "no such prepared statement"});
        skip_to_sync_ = true;
        return;
    }
    const auto& formats = request->result_formats;
    if (std::adjacent_find(formats.begin(), formats.end(), std::not_equal_to<>()) != formats.end()) {
        put_error(out_, {.code = result_code::unsupported,
                         .run = run_state::not_run,
                         .detail = "different formats for result columns"});
        skip_to_sync_ = true;
        return;
    }
    if (portals_.size() >= max_prepared) {
        portals_.clear();
    }
    portals_[request->portal] = *request;
    describe_next_ = false;
    put_message(out_, '2', "");
}

void client_session::handle_describe(const pg_message& m) {
    const auto target = parse_target(m.body);
    if (!target) {
        protocol_error("a describe message that cannot be read");
        return;
    }
    if (target->kind == 'P') {
        describe_next_ = true; // answered by the execute that follows
        return;
    }
    const auto statement = statements_.find(target->name);
    if (statement == statements_.end()) {
        put_error(out_, {.code = result_code::protocol_violation,
                         .run = run_state::not_run,
                         .detail = "no such prepared statement"});
        skip_to_sync_ = true;
        return;
    }
    const statement_kind kind = classify_statement(statement->second.query);
    if (kind != statement_kind::read_hint && kind != statement_kind::write) {
        std::string no_parameters;
        put_u16(no_parameters, 0);
        put_message(out_, 't', no_parameters);
        put_message(out_, 'n', "");
        return;
    }
    backend_request request;
    request.shape = request_shape::describe;
    request.text = statement->second.query;
    request.types = statement->second.types;
    begin_request(statement_kind::read_hint, request, true, true);
}

void client_session::handle_execute(const pg_message& m) {
    const auto request = parse_execute(m.body);
    const auto portal = request ? portals_.find(request->portal) : portals_.end();
    if (portal == portals_.end() || !statements_.contains(portal->second.statement)) {
        put_error(
            out_,
            {.code = result_code::protocol_violation, .run = run_state::not_run, .detail = "no such portal"});
        skip_to_sync_ = true;
        return;
    }
    if (request->max_rows != 0) {
        put_error(out_, {.code = result_code::unsupported,
                         .run = run_state::not_run,
                         .detail = "fetching a portal in parts"});
        skip_to_sync_ = true;
        return;
    }
    const parse_request& statement = statements_[portal->second.statement];
    const bool described = describe_next_;
    describe_next_ = false;
    const statement_kind kind = classify_statement(statement.query);
    if (described && kind != statement_kind::read_hint && kind != statement_kind::write) {
        put_message(out_, 'n', "");
    }
    const local_answer answer = answer_locally(kind, statement.query);
    if (answer != local_answer::none) {
        skip_to_sync_ = answer == local_answer::refused;
        return;
    }
    backend_request sent;
    sent.shape = request_shape::extended;
    sent.text = statement.query;
    sent.types = statement.types;
    sent.values = portal->second.values;
    sent.formats = portal->second.formats;
    sent.result_format = portal->second.result_formats.empty() ? 0 : portal->second.result_formats.front();
    begin_request(kind, sent, true, described);
}

void client_session::handle_close(const pg_message& m) {
    const auto target = parse_target(m.body);
    if (!target) {
        protocol_error("a close message that cannot be read");
        return;
    }
    if (target->kind == 'S') {
        statements_.erase(target->name);
    } else {
        portals_.erase(target->name);
    }
    put_message(out_, '3', "");
}

void client_session::handle_sync() {
    skip_to_sync_ = false;
    describe_next_ = false;
    put_token();
    put_ready(out_, transaction_status());
    if (stopping_) {
        stop_when_idle();
    }
}

//-----------------------------------------------------------------------------
// [answers made here]
//-----------------------------------------------------------------------------

// Answers a statement that needs no backend server.
client_session::local_answer client_session::answer_locally(statement_kind kind, const std::string& text) {
    const bool in_transaction = path_->in_transaction();
    if (failed_transaction_) {
        if (kind == statement_kind::commit || kind == statement_kind::rollback) {
            failed_transaction_ = false;
            put_command_complete(out_, "ROLLBACK");
        } else {
            put_error(out_, {.code = result_code::connection_lost,
                             .run = run_state::not_run,
                             .detail = "the transaction was lost; end it with ROLLBACK"});
            return local_answer::refused;
        }
        return local_answer::done;
    }
    switch (kind) {
    case statement_kind::empty: put_message(out_, 'I', ""); return local_answer::done;
    case statement_kind::unsupported:
        put_error(out_, {.code = result_code::unsupported,
                         .run = run_state::not_run,
                         .detail = std::string(unsupported_feature(text))});
        return local_answer::refused;
    case statement_kind::discard:
        settings_.clear();
        path_->settings_text.clear();
        statements_.clear();
        put_command_complete(out_, "DISCARD ALL");
        return local_answer::done;
    case statement_kind::set_session: {
        const setting_change change = parse_setting(text);
        if (in_transaction && !change.name.starts_with(own_prefix)) {
            return local_answer::none; // ends with the transaction if that is rolled back: the server knows
                                       // how
        }
        if (!change_setting(text)) {
            put_error(out_,
                      {.code = result_code::bad_setting, .run = run_state::not_run, .detail = change.name});
            return local_answer::refused;
        }
        put_command_complete(out_, change.reset ? "RESET" : "SET");
        return local_answer::done;
    }
    case statement_kind::commit:
    case statement_kind::rollback:
        if (!in_transaction) {
            put_command_complete(out_, kind == statement_kind::commit ? "COMMIT" : "ROLLBACK");
        }
        return in_transaction ? local_answer::none : local_answer::done;
    default: return local_answer::none;
    }
}

bool client_session::change_setting(const std::string& text) {
    const setting_change change = parse_setting(text);
    if (change.name.starts_with(own_prefix)) {
        return apply_setting(path_->state, change.name.substr(own_prefix.size()), change.value);
    }
    if (!is_setting_name(change.name) || settings_.size() >= max_session_settings) {
        return false;
    }
    if (change.name == "all") {
        settings_.clear();
    } else if (change.reset) {
        settings_.erase(change.name);
    } else if (!change.local) {
        settings_[change.name] = change.value;
    }
    path_->settings_text = to_statements(settings_);
    return true;
}

void client_session::put_token() {
    if (!path_->state.positions.written) {
        return;
    }
    const std::string token = format_token(*path_->state.positions.written);
    if (token != token_sent_) {
        token_sent_ = token;
        put_parameter(out_, "larchpin.session", token);
    }
}

char client_session::transaction_status() const {
    if (failed_transaction_) {
        return 'E';
    }
    return path_->transaction_status();
}

//-----------------------------------------------------------------------------
// [requests]
//-----------------------------------------------------------------------------

path_front client_session::make_front() {
    path_front front;
    front.split = [this](std::string& bytes, bool holds_acknowledgement, bool held) {
        return split_answer(bytes, holds_acknowledgement, held);
    };
    front.forward = [this](std::string_view bytes) { forward(bytes); };
    front.finished = [this](const request_result& result) { on_finished(result); };
    return front;
}

void client_session::begin_request(statement_kind kind, const backend_request& request, bool extended,
                                   bool want_description) {
    session_state& state = path_->state;
    const read_mode mode = state.settings.mode;
    const bool may_read = kind == statement_kind::read_hint || kind == statement_kind::begin_read_only ||
                          (kind == statement_kind::begin && mode == read_mode::read);
    const auto semicolon = request.text.find(';');
    caller_request r;
    r.request = request;
    r.kind = kind;
    r.may_use_replica = may_read && mode != read_mode::primary && state.settings.idempotency_key.empty();
    r.surely_reads = r.may_use_replica && mode == read_mode::read;
    r.looks_like_read = r.may_use_replica && !may_call_functions(request.text);
    r.one_statement = request.shape == request_shape::extended || semicolon == std::string::npos ||
                      semicolon + 1 == request.text.size();
    r.timeout = effective_deadline(state, path_->service);
    if (!path_->in_transaction() && !r.may_use_replica) {
        r.idempotency_key.swap(state.settings.idempotency_key);
    }
    extended_ = extended;
    want_description_ = want_description;
    forwarded_ = false;
    shape_ = request.shape;
    kind_ = kind;
    path_->begin(std::move(r));
}

std::size_t client_session::split_answer(std::string& bytes, bool holds_acknowledgement, bool held) {
    if (extended_ && shape_ == request_shape::extended) {
        if (!want_description_) {
            bytes = without_description(bytes);
        } else if (!forwarded_ && !held && starts_with_completion(bytes) &&
                   (kind_ == statement_kind::write || kind_ == statement_kind::read_hint)) {
            put_message(out_, 'n', "");
        }
    }
    std::size_t split = bytes.size();
    if (holds_acknowledgement) {
        split = held ? 0 : find_acknowledgement(bytes);
    }
    forwarded_ = forwarded_ || split > 0;
    return split;
}

void client_session::on_finished(const request_result& result) {
    failed_transaction_ = failed_transaction_ || result.transaction_lost;
    if (result.end == request_end::refused) {
        put_error(out_, {.code = result.code, .run = result.run, .retry_after = result.retry_after});
    } else {
        out_.append(result.bytes);
    }
    skip_to_sync_ = extended_ && result.end != request_end::success;
    if (!extended_) {
        put_token();
        put_ready(out_, transaction_status());
        if (stopping_) {
            stop_when_idle();
        }
    }
    // Not from inside the connection's callback: the next request may use the same connection.
    asio::post(owner_.io, [self = shared_from_this()] { self->process_input(); });
}

session_handle make_pg_session(entry& owner, session_number number, std::uint32_t secret,
                               asio::ip::tcp::socket socket) {
    const auto session = std::make_shared<client_session>(owner, number, secret, std::move(socket));
    return {.secret = secret,
            .start = [session] { session->start(); },
            .poke = [session] { session->poke(); },
            .stop_when_idle = [session] { session->stop_when_idle(); },
            .end_if_idle = [session] { session->end_if_idle(); },
            .close = [session] { session->close(); },
            .cancel = [session] { session->cancel(); }};
}

} // namespace larchpin
