#include "hostile_callers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace chicorywick::hosted {

using namespace std::chrono_literals;

namespace {

constexpr int kPermanentRefusals[] = {400, 413};

bool isPermanentRefusal(int status)
{
    return std::find(std::begin(kPermanentRefusals), std::end(kPermanentRefusals), status)
           != std::end(kPermanentRefusals);
}

// Most memory for jobs that a leader of these tests may hold.
const HostileBounds kJobBounds{
        .settings = R"({"caller_buffer_kib":1024,"caller_connections":50,"job_memory_kib":4096})"};

std::string manyTasks(int count)
{
    return R"({"spec":"x","steps":[{"count":)" + std::to_string(count) + R"(,"cpu":1000}]})";
}

/// @brief Submits jobs with the ids of a prefix and a number; returns the number of accepted ones.
int submitJobs(const HostedDeployment &deployment, const std::string &prefix, int count,
               const std::string &body)
{
    int accepted = 0;
    for (int job = 0; job < count; ++job)
        accepted += deployment.submitText(0, prefix + std::to_string(job), body) == 200 ? 1 : 0;
    return accepted;
}

} // namespace

// Guards against a leader whose memory grows with the tasks that jobs name and not with those that
// run soon. Its successor loads the same jobs.
TEST_CASE("jobs of many tasks exhaust neither a leader nor its successor")
{
    LimitedDeployment limited(kJobBounds);
    std::string body;
    SUBCASE("tasks that wait for room")
    {
        body = manyTasks(10'000);
    }
    SUBCASE("tasks that fit nowhere")
    {
        body = R"({"spec":"x","steps":[{"count":10000,"cpu":1000,"requires":"none"}]})";
    }
    SUBCASE("perpetual tasks")
    {
        body = R"({"spec":"x","steps":[{"count":10000,"cpu":1000,"perpetual":true}]})";
    }
    SUBCASE("a gang")
    {
        body = R"({"spec":"x","steps":[{"count":10000,"cpu":1000,"gang":true}]})";
    }
    CHECK(submitJobs(limited.deployment(), "wide", 40, body) > 0);
    limited.check();
    limited.replaceDaemon();
    limited.check();
}

// Guards against jobs that cost nothing by their own words: no room keeps them from starting all
// their tasks at once.
TEST_CASE("tasks that request no resources do not exhaust a leader")
{
    LimitedDeployment limited(kJobBounds);
    limited.deployment().setTaskDuration(60s);
    std::string body;
    SUBCASE("independent tasks")
    {
        body = R"({"spec":"x","steps":[{"count":10000}]})";
    }
    SUBCASE("a gang")
    {
        body = R"({"spec":"x","steps":[{"count":10000,"gang":true}]})";
    }
    CHECK(submitJobs(limited.deployment(), "free", 10, body) > 0);
    limited.check();
}

// Guards against a leader that holds an unbounded number of jobs which cannot start.
TEST_CASE("jobs that never start do not exhaust a leader")
{
    LimitedDeployment limited(kJobBounds);
    const std::string step = R"({"count":1,"cpu":1000,"requires":"none"})";
    std::string body = R"({"spec":")" + std::string(4'000, 'x') + R"(","steps":[)" + step;
    for (int number = 1; number < 150; ++number)
        body += "," + step;
    body += "]}";
    const int accepted = submitJobs(limited.deployment(), "stuck", 400, body);
    CHECK(accepted > 0);
    CHECK(accepted < 400);
    // Callers of the queue whose jobs are small still find room.
    limited.check();
}

// Guards against ended jobs that keep the memory of open ones while their state is kept.
TEST_CASE("cancelled jobs do not exhaust a leader")
{
    LimitedDeployment limited(kJobBounds);
    std::string body = R"({"spec":")" + std::string(4'000, 'x') + R"(","steps":[{"count":1})";
    for (int number = 1; number < 150; ++number)
        body += R"(,{"count":60})";
    body += "]}";
    for (int job = 0; job < 300; ++job) {
        const std::string id = "gone" + std::to_string(job);
        limited.deployment().submitText(0, id, body);
        limited.deployment().cancel(0, id);
    }
    limited.check();
}

// Guards against dependencies that cost a leader more memory and time than they have bytes.
TEST_CASE("jobs with many dependencies do not exhaust a leader")
{
    // With the usual limit of requests, as the bodies are large.
    LimitedDeployment limited({.settings = R"({"caller_connections":50,"job_memory_kib":4096})"});
    std::string body = R"({"spec":"x","steps":[{"count":1})";
    std::string after;
    SUBCASE("one step again and again")
    {
        after = "0";
        for (int times = 1; times < 500; ++times)
            after += ",0";
        for (int number = 1; number < 200; ++number)
            body += R"(,{"count":1,"after":[)" + after + "]}";
    }
    SUBCASE("all earlier steps")
    {
        for (int number = 1; number < 200; ++number) {
            after += (number > 1 ? "," : "") + std::to_string(number - 1);
            body += R"(,{"count":1,"after":[)" + after + "]}";
        }
    }
    body += "]}";
    submitJobs(limited.deployment(), "knot", 200, body);
    limited.check();
}

// Guards against schedules whose times overflow, or that keep a leader at work without an end.
TEST_CASE("schedules without an end do not exhaust a leader")
{
    LimitedDeployment limited(kJobBounds);
    const auto schedule = [](const std::string &fields) {
        return R"({"spec":"x","steps":[{"count":1,"cpu":1000}],)" + fields + "}";
    };
    const HostedDeployment &deployment = limited.deployment();
    for (const std::string fields :
         {R"("repeat_count":9000000000000000000)",
          R"("repeat_count":2,"interval_ms":9000000000000000000)",
          R"("repeat_count":1000000000,"interval_ms":9000000000000)",
          R"("repeat_count":2,"start_time_ms":9000000000000000000)",
          R"("repeat_count":18446744073709551615)", R"("repeat_count":1e300)"}) {
        CAPTURE(fields);
        CHECK(isPermanentRefusal(deployment.submitText(0, "endless", schedule(fields))));
    }
    submitJobs(deployment, "dense", 30, schedule(R"("repeat_count":100000000)"));
    submitJobs(deployment, "denser", 30,
               schedule(R"("repeat_count":100000000,"interval_ms":1,"start_time_ms":1)"));
    limited.check();
}

// Guards against a refusal that asks a caller to come back with what can never be stored.
TEST_CASE("a job that no row can hold is refused for good")
{
    LimitedDeployment limited({.settings = R"({"caller_connections":50})"});
    const auto submit = [&limited](const std::string &body) {
        return limited.deployment().submitText(0, "huge", body);
    };
    const std::string text(100'000, 'x');
    for (const std::string field : {"requires", "affinity", "image"}) {
        CAPTURE(field);
        CHECK(isPermanentRefusal(submit(R"({"spec":"x","steps":[{"count":1,")" + field + R"(":")"
                                        + text + R"("}]})")));
    }
    CHECK(isPermanentRefusal(submit(R"({"spec":")" + text + R"(","steps":[{"count":1}]})")));
    std::string steps = R"({"spec":"x","steps":[{"count":1})";
    for (int number = 1; number < 199; ++number)
        steps += R"(,{"count":1,"requires":")" + std::string(190, 'l') + R"(","image":")"
                 + std::string(190, 'i') + R"("})";
    CHECK(isPermanentRefusal(submit(steps + "]}")));
    limited.check();
}

} // namespace chicorywick::hosted
