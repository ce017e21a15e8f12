#pragma once

#include <chicorywick/platform/instance_list.h>

#include <memory>
#include <mutex>
#include <optional>

namespace chicorywick::platform {

/// @brief Shares one read of the instance list among the parts of a process; thread-safe.
///
/// While the platform is unreachable, every call tries again and fails: the cache never makes a
/// listing look newer.
class ListingCache
{
public:
    ListingCache(InstanceList source, base::Clock clock, base::Duration maxAge);

    base::Result<InstanceListing> list();

private:
    InstanceList source_;
    base::Clock clock_;
    base::Duration maxAge_;
    std::mutex mutex_;
    std::optional<InstanceListing> listing_;
    base::TimePoint readAt_{};
};

} // namespace chicorywick::platform
