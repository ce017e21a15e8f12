#include "hosted_deployment.h"
#include "large_configuration.h"
#include "loopback_proxy.h"
#include "soak.h"

#include <doctest/doctest.h>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;

/// @brief One entry instance that reaches the store over a link whose rate can be limited.
struct NarrowLink
{
    NarrowLink()
    {
        deployment.onLoop([this] {
            proxy = std::make_unique<LoopbackProxy>(deployment.loop(), deployment.storePort());
        });
        deployment.startDaemon(0, HostedDeployment::storeSettings(proxy->port()));
        REQUIRE(deployment.waitUntilReady());
    }
    ~NarrowLink()
    {
        deployment.onLoop([this] { proxy.reset(); });
    }
    NarrowLink(const NarrowLink &) = delete;
    NarrowLink &operator=(const NarrowLink &) = delete;

    bool isInForce(int version) const
    {
        return deployment.submitWithKey(0, "job" + std::to_string(version),
                                        "key-" + std::to_string(version))
               == 200;
    }
    bool waitUntilInForce(int version) const
    {
        return e2e::waitUntil(20s, [&] { return isInForce(version); });
    }
    std::size_t responseBytes()
    {
        std::size_t bytes = 0;
        deployment.onLoop([&] { bytes = proxy->responseBytes(); });
        return bytes;
    }

    HostedDeployment deployment{1, 1, 9};
    std::unique_ptr<LoopbackProxy> proxy;
};

} // namespace

// Guards against reads that are given up and repeated although their answer arrives.
TEST_CASE("a configuration that takes seconds to transfer takes effect")
{
    NarrowLink link;
    link.deployment.configure(largeConfiguration(2));
    REQUIRE(link.waitUntilInForce(2));
    // The configuration takes about 3 s at this rate.
    link.deployment.onLoop([&] { link.proxy->setResponseRate(160'000); });
    link.deployment.configure(largeConfiguration(3));
    CHECK(link.waitUntilInForce(3));
}

// Guards against an instance that falls further behind with each change while it reads the changes
// that it has missed.
TEST_CASE("an instance that missed many large configurations reads only the newest")
{
    constexpr int kMissed = 8;
    NarrowLink link;
    link.deployment.configure(largeConfiguration(2));
    REQUIRE(link.waitUntilInForce(2));
    link.deployment.onLoop([&] { link.proxy->close(); });
    std::this_thread::sleep_for(3s);
    for (int version = 3; version <= 2 + kMissed; ++version)
        link.deployment.configure(largeConfiguration(version));
    const std::size_t before = link.responseBytes();
    // Without a limit, the proxy would forward an answer before its reader can cancel it.
    link.deployment.onLoop([&] {
        link.proxy->setResponseRate(1'000'000);
        link.proxy->listen();
    });
    CHECK(link.waitUntilInForce(2 + kMissed));
    CHECK(link.responseBytes() - before < 3 * largeConfiguration(2).size());
}

// Guards against an instance that stays behind, or whose configuration goes back, when cuts, narrow
// links, kills, pauses and outages of the store overlap with frequent changes. The faults are
// random with a fixed seed; tools/soak --configurations runs the same for longer.
TEST_CASE("large configurations reach all instances through overlapping faults")
{
    const SoakReport report = runSoak({.seed = 3, .duration = 12s, .changesConfigurations = true});
    CHECK(report.configurations > 0);
    for (const std::string &violation : report.violations)
        FAIL_CHECK(violation);
}

} // namespace chicorywick::hosted
