// The operators' table as a TOML file, for `larchpinctl get` and `apply`.
#pragma once

#include "core/cluster_state.hpp"
#include "io/settings.hpp"

#include <boost/leaf/result.hpp>

#include <string>

namespace larchpin {

struct table_file {
    revision_number revision = 0; // of the table that was edited
    table content;
    bool operator==(const table_file&) const = default;
};

std::string format_table(const table_file& t);

// Errors: a settings_problem that names line, key and range.
boost::leaf::result<table_file> parse_table(const std::string& text, const std::string& file);

// Lines that start with "+" or "-", for a person; empty where the two are the same.
std::string diff_tables(const table& before, const table& after);

} // namespace larchpin
