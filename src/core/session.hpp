// Tracks what a client session has observed and requested, and the consistency that its next read requires.
//
// Read-your-writes: `floor` is at or beyond every write of the session. Monotonic reads, for sessions without
// a staleness bound: a read may have observed more than the floor, so the session stays with that server
// until a position sample of it, requested after the read, bounds what was observed (see apply_positions()).
// A session with a staleness bound is guaranteed only its own writes and that bound, and may go back in time
// within it. Without this exception, one read on the primary would bind the session to the primary for as
// long as it reads.
//
// The token "group/term/position" (position in hex) carries the floor to another proxy. A session without a
// token first obtains the primary's position, requested after the session's arrival. Every write that was
// acknowledged before that, to any client, is then below its floor.
//
// Index
//   [data]  [functions]
#pragma once

#include "core/cluster_state.hpp"
#include "core/positions.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace larchpin {

//-----------------------------------------------------------------------------
// [data]
//-----------------------------------------------------------------------------

// Request classes in order of priority, highest first. Messages between instances use other numbers
// (wire_class).
enum class request_class : std::uint8_t { urgent = 0, critical = 1, normal = 2, background = 3 };
constexpr std::size_t request_class_count = 4;

enum class read_mode : std::uint8_t {
    hint,    // classified by the statement's first word
    read,    // the client guarantees that its statements only read
    primary, // all statements go to the primary
};

// Settings that the client made with "set larchpin.x = y" or in the startup options.
struct session_settings {
    request_class klass = request_class::normal; // larchpin.class = urgent | critical | normal | background
    read_mode mode = read_mode::hint;            // larchpin.read_mode = hint | read | primary
    std::optional<duration> max_staleness;       // larchpin.max_staleness_ms; 0 = read-your-writes
    bool reads_all_acknowledged = false; // before they arrive; by a route's bound of 0, not max_staleness's
    std::optional<duration> deadline;    // larchpin.deadline_ms
    std::string idempotency_key;         // larchpin.idempotency_key; applies to one request
    bool ignore_lost_writes = false; // continue after a failover that lost writes; set by protocol front ends
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

// What a session knows of one group's log.
struct session_positions {
    std::optional<session_token> floor; // lower bound for the next read; nullopt = not known yet, see above
    std::optional<session_token> observed;    // upper bound of what the session wrote or read
    std::optional<session_token> written;     // last write; sent to the client as its token
    std::optional<unresolved_read> last_read; // last read, until its position is known
    // Writes that the session made before this time may lie beyond `written`; 0 = there are none.
    time_point unknown_writes_before{};
    auto operator<=>(const session_positions&) const = default;
};

// Positions in a group that the session has used before.
struct remembered_positions {
    group_id group;
    session_positions positions;
    auto operator<=>(const remembered_positions&) const = default;
};

// Of groups beyond these, a session only knows until when it may have written there. Its reads then require
// a position that the primary has been asked for since; that a write was lost is not reported.
constexpr std::size_t max_remembered_groups = 16;

struct session_state {
    group_id group; // changed by change_group()
    service_id service;
    workspace_id workspace; // owner of the requests; empty = the table has no workspaces
    time_point arrived_at{};
    session_settings settings;
    session_positions positions;                  // in `group`
    std::vector<remembered_positions> remembered; // in other groups, oldest first, max_remembered_groups
    time_point forgotten_at{}; // positions in a group were last dropped from `remembered`; 0 = never
};

//-----------------------------------------------------------------------------
// [functions]
//-----------------------------------------------------------------------------

std::string format_token(const session_token& token);
std::optional<session_token> parse_token(std::string_view text);

// Applies the settings of a route as defaults, which the client may override.
void apply_route(session_settings& settings, const route_entry& route);

// Encoding of a request class in messages between instances. `urgent` is encoded as `critical` with a flag,
// so an older instance without the flag treats an urgent request as critical.
struct wire_class {
    std::uint32_t number = 0;
    bool urgent = false; // ignored by older instances
    auto operator<=>(const wire_class&) const = default;
};
wire_class to_wire_class(request_class klass);
std::optional<request_class> from_wire_class(const wire_class& wire); // nullopt for an unknown number

// Applies one "larchpin.*" setting; `name` is without the prefix. Returns false for an unknown name or an
// invalid value. The value of "session" is a token, or empty to reset what the session has observed.
bool apply_setting(session_state& s, std::string_view name, const std::string& value);

// Directs the session's next requests to another group. Positions mean nothing in another group's log, so
// they are kept for each group: a session that returns to a group still reads its own writes there.
void change_group(session_state& s, const group_id& group, time_point now);

// Records a write, after which the primary of this term was at `position`.
void record_write(session_state& s, term_number term, log_position position);

// Records a read from this server. Any later position of the server bounds what the read observed.
void record_read(session_state& s, const server_id& server, time_point finished_at);

// Updates the session from newer position samples: the floor of a session without a token, a bound of writes
// whose positions are unknown, and the position that the last read may have observed.
void apply_positions(session_state& s, const group_record& group, const group_positions& positions);

// Returns true if the session wrote, or may have read, a position that did not survive into a later term. A
// session that has neither written nor read has lost nothing, whatever its floor.
bool has_lost_write(const session_state& s, const group_record& group);

// Moves the session to the group's current term unless the session has lost a write.
void adopt_term(session_state& s, const group_record& group);

// Return the session's setting, or the service's default if the session has none.
duration effective_deadline(const session_state& s, const service_entry& service);
duration effective_max_staleness(const session_state& s, const service_entry& service);

} // namespace larchpin
