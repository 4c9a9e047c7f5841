// See pg_connection.hpp.
//
// Index
//   [results as messages]  [connecting]  [running]  [reading]
#include "io/pg_connection.hpp"

#include "io/backend_sql.hpp"
#include "io/log.hpp"
#include "io/pg_frame.hpp"
#include "io/workers.hpp"

#include <boost/asio/post.hpp>

#include <libpq-fe.h>

#include <array>
#include <atomic>

namespace larchpin {

namespace asio = boost::asio;

namespace {

constexpr std::size_t flush_threshold = 32768;
constexpr int max_open_cancels = 64; // waiting ones included; the statements then run to their end

//-----------------------------------------------------------------------------
// [results as messages]
//-----------------------------------------------------------------------------

void put_row_description(std::string& out, const PGresult* result) {
    std::string body;
    const int columns = PQnfields(result);
    put_u16(body, static_cast<std::uint16_t>(columns));
    for (int i = 0; i < columns; ++i) {
        put_text(body, PQfname(result, i));
        put_u32(body, PQftable(result, i));
        put_u16(body, static_cast<std::uint16_t>(PQftablecol(result, i)));
        put_u32(body, PQftype(result, i));
        put_u16(body, static_cast<std::uint16_t>(PQfsize(result, i)));
        put_u32(body, static_cast<std::uint32_t>(PQfmod(result, i)));
        put_u16(body, static_cast<std::uint16_t>(PQfformat(result, i)));
    }
    put_message(out, 'T', body);
}

void put_rows(std::string& out, const PGresult* result) {
    const int columns = PQnfields(result);
    for (int row = 0; row < PQntuples(result); ++row) {
        std::string body;
        put_u16(body, static_cast<std::uint16_t>(columns));
        for (int i = 0; i < columns; ++i) {
            if (PQgetisnull(result, row, i) != 0) {
                put_u32(body, 0xffffffffU);
                continue;
            }
            const auto length = static_cast<std::size_t>(PQgetlength(result, row, i));
            put_u32(body, static_cast<std::uint32_t>(length));
            body.append(PQgetvalue(result, row, i), length);
        }
        put_message(out, 'D', body);
    }
}

void put_server_error(std::string& out, const PGresult* result) {
    constexpr std::string_view fields = "SVCMDHPpqWstcdnFLR";
    std::string body;
    for (const char field : fields) {
        const char* text = PQresultErrorField(result, field);
        if (text != nullptr) {
            body.push_back(field);
            put_text(body, text);
        }
    }
    body.push_back('\0');
    put_message(out, 'E', body);
}

void put_parameter_types(std::string& out, const PGresult* result) {
    std::string body;
    const int count = PQnparams(result);
    put_u16(body, static_cast<std::uint16_t>(count));
    for (int i = 0; i < count; ++i) {
        put_u32(body, PQparamtype(result, i));
    }
    put_message(out, 't', body);
}

std::string join_first_row(const PGresult* result) {
    std::string joined;
    for (int i = 0; i < PQnfields(result); ++i) {
        joined += (i == 0 ? "" : "\t");
        joined += PQgetvalue(result, 0, i);
    }
    return joined;
}

char transaction_letter(const PGconn* connection) {
    switch (PQtransactionStatus(connection)) {
    case PQTRANS_INTRANS: return 'T';
    case PQTRANS_INERROR: return 'E';
    default: return 'I';
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [connecting]
//-----------------------------------------------------------------------------

pg_connection::pg_connection(asio::io_context& io, backend_target target)
    : io_(io), target_(std::move(target)), connect_timer_(io) {}

pg_connection::~pg_connection() {
    if (socket_) {
        socket_->release(); // libpq closes it
    }
    if (connection_ != nullptr) {
        PQfinish(connection_);
    }
}

void pg_connection::connect(connect_callback done) {
    on_connect_ = std::move(done);
    const std::string port = std::to_string(target_.port);
    const std::array<const char*, 8> keys{
        "hostaddr", "port", "dbname", "user", "password", "application_name", "client_encoding", nullptr};
    const std::array<const char*, 8> values{target_.host.c_str(),
                                            port.c_str(),
                                            target_.database.c_str(),
                                            target_.user.c_str(),
                                            target_.password.c_str(),
                                            "larchpin",
                                            "UTF8",
                                            nullptr};
    connection_ = PQconnectStartParams(keys.data(), values.data(), 0);
    if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD || PQsocket(connection_) < 0) {
        asio::post(io_, [self = shared_from_this()] { self->fail(); });
        return;
    }
    PQsetNoticeProcessor(
        connection_, [](void*, const char*) {}, nullptr);
    socket_.emplace(io_, PQsocket(connection_));
    connect_timer_.expires_after(target_.connect_timeout);
    connect_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->on_connect_) {
            self->fail();
        }
    });
    // libpq asks first for writability.
    socket_->async_wait(asio::posix::stream_descriptor::wait_write,
                        [self = shared_from_this()](const boost::system::error_code& error) {
                            if (!error) {
                                self->poll_connect();
                            }
                        });
}

void pg_connection::poll_connect() {
    if (broken_) {
        return;
    }
    const PostgresPollingStatusType status = PQconnectPoll(connection_);
    if (PQsocket(connection_) >= 0 && socket_ && socket_->native_handle() != PQsocket(connection_)) {
        socket_->release();
        socket_.emplace(io_, PQsocket(connection_));
    }
    const auto again = [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
            self->poll_connect();
        }
    };
    switch (status) {
    case PGRES_POLLING_READING: socket_->async_wait(asio::posix::stream_descriptor::wait_read, again); return;
    case PGRES_POLLING_WRITING:
        socket_->async_wait(asio::posix::stream_descriptor::wait_write, again);
        return;
    case PGRES_POLLING_OK: break;
    default: fail(); return;
    }
    connect_timer_.cancel();
    PQsetnonblocking(connection_, 1);
    wait_readable(); // notices the server's end while idle
    const auto done = std::move(on_connect_);
    on_connect_ = nullptr;
    if (done) {
        done(connect_result::connected);
    }
}

//-----------------------------------------------------------------------------
// [running]
//-----------------------------------------------------------------------------

void pg_connection::run(const backend_request& request, backend_sink sink) {
    sink_ = std::move(sink);
    outcome_ = backend_outcome{};
    running_ = true;
    sent_ = false;
    shape_ = request.shape;
    described_parse_ = false;
    row_description_sent_ = false;
    has_first_row_ = false;
    int accepted = 0;
    if (broken_ || connection_ == nullptr) {
        asio::post(io_, [self = shared_from_this()] { self->finish(false); });
        return;
    }
    switch (request.shape) {
    case request_shape::simple: accepted = PQsendQuery(connection_, request.text.c_str()); break;
    case request_shape::describe:
        accepted = PQsendPrepare(connection_, "", request.text.c_str(),
                                 static_cast<int>(request.types.size()), request.types.data());
        break;
    case request_shape::extended: {
        std::vector<const char*> values;
        std::vector<int> lengths;
        for (const auto& v : request.values) {
            values.push_back(v ? v->data() : nullptr);
            lengths.push_back(v ? static_cast<int>(v->size()) : 0);
        }
        std::vector<Oid> types = request.types;
        types.resize(values.size(), 0);
        accepted = PQsendQueryParams(connection_, request.text.c_str(), static_cast<int>(values.size()),
                                     types.data(), values.data(), lengths.data(), request.formats.data(),
                                     request.result_format);
        break;
    }
    }
    sent_ = true; // libpq may have handed bytes to the kernel already
    if (accepted == 0) {
        asio::post(io_, [self = shared_from_this()] { self->fail(); });
        return;
    }
    if (request.shape != request_shape::describe) {
        PQsetSingleRowMode(connection_);
    }
    flush();
    wait_readable();
}

void pg_connection::flush() {
    const int state = PQflush(connection_);
    if (state < 0) {
        fail();
    } else if (state > 0) {
        wait_writable();
    }
}

void pg_connection::wait_writable() {
    if (writing_ || broken_) {
        return;
    }
    writing_ = true;
    socket_->async_wait(asio::posix::stream_descriptor::wait_write,
                        [self = shared_from_this()](const boost::system::error_code& error) {
                            self->writing_ = false;
                            if (!error && !self->broken_) {
                                self->flush();
                            }
                        });
}

void pg_connection::cancel_running() {
    if (connection_ == nullptr || broken_ || !running_) {
        return;
    }
    // PQcancel opens a connection of its own and blocks, for as long as the server is silent.
    static std::atomic<int> open_cancels{0};
    PGcancel* cancel = open_cancels < max_open_cancels ? PQgetCancel(connection_) : nullptr;
    if (cancel == nullptr) {
        log_event(severity::warning, "statement_not_cancelled",
                  {{"open_cancels", static_cast<std::int64_t>(open_cancels.load())}});
        return;
    }
    ++open_cancels;
    run_on_worker([cancel] {
        std::array<char, 256> problem{};
        PQcancel(cancel, problem.data(), static_cast<int>(problem.size()));
        PQfreeCancel(cancel);
        --open_cancels;
    });
}

void pg_connection::pause() {
    paused_ = true;
}

void pg_connection::resume() {
    if (!paused_) {
        return;
    }
    paused_ = false;
    if (running_ && !broken_) {
        drain_results();
        wait_readable();
    }
}

void pg_connection::close() {
    if (!broken_) {
        fail();
    }
}

//-----------------------------------------------------------------------------
// [reading]
//-----------------------------------------------------------------------------

void pg_connection::wait_readable() {
    if (reading_ || broken_ || paused_) {
        return;
    }
    reading_ = true;
    socket_->async_wait(asio::posix::stream_descriptor::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& error) {
                            self->reading_ = false;
                            if (!error && !self->broken_) {
                                self->on_readable();
                            }
                        });
}

void pg_connection::on_readable() {
    if (PQconsumeInput(connection_) == 0) {
        // What came before the end may still be a whole answer.
        if (running_) {
            drain_results();
        }
        fail();
        return;
    }
    flush();
    if (broken_) {
        return;
    }
    if (running_) {
        drain_results();
    }
    wait_readable();
}

void pg_connection::drain_results() {
    const auto self = shared_from_this(); // a sink may drop the last reference
    while (running_ && !paused_ && PQisBusy(connection_) == 0) {
        PGresult* result = PQgetResult(connection_);
        if (result == nullptr) {
            if (shape_ == request_shape::describe && !described_parse_ && !outcome_.failed) {
                described_parse_ = true;
                if (PQsendDescribePrepared(connection_, "") == 0) {
                    fail();
                    return;
                }
                flush();
                continue;
            }
            finish(true);
            return;
        }
        take_result(result);
        PQclear(result);
        if (bytes_.size() >= flush_threshold && sink_.on_bytes) {
            std::string ready;
            ready.swap(bytes_);
            sink_.on_bytes(ready);
        }
    }
    if (running_ && !bytes_.empty() && sink_.on_bytes) {
        std::string ready;
        ready.swap(bytes_);
        sink_.on_bytes(ready);
    }
}

void pg_connection::take_result(PGresult* result) {
    switch (PQresultStatus(result)) {
    case PGRES_SINGLE_TUPLE:
    case PGRES_TUPLES_OK:
        if (!row_description_sent_) {
            put_row_description(bytes_, result);
            row_description_sent_ = true;
        }
        if (sink_.keep_first_row && !has_first_row_ && PQntuples(result) > 0) {
            outcome_.first_value = join_first_row(result);
            has_first_row_ = true;
        }
        put_rows(bytes_, result);
        if (PQresultStatus(result) == PGRES_TUPLES_OK) {
            put_command_complete(bytes_, PQcmdStatus(result));
            row_description_sent_ = false;
        }
        return;
    case PGRES_COMMAND_OK:
        if (shape_ != request_shape::describe) {
            put_command_complete(bytes_, PQcmdStatus(result));
        } else if (described_parse_) {
            put_parameter_types(bytes_, result);
            if (PQnfields(result) > 0) {
                put_row_description(bytes_, result);
            } else {
                put_message(bytes_, 'n', "");
            }
        }
        return;
    case PGRES_EMPTY_QUERY: put_message(bytes_, 'I', ""); return;
    case PGRES_FATAL_ERROR: {
        const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        if (state == nullptr) {
            return; // libpq's own: the connection broke; fail() follows
        }
        if (!outcome_.failed) {
            outcome_.failed = true;
            outcome_.error_code = state;
            outcome_.refusal =
                outcome_.error_code == sqlstate_read_only ? server_refusal::read_only : server_refusal::none;
            put_server_error(outcome_.error_message, result);
        }
        if (!sink_.hold_errors) {
            put_server_error(bytes_, result);
        }
        return;
    }
    default: // COPY was refused by its name; a function may still start one
        fail();
    }
}

void pg_connection::finish(bool answered) {
    if (!running_) {
        return;
    }
    running_ = false;
    outcome_.answered = answered && PQstatus(connection_) == CONNECTION_OK;
    outcome_.transaction = connection_ == nullptr ? 'I' : transaction_letter(connection_);
    if (outcome_.answered && !bytes_.empty() && sink_.on_bytes) {
        std::string ready;
        ready.swap(bytes_);
        sink_.on_bytes(ready);
    }
    bytes_.clear();
    const backend_sink sink = std::move(sink_);
    sink_ = backend_sink{};
    if (sink.on_done) {
        sink.on_done(outcome_);
    }
}

void pg_connection::fail() {
    if (broken_) {
        return;
    }
    const auto self = shared_from_this();
    broken_ = true;
    connect_timer_.cancel();
    if (socket_) {
        boost::system::error_code ignored;
        socket_->cancel(ignored);
        socket_->release();
        socket_.reset();
    }
    if (on_connect_) {
        const auto done = std::move(on_connect_);
        on_connect_ = nullptr;
        done(connect_result::failed);
    }
    finish(false);
    if (connection_ != nullptr) {
        PQfinish(connection_);
        connection_ = nullptr;
    }
}

//-----------------------------------------------------------------------------
// [handle]
//-----------------------------------------------------------------------------

std::shared_ptr<backend_connection> make_pg_connection(asio::io_context& io, const backend_target& target) {
    const auto behind = std::make_shared<pg_connection>(io, target);
    auto handle = std::make_shared<backend_connection>();
    handle->connect = [behind](connect_callback done) { behind->connect(std::move(done)); };
    handle->run = [behind](const backend_request& request, backend_sink sink) {
        behind->run(request, std::move(sink));
    };
    handle->cancel_running = [behind] { behind->cancel_running(); };
    handle->pause = [behind] { behind->pause(); };
    handle->resume = [behind] { behind->resume(); };
    handle->close = [behind] { behind->close(); };
    handle->is_open = [behind] { return behind->is_open(); };
    handle->is_running = [behind] { return behind->is_running(); };
    return handle;
}

} // namespace larchpin
