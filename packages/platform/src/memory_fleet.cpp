#include <chicorywick/platform/memory_platform.h>

namespace chicorywick::platform {

// Instance services of the in-memory platform: list, drain, reboot and simulated failures.

void MemoryPlatform::addInstance(const ListedInstance &instance)
{
    const Lock lock(mutex_);
    machines_[instance.id].listed = instance;
}

void MemoryPlatform::removeInstance(const std::string &id)
{
    const Lock lock(mutex_);
    machines_.erase(id);
}

void MemoryPlatform::setLeaving(const std::string &id, bool leaving)
{
    const Lock lock(mutex_);
    machines_.at(id).listed.leaving = leaving;
}

void MemoryPlatform::failInstance(const std::string &id)
{
    const Lock lock(mutex_);
    Machine &machine = machines_.at(id);
    advance(machine);
    machine.phase = InstancePhase::Down;
    for (auto &[name, task] : machine.tasks) {
        if (!isEnded(task.state))
            endTask(task, TaskState::Failed, options_.clock.now());
    }
}

void MemoryPlatform::restoreInstance(const std::string &id)
{
    const Lock lock(mutex_);
    Machine &machine = machines_.at(id);
    machine.phase = InstancePhase::Up;
    ++machine.boots;
}

void MemoryPlatform::setRebootFails(const std::string &id, bool fails)
{
    const Lock lock(mutex_);
    machines_.at(id).rebootFails = fails;
}

std::set<std::string> MemoryPlatform::instancesInService() const
{
    const Lock lock(mutex_);
    std::set<std::string> ids;
    for (const auto &[id, machine] : machines_) {
        const bool isBack = machine.phase == InstancePhase::Rebooting && !machine.rebootFails
                            && options_.clock.now() >= machine.phaseUntil;
        if (machine.phase == InstancePhase::Up || isBack)
            ids.insert(id);
    }
    return ids;
}

std::map<std::string, ActualInstanceState> MemoryPlatform::actualInstanceStates()
{
    const Lock lock(mutex_);
    std::map<std::string, ActualInstanceState> states;
    for (auto &[id, machine] : machines_) {
        advance(machine);
        states[id] = ActualInstanceState{.status = {.phase = machine.phase,
                                                    .fence = machine.fence,
                                                    .inFlight = 0,
                                                    .boots = machine.boots},
                                         .leaving = machine.listed.leaving,
                                         .rebootOrders = machine.rebootOrders};
    }
    return states;
}

void MemoryPlatform::advance(Machine &machine)
{
    const base::TimePoint now = options_.clock.now();
    bool isBusy = false;
    for (auto &[name, task] : machine.tasks) {
        advanceTask(task);
        isBusy = isBusy || !isEnded(task.state);
    }
    if (machine.phase == InstancePhase::Draining && !isBusy && now >= machine.phaseUntil)
        machine.phase = InstancePhase::Drained;
    if (machine.phase == InstancePhase::Rebooting && now >= machine.phaseUntil) {
        machine.phase = machine.rebootFails ? InstancePhase::Down : InstancePhase::Up;
        machine.boots += machine.rebootFails ? 0 : 1;
    }
}

InstanceListing MemoryPlatform::observe()
{
    InstanceListing listing;
    listing.observedAt = options_.clock.now();
    for (auto &[id, machine] : machines_) {
        advance(machine);
        if (machine.phase == InstancePhase::Down || machine.phase == InstancePhase::Rebooting)
            continue;
        ListedInstance listed = machine.listed;
        listed.leaving = listed.leaving || machine.phase != InstancePhase::Up;
        listing.instances.push_back(std::move(listed));
    }
    return listing;
}

base::Result<InstanceListing> MemoryPlatform::listInstances(const std::string &zone)
{
    const auto lock = admitCall(&FaultPlan::list, zone);
    if (!lock)
        return lock.error();
    ++counters_.listCalls;
    if (shouldInject(faults_.list.loseAnswer) || shouldInject(faults_.list.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, "instance list");
    if (!listing_ || options_.clock.now() - listing_->observedAt >= faults_.listLag)
        listing_ = observe();
    return *listing_;
}

base::Result<void> MemoryPlatform::commandInstance(const std::string &zone,
                                                   const std::string &method,
                                                   const std::string &instance, std::uint64_t fence)
{
    const auto lock = admitCall(&FaultPlan::control, zone);
    if (!lock)
        return lock.error();
    ++counters_.controlCalls;
    if (shouldInject(faults_.control.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, method);
    const auto found = machines_.find(instance);
    if (found == machines_.end())
        return base::makeError(base::Code::NotFound, "instance '" + instance + "'");
    advance(found->second);
    const auto result = applyInstanceCommand(found->second, method, fence);
    if (shouldInject(faults_.control.loseAnswer))
        return base::makeError(base::Code::PlatformUnknownOutcome, method);
    return result;
}

base::Result<void> MemoryPlatform::applyInstanceCommand(Machine &machine, const std::string &method,
                                                        std::uint64_t fence)
{
    const base::TimePoint now = options_.clock.now();
    if (fence < machine.fence)
        return base::makeError(base::Code::StaleFence, "instance '" + machine.listed.id + "'");
    machine.fence = fence;
    if (method == "Drain") {
        if (machine.phase == InstancePhase::Up) {
            machine.phase = InstancePhase::Draining;
            machine.phaseUntil = now + options_.drainTime;
        }
        return base::ok();
    }
    if (method == "Undrain") {
        if (machine.phase == InstancePhase::Draining || machine.phase == InstancePhase::Drained)
            machine.phase = InstancePhase::Up;
        return base::ok();
    }
    if (method != "Reboot")
        return base::makeError(base::Code::UnknownMethod, method);
    if (machine.rebootFence == fence)
        return base::ok();
    machine.rebootFence = fence;
    ++machine.rebootOrders;
    machine.phase = InstancePhase::Rebooting;
    machine.phaseUntil = now + options_.rebootTime;
    for (auto &[name, task] : machine.tasks) {
        if (!isEnded(task.state))
            endTask(task, TaskState::Failed, now);
    }
    return base::ok();
}

base::Result<InstanceStatus> MemoryPlatform::instanceStatus(const std::string &zone,
                                                            const std::string &instance)
{
    const auto lock = admitCall(&FaultPlan::control, zone);
    if (!lock)
        return lock.error();
    ++counters_.controlCalls;
    const auto found = machines_.find(instance);
    if (found == machines_.end())
        return base::makeError(base::Code::NotFound, "instance '" + instance + "'");
    advance(found->second);
    std::uint32_t inFlight = 0;
    for (const auto &[name, task] : found->second.tasks)
        inFlight += isEnded(task.state) ? 0 : 1;
    return InstanceStatus{.phase = found->second.phase,
                          .fence = found->second.fence,
                          .inFlight = inFlight,
                          .boots = found->second.boots};
}

} // namespace chicorywick::platform
