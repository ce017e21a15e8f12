#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/availability_budget.h>

namespace chicorywick::fleet {

/// @brief Maintenance states of an instance.
enum class MaintenanceState {
    InService,
    Cordoned,
    Draining,
    Rebooting,
    Verifying,
    Held,
    Returning
};

std::string_view stateName(MaintenanceState state);

struct InstanceData
{
    PlacedInstance place;
    std::string pool;
    MaintenanceState state = MaintenanceState::InService;
    std::string wave;
    std::uint64_t fence = 0;
    std::int64_t stateSinceMs = 0;
    std::int64_t maintainedAtMs = 0;
    std::uint64_t bootsBefore = 0;
    std::string reason;

    bool operator==(const InstanceData &) const = default;
};

/// @brief An instance of the fleet. Methods return the changed instance, or an error if a rule
/// forbids the change.
///
/// Fences are even and increase by two. A driver that cannot reach the table undrains an instance
/// with the odd value above its fence.
class Instance
{
public:
    static base::Result<Instance> create(const PlacedInstance &place, const std::string &pool,
                                         base::TimePoint now);
    static base::Result<Instance> fromRow(const std::string &row);
    std::string toRow() const;
    v1::InstanceRow toProto() const;

    const InstanceData &data() const { return data_; }
    bool isInService() const { return data_.state == MaintenanceState::InService; }

    /// @brief Moves the instance to another pool. Fails while the instance is under maintenance.
    base::Result<Instance> movedTo(const std::string &pool) const;

    base::Result<Instance> cordoned(const std::string &wave, base::TimePoint now) const;
    base::Result<Instance> draining(base::TimePoint now) const;
    base::Result<Instance> rebooting(std::uint64_t bootsBefore, base::TimePoint now) const;
    base::Result<Instance> verifying(base::TimePoint now) const;

    /// @brief Restarts the drain with a fence above the one that the platform has recorded.
    base::Result<Instance> redrained(std::uint64_t platformFence, base::TimePoint now) const;

    /// @brief Starts the return to service without a reboot.
    base::Result<Instance> returning(const std::string &reason, base::TimePoint now) const;
    base::Result<Instance> held(const std::string &reason, base::TimePoint now) const;

    /// @brief Puts the instance back in service after Verifying, Returning or Held.
    base::Result<Instance> inService(base::TimePoint now) const;

    /// @brief Fence for the next grant, move, verification or return.
    std::uint64_t nextFence() const { return data_.fence + kFenceStride; }

    bool operator==(const Instance &) const = default;

private:
    static constexpr std::uint64_t kFenceStride = 2;

    explicit Instance(InstanceData data)
        : data_(std::move(data))
    {}
    base::Result<Instance> transitioned(std::initializer_list<MaintenanceState> from,
                                        MaintenanceState to, base::TimePoint now) const;

    InstanceData data_;
};

} // namespace chicorywick::fleet
