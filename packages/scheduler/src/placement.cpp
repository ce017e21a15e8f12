#include <chicorywick/scheduler/placement.h>

#include <algorithm>
#include <tuple>

namespace chicorywick::scheduler {

namespace {

bool hasLabel(const PlacementCandidate &candidate, const std::string &label)
{
    return candidate.labels != nullptr
           && std::find(candidate.labels->begin(), candidate.labels->end(), label)
                      != candidate.labels->end();
}

bool isAllowed(const StepSpec &step, const PlacementCandidate &candidate)
{
    Resources demand = step.demand;
    if (step.usesLeftoverCpu)
        demand.cpuMillis = 0;
    if (!candidate.free.covers(demand))
        return false;
    if (step.maxPerWorker > 0 && candidate.tasksOfStep >= step.maxPerWorker)
        return false;
    return step.requiredLabel.empty() || hasLabel(candidate, step.requiredLabel);
}

// Sort key, lower is better: avoided workers last, then few tasks that a crash would end, then rack
// locality to data and siblings, then low interference between serving and leftover-CPU tasks, then
// the tightest fit.
auto preference(const StepSpec &step, const PlacementCandidate &candidate)
{
    const bool isRemote = !step.preferredRack.empty() && !hasLabel(candidate, step.preferredRack);
    const int rackPenalty = step.needsOneRack ? -candidate.tasksOfStepInRack : 0;
    int interference = 0;
    if (step.usesLeftoverCpu)
        interference = candidate.servingTasks;
    else if (step.latencyTargetMs > 0)
        interference = candidate.leftoverCpuTasks;
    const std::int64_t slack =
            step.usesLeftoverCpu ? -candidate.free.cpuMillis : candidate.free.cpuMillis;
    return std::tuple(candidate.isAvoided, candidate.neighbours, isRemote, rackPenalty,
                      interference, slack, candidate.index);
}

} // namespace

bool hasRequiredLabel(const StepSpec &step, const std::vector<std::string> &labels)
{
    return step.requiredLabel.empty()
           || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

std::optional<std::size_t> choosePlacement(const StepSpec &step,
                                           std::span<const PlacementCandidate> candidates)
{
    const PlacementCandidate *best = nullptr;
    for (const PlacementCandidate &candidate : candidates) {
        if (!isAllowed(step, candidate))
            continue;
        if (best == nullptr || preference(step, candidate) < preference(step, *best))
            best = &candidate;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->index;
}

} // namespace chicorywick::scheduler
