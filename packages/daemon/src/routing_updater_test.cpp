#include "routing_updater.h"

#include <chicorywick/fleet/fleet_services.h>
#include <chicorywick/platform/memory_platform.h>

#include <doctest/doctest.h>

namespace chicorywick::daemon {

using namespace std::chrono_literals;

namespace {

struct Fixture
{
    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<platform::MemoryPlatform> memory = std::make_shared<platform::MemoryPlatform>(
            platform::MemoryPlatformOptions{.clock = clock});
    platform::MemoryAccess access{memory, "z1"};
    PlatformAccess platform{platform::Table(access), platform::ObjectStore(access),
                            platform::InstanceList(access), platform::Workers(access),
                            platform::InstanceControl(access)};
    std::vector<std::string> notified;
    RoutingUpdater updater{"z1", clock, platform, std::make_shared<serving::Dispatcher>(clock, 1),
                           [this](const std::string &id) { notified.push_back(id); }};

    Fixture()
    {
        for (const char *id : {"a", "b"})
            memory->addInstance({.id = id,
                                 .kind = platform::InstanceKind::Upstream,
                                 .address = "127.0.0.1:9001",
                                 .zone = "z1",
                                 .service = "shop"});
        updater.refreshList();
    }

    bool isLeaving(const std::string &id) const
    {
        const serving::RoutingTable table = updater.table();
        for (const serving::RoutedUpstream &upstream : table.services.at("shop").upstreams) {
            if (upstream.target.id == id)
                return upstream.leaving;
        }
        return true;
    }

    void putGrants(const std::vector<std::string> &ids)
    {
        const fleet::FleetRepository repository{platform.table};
        const auto stored = repository.pool("shop");
        v1::PoolRow row;
        row.set_name("shop");
        row.mutable_budget()->set_max_unavailable(2);
        row.set_member_count(2);
        for (const std::string &id : ids)
            row.add_grants()->set_instance(id);
        const std::uint64_t version = stored ? stored.value().version : 0;
        REQUIRE(platform.table
                        .commit({.writer = "test-" + std::to_string(version),
                                 .conditions = {{"pool/shop", version}},
                                 .puts = {{"pool/shop", row.SerializeAsString()}},
                                 .deletes = {}})
                        .has_value());
    }
};

} // namespace

// An instance that a wave is about to drain must not receive new requests, and must receive them
// again after its grant ends.
TEST_CASE_FIXTURE(Fixture,
                  "a granted upstream is leaving until its grant ends, and peers are notified")
{
    putGrants({"a"});
    updater.refreshGrants();
    CHECK(isLeaving("a"));
    CHECK_FALSE(isLeaving("b"));
    CHECK(notified == std::vector<std::string>{"a"});
    updater.refreshGrants();
    CHECK(notified.size() == 1);
    putGrants({});
    updater.refreshGrants();
    CHECK_FALSE(isLeaving("a"));
}

// A failed read of the table must not end a grant: the wave may be rebooting the instance.
TEST_CASE_FIXTURE(Fixture, "the last grants stay in effect while the table is unavailable")
{
    putGrants({"a"});
    updater.refreshGrants();
    memory->setFaults({.table = {.down = true}});
    updater.refreshGrants();
    CHECK(isLeaving("a"));
}

// A notice that remains in effect after its grant has ended leaves capacity unused. A notice newer
// than the read of the grants, within the clock skew of members, must stay in effect.
TEST_CASE_FIXTURE(Fixture, "a peer's notice is in effect until a later read of the grants")
{
    updater.applyDrainNotice("b", clock.now());
    CHECK(isLeaving("b"));
    updater.refreshGrants();
    CHECK(isLeaving("b"));
    time->advance(4s);
    updater.refreshGrants();
    CHECK_FALSE(isLeaving("b"));
}

// An unset field is 0 in the message. Used as a limit it would block the service.
TEST_CASE("unset fields of a service configuration keep their defaults")
{
    v1::ServiceConfig config;
    config.set_queue_limit(7);
    const serving::ServicePolicy policy = toPolicy(config);
    CHECK(policy.queueLimit == 7);
    CHECK(policy.slotsPerUpstream == serving::ServicePolicy().slotsPerUpstream);
}

} // namespace chicorywick::daemon
