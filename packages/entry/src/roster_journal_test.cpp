#include "fake_table.h"
#include "roster_journal.h"
#include "silent_workers.h"

#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/records.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

struct Fixture
{
    FakeTable table;
    SilentWorkers workers;
    scheduler::Scheduler scheduler{workers,
                                   {.clock = [] { return scheduler::Now{.steady = 1'000}; },
                                    .maySendOrders = [] { return true; },
                                    .onFenced = [] {},
                                    .onProgress = {}},
                                   {}};
    std::shared_ptr<RosterJournal> journal =
            std::make_shared<RosterJournal>(table, CellRows(0, 1), scheduler, [] { return true; });

    void add(const std::string &id)
    {
        scheduler.upsertWorker(
                {.id = id, .service = "s", .address = "10.0.0.1:1", .machine = "m-" + id});
    }

    // Number of workers that the next leader would load.
    std::size_t storedWorkers() const
    {
        std::size_t count = 0;
        for (const auto &[key, row] : table.rows)
            count += decodeRoster(row.value).value().size();
        return count;
    }
};

} // namespace

// Guards against a write of the whole roster for each worker that joins or leaves.
TEST_CASE("a change of the roster writes only the affected row")
{
    Fixture fixture;
    for (int i = 0; i < 500; ++i)
        fixture.add("w" + std::to_string(i));
    fixture.journal->update();
    CHECK(fixture.table.lastTransaction.writes.size() == layout::kRosterRows);
    CHECK(fixture.storedWorkers() == 500);
    fixture.add("w500");
    fixture.journal->update();
    CHECK(fixture.table.lastTransaction.writes.size() == 1);
    CHECK(fixture.storedWorkers() == 501);
}

// Guards against a store call on every tick while nothing changes.
TEST_CASE("an unchanged roster is not written again")
{
    Fixture fixture;
    fixture.add("w");
    fixture.journal->update();
    const int calls = fixture.table.calls;
    fixture.add("w");
    fixture.journal->update();
    CHECK(fixture.table.calls == calls);
}

// Guards against a roster that is never stored after a lost answer, so that its workers stay
// unused.
TEST_CASE("a write with a lost answer is detected and repeated")
{
    Fixture fixture;
    fixture.table.failures = {{base::Code::PlatformUnknownOutcome, true}};
    fixture.add("w");
    for (int i = 0; i < 3; ++i)
        fixture.journal->update();
    CHECK(fixture.storedWorkers() == 1);
    const int calls = fixture.table.calls;
    fixture.journal->update();
    CHECK(fixture.table.calls == calls);
}

// Guards against a new leader that misses workers of the previous one.
TEST_CASE("the next leader loads the roster from all rows")
{
    Fixture fixture;
    for (int i = 0; i < 100; ++i)
        fixture.add("w" + std::to_string(i));
    fixture.journal->update();
    Fixture next;
    next.table.rows = fixture.table.rows;
    for (const auto &[key, row] : next.table.rows)
        next.journal->applyStored(row);
    CHECK(next.journal->loaded().size() == 100);
}

} // namespace chicorywick::entry
