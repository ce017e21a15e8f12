#include <chicorywick/fleet/fleet_repository.h>

#include <doctest/doctest.h>

namespace chicorywick::fleet {

namespace {

/// @brief An instance whose names all have the longest permitted length.
PlacedInstance longestNames(int number)
{
    std::string id = std::to_string(number);
    id.insert(0, kMaxNameLength - id.size(), 'i');
    return {id, std::string(kMaxDomainLength, 'r'), std::string(kMaxDomainLength, 'z')};
}

} // namespace

// Guards against a pool row that exceeds the table's row size while many instances are unavailable.
TEST_CASE("a pool row with all grants and unhealthy members fits the table")
{
    v1::Budget budget;
    budget.set_max_unavailable(kMaxUnavailable);
    const std::string longest(kMaxNameLength, 'p');
    const Pool pool =
            Pool::create(longest, AvailabilityBudget::fromProto(budget).value(), false, 1).value();
    std::vector<Grant> grants;
    for (int i = 0; i < static_cast<int>(kMaxUnavailable); ++i)
        grants.push_back({.instance = longestNames(i),
                          .wave = longest,
                          .fence = UINT64_MAX,
                          .grantedAtMs = INT64_MAX});
    PoolHealth health{.isKnown = true, .unavailable = {}, .observedAt = {}};
    for (int i = 0; i < 2000; ++i)
        health.unavailable.push_back(longestNames(10'000 + i));
    const Pool full = pool.withGrants(grants).value().withHealth(health).value();
    CHECK(full.data().unhealthy.size() == kMaxRecordedUnhealthy);
    CHECK(full.toRow().size() < platform::kMaxRowBytes);
    CHECK(Pool::fromRow(full.toRow()).value() == full);
}

// Guards against a wave over the whole target fleet that is too large for one transaction.
TEST_CASE("the largest wave fits one transaction with room for the operation row")
{
    std::vector<PlacedInstance> instances;
    for (int i = 0; i < static_cast<int>(kMaxPlanEntries); ++i)
        instances.push_back(longestNames(i));
    const WavePlan plan = WavePlan::create(instances).value();
    WaveData requested;
    requested.id = std::string(kMaxNameLength, 'w');
    requested.total = static_cast<std::uint32_t>(kMaxPlanEntries);
    const MaintenanceWave wave = MaintenanceWave::create(requested).value();
    FleetChange change;
    change.add(wave, plan);
    const platform::Transaction &transaction = change.transaction();
    CHECK(transaction.puts.size() + transaction.conditions.size() + 2 == 54);
    for (const platform::Put &put : transaction.puts)
        CHECK(put.value.size() <= 48UL * 1024);
    CHECK(WavePlan::fromRows(plan.toRows()).value() == plan);
    CHECK(wave.toRow().size() < 2048);
    CHECK_FALSE(WavePlan::create(std::vector<PlacedInstance>(kMaxPlanEntries + 1)).has_value());
}

} // namespace chicorywick::fleet
