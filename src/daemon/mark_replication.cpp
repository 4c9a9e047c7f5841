#include "daemon/mark_replication.hpp"

#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/codec.hpp"
#include "io/log.hpp"

#include <algorithm>

namespace larchpin {

namespace {

constexpr duration message_timeout = std::chrono::milliseconds{300};
constexpr int status_not_found = 404;

} // namespace

void mark_replication::set_holders(const std::vector<std::string>& addresses,
                                   const std::string& own_address) {
    own_address_ = own_address;
    set_mark_holders(quorum_, addresses);
    answer_stored();
}

void mark_replication::store(const acknowledged_mark& mark, std::function<void(bool)> done) {
    numbered_mark& known = marks_[mark.group];
    merge_mark(known.mark, mark);
    known.batch = ++quorum_.newest;
    waiting_.push_back(
        {.batch = quorum_.newest, .group = mark.group, .term = mark.term, .done = std::move(done)});
    send();
}

void mark_replication::send() {
    if (waiting_.empty()) {
        return; // what some holder lacks goes with the next mark
    }
    for (const mark_holder& holder : take_mark_messages(quorum_, now())) {
        if (holder.address == own_address_) {
            record_mark_stored(quorum_, holder.address);
        } else {
            send_to(holder);
        }
    }
    answer_stored();
}

void mark_replication::send_to(const mark_holder& holder) {
    wire::marks_request m;
    for (const auto& [id, known] : marks_) {
        if (known.batch > holder.stored) {
            to_wire(known.mark, *m.add_marks());
        }
    }
    clients_.to(holder.address)
        .post("/v1/marks", m.SerializeAsString(), message_timeout,
              [this, address = holder.address](const http_outcome& o) { on_reply(address, o); });
}

void mark_replication::on_reply(const std::string& address, const http_outcome& o) {
    wire::marks_reply reply;
    const bool is_older = o.answered && o.status == status_not_found; // it cannot store any
    const bool is_read = o.answered && o.status == 200 && reply.ParseFromString(o.body);
    const bool is_stored = is_read && reply.code() == static_cast<std::uint32_t>(result_code::ok);
    for (const auto& refused : reply.refused()) {
        refuse({refused.group()}, refused.term());
    }
    if (is_stored || is_older) {
        record_mark_stored(quorum_, address);
    } else {
        record_mark_unanswered(quorum_, address, now());
        log_event(severity::info, "acknowledged_marks_not_stored",
                  {{"control", address},
                   {"answered", is_read},
                   {"code", static_cast<std::uint64_t>(reply.code())},
                   {"waiting", static_cast<std::uint64_t>(waiting_.size())}});
    }
    send();
    answer_stored();
}

// Removes the waiting callers first: one that is answered may store another mark.
void mark_replication::refuse(const group_id& group, term_number term) {
    const auto first = std::stable_partition(waiting_.begin(), waiting_.end(), [&](const waiting_caller& w) {
        return w.group != group || w.term > term;
    });
    std::vector<waiting_caller> refused(std::make_move_iterator(first),
                                        std::make_move_iterator(waiting_.end()));
    waiting_.erase(first, waiting_.end());
    for (const waiting_caller& w : refused) {
        w.done(false);
    }
}

void mark_replication::answer_stored() {
    const std::uint64_t stored = find_stored_batch(quorum_);
    const auto first = std::stable_partition(waiting_.begin(), waiting_.end(),
                                             [stored](const waiting_caller& w) { return w.batch > stored; });
    std::vector<waiting_caller> done(std::make_move_iterator(first), std::make_move_iterator(waiting_.end()));
    waiting_.erase(first, waiting_.end());
    for (const waiting_caller& w : done) {
        w.done(true);
    }
}

} // namespace larchpin
