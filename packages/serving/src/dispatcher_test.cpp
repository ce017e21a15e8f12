#include <chicorywick/serving/dispatcher.h>

#include <doctest/doctest.h>

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

// Guards against sending new work to an upstream that leaves or fails its health check.
TEST_CASE("an upstream that leaves gets no new work once update has returned")
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

// Guards against a slot that leaks when its permit is destroyed.
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

} // namespace chicorywick::serving
