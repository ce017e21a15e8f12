#include <chicorywick/base/overloaded.h>
#include <chicorywick/daemon/platform_access.h>
#include <chicorywick/platform/listing_cache.h>

namespace chicorywick::daemon {

namespace {

// Routing, membership, waves and jobs each read the list every one to two seconds, and each read
// transfers all instances. The cache lets them share a read.
constexpr base::Duration kListingMaxAge = std::chrono::milliseconds(900);

template <typename Backend>
PlatformAccess makeAccess(const Backend &backend)
{
    const auto listing = std::make_shared<platform::ListingCache>(platform::InstanceList(backend),
                                                                  base::Clock(), kListingMaxAge);
    return {platform::Table(backend), platform::ObjectStore(backend),
            platform::InstanceList(listing), platform::Workers(backend),
            platform::InstanceControl(backend)};
}

} // namespace

PlatformAccess openPlatform(const Settings &settings)
{
    return std::visit(
            base::Overloaded{[&](const EmbeddedPlatform &embedded) {
                                 auto memory = std::make_shared<platform::MemoryPlatform>();
                                 for (const platform::ListedInstance &instance : embedded.instances)
                                     memory->addInstance(instance);
                                 return makeAccess(platform::MemoryAccess{memory, settings.zone});
                             },
                             [](const RemotePlatform &remote) {
                                 twirp::ClientOptions options;
                                 options.host = remote.endpoint.host;
                                 options.port = remote.endpoint.port;
                                 options.callTimeout = remote.callTimeout;
                                 return makeAccess(twirp::Client(options));
                             }},
            settings.platform);
}

} // namespace chicorywick::daemon
