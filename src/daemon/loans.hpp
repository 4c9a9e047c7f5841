// Connections lent between daemons: where a backend server takes fewer of them than there are daemons, and
// where this daemon cannot reach a server that others reach, or is turned away by one that has no room.
//
// A few home instances a server (core/rendezvous, home_instances) hold its connections; all others run their
// statements over a home's, one at a time or a transaction long. Where there are no homes, everyone may lend.
//
// Where connections belong to workspaces, a workspace's requests go to one and the same home as long as it
// answers, so that they find its connections open.
//
// The borrower decides everything about its request: lease, term, outcome. The lender queues it in its own
// pool, brings the session's values into effect, and checks the term once more before it sends anything to a
// primary.
//
// A loan begins with a borrower's request, under a number that the borrower chose, and ends when the server
// is outside a transaction after an answer, when the borrower drops it, or when nobody has used it for long.
// A request whose answer does not come may have run; a refusal says that it did not.
//
// Index
//   [terms]  [loans]
#pragma once

#include "core/forwarding_peers.hpp"
#include "daemon/agent.hpp"
#include "daemon/pools.hpp"
#include "daemon/server_loads.hpp"
#include "io/http2_clients.hpp"

#include <memory>
#include <random>

namespace larchpin::wire {
class loan_request;
class loan_reply;
} // namespace larchpin::wire

namespace larchpin {

//-----------------------------------------------------------------------------
// [terms]
//-----------------------------------------------------------------------------

struct loan_terms {
    share_key key;
    workspace_id workspace{};   // whose connection it must be
    bool any_workspace = false; // see queued_request
    request_class klass = request_class::normal;
    time_point queue_until{}; // waits so long for a connection at most
    time_point answer_by{};   // see queued_request; 0: the deadline
    duration objective{0};    // see queued_request
    time_point deadline{};    // of the request
    bool on_primary = false;  // the server must be the primary of `term` when the request is sent
    term_number term = 0;
};

//-----------------------------------------------------------------------------
// [loans]
//-----------------------------------------------------------------------------

class connection_loans {
public:
    connection_loans(boost::asio::io_context& io, const settings& config, const shared_keys& keys,
                     agent& cluster, backend_pools& pools, const backend_driver& driver, server_loads& loads);

    // A connection of a home instance; nothing where this instance uses its own for the server. It is
    // borrowed with the first request, whose outcome says `refused` where no home could lend one.
    std::shared_ptr<backend_connection> borrow(const loan_terms& terms);

    // A home in this failure domain, another one than this instance, answered when it was asked last.
    bool may_borrow_near(const share_key& key);

    // Body of /v1/loan: another instance's request on one of our connections.
    void answer(const std::string& body, const http_respond& answered);

    // Places at the server while this instance is not the first that it believes alive: what was begun goes
    // on, one statement at a time.
    static constexpr unsigned standby_permits = 1;
    [[nodiscard]] server_loads& loads() { return loads_; }

    void stop(); // lends no more; what is lent goes on to its end
    [[nodiscard]] std::uint64_t borrowed_count() const { return borrowed_; }
    [[nodiscard]] std::uint64_t lent_count() const { return lent_; }

private:
    friend class lent_connection;

    struct loan {
        share_key key;
        request_class klass = request_class::normal;
        bool on_primary = false;
        term_number term = 0;
        request_number waiting = 0; // in the pool's queue
        connection_number number = 0;
        std::shared_ptr<backend_connection> connection;
        bool running = false;
        time_point since{};
        time_point used_at{};
    };

    // How this instance stands to a server whose statements one instance orders.
    struct order_place {
        bool is_ordering = false;
        bool has_refused_slots = false; // they were found too many, and the log says so
        time_point asked_at{};          // its statements pass here, or are lent to others from here
        time_point pinged_at{};         // whoever goes before this one
        time_point instead_until{};     // those before this one have said that they can't
    };

    // [ordering]
    // Each costs a round trip; a few tries usually find one that has a connection.
    static constexpr unsigned homes_tried = 5;
    [[nodiscard]] bool orders_statements() const;
    [[nodiscard]] bool may_order(const share_key& key, const instance_id& id) const;
    const instance_id* find_first(const share_key& key);
    bool is_ordering(const share_key& key);
    unsigned slots_of(const share_key& key, order_place& place);
    void follow_order(const share_key& key);
    void follow_orders();
    void ping_first(const share_key& key);
    void ping(const std::string& address);
    bool have_those_before_refused(const share_key& key, const std::string& address);
    std::vector<std::string> rank_in_order(const share_key& key);
    // [borrowing]
    std::vector<instance_id> lenders_of(const share_key& key);
    std::vector<std::string> rank_homes(const loan_terms& terms);
    bool uses_own(const loan_terms& terms);
    bool is_first_home(const loan_terms& terms);
    void note_lender(const share_key& key, const std::string& address, const backend_outcome& outcome);
    bool have_servers_changed();
    const std::vector<instance_id>& homes_of(const share_key& key);
    void note_home(const std::string& address, bool answers);
    // [lending]
    void begin_loan(const wire::loan_request& request, const http_respond& respond);
    void on_connection(std::uint64_t number, const wire::loan_request& request, const http_respond& respond,
                       const pool_answer& answer);
    void run(std::uint64_t number, const wire::loan_request& request, const http_respond& respond);
    void end_loan(std::uint64_t number, bool reusable);
    [[nodiscard]] bool may_send(const loan& l) const;
    void on_tick();
    void watch_homes();

    boost::asio::io_context& io_;
    const settings& config_;
    agent& cluster_;
    backend_pools& pools_;
    const backend_driver& driver_;
    server_loads& loads_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer watch_timer_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, loan> loans_; // lent, by the borrowers' numbers
    std::map<share_key, std::vector<instance_id>> homes_;
    revision_number homes_instances_revision_ = 0; // that `homes_` was made from
    revision_number homes_table_revision_ = 0;
    revision_number homes_servers_revision_ = 0;                      // last looked at
    std::vector<std::pair<server_id, failure_domain>> homes_servers_; // that `homes_` was made from
    std::map<share_key, order_place> order_places_;
    std::uint64_t homes_lost_number_ = 0;
    forwarding_peer_tracker book_;
    http2_clients clients_;
    std::uint64_t borrowed_ = 0;
    std::uint64_t lent_ = 0;
    bool stopping_ = false;
};

} // namespace larchpin
