#include "caller_reply.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicorywick::serving {

std::string_view outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Completed:
        return "completed";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        break;
    }
    return "unknown";
}

CallerReply errorReply(const base::Error &error, RequestOutcome outcome)
{
    const base::CodeInfo &info = base::codeInfo(error.code);
    const nlohmann::json body = {{"code", static_cast<int>(error.code)},
                                 {"name", info.name},
                                 {"message", error.message},
                                 {"outcome", outcomeName(outcome)}};
    CallerReply reply;
    reply.status = info.httpStatus;
    reply.outcome = outcome;
    reply.code = error.code;
    reply.headers.emplace("Content-Type", "application/json");
    // Messages may contain input that is not valid UTF-8.
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

CallerReply withRetryAfter(CallerReply reply, base::Duration delay)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
    reply.headers.erase("Retry-After");
    reply.headers.emplace("Retry-After", std::to_string(std::max<std::int64_t>(
                                                 1, static_cast<std::int64_t>(seconds))));
    return reply;
}

std::string makeClosingResponse(base::Code code)
{
    const CallerReply reply = errorReply(base::makeError(code), RequestOutcome::NotRun);
    const base::CodeInfo &info = base::codeInfo(code);
    return "HTTP/1.1 " + std::to_string(info.httpStatus) + ' ' + std::string(info.name)
           + "\r\nConnection: close\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
           + std::string(kOutcomeHeader) + ": not-run\r\n" + kResultCodeHeader + ": "
           + std::to_string(static_cast<int>(code))
           + "\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
}

} // namespace chicorywick::serving
