#pragma once

#include <chicorywick/platform/instance_list.h>

namespace chicorywick::platform {

enum class InstancePhase { Up, Draining, Drained, Rebooting, Down };

/// @brief State of an instance as reported by the platform.
struct InstanceStatus
{
    InstancePhase phase = InstancePhase::Up;
    std::uint64_t fence = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t boots = 0;

    bool operator==(const InstanceStatus &) const = default;
};

/// @brief Drains and reboots instances. A command fails with StaleFence if the instance has seen a
/// higher fencing token.
class InstanceControl
{
public:
    explicit InstanceControl(twirp::Client client)
        : backend_(std::move(client))
    {}
    explicit InstanceControl(MemoryAccess memory)
        : backend_(std::move(memory))
    {}

    base::Result<void> drain(const std::string &instance, std::uint64_t fence) const;
    base::Result<void> undrain(const std::string &instance, std::uint64_t fence) const;
    /// @brief Reboots once per fencing token; a repeat with the same token has no effect.
    base::Result<void> reboot(const std::string &instance, std::uint64_t fence) const;
    base::Result<InstanceStatus> status(const std::string &instance) const;

private:
    base::Result<void> command(const char *method, const std::string &instance,
                               std::uint64_t fence) const;

    std::variant<twirp::Client, MemoryAccess> backend_;
};

} // namespace chicorywick::platform
