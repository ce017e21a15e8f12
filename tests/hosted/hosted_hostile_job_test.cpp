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

} // namespace chicorywick::hosted
