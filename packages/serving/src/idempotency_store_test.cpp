#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/serving/idempotency_store.h>

#include <doctest/doctest.h>

using namespace chicorywick;
using namespace chicorywick::serving;

namespace {

struct StoreFixture
{
    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<platform::MemoryPlatform> memory = std::make_shared<platform::MemoryPlatform>(
            platform::MemoryPlatformOptions{.clock = clock});
    platform::MemoryAccess access{memory, "a"};
    IdempotencyStore store{platform::Table(access), platform::ObjectStore(access), clock,
                           IdempotencyStoreOptions{.background = false}};
    ClaimKey key{"c", "k", "digest"};

    void setTable(const platform::ServiceFaults &faults)
    {
        platform::FaultPlan plan;
        plan.table = faults;
        memory->setFaults(plan);
    }

    Claim writeClaim()
    {
        const PendingClaim pending = store.beginClaim(key, {}).value();
        store.flush();
        return std::get<Claim>(store.awaitClaim(pending).value());
    }
};

} // namespace

// A claim commits after its request has given up and was rejected. Unless the store marks the claim
// as abandoned, the key stays unusable for a day.
TEST_CASE("a key can be claimed again if its claim commits after the request gave up")
{
    StoreFixture fixture;
    const PendingClaim pending = fixture.store.beginClaim(fixture.key, {}).value();
    fixture.setTable({.lateCommit = 1});
    fixture.store.flush();
    CHECK_FALSE(fixture.store.awaitClaim(pending));
    fixture.setTable({});
    for (int i = 0; i < 20; ++i) {
        fixture.time->advance(std::chrono::seconds(1));
        fixture.store.flush();
    }
    const auto view = fixture.store.lookUp(fixture.key);
    REQUIRE(view);
    const auto *free = std::get_if<ClaimFree>(&view.value());
    REQUIRE(free != nullptr);
    const PendingClaim again = fixture.store.beginClaim(fixture.key, *free).value();
    fixture.store.flush();
    CHECK(std::holds_alternative<Claim>(fixture.store.awaitClaim(again).value()));
}

// Guards against repeats that keep waiting for a claim that its holder can no longer complete, and
// against reuse of a key for a different request.
TEST_CASE("a claim whose holder has expired is distinguished from one in flight")
{
    StoreFixture fixture;
    fixture.writeClaim();
    CHECK(fixture.store.lookUp(fixture.key).value() == ClaimView(ClaimHeld{false}));
    fixture.time->advance(std::chrono::seconds(31));
    CHECK(fixture.store.lookUp(fixture.key).value() == ClaimView(ClaimHeld{true}));
    ClaimKey other = fixture.key;
    other.digest = "another";
    CHECK(fixture.store.lookUp(other).value() == ClaimView(ClaimMismatch{}));
}

// Guards against running a completed request again because its stored body cannot be read.
TEST_CASE("a large body is in the object store, and a failed read is not reported as not run")
{
    StoreFixture fixture;
    const Claim claim = fixture.writeClaim();
    const RecordedResponse response{200, {{"X-A", "1"}}, std::string(100'000, 'x')};
    REQUIRE(fixture.store.complete(claim, response));
    fixture.store.flush();
    CHECK((fixture.store.lookUp(fixture.key).value() == ClaimView(response)));
    platform::FaultPlan faults;
    faults.objects.down = true;
    fixture.memory->setFaults(faults);
    CHECK((fixture.store.lookUp(fixture.key).value() == ClaimView(ClaimUnreadable{})));
}

// Guards against a table that grows without limit, and against deleting claims that repeats need.
TEST_CASE("claims past their retention are removed, younger ones are kept")
{
    StoreFixture fixture;
    fixture.writeClaim();
    REQUIRE(fixture.store.removeExpired("", 100));
    CHECK(fixture.store.lookUp(fixture.key).value() == ClaimView(ClaimHeld{false}));
    fixture.time->advance(std::chrono::hours(25));
    REQUIRE(fixture.store.removeExpired("", 100));
    CHECK(fixture.store.lookUp(fixture.key).value() == ClaimView(ClaimFree{0}));
}
