#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

/// @brief A scheduler of a service whose jobs are in time within 1.6 times their work and 600 ms.
struct LoadFixture : SchedulerFixture
{
    explicit LoadFixture(bool controlsOverload)
    {
        ++term;
        scheduler = std::make_unique<Scheduler>(
                workers,
                SchedulerHooks{
                        .clock = [this] { return Now{.steady = loop.now(), .wall = loop.now()}; },
                        .maySendOrders = [] { return true; },
                        .onFenced = [] {},
                        .onProgress = [this] { store(); },
                        .jobsKnownUntil = [this] { return loop.now(); },
                        .defer =
                                [this](std::function<void()> action) {
                                    loop.after(0, std::move(action));
                                }},
                SchedulerSettings{.fence = term, .controlsOverload = controlsOverload});
        scheduler->setQueues({queue("q", 0), queue("low", 1)});
        tick(term);
        addWorkers(2);
        workers.onEnded = [this](const auto &, const EndedTask &end, Millis startedAt, bool) {
            endedAt[end.task.job] = startedAt + workers.workMs;
        };
    }

    static QueuePolicy queue(const std::string &name, int priority)
    {
        return {.name = name,
                .service = "s",
                .priority = priority,
                .maxAttempts = 2,
                .stretch = 1.6,
                .targetCompletionMs = 600};
    }

    void submitTo(const std::string &queueName, const std::string &account, const std::string &id,
                  int tasks)
    {
        JobSpec job = spec(id, {step(tasks)});
        job.queue = queueName;
        job.account = account;
        submittedAt[id] = loop.now();
        scheduler->addJob(job, std::nullopt);
    }

    /// Jobs in time of those whose id begins with a text.
    int inTime(const std::string &prefix) const
    {
        constexpr Millis kObjectiveMs = 1'400;
        int count = 0;
        for (const auto &[id, at] : submittedAt) {
            const auto ended = endedAt.find(id);
            count += id.starts_with(prefix) && ended != endedAt.end()
                                     && ended->second - at <= kObjectiveMs
                             ? 1
                             : 0;
        }
        return count;
    }
    int completed() const
    {
        return static_cast<int>(
                std::count_if(submittedAt.begin(), submittedAt.end(), [this](const auto &job) {
                    return scheduler->stateOf(job.first) == JobState::Completed;
                }));
    }

    std::map<std::string, Millis> submittedAt;
    std::map<std::string, Millis> endedAt;
};

// Twice the work that two workers of 16 cores end, for four seconds: small jobs and a few large
// ones.
int inTimeUnderOverload(bool controlsOverload)
{
    LoadFixture fixture(controlsOverload);
    int submitted = 0;
    for (int tenth = 0; tenth < 40; ++tenth) {
        for (int job = 0; job < 3; ++job)
            fixture.submitTo("q", "", "small" + std::to_string(submitted++), 2);
        if (tenth % 2 == 0)
            fixture.submitTo("q", "", "large" + std::to_string(submitted++), 14);
        fixture.run(100);
    }
    fixture.run(20'000);
    CHECK(fixture.completed() == submitted);
    return fixture.inTime("");
}

} // namespace

// Answers a peak of twice the capacity. Guards against an order in which each job waits until it is
// late, and against deferred jobs that never run.
TEST_CASE("under a load of twice the capacity, more jobs end in time if the cheapest ones wait")
{
    const int before = inTimeUnderOverload(false);
    const int after = inTimeUnderOverload(true);
    CAPTURE(before);
    CAPTURE(after);
    CHECK(after > before);
    CHECK(after >= 100); // of 140 jobs, 120 are small and take half of the capacity
}

// Answers an account that sends many times its share. Guards against others that wait for it, and
// against an account that is not served although there is room.
TEST_CASE("an account that exceeds its share delays its own jobs")
{
    LoadFixture fixture(true);
    fixture.scheduler->setAccounts(
            {{.name = "usual", .weight = 20}, {.name = "excess", .weight = 20}});
    for (int tenth = 0; tenth < 40; ++tenth) {
        fixture.submitTo("q", "usual", "usual" + std::to_string(tenth), 1);
        for (int job = 0; job < 16; ++job)
            fixture.submitTo("q", "excess", "excess" + std::to_string(tenth * 16 + job), 1);
        fixture.run(100);
    }
    CHECK(fixture.inTime("usual") >= 24); // all whose objective has ended
    fixture.run(20'000);
    CHECK(fixture.inTime("usual") == 40);
    CHECK(fixture.inTime("excess") > 40); // its share
    CHECK(fixture.completed() == 40 * 17);
}

// Guards against shares that hold work back while there is room for all of it.
TEST_CASE("an account over its share is served in time while there is room")
{
    LoadFixture fixture(true);
    fixture.scheduler->setAccounts({{.name = "excess", .weight = 1}});
    for (int tenth = 0; tenth < 20; ++tenth) {
        fixture.submitTo("q", "excess", "excess" + std::to_string(tenth), 2);
        fixture.run(100);
    }
    fixture.run(3'000);
    CHECK(fixture.inTime("excess") == 20);
}

// Guards against urgent jobs that are deferred for others.
TEST_CASE("under overload jobs of the higher priority end in time")
{
    LoadFixture fixture(true);
    for (int tenth = 0; tenth < 30; ++tenth) {
        fixture.submitTo("q", "", "urgent" + std::to_string(tenth), 2);
        fixture.submitTo("low", "", "low" + std::to_string(tenth), 8);
        fixture.run(100);
    }
    fixture.run(20'000);
    CHECK(fixture.inTime("urgent") == 30);
    CHECK(fixture.completed() == 60);
}

} // namespace chicorywick::scheduler
