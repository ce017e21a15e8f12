#include "machine_lending.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

CellNeeds needsOf(int cell, std::map<std::string, scheduler::PoolShortage> shortages, int lendable)
{
    return {.cell = cell, .machines = {.shortages = std::move(shortages), .lendable = lendable}};
}

} // namespace

// Guards against cells that each cover the whole shortage of another one, and against a cell that
// counts machines twice which it has lent a moment ago.
TEST_CASE("cells divide the shortage of another cell by the machines that they can lend")
{
    const std::vector<CellNeeds> others{
            needsOf(1, {{"p", {.total = 10, .urgent = 4, .blocked = 2}}}, 0), needsOf(2, {}, 6)};
    CHECK(lendingDemands(2, others, {})
          == std::vector<scheduler::PoolDemand>{
                  {.service = "p", .desired = 3, .urgent = 1, .blocked = 1, .cell = 1}});
    CHECK(lendingDemands(2, others, {{{1, "p"}, 2}})
          == std::vector<scheduler::PoolDemand>{{.service = "p", .desired = 1, .cell = 1}});
    CHECK(lendingDemands(0, others, {}).empty());
}

// Guards against lasting tasks that no cell empties a machine for.
TEST_CASE("cells that can lend nothing divide the shortage evenly")
{
    const std::vector<CellNeeds> others{
            needsOf(0, {{"p", {.total = 4, .urgent = 3, .blocked = 3}}}, 0), needsOf(2, {}, 0)};
    CHECK(lendingDemands(0, others, {})
          == std::vector<scheduler::PoolDemand>{
                  {.service = "p", .desired = 2, .urgent = 2, .blocked = 2, .cell = 0}});
}

} // namespace chicorywick::entry
