#include "core/session.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace larchpin {
namespace {

constexpr std::int64_t max_setting_ms = 3'600'000;
constexpr std::size_t max_idempotency_key_length = 200;
constexpr int hexadecimal = 16;
// Request class numbers in messages between instances. They must not change, because instances of different
// versions communicate with each other.
constexpr std::uint32_t critical_wire_number = 0;
constexpr std::uint32_t normal_wire_number = 1;
constexpr std::uint32_t background_wire_number = 2;

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

void raise_token(std::optional<session_token>& token, const group_id& group, term_number term,
                 log_position position) {
    if (!token || term > token->term) {
        token = session_token{.group = group, .term = term, .position = position};
    } else if (term == token->term) {
        token->position = std::max(token->position, position);
    }
}

void raise_observed(session_state& s, term_number term, log_position position) {
    raise_token(s.positions.observed, s.group, term, position);
    raise_token(s.positions.floor, s.group, term, position);
}

void raise_written(session_state& s, term_number term, log_position position) {
    raise_token(s.positions.written, s.group, term, position);
    raise_observed(s, term, position);
}

// Moves a token to the group's current term. Positions beyond the start of a later term do not exist in that
// term, so the position is capped at the last one that survived. Starts that are no longer recorded may have
// been lower: then more than necessary is required, but never more than the present log has.
void move_to_term(std::optional<session_token>& token, const group_record& group) {
    if (!token || token->term >= group.term) {
        return;
    }
    token->position = std::min(token->position, lowest_start_after(group, token->term));
    token->term = group.term;
}

bool apply_token(session_state& s, const std::string& value) {
    if (value.empty()) {
        s.positions = {};
        s.remembered.clear();
        s.forgotten_at = {};
        return true;
    }
    const auto token = parse_token(value);
    if (!token || token->group != s.group) {
        return false;
    }
    // A token never lowers the positions that this session has observed itself.
    raise_written(s, token->term, token->position);
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
    const bool parsed = parse_number(text.substr(middle + 1, last - middle - 1), token.term) &&
                        parse_number(text.substr(last + 1), token.position, hexadecimal);
    return parsed ? std::optional{token} : std::nullopt;
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
        s.settings.reads_all_acknowledged = false;
        return s.settings.max_staleness.has_value();
    }
    if (name == "deadline_ms") {
        s.settings.deadline = parse_milliseconds(value, 1);
        return s.settings.deadline.has_value();
    }
    if (name == "idempotency_key") {
        s.settings.idempotency_key = value;
        return value.size() <= max_idempotency_key_length;
    }
    return false;
}

wire_class to_wire_class(request_class klass) {
    switch (klass) {
    case request_class::urgent: return {.number = critical_wire_number, .urgent = true};
    case request_class::critical: return {.number = critical_wire_number};
    case request_class::normal: return {.number = normal_wire_number};
    case request_class::background: break;
    }
    return {.number = background_wire_number};
}

std::optional<request_class> from_wire_class(const wire_class& wire) {
    switch (wire.number) {
    case critical_wire_number: return wire.urgent ? request_class::urgent : request_class::critical;
    case normal_wire_number: return request_class::normal;
    case background_wire_number: return request_class::background;
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
        const bool is_bounded = route.max_staleness || route.consistency == read_consistency::bounded;
        settings.max_staleness = route.max_staleness.value_or(duration{0});
        settings.reads_all_acknowledged = is_bounded && settings.max_staleness == duration{0};
    }
}

void change_group(session_state& s, const group_id& group, time_point now) {
    if (s.group == group) {
        return;
    }
    if (s.positions != session_positions{}) {
        s.remembered.push_back({.group = s.group, .positions = std::move(s.positions)});
    }
    s.group = group;
    const auto known = std::find_if(s.remembered.begin(), s.remembered.end(),
                                    [&group](const remembered_positions& r) { return r.group == group; });
    if (known != s.remembered.end()) {
        s.positions = std::move(known->positions);
        s.remembered.erase(known);
    } else {
        s.positions = {};
        s.positions.unknown_writes_before = s.forgotten_at;
    }
    if (s.remembered.size() > max_remembered_groups) {
        s.remembered.erase(s.remembered.begin());
        s.forgotten_at = now;
    }
}

void record_write(session_state& s, term_number term, log_position position) {
    raise_written(s, term, position);
}

void record_read(session_state& s, const server_id& server, time_point finished_at) {
    s.positions.last_read = unresolved_read{.server = server, .finished_at = finished_at};
}

void apply_positions(session_state& s, const group_record& group, const group_positions& positions) {
    if (has_lost_write(s, group)) {
        return; // positions of a later term must not hide the loss of an earlier one
    }
    adopt_term(s, group);
    if (!s.positions.floor) {
        const auto arrival_position = primary_position_since(positions, group.term, s.arrived_at);
        if (arrival_position) {
            raise_token(s.positions.floor, s.group, group.term, *arrival_position);
        }
    }
    if (s.positions.unknown_writes_before > time_point{}) {
        const auto bound =
            oldest_primary_position_since(positions, group.term, s.positions.unknown_writes_before);
        if (bound) {
            raise_token(s.positions.written, s.group, group.term, *bound);
            raise_token(s.positions.floor, s.group, group.term, *bound);
            s.positions.unknown_writes_before = {};
        }
    }
    if (!s.positions.last_read) {
        return;
    }
    const auto sampled = positions.servers.find(s.positions.last_read->server);
    if (sampled == positions.servers.end() ||
        sampled->second.newest.not_before < s.positions.last_read->finished_at) {
        return;
    }
    const position_sample& newest = sampled->second.newest;
    if (newest.timeline == group.timeline) {
        raise_observed(s, group.term, newest.position);
    } else if (newest.timeline < group.timeline && !group.term_starts.empty()) {
        // The server does not follow the new primary yet. Only positions up to the start of the new term have
        // survived.
        raise_token(s.positions.floor, s.group, group.term,
                    std::min(newest.position, group.term_starts.back().position));
    }
    s.positions.last_read.reset();
}

bool has_lost_write(const session_state& s, const group_record& group) {
    if (s.settings.ignore_lost_writes || !s.positions.observed || s.positions.observed->term >= group.term) {
        return false;
    }
    const auto surviving = surviving_position(group, s.positions.observed->term);
    return !surviving || s.positions.observed->position > *surviving;
}

void adopt_term(session_state& s, const group_record& group) {
    if (!has_lost_write(s, group)) {
        move_to_term(s.positions.observed, group);
        move_to_term(s.positions.written, group);
        move_to_term(s.positions.floor, group);
    }
}

duration effective_deadline(const session_state& s, const service_entry& service) {
    return s.settings.deadline.value_or(service.deadline);
}

duration effective_max_staleness(const session_state& s, const service_entry& service) {
    return s.settings.max_staleness.value_or(service.max_staleness);
}

} // namespace larchpin
