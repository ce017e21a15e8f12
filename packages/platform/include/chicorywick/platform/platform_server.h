#pragma once

#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/twirp/router.h>

namespace chicorywick::platform {

/// @brief Creates the Twirp handlers that serve an in-memory platform to an availability zone.
twirp::Router makePlatformRouter(const std::shared_ptr<MemoryPlatform> &platform,
                                 const std::string &zone);

} // namespace chicorywick::platform
