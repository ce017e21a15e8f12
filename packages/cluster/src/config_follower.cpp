#include <chicorywick/cluster/config_follower.h>

#include <algorithm>

namespace chicorywick::cluster {

ConfigFollower::ConfigFollower(ConfigStore store, TablePacer &pacer, ConfigFollowerPorts ports,
                               ConfigFollowerOptions options, std::uint64_t seed)
    : store_(std::move(store))
    , pacer_(pacer)
    , ports_(std::move(ports))
    , options_(options)
    , rng_(seed)
{}

base::Duration ConfigFollower::interval()
{
    constexpr double kMicrosPerSecond = 1e6;
    const double seconds =
            static_cast<double>(ports_.aliveMembers()) / options_.fleetReadsPerSecond;
    const auto wanted = base::Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
    const base::Duration bounded = std::clamp(wanted, options_.minInterval, options_.maxInterval);
    // Up to a fifth earlier, so that daemons do not read in step.
    constexpr std::uint64_t kJitterPart = 5;
    const auto range = static_cast<std::uint64_t>(bounded.count()) / kJitterPart;
    return bounded - base::Duration(static_cast<std::int64_t>(rng_.below(range + 1)));
}

base::TimePoint ConfigFollower::stepNow(base::TimePoint now)
{
    nextRead_ = now;
    return step(now);
}

base::TimePoint ConfigFollower::step(base::TimePoint now)
{
    if (now < nextRead_)
        return nextRead_;
    const base::Duration wait = pacer_.reserveReads(now);
    if (wait > base::Duration::zero())
        return now + wait;
    const auto delta = store_.changesSince(ports_.version());
    isReachable_ = delta.has_value();
    if (!delta) {
        pacer_.noteUnavailable(now);
        nextRead_ = now;
        return now + pacer_.reserveReads(now);
    }
    pacer_.noteAnswer(now);
    ports_.apply(delta.value().version(), delta.value());
    nextRead_ = now + interval();
    return nextRead_;
}

} // namespace chicorywick::cluster
