#include "quota_plan.h"

#include <chicorywick/base/rng.h>

#include <doctest/doctest.h>

#include <numeric>
#include <vector>

namespace chicorywick::entry {

namespace {

QuotaPosition position(int cell, int share, int running, int demand, int smallest = 0)
{
    return {.cell = cell,
            .share = share,
            .running = running,
            .need = {.demand = demand, .smallest = smallest}};
}

int sumOf(const std::map<int, int> &transfers)
{
    return std::accumulate(transfers.begin(), transfers.end(), 0,
                           [](int sum, const auto &amount) { return sum + amount.second; });
}

} // namespace

// Guards against tasks that wait in one cell while another one has room in its share.
TEST_CASE("a cell gives what it does not need to the cells that are short")
{
    const std::vector<QuotaPosition> others{position(1, 250, 0, 400), position(2, 250, 0, 260),
                                            position(3, 250, 0, 10)};
    const auto transfers = planShareTransfers(position(0, 250, 20, 50), others, 0);
    CHECK(transfers == std::map<int, int>{{1, 150}, {2, 10}});
    CHECK(planShareTransfers(position(0, 250, 20, 50), {}, 0).empty());
}

// Guards against a cell that gives the share of runs that exist: the limit would be exceeded.
TEST_CASE("runs keep their share")
{
    const std::vector<QuotaPosition> others{position(1, 100, 0, 5'000)};
    CHECK(sumOf(planShareTransfers(position(0, 900, 880, 900), others, 0)) <= 20);
    CHECK(planShareTransfers(position(0, 900, 950, 2'000), others, 0).empty());
}

// Guards against an account whose tasks in one cell wait for all of its tasks in another one.
TEST_CASE("if all cells are short, their shares approach the proportion of demand")
{
    const std::vector<QuotaPosition> others{position(1, 200, 0, 3'000)};
    CHECK(planShareTransfers(position(0, 800, 100, 1'000), others, 0)
          == std::map<int, int>{{1, 550}});
    // A small difference is not worth a write.
    const std::vector<QuotaPosition> even{position(1, 490, 0, 1'000)};
    CHECK(planShareTransfers(position(0, 510, 0, 1'000), even, 0).empty());
}

// Guards against an account of which no task can start although its limit has room for one: each
// cell has a part that is too small.
TEST_CASE("a limit that is too small for a task in each cell goes to one cell after another")
{
    const QuotaPosition first = position(0, 500, 0, 800, 800);
    const QuotaPosition second = position(1, 500, 0, 800, 800);
    CHECK(planShareTransfers(first, std::vector{second}, 1) == std::map<int, int>{{1, 300}});
    CHECK(planShareTransfers(second, std::vector{first}, 1).empty());
    CHECK(planShareTransfers(second, std::vector{first}, 2) == std::map<int, int>{{0, 300}});
}

// Guards against shares that grow or become negative by any sequence of transfers.
TEST_CASE("transfers neither create nor destroy share, and cells whose demand persists are served")
{
    base::Rng rng(11);
    for (int round = 0; round < 200; ++round) {
        std::vector<QuotaPosition> cells;
        const int count = 2 + static_cast<int>(rng.below(4));
        for (int cell = 0; cell < count; ++cell)
            cells.push_back(position(cell, 1'000 / count, 0, static_cast<int>(rng.below(900))));
        const int total = count * (1'000 / count);
        for (int step = 0; step < 40; ++step) {
            QuotaPosition &sender = cells[rng.below(cells.size())];
            sender.running = std::min(sender.share, sender.need.demand);
            std::vector<QuotaPosition> others;
            for (const QuotaPosition &cell : cells)
                if (cell.cell != sender.cell)
                    others.push_back(cell);
            for (const auto &[cell, amount] : planShareTransfers(sender, others, step)) {
                REQUIRE(amount > 0);
                cells[static_cast<std::size_t>(cell)].share += amount;
                sender.share -= amount;
            }
            REQUIRE(sender.share >= sender.running);
        }
        int shares = 0;
        int demand = 0;
        int served = 0;
        for (const QuotaPosition &cell : cells) {
            shares += cell.share;
            demand += cell.need.demand;
            served += std::min(cell.share, cell.need.demand);
        }
        CHECK(shares == total);
        if (demand < total - 50)
            CHECK(served >= demand - 5 * count);
    }
}

} // namespace chicorywick::entry
