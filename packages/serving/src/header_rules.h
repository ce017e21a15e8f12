#pragma once

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicorywick::serving {

/// @brief How the end of a message body is known.
enum class BodyFraming {
    None,
    Length,
    Chunked,
    /// The end would be the end of the connection, which looks like a truncation.
    UntilClose,
    /// The headers contradict each other.
    Invalid,
};

/// @brief True if a header that holds a comma-separated list names the token, in any case.
bool listsToken(const httplib::Headers &headers, const std::string &name, std::string_view token);

/// @brief The length in Content-Length if there is exactly one valid value.
std::optional<std::uint64_t> contentLengthOf(const httplib::Headers &headers);

/// @brief How a response's body ends, by RFC 9112 section 6.3.
BodyFraming framingOf(const httplib::Headers &headers);

/// @brief Headers without those that concern one connection only, the framing headers and the
/// headers that Chicorywick itself sets.
httplib::Headers endToEndHeaders(const httplib::Headers &headers);

} // namespace chicorywick::serving
