#pragma once

#include "deployment.h"

#include <httplib.h>

namespace chicorywick::e2e {

/// @brief Starts three upstreams of the service "shop", two workers and three entry instances in
/// the zones z1 and z2.
void startSmallDeployment(Deployment &deployment);

/// @brief Creates the pools "shop" and "press", each with at most one unavailable instance, and
/// adds their instances.
void createPools(const Deployment &deployment);

/// @brief Sends POST /shop/orders to an entry instance; the upstream responds after `sleepMs`.
httplib::Result postOrder(int port, const std::string &body, int sleepMs = 0,
                          const std::string &key = {});

std::size_t countOccurrences(const std::string &text, const std::string &part);

/// @brief Number of requests with this body that the upstreams of "shop" received.
std::size_t countRuns(const Deployment &deployment, const std::string &body);

} // namespace chicorywick::e2e
