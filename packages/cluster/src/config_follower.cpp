#include <chicorywick/cluster/config_follower.h>

#include <algorithm>

namespace chicorywick::cluster {

ConfigFollower::ConfigFollower(ConfigStore store, TableRateLimiter &rateLimiter,
                               ConfigFollowerCallbacks followerCallbacks,
                               ConfigFollowerOptions options, std::uint64_t seed)
    : store_(std::move(store))
    , rateLimiter_(rateLimiter)
    , followerCallbacks_(std::move(followerCallbacks))
    , options_(options)
    , rng_(seed)
{}

base::Duration ConfigFollower::interval()
{
    constexpr double kMicrosPerSecond = 1e6;
    const double seconds =
            static_cast<double>(followerCallbacks_.aliveMembers()) / options_.fleetReadsPerSecond;
    const auto wanted = base::Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
    const base::Duration bounded = std::clamp(wanted, options_.minInterval, options_.maxInterval);
    // Shortens the interval by up to a fifth, so that the daemons do not read at the same time.
    constexpr std::uint64_t kJitterDivisor = 5;
    const auto range = static_cast<std::uint64_t>(bounded.count()) / kJitterDivisor;
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
    const base::Duration wait = rateLimiter_.reserveReads(now);
    if (wait > base::Duration::zero())
        return now + wait;
    const auto delta = store_.changesSince(followerCallbacks_.version());
    isReachable_ = delta.has_value();
    if (!delta) {
        rateLimiter_.recordUnavailable(now);
        nextRead_ = now;
        return now + rateLimiter_.reserveReads(now);
    }
    rateLimiter_.recordSuccess(now);
    followerCallbacks_.apply(delta.value().version(), delta.value());
    nextRead_ = now + interval();
    return nextRead_;
}

} // namespace chicorywick::cluster
