#include "fake_table.h"
#include "intake.h"

#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/node.h>
#include <chicorywick/entry/records.h>

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMaxJobBytes = 1'000'000;
// The fixture has one cell.
const CellRows kRows(0, 1);

class FakeCodec : public CallerCodec
{
public:
    base::Result<scheduler::JobSpec> decodeSubmission(const std::string &body) const override
    {
        if (body == "bad")
            return base::makeError(base::Code::MalformedInput);
        scheduler::JobSpec spec{.payload = body};
        spec.steps.push_back({.taskCount = 1, .estimatedMs = 1'000});
        if (body == "perpetual")
            spec.steps.back().isPerpetual = true;
        if (body == "large task")
            spec.steps.back().demand.cpuMillis = 3'000;
        if (body == "cycle")
            spec.steps.back().after = {0};
        if (body == "many tasks")
            spec.steps.assign(200, {.taskCount = scheduler::kMaxTasksPerJob});
        if (body == "many steps") {
            scheduler::StepSpec step{.taskCount = 1, .requiredLabel = std::string(900, 'l')};
            spec.steps.assign(200, step);
        }
        if (body == "most tasks")
            spec.steps.assign(2, {.taskCount = scheduler::kMaxTasksPerJob / 2});
        return spec;
    }
    std::string encodeState(scheduler::JobState state) const override
    {
        return jobStateName(state);
    }
    std::string encodeWaiting(int jobs) const override { return std::to_string(jobs); }
    std::optional<scheduler::Millis> timeLimit(const http::Headers & /*headers*/) const override
    {
        return std::nullopt;
    }
    std::string apiKey(const http::Headers &headers) const override
    {
        return http::headerOf(headers, "key");
    }
};

/// @brief A store that answers transactions after a time.
class SlowTable : public FakeTable
{
public:
    std::chrono::milliseconds delay{0};
    int writes = 0;

    explicit SlowTable(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done) override
    {
        ++writes;
        if (delay.count() == 0)
            return FakeTable::transact(transaction, timeout, std::move(done));
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, delay);
        timer->async_wait([this, timer, transaction, timeout, done](const auto & /*error*/) {
            FakeTable::transact(transaction, timeout, done);
        });
    }

private:
    boost::asio::io_context &loop_;
};

struct Fixture
{
    boost::asio::io_context loop;
    SlowTable table{loop};
    bool hasRealClock = false;
    FakeCodec codec;
    ControllerAnswer controller;
    std::optional<int> waiting;
    scheduler::Millis backlogMs = 0;
    scheduler::JobMemory jobMemory;
    std::vector<Row> announced;
    std::shared_ptr<Intake> intake = std::make_shared<Intake>(
            loop, table, codec,
            ControllerQuery{.state =
                                    [this](int, const std::string &,
                                           const std::function<void(ControllerAnswer)> &done) {
                                        done(controller);
                                    },
                            .waiting = [this](const std::string &) { return waiting; },
                            .backlogMs = [this](int, const std::string &) { return backlogMs; },
                            .jobMemory = [this](int) { return jobMemory; },
                            .announce = [this](int, const Row &row) { announced.push_back(row); }},
            [this] {
                return hasRealClock ? systemNow() : scheduler::Now{.steady = 1'000, .wall = 1'000};
            },
            kMaxJobBytes);

    Fixture()
    {
        intake->configure({.version = 1,
                           .routes = {{.host = "h",
                                       .pathPrefix = "/q/",
                                       .policy = {.name = "r", .service = "s"}}}});
        intake->setLayout(CellLayout());
    }

    /// Sends a request that is answered at once.
    int send(const std::string &method, const std::string &target)
    {
        int status = 0;
        intake->handle({.method = method, .target = target, .headers = {{"host", "h:80"}}},
                       [&](const http::Response &response) { status = response.status; });
        loop.restart();
        loop.poll();
        return status;
    }

    http::Response call(const std::string &method, const std::string &target,
                        const std::string &body = "work", const std::string &host = "h:80",
                        const std::string &apiKey = {})
    {
        http::Response received{.status = 0};
        http::Request request{
                .method = method, .target = target, .headers = {{"host", host}}, .body = body};
        if (!apiKey.empty())
            request.headers["key"] = apiKey;
        intake->handle(request, [&](http::Response response) { received = std::move(response); });
        loop.restart();
        loop.run_for(400ms);
        return received;
    }
};

} // namespace

// Guards against submissions that are refused because a slow store gets each of them twice.
TEST_CASE("a submission is written once while the store answers slowly")
{
    Fixture fixture;
    fixture.hasRealClock = true;
    fixture.table.delay = 600ms;
    const auto submit = [&fixture](const std::string &id) {
        fixture.table.writes = 0;
        int status = 0;
        fixture.intake->handle({.method = "POST",
                                .target = "/q/" + id,
                                .headers = {{"host", "h:80"}},
                                .body = "work"},
                               [&](const http::Response &response) { status = response.status; });
        fixture.loop.restart();
        fixture.loop.run_for(1'300ms);
        return status;
    };
    CHECK(submit("0123456789abcde0") == 200);
    CHECK(submit("0123456789abcde1") == 200);
    CHECK(fixture.table.writes == 1);
}

// Guards against a duplicate job, or an error response, when a caller retries a submission whose
// response was lost.
TEST_CASE("a repeated submission is stored once and receives the same response")
{
    Fixture fixture;
    CHECK(fixture.call("POST", "/q/a1").status == 200);
    CHECK(fixture.call("POST", "/q/a1").status == 200);
    CHECK(fixture.table.rows.size() == 1);
}

// Guards against a leader that does not know how to run an accepted job once its route is removed.
TEST_CASE("a stored job carries the policy of its queue")
{
    Fixture fixture;
    REQUIRE(fixture.call("POST", "/q/a1").status == 200);
    REQUIRE(fixture.table.rows.size() == 1);
    const auto job = decodeJob(fixture.table.rows.begin()->second.value);
    REQUIRE(job.has_value());
    CHECK(job.value().acceptedPolicy == scheduler::QueuePolicy{.name = "r", .service = "s"});
}

// Guards against jobs that are stored although the route, the format, the id or the steps are
// invalid.
TEST_CASE("invalid requests are rejected with their status and stored nowhere")
{
    Fixture fixture;
    CHECK(fixture.call("POST", "/other/a1").status == 404);
    CHECK(fixture.call("POST", "/q/a1", "work", "elsewhere").status == 404);
    CHECK(fixture.call("POST", "/q/a1", "bad").status == 400);
    CHECK(fixture.call("POST", "/q/a1", "cycle").status == 400);
    CHECK(fixture.call("POST", "/q/a1", std::string(5'000, 'x')).headers.at("X-Result-Code")
          == "2003");
    CHECK(fixture.call("POST", "/q/a%20b").status == 400);
    CHECK(fixture.call("PUT", "/q/a1").status == 405);
    CHECK(fixture.table.rows.empty());
}

// Guards against an accepted job that takes the memory of each leader of its cell in turn.
TEST_CASE("a submission with too many tasks in all its steps is rejected")
{
    Fixture fixture;
    const auto refused = fixture.call("POST", "/q/a1", "many tasks");
    CHECK(refused.status == 413);
    CHECK(refused.headers.at("X-Result-Code") == "2003");
    CHECK(fixture.table.rows.empty());
    CHECK(fixture.call("POST", "/q/a2", "most tasks").status == 200);
}

// Guards against a rejection of a job that runs: a store call without an answer may have stored it.
TEST_CASE("a submission with an unknown outcome is never reported as rejected")
{
    Fixture fixture;
    using base::Code;
    fixture.table.failures = {{Code::PlatformUnknownOutcome, true}};
    CHECK(fixture.call("POST", "/q/a1").status == 200);
    fixture.table.failures = {{Code::PlatformUnknownOutcome, false},
                              {Code::PlatformUnavailable, false},
                              {Code::PlatformUnavailable, false}};
    CHECK(fixture.call("POST", "/q/a2").status == 504);
    fixture.table.failures = {{Code::PlatformUnavailable, false},
                              {Code::RateLimited, false},
                              {Code::PlatformUnavailable, false}};
    const auto refused = fixture.call("POST", "/q/a3");
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(!fixture.table.rows.contains(kRows.jobRow("a3")));
}

// Guards against jobs that wait until a stalled watch is detected, and against announcements of
// jobs that were not stored.
TEST_CASE("each stored row, and no other, is announced to the controller")
{
    Fixture fixture;
    fixture.call("POST", "/q/a1");
    REQUIRE(fixture.announced.size() == 1);
    CHECK(fixture.announced[0].value == fixture.table.rows[kRows.jobRow("a1")].value);
    CHECK(fixture.announced[0].version == fixture.table.rows[kRows.jobRow("a1")].version);
    fixture.call("POST", "/q/a1");
    CHECK(fixture.announced.size() == 1);
    fixture.table.failures = {{base::Code::PlatformUnavailable, false},
                              {base::Code::RateLimited, false},
                              {base::Code::PlatformUnavailable, false}};
    fixture.call("POST", "/q/a2");
    CHECK(fixture.announced.size() == 1);
    fixture.call("DELETE", "/q/a1");
    REQUIRE(fixture.announced.size() == 2);
    CHECK(fixture.announced[1].key == kRows.cancelRow("a1"));
}

// Guards against missing states while no leader answers, and against stale ones while it does: the
// controller is ahead of the stored rows.
TEST_CASE("states come from the controller or else from the rows; an unknown job returns 410")
{
    Fixture fixture;
    CHECK(fixture.call("GET", "/q/a1").status == 410);
    fixture.call("POST", "/q/a1");
    CHECK(fixture.call("GET", "/q/a1").body == "pending");
    fixture.table.rows[kRows.progressRow("a1")] = {
            .key = kRows.progressRow("a1"),
            .value = encode(scheduler::JobProgress{.state = scheduler::JobState::Completed})};
    CHECK(fixture.call("GET", "/q/a1").body == "completed");
    fixture.controller = {.isAnswered = true, .state = scheduler::JobState::Running};
    CHECK(fixture.call("GET", "/q/a1").body == "running");
    CHECK(fixture.call("GET", "/q/").status == 503);
    fixture.waiting = 3;
    CHECK(fixture.call("GET", "/q/").body == "3");
}

// Guards against a lost cancellation, and against a job that runs because the store carries out its
// submission after the cancellation was answered with 410.
TEST_CASE("a cancellation is stored also for a job that is not stored yet")
{
    Fixture fixture;
    CHECK(fixture.call("DELETE", "/q/a1").status == 410);
    REQUIRE(fixture.table.rows.contains(kRows.cancelRow("a1")));
    REQUIRE(fixture.announced.size() == 1);
    CHECK(fixture.announced[0].key == kRows.cancelRow("a1"));
    CHECK(fixture.call("GET", "/q/a1").status == 410);
    CHECK(fixture.call("DELETE", "/q/a1").status == 410);
    CHECK(fixture.call("POST", "/q/a1").status == 200);
    CHECK(fixture.call("DELETE", "/q/a1").status == 200);
    CHECK(fixture.table.rows.contains(kRows.cancelRow("a1")));
    CHECK(layout::cancelledJob(kRows.cancelRow("a1").key) == "a1");
    CHECK(layout::cancelledJob("a1").empty());
}

// Guards against an acknowledged cancellation that no leader ever sees.
TEST_CASE("a cancellation that cannot be stored is not acknowledged")
{
    Fixture fixture;
    using base::Code;
    const std::vector<std::pair<Code, bool>> outage(3, {Code::PlatformUnavailable, false});
    fixture.table.failures = outage;
    CHECK(fixture.call("DELETE", "/q/a1").status == 503);
    fixture.call("POST", "/q/a1");
    fixture.table.failures = outage;
    CHECK(fixture.call("DELETE", "/q/a1").status == 503);
    CHECK(!fixture.table.rows.contains(kRows.cancelRow("a1")));
}

// Guards against requests that reach the wrong queue when one path prefix contains another.
TEST_CASE("a request is routed by host and longest path prefix")
{
    const RouteTable table({{.host = "h", .pathPrefix = "/a/", .policy = {.name = "short"}},
                            {.host = "h", .pathPrefix = "/a/b/", .policy = {.name = "long"}}});
    CHECK(table.match("h", "/a/b/x")->policy.name == "long");
    CHECK(table.match("h:80", "/a/x?y=1")->rest == "x");
    CHECK(!table.match("g", "/a/x"));
}

// Guards against a leader that loses stored state on load, and against a crash on a malformed row.
TEST_CASE("records round-trip through their encoding; malformed text is an error")
{
    const LeaderRecord leader{.holder = "n#1",
                              .peerAddress = "a:1",
                              .term = 3,
                              .heartbeat = 4,
                              .workerLeaseMs = 4'000,
                              .heldCells = 2,
                              .waitingJobs = {{"q", 7}}};
    CHECK(decodeLeader(encode(leader)).value() == leader);
    scheduler::JobSpec spec{.id = "a",
                            .queue = "q",
                            .payload = "p",
                            .repeatCount = 2,
                            .firstStartWall = 5,
                            .intervalMs = 6,
                            .submittedWall = 7};
    spec.steps.push_back({.taskCount = 2, .after = {0}, .isGang = true, .preferredRack = "r"});
    CHECK(decodeJob(encode(spec)).value() == spec);
    spec.acceptedPolicy = {.name = "q",
                           .service = "s",
                           .priority = 1,
                           .maxAttempts = 2,
                           .stretch = 1.5,
                           .targetCompletionMs = 600,
                           .needsAdvice = true};
    CHECK(decodeJob(encode(spec)).value() == spec);
    scheduler::JobProgress progress{.state = scheduler::JobState::Running, .begunOccurrences = 1};
    progress.open.push_back({.number = 0,
                             .doneTasks = {{1, 2}},
                             .failedRuns = {{{0, 3}, {1}}},
                             .crashes = {{{0, 4}, {.runs = {1, 2}, .startingRuns = {2}}}}});
    CHECK(decodeProgress(encode(progress)).value() == progress);
    const WaveProgress wave{.startedMachines = {"m"}, .isDone = true};
    CHECK(decodeWaveProgress(encode(wave)).value() == wave);
    const CellLayout cells(2, {{"r1", 1}});
    CHECK(decodeCellLayout(encode(cells)).value() == cells);
    for (const char *bad : {"", "{", "[]", "{}", "7"}) {
        CHECK(!decodeLeader(bad));
        CHECK(!decodeJob(bad));
        CHECK(!decodeProgress(bad));
        CHECK(!decodeWaveProgress(bad));
        CHECK(!decodeCellLayout(bad));
    }
    CHECK(!decodeRoster("[7]"));
}

namespace {

// Route "r" needs a key, route "open" needs none.
Configuration withAccounts(std::int64_t version, std::vector<ClientAccount> accounts)
{
    return {.version = version,
            .routes = {{.host = "h", .pathPrefix = "/q/", .policy = {.name = "r", .service = "s"}},
                       {.host = "h",
                        .pathPrefix = "/open/",
                        .policy = {.name = "open", .service = "s"},
                        .allowsAnonymous = true}},
            .accounts = std::move(accounts)};
}

const std::string kHost = "h:80";

} // namespace

// Guards against callers that are served without a key or with one that no account has, and against
// a job that is stored although its caller was refused.
TEST_CASE("a request is served with the key of an account or on an anonymous route only")
{
    Fixture fixture;
    fixture.intake->configure(withAccounts(2, {{.policy = {.name = "a"}, .apiKeys = {"k"}}}));
    const auto missing = fixture.call("POST", "/q/j1");
    CHECK(missing.status == 401);
    CHECK(missing.headers.at("X-Result-Code") == "4015");
    const auto unknown = fixture.call("POST", "/q/j1", "work", kHost, "x");
    CHECK(unknown.status == 401);
    CHECK(unknown.headers.at("X-Result-Code") == "4016");
    CHECK(fixture.call("GET", "/q/", {}, kHost, "x").status == 401);
    CHECK(fixture.call("DELETE", "/q/j1", {}, kHost, "x").status == 401);
    CHECK(fixture.call("POST", "/open/j1", "work", kHost, "x").status == 401);
    CHECK(fixture.table.rows.empty());
    CHECK(fixture.call("POST", "/absent/j1").status == 404);

    CHECK(fixture.call("POST", "/q/j1", "work", kHost, "k").status == 200);
    CHECK(fixture.call("POST", "/open/j2").status == 200);
    CHECK(decodeJob(fixture.table.rows.at(kRows.jobRow("j1")).value).value().account == "a");
    CHECK(decodeJob(fixture.table.rows.at(kRows.jobRow("j2")).value).value().account.empty());
}

// Guards against keys that stay valid, or do not become valid, when a version changes them while
// callers are connected.
TEST_CASE("a configuration adds and removes keys for the requests that follow")
{
    Fixture fixture;
    CHECK(fixture.call("POST", "/q/j0").status == 200);
    fixture.intake->configure(withAccounts(2, {{.policy = {.name = "a"}, .apiKeys = {"k"}}}));
    CHECK(fixture.call("POST", "/q/j1", "work", kHost, "k").status == 200);
    fixture.intake->configure(withAccounts(3, {{.policy = {.name = "a"}, .apiKeys = {"l"}}}));
    CHECK(fixture.call("POST", "/q/j2", "work", kHost, "k").status == 401);
    CHECK(fixture.call("POST", "/q/j2", "work", kHost, "l").status == 200);
    fixture.intake->configure(withAccounts(4, {}));
    CHECK(fixture.call("POST", "/q/j3", "work", kHost, "l").status == 401);
    CHECK(fixture.call("POST", "/open/j3").status == 200);
}

// Guards against an ambiguous key that changes its account with the order of evaluation.
TEST_CASE("a key that two accounts list belongs to the first one")
{
    Fixture fixture;
    fixture.intake->configure(withAccounts(2, {{.policy = {.name = "a"}, .apiKeys = {"k"}},
                                               {.policy = {.name = "b"}, .apiKeys = {"k"}}}));
    REQUIRE(fixture.call("POST", "/q/j1", "work", kHost, "k").status == 200);
    CHECK(decodeJob(fixture.table.rows.at(kRows.jobRow("j1")).value).value().account == "a");
}

// Guards against a caller that ends the jobs of another account.
TEST_CASE("a job is cancelled by callers of its own account only")
{
    Fixture fixture;
    fixture.intake->configure(withAccounts(2, {{.policy = {.name = "a"}, .apiKeys = {"k"}},
                                               {.policy = {.name = "b"}, .apiKeys = {"l"}}}));
    REQUIRE(fixture.call("POST", "/q/j1", "work", kHost, "k").status == 200);
    const auto refused = fixture.call("DELETE", "/q/j1", {}, kHost, "l");
    CHECK(refused.status == 403);
    CHECK(refused.headers.at("X-Result-Code") == "4017");
    CHECK(fixture.table.rows.size() == 1);
    CHECK(fixture.call("DELETE", "/q/j1", {}, kHost, "k").status == 200);
}

// Guards against an accepted job that can never start, because one of its tasks exceeds the limit
// of its account; a limit of 0 is none.
TEST_CASE("a submission with a task larger than the limit of its account is rejected")
{
    Fixture fixture;
    fixture.intake->configure(withAccounts(
            2, {{.policy = {.name = "a", .limit = {.cpuMillis = 2'999}}, .apiKeys = {"k"}},
                {.policy = {.name = "b"}, .apiKeys = {"l"}}}));
    const auto refused = fixture.call("POST", "/q/j1", "large task", kHost, "k");
    CHECK(refused.status == 400);
    CHECK(refused.headers.at("X-Result-Code") == "6005");
    CHECK(fixture.table.rows.empty());
    CHECK(fixture.call("POST", "/q/j1", "large task", kHost, "l").status == 200);
}

// Guards against jobs that wait behind a backlog although none of their callers will get any value,
// and against refusals of jobs that still have some.
TEST_CASE("a submission that cannot end within three times its objective is refused at once")
{
    Fixture fixture;
    fixture.backlogMs = 2'000; // the objective is 1 s
    CHECK(fixture.call("POST", "/q/a1").status == 200);
    fixture.backlogMs = 3'500;
    const auto refused = fixture.call("POST", "/q/a2");
    CHECK(refused.status == 503);
    CHECK(refused.headers.at("Retry-After") == "2");
    CHECK(!fixture.table.rows.contains(kRows.jobRow("a2")));
    CHECK(fixture.call("POST", "/q/a3", "perpetual").status == 200);
}

// Guards against a refusal of a job that runs: an earlier attempt has stored it.
TEST_CASE("a repeated submission of a stored job is not refused for the backlog")
{
    Fixture fixture;
    REQUIRE(fixture.call("POST", "/q/a1").status == 200);
    fixture.backlogMs = 60'000;
    CHECK(fixture.call("POST", "/q/a1").status == 200);
}

// Guards against accepted jobs that are more than the leader of their cell can hold, and against a
// refusal of one that it holds already.
TEST_CASE("a submission is refused once the leader has no room for its job")
{
    Fixture fixture;
    REQUIRE(fixture.call("POST", "/q/a1").status == 200);
    fixture.jobMemory = {.total = kMaxJobBytes, .byHolder = {{"queue r", kMaxJobBytes}}};
    const auto refused = fixture.call("POST", "/q/a2");
    CHECK(refused.status == 503);
    CHECK(refused.headers.at("X-Result-Code") == "6008");
    CHECK(refused.headers.at("Retry-After") == "5");
    CHECK(!fixture.table.rows.contains(kRows.jobRow("a2")));
    CHECK(fixture.call("POST", "/q/a1").status == 200);
}

// Guards against one queue whose jobs take the room of all others.
TEST_CASE("a queue that has used its part leaves room to the others")
{
    Fixture fixture;
    fixture.jobMemory = {.total = 700'000, .byHolder = {{"queue r", 700'000}}};
    CHECK(fixture.call("POST", "/q/a1").status == 503);
    fixture.jobMemory.byHolder = {{"queue other", 700'000}};
    CHECK(fixture.call("POST", "/q/a1").status == 200);
}

// Guards against a caller that is asked to come back with what no row can hold.
TEST_CASE("a job that is larger than a row is refused for good")
{
    Fixture fixture;
    const auto refused = fixture.call("POST", "/q/a1", "many steps");
    CHECK(refused.status == 413);
    CHECK(refused.headers.at("X-Result-Code") == "2003");
    CHECK(fixture.table.rows.empty());
}

// Guards against callers that use up the reads and writes of the store for jobs that do not exist,
// and against refusing the cancellations of those that do.
TEST_CASE("requests for unknown jobs are limited, and those for known jobs are not")
{
    Fixture fixture;
    REQUIRE(fixture.call("POST", "/q/known").status == 200);
    fixture.controller.isAnswered = true;
    int refused = 0;
    for (int request = 0; request < 400; ++request)
        refused += fixture.send("DELETE", "/q/u" + std::to_string(request)) == 503 ? 1 : 0;
    CHECK(refused >= 300);
    CHECK(fixture.send("GET", "/q/other") == 503);
    fixture.controller.state = scheduler::JobState::Running;
    CHECK(fixture.send("DELETE", "/q/known") == 200);
    CHECK(fixture.send("GET", "/q/known") == 200);
}

// Guards against a refusal for good of a queue or a key that was added lately.
TEST_CASE("an unknown queue or key is refused for good only by a recent configuration")
{
    Fixture fixture;
    Configuration configuration{
            .version = 2, .routes = {{.host = "h", .pathPrefix = "/q/", .policy = {.name = "r"}}}};
    configuration.accounts = {ClientAccount{.policy = {.name = "a"}, .apiKeys = {"known"}}};
    fixture.intake->configure(configuration);
    bool isRecent = true;
    fixture.intake->setConfigurationCheck([&isRecent] { return isRecent; });
    CHECK(fixture.call("POST", "/new/1", "work", "h:80", "known").status == 404);
    CHECK(fixture.call("POST", "/q/1", "work", "h:80", "new").status == 401);
    isRecent = false;
    for (const http::Response &response : {fixture.call("POST", "/new/1", "work", "h:80", "known"),
                                           fixture.call("POST", "/q/1", "work", "h:80", "new")}) {
        CHECK(response.status == 503);
        CHECK(http::headerOf(response.headers, "X-Result-Code") == "7004");
        CHECK(http::headerOf(response.headers, "Retry-After") == "1");
    }
    CHECK(fixture.call("POST", "/q/1", "work", "h:80", "known").status == 200);
}

} // namespace chicorywick::entry
