#include <chicorywick/base/log_event.h>
#include <chicorywick/fleet/wave_driver.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

bool isTableUnavailable(base::Code code)
{
    return code == base::Code::PlatformUnavailable || code == base::Code::PlatformUnknownOutcome;
}

} // namespace

WaveDriver::WaveDriver(FleetRepository repository, platform::InstanceList list,
                       platform::InstanceControl control, WaveDriverOptions options)
    : repository_(std::move(repository))
    , list_(std::move(list))
    , control_(std::move(control))
    , options_(std::move(options))
{}

void WaveDriver::step(base::TimePoint now)
{
    updateTableState(refreshWaves(now), now);
    const std::vector<std::string> waves = waves_;
    for (const std::string &id : waves)
        updateTableState(stepWave(id, now), now);
    if (tableUnavailableSince_ && now - *tableUnavailableSince_ >= options_.tableGrace)
        applyFailSafe();
}

// Commit conflicts between drivers are expected and need no handling: the next step reads the new
// rows.
void WaveDriver::updateTableState(const base::Result<void> &outcome, base::TimePoint now)
{
    if (!outcome && isTableUnavailable(outcome.error().code)) {
        if (!tableUnavailableSince_) {
            tableUnavailableSince_ = now;
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"service", "table"}, {"error", outcome.error().message}});
        }
        return;
    }
    if (tableUnavailableSince_)
        base::logEvent(base::Event::PlatformRecovered, {{"service", "table"}});
    tableUnavailableSince_.reset();
}

base::Result<void> WaveDriver::refreshWaves(base::TimePoint now)
{
    const bool isRecent =
            wavesReadAt_ != base::TimePoint{} && now - wavesReadAt_ < options_.waveListInterval;
    if (isRecent && !tableUnavailableSince_)
        return base::ok();
    BOOST_OUTCOME_TRY(waves, repository_.waves());
    wavesReadAt_ = now;
    waves_.clear();
    for (const Stored<MaintenanceWave> &wave : waves) {
        const std::string &id = wave.value.data().id;
        if (!wave.value.hasEnded() && (!options_.owns || options_.owns(id)))
            waves_.push_back(id);
    }
    return base::ok();
}

void WaveDriver::evictWave(const std::string &id)
{
    std::erase(waves_, id);
    plans_.erase(id);
    reasonWrittenAt_.erase(id);
    std::erase_if(active_, [&](const auto &entry) { return entry.second.data().wave == id; });
}

base::Result<void> WaveDriver::stepWave(const std::string &id, base::TimePoint now)
{
    BOOST_OUTCOME_TRY(wave, repository_.wave(id));
    if (wave.value.hasEnded()) {
        evictWave(id);
        return base::ok();
    }
    BOOST_OUTCOME_TRY(pool, repository_.pool(wave.value.data().pool));
    std::erase_if(active_, [&](const auto &entry) {
        return entry.second.data().wave == id && !wave.value.isActive(entry.first);
    });
    Session session{std::move(wave), std::move(pool), now, {}};
    const std::vector<std::string> active = session.wave.value.data().active;
    for (const std::string &instance : active) {
        BOOST_OUTCOME_TRYV(stepInstance(session, instance));
    }
    if (session.wave.value.data().state == WaveState::Running) {
        BOOST_OUTCOME_TRYV(startInstances(session));
    }
    return finishWave(session);
}

base::Result<void> WaveDriver::finishWave(Session &session)
{
    if (!session.wave.value.canEnd())
        return base::ok();
    BOOST_OUTCOME_TRY(next, session.wave.value.ended(session.now));
    BOOST_OUTCOME_TRYV(repository_.commit(FleetChange().put(session.wave, next)));
    base::logEvent(base::Event::WaveFinished,
                   {{"wave", next.data().id},
                    {"state", std::string(stateName(next.data().state))},
                    {"done", std::to_string(next.data().done)},
                    {"held", std::to_string(next.data().held.size())},
                    {"skipped", std::to_string(next.data().skippedCount)}});
    evictWave(next.data().id);
    return base::ok();
}

} // namespace chicorywick::fleet
