#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chicorywick::base {

/// @brief 64-bit XXH3 hash; identical on every platform.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// @brief 128-bit XXH3 digest as 32 hexadecimal digits.
std::string digestHex(std::string_view bytes);

/// @brief Rendezvous hashing: returns the index of the node with the highest score for a key, or
/// nothing if there are no nodes.
std::optional<std::size_t> rendezvousPick(std::string_view key, std::span<const std::string> nodes);

} // namespace chicorywick::base
