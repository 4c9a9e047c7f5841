// Runs patterns of load by policies over seeds, and prints what became of the requests.
//
// Usage: load_model PATTERN... [--seeds N]
#include "model/loaded_group.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <stdexcept>

namespace {

using namespace larchpin;
using namespace larchpin::model;

constexpr double ns_per_ms = 1e6;

std::vector<policy> policies() {
    return {{},
            {.name = "by deadline only", .by_deadline_only = true},
            {.name = "a third of patience", .a_third_of_patience = true},
            {.name = "no running limit", .no_running_limit = true}};
}

double quantile_ms(std::vector<duration>& times, double q) {
    if (times.empty()) {
        return 0;
    }
    std::sort(times.begin(), times.end());
    const auto at = static_cast<std::size_t>(q * static_cast<double>(times.size() - 1));
    return static_cast<double>(times[at].count()) / ns_per_ms;
}

void add(outcome& sum, const outcome& one) {
    for (const auto& [name, k] : one.kinds) {
        kind_outcome& to = sum.kinds[name];
        to.asked += k.asked;
        to.in_time += k.in_time;
        to.late += k.late;
        to.refused += k.refused;
        to.took.insert(to.took.end(), k.took.begin(), k.took.end());
    }
    sum.servers.resize(one.servers.size());
    for (std::size_t s = 0; s < one.servers.size(); ++s) {
        sum.servers[s].busy += one.servers[s].busy;
        sum.servers[s].idle_refusals += one.servers[s].idle_refusals;
    }
    sum.asked_by_entry.resize(one.asked_by_entry.size());
    sum.in_time_by_entry.resize(one.asked_by_entry.size());
    for (std::size_t e = 0; e < one.asked_by_entry.size(); ++e) {
        sum.asked_by_entry[e] += one.asked_by_entry[e];
        sum.in_time_by_entry[e] += one.in_time_by_entry[e];
    }
}

double part(unsigned of, unsigned all) {
    return all == 0 ? 0 : static_cast<double>(of) / all;
}

void print(const pattern& p, const policy& by, outcome& o, unsigned seeds) {
    std::cout << "\n" << by.name << std::fixed << std::setprecision(3) << "\n";
    for (auto& [name, k] : o.kinds) {
        std::cout << "  " << std::left << std::setw(12) << name << std::right << " asked " << std::setw(7)
                  << k.asked << "  in time " << part(k.in_time, k.asked) << "  late " << part(k.late, k.asked)
                  << "  refused " << part(k.refused, k.asked) << "  p50 " << std::setprecision(1)
                  << quantile_ms(k.took, 0.5) << " ms  p99 " << quantile_ms(k.took, 0.99) << " ms"
                  << std::setprecision(3) << "\n";
    }
    std::cout << "  slots in use";
    const double all = static_cast<double>(p.length.count()) * p.slots * seeds;
    for (const server_outcome& s : o.servers) {
        std::cout << "  " << static_cast<double>(s.busy.count()) / all;
    }
    std::cout << "; refusals while a slot was idle";
    for (const server_outcome& s : o.servers) {
        std::cout << "  " << s.idle_refusals;
    }
    std::cout << "\n  in time by entry";
    for (std::size_t e = 0; e < o.asked_by_entry.size(); ++e) {
        std::cout << "  " << part(o.in_time_by_entry[e], o.asked_by_entry[e]);
    }
    std::cout << "\n";
}

} // namespace

int main(int argc, char** argv) {
    std::vector<std::string> files;
    unsigned seeds = 5;
    cxxopts::Options options("load_model", "Patterns of load by policies, in virtual time.");
    options.add_options()("seeds", "runs of each, with seeds 1 to N", cxxopts::value(seeds))(
        "help", "print this")("patterns", "TOML files", cxxopts::value(files));
    options.parse_positional({"patterns"});
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0 || files.empty()) {
            std::cout << options.help();
            return files.empty() && given.count("help") == 0 ? 2 : 0;
        }
        for (const std::string& file : files) {
            const pattern p = read_pattern(file);
            std::cout << p.name << ", " << seeds << " seeds\n";
            for (const policy& by : policies()) {
                outcome sum;
                for (unsigned seed = 1; seed <= seeds; ++seed) {
                    add(sum, run_model(p, by, seed));
                }
                print(p, by, sum, seeds);
            }
        }
    } catch (const std::exception& e) {
        std::cerr << "load_model: " << e.what() << "\n";
        return 2;
    }
    return 0;
}
