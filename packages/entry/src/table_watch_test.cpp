#include "fake_table.h"
#include "table_watch.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

const std::string kTable = "t";

struct Fixture
{
    boost::asio::io_context loop;
    FakeTable table;
    std::vector<std::string> rows;
    int historyLosses = 0;
    std::shared_ptr<TableWatch> watch = std::make_shared<TableWatch>(
            loop, table, kTable,
            TableWatchHooks{.clock = [this] { return now(); },
                            .onRows =
                                    [this](const RowPage &page) {
                                        for (const Row &row : page.rows)
                                            rows.push_back(row.key.key);
                                    },
                            .onHistoryLost = [this] { ++historyLosses; }});

    ~Fixture() { watch->stop(); }

    scheduler::Millis now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                .count();
    }

    void run(std::chrono::milliseconds duration)
    {
        loop.restart();
        loop.run_for(duration);
    }

    void store(const std::string &key)
    {
        table.transact({.writes = {{.key = {.table = kTable, .key = key}, .value = "v"}}}, 1ms,
                       [](const auto &) {});
    }

    void answer(base::Result<RowPage> page)
    {
        const auto done = table.watches.extract(kTable);
        done.mapped()(std::move(page));
    }

    scheduler::Millis age() const { return now() - watch->view().knownUntil(); }
};

} // namespace

// Guards against rows that stay hidden until a silent connection has timed out.
TEST_CASE("a watch without an answer is repeated at once on another connection")
{
    Fixture fixture;
    fixture.watch->resume(0);
    fixture.store("a");
    fixture.run(800ms);
    CHECK(fixture.rows == std::vector<std::string>{"a"});
    CHECK(fixture.age() < 800);
}

// Guards against a view that counts as current because an old answer was read just now.
TEST_CASE("the rows of an answer are known up to the time of its request")
{
    Fixture fixture;
    const scheduler::Millis requestedAt = fixture.now();
    fixture.watch->resume(0);
    fixture.run(300ms);
    fixture.answer(RowPage{.version = 1});
    CHECK(fixture.watch->view().knownUntil() - requestedAt < 100);
}

// Guards against a view that stays old while the store loses half of its answers.
TEST_CASE("a failure does not postpone the repeat that is due")
{
    Fixture fixture;
    fixture.table.isSilent = true;
    fixture.watch->resume(0);
    fixture.run(600ms);
    fixture.table.isSilent = false;
    fixture.answer(base::makeError(base::Code::PlatformUnknownOutcome));
    fixture.run(100ms);
    CHECK(fixture.age() < 200);
}

// Guards against calls without end while the store does not answer.
TEST_CASE("the requests without an answer are bounded")
{
    Fixture fixture;
    fixture.table.isSilent = true;
    fixture.watch->resume(0);
    fixture.run(2s);
    CHECK(fixture.age() >= 2'000);
    CHECK(fixture.table.watchCalls <= 4);
}

// Guards against a second watch beside the reading of all rows.
TEST_CASE("after a loss of history, the watch waits until all rows have been read")
{
    Fixture fixture;
    fixture.watch->resume(0);
    fixture.answer(base::makeError(base::Code::HistoryUnavailable));
    fixture.run(1s);
    CHECK(fixture.historyLosses == 1);
    CHECK(fixture.table.watchCalls == 1);
    fixture.watch->resume(5);
    CHECK(fixture.table.watchCalls == 2);
}

// Guards against starts on a view that lacks the rows after the first part of a long answer.
TEST_CASE("an answer that has more rows to follow does not make the view current")
{
    Fixture fixture;
    fixture.store("first");
    fixture.store("rest");
    fixture.watch->resume(0);
    fixture.answer(RowPage{.hasMore = true, .version = 1});
    CHECK(fixture.watch->view().knownUntil() == 0);
    fixture.run(10ms); // the rest is requested without a pause and without a wait for changes
    CHECK(fixture.rows == std::vector<std::string>{"rest"});
    CHECK(fixture.age() < 800);
}

} // namespace chicorywick::entry
