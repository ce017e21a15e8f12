#pragma once

#include <chicorywick/jobs/job_repository.h>
#include <chicorywick/twirp/router.h>

namespace chicorywick::jobs {

/// @brief Dependencies of the job service; the write budget is shared with the daemon's JobDriver.
struct JobServiceOptions
{
    JobRepository repository;
    base::Clock clock;
    std::shared_ptr<base::TokenBucket> writeBudget;
};

/// @brief Registers the handlers of JobService.
void addJobServices(twirp::Router &router, JobServiceOptions options);

} // namespace chicorywick::jobs
