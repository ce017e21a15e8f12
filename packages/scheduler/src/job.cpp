#include <chicorywick/scheduler/job.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// Steps depend only on earlier steps, so one backward pass finds the longest paths.
std::vector<Millis> criticalPaths(const std::vector<StepSpec> &steps)
{
    std::vector<Millis> successors(steps.size(), 0);
    std::vector<Millis> paths(steps.size(), 0);
    for (std::size_t i = steps.size(); i-- > 0;) {
        paths[i] = steps[i].estimatedMs + successors[i];
        for (const int before : steps[i].after) {
            Millis &longest = successors[static_cast<std::size_t>(before)];
            longest = std::max(longest, paths[i]);
        }
    }
    return paths;
}

} // namespace

bool Occurrence::isDone(const JobSpec &spec) const
{
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        if (doneCounts[step] < spec.steps[step].taskCount)
            return false;
    }
    return true;
}

Job::Job(JobSpec spec, Millis acceptedSteady)
    : spec_(std::move(spec))
    , acceptedSteady_(acceptedSteady)
    , remainingCriticalPaths_(criticalPaths(spec_.steps))
{
    for (const Millis path : remainingCriticalPaths_)
        criticalPath_ = std::max(criticalPath_, path);
}

JobState Job::state() const
{
    if (isCompleted_)
        return JobState::Completed;
    if (hasFailed_)
        return JobState::Failed;
    if (isCancelled_)
        return JobState::Cancelled;
    return hasStarted_ ? JobState::Running : JobState::Pending;
}

bool Job::isPerpetual() const
{
    return std::any_of(spec_.steps.begin(), spec_.steps.end(),
                       [](const StepSpec &step) { return step.isPerpetual; });
}

Occurrence &Job::beginOccurrence(std::int64_t number)
{
    Occurrence occurrence{.number = number};
    occurrence.doneCounts.resize(spec_.steps.size(), 0);
    for (const StepSpec &step : spec_.steps)
        occurrence.steps.emplace_back(step.taskCount);
    return occurrences_.emplace(number, std::move(occurrence)).first->second;
}

void Job::unblockReadySteps(Occurrence &occurrence) const
{
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        if (isStepReady(occurrence, step))
            occurrence.steps[step].unblock(0);
}

bool Job::isStepReady(const Occurrence &occurrence, std::size_t step) const
{
    return std::all_of(spec_.steps[step].after.begin(), spec_.steps[step].after.end(),
                       [&](int before) {
                           const auto i = static_cast<std::size_t>(before);
                           return occurrence.doneCounts[i] >= spec_.steps[i].taskCount;
                       });
}

// Divides, because the product of a number and the interval may exceed the range.
bool Job::isDue(std::int64_t number, Millis wall) const
{
    if (spec_.repeatCount == 0)
        return true;
    if (wall < spec_.firstStartWall)
        return false;
    return spec_.intervalMs == 0 || number <= (wall - spec_.firstStartWall) / spec_.intervalMs;
}

std::size_t maxOpenOccurrences(const JobSpec &spec)
{
    int tasks = 0;
    for (const StepSpec &step : spec.steps)
        tasks += step.taskCount;
    return static_cast<std::size_t>(
            std::clamp(kMaxTasksPerJob / std::max(tasks, 1), 1, kMaxOpenOccurrences));
}

// A successor has to begin the same occurrences as the leader before it: otherwise it would not
// know the tasks that still run. It begins as many as this leader if ends that are not stored
// count.
std::vector<std::int64_t> Job::beginDueOccurrences(Millis wall, std::size_t unstoredEnds)
{
    std::vector<std::int64_t> begun;
    if (isTerminal(state()))
        return begun;
    const std::size_t limit = maxOpenOccurrences(spec_);
    while (begunOccurrences_ < occurrenceCount() && occurrences_.size() + unstoredEnds < limit
           && isDue(begunOccurrences_, wall)) {
        Occurrence &occurrence = beginOccurrence(begunOccurrences_);
        unblockReadySteps(occurrence);
        begun.push_back(begunOccurrences_++);
    }
    return begun;
}

// Former versions stored perpetual tasks as done that had ended so.
void Job::restore(const JobProgress &progress, Millis steady)
{
    isCompleted_ = progress.state == JobState::Completed;
    hasFailed_ = progress.state == JobState::Failed;
    isCancelled_ = isCancelled_ || progress.state == JobState::Cancelled;
    hasStarted_ = progress.state != JobState::Pending;
    if (isTerminal(progress.state))
        endedSteady_ = steady;
    begunOccurrences_ = progress.begunOccurrences;
    laterServices_ = progress.services;
    for (const OccurrenceProgress &open : progress.open) {
        Occurrence &occurrence = beginOccurrence(open.number);
        for (std::size_t step = 0; step < open.doneTasks.size() && step < spec_.steps.size();
             ++step)
            for (auto index = open.doneTasks[step].next(-1); index;
                 index = open.doneTasks[step].next(*index)) {
                if (*index >= spec_.steps[step].taskCount || spec_.steps[step].isPerpetual)
                    continue;
                occurrence.steps[step].finish(*index, 0);
                ++occurrence.doneCounts[step];
            }
        unblockReadySteps(occurrence);
    }
    mergeLostRuns(progress);
}

JobProgress Job::progress() const
{
    JobProgress progress{.state = state(), .begunOccurrences = begunOccurrences_};
    if (isTerminal(progress.state))
        return progress;
    progress.services = laterServices_;
    for (const auto &[number, occurrence] : occurrences_) {
        OccurrenceProgress open{.number = number};
        open.doneTasks.resize(occurrence.steps.size());
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const TaskList &tasks = occurrence.steps[step];
            open.doneTasks[step] = tasks.done();
            for (const auto &[index, each] : tasks.edited()) {
                if (!each.failedRuns.empty())
                    open.failedRuns[{static_cast<int>(step), index}] = each.failedRuns;
                if (!each.crashes.empty())
                    open.crashes[{static_cast<int>(step), index}] = each.crashes;
            }
        }
        progress.open.push_back(std::move(open));
    }
    return progress;
}

std::vector<TaskId> Job::tasksDoneIn(const JobProgress &progress) const
{
    std::vector<TaskId> done;
    for (const auto &[number, occurrence] : occurrences_) {
        if (number >= progress.begunOccurrences)
            continue;
        const auto open = std::find_if(progress.open.begin(), progress.open.end(),
                                       [number = number](const OccurrenceProgress &each) {
                                           return each.number == number;
                                       });
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
            for (int index = 0; index < occurrence.steps[step].size(); ++index) {
                if (spec_.steps[step].isPerpetual)
                    continue;
                // A begun occurrence that is not in the stored progress has finished.
                const bool isDone =
                        open == progress.open.end()
                        || (step < open->doneTasks.size() && open->doneTasks[step].contains(index));
                if (isDone)
                    done.push_back({.job = spec_.id,
                                    .occurrence = number,
                                    .step = static_cast<int>(step),
                                    .index = index});
            }
    }
    return done;
}

std::vector<TaskId> Job::mergeLostRuns(const JobProgress &progress)
{
    std::vector<TaskId> changed;
    const auto merge = [&](const TaskId &id, const auto &add) {
        Task *const found = task(id);
        if (found == nullptr)
            return;
        const auto failedBefore = found->failedRuns.size();
        const CrashHistory crashesBefore = found->crashes;
        add(*found);
        if (found->failedRuns.size() != failedBefore || !(found->crashes == crashesBefore))
            changed.push_back(id);
    };
    for (const OccurrenceProgress &open : progress.open) {
        const auto idAt = [&](const std::pair<int, int> &place) {
            return TaskId{.job = spec_.id,
                          .occurrence = open.number,
                          .step = place.first,
                          .index = place.second};
        };
        for (const auto &[place, runs] : open.failedRuns)
            merge(idAt(place), [&runs = runs](Task &found) {
                found.failedRuns.insert(runs.begin(), runs.end());
                if (!runs.empty())
                    found.highestRun = std::max(found.highestRun, *runs.rbegin());
            });
        for (const auto &[place, crashes] : open.crashes)
            merge(idAt(place), [&crashes = crashes](Task &found) {
                found.crashes.merge(crashes);
                if (!crashes.empty())
                    found.highestRun = std::max(found.highestRun, *crashes.runs.rbegin());
            });
    }
    return changed;
}

Occurrence *Job::occurrence(std::int64_t number)
{
    const auto found = occurrences_.find(number);
    return found != occurrences_.end() ? &found->second : nullptr;
}

const Occurrence *Job::occurrence(std::int64_t number) const
{
    const auto found = occurrences_.find(number);
    return found != occurrences_.end() ? &found->second : nullptr;
}

Task *Job::task(const TaskId &id)
{
    if (std::as_const(*this).task(id) == nullptr)
        return nullptr;
    return &occurrence(id.occurrence)->steps[static_cast<std::size_t>(id.step)].edit(id.index);
}

const Task *Job::task(const TaskId &id) const
{
    const Occurrence *const owner = occurrence(id.occurrence);
    if (owner == nullptr || id.step < 0 || id.index < 0)
        return nullptr;
    const auto step = static_cast<std::size_t>(id.step);
    if (step >= owner->steps.size() || id.index >= owner->steps[step].size())
        return nullptr;
    return &owner->steps[step][id.index];
}

std::vector<int> Job::finishTask(const TaskId &id, Millis steady)
{
    std::vector<int> unblocked;
    const Task *const known = std::as_const(*this).task(id);
    if (known == nullptr || known->phase == TaskPhase::Done)
        return unblocked;
    Occurrence &owner = *occurrence(id.occurrence);
    owner.steps[static_cast<std::size_t>(id.step)].finish(id.index, steady);
    if (++owner.doneCounts[static_cast<std::size_t>(id.step)]
        < spec_.steps[static_cast<std::size_t>(id.step)].taskCount)
        return unblocked;
    for (std::size_t step = 0; step < owner.steps.size(); ++step) {
        const bool follows =
                std::count(spec_.steps[step].after.begin(), spec_.steps[step].after.end(), id.step)
                > 0;
        if (!follows || !isStepReady(owner, step))
            continue;
        owner.steps[step].unblock(steady);
        unblocked.push_back(static_cast<int>(step));
    }
    if (owner.isDone(spec_)) {
        occurrences_.erase(id.occurrence);
        if (occurrences_.empty() && begunOccurrences_ >= occurrenceCount()) {
            isCompleted_ = true;
            endedSteady_ = steady;
        }
    }
    return unblocked;
}

bool Job::addService(const std::string &service)
{
    if (!spec_.acceptedPolicy || spec_.acceptedPolicy->service == service)
        return false;
    return laterServices_.insert(service).second;
}

std::set<std::string> Job::services() const
{
    std::set<std::string> services = laterServices_;
    if (spec_.acceptedPolicy)
        services.insert(spec_.acceptedPolicy->service);
    return services;
}

void Job::compact()
{
    occurrences_.clear();
    spec_.steps = {};
    remainingCriticalPaths_ = {};
    dropPayload();
}

void Job::cancel(Millis steady)
{
    if (isTerminal(state()))
        return;
    isCancelled_ = true;
    endedSteady_ = steady;
}

void Job::fail(Millis steady)
{
    if (isTerminal(state()))
        return;
    hasFailed_ = true;
    endedSteady_ = steady;
}

} // namespace chicorywick::scheduler
