#pragma once

#include <chicorywick/serving/admission.h>

#include <httplib.h>

#include <cstdint>
#include <string>

namespace chicorywick::serving {

/// @brief A request as it is sent to an upstream.
struct OutgoingRequest
{
    std::string method;
    std::string target;
    httplib::Headers headers;
    std::string body;
};

/// @brief What was observed while a request was exchanged with an upstream.
struct ExchangeFacts
{
    bool connected = false;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    bool headComplete = false;
    bool bodyComplete = false;
    bool timedOut = false;
    bool callerDisconnected = false;
    bool tooLarge = false;
    /// 503 with X-Request-Outcome: not-run.
    bool refusedByUpstream = false;

    bool operator==(const ExchangeFacts &) const = default;
};

/// @brief Status of the request after an exchange.
enum class Disposition {
    /// No byte was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    Refused,
    /// The response is complete.
    Completed,
    /// Part or all of the request was sent, and no byte of a response was received.
    NoResponse,
    /// A response began but is incomplete.
    Truncated,
    /// The response exceeds the buffer limits.
    TooLarge,
};

/// @brief Disposition of the request, and the outcome recorded for the upstream.
struct ExchangeResult
{
    Disposition disposition = Disposition::NotSent;
    AttemptOutcome outcome = AttemptOutcome::Unreachable;

    bool operator==(const ExchangeResult &) const = default;
};

/// @brief Classifies an exchange; docs/request-outcomes.md has the table.
ExchangeResult classify(const ExchangeFacts &facts);

} // namespace chicorywick::serving
