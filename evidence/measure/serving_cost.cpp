#include "evidence/measure/serving_cost.h"

#include <chicorywick/serving/dispatcher.h>

#include <malloc.h>

#include <deque>
#include <thread>
#include <vector>

namespace chicorywick::measure {

using namespace std::chrono_literals;
using serving::AttemptOutcome;
using serving::Dispatcher;

namespace {

constexpr const char *kService = "print";
constexpr int kIterations = 100000;
/// Permits held per upstream during the measurement: a quarter of the slots.
constexpr std::size_t kHeldPerUpstream = 2;

serving::RoutingTable tableOf(std::size_t upstreams)
{
    serving::RoutingTable table;
    table.localZone = "z1";
    serving::ServiceRoute &route = table.services[kService];
    for (std::size_t i = 0; i < upstreams; ++i)
        route.upstreams.push_back({{"upstream-" + std::to_string(i), "10.0.0.1", 80, "z1"}});
    return table;
}

serving::AdmissionRequest requestOf(const std::string &caller)
{
    serving::AdmissionRequest request;
    request.service = kService;
    request.caller = caller;
    request.deadline = base::Clock().now() + 1h;
    return request;
}

double nanosSince(std::chrono::steady_clock::time_point start, double count)
{
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return std::chrono::duration<double, std::nano>(elapsed).count() / count;
}

void acquireAndFinish(Dispatcher &dispatcher, std::size_t held)
{
    const serving::AdmissionRequest request = requestOf("caller");
    std::deque<serving::Permit> permits;
    for (std::size_t i = 0; i < held; ++i)
        permits.push_back(std::move(dispatcher.acquire(request).value()));
    for (int i = 0; i < kIterations; ++i) {
        permits.push_back(std::move(dispatcher.acquire(request).value()));
        permits.front().finish(AttemptOutcome::Succeeded, 1ms);
        permits.pop_front();
    }
}

std::vector<serving::Permit> takeAllSlots(Dispatcher &dispatcher, std::size_t slots)
{
    const serving::AdmissionRequest request = requestOf("holder");
    std::vector<serving::Permit> permits;
    for (std::size_t i = 0; i < slots; ++i)
        permits.push_back(std::move(dispatcher.acquire(request).value()));
    return permits;
}

} // namespace

double routingNanos(std::size_t upstreams, unsigned threads, std::uint64_t seed)
{
    Dispatcher dispatcher(base::Clock(), seed);
    dispatcher.update(tableOf(upstreams));
    const std::size_t held = kHeldPerUpstream * upstreams / threads;
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> running;
    for (unsigned i = 0; i < threads; ++i)
        running.emplace_back([&] { acquireAndFinish(dispatcher, held); });
    for (std::thread &thread : running)
        thread.join();
    return nanosSince(start, kIterations + static_cast<double>(held));
}

double rejectionNanos(std::size_t upstreams, std::uint64_t seed)
{
    Dispatcher dispatcher(base::Clock(), seed);
    const serving::ServicePolicy policy;
    dispatcher.update(tableOf(upstreams));
    const auto held = takeAllSlots(dispatcher, policy.slotsPerUpstream * upstreams);
    const serving::AdmissionRequest request = requestOf("caller");
    for (unsigned i = 0; i < policy.queueLimit; ++i)
        dispatcher.submit(requestOf("caller-" + std::to_string(i)), [](const auto &) {});
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kIterations; ++i)
        dispatcher.submit(request, [](const auto &) {});
    const double nanos = nanosSince(start, kIterations);
    dispatcher.update({});
    return nanos;
}

double queuedRequestBytes(std::uint64_t seed)
{
    Dispatcher dispatcher(base::Clock(), seed);
    const serving::ServicePolicy policy;
    dispatcher.update(tableOf(1));
    const auto held = takeAllSlots(dispatcher, policy.slotsPerUpstream);
    dispatcher.submit(requestOf("first caller"), [](const auto &) {});
    const auto before = mallinfo2().uordblks;
    for (unsigned i = 1; i < policy.queueLimit; ++i)
        dispatcher.submit(requestOf("caller-with-a-name-" + std::to_string(i)),
                          [](const auto &) {});
    const auto after = mallinfo2().uordblks;
    const double queued = policy.queueLimit - 1;
    dispatcher.update({});
    return static_cast<double>(after - before) / queued;
}

} // namespace chicorywick::measure
