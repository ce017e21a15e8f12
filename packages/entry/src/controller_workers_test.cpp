#include "controller_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

// Guards against tasks that start on a draining worker because the connection of the watch is
// silent.
TEST_CASE("a worker that drains while its watch has no answer gets no task")
{
    ControllerFixture fixture;
    fixture.startTerm();
    scheduler::WorkerEntry draining = FakeDiscovery::worker();
    draining.isDraining = true;
    fixture.discovery.change = {.present = {draining}, .version = 1};
    fixture.loop.restart();
    fixture.loop.run_for(std::chrono::milliseconds(1'200));
    fixture.controller->applyStored(fixture.jobRow("a"));
    fixture.run();
    CHECK(!fixture.workers.hasStarted("a"));
}

} // namespace chicorywick::entry
