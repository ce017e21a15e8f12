#pragma once

#include <chicorywick/jobs/job.h>

#include <map>
#include <optional>
#include <span>

namespace chicorywick::jobs {

/// @brief A worker as placement sees it.
struct WorkerView
{
    std::string id;
    std::string zone;
    std::string rack;
    platform::Capacity capacity;
    platform::Capacity reserved;
    /// Held back for a job that has waited long for so much room.
    bool isHeld = false;
};

/// @brief Attempts of one kind per rack and zone, to spread them over failure domains.
struct KindSpread
{
    std::map<std::string, std::uint32_t> racks;
    std::map<std::string, std::uint32_t> zones;
    std::uint32_t total = 0;
};

/// @brief A job to place, with the room that it is expected to need.
struct PlacementRequest
{
    platform::Capacity wanted;
    std::span<const std::string> avoidedWorkers;
    const KindSpread *spread = nullptr;
    bool mayUseHeld = false;
};

bool fits(const platform::Capacity &wanted, const WorkerView &worker);

/// @brief The size to reserve: the learned one, limited to what the workers have; nothing if not
/// even the declared one fits an empty worker.
std::optional<platform::Capacity> placeableSize(const platform::Capacity &learned,
                                                const platform::Capacity &declared,
                                                std::span<const platform::Capacity> workers);

/// @brief The position of the best worker with room, if any.
std::optional<std::size_t> pickWorker(const PlacementRequest &request,
                                      std::span<const WorkerView> workers);

/// @brief A running attempt that a checkpoint could end.
struct PreemptionCandidate
{
    std::string job;
    std::size_t worker = 0;
    platform::Capacity reserved;
    JobClass jobClass = JobClass::Normal;
    base::TimePoint startedAt;
};

/// @brief The attempts to checkpoint on one worker so that an urgent job fits there; empty if none
/// would do.
std::vector<std::size_t> pickPreemption(const platform::Capacity &wanted,
                                        std::span<const WorkerView> workers,
                                        std::span<const PreemptionCandidate> candidates);

} // namespace chicorywick::jobs
