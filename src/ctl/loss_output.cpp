// Losses for people: tables, comma-separated values, a picture. See loss_report.hpp.
//
// Index
//   [tables]  [values]  [picture]
#include "core/result_codes.hpp"
#include "ctl/log_lines.hpp"
#include "ctl/loss_report.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <ostream>
#include <sstream>
#include <tuple>

namespace larchpin {
namespace {

constexpr double percent = 100.0;
constexpr double us_per_ms = 1000.0;

double share_of(std::uint64_t count, std::uint64_t all) {
    return all == 0 ? 0.0 : static_cast<double>(count) / static_cast<double>(all);
}

//-----------------------------------------------------------------------------
// [tables]
//-----------------------------------------------------------------------------

std::string key_of_cause(const loss& l) {
    return std::string(to_string(l.cause));
}
std::string key_of_class(const loss& l) {
    return l.klass;
}
std::string key_of_group(const loss& l) {
    return l.group;
}
std::string key_of_domain(const loss& l) {
    return l.domain;
}

// The most frequent first.
void print_sums(const std::string& title, const std::map<std::string, loss_sum>& sums, std::uint64_t all,
                std::ostream& out) {
    std::vector<std::pair<std::string, loss_sum>> rows(sums.begin(), sums.end());
    std::sort(rows.begin(), rows.end(),
              [](const auto& a, const auto& b) { return a.second.count > b.second.count; });
    out << "\n"
        << std::left << std::setw(24) << title << std::right << std::setw(8) << "count" << std::setw(8)
        << "share" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
        << "  requests\n";
    for (const auto& [name, sum] : rows) {
        out << std::left << std::setw(24) << (name.empty() ? "-" : name) << std::right << std::setw(8)
            << sum.count << std::fixed << std::setprecision(1) << std::setw(7)
            << share_of(sum.count, all) * percent << "%" << std::setw(10)
            << static_cast<double>(sum.p50_us) / us_per_ms << std::setw(10)
            << static_cast<double>(sum.p99_us) / us_per_ms << " ";
        for (const std::string& id : sum.requests) {
            out << " " << id;
        }
        out << "\n";
    }
}

// The causes of an interval, the most frequent first.
void print_interval(std::int64_t at, const loss_counts& counts, std::ostream& out) {
    std::vector<std::size_t> order(counts.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&counts](std::size_t a, std::size_t b) { return counts[a] > counts[b]; });
    out << to_time_text(at) << std::setw(7)
        << std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    for (const std::size_t cause : order) {
        if (counts[cause] > 0) {
            out << "  " << to_string(static_cast<loss_cause>(cause)) << " " << counts[cause];
        }
    }
    out << "\n";
}

} // namespace

void print_losses(const loss_report& report, std::int64_t interval_ms, std::ostream& out) {
    const std::uint64_t all = report.losses.size();
    out << all << " losses; " << report.requests << " requests told of, " << report.dropped
        << " lines left out by the processes";
    if (report.refusals_counted > 0) {
        out << ", " << report.refusals_counted << " refusals counted by their metrics";
    }
    out << "\n";
    print_sums("cause", sum_losses(report.losses, key_of_cause), all, out);
    out << "\nleft out of the logs, by the causes of the same instance and second:";
    for (std::size_t cause = 0; cause < report.left_out.size(); ++cause) {
        if (report.left_out.at(cause) > 0) {
            out << "  " << to_string(static_cast<loss_cause>(cause)) << " " << report.left_out.at(cause);
        }
    }
    out << "\n";
    print_sums("class", sum_losses(report.losses, key_of_class), all, out);
    print_sums("group", sum_losses(report.losses, key_of_group), all, out);
    print_sums("failure domain", sum_losses(report.losses, key_of_domain), all, out);
    out << "\ninterval                losses  by cause\n";
    for (const auto& [at, counts] : count_by_interval(report.losses, interval_ms)) {
        print_interval(at, counts, out);
    }
}

//-----------------------------------------------------------------------------
// [values]
//-----------------------------------------------------------------------------

void print_losses_csv(const loss_report& report, std::int64_t interval_ms, std::ostream& out) {
    using cell_key = std::tuple<std::int64_t, std::string, std::string, std::string, loss_cause>;
    std::map<cell_key, std::vector<std::int64_t>> cells;
    for (const loss& l : report.losses) {
        cells[{l.at_ms / interval_ms * interval_ms, l.klass, l.group, l.domain, l.cause}].push_back(
            l.lost_us);
    }
    out << "interval,class,group,failure_domain,cause,count,share,p50_us,p99_us\n";
    for (auto& [key, times] : cells) {
        std::sort(times.begin(), times.end());
        out << to_time_text(std::get<0>(key)) << "," << std::get<1>(key) << "," << std::get<2>(key) << ","
            << std::get<3>(key) << "," << to_string(std::get<4>(key)) << "," << times.size() << ","
            << share_of(times.size(), report.losses.size()) << "," << times[times.size() / 2] << ","
            << times[times.size() * 99 / 100] << "\n";
    }
}

//-----------------------------------------------------------------------------
// [picture]
//-----------------------------------------------------------------------------

namespace {

constexpr int plot_width = 1000;
constexpr int plot_height = 300;
constexpr int legend_line = 16;
constexpr int hue_step = 137; // degrees; neighbours get distant colours

std::string colour_of(std::size_t cause) {
    return "hsl(" + std::to_string(cause * hue_step % 360) + ",60%,50%)";
}

void draw_box(int x, int y, int width, int height, const std::string& colour, std::ostream& out) {
    out << R"(<rect x=")" << x << R"(" y=")" << y << R"(" width=")" << width << R"(" height=")" << height
        << R"(" fill=")" << colour << R"("/>)"
        << "\n";
}

void draw_text(int x, int y, const std::string& text, std::ostream& out) {
    out << R"(<text x=")" << x << R"(" y=")" << y << R"(">)" << text << "</text>\n";
}

} // namespace

void plot_losses(const loss_report& report, std::int64_t interval_ms, std::ostream& out) {
    const auto counts = count_by_interval(report.losses, interval_ms);
    std::uint64_t highest = 1;
    loss_counts totals{};
    for (const auto& [at, by_cause] : counts) {
        highest = std::max(highest, std::accumulate(by_cause.begin(), by_cause.end(), std::uint64_t{0}));
        for (std::size_t cause = 0; cause < by_cause.size(); ++cause) {
            totals[cause] += by_cause[cause];
        }
    }
    const std::int64_t first = counts.empty() ? 0 : counts.begin()->first;
    const std::int64_t bars = counts.empty() ? 1 : (counts.rbegin()->first - first) / interval_ms + 1;
    const int width = std::max(1, static_cast<int>(plot_width / bars));
    out << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << plot_width << R"(" height=")"
        << plot_height + legend_line * static_cast<int>(loss_cause_count + 2)
        << R"(" font-family="sans-serif" font-size="12">)"
        << "\n";
    for (const auto& [at, by_cause] : counts) {
        const int x = static_cast<int>((at - first) / interval_ms) * width;
        int y = plot_height;
        for (std::size_t cause = 0; cause < by_cause.size(); ++cause) {
            const int height = static_cast<int>(by_cause[cause] * plot_height / highest);
            y -= height;
            draw_box(x, y, width, height, colour_of(cause), out);
        }
    }
    int y = plot_height + legend_line;
    std::ostringstream title;
    title << to_time_text(first) << ", " << interval_ms << " ms a bar; the highest: " << highest << " losses";
    draw_text(0, y, title.str(), out);
    for (std::size_t cause = 0; cause < totals.size(); ++cause) {
        if (totals[cause] > 0) {
            y += legend_line;
            draw_box(0, y - legend_line / 2, legend_line / 2, legend_line / 2, colour_of(cause), out);
            const std::string name(to_string(static_cast<loss_cause>(cause)));
            draw_text(legend_line, y, name + ": " + std::to_string(totals[cause]), out);
        }
    }
    out << "</svg>\n";
}

} // namespace larchpin
