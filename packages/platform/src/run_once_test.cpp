#include "chicorywick/v1/platform.pb.h"

#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/platform/run_once.h>

#include <doctest/doctest.h>

namespace chicorywick::platform {

using namespace std::chrono_literals;

namespace {

struct Counter
{
    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<MemoryPlatform> platform =
            std::make_shared<MemoryPlatform>(MemoryPlatformOptions{.clock = clock, .seed = 3});
    Table table{MemoryAccess{platform, "z1"}};

    base::Result<std::uint64_t> increment(const std::string &requestId,
                                          const std::string &argument = "")
    {
        v1::GetRowRequest request;
        request.set_key(argument);
        v1::CommitResponse response;
        return runOnce(table, clock, {"Increment", requestId, request}, response,
                       [this](google::protobuf::Message &) -> base::Result<Transaction> {
                           BOOST_OUTCOME_TRY(row, table.get("counter"));
                           const std::string value = row ? row->value + "i" : "i";
                           return Transaction{.writer = {},
                                              .conditions = {{"counter", row ? row->version : 0}},
                                              .puts = {{"counter", value}},
                                              .deletes = {}};
                       });
    }

    std::size_t value() const { return table.get("counter").value()->value.size(); }
};

} // namespace

// Guards against executing a call twice when the response to its first execution was lost.
TEST_CASE_FIXTURE(Counter, "a repeated call is executed once even if responses are lost")
{
    platform->setFaults({.table = {.loseRequest = 0.1, .loseAnswer = 0.2, .lateCommit = 0.1}});
    for (int call = 0; call < 20; ++call) {
        bool done = false;
        for (int i = 0; i < 200 && !done; ++i) {
            time->advance(1s);
            done = increment("call-" + std::to_string(call)).has_value();
        }
        CHECK(done);
    }
    platform->setFaults({});
    CHECK(value() == 20);
}

// Guards against answering a call with the recorded response of a different one.
TEST_CASE_FIXTURE(Counter, "a request id is rejected if reused for another request or malformed")
{
    REQUIRE(increment("a", "first").has_value());
    CHECK(increment("a", "second").error().code == base::Code::RequestIdReused);
    CHECK(increment("").error().code == base::Code::InvalidArgument);
    CHECK(increment(std::string(65, 'x')).error().code == base::Code::InvalidArgument);
}

// Guards against operation records that fill the table, and against deleting the record of a call
// that may still be repeated.
TEST_CASE_FIXTURE(Counter, "operation records are deleted after their retention and not before")
{
    REQUIRE(increment("old").has_value());
    time->advance(kOperationRetention - 1h);
    REQUIRE(increment("new").has_value());
    REQUIRE(removeExpiredOperations(table, clock, "", 100).has_value());
    CHECK(table.get("op/old").value().has_value());
    time->advance(2h);
    CHECK(removeExpiredOperations(table, clock, "", 100).value().empty());
    CHECK_FALSE(table.get("op/old").value().has_value());
    CHECK(table.get("op/new").value().has_value());
}

} // namespace chicorywick::platform
