#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/permit.h>

#include <functional>

namespace chicorywick::serving {

/// @brief Receives the result of a submitted request; called exactly once.
using AdmissionCallback = std::function<void(base::Result<Permit>)>;

/// @brief A queued request and the callback for its result.
struct Waiter
{
    AdmissionRequest request;
    AdmissionCallback callback;
};

} // namespace chicorywick::serving
