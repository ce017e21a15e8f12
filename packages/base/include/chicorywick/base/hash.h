#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chicorywick::base {

/// @brief 64-bit XXH3 hash, the same on every machine.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// @brief 128-bit XXH3 digest as 32 hexadecimal digits.
std::string digestHex(std::string_view bytes);

/// @brief Rendezvous hashing: the position of the node with the highest score for a key.
std::optional<std::size_t> rendezvousPick(std::string_view key, std::span<const std::string> nodes);

} // namespace chicorywick::base
