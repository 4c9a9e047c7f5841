#include "io/pg_frame.hpp"

#include <algorithm>

namespace larchpin {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned byte_bits = 8;
constexpr std::uint32_t null_length = 0xffffffffU;
constexpr std::size_t compact_threshold = 65536;

std::uint32_t peek_u32(std::string_view bytes) {
    std::uint32_t v = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        v = (v << byte_bits) | static_cast<unsigned char>(bytes[i]);
    }
    return v;
}

template <typename value> std::optional<value> finish(const field_reader& r, value v) {
    return r.good && r.rest.empty() ? std::optional<value>{std::move(v)} : std::nullopt;
}

// Parameter formats are sent for none, one for all, or each.
std::vector<int> spread_formats(const std::vector<int>& sent, std::size_t count, field_reader& r) {
    if (sent.empty()) {
        return std::vector<int>(count, 0);
    }
    if (sent.size() == 1) {
        return std::vector<int>(count, sent.front());
    }
    r.good = r.good && sent.size() == count;
    return sent;
}

std::vector<int> read_formats(field_reader& r) {
    std::vector<int> formats;
    const std::uint16_t count = read_u16(r);
    for (std::uint16_t i = 0; i < count && r.good; ++i) {
        formats.push_back(read_u16(r));
    }
    return formats;
}

} // namespace

//-----------------------------------------------------------------------------
// [input]
//-----------------------------------------------------------------------------

std::optional<pg_message> next_message(pg_input& in) {
    const std::string_view rest = std::string_view(in.bytes).substr(in.offset);
    const std::size_t type_bytes = in.startup ? 0 : 1;
    if (in.broken || rest.size() < type_bytes + length_bytes) {
        return std::nullopt;
    }
    const std::uint32_t length = peek_u32(rest.substr(type_bytes));
    const std::size_t limit = in.startup ? max_startup_message : max_pg_message;
    if (length < length_bytes || length > limit) {
        in.broken = true;
        return std::nullopt;
    }
    if (rest.size() < type_bytes + length) {
        return std::nullopt;
    }
    pg_message m;
    m.type = in.startup ? '\0' : rest.front();
    m.body = std::string(rest.substr(type_bytes + length_bytes, length - length_bytes));
    in.offset += type_bytes + length;
    if (in.offset == in.bytes.size() || in.offset > compact_threshold) {
        in.bytes.erase(0, in.offset);
        in.offset = 0;
    }
    return m;
}

std::optional<startup_request> parse_startup(const std::string& body) {
    field_reader r{.rest = body};
    startup_request s;
    s.code = read_u32(r);
    if (s.code == pg_cancel_request) {
        s.process = read_u32(r);
        s.secret = read_u32(r);
        return finish(r, s);
    }
    if (s.code != pg_protocol_3) {
        return r.good ? std::optional{s} : std::nullopt;
    }
    while (r.good) {
        const std::string name = read_text(r);
        if (name.empty()) {
            break;
        }
        s.parameters[name] = read_text(r);
    }
    return finish(r, s);
}

std::optional<parse_request> parse_parse(const std::string& body) {
    field_reader r{.rest = body};
    parse_request p;
    p.statement = read_text(r);
    p.query = read_text(r);
    const std::uint16_t count = read_u16(r);
    for (std::uint16_t i = 0; i < count && r.good; ++i) {
        p.types.push_back(read_u32(r));
    }
    return finish(r, p);
}

std::optional<bind_request> parse_bind(const std::string& body) {
    field_reader r{.rest = body};
    bind_request b;
    b.portal = read_text(r);
    b.statement = read_text(r);
    const std::vector<int> formats = read_formats(r);
    const std::uint16_t count = read_u16(r);
    for (std::uint16_t i = 0; i < count && r.good; ++i) {
        const std::uint32_t length = read_u32(r);
        if (length == null_length) {
            b.values.emplace_back(std::nullopt);
        } else {
            b.values.emplace_back(read_bytes(r, length));
        }
    }
    b.formats = spread_formats(formats, b.values.size(), r);
    b.result_formats = read_formats(r);
    return finish(r, b);
}

std::optional<target_request> parse_target(const std::string& body) {
    if (body.empty()) {
        return std::nullopt;
    }
    field_reader r{.rest = std::string_view(body).substr(1)};
    target_request t;
    t.kind = body.front();
    t.name = read_text(r);
    r.good = r.good && (t.kind == 'S' || t.kind == 'P');
    return finish(r, t);
}

std::optional<execute_request> parse_execute(const std::string& body) {
    field_reader r{.rest = body};
    execute_request e;
    e.portal = read_text(r);
    e.max_rows = read_u32(r);
    return finish(r, e);
}

std::optional<std::string> parse_text(const std::string& body) {
    field_reader r{.rest = body};
    std::string text = read_text(r);
    return finish(r, std::move(text));
}

//-----------------------------------------------------------------------------
// [fields]
//-----------------------------------------------------------------------------

std::uint32_t read_u32(field_reader& r) {
    if (r.rest.size() < length_bytes) {
        r.good = false;
        return 0;
    }
    const std::uint32_t v = peek_u32(r.rest);
    r.rest.remove_prefix(length_bytes);
    return v;
}

std::uint16_t read_u16(field_reader& r) {
    if (r.rest.size() < 2) {
        r.good = false;
        return 0;
    }
    const auto high = static_cast<unsigned char>(r.rest[0]);
    const auto low = static_cast<unsigned char>(r.rest[1]);
    r.rest.remove_prefix(2);
    return static_cast<std::uint16_t>((high << byte_bits) | low);
}

std::string read_text(field_reader& r) {
    const auto end = r.rest.find('\0');
    if (end == std::string_view::npos) {
        r.good = false;
        return {};
    }
    std::string text(r.rest.substr(0, end));
    r.rest.remove_prefix(end + 1);
    return text;
}

std::string read_bytes(field_reader& r, std::size_t count) {
    if (r.rest.size() < count) {
        r.good = false;
        return {};
    }
    std::string bytes(r.rest.substr(0, count));
    r.rest.remove_prefix(count);
    return bytes;
}

void put_u32(std::string& out, std::uint32_t v) {
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((v >> static_cast<unsigned>(shift)) & 0xffU));
    }
}

void put_u16(std::string& out, std::uint16_t v) {
    out.push_back(static_cast<char>(v >> byte_bits));
    out.push_back(static_cast<char>(v & 0xffU));
}

void put_text(std::string& out, std::string_view text) {
    out.append(text);
    out.push_back('\0');
}

//-----------------------------------------------------------------------------
// [output]
//-----------------------------------------------------------------------------

void put_message(std::string& out, char type, std::string_view body) {
    out.push_back(type);
    put_u32(out, static_cast<std::uint32_t>(body.size() + length_bytes));
    out.append(body);
}

void put_ready(std::string& out, char transaction_status) {
    put_message(out, 'Z', std::string_view(&transaction_status, 1));
}

void put_parameter(std::string& out, std::string_view name, std::string_view value) {
    std::string body;
    put_text(body, name);
    put_text(body, value);
    put_message(out, 'S', body);
}

void put_command_complete(std::string& out, std::string_view tag) {
    std::string body;
    put_text(body, tag);
    put_message(out, 'C', body);
}

void put_error(std::string& out, const caller_error& e) {
    const result_code_entry& entry = describe(e.code);
    const auto number = std::to_string(static_cast<unsigned>(e.code));
    const auto retry_ms = std::chrono::duration_cast<std::chrono::milliseconds>(e.retry_after).count();
    std::string detail = "code=" + number + " run=" + std::string(to_string(e.run));
    if (retry_ms > 0) {
        detail += " retry_after_ms=" + std::to_string(retry_ms);
    }
    if (!e.detail.empty()) {
        detail += ": " + e.detail;
    }
    std::string body;
    const auto field = [&body](char type, std::string_view text) {
        body.push_back(type);
        put_text(body, text);
    };
    field('S', e.fatal ? "FATAL" : "ERROR");
    field('V', e.fatal ? "FATAL" : "ERROR");
    field('C', entry.sqlstate);
    field('M', "larchpin: " + std::string(entry.meaning));
    field('D', detail);
    field('k', number);
    field('o', to_string(e.run));
    field('a', std::to_string(retry_ms));
    body.push_back('\0');
    put_message(out, 'E', body);
}

} // namespace larchpin
