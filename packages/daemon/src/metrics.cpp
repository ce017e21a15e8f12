#include "metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace chicorywick::daemon {

namespace {

// Service names come from request paths of callers, so the number of label values must be limited.
// Further services are counted as "other".
constexpr std::size_t kMaxServiceLabels = 256;

const prometheus::Histogram::BucketBoundaries kLatencySeconds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 25};

} // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , requests_(prometheus::BuildCounter()
                        .Name("chicorywick_requests_total")
                        .Help("Callers' requests by service and outcome")
                        .Register(*registry_))
    , latency_(prometheus::BuildHistogram()
                       .Name("chicorywick_request_seconds")
                       .Help("Time from a caller's request to the end of its response")
                       .Register(*registry_))
    , state_(prometheus::BuildGauge()
                     .Name("chicorywick_state")
                     .Help("State of the daemon by name")
                     .Register(*registry_))
{}

std::string Metrics::serviceLabel(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    if (services_.size() < kMaxServiceLabels)
        services_.insert(service);
    return services_.contains(service) ? service : "other";
}

void Metrics::countRequest(const std::string &service, const std::string &outcome,
                           base::Duration latency)
{
    const std::string label = serviceLabel(service);
    requests_.Add({{"service", label}, {"outcome", outcome}}).Increment();
    latency_.Add({{"service", label}}, kLatencySeconds)
            .Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::setGauge(const std::string &name, double value)
{
    state_.Add({{"name", name}}).Set(value);
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, registry_->Collect());
    return out.str();
}

} // namespace chicorywick::daemon
