#include <chicorywick/entry/caller_codec.h>

namespace chicorywick::entry {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4'000;
constexpr std::size_t kMaxSteps = 200;
constexpr std::int64_t kMaxResource = 1'000'000'000;

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

base::Result<void> validateSubmission(const scheduler::JobSpec &spec)
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

} // namespace chicorywick::entry
