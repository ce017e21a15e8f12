#pragma once

#include <string>

namespace chicorywick::base {

/// @brief A process-wide unique token of 32 hexadecimal digits, random per process and counted.
std::string uniqueId();

} // namespace chicorywick::base
