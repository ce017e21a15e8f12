#include <chicorywick/base/rng.h>
#include <chicorywick/fleet/lending.h>
#include <chicorywick/fleet/queue_load.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace chicorywick::fleet {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kMinMoveInterval = 60s;
constexpr base::Duration kMoveTime = 5s;

AvailabilityBudget budgetOf(std::uint32_t maxUnavailable)
{
    v1::Budget budget;
    budget.set_max_unavailable(maxUnavailable);
    return AvailabilityBudget::fromProto(budget).value();
}

LendingPool poolOf(const std::string &name, std::uint32_t members, std::uint32_t needed)
{
    LendingPool pool;
    pool.name = name;
    pool.isSpare = name == "spare";
    pool.budget = budgetOf(2);
    pool.memberCount = members;
    pool.needed = needed;
    pool.recentPeak = needed;
    return pool;
}

LendingView viewOf(std::vector<LendingPool> pools)
{
    LendingView view;
    view.pools = std::move(pools);
    view.now = base::TimePoint(1h);
    view.minMoveInterval = kMinMoveInterval;
    return view;
}

/// @brief A fleet with random demand and failures that carries out the lending decisions.
class RandomFleet
{
public:
    explicit RandomFleet(std::uint64_t seed)
        : rng_(seed)
    {
        constexpr int kInstances = 30;
        for (int i = 0; i < kInstances; ++i) {
            const std::string id = "i" + std::to_string(i);
            instances_.push_back({{id, "r" + std::to_string(i / 4), "z" + std::to_string(i % 3)},
                                  i % 3 == 0 ? "spare" : "p" + std::to_string(i % 3)});
        }
    }

    void step()
    {
        now_ += base::Duration(1s) * static_cast<int>(1 + rng_.below(20));
        for (Member &member : instances_) {
            if (member.isDown ? rng_.chance(0.3) : rng_.chance(0.02))
                member.isDown = !member.isDown;
        }
        const LendingView before = view();
        const std::vector<InstanceMove> moves = decideLending(before, 4);
        std::set<std::string> moved;
        for (const InstanceMove &move : moves) {
            CHECK(moved.insert(move.instance).second);
            apply(move, before);
        }
    }

    std::size_t moves() const { return moves_; }

private:
    struct Member
    {
        PlacedInstance place;
        std::string pool;
        base::TimePoint movedAt{};
        bool isDown = false;
    };

    bool isInFlight(const Member &member) const { return now_ - member.movedAt < kMoveTime; }

    LendingPool lendingPool(const std::string &name)
    {
        LendingPool pool = poolOf(name, 0, static_cast<std::uint32_t>(rng_.below(14)));
        pool.recentPeak = pool.needed + static_cast<std::uint32_t>(rng_.below(2));
        for (const Member &member : instances_) {
            if (member.pool != name)
                continue;
            if (isInFlight(member)) {
                ++pool.arriving;
                continue;
            }
            ++pool.memberCount;
            if (member.isDown)
                pool.unavailable.push_back(member.place);
        }
        return pool;
    }

    LendingView view()
    {
        LendingView view = viewOf({lendingPool("spare"), lendingPool("p1"), lendingPool("p2")});
        view.now = now_;
        for (const Member &member : instances_) {
            if (member.isDown || isInFlight(member))
                continue;
            const LendingMember shown{member.place, member.pool, member.movedAt};
            if (member.pool == "spare")
                view.lendable.push_back(shown);
            else if (member.movedAt != base::TimePoint{})
                view.lent.push_back(shown);
        }
        return view;
    }

    void apply(const InstanceMove &move, const LendingView &before)
    {
        const auto found =
                std::find_if(instances_.begin(), instances_.end(), [&](const Member &member) {
                    return member.place.id == move.instance;
                });
        REQUIRE(found != instances_.end());
        CHECK(found->pool == move.from);
        CHECK(move.from != move.to);
        CHECK_FALSE(found->isDown);
        CHECK(now_ - found->movedAt >= kMinMoveInterval);
        found->pool = move.to;
        found->movedAt = now_;
        ++moves_;
        for (const LendingPool &pool : before.pools) {
            if (pool.name == move.from)
                CHECK(pool.budget.violation(pool.unavailable, arrived(pool.name)).empty());
        }
    }

    std::uint32_t arrived(const std::string &pool) const
    {
        return static_cast<std::uint32_t>(
                std::count_if(instances_.begin(), instances_.end(), [&](const Member &member) {
                    return member.pool == pool && !isInFlight(member);
                }));
    }

    base::Rng rng_;
    base::TimePoint now_{24h};
    std::vector<Member> instances_;
    std::size_t moves_ = 0;
};

} // namespace

// Guards against moves that exceed a budget, move one instance twice in a step, or move it back and
// forth.
TEST_CASE("random lending keeps budgets, one pool per instance and the minimum move interval")
{
    std::size_t moves = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomFleet fleet(seed);
        for (int i = 0; i < 100; ++i)
            fleet.step();
        moves += fleet.moves();
    }
    CHECK(moves > 1000);
}

// Guards against moves for short peaks, which end before the instance arrives.
TEST_CASE("a pool needs more than it has only if its queue waits too long")
{
    QueueLoad load{.offeredSlots = 90,
                   .wait = 1s,
                   .slotsPerInstance = 8,
                   .available = 10,
                   .tolerance = 2s};
    CHECK(neededInstances(load) == 10);
    load.wait = 3s;
    CHECK(neededInstances(load) == 12);
    load.offeredSlots = 3;
    CHECK(neededInstances(load) == 1);
}

// Guards against lending to the first pool in the list instead of the one with the largest
// shortage.
TEST_CASE("the largest shortage is covered first, and the spare pool keeps what it needs")
{
    LendingView view = viewOf({poolOf("spare", 3, 1), poolOf("a", 4, 5), poolOf("b", 4, 8)});
    for (const char *id : {"s0", "s1", "s2"})
        view.lendable.push_back({{id, "r", "z"}, "spare", {}});
    CHECK(decideLending(view, 8)
          == std::vector<InstanceMove>{{"s0", "spare", "b"}, {"s1", "spare", "b"}});
}

// Guards against lending a second instance for the same shortage while the first is still in
// flight.
TEST_CASE("an instance in flight covers a shortage of its new pool but is not available there")
{
    LendingPool borrower = poolOf("a", 4, 5);
    borrower.arriving = 1;
    LendingView view = viewOf({poolOf("spare", 3, 1), borrower});
    view.lendable.push_back({{"s0", "r", "z"}, "spare", {}});
    CHECK(decideLending(view, 8).empty());
    CHECK(borrower.available() == 4);
}

// Guards against a return right after the borrower's demand drops, which a new peak would revert.
TEST_CASE("a loan returns only after the demand has stayed low")
{
    LendingPool borrower = poolOf("a", 5, 2);
    borrower.recentPeak = 5;
    LendingView view = viewOf({poolOf("spare", 3, 1), borrower});
    view.lent.push_back({{"s0", "r", "z"}, "a", {}});
    CHECK(decideLending(view, 8).empty());
    view.pools[1].recentPeak = 4;
    CHECK(decideLending(view, 8) == std::vector<InstanceMove>{{"s0", "a", "spare"}});
    view.lent[0].movedAt = view.now - kMinMoveInterval + 1s;
    CHECK(decideLending(view, 8).empty());
}

// Guards against a move that leaves a percentage budget exceeded, because the limit shrinks with
// the pool.
TEST_CASE("a pool with an exhausted budget lends no member")
{
    v1::Budget percent;
    percent.set_max_unavailable_percent(25);
    LendingPool spare = poolOf("spare", 4, 0);
    spare.budget = AvailabilityBudget::fromProto(percent).value();
    spare.unavailable = {{"down", "r", "z"}};
    LendingView view = viewOf({spare, poolOf("a", 1, 3)});
    view.lendable.push_back({{"s0", "r", "z"}, "spare", {}});
    CHECK(decideLending(view, 8).empty());
}

} // namespace chicorywick::fleet
