#pragma once

#include <chicorywick/platform/instance_list.h>

#include <memory>
#include <mutex>
#include <optional>

namespace chicorywick::platform {

/// @brief Shares reads of the instance list between the components of a process; thread-safe.
///
/// An expired listing is never returned: while the platform is unreachable, every call retries the
/// read and fails.
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
