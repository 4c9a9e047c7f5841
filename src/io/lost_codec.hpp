// What renewals and their replies say of lost instances, on the wire: protobuf fields that are appended to
// the bytes of the generated messages.
//
//   renewal        uint64 lost_number = 9;
//   renewal_reply  lost_news lost = 10;
//   lost_news      { uint64 number = 1; uint64 instances_revision = 2; bytes bits = 3; }
#pragma once

#include "core/lost_instances.hpp"

#include <optional>
#include <string>

namespace larchpin {

// Nothing is appended while nobody is lost.
void append_lost_number(std::string& renewal, std::uint64_t number);
std::uint64_t read_lost_number(const std::string& renewal);

void append_lost_news(std::string& reply, const std::optional<lost_news>& news);
// Nothing where the reply has none, or is no message.
std::optional<lost_news> read_lost_news(const std::string& reply);

} // namespace larchpin
