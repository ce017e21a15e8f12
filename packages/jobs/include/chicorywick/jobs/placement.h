#pragma once

#include <chicorywick/jobs/job.h>

#include <map>
#include <optional>
#include <span>

namespace chicorywick::jobs {

/// @brief Capacity and reservations of a worker during placement.
struct WorkerView
{
    std::string id;
    std::string zone;
    std::string rack;
    platform::Capacity capacity;
    platform::Capacity reserved;
    /// Kept free for a large job that has waited long.
    bool isHeld = false;
};

/// @brief Attempts of one kind per rack and zone, used to spread them over failure domains.
struct KindSpread
{
    std::map<std::string, std::uint32_t> racks;
    std::map<std::string, std::uint32_t> zones;
    std::uint32_t total = 0;
};

/// @brief Size and constraints of a job to place.
struct PlacementRequest
{
    platform::Capacity requested;
    std::span<const std::string> avoidedWorkers;
    const KindSpread *spread = nullptr;
    bool mayUseHeld = false;
};

bool fits(const platform::Capacity &requested, const WorkerView &worker);

/// @brief The size to reserve: the learned size, limited to the capacities of the workers. Empty if
/// neither it nor the declared size fits an empty worker.
std::optional<platform::Capacity> placeableSize(const platform::Capacity &learned,
                                                const platform::Capacity &declared,
                                                std::span<const platform::Capacity> workers);

/// @brief The index of the best worker with enough free capacity, if any.
std::optional<std::size_t> pickWorker(const PlacementRequest &request,
                                      std::span<const WorkerView> workers);

/// @brief A running attempt that may be checkpointed to free its resources.
struct PreemptionCandidate
{
    std::string job;
    std::size_t worker = 0;
    platform::Capacity reserved;
    JobClass jobClass = JobClass::Normal;
    base::TimePoint startedAt;
};

/// @brief The attempts to checkpoint on one worker so that an urgent job fits there; empty if no
/// worker can be freed this way.
std::vector<std::size_t> pickPreemption(const platform::Capacity &requested,
                                        std::span<const WorkerView> workers,
                                        std::span<const PreemptionCandidate> candidates);

} // namespace chicorywick::jobs
