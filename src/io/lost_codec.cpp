#include "io/lost_codec.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace larchpin {
namespace {

using google::protobuf::io::ArrayInputStream;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::StringOutputStream;

// The types of fields on the wire, and how a field's tag is made of its number and type.
constexpr std::uint32_t number_type = 0;
constexpr std::uint32_t fixed64_type = 1;
constexpr std::uint32_t bytes_type = 2;
constexpr std::uint32_t fixed32_type = 5;
constexpr unsigned type_bits = 3;

constexpr std::uint32_t lost_number_field = 9;
constexpr std::uint32_t lost_news_field = 10;
constexpr std::uint32_t news_number_field = 1;
constexpr std::uint32_t news_revision_field = 2;
constexpr std::uint32_t news_bits_field = 3;

struct wire_value {
    std::uint64_t number = 0;
    std::string bytes;
};

bool read_value(CodedInputStream& in, std::uint32_t type, wire_value& value) {
    switch (type) {
    case number_type: return in.ReadVarint64(&value.number);
    case fixed64_type: return in.ReadLittleEndian64(&value.number);
    case bytes_type: {
        std::uint32_t length = 0;
        return in.ReadVarint32(&length) && in.ReadString(&value.bytes, static_cast<int>(length));
    }
    case fixed32_type: {
        std::uint32_t number = 0;
        return in.ReadLittleEndian32(&number);
    }
    default: return false;
    }
}

// The last field of this number and type, as messages are read everywhere.
std::optional<wire_value> find_field(const std::string& message, std::uint32_t field, std::uint32_t type) {
    std::optional<wire_value> found;
    ArrayInputStream stream(message.data(), static_cast<int>(message.size()));
    CodedInputStream in(&stream);
    while (const std::uint32_t tag = in.ReadTag()) {
        wire_value value;
        if (!read_value(in, tag & ((1U << type_bits) - 1), value)) {
            break;
        }
        if (tag == (field << type_bits | type)) {
            found = value;
        }
    }
    return found;
}

std::uint64_t find_number(const std::string& message, std::uint32_t field) {
    return find_field(message, field, number_type).value_or(wire_value{}).number;
}

void append_number(std::string& message, std::uint32_t field, std::uint64_t number) {
    StringOutputStream stream(&message);
    CodedOutputStream out(&stream);
    out.WriteTag(field << type_bits | number_type);
    out.WriteVarint64(number);
}

void append_bytes(std::string& message, std::uint32_t field, const std::string& bytes) {
    StringOutputStream stream(&message);
    CodedOutputStream out(&stream);
    out.WriteTag(field << type_bits | bytes_type);
    out.WriteVarint32(static_cast<std::uint32_t>(bytes.size()));
    out.WriteString(bytes);
}

} // namespace

void append_lost_number(std::string& renewal, std::uint64_t number) {
    if (number != 0) {
        append_number(renewal, lost_number_field, number);
    }
}

std::uint64_t read_lost_number(const std::string& renewal) {
    return find_number(renewal, lost_number_field);
}

void append_lost_news(std::string& reply, const std::optional<lost_news>& news) {
    if (!news) {
        return;
    }
    std::string fields;
    append_number(fields, news_number_field, news->number);
    append_number(fields, news_revision_field, news->instances_revision);
    append_bytes(fields, news_bits_field, news->bits);
    append_bytes(reply, lost_news_field, fields);
}

std::optional<lost_news> read_lost_news(const std::string& reply) {
    const auto found = find_field(reply, lost_news_field, bytes_type);
    if (!found) {
        return std::nullopt;
    }
    return lost_news{.number = find_number(found->bytes, news_number_field),
                     .instances_revision = find_number(found->bytes, news_revision_field),
                     .bits =
                         find_field(found->bytes, news_bits_field, bytes_type).value_or(wire_value{}).bytes};
}

} // namespace larchpin
