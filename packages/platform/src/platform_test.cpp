#include <chicorywick/platform/listing_cache.h>
#include <chicorywick/platform/platform_server.h>
#include <chicorywick/twirp/listener.h>

#include <doctest/doctest.h>

namespace chicorywick::platform {

using namespace std::chrono_literals;

namespace {

struct Fixture
{
    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    std::shared_ptr<MemoryPlatform> platform = std::make_shared<MemoryPlatform>(
            MemoryPlatformOptions{.clock = base::Clock(time), .seed = 7});
    Table table{MemoryAccess{platform, "z1"}};

    Fixture()
    {
        platform->addInstance({.id = "w1",
                               .kind = InstanceKind::Worker,
                               .zone = "z1",
                               .rack = "r1",
                               .capacity = {1000, 1000, 0}});
    }
};

Transaction putIfAbsent(const std::string &key, const std::string &writer)
{
    return {.writer = writer, .conditions = {{key, 0}}, .puts = {{key, writer}}, .deletes = {}};
}

} // namespace

// Guards against a partly applied transaction when one of its conditions fails.
TEST_CASE_FIXTURE(Fixture, "a transaction is applied completely or not at all")
{
    REQUIRE(table.commit(putIfAbsent("a", "t1")).has_value());
    Transaction both = putIfAbsent("a", "t2");
    both.puts.push_back({"b", "x"});
    CHECK(table.commit(both).error().code == base::Code::TableConflict);
    CHECK_FALSE(table.get("b").value().has_value());
    CHECK(table.get("a").value()->writer == "t1");
}

// Guards against reporting a failure for a commit that was applied but whose response was lost.
TEST_CASE_FIXTURE(Fixture, "a lost response is resolved by repeating the transaction")
{
    platform->setFaults({.table = {.loseAnswer = 0.4}});
    int resolved = 0;
    for (int i = 0; i < 50; ++i) {
        time->advance(1s);
        const std::string key = "key-" + std::to_string(i);
        const auto result = commitResolved(table, putIfAbsent(key, "writer-" + key), 20);
        resolved += result.has_value() ? 1 : 0;
    }
    platform->setFaults({});
    CHECK(resolved == 50);
    CHECK(table.scanAll("key-", 100).value().size() == 50);
}

// Guards against a delayed commit that is applied in addition to its retry.
TEST_CASE_FIXTURE(Fixture, "a delayed commit cannot overwrite a row that was put in the meantime")
{
    platform->setFaults({.table = {.lateCommit = 1}});
    CHECK(table.commit(putIfAbsent("a", "late")).error().code
          == base::Code::PlatformUnknownOutcome);
    platform->setFaults({});
    const auto second = table.commit(putIfAbsent("a", "second"));
    const std::string winner = table.get("a").value()->writer;
    for (int i = 0; i < 50; ++i) {
        time->advance(100ms);
        CHECK(table.get("a").value()->writer == winner);
    }
    CHECK((winner == "second") == second.has_value());
}

// Guards against an unknown outcome for calls that never reached the platform.
TEST_CASE_FIXTURE(Fixture, "calls during an outage or from a partitioned zone fail as not executed")
{
    platform->setFaults({.table = {.down = true}});
    CHECK(table.commit(putIfAbsent("a", "t")).error().code == base::Code::PlatformUnavailable);
    platform->setFaults({.partitionedZones = {"z1"}});
    CHECK(table.get("a").error().code == base::Code::PlatformUnavailable);
    CHECK(Table(MemoryAccess{platform, "z2"}).get("a").has_value());
}

// Guards against simulations with a write load that the real table would reject.
TEST_CASE_FIXTURE(Fixture, "the table rejects writes over its capacity")
{
    int applied = 0;
    for (int i = 0; i < 1000; ++i)
        applied += table.commit(putIfAbsent("k" + std::to_string(i), "w")).has_value() ? 1 : 0;
    CHECK(applied == 100);
    CHECK(platform->counters().tableOverloads == 900);
}

// Guards against a task that keeps running after its lease, at the same time as its replacement on
// another worker.
TEST_CASE_FIXTURE(Fixture, "a task ends when its lease expires")
{
    platform->setTaskBehaviour([](const TaskStart &) { return TaskBehaviour{.runTime = 10s}; });
    const Workers workers(MemoryAccess{platform, "z1"});
    REQUIRE(workers.start({.worker = "w1", .task = "t", .fence = 1, .lease = 2s}).has_value());
    time->advance(1s);
    REQUIRE(workers.renew({"w1", "t", 1}, 2s).has_value());
    time->advance(1500ms);
    CHECK(workers.tasks("w1").value().front().state == TaskState::Running);
    time->advance(1s);
    CHECK(workers.tasks("w1").value().front().state == TaskState::LeaseExpired);
    CHECK(workers.renew({"w1", "t", 1}, 2s).error().code == base::Code::InvalidTransition);
}

// Guards against a paused daemon that resumes and starts an attempt older than the current one.
TEST_CASE_FIXTURE(Fixture, "a worker rejects a lower fencing token and runs a repeated start once")
{
    const Workers workers(MemoryAccess{platform, "z1"});
    const TaskStart start{.worker = "w1", .task = "t", .fence = 2, .lease = 2s};
    REQUIRE(workers.start(start).has_value());
    REQUIRE(workers.start(start).has_value());
    TaskStart old = start;
    old.fence = 1;
    CHECK(workers.start(old).error().code == base::Code::StaleFence);
    CHECK(platform->taskRuns().size() == 1);
}

// Guards against commands of a daemon that lost ownership, and against a repeated command that
// reboots an instance twice.
TEST_CASE_FIXTURE(Fixture, "an instance drains, reboots once per token and returns")
{
    const InstanceControl control(MemoryAccess{platform, "z1"});
    const InstanceList list(MemoryAccess{platform, "z1"});
    REQUIRE(control.drain("w1", 3).has_value());
    CHECK(control.drain("w1", 2).error().code == base::Code::StaleFence);
    time->advance(3s);
    CHECK(control.status("w1").value().phase == InstancePhase::Drained);
    CHECK(list.list().value().instances.front().leaving);
    REQUIRE(control.reboot("w1", 3).has_value());
    time->advance(2s);
    REQUIRE(control.reboot("w1", 3).has_value());
    CHECK(control.status("w1").value().phase == InstancePhase::Up);
    CHECK(control.status("w1").value().boots == 1);
}

// Guards against tests that pass only because a failure is visible in the list at once.
TEST_CASE_FIXTURE(Fixture, "the instance list lags")
{
    const InstanceList list(MemoryAccess{platform, "z1"});
    CHECK(list.list().value().instances.size() == 1);
    platform->failInstance("w1");
    CHECK(list.list().value().instances.size() == 1);
    time->advance(3s);
    CHECK(list.list().value().instances.empty());
}

// Guards against each component of a daemon reading the whole list, and against a cached list that
// hides an outage of the platform.
TEST_CASE_FIXTURE(Fixture,
                  "a listing cache reads the list once per maximum age and returns failures")
{
    const base::Clock clock(time);
    const InstanceList cached(std::make_shared<ListingCache>(
            InstanceList(MemoryAccess{platform, "z1"}), clock, 900ms));
    for (int i = 0; i < 5; ++i)
        CHECK(cached.list().value().instances.size() == 1);
    CHECK(platform->counters().listCalls == 1);
    time->advance(1s);
    CHECK(cached.list().has_value());
    CHECK(platform->counters().listCalls == 2);
    time->advance(1s);
    platform->setFaults({.list = {.down = true}});
    CHECK(cached.list().error().code == base::Code::PlatformUnavailable);
}

// Guards against differences between the in-memory platform and its Twirp interface.
TEST_CASE_FIXTURE(Fixture, "the platform behaves the same over Twirp")
{
    auto listener = twirp::Listener::open({}, makePlatformRouter(platform, "z1"));
    REQUIRE(listener.has_value());
    twirp::ClientOptions options;
    options.port = listener.value()->port();
    const twirp::Client client(options);

    const Table remote(client);
    REQUIRE(remote.commit(putIfAbsent("a", "t1")).has_value());
    CHECK(remote.commit(putIfAbsent("a", "t2")).error().code == base::Code::TableConflict);
    CHECK(remote.get("a").value() == table.get("a").value());
    CHECK(remote.scan("", "", 10).value() == table.scan("", "", 10).value());
    CHECK(InstanceList(client).list().value()
          == InstanceList(MemoryAccess{platform, "z1"}).list().value());
    const ObjectStore objects(client);
    REQUIRE(objects.put("o/1", std::string("\0x", 2)).has_value());
    CHECK(objects.get("o/1").value().size() == 2);
    CHECK(objects.get("o/2").error().code == base::Code::ObjectNotFound);
    const Workers workers(client);
    REQUIRE(workers.start({.worker = "w1", .task = "t", .fence = 1, .lease = 2s}).has_value());
    CHECK(workers.tasks("w1").value() == Workers(MemoryAccess{platform, "z1"}).tasks("w1").value());
    const InstanceControl control(client);
    CHECK(control.status("w1").value().inFlight == 1);
    CHECK(control.status("w9").error().code == base::Code::NotFound);
}

} // namespace chicorywick::platform
