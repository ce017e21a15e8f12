#include <chicorywick/scheduler/crash_history.h>

namespace chicorywick::scheduler {

namespace {

// A task may be given up once two workers have crashed under it. If another run had just started
// beside it, that one can be the cause, and a third crash is awaited.
constexpr std::size_t kStartCrashesToGiveUp = 2;
constexpr std::size_t kAmbiguousStartCrashesToGiveUp = 3;
// All tasks of a worker are lost with it. A task that only ran beside the cause is rarely lost this
// often; from then on the task runs apart from others, so that the next crash shows the cause.
constexpr std::size_t kSharedCrashes = 3;
// At most two starts may follow the third crash.
constexpr std::size_t kMaxCrashes = 5;

} // namespace

void CrashHistory::record(std::int64_t run, bool isStarting)
{
    runs.insert(run);
    if (isStarting)
        startingRuns.insert(run);
}

void CrashHistory::merge(const CrashHistory &other)
{
    runs.insert(other.runs.begin(), other.runs.end());
    startingRuns.insert(other.startingRuns.begin(), other.startingRuns.end());
}

bool CrashHistory::needsTrial() const
{
    return !startingRuns.empty();
}

bool CrashHistory::needsOwnWorker() const
{
    return runs.size() >= kSharedCrashes || startingRuns.size() >= kStartCrashesToGiveUp;
}

bool CrashHistory::needsEvidence(int silentRuns) const
{
    return !runs.empty() || static_cast<std::size_t>(silentRuns) >= kSharedCrashes;
}

bool CrashHistory::isCause(const CrashEvidence &latest) const
{
    const std::size_t startCrashesNeeded =
            latest.isOnlyRecent ? kStartCrashesToGiveUp : kAmbiguousStartCrashesToGiveUp;
    const bool crashesAtStart =
            latest.isStarting && latest.isOnlyStarting && startingRuns.size() >= startCrashesNeeded;
    const bool crashesLater = latest.isOnlyUnproven && runs.size() > kSharedCrashes;
    return crashesAtStart || crashesLater || runs.size() >= kMaxCrashes;
}

} // namespace chicorywick::scheduler
