#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chicorywick::http {

/// @brief Header fields; names are stored in lower case.
using Headers = std::map<std::string, std::string>;

/// @brief A whole request.
struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    bool operator==(const Request &) const = default;
};

/// @brief A whole response.
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

/// @brief The value of a header, or an empty text; the name is given in lower case.
const std::string &headerOf(const Headers &headers, const std::string &name);

/// @brief Reads "host:port"; a port of 0 marks a text that cannot be read.
Endpoint parseEndpoint(const std::string &text);

} // namespace chicorywick::http
