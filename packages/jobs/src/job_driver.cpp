#include "driver_core.h"

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Spreads the retries of many daemons over several seconds to protect a slow table.
constexpr base::BackoffPolicy kTableBackoff{.initial = std::chrono::milliseconds(250),
                                            .maximum = std::chrono::seconds(10)};

} // namespace

std::shared_ptr<base::TokenBucket> makeWriteBudget(double writesPerSecond)
{
    return std::make_shared<base::TokenBucket>(base::TokenBucketLimits{
            .tokensPerSecond = writesPerSecond,
            .burst = std::max<double>(kMaxGroupedChanges * 2, writesPerSecond / 2)});
}

JobDriver::JobDriver(const JobPlatform &platform, JobDriverOptions options)
    : core_(std::make_unique<Core>(platform, std::move(options)))
{}

JobDriver::~JobDriver() = default;
JobDriver::JobDriver(JobDriver &&) noexcept = default;
JobDriver &JobDriver::operator=(JobDriver &&) noexcept = default;

void JobDriver::setPools(std::vector<std::string> pools)
{
    core_->setPools(std::move(pools));
}

void JobDriver::setQuotas(const std::vector<TeamQuota> &quotas)
{
    core_->setQuotas(quotas);
}

JobStepReport JobDriver::step(base::TimePoint now)
{
    return core_->step(now);
}

JobDriver::Core::Core(const JobPlatform &platform, JobDriverOptions options)
    : platform_(platform)
    , options_(std::move(options))
    , repository_(platform.table, platform.objects, options_.beforeCall)
    , rng_(options_.seed)
    , fleet_(options_.defaultPool)
    , tableBackoff_(kTableBackoff)
{
    if (!options_.writeBudget)
        options_.writeBudget = makeWriteBudget(kDefaultWritesPerSecond);
}

void JobDriver::Core::setPools(std::vector<std::string> pools)
{
    pools_ = std::move(pools);
    cache_.keepPools({pools_.begin(), pools_.end()});
}

void JobDriver::Core::setQuotas(const std::vector<TeamQuota> &quotas)
{
    quotas_.clear();
    for (const TeamQuota &quota : quotas)
        quotas_.insert_or_assign(quota.team, quota);
}

void JobDriver::Core::notifyBeforeCall(const char *call) const
{
    if (options_.beforeCall)
        options_.beforeCall(call);
}

// The clock is read again for each decision, because a step may be paused between any two calls.
JobStepReport JobDriver::Core::step(base::TimePoint)
{
    report_ = {};
    refreshFleet();
    refreshRecords();
    refreshJobs();
    applyChanges(observeAttempts());
    quarantineSuspects();
    placeQueued();
    removeFinished();
    for (const auto &[pool, jobs] : cache_.pools()) {
        for (const auto &[key, stored] : jobs)
            ++(isActive(stored.job.state()) ? report_.active : report_.queued);
    }
    report_.tableDown = tableDown_;
    return report_;
}

} // namespace chicorywick::jobs
