#include "controller_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

// Guards against a cell without a leader for many times the latency of a slow store.
TEST_CASE("a new leader is ready after a few rounds of reads")
{
    ControllerFixture fixture;
    fixture.store(fixture.jobRow("a"));
    fixture.table.holdsReads = true;
    fixture.startTerm();
    int rounds = 0;
    for (; !fixture.controller->isLoaded() && rounds < 100; ++rounds) {
        REQUIRE(fixture.table.answerReads() > 0);
        fixture.loop.restart();
        fixture.loop.poll();
    }
    CHECK(rounds <= 4);
    CHECK(fixture.controller->reportedState("a"));
}

} // namespace chicorywick::entry
