#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/table.h>

namespace chicorywick::platform {

enum class InstanceKind { Entry, Upstream, Worker };

/// @brief Resources of a worker or a task.
struct Capacity
{
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMib = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Capacity &) const = default;
};

/// @brief An entry of the platform's instance list.
struct ListedInstance
{
    std::string id;
    InstanceKind kind = InstanceKind::Upstream;
    std::string address;
    std::string zone;
    std::string rack;
    std::string service;
    bool leaving = false;
    Capacity capacity;

    bool operator==(const ListedInstance &) const = default;
};

/// @brief The instance list and the time, some seconds ago, at which the platform observed it.
struct InstanceListing
{
    std::vector<ListedInstance> instances;
    base::TimePoint observedAt;

    bool operator==(const InstanceListing &) const = default;
};

class ListingCache;

/// @brief The platform's list of live and leaving instances; it lags by some seconds.
class InstanceList
{
public:
    explicit InstanceList(twirp::Client client)
        : backend_(std::move(client))
    {}
    explicit InstanceList(std::shared_ptr<ListingCache> cache)
        : backend_(std::move(cache))
    {}
    explicit InstanceList(MemoryAccess memory)
        : backend_(std::move(memory))
    {}

    base::Result<InstanceListing> list() const;

private:
    std::variant<twirp::Client, MemoryAccess, std::shared_ptr<ListingCache>> backend_;
};

} // namespace chicorywick::platform
