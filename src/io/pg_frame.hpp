// Framing of the PostgreSQL v3 protocol, server side: no library has it. Contents beyond what a proxy has to
// look at pass through as bytes.
//
// Usage
//   pg_input in;  in.bytes.append(...);
//   while (auto m = next_message(in)) ...          // in.broken: the peer breaks the protocol
//   std::string out;  put_message(out, 'Z', "I");
//
// Index
//   [input]  [fields]  [output]
#pragma once

#include "core/result_codes.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [input]
//-----------------------------------------------------------------------------

constexpr std::size_t max_pg_message = 16U * 1024 * 1024; // of a caller's message; larger is refused
constexpr std::size_t max_startup_message = 10'000;

struct pg_message {
    char type = 0; // 0: a startup packet
    std::string body;
    bool operator==(const pg_message&) const = default;
};

struct pg_input {
    std::string bytes;
    std::size_t offset = 0;
    bool startup = true; // the next message has no type byte
    bool broken = false; // a length out of range: nothing after it can be read
};

std::optional<pg_message> next_message(pg_input& in);

// Special codes in place of the protocol version.
constexpr std::uint32_t pg_protocol_3 = 196608;
constexpr std::uint32_t pg_ssl_request = 80877103;
constexpr std::uint32_t pg_gss_request = 80877104;
constexpr std::uint32_t pg_cancel_request = 80877102;

struct startup_request {
    std::uint32_t code = 0;
    std::map<std::string, std::string> parameters; // protocol 3
    std::uint32_t process = 0;                     // cancel
    std::uint32_t secret = 0;                      // cancel
    bool operator==(const startup_request&) const = default;
};
std::optional<startup_request> parse_startup(const std::string& body);

struct parse_request {
    std::string statement;
    std::string query;
    std::vector<std::uint32_t> types;
    bool operator==(const parse_request&) const = default;
};
std::optional<parse_request> parse_parse(const std::string& body);

struct bind_request {
    std::string portal;
    std::string statement;
    std::vector<int> formats; // one a parameter
    std::vector<std::optional<std::string>> values;
    std::vector<int> result_formats; // none, one for all, or one a column
    bool operator==(const bind_request&) const = default;
};
std::optional<bind_request> parse_bind(const std::string& body);

struct target_request { // describe and close
    char kind = 0;      // 'S' statement, 'P' portal
    std::string name;
    bool operator==(const target_request&) const = default;
};
std::optional<target_request> parse_target(const std::string& body);

struct execute_request {
    std::string portal;
    std::uint32_t max_rows = 0;
    bool operator==(const execute_request&) const = default;
};
std::optional<execute_request> parse_execute(const std::string& body);

// A text that ends with a zero byte (simple query, password).
std::optional<std::string> parse_text(const std::string& body);

//-----------------------------------------------------------------------------
// [fields]
//-----------------------------------------------------------------------------

// Reads big-endian numbers and texts; `good` turns false at the first that does not fit.
struct field_reader {
    std::string_view rest;
    bool good = true;
};
std::uint32_t read_u32(field_reader& r);
std::uint16_t read_u16(field_reader& r);
std::string read_text(field_reader& r);
std::string read_bytes(field_reader& r, std::size_t count);

void put_u32(std::string& out, std::uint32_t v);
void put_u16(std::string& out, std::uint16_t v);
void put_text(std::string& out, std::string_view text);

//-----------------------------------------------------------------------------
// [output]
//-----------------------------------------------------------------------------

void put_message(std::string& out, char type, std::string_view body);
void put_ready(std::string& out, char transaction_status);
void put_parameter(std::string& out, std::string_view name, std::string_view value);
void put_command_complete(std::string& out, std::string_view tag);

// An error of larchpin's own. Besides the standard fields it carries, for programs, 'k' the numbered code,
// 'o' the outcome (not-run, ran, unknown) and 'a' the milliseconds after which to come back; the detail says
// the same to a person.
struct caller_error {
    result_code code = result_code::ok;
    run_state run = run_state::not_run;
    duration retry_after{0};
    std::string detail = {};
    bool fatal = false; // the connection ends after it
    auto operator<=>(const caller_error&) const = default;
};
void put_error(std::string& out, const caller_error& e);

} // namespace larchpin
