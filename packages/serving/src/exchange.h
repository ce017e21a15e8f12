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

/// @brief What is known of the request after an exchange.
enum class Disposition {
    /// No byte was sent.
    NotSent,
    /// The upstream states that it did not run the request.
    Refused,
    /// The upstream's response is whole.
    Completed,
    /// The request was sent and no response began.
    NoResponse,
    /// A response began and did not end.
    Truncated,
    /// The response is larger than what can be buffered.
    TooLarge,
};

/// @brief The fate of the request and what the attempt says of the upstream.
struct ExchangeResult
{
    Disposition disposition = Disposition::NotSent;
    AttemptOutcome outcome = AttemptOutcome::Unreachable;

    bool operator==(const ExchangeResult &) const = default;
};

/// @brief Classifies an exchange; docs/request-outcomes.md has the table.
ExchangeResult classify(const ExchangeFacts &facts);

} // namespace chicorywick::serving
