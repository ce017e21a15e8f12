#pragma once

#include <string>

namespace chicorywick::base {

/// @brief Returns a unique id of 32 hexadecimal digits: a random part per process and a scrambled
/// counter.
std::string uniqueId();

} // namespace chicorywick::base
