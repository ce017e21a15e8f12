#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/permit.h>

#include <functional>

namespace chicorywick::serving {

/// @brief Receives the answer to a submitted request; called exactly once.
using AdmissionCallback = std::function<void(base::Result<Permit>)>;

/// @brief A request in the queue.
struct Waiter
{
    AdmissionRequest request;
    AdmissionCallback answer;
};

} // namespace chicorywick::serving
