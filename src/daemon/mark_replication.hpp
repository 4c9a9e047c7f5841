// Has the control instances store what this instance acknowledged, before callers are told of it (see
// core/mark_quorum.hpp).
#pragma once

#include "core/acknowledgements.hpp"
#include "core/mark_quorum.hpp"
#include "io/http2_clients.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace larchpin {

class mark_replication {
public:
    explicit mark_replication(http2_clients& clients) : clients_(clients) {}

    // The peer listeners of all control instances. A mark counts as stored by the own one at once, since the
    // agent's ledger holds it.
    void set_holders(const std::vector<std::string>& addresses, const std::string& own_address);

    // Calls `done` with true once a majority holds the mark, and with false where a control instance knows
    // that the group's term has ended or is fenced. Neither comes while no majority can be reached.
    void store(const acknowledged_mark& mark, std::function<void(bool stored)> done);

    // Sends again what was not answered. Call every few milliseconds.
    void on_tick() { send(); }

private:
    struct numbered_mark {
        acknowledged_mark mark;
        std::uint64_t batch = 0; // in which it was raised last
    };
    struct waiting_caller {
        std::uint64_t batch = 0;
        group_id group;
        term_number term = 0;
        std::function<void(bool)> done;
    };

    void send();
    void send_to(const mark_holder& holder);
    void on_reply(const std::string& address, const http_outcome& o);
    void refuse(const group_id& group, term_number term);
    void answer_stored();

    http2_clients& clients_;
    std::string own_address_;
    mark_quorum quorum_;
    std::map<group_id, numbered_mark> marks_;
    std::vector<waiting_caller> waiting_;
};

} // namespace larchpin
