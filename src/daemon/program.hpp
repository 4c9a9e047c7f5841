// What every program that runs a daemon does alike: command line, settings, keys, the log, exit codes.
#pragma once

#include "io/auth.hpp"
#include "io/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace larchpin {

class daemon;

struct daemon_program {
    std::string name;
    std::string description;
    std::string settings_file; // used where the command line names none; empty: it must
    // Makes the daemon and all that stands beside it; called once, with the settings already checked.
    std::function<boost::leaf::result<std::shared_ptr<daemon>>(boost::asio::io_context&, const settings&,
                                                               const shared_keys&, const std::string& file)>
        make;
};

// Runs until a planned stop; returns the exit code.
int run_daemon(int argc, char** argv, const daemon_program& program);

} // namespace larchpin
