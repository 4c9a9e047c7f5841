// PostgreSQL backend servers: libpq connections, probes and promotion by SQL.
#pragma once

#include "io/backend_driver.hpp"
#include "io/settings.hpp"

#include <boost/asio/io_context.hpp>

namespace larchpin {

// Both arguments must outlive the driver.
backend_driver make_pg_driver(boost::asio::io_context& io, const settings& config);

// Reads the one row that probe_sql returns; nothing where there was no such row.
std::optional<probe_result> parse_probe_row(const backend_outcome& outcome);

} // namespace larchpin
