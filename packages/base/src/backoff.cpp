#include <chicorywick/base/backoff.h>

#include <algorithm>

namespace chicorywick::base {

Duration Backoff::next(Rng &rng)
{
    const auto limit = static_cast<std::uint64_t>(ceiling_.count()) + 1;
    const Duration delay(static_cast<Duration::rep>(rng.below(limit)));
    ceiling_ = std::min(ceiling_ * 2, policy_.maximum);
    return delay;
}

} // namespace chicorywick::base
