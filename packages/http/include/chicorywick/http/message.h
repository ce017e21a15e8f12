#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chicorywick::http {

/// @brief Header fields; names are stored in lower case.
using Headers = std::map<std::string, std::string>;

/// @brief A complete request.
struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    bool operator==(const Request &) const = default;
};

/// @brief A complete response.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;

    bool operator==(const Response &) const = default;
};

/// @brief An IPv4 address and port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// @brief The value of a header, or an empty string; the name must be in lower case.
const std::string &headerOf(const Headers &headers, const std::string &name);

/// @brief Parses "host:port"; the port is 0 if the text is invalid.
Endpoint parseEndpoint(const std::string &text);

} // namespace chicorywick::http
