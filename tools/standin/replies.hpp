// Answers of the stand-in as messages of the callers' protocol; every column is text.
#pragma once

#include <string>
#include <vector>

namespace larchpin::standin {

std::string error_body(const std::string& state, const std::string& text);
void put_columns(std::string& out, const std::vector<std::string>& columns);
void put_row(std::string& out, const std::vector<std::string>& values);

} // namespace larchpin::standin
