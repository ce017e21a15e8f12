#include <chicorywick/base/rng.h>
#include <chicorywick/fleet/next_disruptions.h>

#include <doctest/doctest.h>

#include <set>

namespace chicorywick::fleet {

namespace {

AvailabilityBudget makeBudget(std::uint32_t maxUnavailable, std::uint32_t maxRacks = 0,
                              std::uint32_t maxZones = 0)
{
    v1::Budget proto;
    proto.set_max_unavailable(maxUnavailable);
    proto.set_max_disrupted_racks(maxRacks);
    proto.set_max_disrupted_zones(maxZones);
    return AvailabilityBudget::fromProto(proto).value();
}

std::vector<PlanEntry> makeEntries(std::uint32_t count, std::uint32_t perRack)
{
    std::vector<PlanEntry> entries;
    for (std::uint32_t i = 0; i < count; ++i)
        entries.push_back({i,
                           {"i" + std::to_string(i), "r" + std::to_string(i / perRack),
                            "z" + std::to_string(i / perRack / 2)}});
    return entries;
}

} // namespace

// Guards against a wave that starts a second rack while the first is unfinished.
TEST_CASE("one rack is finished before the next is started")
{
    DisruptionView view{.candidates = makeEntries(12, 4),
                        .started = {},
                        .budget = makeBudget(2),
                        .memberCount = 12,
                        .unavailable = {}};
    std::vector<std::string> racks;
    while (!view.candidates.empty()) {
        const auto chosen = nextDisruptions(view, 10);
        REQUIRE(chosen.size() == 2);
        for (const PlanEntry &entry : chosen) {
            if (racks.empty() || racks.back() != entry.instance.rack)
                racks.push_back(entry.instance.rack);
            std::erase(view.candidates, entry);
            view.started.push_back(entry);
        }
    }
    CHECK(racks.size() == 3);
}

// Guards against unused budget when the first candidate in order does not fit.
TEST_CASE("a candidate outside the permitted racks is skipped in favor of one inside")
{
    const DisruptionView view{.candidates = makeEntries(12, 4),
                              .started = {},
                              .budget = makeBudget(4, 1),
                              .memberCount = 12,
                              .unavailable = {{"i9", "r2", "z1"}}};
    const auto chosen = nextDisruptions(view, 10);
    REQUIRE(chosen.size() == 4);
    for (const PlanEntry &entry : chosen)
        CHECK(entry.instance.rack == "r2");
}

// Guards against selections that exceed the budget or leave part of it unused, over random states.
TEST_CASE("the selection fits the budget and no further candidate would fit")
{
    base::Rng rng(11);
    for (int run = 0; run < 500; ++run) {
        std::vector<PlanEntry> entries = makeEntries(20, 1 + rng.below(5));
        DisruptionView view{.candidates = {},
                            .started = {},
                            .budget = makeBudget(rng.below(8), rng.below(4), rng.below(3)),
                            .memberCount = 20,
                            .unavailable = {}};
        for (const PlanEntry &entry : entries) {
            if (rng.chance(0.1))
                view.unavailable.push_back(entry.instance);
            if (rng.chance(0.5))
                view.candidates.push_back(entry);
            else if (rng.chance(0.5))
                view.started.push_back(entry);
        }
        const auto chosen = nextDisruptions(view, entries.size());
        std::set<PlacedInstance> all(view.unavailable.begin(), view.unavailable.end());
        for (const PlanEntry &entry : chosen)
            all.insert(entry.instance);
        const std::vector<PlacedInstance> after(all.begin(), all.end());
        if (!chosen.empty())
            CHECK(view.budget.violation(after, view.memberCount).empty());
        for (const PlanEntry &entry : view.candidates) {
            std::vector<PlacedInstance> more = after;
            more.push_back(entry.instance);
            if (!all.contains(entry.instance))
                CHECK_FALSE(view.budget.violation(more, view.memberCount).empty());
        }
    }
}

} // namespace chicorywick::fleet
