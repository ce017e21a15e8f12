#include <chicorywick/scheduler/account_rate.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace chicorywick::scheduler {

namespace {

constexpr double kJobsPerSecond = 4;
constexpr Millis kPeriodMs = 250;

} // namespace

// Guards against an account that is taken for one over its share although it keeps to it, in a
// regular flow or in a group after a pause.
TEST_CASE("jobs at the rate of the share are within it")
{
    AccountRate rate;
    for (Millis now = 0; now < 10'000; now += kPeriodMs)
        CHECK(rate.record(kJobsPerSecond, now) <= now);
    for (int job = 0; job < 4; ++job)
        CHECK(rate.record(kJobsPerSecond, 20'000) <= 20'000);
}

// Guards against an account that sends many times its usual rate and whose jobs all count as within
// its share.
TEST_CASE("of a load of eight times the share, the share and the burst come due")
{
    AccountRate rate;
    std::vector<Millis> times;
    Millis now = 5'000;
    for (int job = 0; job < 64; ++job, now += kPeriodMs / 8)
        times.push_back(rate.record(kJobsPerSecond, now));
    const auto due =
            std::count_if(times.begin(), times.end(), [now](Millis time) { return time <= now; });
    CHECK(due >= 8);     // two seconds at the rate
    CHECK(due <= 8 + 5); // the burst of a second
}

// Guards against an account that pays for minutes for a load that has ended.
TEST_CASE("the lead of the virtual clock is bounded")
{
    AccountRate rate;
    for (int job = 0; job < 10'000; ++job)
        rate.record(kJobsPerSecond, 1'000);
    CHECK(rate.record(kJobsPerSecond, 1'000) <= 11'000);
    CHECK(rate.record(kJobsPerSecond, 12'100) <= 12'100);
}

// Guards against equal treatment of the excess of accounts with different weights.
TEST_CASE("the excess of an account with twice the share advances half as fast")
{
    AccountRate small;
    AccountRate large;
    Millis smallTime = 0;
    Millis largeTime = 0;
    for (int job = 0; job < 20; ++job) {
        smallTime = small.record(kJobsPerSecond, 1'000);
        largeTime = large.record(2 * kJobsPerSecond, 1'000);
    }
    CHECK(smallTime - 1'000 > largeTime - 1'000);
    CHECK(smallTime == 19 * kPeriodMs);
    CHECK(largeTime == 19 * kPeriodMs / 2);
}

// Guards against a weight of 0 that ends in a division by zero or blocks an account for good.
TEST_CASE("an account without weight is over its share and not stuck")
{
    AccountRate rate;
    for (int job = 0; job < 3; ++job) // the burst
        CHECK(rate.record(0, 1'000) <= 1'000);
    CHECK(rate.record(0, 1'000) == 11'000);
    CHECK(rate.record(0, 300'000) <= 300'000);
}

} // namespace chicorywick::scheduler
