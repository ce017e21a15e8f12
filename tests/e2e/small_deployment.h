#pragma once

#include "deployment.h"

#include <httplib.h>

namespace chicorywick::e2e {

/// @brief Three upstreams of the service "shop", two workers, and three entry instances in the
/// zones z1 and z2.
void startSmallDeployment(Deployment &deployment);

/// @brief The pools "shop" and "press" with a budget of one instance each, and their members.
void createPools(const Deployment &deployment);

/// @brief POST /shop/orders through an entry instance; the upstream sleeps before it answers.
httplib::Result postOrder(int port, const std::string &body, int sleepMs = 0,
                          const std::string &key = {});

std::size_t countOccurrences(const std::string &text, const std::string &part);

/// @brief How often the upstreams of the service ran a request with this body.
std::size_t runsOf(const Deployment &deployment, const std::string &body);

} // namespace chicorywick::e2e
