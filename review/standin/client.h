#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace chicorywick::review {

/// @brief The answer to a call; status 0 without a complete one.
struct Answer
{
    int status = 0;
    std::string body;

    bool operator==(const Answer &) const = default;
};

/// @brief A call to a port of this machine, with the Host header that a caller of a queue sends.
struct Call
{
    std::uint16_t port = 0;
    std::string method;
    std::string path;
    std::string host;
    std::string body;
    std::chrono::milliseconds timeLimit{3'000};

    bool operator==(const Call &) const = default;
};

/// @brief Makes a call on a connection of its own and waits for the answer.
Answer send(const Call &call);

} // namespace chicorywick::review
