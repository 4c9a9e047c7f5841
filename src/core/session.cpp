#include "core/session.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace larchpin {
namespace {

constexpr std::int64_t max_setting_ms = 3'600'000;
constexpr std::size_t max_key_length = 200;
constexpr int hexadecimal = 16;
// Of classes between instances; never changed, since instances of several versions talk to each other.
constexpr std::uint32_t critical_number = 0;
constexpr std::uint32_t normal_number = 1;
constexpr std::uint32_t background_number = 2;

template <typename number> bool parse_number(std::string_view text, number& value, int base = 10) {
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    return result.ec == std::errc{} && result.ptr == end;
}

std::optional<duration> parse_milliseconds(std::string_view text, std::int64_t lowest) {
    std::int64_t ms = 0;
    if (!parse_number(text, ms) || ms < lowest || ms > max_setting_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{ms};
}

std::optional<request_class> parse_class(std::string_view text) {
    if (text == "urgent") {
        return request_class::urgent;
    }
    if (text == "critical") {
        return request_class::critical;
    }
    if (text == "normal") {
        return request_class::normal;
    }
    if (text == "background") {
        return request_class::background;
    }
    return std::nullopt;
}

std::optional<read_mode> parse_mode(std::string_view text) {
    if (text == "hint") {
        return read_mode::hint;
    }
    if (text == "read") {
        return read_mode::read;
    }
    if (text == "primary") {
        return read_mode::primary;
    }
    return std::nullopt;
}

void raise(std::optional<session_token>& mark, const group_id& group, term_number term,
           log_position position) {
    if (!mark || term > mark->term) {
        mark = session_token{.group = group, .term = term, .position = position};
    } else if (term == mark->term) {
        mark->position = std::max(mark->position, position);
    }
}

void raise_known(session_state& s, term_number term, log_position position) {
    raise(s.known, s.group, term, position);
    raise(s.floor, s.group, term, position);
}

void raise_wrote(session_state& s, term_number term, log_position position) {
    raise(s.wrote, s.group, term, position);
    raise_known(s, term, position);
}

// Positions beyond the start of a later term mean nothing in it.
void move_to_term(std::optional<session_token>& mark, const group_record& group) {
    if (!mark || mark->term >= group.term) {
        return;
    }
    mark->position = std::min(mark->position, surviving_position(group, mark->term).value_or(0));
    mark->term = group.term;
}

bool apply_token(session_state& s, const std::string& value) {
    if (value.empty()) {
        s.floor.reset();
        s.known.reset();
        s.wrote.reset();
        s.seen.reset();
        return true;
    }
    const auto token = parse_token(value);
    if (!token || token->group != s.group) {
        return false;
    }
    // A token never lowers what this session has seen itself.
    raise_wrote(s, token->term, token->position);
    return true;
}

template <typename value> bool assign(std::optional<value> parsed, value& target) {
    if (parsed) {
        target = *parsed;
    }
    return parsed.has_value();
}

} // namespace

std::string format_token(const session_token& token) {
    std::array<char, hexadecimal + 1> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), token.position, hexadecimal);
    return token.group.value + "/" + std::to_string(token.term) + "/" + std::string(digits.data(), end.ptr);
}

std::optional<session_token> parse_token(std::string_view text) {
    const auto last = text.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const auto middle = text.rfind('/', last - 1);
    if (middle == std::string_view::npos || middle == 0) {
        return std::nullopt;
    }
    session_token token;
    token.group.value = std::string(text.substr(0, middle));
    const bool read = parse_number(text.substr(middle + 1, last - middle - 1), token.term) &&
                      parse_number(text.substr(last + 1), token.position, hexadecimal);
    return read ? std::optional{token} : std::nullopt;
}

bool apply_setting(session_state& s, std::string_view name, const std::string& value) {
    if (name == "session") {
        return apply_token(s, value);
    }
    if (name == "class") {
        return assign(parse_class(value), s.settings.klass);
    }
    if (name == "read_mode") {
        return assign(parse_mode(value), s.settings.mode);
    }
    if (name == "max_staleness_ms") {
        s.settings.max_staleness = parse_milliseconds(value, 0);
        return s.settings.max_staleness.has_value();
    }
    if (name == "deadline_ms") {
        s.settings.deadline = parse_milliseconds(value, 1);
        return s.settings.deadline.has_value();
    }
    if (name == "idempotency_key") {
        s.settings.idempotency_key = value;
        return value.size() <= max_key_length;
    }
    return false;
}

told_class tell_class(request_class klass) {
    switch (klass) {
    case request_class::urgent: return {.number = critical_number, .urgent = true};
    case request_class::critical: return {.number = critical_number};
    case request_class::normal: return {.number = normal_number};
    case request_class::background: break;
    }
    return {.number = background_number};
}

std::optional<request_class> read_class(const told_class& told) {
    switch (told.number) {
    case critical_number: return told.urgent ? request_class::urgent : request_class::critical;
    case normal_number: return request_class::normal;
    case background_number: return request_class::background;
    default: return std::nullopt;
    }
}

void apply_route(session_settings& settings, const route_entry& route) {
    constexpr unsigned lowest = request_class_count - 1;
    settings.klass = static_cast<request_class>(std::min(route.priority, lowest));
    settings.deadline = route.statement_timeout;
    if (route.consistency == read_consistency::primary) {
        settings.mode = read_mode::primary;
    } else if (route.consistency != read_consistency::session) {
        settings.max_staleness = route.max_staleness;
    }
}

void note_write(session_state& s, term_number term, log_position position) {
    raise_wrote(s, term, position);
}

void note_read(session_state& s, const server_id& server, time_point finished_at) {
    s.seen = seen_read{.server = server, .finished_at = finished_at};
}

void resolve_seen(session_state& s, const group_record& group, const group_positions& positions) {
    if (has_lost_write(s, group)) {
        return; // news of a later term must not cover up what was lost with an earlier one
    }
    adopt_term(s, group);
    if (!s.floor) {
        const auto at_arrival = primary_position_since(positions, group.term, s.arrived_at);
        if (at_arrival) {
            raise(s.floor, s.group, group.term, *at_arrival);
        }
    }
    if (!s.seen) {
        return;
    }
    const auto known = positions.servers.find(s.seen->server);
    if (known == positions.servers.end() || known->second.newest.not_before < s.seen->finished_at) {
        return;
    }
    const position_sample& newest = known->second.newest;
    if (newest.timeline == group.timeline) {
        raise_known(s, group.term, newest.position);
    } else if (newest.timeline < group.timeline && !group.term_starts.empty()) {
        // The server has not followed a new primary yet: of what it showed, this much has survived.
        raise(s.floor, s.group, group.term, std::min(newest.position, group.term_starts.back().position));
    }
    s.seen.reset();
}

bool has_lost_write(const session_state& s, const group_record& group) {
    if (s.settings.forgives_lost_writes || !s.known || s.known->term >= group.term) {
        return false;
    }
    const auto kept = surviving_position(group, s.known->term);
    return !kept || s.known->position > *kept;
}

void adopt_term(session_state& s, const group_record& group) {
    if (!has_lost_write(s, group)) {
        move_to_term(s.known, group);
        move_to_term(s.wrote, group);
        move_to_term(s.floor, group);
    }
}

duration deadline_of(const session_state& s, const service_entry& service) {
    return s.settings.deadline.value_or(service.deadline);
}

duration staleness_of(const session_state& s, const service_entry& service) {
    return s.settings.max_staleness.value_or(service.max_staleness);
}

} // namespace larchpin
