#include "dispatcher_core.h"

#include <chicorywick/serving/dispatcher.h>

#include <algorithm>
#include <condition_variable>

namespace chicorywick::serving {

namespace {

// Interval at which a waiting request checks for time-based changes, such as the end of an
// ejection.
constexpr base::Duration kPollInterval = std::chrono::milliseconds(20);
constexpr base::Duration kShortestWait = std::chrono::milliseconds(1);

/// @brief Passes the result of a queued request to the thread that waits for it.
struct SharedResult
{
    std::mutex mutex;
    std::condition_variable arrived;
    std::optional<base::Result<Permit>> result;
};

void setResult(SharedResult &sharedResult, base::Result<Permit> result)
{
    const std::lock_guard lock(sharedResult.mutex);
    sharedResult.result = std::move(result);
    sharedResult.arrived.notify_one();
}

std::optional<base::Result<Permit>> waitFor(SharedResult &sharedResult, base::Duration longest)
{
    std::unique_lock lock(sharedResult.mutex);
    sharedResult.arrived.wait_for(lock, longest, [&] { return sharedResult.result.has_value(); });
    return std::move(sharedResult.result);
}

base::Result<Permit> waitInQueue(DispatcherCore &core, const AdmissionRequest &request)
{
    const auto sharedResult = std::make_shared<SharedResult>();
    auto callback = [sharedResult](base::Result<Permit> result) {
        setResult(*sharedResult, std::move(result));
    };
    core.enqueue(std::make_shared<Waiter>(Waiter{request, std::move(callback)}));
    while (true) {
        const base::Duration left = request.deadline - core.now();
        if (auto result = waitFor(*sharedResult, std::clamp(left, kShortestWait, kPollInterval)))
            return std::move(*result);
        core.poll();
    }
}

} // namespace

Dispatcher::Dispatcher(base::Clock clock, std::uint64_t seed, SlotSharing sharing)
    : core_(std::make_shared<DispatcherCore>(std::move(clock), seed, sharing))
{}

Dispatcher::~Dispatcher() = default;

void Dispatcher::update(const RoutingTable &table)
{
    core_->update(table);
}

base::Result<Permit> Dispatcher::acquire(const AdmissionRequest &request)
{
    while (true) {
        auto decided = core_->tryAdmit(request);
        base::Result<Permit> result = decided ? std::move(*decided) : waitInQueue(*core_, request);
        // The upstream may have started to leave between the grant and the wake-up of this thread.
        if (result.has_error() || result.value().isUsable())
            return result;
    }
}

void Dispatcher::submit(const AdmissionRequest &request, AdmissionCallback callback)
{
    core_->submit(request, std::move(callback));
}

void Dispatcher::poll()
{
    core_->poll();
}

bool Dispatcher::tryRetry(const std::string &service)
{
    return core_->tryRetry(service);
}

void Dispatcher::reportRemoteLoad(const std::string &upstream, unsigned inFlight)
{
    core_->reportRemoteLoad(upstream, inFlight);
}

void Dispatcher::stopAdmission()
{
    core_->stopAdmission();
}

std::size_t Dispatcher::inFlight() const
{
    return core_->inFlight();
}

std::size_t Dispatcher::queued() const
{
    return core_->queued();
}

base::Duration Dispatcher::retryAfter(const std::string &service) const
{
    return core_->retryAfter(service);
}

std::vector<UpstreamLoadView> Dispatcher::loads() const
{
    return core_->loads();
}

} // namespace chicorywick::serving
