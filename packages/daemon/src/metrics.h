#pragma once

#include <chicorywick/base/clock.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace chicorywick::daemon {

/// @brief The daemon's Prometheus metrics.
class Metrics
{
public:
    Metrics();

    void countRequest(const std::string &service, const std::string &outcome,
                      base::Duration latency);
    void setGauge(const std::string &name, double value);

    /// @brief All metrics in the Prometheus text format.
    std::string text() const;

private:
    std::string serviceLabel(const std::string &service);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Histogram> &latency_;
    prometheus::Family<prometheus::Gauge> &state_;
    std::mutex mutex_;
    std::set<std::string> services_;
};

} // namespace chicorywick::daemon
