#include "core/mark_quorum.hpp"

#include <algorithm>
#include <functional>

namespace larchpin {
namespace {

mark_holder* find_holder(mark_quorum& q, const std::string& address) {
    const auto found = std::find_if(q.holders.begin(), q.holders.end(),
                                    [&address](const mark_holder& h) { return h.address == address; });
    return found == q.holders.end() ? nullptr : &*found;
}

} // namespace

void set_mark_holders(mark_quorum& q, const std::vector<std::string>& addresses) {
    std::vector<mark_holder> next;
    for (const std::string& address : addresses) {
        const mark_holder* known = find_holder(q, address);
        mark_holder fresh;
        fresh.address = address;
        next.push_back(known != nullptr ? *known : fresh);
    }
    q.holders = std::move(next);
}

std::vector<mark_holder> take_mark_messages(mark_quorum& q, time_point now) {
    std::vector<mark_holder> due;
    for (mark_holder& h : q.holders) {
        if (h.in_flight == 0 && h.stored < q.newest && now >= h.next_message_at) {
            h.in_flight = q.newest;
            due.push_back(h);
        }
    }
    return due;
}

void record_mark_stored(mark_quorum& q, const std::string& address) {
    if (mark_holder* h = find_holder(q, address)) {
        h->stored = std::max(h->stored, h->in_flight);
        h->in_flight = 0;
    }
}

void record_mark_unanswered(mark_quorum& q, const std::string& address, time_point now) {
    if (mark_holder* h = find_holder(q, address)) {
        h->in_flight = 0;
        h->next_message_at = now + mark_retry_pause;
    }
}

std::uint64_t find_stored_batch(const mark_quorum& q) {
    if (q.holders.empty()) {
        return q.newest;
    }
    std::vector<std::uint64_t> stored;
    for (const mark_holder& h : q.holders) {
        stored.push_back(h.stored);
    }
    const std::size_t majority = stored.size() / 2; // index of the last one that is needed
    std::sort(stored.begin(), stored.end(), std::greater<>{});
    return stored.at(majority);
}

} // namespace larchpin
