#include "crash_fixture.h"

#include <chicorywick/base/rng.h>

#include <doctest/doctest.h>

#include <set>

namespace chicorywick::scheduler {

namespace {

StepSpec perpetualStep(int tasks)
{
    StepSpec perpetual = step(tasks);
    perpetual.isPerpetual = true;
    return perpetual;
}

} // namespace

// Guards against a leader that crashes, and its successors after it, when maintenance drains a
// worker with a perpetual task whose queue was removed (review/2).
TEST_CASE("a worker is drained while it runs a perpetual task of a removed queue")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    fixture.submit("a", {perpetualStep(1)});
    fixture.run(5'000);
    const TaskId task{.job = "a"};
    const auto former = fixture.workers.workersRunning(task);
    REQUIRE(former.size() == 1);
    fixture.scheduler->setQueues({});
    fixture.scheduler->setCordoned(former[0], CordonReason::Maintenance, true);
    fixture.run(5'000);
    // Without a known policy no worker can be chosen, so the task keeps running.
    CHECK(fixture.workers.workersRunning(task) == former);
}

} // namespace chicorywick::scheduler
