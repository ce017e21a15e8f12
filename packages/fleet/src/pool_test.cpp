#include <chicorywick/fleet/pool.h>

#include <doctest/doctest.h>

namespace chicorywick::fleet {

using namespace std::chrono_literals;

namespace {

Pool makePool(std::uint32_t maxUnavailable, int members)
{
    v1::Budget budget;
    budget.set_max_unavailable(maxUnavailable);
    Pool pool = Pool::create("p", AvailabilityBudget::fromProto(budget).value(), false, 0).value();
    for (int i = 0; i < members; ++i)
        pool = pool.withMember();
    return pool;
}

Grant grantOf(const std::string &id)
{
    return {.instance = {id, "r0", "z0"}, .wave = "w", .fence = 2, .grantedAtMs = 1};
}

PoolHealth healthOf(std::vector<PlacedInstance> unavailable, base::TimePoint observedAt)
{
    return {.isKnown = true, .unavailable = std::move(unavailable), .observedAt = observedAt};
}

} // namespace

// Guards against grants that exceed the budget. The pool must check them even if the selection is
// wrong.
TEST_CASE("a pool refuses grants that exceed its budget together with unhealthy members")
{
    const base::TimePoint now(10s);
    const Pool pool = makePool(2, 5).withHealth(healthOf({{"i4", "r1", "z0"}}, now)).value();
    CHECK(pool.allowedDisruptions() == 1);
    const std::vector<Grant> two = {grantOf("i0"), grantOf("i1")};
    CHECK(pool.withGrants(two).error().code == base::Code::BudgetExhausted);
    const std::vector<Grant> one = {grantOf("i0")};
    const Pool granted = pool.withGrants(one).value();
    CHECK(granted.allowedDisruptions() == 0);
    CHECK(granted.withGrants(one).error().code == base::Code::InstanceBusy);
    CHECK(granted.withoutGrant("i1").error().code == base::Code::StaleGrant);
    CHECK(granted.withoutGrant("i0").value() == pool);
}

// Guards against a decision based on a listing older than the one recorded in the pool row.
TEST_CASE("a pool refuses an observation older than the recorded one")
{
    const Pool pool = makePool(1, 2).withHealth(healthOf({}, base::TimePoint(10s))).value();
    CHECK_FALSE(pool.withHealth(healthOf({}, base::TimePoint(9s))).has_value());
    PoolHealth unknown = healthOf({}, base::TimePoint(20s));
    unknown.isKnown = false;
    CHECK_FALSE(pool.withHealth(unknown).has_value());
}

// Guards against a percentage that is rounded up and permits one instance too many.
TEST_CASE("a percentage is rounded down and follows the member count")
{
    v1::Budget budget;
    budget.set_max_unavailable_percent(10);
    const AvailabilityBudget parsed = AvailabilityBudget::fromProto(budget).value();
    CHECK(parsed.limit(9) == 0);
    CHECK(parsed.limit(29) == 2);
    CHECK(parsed.limit(7400) == kMaxUnavailable);
    budget.set_max_unavailable_percent(101);
    CHECK_FALSE(AvailabilityBudget::fromProto(budget).has_value());
}

} // namespace chicorywick::fleet
