#include "daemon/program.hpp"

#include "daemon/daemon.hpp"
#include "io/log.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace larchpin {

namespace leaf = boost::leaf;

namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr std::size_t shortest_key = 32;

int fail(const std::string& name, const std::string& what, result_code code) {
    std::cerr << name << ": " << what << " [" << static_cast<unsigned>(code) << " " << describe(code).name
              << "]\n";
    return code == result_code::bad_command_line ? exit_usage : exit_failure;
}

// The key is the file's first line.
leaf::result<std::string> read_key(const std::string& file) {
    std::ifstream stream(file);
    std::string key;
    if (!std::getline(stream, key) || key.size() < shortest_key) {
        return leaf::new_error(settings_problem{.code = result_code::settings_out_of_range,
                                                .file = file,
                                                .line = 1,
                                                .key = "peer.key_file",
                                                .detail = "must hold a line of 32 characters or more"});
    }
    return key;
}

leaf::result<shared_keys> read_keys(const settings& s) {
    shared_keys keys;
    BOOST_LEAF_ASSIGN(std::string key, read_key(s.key_file));
    keys.keys.push_back(key);
    if (!s.old_key_file.empty()) {
        BOOST_LEAF_ASSIGN(std::string old_key, read_key(s.old_key_file));
        keys.keys.push_back(old_key);
    }
    return keys;
}

// Runs the daemon to its end. An exception is a fault of the program: it ends, and says which one it was.
int run_until_stopped(boost::asio::io_context& io, const std::string& name) {
    try {
        io.run();
    } catch (const std::exception& e) {
        log_event(severity::error, "ended_by_exception", {{"what", e.what()}});
        stop_log();
        return fail(name, std::string("ended by an exception: ") + e.what(), result_code::internal_fault);
    }
    stop_log();
    return 0;
}

leaf::result<int> run(const daemon_program& program, const std::string& file, bool check_only) {
    BOOST_LEAF_ASSIGN(const settings s, load_settings(file));
    BOOST_LEAF_CHECK(check_for_start(s, file));
    BOOST_LEAF_ASSIGN(const shared_keys keys, read_keys(s));
    if (check_only) {
        for (const std::string& line : s.ignored_addresses) {
            std::cout << line << "\n";
        }
        std::cout << file << ": good\n";
        return 0;
    }
    start_log(s.log_level, s.id.value, s.domain.value);
    log_ignored_addresses(s);
    boost::asio::io_context io(1);
    BOOST_LEAF_ASSIGN(const std::shared_ptr<daemon> running, program.make(io, s, keys, file));
    running->follow_settings(file);
    BOOST_LEAF_CHECK(running->start());
    return run_until_stopped(io, program.name);
}

} // namespace

int run_daemon(int argc, char** argv, const daemon_program& program) {
    cxxopts::Options options(program.name, program.description);
    std::string file = program.settings_file;
    options.add_options()("help", "print this")("version", "print the version")(
        "settings", "the settings file (TOML)", cxxopts::value(file))("check-settings",
                                                                      "read the settings and stop");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (given.count("version") != 0) {
            std::cout << program.name << " " << LARCHPIN_VERSION << "\n";
            return 0;
        }
        if (file.empty() || !given.unmatched().empty()) {
            return fail(program.name, "--settings FILE is needed", result_code::bad_command_line);
        }
        return leaf::try_handle_all(
            [&] { return run(program, file, given.count("check-settings") != 0); },
            [&](const settings_problem& p) {
                std::cerr << program.name << ": " << to_string(p) << "\n";
                return exit_failure;
            },
            [&](result_code code) { return fail(program.name, "cannot start", code); },
            [&] { return fail(program.name, "cannot start", result_code::settings_unreadable); });
    } catch (const cxxopts::exceptions::exception& e) {
        return fail(program.name, e.what(), result_code::bad_command_line);
    } catch (const std::exception& e) {
        return fail(program.name, e.what(), result_code::settings_unreadable);
    }
}

} // namespace larchpin
