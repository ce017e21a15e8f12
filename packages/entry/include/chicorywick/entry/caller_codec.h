#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/http/message.h>
#include <chicorywick/scheduler/model.h>

#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Decodes callers' requests and encodes the responses.
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    /// @brief Decodes the steps, payload and times of a submission; leaves id and queue empty.
    virtual base::Result<scheduler::JobSpec> decodeSubmission(const std::string &body) const = 0;
    virtual std::string encodeState(scheduler::JobState state) const = 0;
    virtual std::string encodeWaiting(int jobs) const = 0;

    /// @brief The caller's timeout for the response, in milliseconds.
    virtual std::optional<scheduler::Millis> timeLimit(const http::Headers &headers) const = 0;

    /// @brief The caller's API key, or an empty string.
    virtual std::string apiKey(const http::Headers &headers) const = 0;
};

/// @brief Checks that the scheduler can handle a job: numbers are in range, and steps depend on
/// earlier steps only.
base::Result<void> validateJob(const scheduler::JobSpec &spec);

/// @brief Checks what a new job has to keep to besides: lengths of texts, and times that can come.
base::Result<void> validateSubmission(const scheduler::JobSpec &spec);

} // namespace chicorywick::entry
