#include <chicorywick/serving/dispatcher.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace chicorywick::serving {

namespace {

constexpr base::Duration kWaitStep = std::chrono::milliseconds(20);
constexpr double kRetryBurst = 10;

} // namespace

struct UpstreamState
{
    RoutedUpstream routed;
    unsigned inFlight = 0;
    unsigned remote = 0;
};

/// @brief Mutex and state shared by all services; permits keep it alive.
struct ServiceState
{
    ServicePolicy policy;
    std::vector<std::shared_ptr<UpstreamState>> upstreams;
    std::size_t queued = 0;
    double retryTokens = kRetryBurst;
    std::shared_ptr<std::mutex> mutex;
    std::shared_ptr<std::condition_variable> released;
};

Permit::Permit(std::shared_ptr<ServiceState> service, std::shared_ptr<UpstreamState> upstream)
    : service_(std::move(service))
    , upstream_(std::move(upstream))
{}

Permit::Permit(Permit &&other) noexcept = default;

Permit &Permit::operator=(Permit &&other) noexcept
{
    if (this != &other) {
        finish(AttemptOutcome::Cancelled, {});
        service_ = std::move(other.service_);
        upstream_ = std::move(other.upstream_);
    }
    return *this;
}

Permit::~Permit()
{
    finish(AttemptOutcome::Cancelled, {});
}

const UpstreamTarget &Permit::upstream() const
{
    return upstream_->routed.target;
}

void Permit::finish(AttemptOutcome /*outcome*/, base::Duration /*latency*/)
{
    if (!service_)
        return;
    {
        const std::lock_guard lock(*service_->mutex);
        --upstream_->inFlight;
    }
    service_->released->notify_all();
    service_.reset();
}

class Dispatcher::Impl
{
public:
    base::Clock clock;
    std::shared_ptr<std::mutex> mutex = std::make_shared<std::mutex>();
    std::shared_ptr<std::condition_variable> released = std::make_shared<std::condition_variable>();
    std::string localZone;
    std::map<std::string, std::shared_ptr<ServiceState>> services;
    bool stopped = false;
};

Dispatcher::Dispatcher(base::Clock clock, std::uint64_t /*seed*/)
    : impl_(std::make_shared<Impl>())
{
    impl_->clock = std::move(clock);
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::update(const RoutingTable &table)
{
    const std::lock_guard lock(*impl_->mutex);
    impl_->localZone = table.localZone;
    std::map<std::string, std::shared_ptr<ServiceState>> next;
    for (const auto &[name, route] : table.services) {
        std::shared_ptr<ServiceState> &old = impl_->services[name];
        auto state = old ? old : std::make_shared<ServiceState>();
        std::vector<std::shared_ptr<UpstreamState>> upstreams;
        for (const RoutedUpstream &routed : route.upstreams) {
            const auto kept = std::find_if(state->upstreams.begin(), state->upstreams.end(),
                                           [&](const std::shared_ptr<UpstreamState> &known) {
                                               return known->routed.target == routed.target;
                                           });
            auto upstream =
                    kept != state->upstreams.end() ? *kept : std::make_shared<UpstreamState>();
            upstream->routed = routed;
            upstreams.push_back(std::move(upstream));
        }
        state->policy = route.policy;
        state->upstreams = std::move(upstreams);
        state->mutex = impl_->mutex;
        state->released = impl_->released;
        next[name] = std::move(state);
    }
    impl_->services = std::move(next);
    impl_->released->notify_all();
}

namespace {

bool accepts(const UpstreamState &upstream)
{
    return upstream.routed.healthy && !upstream.routed.leaving;
}

std::shared_ptr<UpstreamState> pick(const ServiceState &service, const AdmissionRequest &request,
                                    const std::string &localZone)
{
    std::shared_ptr<UpstreamState> best;
    const auto cost = [&](const UpstreamState &upstream) {
        const unsigned remoteZone = upstream.routed.target.zone == localZone ? 0 : 1;
        return std::pair(remoteZone, upstream.inFlight + upstream.remote);
    };
    for (const auto &upstream : service.upstreams) {
        const auto &excluded = request.excludedUpstreams;
        if (!accepts(*upstream) || upstream->inFlight >= service.policy.slotsPerUpstream
            || std::count(excluded.begin(), excluded.end(), upstream->routed.target.id) > 0) {
            continue;
        }
        if (!best || cost(*upstream) < cost(*best))
            best = upstream;
    }
    return best;
}

} // namespace

base::Result<Permit> Dispatcher::acquire(const AdmissionRequest &request)
{
    std::unique_lock lock(*impl_->mutex);
    bool waiting = false;
    while (true) {
        const auto found = impl_->services.find(request.service);
        if (impl_->stopped && !request.isRetry && !waiting)
            return base::makeError(base::Code::ShuttingDown);
        if (found == impl_->services.end())
            return base::makeError(base::Code::UnknownService, request.service);
        const std::shared_ptr<ServiceState> service = found->second;
        if (impl_->clock.now() >= request.deadline)
            return base::makeError(base::Code::DeadlineExceeded);
        if (auto upstream = pick(*service, request, impl_->localZone)) {
            ++upstream->inFlight;
            if (!request.isRetry)
                service->retryTokens = std::min(
                        kRetryBurst, service->retryTokens + service->policy.retryPercent / 100.0);
            return Permit(service, std::move(upstream));
        }
        const auto &upstreams = service->upstreams;
        if (std::none_of(upstreams.begin(), upstreams.end(),
                         [](const auto &upstream) { return accepts(*upstream); })) {
            return base::makeError(base::Code::NoUpstream, request.service);
        }
        if (service->queued >= service->policy.queueLimit)
            return base::makeError(base::Code::QueueFull, request.service);
        waiting = true;
        ++service->queued;
        impl_->released->wait_for(lock, kWaitStep);
        --service->queued;
    }
}

bool Dispatcher::tryRetry(const std::string &service)
{
    const std::lock_guard lock(*impl_->mutex);
    const auto found = impl_->services.find(service);
    if (found == impl_->services.end() || found->second->retryTokens < 1)
        return false;
    found->second->retryTokens -= 1;
    return true;
}

void Dispatcher::reportRemoteLoad(const std::string &upstream, unsigned inFlight)
{
    const std::lock_guard lock(*impl_->mutex);
    for (const auto &[name, service] : impl_->services) {
        for (const auto &known : service->upstreams) {
            if (known->routed.target.id == upstream)
                known->remote = inFlight;
        }
    }
}

void Dispatcher::stopAdmission()
{
    const std::lock_guard lock(*impl_->mutex);
    impl_->stopped = true;
}

std::size_t Dispatcher::inFlight() const
{
    std::size_t total = 0;
    for (const UpstreamLoadView &load : loads())
        total += load.inFlight;
    return total;
}

std::size_t Dispatcher::queued() const
{
    const std::lock_guard lock(*impl_->mutex);
    std::size_t total = 0;
    for (const auto &[name, service] : impl_->services)
        total += service->queued;
    return total;
}

base::Duration Dispatcher::retryAfter(const std::string & /*service*/) const
{
    return std::chrono::seconds(1);
}

std::vector<UpstreamLoadView> Dispatcher::loads() const
{
    const std::lock_guard lock(*impl_->mutex);
    std::vector<UpstreamLoadView> views;
    for (const auto &[name, service] : impl_->services) {
        for (const auto &upstream : service->upstreams)
            views.push_back({upstream->routed.target.id, name, upstream->inFlight});
    }
    return views;
}

} // namespace chicorywick::serving
