#include <chicorywick/serving/dispatcher.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace chicorywick::serving {

using namespace std::chrono_literals;

namespace {

RoutingTable tableOf(std::vector<RoutedUpstream> upstreams, unsigned slots)
{
    RoutingTable table;
    table.localZone = "z1";
    ServiceRoute route;
    route.policy.slotsPerUpstream = slots;
    route.upstreams = std::move(upstreams);
    table.services["print"] = std::move(route);
    return table;
}

AdmissionRequest requestBy(base::TimePoint deadline)
{
    AdmissionRequest request;
    request.service = "print";
    request.caller = "a";
    request.deadline = deadline;
    return request;
}

} // namespace

// Guards against sending new requests to an upstream that leaves or fails its health check.
TEST_CASE("a leaving upstream gets no new requests after update has returned")
{
    const base::Clock clock;
    Dispatcher dispatcher(clock, 1);
    const UpstreamTarget first{"u1", "h", 1, "z1"};
    const UpstreamTarget second{"u2", "h", 2, "z1"};
    dispatcher.update(tableOf({{first}, {second}}, 8));
    dispatcher.update(tableOf({{first, true}, {second, false, false}}, 8));
    const auto permit = dispatcher.acquire(requestBy(clock.now() + 1s));
    REQUIRE(permit.has_error());
    CHECK(permit.error().code == base::Code::NoUpstream);
}

// Guards against leaking a slot when its permit is destroyed unfinished.
TEST_CASE("a destroyed permit releases its slot")
{
    const base::Clock clock;
    Dispatcher dispatcher(clock, 1);
    dispatcher.update(tableOf({{{"u1", "h", 1, "z1"}}}, 1));
    {
        const auto permit = dispatcher.acquire(requestBy(clock.now() + 1s));
        REQUIRE(permit.has_value());
        CHECK(dispatcher.inFlight() == 1);
    }
    CHECK(dispatcher.inFlight() == 0);
}

// Guards against a lost wake-up: a slot is released while a request is being queued, and the
// request never gets it.
TEST_CASE("threads that compete for few slots all get one")
{
    const base::Clock clock;
    Dispatcher dispatcher(clock, 1);
    dispatcher.update(tableOf({{{"u1", "h", 1, "z1"}}, {{"u2", "h", 2, "z1"}}}, 2));
    constexpr int kThreads = 8;
    constexpr int kRequests = 400;
    std::atomic<int> served = 0;
    std::atomic<int> tooMany = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < kThreads; ++i) {
        threads.emplace_back([&, i] {
            AdmissionRequest request = requestBy(clock.now() + 60s);
            request.caller = "c" + std::to_string(i);
            request.requestClass = i % 2 == 0 ? RequestClass::Quick : RequestClass::Archive;
            for (int k = 0; k < kRequests; ++k) {
                auto permit = dispatcher.acquire(request);
                if (permit.has_error())
                    continue;
                tooMany += dispatcher.inFlight() > 4 ? 1 : 0;
                ++served;
                permit.value().finish(AttemptOutcome::Succeeded, 1us);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(served == kThreads * kRequests);
    CHECK(tooMany == 0);
    CHECK(dispatcher.inFlight() == 0);
    CHECK(dispatcher.queued() == 0);
}

// Guards against a queued request that outlives its deadline or its service.
TEST_CASE("a queued request ends when its deadline passes or its upstreams or service go away")
{
    const auto time = std::make_shared<base::ManualTime>();
    Dispatcher dispatcher(base::Clock(time), 1);
    const RoutingTable table = tableOf({{{"u1", "h", 1, "z1"}}}, 1);
    dispatcher.update(table);
    const auto held = dispatcher.acquire(requestBy(time->now() + 1h));
    std::vector<base::Code> codes;
    const auto submit = [&](base::Duration within) {
        dispatcher.submit(requestBy(time->now() + within), [&](const base::Result<Permit> &result) {
            codes.push_back(result.error().code);
        });
    };
    submit(1s);
    CHECK(dispatcher.queued() == 1);
    time->advance(1s);
    dispatcher.poll();
    submit(1h);
    RoutingTable leaving = table;
    leaving.services["print"].upstreams[0].leaving = true;
    dispatcher.update(leaving);
    dispatcher.update(table);
    submit(1h);
    dispatcher.update({});
    CHECK(codes
          == std::vector{base::Code::DeadlineExceeded, base::Code::NoUpstream,
                         base::Code::UnknownService});
    CHECK(dispatcher.inFlight() == 1);
}

// Guards against exceeding the slots when an upstream disappears from the list and returns with
// requests still in flight.
TEST_CASE("an upstream that returns still counts its requests in flight")
{
    const base::Clock clock;
    Dispatcher dispatcher(clock, 1);
    const RoutingTable table = tableOf({{{"u1", "h", 1, "z1"}}}, 1);
    dispatcher.update(table);
    auto held = dispatcher.acquire(requestBy(clock.now() + 1s));
    REQUIRE(held.has_value());
    dispatcher.update(tableOf({}, 1));
    dispatcher.update(table);
    const auto second = dispatcher.acquire(requestBy(clock.now() + 5ms));
    REQUIRE(second.has_error());
    CHECK(second.error().code == base::Code::DeadlineExceeded);
    held.value().finish(AttemptOutcome::Succeeded, 1ms);
    CHECK(dispatcher.acquire(requestBy(clock.now() + 1s)).has_value());
}

// Guards against using another zone while the local zone has free slots.
TEST_CASE("another zone is used once the local zone is full")
{
    const base::Clock clock;
    Dispatcher dispatcher(clock, 1);
    dispatcher.update(tableOf({{{"u1", "h", 1, "z2"}}, {{"u2", "h", 2, "z1"}}}, 1));
    const auto first = dispatcher.acquire(requestBy(clock.now() + 1s));
    const auto second = dispatcher.acquire(requestBy(clock.now() + 1s));
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first.value().upstream().id == "u2");
    CHECK(second.value().upstream().id == "u1");
}

// Guards against failing requests in flight during a shutdown because their retry is rejected.
TEST_CASE("a stopped dispatcher rejects new requests and admits retries of those in flight")
{
    const base::Clock clock;
    Dispatcher dispatcher(clock, 1);
    dispatcher.update(tableOf({{{"u1", "h", 1, "z1"}}}, 8));
    dispatcher.stopAdmission();
    AdmissionRequest request = requestBy(clock.now() + 1s);
    CHECK(dispatcher.acquire(request).error().code == base::Code::ShuttingDown);
    request.isRetry = true;
    CHECK(dispatcher.acquire(request).has_value());
}

} // namespace chicorywick::serving
