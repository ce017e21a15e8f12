#include <chicorywick/serving/admission_rule.h>
#include <chicorywick/serving/ejection.h>
#include <chicorywick/serving/fair_queue.h>
#include <chicorywick/serving/pick_upstream.h>
#include <chicorywick/serving/retry_budget.h>
#include <chicorywick/serving/slot_sharing.h>
#include <chicorywick/serving/upstream_directory.h>
#include <chicorywick/serving/waiter.h>

#include <doctest/doctest.h>

#include <array>

namespace chicorywick::serving {

using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kNow(1h);

WaiterPtr waiterOf(const std::string &caller, RequestClass requestClass = RequestClass::Quick)
{
    AdmissionRequest request;
    request.caller = caller;
    request.requestClass = requestClass;
    return std::make_shared<Waiter>(Waiter{request, {}});
}

bool acceptAny(const Waiter & /*waiter*/)
{
    return true;
}

} // namespace

// Guards against choosing a full or ejected upstream because it has the lowest load.
TEST_CASE("the least loaded upstream below its limit is chosen")
{
    base::Rng rng(1);
    const std::array views{UpstreamView{.inFlight = 1, .limit = 1},
                           UpstreamView{.inFlight = 0, .limit = 8, .eligible = false},
                           UpstreamView{.inFlight = 1, .remoteInFlight = 5, .limit = 8},
                           UpstreamView{.inFlight = 3, .limit = 8}};
    CHECK(pickUpstream(views, rng) == 3);
    CHECK_FALSE(pickUpstream(std::span(views).first(2), rng).has_value());
}

// Guards against one caller's burst delaying all others.
TEST_CASE("callers take turns regardless of their queue lengths")
{
    FairQueue queue;
    for (int i = 0; i < 50; ++i)
        queue.push(waiterOf("busy"));
    queue.push(waiterOf("quiet"));
    CHECK(queue.pop(10, acceptAny)->request.caller == "busy");
    CHECK(queue.pop(10, acceptAny)->request.caller == "quiet");
    CHECK(queue.evictNewest(RequestClass::Quick)->request.caller == "busy");
    CHECK(queue.size() == 48);
}

// Guards against starvation of archive requests by a steady flow of quick ones.
TEST_CASE("archive requests start at least at their share")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i) {
        queue.push(waiterOf("a", RequestClass::Quick));
        queue.push(waiterOf("a", RequestClass::Archive));
    }
    int archive = 0;
    for (int i = 0; i < 100; ++i)
        archive += queue.pop(10, acceptAny)->request.requestClass == RequestClass::Archive ? 1 : 0;
    CHECK(archive == 10);
}

// Guards against queueing a request that is bound to miss its deadline.
TEST_CASE("a request that cannot start before its deadline is rejected")
{
    const ServiceRate rate{.slotsInUse = 10, .meanHoldTime = 100ms};
    AdmissionRequest request;
    request.requestClass = RequestClass::Archive;
    request.deadline = kNow + 200ms;
    const ServicePolicy policy;
    CHECK(decideAdmission(policy, request, {.archive = 18}, rate, kNow) == AdmissionVerdict::Queue);
    CHECK(decideAdmission(policy, request, {.quick = 180, .archive = 20}, rate, kNow)
          == AdmissionVerdict::DeadlineTooNear);
    CHECK(decideAdmission(policy, request, {.archive = 20}, {}, kNow) == AdmissionVerdict::Queue);
}

// Guards against a standing queue that only adds latency, and against unlimited queueing by an
// entry instance that has no slot in use.
TEST_CASE("quick requests wait longer in a burst than in a standing queue")
{
    const ServiceRate rate{.slotsInUse = 10, .meanHoldTime = 100ms};
    AdmissionRequest request;
    request.deadline = kNow + 1h;
    const ServicePolicy policy;
    QueueLoad load{.quick = 20};
    CHECK(decideAdmission(policy, request, load, rate, kNow) == AdmissionVerdict::Queue);
    load.nonEmptyFor = 500ms;
    CHECK(decideAdmission(policy, request, load, rate, kNow) == AdmissionVerdict::QueueFull);
    CHECK(decideAdmission(policy, request, load, {0, 100ms}, kNow) == AdmissionVerdict::QueueFull);
    CHECK(spilloverLowersWait(4ms, 3ms));
    CHECK_FALSE(spilloverLowersWait(3ms, 3ms));
}

// Guards against unbounded queues, and against one caller that fills the queue of all.
TEST_CASE("the queue is bounded in total and per caller")
{
    AdmissionRequest request;
    request.requestClass = RequestClass::Archive;
    request.deadline = kNow + 1h;
    const ServicePolicy policy;
    CHECK(decideAdmission(policy, request, {.archive = 256, .longestCallerQueue = 1}, {}, kNow)
          == AdmissionVerdict::QueueFull);
    CHECK(decideAdmission(policy, request, {.archive = 256, .longestCallerQueue = 40}, {}, kNow)
          == AdmissionVerdict::QueueAndEvict);
    CHECK(decideAdmission(policy, request, {.archive = 64, .queuedByCaller = 64}, {}, kNow)
          == AdmissionVerdict::CallerLimit);
}

// Guards against ejecting a whole service when all its upstreams fail for a common cause, such as a
// bad release or a network partition.
TEST_CASE("never more than half of a service is ejected")
{
    CHECK_FALSE(mayEject(0, 1));
    CHECK(mayEject(0, 2));
    CHECK_FALSE(mayEject(1, 3));
    CHECK(mayEject(4, 10));
    CHECK_FALSE(mayEject(5, 10));
}

// Guards against an upstream that keeps failing and is retried at a constant rate.
TEST_CASE("the ejection time grows and a success ends the probation")
{
    const EjectionPolicy policy;
    EjectionState state;
    for (unsigned i = 0; i < policy.consecutiveFailures; ++i)
        state = afterFailure(policy, state, kNow, true);
    CHECK(state.until == kNow + policy.baseTime);
    CHECK(afterFailure(policy, state, kNow, true) == state);
    state = afterFailure(policy, state, state.until, true);
    CHECK(state.until == kNow + policy.baseTime + 2 * policy.baseTime);
    CHECK(isOnProbation(state, state.until));
    CHECK_FALSE(isOnProbation(afterSuccess(state), state.until));
}

// Guards against ejecting healthy upstreams because of callers with deadlines of a few
// milliseconds.
TEST_CASE("a timeout counts as a failure only after several typical latencies")
{
    CHECK_FALSE(isUpstreamFailure(AttemptOutcome::TimedOut, 50ms, 50ms));
    CHECK(isUpstreamFailure(AttemptOutcome::TimedOut, 200ms, 50ms));
    CHECK_FALSE(isUpstreamFailure(AttemptOutcome::Refused, 1s, 50ms));
}

// Guards against retry storms that multiply the load on failing upstreams.
TEST_CASE("retries stay within their percentage of the first attempts")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.onFirstAttempt(10);
        retries += budget.tryTake() ? 1 : 0;
    }
    CHECK(retries <= 1010);
    CHECK(retries >= 1000);
}

// Guards against entry instances that together exceed the slots, or leave free slots unused.
TEST_CASE("the sharing schemes limit what an entry instance uses")
{
    SlotView view{.slots = 8, .entryInstances = 3, .adaptiveLimit = 5};
    CHECK(slotLimit(FixedShares{}, view) == 2);
    CHECK(slotLimit(OptimisticShares{}, view) == 5);
    CHECK(slotLimit(DemandShares{}, view) == 2);
    view.remoteKnown = true;
    view.remoteInFlight = 3;
    CHECK(slotLimit(DemandShares{}, view) == 5);
    const AdaptiveLimit refused = afterRefusal(OptimisticShares{}, view, {5, {}, 100ms}, 4, kNow);
    CHECK(refused == AdaptiveLimit{4, kNow + 200ms, 200ms});
}

// Guards against a delayed drain notice or listing that returns a leaving upstream to service.
TEST_CASE("the directory keeps the latest drain and the latest listing")
{
    UpstreamDirectory directory;
    platform::ListedInstance instance;
    instance.id = "u1";
    instance.address = "10.0.0.1:80";
    instance.service = "print";
    platform::InstanceListing listing{{instance}, kNow};
    const std::map<std::string, ServicePolicy> policies{{"print", {}}};
    const auto routed = [&] {
        return directory.table("z1", 3, policies).services.at("print").upstreams.at(0);
    };
    CHECK(directory.applyListing(listing));
    CHECK_FALSE(routed().healthy);
    directory.applyHealthCheck("u1", true);
    CHECK(routed().healthy);
    CHECK(directory.applyDrain(directory.decideDrain("u1", true, kNow)));
    CHECK_FALSE(directory.applyDrain({"u1", false, kNow - 1s}));
    CHECK(routed().leaving);
    const DrainDecision end = directory.decideDrain("u1", false, kNow - 1h);
    CHECK(end.timestamp == base::fromMillis(base::toMillis(end.timestamp)));
    CHECK(directory.applyDrain(end));
    CHECK_FALSE(routed().leaving);
    listing.instances[0].leaving = true;
    listing.observedAt = kNow - 1s;
    CHECK_FALSE(directory.applyListing(listing));
    CHECK_FALSE(routed().leaving);
}

} // namespace chicorywick::serving
