// Counters and latency histograms per service and request class, over Boost.Accumulators.
//
// Usage
//   metrics.refill_for_request({service, klass}, request_target::replica, run_state::ran, took);
//   std::string text = metrics.to_text();   // Prometheus' text format
#pragma once

#include "core/result_codes.hpp"
#include "core/session.hpp"
#include "core/types.hpp"

#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/features.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <map>
#include <string>

namespace larchpin {

struct metric_key {
    service_id service;
    request_class klass = request_class::normal;
    auto operator<=>(const metric_key&) const = default;
};

enum class request_target : std::uint8_t { primary, replica, none };

using latency_statistics = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                               boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

struct request_metrics {
    request_metrics();
    latency_statistics latency_ms;
    std::uint64_t reads_on_replica = 0;
    std::uint64_t reads_on_primary = 0;
    std::uint64_t writes = 0;
    std::uint64_t retries = 0;
    std::map<result_code, std::uint64_t> refusals;
};

class metrics {
public:
    void note_read(const metric_key& key, request_target target, duration took);
    void note_write(const metric_key& key, duration took);
    void note_refusal(const metric_key& key, result_code code);
    void note_retry(const metric_key& key);
    void drop_gauges(const std::string& beginning); // of names that begin so
    void set_gauge(const std::string& name, double value) { gauges_[name] = value; }

    [[nodiscard]] std::string to_text() const;

private:
    std::map<metric_key, request_metrics> by_key_;
    std::map<std::string, double> gauges_;
};

std::string_view to_string(request_class klass);

} // namespace larchpin
