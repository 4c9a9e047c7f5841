// larchpind: the daemon, for callers and backend servers that speak PostgreSQL.
#include "daemon/client_session.hpp"
#include "daemon/daemon.hpp"
#include "daemon/program.hpp"
#include "io/pg_driver.hpp"

namespace {

boost::leaf::result<std::shared_ptr<larchpin::daemon>> make_daemon(boost::asio::io_context& io,
                                                                   const larchpin::settings& s,
                                                                   const larchpin::shared_keys& keys,
                                                                   const std::string& /*file*/) {
    return std::make_shared<larchpin::daemon>(io, s, keys, larchpin::make_pg_driver(io, s),
                                              larchpin::make_pg_session);
}

} // namespace

int main(int argc, char** argv) {
    return larchpin::run_daemon(argc, argv,
                                {.name = "larchpind",
                                 .description = "A database proxy with session consistency: the daemon.",
                                 .settings_file = {},
                                 .make = make_daemon});
}
