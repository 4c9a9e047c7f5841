#include "replies.hpp"

#include "io/pg_frame.hpp"

#include <utility>

namespace larchpin::standin {

std::string error_body(const std::string& state, const std::string& text) {
    std::string body;
    for (const auto& [field, value] :
         {std::pair<char, std::string>{'S', "ERROR"}, {'V', "ERROR"}, {'C', state}, {'M', text}}) {
        body.push_back(field);
        put_text(body, value);
    }
    body.push_back('\0');
    return body;
}

void put_columns(std::string& out, const std::vector<std::string>& columns) {
    constexpr std::uint32_t text_type = 25;
    std::string body;
    put_u16(body, static_cast<std::uint16_t>(columns.size()));
    for (const std::string& name : columns) {
        put_text(body, name);
        put_u32(body, 0);
        put_u16(body, 0);
        put_u32(body, text_type);
        put_u16(body, 0xffff);
        put_u32(body, 0xffffffff);
        put_u16(body, 0);
    }
    put_message(out, 'T', body);
}

void put_row(std::string& out, const std::vector<std::string>& values) {
    std::string body;
    put_u16(body, static_cast<std::uint16_t>(values.size()));
    for (const std::string& v : values) {
        put_u32(body, static_cast<std::uint32_t>(v.size()));
        body += v;
    }
    put_message(out, 'D', body);
}

} // namespace larchpin::standin
