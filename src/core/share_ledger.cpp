#include "core/share_ledger.hpp"

#include <algorithm>

namespace larchpin {
namespace {

share_holder& find_or_add(share_account& account, holder_number daemon) {
    const auto found = std::find_if(account.holders.begin(), account.holders.end(),
                                    [daemon](const share_holder& h) { return h.daemon == daemon; });
    return found != account.holders.end() ? *found
                                          : account.holders.emplace_back(share_holder{.daemon = daemon});
}

void clear_holder(share_account& account, holder_number daemon) {
    for (share_holder& h : account.holders) {
        if (h.daemon == daemon) {
            h.held = 0;
            h.wanted = 0;
        }
    }
    std::erase_if(account.holders,
                  [](const share_holder& h) { return h.held == 0 && h.wanted == 0 && !h.reserve; });
}

} // namespace

holder_number assign_holder_number(share_ledger& l, const instance_id& daemon) {
    const auto next = static_cast<holder_number>(l.holder_numbers.size());
    const auto [at, is_new] = l.holder_numbers.emplace(daemon, next);
    if (is_new) {
        l.held_until.emplace_back();
    }
    return at->second;
}

void record_holder(share_ledger& l, const share_key& key, holder_number daemon, unsigned held,
                   unsigned wanted) {
    share_holder& h = find_or_add(l.accounts[key], daemon);
    h.held = held;
    h.wanted = wanted;
}

void remove_holder(share_ledger& l, const share_key& key, holder_number daemon) {
    const auto account = l.accounts.find(key);
    if (account != l.accounts.end()) {
        clear_holder(account->second, daemon);
    }
}

void remove_holder(share_ledger& l, holder_number daemon) {
    for (auto& [key, account] : l.accounts) {
        clear_holder(account, daemon);
    }
}

void set_reserves(share_ledger& l, const share_key& key, const std::vector<instance_id>& reserves,
                  revision_number revision) {
    share_account& account = l.accounts[key];
    for (share_holder& h : account.holders) {
        h.reserve = false;
    }
    for (const instance_id& id : reserves) {
        find_or_add(account, assign_holder_number(l, id)).reserve = true;
    }
    account.reserves_revision = revision;
}

share_decision decide_share(const share_ledger& l, const share_key& key, holder_number daemon,
                            unsigned wanted, unsigned limit, time_point now) {
    share_decision decision;
    unsigned own = wanted;
    std::vector<unsigned> others;
    const auto account = l.accounts.find(key);
    if (account != l.accounts.end()) {
        others.reserve(account->second.holders.size());
        for (const share_holder& h : account->second.holders) {
            const unsigned reserve = h.reserve ? 1 : 0;
            if (h.daemon == daemon) {
                own = std::max(wanted, reserve);
                continue;
            }
            const bool counts = l.held_until[h.daemon] > now;
            decision.held_by_others += counts ? std::max(reserve, h.held) : reserve;
            others.push_back(counts ? std::max(reserve, h.wanted) : reserve);
        }
    }
    decision.target = fair_share(limit, own, others);
    return decision;
}

} // namespace larchpin
