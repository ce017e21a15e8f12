#pragma once

#include <cstdint>
#include <string>

namespace chicorywick::prove {

/// @brief One run in virtual time of several stores that claim the same keys on a faulty table; a
/// violation with its trace, or empty.
std::string simulateClaims(std::uint64_t seed);

} // namespace chicorywick::prove
