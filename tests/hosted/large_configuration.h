#pragma once

#include <string>

namespace chicorywick::hosted {

/// @brief A configuration of about 0.4 MB: many routes beside that of the jobs, and one account
/// with the API key "key-VERSION". Callers without a key are served if anonymous ones are allowed.
std::string largeConfiguration(int version, bool allowsAnonymous = false);

} // namespace chicorywick::hosted
