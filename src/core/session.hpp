// What one caller's session has seen, what it asked for, and what that demands of the next read.
//
// Read-your-writes: `floor` is at or beyond every write of the session. Monotonic reads, for sessions that
// state no age: after a read the session may have seen more than the floor says, so it stays with that server
// until a sample of it, asked after the read, tells how far that was (see apply_positions()). A session that
// states an age is owed its own writes and that age, nothing more: it may go back within the age. Otherwise
// one read on the primary would bind it to the primary for as long as it goes on reading.
//
// The token "group/term/position" (position in hex) carries the floor to another proxy. A session that
// comes without one first learns the primary's position asked after its arrival: every write that was
// acknowledged to anyone before is then below its floor.
//
// Index
//   [data]  [functions]
#pragma once

#include "core/cluster_state.hpp"
#include "core/positions.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

// In the order in which they go before each other. Other instances are told by numbers of their own
// (wire_class).
enum class request_class : std::uint8_t { urgent = 0, critical = 1, normal = 2, background = 3 };
constexpr std::size_t request_class_count = 4;

enum class read_mode : std::uint8_t {
    hint,    // by the statement's first word
    read,    // the caller vouches that its statements only read
    primary, // everything to the primary
};

// What the caller set with "set larchpin.x = y" or in the startup options.
struct session_settings {
    request_class klass = request_class::normal; // larchpin.class = urgent | critical | normal | background
    read_mode mode = read_mode::hint;            // larchpin.read_mode = hint | read | primary
    std::optional<duration> max_staleness;       // larchpin.max_staleness_ms, 0: read-your-writes
    std::optional<duration> deadline;            // larchpin.deadline_ms
    std::string idempotency_key;                 // larchpin.idempotency_key, used up by one request
    bool ignore_lost_writes = false; // goes on after a failover that lost what it wrote; set by fronts
    auto operator<=>(const session_settings&) const = default;
};

struct session_token {
    group_id group;
    term_number term = 0;
    log_position position = 0;
    auto operator<=>(const session_token&) const = default;
};

struct unresolved_read {
    server_id server;
    time_point finished_at{};
    auto operator<=>(const unresolved_read&) const = default;
};

struct session_state {
    group_id group;
    service_id service;
    workspace_id workspace; // whose requests these are; empty: the table names none
    time_point arrived_at{};
    session_settings settings;
    std::optional<session_token> floor; // a read must show at least this; none: not known yet, see above
    std::optional<session_token> observed; // what it wrote, or may have read
    std::optional<session_token> written; // what it wrote; the token that the caller gets
    std::optional<unresolved_read> last_read;      // a read whose position is not known yet
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

std::string format_token(const session_token& token);
std::optional<session_token> parse_token(std::string_view text);

// What a route says holds until the caller sets something else.
void apply_route(session_settings& settings, const route_entry& route);

// A class as other instances are told of it. Urgent has the number of critical and a flag beside it: an
// instance that does not know the flag takes an urgent request for a critical one.
struct wire_class {
    std::uint32_t number = 0;
    bool urgent = false; // beside the number; those that do not know it pass over it
    auto operator<=>(const wire_class&) const = default;
};
wire_class to_wire_class(request_class klass);
std::optional<request_class> from_wire_class(const wire_class& wire); // nothing for an unknown number

// Takes one "larchpin.*" setting; `name` without the prefix. False for an unknown name or a bad value.
// "session" takes a token, or an empty text to forget what was seen.
bool apply_setting(session_state& s, std::string_view name, const std::string& value);

// The session wrote, and the primary of this term was at `position` afterwards.
void note_write(session_state& s, term_number term, log_position position);

// The session read from this server; what it saw is at most the server's position from now on.
void note_read(session_state& s, const server_id& server, time_point finished_at);

// Takes up what newer samples tell: the floor of a session that arrived without a token, and how far the
// last read may have seen.
void apply_positions(session_state& s, const group_record& group, const group_positions& positions);

// A session that wrote, or may have read, beyond what a later term kept: that is lost. One that has merely
// arrived has lost nothing, however far its floor was.
bool has_lost_write(const session_state& s, const group_record& group);

// Moves the session into the group's current term once nothing of it was lost.
void adopt_term(session_state& s, const group_record& group);

duration effective_deadline(const session_state& s, const service_entry& service);
duration effective_max_staleness(const session_state& s, const service_entry& service);

} // namespace larchpin
