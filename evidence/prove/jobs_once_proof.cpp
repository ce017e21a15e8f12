#include "evidence/prove/jobs_once_simulation.h"
#include "evidence/prove/proof.h"

namespace chicorywick::prove {

namespace {

const Registration
        kJobsOnce({.name = "jobs-once",
                   .description = "every accepted job ends exactly once, and succeeds "
                                  "only if one of its runs succeeded",
                   .defaultRuns = 60,
                   .run = [](std::uint64_t seed) { return JobsOnceSimulation(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
