#include <chicorywick/cluster/config_applier.h>
#include <chicorywick/cluster/config_service.h>
#include <chicorywick/cluster/config_validation.h>
#include <chicorywick/platform/memory_platform.h>

#include <doctest/doctest.h>

#include <algorithm>

namespace chicorywick::cluster {

using namespace std::chrono_literals;

namespace {

v1::ConfigItem teamItem(const std::string &name, std::uint32_t weight)
{
    v1::ConfigItem item;
    item.set_name("team/" + name);
    item.mutable_team()->set_weight(weight);
    return item;
}

v1::PutConfigRequest putRequest(const std::string &id, std::uint64_t expected,
                                const std::vector<v1::ConfigItem> &items)
{
    v1::PutConfigRequest request;
    request.set_request_id(id);
    request.set_expected_version(expected);
    for (const v1::ConfigItem &item : items)
        *request.add_items() = item;
    return request;
}

struct ConfigStoreFixture
{
    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<platform::MemoryPlatform> platform = std::make_shared<platform::MemoryPlatform>(
            platform::MemoryPlatformOptions{.clock = clock, .seed = 5});
    ConfigStore store{platform::Table(platform::MemoryAccess{platform, "z1"}), clock};

    std::uint64_t put(std::uint64_t expected, const std::vector<v1::ConfigItem> &items)
    {
        time->advance(1s);
        const auto done =
                store.put(putRequest("c" + std::to_string(expected), expected, items), "op");
        REQUIRE(done.has_value());
        return done.value().version();
    }
};

} // namespace

// Guards against a rejection that reports only the first error, so that an operator needs one
// attempt per error.
TEST_CASE("a rejected change reports every error with its item, field, value and range")
{
    v1::ConfigItem service;
    service.set_name("service/counter");
    service.mutable_service()->set_slots_per_upstream(5000);
    const auto refused = validateConfig({service, teamItem("a", 0), teamItem("Bad Name", 1)});
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == base::Code::ConfigRejected);
    const std::string &text = refused.error().message;
    CHECK(text.find("service/counter: service.slots_per_upstream is 5000, allowed is 1 to 1024")
          != std::string::npos);
    CHECK(text.find("service.queue_limit is 0") != std::string::npos);
    CHECK(text.find("team/a: team.weight is 0, allowed is 1 to 1000") != std::string::npos);
    CHECK(text.find("'team/Bad Name'") != std::string::npos);
}

// Guards against a lost update: an operator changes an item based on an old version and overwrites
// a newer change.
TEST_CASE_FIXTURE(ConfigStoreFixture, "a conflicting change is rejected with the difference")
{
    put(0, {teamItem("a", 1)});
    put(1, {teamItem("a", 7)});
    const auto late = store.put(putRequest("late", 1, {teamItem("a", 9)}), "other");
    REQUIRE(late.has_error());
    CHECK(late.error().code == base::Code::ConfigVersionConflict);
    CHECK(late.error().message.find("version 2 by op: team/a: team.weight 1 -> 7")
          != std::string::npos);
    CHECK(store.headVersion().value() == 2);
}

// Guards against a rollback that lowers the version, which daemons would ignore, or that keeps
// items added after the target version.
TEST_CASE_FIXTURE(ConfigStoreFixture, "a rollback is a new version with the old values")
{
    put(0, {teamItem("a", 1)});
    put(1, {teamItem("a", 7), teamItem("b", 2)});
    v1::RollBackConfigRequest request;
    request.set_request_id("back");
    request.set_expected_version(2);
    request.set_to_version(1);
    const auto rolledBack = store.rollBack(request, "op");
    REQUIRE(rolledBack.has_value());
    CHECK(rolledBack.value().version() == 3);
    CHECK(rolledBack.value().rolls_back_to() == 1);
    const v1::Config config = store.read().value();
    REQUIRE(config.items_size() == 1);
    CHECK(config.items(0).team().weight() == 1);
    v1::ConfigHistoryRequest history;
    history.set_limit(2);
    const auto changes = store.history(history).value();
    REQUIRE(changes.changes_size() == 2);
    CHECK(changes.changes(0).version() == 3);
}

// Guards against a change that reads or writes the rows of unrelated items.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "the cost of a change does not depend on the size of the configuration")
{
    std::uint64_t version = 0;
    for (int batch = 0; batch < 10; ++batch) {
        std::vector<v1::ConfigItem> items;
        for (int i = 0; i < 50; ++i)
            items.push_back(teamItem(std::to_string(batch) + "-" + std::to_string(i), 1));
        version = put(version, items);
    }
    const platform::PlatformCounters before = platform->counters();
    put(version, {teamItem("0-0", 2)});
    const platform::PlatformCounters after = platform->counters();
    CHECK(after.tableWrites - before.tableWrites == 4);
    CHECK(after.tableReads - before.tableReads == 3);
}

// Guards against a return to an older version after a delayed or duplicated message.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "the applier accepts changes and full configurations, but no lower version")
{
    put(0, {teamItem("a", 1), teamItem("b", 1)});
    ConfigApplier applier;
    const v1::ConfigDelta whole = store.changesSince(0).value();
    CHECK(applier.apply(whole, ConfigSource::Table, time->now()));
    v1::ConfigItem deletedItem = teamItem("b", 1);
    deletedItem.set_deleted(true);
    put(1, {teamItem("a", 5), deletedItem});
    const v1::ConfigDelta delta = store.changesSince(1).value();
    CHECK_FALSE(delta.whole());
    CHECK(applier.apply(delta, ConfigSource::Peer, time->now()));
    CHECK(applier.isFromPeers());
    CHECK_FALSE(applier.apply(whole, ConfigSource::Table, time->now()));
    CHECK(applier.version() == 2);
    CHECK(applier.items().size() == 1);
    CHECK(applier.item("team/a")->team().weight() == 5);
    applier.recordTableHead(2);
    CHECK_FALSE(applier.isFromPeers());

    ConfigApplier peerApplier;
    CHECK_FALSE(peerApplier.apply(delta, ConfigSource::Peer, time->now()));
    for (const v1::ConfigDelta &part : applier.deltaSince(0))
        peerApplier.apply(part, ConfigSource::Peer, time->now());
    CHECK(peerApplier.version() == 2);
    CHECK(peerApplier.items().size() == 1);
}

// Guards against a configuration that exceeds the size of a peer message, and against parts that
// arrive out of order.
TEST_CASE("a large configuration is sent in parts and applied in any order")
{
    v1::ConfigDelta whole;
    whole.set_version(3);
    whole.set_whole(true);
    for (std::uint32_t i = 0; i < kMaxConfigItems; ++i) {
        *whole.add_items() = teamItem(std::string(100, 'x') + std::to_string(i), 1);
        whole.mutable_items()->rbegin()->set_version(3);
    }
    ConfigApplier sourceApplier;
    REQUIRE(sourceApplier.apply(whole, ConfigSource::Table, {}));
    std::vector<v1::ConfigDelta> parts = sourceApplier.deltaSince(0);
    CHECK(parts.size() > 1);
    ConfigApplier peerApplier;
    std::reverse(parts.begin(), parts.end());
    for (const v1::ConfigDelta &part : parts)
        peerApplier.apply(part, ConfigSource::Peer, {});
    CHECK(peerApplier.version() == 3);
    CHECK(peerApplier.items().size() == kMaxConfigItems);
}

// Guards against methods that are not registered, and against a retried PutConfig that fails
// instead of returning the stored response.
TEST_CASE_FIXTURE(ConfigStoreFixture, "the service changes, reads and reports the configuration")
{
    twirp::Router router;
    int accepted = 0;
    addConfigServices(router, store, {.status = {}, .onAccepted = [&] { ++accepted; }});
    const auto call = [&](const std::string &method, const std::string &body) {
        return router.handle({.path = "/twirp/chicorywick.v1.ConfigService/" + method,
                              .contentType = "application/json",
                              .body = body,
                              .context = {}});
    };
    const std::string put = R"({"request_id":"r","items":[{"name":"team/a","team":{"weight":2}}]})";
    CHECK(call("PutConfig", put).status == 200);
    CHECK(call("PutConfig", put).status == 200);
    CHECK(accepted == 2);
    CHECK(call("GetConfig", "{}").body.find(R"("version":"1")") != std::string::npos);
    CHECK(call("ConfigStatus", "{}").body.find(R"("head_version":"1")") != std::string::npos);
}

} // namespace chicorywick::cluster
