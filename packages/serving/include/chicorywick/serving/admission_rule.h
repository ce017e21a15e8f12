#pragma once

#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/routing_table.h>

#include <cstddef>
#include <optional>

namespace chicorywick::serving {

/// @brief Observed service rate: slots in use and the mean time a request occupies one.
struct ServiceRate
{
    std::size_t slotsInUse = 0;
    base::Duration meanHoldTime{};
};

/// @brief Queue lengths when a new request arrives.
struct QueueLoad
{
    std::size_t quick = 0;
    std::size_t archive = 0;
    std::size_t queuedByCaller = 0;
    /// Requests of the caller with the most queued, in the class of the new request.
    std::size_t longestCallerQueue = 0;
    /// Time since the queue was last empty.
    base::Duration nonEmptyFor{};
};

/// @brief How a request that finds no free slot is handled.
enum class AdmissionVerdict {
    Queue,
    /// Queue it and evict the newest request of the caller with the most queued.
    QueueAndEvict,
    QueueFull,
    CallerLimit,
    DeadlineTooNear
};

/// @brief Expected time until a request with `ahead` requests before it starts; empty if no hold
/// time has been observed.
std::optional<base::Duration> expectedWait(std::size_t ahead, const ServiceRate &rate);

/// @brief Number of queued requests that start before a new request of the class.
std::size_t requestsAhead(RequestClass requestClass, const QueueLoad &load,
                          unsigned archiveSharePercent);

/// @brief Longest expected wait for which a quick request is still queued; depends on the time
/// since the queue was last empty.
base::Duration quickWaitLimit(const ServiceRate &rate, base::Duration nonEmptyFor);

/// @brief Decides whether to queue or reject a request that finds no free slot.
AdmissionVerdict decideAdmission(const ServicePolicy &policy, const AdmissionRequest &request,
                                 const QueueLoad &load, const ServiceRate &rate,
                                 base::TimePoint now);

} // namespace chicorywick::serving
