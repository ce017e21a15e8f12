#pragma once

#include "evidence/virtual_time.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/serving/dispatcher.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::measure {

/// @brief How an entry instance of the fake chooses upstreams.
enum class Router { Dispatcher, RandomNaive, RoundRobinNaive };

/// @brief One zone: entry instances before the upstreams of one service.
struct SimOptions
{
    Router router = Router::Dispatcher;
    serving::SlotSharing sharing;
    unsigned upstreams = 10;
    unsigned failingUpstreams = 0;
    unsigned slots = 8;
    /// Share of the arrivals that each entry instance gets.
    std::vector<double> weights{1, 1, 1};
    double archiveShare = 0.1;
    base::Duration meanHold = std::chrono::milliseconds(50);
    base::Duration deadline = std::chrono::seconds(10);
};

/// @brief Counts of the requests that arrived, and of the work that ended, in one phase.
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
    /// Slot time of the requests that were answered with success.
    base::Duration usefulHold{};
    base::Duration length{};
    double slots = 0;

    double goodput() const;
    double rejectedShare() const;
    /// Attempts per request that was sent at all.
    double amplification() const;
    double refusalsPerAttempt() const;
    base::Duration quickQuantile(double quantile) const;
    /// Smallest served share of an entry instance's requests over the largest.
    double fairness() const;
};

/// @brief A runner that refuses what exceeds its slots; a failing one answers at once with an
/// error.
struct FakeUpstream
{
    serving::UpstreamTarget target;
    unsigned inUse = 0;
    bool failing = false;
};

/// @brief Open-loop arrivals over the entry instances, in virtual time.
class ServingSim
{
public:
    ServingSim(SimOptions options, std::uint64_t seed);
    ~ServingSim();

    /// @brief Offers `load` times the slot capacity for the given time.
    PhaseFigures run(double load, base::Duration length);

private:
    struct Request;
    using RequestPtr = std::shared_ptr<Request>;

    void scheduleArrival(unsigned entry, double load, base::TimePoint end);
    void arrive(unsigned entry);
    void dispatch(const RequestPtr &request);
    void attempt(const RequestPtr &request, FakeUpstream &upstream);
    void serveAt(FakeUpstream &upstream, const RequestPtr &request);
    void answer(const RequestPtr &request, serving::AttemptOutcome outcome, base::Duration hold);
    void retryOrFail(const RequestPtr &request, serving::AttemptOutcome outcome);
    FakeUpstream &naivePick(unsigned entry);
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
