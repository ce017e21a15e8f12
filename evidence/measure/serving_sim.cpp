#include "evidence/measure/serving_sim.h"

#include <algorithm>

namespace chicorywick::measure {

using namespace std::chrono_literals;
using serving::AttemptOutcome;

namespace {

constexpr const char *kService = "print";
constexpr base::Duration kOneWayDelay = 250us;
constexpr base::Duration kFailureDelay = 1ms;
constexpr base::Duration kPollInterval = 5ms;
constexpr base::Duration kGossipInterval = 200ms;
constexpr base::Duration kGossipDelay = 10ms;
constexpr double kGossipLoss = 0.05;
constexpr int kMaxBaselineAttempts = 3;
constexpr std::uint64_t kCallers = 20;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

} // namespace

struct ServingSim::Request
{
    unsigned entry = 0;
    serving::AdmissionRequest admission;
    base::TimePoint arrivedAt;
    base::TimePoint sentAt;
    int attempts = 0;
    std::string target;
    std::optional<serving::Permit> permit;
};

double PhaseFigures::goodput() const
{
    return ratio(static_cast<double>(usefulSlotTime.count()),
                 slots * static_cast<double>(length.count()));
}

double PhaseFigures::rejectedShare() const
{
    return ratio(static_cast<double>(rejected), static_cast<double>(requests));
}

double PhaseFigures::amplification() const
{
    return ratio(static_cast<double>(attempts), static_cast<double>(firstAttempts));
}

double PhaseFigures::refusalsPerAttempt() const
{
    return ratio(static_cast<double>(refusals), static_cast<double>(attempts));
}

base::Duration PhaseFigures::quickQuantile(double quantile) const
{
    if (quickLatencies.empty())
        return {};
    std::vector<base::Duration> sorted = quickLatencies;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
}

double PhaseFigures::fairness() const
{
    double least = 1;
    double most = 0;
    for (std::size_t i = 0; i < requestsByEntry.size(); ++i) {
        const double share = ratio(static_cast<double>(completedByEntry[i]),
                                   static_cast<double>(requestsByEntry[i]));
        least = std::min(least, share);
        most = std::max(most, share);
    }
    return ratio(least, most);
}

ServingSim::ServingSim(SimOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , rng_(seed)
    , roundRobin_(options_.weights.size())
{
    serving::RoutingTable table;
    table.localZone = "z1";
    table.entryInstancesInZone = static_cast<unsigned>(options_.weights.size());
    serving::ServiceRoute &route = table.services[kService];
    route.policy.slotsPerUpstream = options_.slots;
    for (unsigned i = 0; i < options_.upstreams; ++i) {
        const serving::UpstreamTarget target{"u" + std::to_string(i), "h", static_cast<int>(i),
                                             "z1"};
        upstreams_.push_back({target, 0, i < options_.failingUpstreams});
        route.upstreams.push_back({target});
    }
    for (std::size_t i = 0; i < options_.weights.size(); ++i) {
        entries_.push_back(
                std::make_unique<serving::Dispatcher>(time_.clock(), rng_(), options_.sharing));
        entries_.back()->update(table);
    }
    pollAll();
    gossip();
}

// Destroying pending events releases their permits, which dispatches queued requests. isClosing_
// makes their callbacks return.
ServingSim::~ServingSim()
{
    isClosing_ = true;
}

PhaseFigures ServingSim::run(double load, base::Duration length)
{
    figures_ = {};
    figures_.requestsByEntry.resize(entries_.size());
    figures_.completedByEntry.resize(entries_.size());
    figures_.length = length;
    figures_.slots = options_.slots * options_.upstreams;
    const base::TimePoint end = time_.now() + length;
    for (unsigned entry = 0; entry < entries_.size(); ++entry)
        scheduleArrival(entry, load, end);
    time_.runUntil(end);
    return figures_;
}

void ServingSim::scheduleArrival(unsigned entry, double load, base::TimePoint end)
{
    double total = 0;
    for (const double weight : options_.weights)
        total += weight;
    const double capacity = options_.slots * options_.upstreams
                            / std::chrono::duration<double>(options_.meanServiceTime).count();
    const double rate = capacity * load * options_.weights[entry] / total;
    if (rate <= 0)
        return;
    const base::Duration gap(static_cast<std::int64_t>(rng_.exponential(1e6 / rate)));
    if (time_.now() + gap >= end)
        return;
    time_.after(gap, [this, entry, load, end] {
        arrive(entry);
        scheduleArrival(entry, load, end);
    });
}

void ServingSim::arrive(unsigned entry)
{
    auto request = std::make_shared<Request>();
    request->entry = entry;
    request->arrivedAt = time_.now();
    request->admission.service = kService;
    request->admission.caller = "c" + std::to_string(rng_.below(kCallers));
    request->admission.requestClass = rng_.chance(options_.archiveShare)
                                              ? serving::RequestClass::Archive
                                              : serving::RequestClass::Quick;
    request->admission.deadline = time_.now() + options_.deadline;
    ++figures_.requests;
    ++figures_.requestsByEntry[entry];
    dispatch(request);
}

void ServingSim::dispatch(const RequestPtr &request)
{
    if (options_.router != Router::Dispatcher) {
        attempt(request, pickWithoutDispatcher(request->entry));
        return;
    }
    entries_[request->entry]->submit(request->admission, [this, request](auto result) {
        if (isClosing_)
            return;
        if (result.has_error()) {
            ++figures_.rejected;
            return;
        }
        request->permit = std::move(result.value());
        attempt(request, upstreamOf(request->permit->upstream().id));
    });
}

void ServingSim::attempt(const RequestPtr &request, FakeUpstream &upstream)
{
    if (++request->attempts == 1)
        ++figures_.firstAttempts;
    ++figures_.attempts;
    request->sentAt = time_.now();
    request->target = upstream.target.id;
    time_.after(kOneWayDelay, [this, request, &upstream] { serveAt(upstream, request); });
}

void ServingSim::serveAt(FakeUpstream &upstream, const RequestPtr &request)
{
    if (upstream.failing) {
        time_.after(kFailureDelay + kOneWayDelay,
                    [=, this] { handleResponse(request, AttemptOutcome::Failed, {}); });
        return;
    }
    if (upstream.inUse >= options_.slots) {
        ++figures_.refusals;
        time_.after(kOneWayDelay,
                    [=, this] { handleResponse(request, AttemptOutcome::Refused, {}); });
        return;
    }
    ++upstream.inUse;
    const auto mean = static_cast<double>(options_.meanServiceTime.count());
    const base::Duration serviceTime(static_cast<std::int64_t>(rng_.exponential(mean)) + 1);
    time_.after(serviceTime, [this, request, &upstream, serviceTime] {
        --upstream.inUse;
        time_.after(kOneWayDelay,
                    [=, this] { handleResponse(request, AttemptOutcome::Succeeded, serviceTime); });
    });
}

void ServingSim::handleResponse(const RequestPtr &request, AttemptOutcome outcome,
                                base::Duration serviceTime)
{
    if (request->permit) {
        request->permit->finish(outcome, time_.now() - request->sentAt);
        request->permit.reset();
    }
    if (outcome != AttemptOutcome::Succeeded) {
        retryOrFail(request, outcome);
        return;
    }
    ++figures_.completed;
    ++figures_.completedByEntry[request->entry];
    figures_.usefulSlotTime += serviceTime;
    if (request->admission.requestClass == serving::RequestClass::Quick)
        figures_.quickLatencies.push_back(time_.now() - request->arrivedAt);
}

void ServingSim::retryOrFail(const RequestPtr &request, AttemptOutcome outcome)
{
    const bool retry = options_.router == Router::Dispatcher
                               ? entries_[request->entry]->tryRetry(kService)
                               : request->attempts < kMaxBaselineAttempts;
    if (!retry) {
        ++figures_.rejected;
        return;
    }
    // A refusal lowers the upstream's limit, and a later attempt there may find a free slot.
    if (outcome != AttemptOutcome::Refused)
        request->admission.excludedUpstreams.push_back(request->target);
    request->admission.isRetry = true;
    dispatch(request);
}

FakeUpstream &ServingSim::pickWithoutDispatcher(unsigned entry)
{
    if (options_.router == Router::RandomWithRetries)
        return upstreams_[rng_.below(upstreams_.size())];
    return upstreams_[roundRobin_[entry]++ % upstreams_.size()];
}

FakeUpstream &ServingSim::upstreamOf(const std::string &id)
{
    return upstreams_[std::stoul(id.substr(1))];
}

void ServingSim::pollAll()
{
    for (const auto &entry : entries_)
        entry->poll();
    time_.after(kPollInterval, [this] { pollAll(); });
}

void ServingSim::gossip()
{
    for (std::size_t to = 0; to < entries_.size(); ++to) {
        if (rng_.chance(kGossipLoss))
            continue;
        std::vector<unsigned> totals(upstreams_.size());
        for (std::size_t from = 0; from < entries_.size(); ++from) {
            if (from == to)
                continue;
            for (const serving::UpstreamLoadView &load : entries_[from]->loads())
                totals[std::stoul(load.id.substr(1))] += load.inFlight;
        }
        time_.after(kGossipDelay, [this, to, totals] {
            for (std::size_t i = 0; i < totals.size(); ++i)
                entries_[to]->reportRemoteLoad(upstreams_[i].target.id, totals[i]);
        });
    }
    time_.after(kGossipInterval, [this] { gossip(); });
}

} // namespace chicorywick::measure
