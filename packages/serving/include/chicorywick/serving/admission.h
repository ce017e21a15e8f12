#pragma once

#include <chicorywick/base/clock.h>

#include <string>
#include <vector>

namespace chicorywick::serving {

enum class RequestClass { Quick, Archive };

/// @brief A request that asks for a slot of an upstream.
struct AdmissionRequest
{
    std::string service;
    std::string caller;
    RequestClass requestClass = RequestClass::Quick;
    base::TimePoint deadline;
    /// Upstreams that earlier attempts of the request have tried.
    std::vector<std::string> excludedUpstreams;
    bool isRetry = false;
};

/// @brief Result of one attempt to send a request to an upstream.
enum class AttemptOutcome { Succeeded, Refused, Unreachable, Failed, TimedOut, Cancelled };

} // namespace chicorywick::serving
