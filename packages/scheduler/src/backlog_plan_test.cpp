#include <chicorywick/base/rng.h>
#include <chicorywick/scheduler/backlog_plan.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace chicorywick::scheduler {

namespace {

constexpr BacklogCapacity kTenCores{.cores = 10};

// Ends jobs one after another on all cores, in order of due time, those of the set last; returns
// the number of jobs in time.
int jobsInTime(const std::vector<BacklogJob> &jobs, const std::set<std::size_t> &last)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < jobs.size(); ++i)
        order.push_back(i);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::pair(last.contains(left), jobs[left].due)
               < std::pair(last.contains(right), jobs[right].due);
    });
    double work = 0;
    int inTime = 0;
    for (const std::size_t index : order) {
        work += jobs[index].workMillis;
        inTime += work / kTenCores.cores <= static_cast<double>(jobs[index].due) ? 1 : 0;
    }
    return inTime;
}

} // namespace

// Guards against delays where there is room for all.
TEST_CASE("a backlog that can end in time is not reordered")
{
    const std::vector<BacklogJob> jobs(10, {.due = 1'000, .workMillis = 1'000});
    CHECK(planBacklog(jobs, kTenCores, 0).empty());
}

// Guards against one large job that makes many small ones late.
TEST_CASE("the job that needs the most work is delayed first")
{
    std::vector<BacklogJob> jobs(9, {.due = 1'000, .workMillis = 1'000});
    jobs.push_back({.due = 900, .workMillis = 8'000});
    CHECK(planBacklog(jobs, kTenCores, 0) == std::set<std::size_t>{9});
}

// Guards against urgent jobs that are delayed for small ones of a lower priority.
TEST_CASE("jobs of a lower priority are delayed before larger ones of a higher priority")
{
    std::vector<BacklogJob> jobs(2, {.due = 1'000, .workMillis = 5'000});
    jobs.push_back({.due = 800, .workMillis = 1'000, .priority = 1});
    CHECK(planBacklog(jobs, kTenCores, 0) == std::set<std::size_t>{2});
}

// Guards against accounts that keep to their share and wait for one that does not.
TEST_CASE("jobs over the share of their account are delayed before all others")
{
    std::vector<BacklogJob> jobs(2, {.due = 1'000, .workMillis = 5'000, .priority = 1});
    jobs.push_back({.due = 800, .workMillis = 100, .isOverShare = true});
    CHECK(planBacklog(jobs, kTenCores, 0) == std::set<std::size_t>{2});
}

// Guards against a plan that delays jobs although machines join in time, and against one that
// counts machines that join too late.
TEST_CASE("machines that join count from the time of their joining")
{
    const std::vector<BacklogJob> jobs(2, {.due = 1'000, .workMillis = 8'000});
    BacklogCapacity capacity{.cores = 10, .joiningCores = 20, .joinMs = 500};
    CHECK(planBacklog(jobs, capacity, 0).empty());
    capacity.joinMs = 900;
    CHECK(planBacklog(jobs, capacity, 0).size() == 1);
}

// Guards against an endless or failing plan for a service without workers.
TEST_CASE("without capacity all jobs are delayed")
{
    const std::vector<BacklogJob> jobs(3, {.due = 1'000, .workMillis = 1});
    CHECK(planBacklog(jobs, {}, 0).size() == 3);
}

// Answers a load of twice the capacity: in the order of due times every job ends a little late once
// the backlog has grown, and callers get nothing in time.
TEST_CASE("of a load of twice the capacity, more than half of the jobs end in time")
{
    base::Rng rng(7);
    for (int round = 0; round < 50; ++round) {
        std::vector<BacklogJob> jobs;
        double work = 0;
        for (int i = 0; i < 100; ++i) {
            jobs.push_back({.due = 500 + static_cast<Millis>(rng.below(1'500)),
                            .workMillis = 100.0 + static_cast<double>(rng.below(700))});
            work += jobs.back().workMillis;
        }
        REQUIRE(work > 1.5 * kTenCores.cores * 2'000);
        const auto deferred = planBacklog(jobs, kTenCores, 0);
        const int planned = jobsInTime(jobs, deferred);
        CHECK(planned >= static_cast<int>(jobs.size() - deferred.size()));
        CHECK(planned > 50);
        CHECK(planned > jobsInTime(jobs, {}));
    }
}

} // namespace chicorywick::scheduler
