#pragma once

#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/routing_table.h>

#include <cstddef>
#include <optional>

namespace chicorywick::serving {

/// @brief Observed service rate: slots in use and the mean time that one is held.
struct ServiceRate
{
    std::size_t slotsInUse = 0;
    base::Duration meanHoldTime{};
};

/// @brief Requests that wait when another one arrives.
struct QueueLoad
{
    std::size_t quick = 0;
    std::size_t archive = 0;
    std::size_t queuedByCaller = 0;
    /// Length of the longest queue of one caller in the request's class.
    std::size_t longestCallerQueue = 0;
    /// Time since the queue was last empty.
    base::Duration nonEmptyFor{};
};

/// @brief What happens to a request that finds no free slot.
enum class AdmissionVerdict {
    Queue,
    /// Queue it in place of the newest request of the caller that has the most waiting.
    QueueAndEvict,
    QueueFull,
    CallerLimit,
    DeadlineTooNear
};

/// @brief Time until the request after `ahead` others starts; nothing if no hold time was observed.
std::optional<base::Duration> expectedWait(std::size_t ahead, const ServiceRate &rate);

/// @brief Requests that start before a newcomer of the class.
std::size_t requestsAhead(RequestClass requestClass, const QueueLoad &load,
                          unsigned archiveSharePercent);

/// @brief The longest wait that quick requests are queued for, by the time since the queue was last
/// empty.
base::Duration quickWaitLimit(const ServiceRate &rate, base::Duration nonEmptyFor);

/// @brief The verdict on a request that finds no free slot.
AdmissionVerdict decideAdmission(const ServicePolicy &policy, const AdmissionRequest &request,
                                 const QueueLoad &load, const ServiceRate &rate,
                                 base::TimePoint now);

} // namespace chicorywick::serving
