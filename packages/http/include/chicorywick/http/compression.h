#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace chicorywick::http {

/// @brief The content coding of compressed bodies, for Accept-Encoding and Content-Encoding.
inline constexpr const char *kGzip = "gzip";

std::string compress(const std::string &text);

/// @brief Returns nothing if the data is malformed or its text has more than the given bytes.
std::optional<std::string> decompress(const std::string &data, std::size_t maxBytes);

} // namespace chicorywick::http
