#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>

#include <httplib.h>

#include <optional>
#include <string>

namespace chicorywick::serving {

constexpr const char *kOutcomeHeader = "X-Request-Outcome";
constexpr const char *kResultCodeHeader = "X-Result-Code";

/// @brief What the caller is told about its request.
enum class RequestOutcome { Completed, NotRun, Unknown };

std::string_view outcomeName(RequestOutcome outcome);

/// @brief A response to a caller.
struct CallerReply
{
    int status = 0;
    RequestOutcome outcome = RequestOutcome::Unknown;
    /// Set for errors of Chicorywick itself.
    std::optional<base::Code> code;
    httplib::Headers headers;
    std::string body;
    /// The response to HEAD, 204 or 304: headers only.
    bool isBodyless = false;
    /// Length of a body that is passed on while it arrives; the body is empty then.
    std::optional<std::uint64_t> streamedLength;
};

/// @brief A numbered error as JSON.
CallerReply errorReply(const base::Error &error, RequestOutcome outcome);

/// @brief Adds Retry-After, in whole seconds and at least one.
CallerReply withRetryAfter(CallerReply reply, base::Duration delay);

/// @brief A complete HTTP message that rejects whatever request arrives on a connection that is
/// about to be closed.
std::string makeClosingResponse(base::Code code);

} // namespace chicorywick::serving
