// What a daemon is told when it asks for the agreed state: the commands after those that it has, or the whole
// state where the commands are not kept any more, or are longer. A daemon that starts anew has none of them;
// the history of a table that was edited a hundred times is many times the table, and a small link takes
// seconds for it.
#pragma once

#include "core/control_core.hpp"

#include <string>

namespace larchpin {

// Whether somebody who has applied everything up to `applied` is told now: once the pause is over since the
// last news to all, a short one where others wait for it. Who has nothing yet is told at once.
bool has_news_for(const control_core& core, revision_number applied, time_point last_news, time_point now);

// The whole state as a reply, made once a revision.
struct whole_state_reply {
    revision_number revision = 0; // 0: none made yet
    std::string bytes;
};

// Body of the answer to a daemon that has applied everything up to `applied`. Neither the operator's document
// nor the outcomes of edits are told: daemons need them for nothing.
std::string make_watch_reply(const control_core& core, revision_number applied, whole_state_reply& whole);

} // namespace larchpin
