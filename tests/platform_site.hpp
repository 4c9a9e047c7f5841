// A small site on the users' platform, in one process and one thread on loopback: daemons with the platform's
// fronts, database servers and the promotion authority as fakes, callers that send lines. The daemon that
// keeps the control log has an io_context of its own, so that it can stand still while the others go on.
//
// Usage
//   platform_site s;
//   s.start();                                   // a group of three servers, one daemon, a table
//   line_caller c = s.connect("shop");
//   answer a = c.ask("q1", "STORE k v");
//
// Everything waits by running the io_contexts, and gives up after `patience` of wall time.
#pragma once

#include "daemon/daemon.hpp"
#include "http_client.hpp"
#include "http_server.hpp"
#include "messages.hpp"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace larchpin::testing {

constexpr std::chrono::seconds patience{10};
constexpr std::chrono::milliseconds leave_time{1000}; // of every daemon's settings

//-----------------------------------------------------------------------------
// [servers]
//-----------------------------------------------------------------------------

// What a server was asked to run, and in which surroundings.
struct seen_statement {
    std::string server;
    std::uint64_t connection = 0;
    std::string id;
    std::string text; // with the prefix, if there was one
    std::map<std::string, std::string> values;
    bool in_transaction = false;
    std::string who; // whose connection it is, as its opening said
    auto operator<=>(const seen_statement&) const = default;
};

struct fake_group;

struct fake_server {
    std::string id;
    std::string zone;
    bool is_primary = false;
    std::uint64_t applied = 0;       // number of the last commit
    std::uint64_t commit_term = 1;   // its term, which its position names
    bool follows = true;             // gets the primary's commits at once
    std::uint64_t follows_until = 0; // but none beyond this one; 0: all
    bool holds_writes = false;       // single writes wait, and are all committed when this ends
    std::vector<std::function<void()>> held_writes;
    bool leaves = false;           // reports that it will end
    std::uint64_t started = 0;     // Unix milliseconds that it reports; 0: it reports none
    bool silent = false;           // runs statements and answers nothing
    unsigned refusals_as_busy = 0; // refuses so many statements more
    unsigned answers_to_lose = 0;  // runs so many statements more without answering them
    bool cuts_writes = false;      // closes the connection in place of a write's answer
    bool full = false;             // turns every new connection away
    bool tells_position = true;    // else its answers name no position
    std::string cut_from;          // hears nothing of this daemon any more; empty: of nobody
    bool heard_of = true;          // beat() reports it
    std::string refuse_with;       // error code for every read, write and commit; empty: none
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> sockets;
    [[nodiscard]] unsigned port() const { return acceptor->local_endpoint().port(); }
};

struct fake_group {
    std::string name;
    std::uint64_t term = 1;
    std::list<fake_server> servers;
    std::vector<seen_statement> statements; // reads, writes, begins and commits, in order
    std::map<std::string, std::string> items;
};

// An order to promote as the authority got it.
struct seen_promotion {
    std::string server;
    std::string token;
    auto operator<=>(const seen_promotion&) const = default;
};

//-----------------------------------------------------------------------------
// [callers]
//-----------------------------------------------------------------------------

struct answer {
    std::vector<std::string> rows;
    std::string done;  // the signature
    std::string error; // code and text
    std::string state; // of READY; empty: the connection ended first
};

class platform_site;

class line_caller {
public:
    line_caller(platform_site& where, unsigned port);
    answer open(const std::string& line);
    answer ask(const std::string& id, const std::string& text);
    void send(const std::string& bytes);
    answer receive();
    [[nodiscard]] bool has_ended(); // the other side has closed; looks without waiting
    void close();

private:
    platform_site& where_;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    std::shared_ptr<platform::line_input> in_;
    std::shared_ptr<bool> ended_;
    void read();
};

//-----------------------------------------------------------------------------
// [site]
//-----------------------------------------------------------------------------

struct site_daemon {
    settings config;
    std::unique_ptr<larchpin::daemon> core;
    std::unique_ptr<platform::http_server> control_listener;
    std::unique_ptr<platform::http_server> ready_listener;
    unsigned entry_port = 0;
    unsigned control_port = 0;
    unsigned ready_port = 0;
};

class platform_site {
public:
    platform_site();
    ~platform_site();
    platform_site(const platform_site&) = delete;
    platform_site& operator=(const platform_site&) = delete;
    platform_site(platform_site&&) = delete;
    platform_site& operator=(platform_site&&) = delete;

    // One daemon with control and entry, three servers, the table of table_body().
    bool hides_positions = false;    // of all servers; set before the start
    unsigned sync_replica_count = 0; // of the table; set before the start
    void start();
    // A daemon that takes callers but keeps no control log.
    site_daemon& add_entry(const std::string& domain = "z1");
    // The same with an io_context of its own, which may stand still while the others go on.
    site_daemon& add_entry_apart();
    void freeze_control();
    void freeze_apart(bool frozen) { apart_frozen_ = frozen; }

    line_caller connect(const std::string& database);
    platform::http_result post(unsigned port, const std::string& path, const std::string& body);
    platform::http_result get(unsigned port, const std::string& path);
    void beat(); // every server reports itself
    platform::http_result beat_at(const site_daemon& d, const fake_server& s);
    void run_for(std::chrono::milliseconds time);
    [[nodiscard]] bool run_until(const std::function<bool()>& holds);
    fake_server& server(const std::string& id);
    fake_server& add_server(const std::string& id);                 // a replica
    void stop_server(const std::string& id);                        // its process ends
    void start_server_again(const std::string& id, bool keeps_log); // and reports a later start
    void drop_connections(const std::string& id);                   // all that are open
    void hold_commits(const std::string& id, bool holds);           // of single writes
    [[nodiscard]] std::vector<seen_statement> statements_with(const std::string& id) const;
    static std::string table_body(std::uint64_t version, const std::string& more_routes = "");

    boost::asio::io_context io{1};
    boost::asio::io_context control_io{1};
    boost::asio::io_context apart_io{1};
    bool order_statements = false; // of the settings of daemons that start from now on
    fake_group group;
    std::vector<seen_promotion> promotions;
    std::list<site_daemon> daemons;

private:
    struct server_session;
    void start_server(fake_server& s);
    void accept(fake_server& s);
    void start_authority();
    site_daemon& start_daemon(boost::asio::io_context& runs_on, const std::string& domain);
    void pump();

    bool control_frozen_ = false;
    bool apart_frozen_ = false;
    std::filesystem::path folder_;
    std::unique_ptr<platform::http_server> authority_;
    unsigned authority_port_ = 0;
    unsigned control_peer_ = 0;
    std::uint64_t next_connection_ = 1;
    std::uint64_t next_beat_ = 1;
};

} // namespace larchpin::testing
