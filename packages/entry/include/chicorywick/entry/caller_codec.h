#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/http/message.h>
#include <chicorywick/scheduler/model.h>

#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief The formats of callers' requests and responses.
class CallerCodec
{
public:
    virtual ~CallerCodec() = default;

    /// @brief The steps, payload and times of a submission; id and queue are left empty.
    virtual base::Result<scheduler::JobSpec> decodeSubmission(const std::string &body) const = 0;
    virtual std::string encodeState(scheduler::JobState state) const = 0;
    virtual std::string encodeWaiting(int jobs) const = 0;

    /// @brief How long the caller waits for the response, in milliseconds.
    virtual std::optional<scheduler::Millis> timeLimit(const http::Headers &headers) const = 0;
};

/// @brief Checks what callers may submit: numbers in range, steps that wait for earlier ones only.
base::Result<void> validateSubmission(const scheduler::JobSpec &spec);

} // namespace chicorywick::entry
