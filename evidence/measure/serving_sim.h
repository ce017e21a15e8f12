#pragma once

#include "evidence/virtual_time.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/serving/dispatcher.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::measure {

/// @brief How a simulated entry instance selects upstreams. The routers without the dispatcher are
/// baselines.
enum class Router { Dispatcher, RandomWithRetries, RoundRobinWithRetries };

/// @brief Options of a simulated zone with entry instances and the upstreams of one service.
struct SimOptions
{
    Router router = Router::Dispatcher;
    serving::SlotSharing sharing;
    unsigned upstreams = 10;
    unsigned failingUpstreams = 0;
    unsigned slots = 8;
    /// Relative arrival rate of each entry instance.
    std::vector<double> weights{1, 1, 1};
    double archiveShare = 0.1;
    base::Duration meanServiceTime = std::chrono::milliseconds(50);
    base::Duration deadline = std::chrono::seconds(10);
};

/// @brief Counts of arrived requests and completed work in one phase.
struct PhaseFigures
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t attempts = 0;
    /// Requests that were sent to an upstream at least once.
    std::uint64_t firstAttempts = 0;
    std::uint64_t refusals = 0;
    std::vector<std::uint64_t> completedByEntry;
    std::vector<std::uint64_t> requestsByEntry;
    std::vector<base::Duration> quickLatencies;
    /// Total slot time of successful requests.
    base::Duration usefulSlotTime{};
    base::Duration length{};
    double slots = 0;

    double goodput() const;
    double rejectedShare() const;
    /// Attempts per request that was sent to an upstream.
    double amplification() const;
    double refusalsPerAttempt() const;
    base::Duration quickQuantile(double quantile) const;
    /// Smallest completed share of an entry instance's requests divided by the largest.
    double fairness() const;
};

/// @brief An upstream that refuses requests beyond its slots. A failing one uses no slot and
/// returns an error after 1 ms.
struct FakeUpstream
{
    serving::UpstreamTarget target;
    unsigned inUse = 0;
    bool failing = false;
};

/// @brief Simulates open-loop arrivals at the entry instances in virtual time.
class ServingSim
{
public:
    ServingSim(SimOptions options, std::uint64_t seed);
    ~ServingSim();

    /// @brief Offers `load` times the slot capacity for `length` and returns the figures.
    PhaseFigures run(double load, base::Duration length);

private:
    struct Request;
    using RequestPtr = std::shared_ptr<Request>;

    void scheduleArrival(unsigned entry, double load, base::TimePoint end);
    void arrive(unsigned entry);
    void dispatch(const RequestPtr &request);
    void attempt(const RequestPtr &request, FakeUpstream &upstream);
    void serveAt(FakeUpstream &upstream, const RequestPtr &request);
    void handleResponse(const RequestPtr &request, serving::AttemptOutcome outcome,
                        base::Duration serviceTime);
    void retryOrFail(const RequestPtr &request, serving::AttemptOutcome outcome);
    FakeUpstream &pickWithoutDispatcher(unsigned entry);
    FakeUpstream &upstreamOf(const std::string &id);
    void pollAll();
    void gossip();

    bool isClosing_ = false;
    SimOptions options_;
    base::Rng rng_;
    VirtualTime time_;
    std::vector<FakeUpstream> upstreams_;
    std::vector<std::unique_ptr<serving::Dispatcher>> entries_;
    std::vector<std::size_t> roundRobin_;
    PhaseFigures figures_;
};

} // namespace chicorywick::measure
