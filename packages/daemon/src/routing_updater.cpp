#include "routing_updater.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::daemon {

namespace {

// A notice older than this by the time the grants were read must show in them; members' clocks may
// differ this much.
constexpr base::Duration kNoticeMargin = std::chrono::seconds(3);

template <typename Value>
void setIfConfigured(Value &field, std::uint32_t configured)
{
    if (configured != 0)
        field = static_cast<Value>(configured);
}

} // namespace

serving::ServicePolicy toPolicy(const v1::ServiceConfig &config)
{
    serving::ServicePolicy policy;
    setIfConfigured(policy.slotsPerUpstream, config.slots_per_upstream());
    setIfConfigured(policy.connectionsPerUpstream, config.connections_per_upstream());
    setIfConfigured(policy.queueLimit, config.queue_limit());
    setIfConfigured(policy.queueLimitPerCaller, config.queue_limit_per_caller());
    setIfConfigured(policy.archiveSharePercent, config.archive_share_percent());
    setIfConfigured(policy.retryPercent, config.retry_percent());
    if (config.default_deadline_ms() != 0)
        policy.defaultDeadline = std::chrono::milliseconds(config.default_deadline_ms());
    return policy;
}

RoutingUpdater::RoutingUpdater(std::string zone, base::Clock clock, PlatformAccess platform,
                               std::shared_ptr<serving::Dispatcher> dispatcher,
                               std::function<void(const std::string &)> onGranted)
    : zone_(std::move(zone))
    , clock_(std::move(clock))
    , platform_(std::move(platform))
    , fleet_(platform_.table)
    , dispatcher_(std::move(dispatcher))
    , onGranted_(std::move(onGranted))
    , zones_{zone_}
{}

void RoutingUpdater::refreshList()
{
    const auto listing = platform_.instances.list();
    if (!listing)
        return;
    {
        const std::lock_guard lock(mutex_);
        directory_.applyListing(listing.value());
        hasList_ = true;
        zones_ = {zone_};
        listedServices_.clear();
        for (const platform::ListedInstance &instance : listing.value().instances) {
            zones_.insert(instance.zone);
            if (instance.kind == platform::InstanceKind::Upstream)
                listedServices_.insert(instance.service);
        }
    }
    publish();
}

void RoutingUpdater::refreshGrants()
{
    const base::TimePoint readAt = clock_.now();
    const auto pools = fleet_.pools();
    if (!pools)
        return;
    std::set<std::string> granted;
    std::set<std::string> names;
    for (const auto &pool : pools.value()) {
        names.insert(pool.value.data().name);
        for (const auto &grant : pool.value.data().grants)
            granted.insert(grant.instance.id);
    }
    std::vector<std::string> added;
    {
        const std::lock_guard lock(mutex_);
        std::set_difference(granted.begin(), granted.end(), granted_.begin(), granted_.end(),
                            std::back_inserter(added));
        granted_ = std::move(granted);
        pools_ = std::move(names);
        endOldNotices(readAt);
    }
    publish();
    for (const std::string &upstream : added)
        onGranted_(upstream);
}

void RoutingUpdater::endOldNotices(base::TimePoint readAt)
{
    for (const serving::DrainDecision &notice : directory_.drains()) {
        const bool isOver = notice.draining && !granted_.contains(notice.upstream)
                            && notice.timestamp + kNoticeMargin < readAt;
        if (isOver)
            directory_.applyDrain(directory_.decideDrain(notice.upstream, false, readAt));
    }
}

void RoutingUpdater::probe()
{
    std::vector<ProbeTarget> targets;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[service, route] : makeTable().services) {
            for (const serving::RoutedUpstream &upstream : route.upstreams)
                targets.push_back(
                        {upstream.target.id, {upstream.target.host, upstream.target.port}});
        }
    }
    const std::vector<ProbeResult> results =
            probeUpstreams(targets, serving::HealthPolicy().timeout);
    {
        const std::lock_guard lock(mutex_);
        for (const ProbeResult &result : results)
            directory_.applyHealthCheck(result.id, result.passed);
    }
    publish();
}

void RoutingUpdater::noteDrain(const std::string &upstream, base::TimePoint stamp)
{
    {
        const std::lock_guard lock(mutex_);
        directory_.applyDrain({upstream, true, stamp});
    }
    publish();
}

void RoutingUpdater::setConfig(const ConfigView &view)
{
    {
        const std::lock_guard lock(mutex_);
        policies_.clear();
        for (const auto &[service, config] : view.services)
            policies_[service] = toPolicy(config);
    }
    publish();
}

void RoutingUpdater::setEntryInstancesInZone(unsigned count)
{
    {
        const std::lock_guard lock(mutex_);
        entryInstancesInZone_ = std::max(1U, count);
    }
    publish();
}

// A listed service without configuration is served with default limits. The grants in the table are
// the truth; notices only bring the news of them earlier.
serving::RoutingTable RoutingUpdater::makeTable() const
{
    std::map<std::string, serving::ServicePolicy> policies = policies_;
    for (const std::string &service : listedServices_)
        policies.try_emplace(service);
    serving::RoutingTable table = directory_.table(zone_, entryInstancesInZone_, policies);
    for (auto &[service, route] : table.services) {
        for (serving::RoutedUpstream &upstream : route.upstreams)
            upstream.leaving = upstream.leaving || granted_.contains(upstream.target.id);
    }
    return table;
}

// The lock is held while the table is published, so that an older table never follows a newer one.
void RoutingUpdater::publish()
{
    const std::lock_guard lock(mutex_);
    serving::RoutingTable table = makeTable();
    if (table == published_)
        return;
    dispatcher_->update(table);
    published_ = std::move(table);
    base::logEvent(base::Event::RoutingPublished,
                   {{"services", std::to_string(published_.services.size())}});
}

bool RoutingUpdater::hasList() const
{
    const std::lock_guard lock(mutex_);
    return hasList_;
}

serving::RoutingTable RoutingUpdater::table() const
{
    const std::lock_guard lock(mutex_);
    return published_;
}

std::vector<std::string> RoutingUpdater::services() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto &[service, route] : published_.services)
        names.push_back(service);
    return names;
}

std::set<std::string> RoutingUpdater::zones() const
{
    const std::lock_guard lock(mutex_);
    return zones_;
}

std::set<std::string> RoutingUpdater::pools() const
{
    const std::lock_guard lock(mutex_);
    return pools_;
}

} // namespace chicorywick::daemon
