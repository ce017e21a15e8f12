#include "evidence/prove/jobs_once_world.h"
#include "evidence/prove/proof.h"

namespace chicorywick::prove {

namespace {

const Registration kJobsOnce({.name = "jobs-once",
                              .description = "every accepted job ends exactly once, and only a run "
                                             "that succeeded makes it succeed",
                              .defaultRuns = 60,
                              .run = [](std::uint64_t seed) { return JobsOnceWorld(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
