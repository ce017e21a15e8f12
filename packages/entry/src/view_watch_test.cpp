#include "fake_table.h"
#include "table_watch.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

scheduler::Millis now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

} // namespace

// Guards against a worker that counts as ready again because an answer was late.
TEST_CASE("a late answer does not replace newer rows")
{
    const std::string kTable = "t";
    const RowKey key{.table = kTable, .key = "w"};
    boost::asio::io_context loop;
    FakeTable table;
    std::string known;
    const auto watch = std::make_shared<TableWatch>(
            loop, table, kTable,
            TableWatchHooks{.clock = now,
                            .onRows =
                                    [&known](const RowPage &page) {
                                        for (const Row &row : page.rows)
                                            known = row.value;
                                    },
                            .onHistoryLost = [] {}});
    watch->resume(0);
    const Callback<RowPage> late = table.watches.at(kTable);
    for (const char *value : {"ready", "draining"})
        table.transact({.writes = {{.key = key, .value = value}}}, 1ms, [](const auto &) {});
    loop.run_for(700ms); // the repeated request is answered
    REQUIRE(known == "draining");
    late(RowPage{.rows = {{.key = key, .value = "ready", .version = 1}}, .version = 1});
    CHECK(known == "draining");
    watch->stop();
}

// Guards against an older configuration that comes back after the history was dropped.
TEST_CASE("rows that are older than those known are not taken from a full read")
{
    boost::asio::io_context loop;
    FakeTable table;
    std::vector<Version> loadedVersions{5, 3, 6};
    std::vector<Version> applied;
    const auto watch = std::make_shared<TableWatch>(
            loop, table, "t",
            TableWatchHooks{
                    .clock = now,
                    .onRows = [&applied](const RowPage &page) { applied.push_back(page.version); },
                    .load =
                            [&](const http::TransferPointer &, const auto &done) {
                                const Version version = loadedVersions.front();
                                loadedVersions.erase(loadedVersions.begin());
                                done(RowPage{.version = version});
                            }});
    watch->start();
    loop.run_for(100ms);
    REQUIRE(table.watches.contains("t"));
    const auto lost = table.watches.extract("t");
    lost.mapped()(base::makeError(base::Code::HistoryUnavailable));
    loop.run_for(500ms);
    CHECK(applied == std::vector<Version>{5, 6});
    watch->stop();
}

} // namespace chicorywick::entry
