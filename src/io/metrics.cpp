#include "io/metrics.hpp"

#include <array>
#include <sstream>

namespace larchpin {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.50, 0.95, 0.99};
constexpr double ns_per_ms = 1e6;

double to_ms(duration d) {
    return static_cast<double>(d.count()) / ns_per_ms;
}

std::string labels(const metric_key& key, const std::string& more = {}) {
    return "{service=\"" + key.service.value + "\",class=\"" + std::string(to_string(key.klass)) + "\"" +
           more + "}";
}

} // namespace

std::string_view to_string(request_class klass) {
    switch (klass) {
    case request_class::urgent: return "urgent";
    case request_class::critical: return "critical";
    case request_class::normal: return "normal";
    case request_class::background: break;
    }
    return "background";
}

request_metrics::request_metrics() : latency_ms(acc::tag::extended_p_square::probabilities = quantiles) {}

void metrics::note_read(const metric_key& key, request_target target, duration took) {
    request_metrics& m = by_key_[key];
    m.latency_ms(to_ms(took));
    (target == request_target::replica ? m.reads_on_replica : m.reads_on_primary) += 1;
}

void metrics::note_write(const metric_key& key, duration took) {
    request_metrics& m = by_key_[key];
    m.latency_ms(to_ms(took));
    ++m.writes;
}

void metrics::note_refusal(const metric_key& key, result_code code) {
    ++by_key_[key].refusals[code];
}

void metrics::drop_gauges(const std::string& beginning) {
    std::erase_if(gauges_, [&](const auto& gauge) { return gauge.first.starts_with(beginning); });
}

void metrics::note_retry(const metric_key& key) {
    ++by_key_[key].retries;
}

std::string metrics::to_text() const {
    std::ostringstream out;
    for (const auto& [name, value] : gauges_) {
        out << "larchpin_" << name << " " << value << "\n";
    }
    for (const auto& [key, m] : by_key_) {
        const std::string plain = labels(key);
        out << "larchpin_reads_on_replica" << plain << " " << m.reads_on_replica << "\n";
        out << "larchpin_reads_on_primary" << plain << " " << m.reads_on_primary << "\n";
        out << "larchpin_writes" << plain << " " << m.writes << "\n";
        out << "larchpin_retries" << plain << " " << m.retries << "\n";
        out << "larchpin_latency_ms_count" << plain << " " << acc::count(m.latency_ms) << "\n";
        if (acc::count(m.latency_ms) > 0) {
            for (std::size_t i = 0; i < quantiles.size(); ++i) {
                out << "larchpin_latency_ms"
                    << labels(key, ",quantile=\"" + std::to_string(quantiles.at(i)).substr(0, 4) + "\"")
                    << " " << acc::extended_p_square(m.latency_ms)[static_cast<std::ptrdiff_t>(i)] << "\n";
            }
            out << "larchpin_latency_ms_max" << plain << " " << acc::max(m.latency_ms) << "\n";
        }
        for (const auto& [code, count] : m.refusals) {
            out << "larchpin_refusals"
                << labels(key, ",code=\"" + std::to_string(static_cast<unsigned>(code)) + "\",name=\"" +
                                   std::string(describe(code).name) + "\"")
                << " " << count << "\n";
        }
    }
    return out.str();
}

} // namespace larchpin
