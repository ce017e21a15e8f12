#include "controller_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

// Guards against an accepted job that a new leader never starts, because its queue was removed
// before that leader read its first configuration.
TEST_CASE("a new leader starts the jobs of a queue that was removed before")
{
    ControllerFixture fixture;
    fixture.startTerm();
    scheduler::JobSpec spec{.id = "a",
                            .queue = "removed",
                            .payload = "p",
                            .submittedWall = fixture.now,
                            .acceptedPolicy =
                                    scheduler::QueuePolicy{.name = "removed", .service = "s"}};
    spec.steps.push_back({.taskCount = 1, .demand = {.cpuMillis = 100, .memoryMib = 100}});
    fixture.answerWatch(RowPage{.rows = {{.key = fixture.rows.jobRow("a"),
                                          .value = encode(spec),
                                          .version = ControllerFixture::kFence + 1}}});
    CHECK(fixture.workers.hasStarted("a"));
}

} // namespace chicorywick::entry
