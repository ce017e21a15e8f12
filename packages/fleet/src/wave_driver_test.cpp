#include "fleet_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::fleet {

using namespace std::chrono_literals;

// Guards against a wave that omits an instance, reboots one twice or keeps a grant.
TEST_CASE_FIXTURE(FleetFixture, "a wave reboots every member once and releases all grants")
{
    createPool("p", 2);
    addInstances("p", 9);
    createWave("w", "p");
    REQUIRE(runUntilEnd("w", 300s));

    const WaveData wave = repository.wave("w").value().value.data();
    CHECK(wave.state == WaveState::Completed);
    CHECK(wave.done == 9);
    CHECK(repository.pool("p").value().value.data().grants.empty());
    const std::vector<Stored<Instance>> instances = repository.instances().value();
    for (const Stored<Instance> &instance : instances) {
        CHECK(instance.value.isInService());
        CHECK(control.status(instance.value.data().place.id).value().boots == 1);
    }
}

// Guards against a failed reboot that blocks the wave, is not reported, or releases its grant too
// early.
TEST_CASE_FIXTURE(FleetFixture, "an instance that does not boot is held, reported and released")
{
    createPool("p", 2);
    addInstances("p", 4);
    platform->setRebootFails("i2", true);
    createWave("w", "p");
    REQUIRE(runUntilEnd("w", 1h));
    const WaveData wave = repository.wave("w").value().value.data();
    CHECK(wave.done == 3);
    CHECK(wave.held == std::vector<std::string>{"i2"});
    CHECK(repository.pool("p").value().value.findGrant("i2") != nullptr);

    v1::ReleaseInstanceRequest release;
    release.set_request_id("release-1");
    release.set_id("i2");
    CHECK(call("FleetService", "ReleaseInstance", release).status == 412);
    platform->setRebootFails("i2", false);
    platform->restoreInstance("i2");
    time->advance(10s);
    release.set_request_id("release-2");
    CHECK(call("FleetService", "ReleaseInstance", release).status == 200);
    CHECK(repository.pool("p").value().value.findGrant("i2") == nullptr);
}

// Guards against a wave that continues after repeated failures.
TEST_CASE_FIXTURE(FleetFixture, "a wave halts at its failure limit and continues when resumed")
{
    createPool("p", 2);
    addInstances("p", 8);
    platform->setRebootFails("i0", true);
    platform->setRebootFails("i1", true);
    createWave("w", "p", 2);
    runUntil(1h, [&] { return wave("w").state == WaveState::Halted; });
    CHECK(wave("w").state == WaveState::Halted);
    CHECK(wave("w").reason == "halted after 2 failures");
    CHECK(wave("w").done == 0);
    CHECK(callWave("ResumeWave", "w").status == 200);
    runFor(60s);
    CHECK(wave("w").reason.find("2 granted, 0 failed") != std::string::npos);
    platform->restoreInstance("i0");
    time->advance(10s);
    v1::ReleaseInstanceRequest release;
    release.set_id("i0");
    CHECK(callNew("FleetService", "ReleaseInstance", release).status == 200);
    REQUIRE(runUntilEnd("w", 1h));
    CHECK(wave("w").done == 6);
}

// Guards against an abort that leaves instances drained or reboots further instances.
TEST_CASE_FIXTURE(FleetFixture, "an aborted wave returns drained instances to service")
{
    createPool("p", 3);
    addInstances("p", 6);
    createWave("w", "p");
    driver.step(clock.now());
    driver.step(clock.now());
    CHECK(wave("w").active.size() == 3);
    CHECK(callWave("AbortWave", "w").status == 200);
    REQUIRE(runUntilEnd("w", 300s));
    CHECK(wave("w").state == WaveState::Aborted);
    CHECK(wave("w").skipped.size() == 3);
    CHECK(platform->instancesInService().size() == 6);
}

// Guards against instances that stay drained while the table is unavailable and cannot record them.
TEST_CASE_FIXTURE(FleetFixture, "without the table, drained instances return to service")
{
    createPool("p", 3);
    addInstances("p", 6);
    createWave("w", "p");
    driver.step(clock.now());
    driver.step(clock.now());
    CHECK(platform->instancesInService().size() == 3);
    platform->setFaults({.table = {.down = true}});
    runFor(60s);
    CHECK(platform->instancesInService().size() == 6);
    platform->setFaults({});
    REQUIRE(runUntilEnd("w", 600s));
    CHECK(wave("w").done == 6);
    for (int i = 0; i < 6; ++i)
        CHECK(control.status("i" + std::to_string(i)).value().boots == 1);
}

// Guards against a grant that is released while the platform would still accept a late drain.
TEST_CASE_FIXTURE(FleetFixture, "a grant is kept until the undrain is acknowledged")
{
    createPool("p", 1);
    addInstances("p", 2);
    createWave("w", "p");
    const auto isVerifying = [&] {
        return repository.instance("i0").value().value.data().state == MaintenanceState::Verifying;
    };
    REQUIRE(runUntil(60s, isVerifying));
    platform->setFaults({.control = {.loseRequest = 1.0}});
    runFor(60s);
    CHECK(isVerifying());
    CHECK(repository.pool("p").value().value.findGrant("i0") != nullptr);
    platform->setFaults({});
    CHECK(runUntilEnd("w", 120s));
}

// Guards against a grant that is released because an old listing still shows the instance as live.
TEST_CASE_FIXTURE(FleetFixture, "a grant is kept until a listing after the reboot shows it live")
{
    createPool("p", 1);
    addInstances("p", 2);
    createWave("w", "p");
    driver.step(clock.now());
    platform::FaultPlan lag;
    lag.listLag = 1h;
    platform->setFaults(lag);
    runFor(60s);
    CHECK(repository.instance("i0").value().value.data().state == MaintenanceState::Verifying);
    CHECK(wave("w").done == 0);
    platform->setFaults({});
    CHECK(runUntilEnd("w", 120s));
}

// Guards against a reboot that interrupts a request which an entry instance sent before it received
// the drain.
TEST_CASE_FIXTURE(FleetFixture, "a drained instance is rebooted only after the longest request")
{
    WaveDriver defaultDriver{repository, list, control, {.clock = clock}};
    createPool("p", 1);
    addInstances("p", 1);
    v1::CreateWaveRequest request;
    request.set_id("w");
    request.set_pool("p");
    request.set_drain_deadline_ms(300'000);
    request.set_halt_after_failures(1);
    REQUIRE(callNew("WaveService", "CreateWave", request).status == 200);
    base::TimePoint drainedAt{};
    for (int i = 0; i < 400 && platform->actualInstanceStates().at("i0").rebootOrders == 0; ++i) {
        time->advance(std::chrono::milliseconds(250));
        defaultDriver.step(clock.now());
        if (drainedAt == base::TimePoint{}
            && platform->actualInstanceStates().at("i0").status.phase
                       != platform::InstancePhase::Up)
            drainedAt = clock.now();
    }
    CHECK(platform->actualInstanceStates().at("i0").rebootOrders == 1);
    CHECK(clock.now() - drainedAt >= std::chrono::seconds(28));
}

// Guards against write load from polling: a waiting wave must not write on every step.
TEST_CASE_FIXTURE(FleetFixture, "a wave that waits for its budget writes nothing")
{
    createPool("p", 1);
    addInstances("p", 5);
    platform->failInstance("i3");
    platform->failInstance("i4");
    time->advance(10s);
    createWave("w", "p");
    runFor(30s);
    CHECK(wave("w").reason.find("2 instances unavailable, the limit is 1") != std::string::npos);
    const std::uint64_t before = platform->counters().tableWrites;
    runFor(300s);
    CHECK(platform->counters().tableWrites == before);
    platform->restoreInstance("i3");
    platform->restoreInstance("i4");
    CHECK(runUntilEnd("w", 600s));
}

// Guards against a whole-fleet wave that exceeds the table's limits for rows and transactions.
TEST_CASE_FIXTURE(FleetFixture,
                  "a wave over 1200 instances fits the table and reports an expected end")
{
    createPool("big", 100);
    addInstances("big", 1200);
    createWave("w", "big");
    CHECK(table.get("wave/w").value()->value.size() < 1024);
    runUntil(600s, [&] { return wave("w").done >= 100; });
    v1::GetWaveRequest get;
    get.set_id("w");
    v1::Wave answer;
    REQUIRE(answer.ParseFromString(call("WaveService", "GetWave", get).body));
    CHECK(answer.expected_end_ms() > base::toMillis(clock.now()));
    CHECK(table.get("wave/w").value()->value.size() < 8 * 1024);
}

} // namespace chicorywick::fleet
