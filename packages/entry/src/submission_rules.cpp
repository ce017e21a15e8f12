#include "submission_rules.h"

#include <chicorywick/entry/caller_codec.h>
#include <chicorywick/scheduler/job.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4'000;
constexpr std::size_t kMaxSteps = 200;
constexpr std::int64_t kMaxResource = 1'000'000'000;
constexpr std::size_t kMaxNameBytes = 1'000;
// One a second for thirty years.
constexpr std::int64_t kMaxOccurrences = 1'000'000'000;
constexpr scheduler::Millis kLatestWall = 253'402'300'799'999; // end of the year 9999
// A job that ends later than this many times its objective has no value for its caller.
constexpr scheduler::Millis kLateFactor = 3;

base::Error invalid(const std::string &what)
{
    return base::makeError(base::Code::InvalidArgument, what);
}

bool isInRange(std::int64_t value)
{
    return value >= 0 && value <= kMaxResource;
}

base::Result<void> validateStep(const scheduler::StepSpec &step, std::size_t number)
{
    const std::string place = "step " + std::to_string(number) + ": ";
    if (step.taskCount < 1 || step.taskCount > scheduler::kMaxTasksPerJob)
        return invalid(place + "the number of tasks must be between 1 and "
                       + std::to_string(scheduler::kMaxTasksPerJob));
    const bool hasDemand = isInRange(step.demand.cpuMillis) && isInRange(step.demand.memoryMib)
                           && isInRange(step.demand.accelerators);
    if (!hasDemand || !isInRange(step.estimatedMs) || !isInRange(step.latencyTargetMs)
        || !isInRange(step.maxUnavailable) || !isInRange(step.maxPerWorker))
        return invalid(place + "a number is negative or too large");
    // Only earlier steps are allowed, which rules out cycles and references to missing steps.
    for (const int before : step.after)
        if (before < 0 || static_cast<std::size_t>(before) >= number)
            return invalid(place + "depends on step " + std::to_string(before)
                           + ", which is not an earlier step");
    return base::ok();
}

} // namespace

base::Result<void> validateJob(const scheduler::JobSpec &spec)
{
    if (spec.payload.size() > kMaxPayloadBytes)
        return base::makeError(base::Code::InputTooLarge, "the payload exceeds "
                                                                  + std::to_string(kMaxPayloadBytes)
                                                                  + " bytes");
    if (spec.steps.empty() || spec.steps.size() > kMaxSteps)
        return invalid("the number of steps must be between 1 and " + std::to_string(kMaxSteps));
    int tasks = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        const auto checked = validateStep(spec.steps[number], number);
        if (!checked)
            return checked;
        tasks += spec.steps[number].taskCount;
    }
    if (tasks > scheduler::kMaxTasksPerJob)
        return base::makeError(base::Code::InputTooLarge,
                               "the job has " + std::to_string(tasks) + " tasks, more than "
                                       + std::to_string(scheduler::kMaxTasksPerJob));
    if (spec.repeatCount < 0 || spec.intervalMs < 0 || spec.firstStartWall < 0)
        return invalid("a time or the number of occurrences is negative");
    return base::ok();
}

base::Result<void> validateSubmission(const scheduler::JobSpec &spec)
{
    if (const auto checked = validateJob(spec); !checked)
        return checked;
    for (const scheduler::StepSpec &step : spec.steps)
        for (const std::string *text : {&step.requiredLabel, &step.preferredRack, &step.image})
            if (text->size() > kMaxNameBytes)
                return base::makeError(base::Code::InputTooLarge,
                                       "a label, rack or image exceeds "
                                               + std::to_string(kMaxNameBytes) + " bytes");
    if (spec.repeatCount > kMaxOccurrences)
        return invalid("more than " + std::to_string(kMaxOccurrences) + " occurrences");
    const bool isInTime =
            spec.firstStartWall <= kLatestWall
            && (spec.intervalMs == 0 || spec.repeatCount == 0
                || spec.repeatCount - 1 <= (kLatestWall - spec.firstStartWall) / spec.intervalMs);
    if (!isInTime)
        return invalid("an occurrence is due after the year 9999");
    return base::ok();
}

// A task that uses more than the limit of its account could never start.
base::Result<void> checkTaskSizes(const scheduler::JobSpec &spec,
                                  const scheduler::AccountPolicy &account)
{
    const auto exceeds = [](std::int64_t demand, std::int64_t limit) {
        return limit > 0 && demand > limit;
    };
    for (const scheduler::StepSpec &step : spec.steps)
        if (exceeds(step.demand.cpuMillis, account.limit.cpuMillis)
            || exceeds(step.demand.memoryMib, account.limit.memoryMib)
            || exceeds(step.demand.accelerators, account.limit.accelerators))
            return base::makeError(base::Code::NoWorkerFits,
                                   "a task exceeds the limit of account " + account.name);
    return base::ok();
}

// Perpetual and scheduled jobs keep their value.
scheduler::Millis lateByMs(const scheduler::JobSpec &spec, const scheduler::QueuePolicy &policy,
                           scheduler::Millis backlogMs)
{
    if (backlogMs <= 0 || spec.repeatCount > 0)
        return 0;
    const scheduler::Job job(spec, 0);
    if (job.isPerpetual())
        return 0;
    const auto objective =
            static_cast<scheduler::Millis>(policy.stretch * static_cast<double>(job.criticalPath()))
            + policy.targetCompletionMs;
    return std::max<scheduler::Millis>(backlogMs + job.criticalPath() - kLateFactor * objective, 0);
}

} // namespace chicorywick::entry
