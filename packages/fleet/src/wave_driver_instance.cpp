#include <chicorywick/base/log_event.h>
#include <chicorywick/fleet/wave_driver.h>

#include <algorithm>

namespace chicorywick::fleet {

using platform::InstancePhase;
using platform::InstanceStatus;

namespace {

constexpr const char *kUnknownToPlatform = "the platform does not know the instance";

// Steps of one active instance. Each state is written before its command is sent, so that every
// driver can repeat the command; the platform ignores repeated commands.

bool failedWith(const base::Result<void> &result, base::Code code)
{
    return !result && result.error().code == code;
}

bool isBeforeReboot(const Instance &instance, const InstanceStatus &status)
{
    const bool hasPhase = status.phase == InstancePhase::Up
                          || status.phase == InstancePhase::Draining
                          || status.phase == InstancePhase::Drained;
    return hasPhase && status.boots == instance.data().bootsBefore;
}

bool hasBooted(const Instance &instance, const InstanceStatus &status)
{
    return status.boots > instance.data().bootsBefore;
}

// A driver that was suspended may have drained the instance after its boot. The undrain with the
// next state's new fence reverts that, so any phase of a running instance is accepted.
bool isRunningAgain(const Instance &instance, const InstanceStatus &status)
{
    return hasBooted(instance, status) && status.phase != InstancePhase::Rebooting
           && status.phase != InstancePhase::Down;
}

// A listing older than the state may still show the instance as it was before the drain.
bool isListedLive(const Instance &instance, const platform::InstanceListing &listing)
{
    if (base::toMillis(listing.observedAt) < instance.data().stateSinceMs)
        return false;
    return std::any_of(listing.instances.begin(), listing.instances.end(),
                       [&](const platform::ListedInstance &listed) {
                           return listed.id == instance.data().place.id && !listed.leaving;
                       });
}

void logStep(const Instance &instance)
{
    base::logEvent(base::Event::InstanceStep,
                   {{"instance", instance.data().place.id},
                    {"state", std::string(stateName(instance.data().state))},
                    {"wave", instance.data().wave},
                    {"fence", std::to_string(instance.data().fence)}});
}

} // namespace

bool WaveDriver::isPastDeadline(const Session &session, const Stored<Instance> &instance,
                                base::Duration deadline) const
{
    return session.now - base::fromMillis(instance.value.data().stateSinceMs) >= deadline;
}

base::Result<void> WaveDriver::putInstance(const Stored<Instance> &old, const Instance &next)
{
    BOOST_OUTCOME_TRYV(repository_.commit(FleetChange().put(old, next)));
    active_.insert_or_assign(next.data().place.id, next);
    logStep(next);
    return base::ok();
}

base::Result<void> WaveDriver::putInstanceAndGrant(Session &session, const Stored<Instance> &old,
                                                   const Instance &next)
{
    BOOST_OUTCOME_TRY(pool, session.pool.value.withFence(next.data().place.id, next.data().fence));
    BOOST_OUTCOME_TRY(version,
                      repository_.commit(FleetChange().put(session.pool, pool).put(old, next)));
    session.pool = {std::move(pool), version};
    active_.insert_or_assign(next.data().place.id, next);
    logStep(next);
    return base::ok();
}

base::Result<void> WaveDriver::stepInstance(Session &session, const std::string &id)
{
    BOOST_OUTCOME_TRY(instance, repository_.instance(id));
    const InstanceData &data = instance.value.data();
    if (data.wave != session.wave.value.data().id || data.state == MaintenanceState::Held
        || instance.value.isInService())
        return base::makeError(base::Code::TableConflict, "another driver advanced '" + id + "'");
    active_.insert_or_assign(id, instance.value);
    return stepState(session, instance);
}

base::Result<void> WaveDriver::stepState(Session &session, const Stored<Instance> &instance)
{
    switch (instance.value.data().state) {
    case MaintenanceState::Cordoned:
        return stepCordoned(session, instance);
    case MaintenanceState::Draining:
        return stepDraining(session, instance);
    case MaintenanceState::Rebooting:
        return stepRebooting(session, instance);
    case MaintenanceState::Verifying:
    case MaintenanceState::Returning:
        return stepReturnToService(session, instance);
    case MaintenanceState::InService:
    case MaintenanceState::Held:
        break;
    }
    return base::ok();
}

base::Result<void> WaveDriver::cancelMaintenance(Session &session, const Stored<Instance> &instance,
                                                 const std::string &reason, bool isFailure)
{
    BOOST_OUTCOME_TRY(next, instance.value.returning(reason, session.now));
    if (!isFailure)
        return putInstanceAndGrant(session, instance, next);
    const MaintenanceWave wave = session.wave.value.withFailure();
    BOOST_OUTCOME_TRY(pool, session.pool.value.withFence(next.data().place.id, next.data().fence));
    BOOST_OUTCOME_TRY(version, repository_.commit(FleetChange()
                                                          .put(session.pool, pool)
                                                          .put(session.wave, wave)
                                                          .put(instance, next)));
    session.pool = {std::move(pool), version};
    session.wave = {wave, version};
    active_.insert_or_assign(next.data().place.id, next);
    logStep(next);
    return base::ok();
}

base::Result<void> WaveDriver::stepCordoned(Session &session, const Stored<Instance> &instance)
{
    const InstanceData &data = instance.value.data();
    if (session.wave.value.data().state == WaveState::Aborting)
        return cancelMaintenance(session, instance, "the wave was aborted", false);
    const auto drained = control_.drain(data.place.id, data.fence);
    if (failedWith(drained, base::Code::NotFound))
        return hold(session, instance, kUnknownToPlatform);
    if (failedWith(drained, base::Code::StaleFence)) {
        const auto status = control_.status(data.place.id);
        if (!status)
            return base::ok();
        BOOST_OUTCOME_TRY(next, instance.value.redrained(status.value().fence, session.now));
        return putInstanceAndGrant(session, instance, next);
    }
    if (!drained)
        return base::ok();
    BOOST_OUTCOME_TRY(next, instance.value.draining(session.now));
    return putInstance(instance, next);
}

base::Result<void> WaveDriver::stepDraining(Session &session, const Stored<Instance> &instance)
{
    const InstanceData &data = instance.value.data();
    if (session.wave.value.data().state == WaveState::Aborting)
        return cancelMaintenance(session, instance, "the wave was aborted", false);
    const auto status = control_.status(data.place.id);
    if (!status && status.error().code == base::Code::NotFound)
        return hold(session, instance, kUnknownToPlatform);
    if (!status)
        return base::ok();
    const InstancePhase phase = status.value().phase;
    const bool isEmpty = phase == InstancePhase::Drained || phase == InstancePhase::Down;
    // A higher fence means that a driver that could not reach the table has undrained the instance.
    if (status.value().fence > data.fence) {
        BOOST_OUTCOME_TRY(next, instance.value.redrained(status.value().fence, session.now));
        return putInstanceAndGrant(session, instance, next);
    }
    if (phase == InstancePhase::Drained
        && !isPastDeadline(session, instance, options_.minDrainTime))
        return base::ok();
    if (isEmpty) {
        BOOST_OUTCOME_TRY(next, instance.value.rebooting(status.value().boots, session.now));
        return putInstance(instance, next);
    }
    // A reboot now would interrupt running tasks, so the instance returns to service instead.
    if (isPastDeadline(session, instance, session.wave.value.data().limits.drainDeadline))
        return cancelMaintenance(session, instance, "not drained by the deadline", true);
    if (phase == InstancePhase::Up)
        static_cast<void>(control_.drain(data.place.id, data.fence));
    return base::ok();
}

base::Result<void> WaveDriver::stepRebooting(Session &session, const Stored<Instance> &instance)
{
    const InstanceData &data = instance.value.data();
    const auto ordered = control_.reboot(data.place.id, data.fence);
    if (failedWith(ordered, base::Code::NotFound))
        return hold(session, instance, kUnknownToPlatform);
    const auto status = control_.status(data.place.id);
    const bool isStale = failedWith(ordered, base::Code::StaleFence);
    if (isStale && status && isBeforeReboot(instance.value, status.value())) {
        BOOST_OUTCOME_TRY(next, instance.value.redrained(status.value().fence, session.now));
        return putInstanceAndGrant(session, instance, next);
    }
    // Requires the platform's answer to the reboot, because the instance may also have restarted by
    // itself.
    if ((ordered || isStale) && status && isRunningAgain(instance.value, status.value())) {
        BOOST_OUTCOME_TRY(next, instance.value.verifying(session.now));
        return putInstanceAndGrant(session, instance, next);
    }
    if (isPastDeadline(session, instance, options_.verifyDeadline))
        return hold(session, instance, "not up by the deadline after the reboot");
    return base::ok();
}

// The undrain sets the new fence on the platform. Until it is acknowledged, a driver that was
// suspended could drain the instance again after its grant is released.
base::Result<void> WaveDriver::stepReturnToService(Session &session,
                                                   const Stored<Instance> &instance)
{
    const InstanceData &data = instance.value.data();
    const auto undrained = control_.undrain(data.place.id, data.fence);
    if (failedWith(undrained, base::Code::NotFound))
        return hold(session, instance, kUnknownToPlatform);
    if (undrained) {
        const auto status = control_.status(data.place.id);
        const auto listed = listing(session.now);
        const bool isReturn = data.state == MaintenanceState::Returning;
        const bool isUp = status && status.value().phase == InstancePhase::Up
                          && (isReturn || hasBooted(instance.value, status.value()));
        if (isUp && listed && isListedLive(instance.value, listed.value()))
            return releaseGrant(session, instance);
    }
    if (isPastDeadline(session, instance, options_.verifyDeadline))
        return hold(session, instance, "not seen healthy by the deadline");
    return base::ok();
}

base::Result<void> WaveDriver::hold(Session &session, const Stored<Instance> &instance,
                                    const std::string &reason)
{
    const std::string &id = instance.value.data().place.id;
    BOOST_OUTCOME_TRY(next, instance.value.held(reason, session.now));
    BOOST_OUTCOME_TRY(wave, session.wave.value.withHeld(id));
    BOOST_OUTCOME_TRY(
            version, repository_.commit(FleetChange().put(session.wave, wave).put(instance, next)));
    session.wave = {std::move(wave), version};
    active_.erase(id);
    base::logEvent(base::Event::InstanceHeld,
                   {{"instance", id}, {"wave", next.data().wave}, {"reason", reason}});
    if (session.wave.value.data().state == WaveState::Halted)
        base::logEvent(base::Event::WaveHalted, {{"wave", next.data().wave}});
    return base::ok();
}

base::Result<void> WaveDriver::releaseGrant(Session &session, const Stored<Instance> &instance)
{
    const InstanceData &data = instance.value.data();
    const bool isReturn = data.state == MaintenanceState::Returning;
    BOOST_OUTCOME_TRY(next, instance.value.inService(session.now));
    BOOST_OUTCOME_TRY(pool, session.pool.value.withoutGrant(data.place.id));
    BOOST_OUTCOME_TRY(wave, isReturn ? session.wave.value.returned(data.place.id)
                                     : session.wave.value.finished(data.place.id));
    BOOST_OUTCOME_TRY(version, repository_.commit(FleetChange()
                                                          .put(session.pool, pool)
                                                          .put(session.wave, wave)
                                                          .put(instance, next)));
    session.pool = {std::move(pool), version};
    session.wave = {std::move(wave), version};
    active_.erase(data.place.id);
    base::logEvent(base::Event::GrantReturned,
                   {{"instance", data.place.id}, {"pool", data.pool}, {"wave", data.wave}});
    return base::ok();
}

} // namespace chicorywick::fleet
