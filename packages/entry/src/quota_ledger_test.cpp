#include "quota_ledger.h"
#include "watched_table.h"

#include <chicorywick/base/rng.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;
using Fate = WatchedTable::Fate;

/// @brief The ledger of one leader, with its lease.
struct Leader
{
    Leader(boost::asio::io_context &loop, WatchedTable &table, const CellLayout &layout, int cell,
           std::int64_t term)
        : ledger(std::make_shared<QuotaLedger>(
                loop, table, Cell{.layout = layout, .number = cell}, term,
                QuotaLedgerHooks{.clock = [] { return scheduler::Millis{0}; },
                                 .mayWrite = [this] { return mayWrite; },
                                 .onChanged = [] {}}))
    {
        ledger->start();
    }
    ~Leader() { ledger->stop(); }
    Leader(const Leader &) = delete;
    Leader &operator=(const Leader &) = delete;

    /// Share that the leader uses; none once its lease has ended.
    int share() const { return mayWrite ? ledger->usableShare("a") : 0; }

    bool mayWrite = true;
    std::shared_ptr<QuotaLedger> ledger;
};

struct Fixture
{
    std::unique_ptr<Leader> lead(int cell)
    {
        return std::make_unique<Leader>(loop, table, layout, cell, ++terms);
    }
    void run(std::chrono::milliseconds duration = 120ms)
    {
        loop.restart();
        loop.run_for(duration);
    }

    CellLayout layout{2, {{"r0", 0}, {"r1", 1}}};
    boost::asio::io_context loop;
    WatchedTable table{loop};
    std::int64_t terms = 100;
};

} // namespace

// Guards against a transfer that one of the cells does not learn of.
TEST_CASE("a transfer lowers the share of its sender and raises that of the other cell")
{
    Fixture fixture;
    const auto first = fixture.lead(0);
    const auto second = fixture.lead(1);
    fixture.run();
    CHECK(first->share() == 500);
    first->ledger->transfer({{"a", {{1, 200}}}});
    CHECK(first->share() == 300);
    fixture.run();
    CHECK(first->share() == 300);
    CHECK(second->share() == 700);
    CHECK(first->ledger->usableShare("b") == 500);
}

// Guards against a leader that uses a share that its predecessor has given away, in a write that is
// carried out after the change of leader.
TEST_CASE("a late transfer of a former leader has no effect once its successor has loaded")
{
    Fixture fixture;
    const auto other = fixture.lead(1);
    auto former = fixture.lead(0);
    fixture.run();
    fixture.table.fate = Fate::Late;
    former->ledger->transfer({{"a", {{1, 200}}}});
    fixture.run(50ms);
    former->mayWrite = false;
    fixture.table.fate = Fate::Answered;
    const auto successor = fixture.lead(0);
    fixture.run();
    REQUIRE(successor->share() == 500);
    fixture.table.carryOutLate();
    fixture.run();
    CHECK(successor->share() + other->share() == 1'000);
}

// Guards against a sender that uses its former share because the answer to its write was lost.
TEST_CASE("a share whose transfer has no answer is not used")
{
    Fixture fixture;
    const auto first = fixture.lead(0);
    const auto second = fixture.lead(1);
    fixture.run();
    SUBCASE("and the transfer was stored")
    {
        fixture.table.fate = Fate::AnswerLost;
    }
    SUBCASE("and the transfer is stored later")
    {
        fixture.table.fate = Fate::Late;
    }
    SUBCASE("and the transfer was rejected")
    {
        fixture.table.fate = Fate::Rejected;
    }
    first->ledger->transfer({{"a", {{1, 200}}}});
    CHECK(first->share() == 300);
    fixture.run();
    CHECK(first->share() <= 300);
    CHECK(first->share() + second->share() <= 1'000);
    fixture.table.fate = Fate::Answered;
    fixture.table.carryOutLate();
    fixture.run(400ms);
    CHECK(first->share() == 300);
    CHECK(second->share() == 700);
}

// Guards against a new leader that uses a share before it knows what its predecessor has given.
TEST_CASE("a leader has no share until the stored ones are known")
{
    Fixture fixture;
    fixture.table.fate = Fate::Rejected;
    const auto first = fixture.lead(0);
    fixture.run();
    CHECK(first->share() == 0);
    fixture.table.fate = Fate::Answered;
    fixture.run(300ms);
    CHECK(first->share() == 500);
}

// Guards against shares that add up to more than the limit, whatever happens to writes and leaders.
TEST_CASE("usable shares never exceed the whole, and all of it is used in the end")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        base::Rng rng(seed);
        Fixture fixture;
        std::vector<std::unique_ptr<Leader>> leaders;
        std::vector<std::unique_ptr<Leader>> former; // their writes may still arrive
        for (int cell = 0; cell < 2; ++cell)
            leaders.push_back(fixture.lead(cell));
        fixture.run();
        const auto checkSum = [&] { REQUIRE(leaders[0]->share() + leaders[1]->share() <= 1'000); };
        for (int step = 0; step < 25; ++step) {
            fixture.table.fate = static_cast<Fate>(rng.below(4));
            const auto cell = static_cast<std::size_t>(rng.below(2));
            const int share = leaders[cell]->share();
            if (rng.chance(0.2)) {
                leaders[cell]->mayWrite = false;
                former.push_back(std::move(leaders[cell]));
                leaders[cell] = fixture.lead(static_cast<int>(cell));
            } else if (share > 0) {
                const int amount =
                        1 + static_cast<int>(rng.below(static_cast<std::uint64_t>(share)));
                leaders[cell]->ledger->transfer({{"a", {{cell == 0 ? 1 : 0, amount}}}});
            }
            checkSum();
            fixture.run(std::chrono::milliseconds(rng.below(40)));
            checkSum();
            if (rng.chance(0.3))
                fixture.table.carryOutLate();
        }
        fixture.table.fate = Fate::Answered;
        fixture.table.carryOutLate();
        fixture.run(500ms);
        CHECK(leaders[0]->share() + leaders[1]->share() == 1'000);
    }
}

} // namespace chicorywick::entry
