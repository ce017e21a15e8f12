#pragma once

#include <cstdint>
#include <string>

namespace chicorywick::prove {

/// @brief Runs several stores that claim the same keys on a faulty table, in virtual time. Returns
/// a violation with its trace, or an empty string.
std::string simulateClaims(std::uint64_t seed);

} // namespace chicorywick::prove
