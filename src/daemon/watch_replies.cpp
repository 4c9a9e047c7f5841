#include "daemon/watch_replies.hpp"

#include "core/control_pacing.hpp"
#include "generated/larchpin.pb.h"
#include "io/codec.hpp"

namespace larchpin {
namespace {

constexpr int max_watch_entries = 2048;
// Below that it is not worth making the whole state to compare: one packet or a few.
constexpr std::size_t short_reply_bytes = 8192;

const std::string& make_whole(const control_core& core, whole_state_reply& whole) {
    if (whole.revision != core.cluster.revision) {
        wire::watch_reply reply;
        reply.set_commit(core.cluster.revision);
        to_wire(core.cluster, *reply.mutable_full());
        reply.mutable_full()->clear_document();
        reply.mutable_full()->clear_changes();
        whole = {.revision = core.cluster.revision, .bytes = reply.SerializeAsString()};
    }
    return whole.bytes;
}

// The operator's document goes to nobody but control: it names the workspaces' keys. Without it an edit also
// takes about half the bytes.
void add_without_document(const raft::entry& e, wire::watch_reply& reply) {
    wire::raft_entry& added = *reply.add_entries();
    to_wire(e, added);
    wire::command c;
    if (c.ParseFromString(e.command) && c.has_edit() && !c.edit().document().empty()) {
        c.mutable_edit()->clear_document();
        added.set_command(c.SerializeAsString());
    }
}

} // namespace

bool has_news_for(const control_core& core, revision_number applied, time_point last_news, time_point now) {
    if (applied >= core.cluster.revision) {
        return false;
    }
    const std::size_t instances = core.cluster.instances.size();
    const bool is_urgent = applied < core.urgent_revision;
    const duration interval =
        is_urgent ? urgent_notification_interval(instances) : notification_interval(instances);
    return applied == 0 || now - last_news >= interval;
}

std::string make_watch_reply(const control_core& core, revision_number applied, whole_state_reply& whole) {
    wire::watch_reply reply;
    reply.set_commit(core.cluster.revision);
    if (applied >= core.cluster.revision) {
        return reply.SerializeAsString(); // no news; this node may even be behind the asker
    }
    const bool have_all = !core.recent_entries.empty() && core.recent_entries.front().index <= applied + 1;
    if (!have_all) {
        return make_whole(core, whole);
    }
    std::size_t bytes = 0;
    for (const raft::entry& e : core.recent_entries) {
        if (e.index > applied && reply.entries_size() < max_watch_entries) {
            add_without_document(e, reply);
            bytes += static_cast<std::size_t>(reply.entries(reply.entries_size() - 1).command().size());
        }
    }
    const bool may_be_long = reply.entries_size() > 1 && bytes > short_reply_bytes;
    if (may_be_long && make_whole(core, whole).size() < bytes) {
        return whole.bytes;
    }
    return reply.SerializeAsString();
}

} // namespace larchpin
