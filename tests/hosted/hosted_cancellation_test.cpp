#include "load.h"

#include <doctest/doctest.h>

namespace chicorywick::hosted {

using namespace std::chrono_literals;

// Guards against a leader short of processor time that goes on starting tasks of jobs whose
// cancellation was acknowledged seconds before.
TEST_CASE("tasks of cancelled jobs do not start late while the leader is short of processor time")
{
    const LoadReport report = runLoad({.daemons = 3,
                                       .runners = 40,
                                       .rate = 400,
                                       .seconds = 8,
                                       .drain = 2s,
                                       .share = 0.25,
                                       .cancelled = 0.5,
                                       .taskDuration = 2s,
                                       .payloadBytes = 4'000,
                                       .seed = 46});
    REQUIRE(report.isReady);
    CHECK(report.cancellations > 0);
    CHECK(report.starts > 0);
    CHECK_MESSAGE(report.cancelledStarts.late == 0, "late starts, the longest after ",
                  report.cancelledStarts.longest.count(),
                  " ms; starts after a cancellation: ", report.cancelledStarts.count);
    for (const std::string &violation : report.violations)
        FAIL_CHECK(violation);
}

} // namespace chicorywick::hosted
