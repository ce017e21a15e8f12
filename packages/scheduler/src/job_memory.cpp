#include <chicorywick/scheduler/job.h>
#include <chicorywick/scheduler/job_memory.h>

#include <algorithm>

namespace chicorywick::scheduler {

namespace {

// Of a job without steps, with its identifiers and its entries in the tables of the scheduler.
constexpr std::int64_t kJobBytes = 1'500;
constexpr std::int64_t kStepBytes = 300;
// Of a step in an open occurrence, with its place in the queue.
constexpr std::int64_t kOpenStepBytes = 450;
constexpr std::int64_t kOccurrenceBytes = 250;
constexpr Millis kSoonMs = 10'000;

// The number of occurrences that are due at a time, as far as a job may have them open at once.
std::int64_t dueOccurrences(const JobSpec &spec, Millis wall)
{
    if (spec.repeatCount <= 1)
        return 1;
    const auto most = std::min<std::int64_t>(spec.repeatCount,
                                             static_cast<std::int64_t>(maxOpenOccurrences(spec)));
    if (wall <= spec.firstStartWall)
        return 1;
    if (spec.intervalMs == 0)
        return most;
    return std::clamp<std::int64_t>((wall - spec.firstStartWall) / spec.intervalMs + 1, 1, most);
}

} // namespace

JobFootprint footprintOf(const JobSpec &spec)
{
    JobFootprint footprint{.jobBytes = kJobBytes + static_cast<std::int64_t>(spec.payload.size()),
                           .occurrenceBytes = kOccurrenceBytes};
    for (const StepSpec &step : spec.steps) {
        footprint.jobBytes +=
                kStepBytes
                + static_cast<std::int64_t>(step.requiredLabel.size() + step.preferredRack.size()
                                            + step.image.size() + step.after.size() * sizeof(int));
        footprint.occurrenceBytes += kOpenStepBytes;
    }
    return footprint;
}

std::int64_t memoryFor(const JobSpec &spec, Millis wall)
{
    const JobFootprint footprint = footprintOf(spec);
    return footprint.jobBytes + dueOccurrences(spec, wall + kSoonMs) * footprint.occurrenceBytes;
}

std::string roomHolderOf(const std::string &account, const std::string &queue)
{
    return account.empty() ? "queue " + queue : "account " + account;
}

} // namespace chicorywick::scheduler
