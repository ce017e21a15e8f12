#pragma once

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicorywick::serving {

/// @brief How the end of a message body is determined.
enum class BodyFraming {
    None,
    Length,
    Chunked,
    /// The body ends when the connection closes, which cannot be told apart from truncation.
    UntilClose,
    /// The headers contradict each other.
    Invalid,
};

/// @brief Whether a header with a comma-separated list contains the token, ignoring case.
bool listsToken(const httplib::Headers &headers, const std::string &name, std::string_view token);

/// @brief The length in Content-Length if there is exactly one valid value.
std::optional<std::uint64_t> contentLengthOf(const httplib::Headers &headers);

/// @brief The framing of a message body according to RFC 9112 section 6.3.
BodyFraming framingOf(const httplib::Headers &headers);

/// @brief The headers without hop-by-hop headers, framing headers and the headers set by
/// Chicorywick itself.
httplib::Headers endToEndHeaders(const httplib::Headers &headers);

} // namespace chicorywick::serving
