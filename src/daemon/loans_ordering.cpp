// Which instances order the statements for a backend server: see loans.hpp.
#include "core/home_order.hpp"
#include "core/rendezvous.hpp"
#include "core/shares.hpp"
#include "daemon/loans.hpp"
#include "generated/larchpin.pb.h"
#include "io/clock.hpp"
#include "io/log.hpp"

#include <algorithm>

namespace larchpin {

namespace {

// Those behind the one that orders a server's statements which keep a connection for the time after it: the
// next one, and one for the case that both are lost.
constexpr std::size_t standbys = 2;
// Of few connections each of these is a large part; a standby that has none asks for one when it is needed.
constexpr unsigned connections_per_standby = 8;
constexpr duration ordering_memory =
    std::chrono::seconds{30}; // afterwards a server counts as not in use here
constexpr int status_ok = 200;
constexpr duration ping_timeout = std::chrono::milliseconds{250}; // a ping that takes longer is of no use
constexpr duration ping_pause = std::chrono::milliseconds{100};

} // namespace

bool connection_loans::orders_statements() const {
    return config_.order_statements && driver_.servers_enforce_floor;
}

// As far as is known here. This instance itself may, as long as it reaches the server.
bool connection_loans::may_order(const share_key& key, const instance_id& id) const {
    if (id == config_.id) {
        return !stopping_ && !cluster_.is_unreachable(key.server) && !pools_.is_turned_away(key);
    }
    const auto record = cluster_.cluster().instances.find(id);
    return record != cluster_.cluster().instances.end() && !cluster_.is_lost(id) &&
           !is_silent(book_, record->second.address, now()) &&
           !is_without_connection(book_, key.server, record->second.address, now());
}

// The instance that orders the server's statements, as far as is known here; nothing where none may.
const instance_id* connection_loans::find_first(const share_key& key) {
    const auto& homes = homes_of(key);
    const auto first =
        std::find_if(homes.begin(), homes.end(), [&](const instance_id& id) { return may_order(key, id); });
    return first == homes.end() ? nullptr : &*first;
}

bool connection_loans::is_ordering(const share_key& key) {
    const auto place = order_places_.find(key);
    if (place != order_places_.end() && now() < place->second.instead_until && may_order(key, config_.id)) {
        return true;
    }
    const instance_id* first = find_first(key);
    return first != nullptr && *first == config_.id;
}

// Statements that the server runs at once; 0: not known.
unsigned connection_loans::slots_of(const share_key& key, order_place& place) {
    const service_entry* service = find_service(cluster_.cluster().current_table, key.service);
    const auto server = cluster_.cluster().servers.find(key.server);
    const bool told = server != cluster_.cluster().servers.end() && server->second.slots > 0;
    const unsigned slots = told ? server->second.slots : config_.slots;
    if (service == nullptr || slots <= service->max_connections) {
        place.has_refused_slots = false;
        return slots;
    }
    if (!place.has_refused_slots) {
        place.has_refused_slots = true;
        log_failure("slots_ignored", result_code::settings_out_of_range,
                    {{"server", key.server.value},
                     {"service", key.service.value},
                     {"slots", static_cast<std::uint64_t>(slots)},
                     {"takes_at_most", static_cast<std::uint64_t>(service->max_connections)}});
    }
    return 0;
}

// Tells the pool what this instance is for the server.
void connection_loans::follow_order(const share_key& key) {
    if (!orders_statements() || homes_of(key).empty()) {
        if (order_places_.erase(key) > 0) {
            pools_.set_order(key, {});
        }
        return;
    }
    order_place& place = order_places_[key];
    const bool orders = is_ordering(key);
    const unsigned slots = slots_of(key, place);
    const instance_id* first = find_first(key);
    const auto& homes = homes_of(key);
    if (orders != place.is_ordering) {
        const char* why = orders && homes.front() == config_.id   ? "first of the list"
                          : orders && now() < place.instead_until ? "those before it refuse"
                          : orders                                ? "those before it are gone"
                          : first == nullptr                      ? "the server is out of reach"
                                                                  : "another one orders";
        log_event(severity::info, orders ? "ordering_begun" : "ordering_ended",
                  {{"server", key.server.value},
                   {"service", key.service.value},
                   {"slots", static_cast<std::uint64_t>(slots)},
                   {"first", first == nullptr ? "" : first->value},
                   {"why", why}});
        place.is_ordering = orders;
    }
    const service_entry* service = find_service(cluster_.cluster().current_table, key.service);
    const unsigned connections = service == nullptr ? 0 : service->max_connections;
    const std::size_t keepers = std::clamp<std::size_t>(connections / connections_per_standby, 1, standbys);
    const auto kept = homes.begin() + static_cast<std::ptrdiff_t>(std::min(homes.size(), keepers + 1));
    const bool is_next = std::find(homes.begin(), kept, config_.id) != kept;
    // The one more covers the way of an answer back, so that a slot is not idle meanwhile.
    const unsigned ordering_permits = slots == 0 ? 0 : slots + 1;
    pools_.set_order(key, {.permits = orders ? ordering_permits : standby_permits,
                           .claims_at_most = orders ? 0U : 1U,
                           .keeps_one = !orders && !stopping_ && is_next,
                           .is_ordering = orders});
}

// Gives way to the next one at once: it needs the connections that are held here.
void connection_loans::stop() {
    stopping_ = true;
    follow_orders();
}

void connection_loans::follow_orders() {
    std::vector<share_key> keys;
    for (const auto& [key, place] : order_places_) {
        keys.push_back(key);
    }
    for (const share_key& key : keys) {
        if (now() - order_places_[key].asked_at < ordering_memory) {
            follow_order(key);
        } else {
            order_places_.erase(key);
            pools_.set_order(key, {});
        }
    }
}

// Work comes here though another one goes before: whoever sent it may have found that one silent.
void connection_loans::ping_first(const share_key& key) {
    order_place& place = order_places_[key];
    const instance_id* first = find_first(key);
    if (first == nullptr || *first == config_.id || now() - place.pinged_at < ping_pause) {
        return;
    }
    place.pinged_at = now();
    const std::string address = cluster_.cluster().instances.at(*first).address;
    record_request(book_, address, now());
    ping(address);
}

void connection_loans::ping(const std::string& address) {
    wire::loan_request m;
    m.set_drop(true); // of no loan
    clients_.to(address).post("/v1/loan", m.SerializeAsString(), ping_timeout,
                              [this, address](const http_outcome& o) {
                                  if (o.answered && o.status == status_ok) {
                                      note_home(address, true);
                                  }
                              });
}

// Each of those that go before this one has just refused, or is this instance, which can't. Whoever is silent
// has not refused: it may be silent to this instance only, and order the statements of others.
bool connection_loans::have_those_before_refused(const share_key& key, const std::string& address) {
    if (!orders_statements()) {
        return false;
    }
    for (const instance_id& id : homes_of(key)) {
        const auto record = cluster_.cluster().instances.find(id);
        if (record == cluster_.cluster().instances.end()) {
            continue;
        }
        const std::string& other = record->second.address;
        if (other == address) {
            return true;
        }
        const bool has_refused = id == config_.id || cluster_.is_lost(id) ||
                                 is_without_connection(book_, key.server, other, now());
        if (!has_refused) {
            return false;
        }
    }
    return false;
}

// The first ones of the list that may order, and where none may, one that is asked all the same.
std::vector<std::string> connection_loans::rank_in_order(const share_key& key) {
    const cluster_state& s = cluster_.cluster();
    std::vector<std::string> addresses;
    const instance_id* any = nullptr;
    for (const instance_id& id : homes_of(key)) {
        if (id == config_.id || !s.instances.contains(id)) {
            continue;
        }
        any = any == nullptr ? &id : any;
        if (may_order(key, id)) {
            addresses.push_back(s.instances.at(id).address);
        }
        if (addresses.size() == homes_tried) {
            break;
        }
    }
    if (addresses.empty() && any != nullptr) {
        addresses.push_back(s.instances.at(*any).address);
    }
    return addresses;
}

} // namespace larchpin
