#include <chicorywick/cluster/ownership.h>
#include <chicorywick/cluster/table_rate_limiter.h>

#include <doctest/doctest.h>

namespace chicorywick::cluster {

using namespace std::chrono_literals;

// Guards against two owners at work: after a membership change or a pause the new owner must not
// start while the previous owner still runs its step.
TEST_CASE("a new owner waits for the settle time, and other changes do not affect an owner")
{
    const base::TimePoint start(1h);
    Ownership ownership("a", 2s);
    ownership.setMembers({{"a", "z1"}, {"b", "z1"}}, start);
    std::vector<std::string> owned;
    std::vector<std::string> others;
    for (int i = 0; i < 100; ++i) {
        const std::string key = "wave/" + std::to_string(i);
        (ownership.ownerOf(key) == "a" ? owned : others).push_back(key);
    }
    REQUIRE_FALSE(owned.empty());
    REQUIRE_FALSE(others.empty());
    CHECK_FALSE(ownership.isOwner(owned.front(), "", start + 1s));
    CHECK(ownership.isOwner(owned.front(), "", start + 2s));
    ownership.setMembers({{"a", "z1"}}, start + 10s);
    CHECK(ownership.isOwner(owned.front(), "", start + 10s));
    CHECK_FALSE(ownership.isOwner(others.front(), "", start + 11s));
    CHECK(ownership.isOwner(others.front(), "", start + 12s));
    ownership.restartSettling(start + 20s);
    CHECK_FALSE(ownership.isOwner(owned.front(), "", start + 21s));
}

// Guards against an owner in another zone while the zone of the object has members, and against an
// object without an owner because its zone has none.
TEST_CASE("members of an object's zone are preferred as owners")
{
    Ownership ownership("a");
    ownership.setMembers({{"a", "z1"}, {"b", "z2"}, {"c", "z2"}}, base::TimePoint(1h));
    for (int i = 0; i < 50; ++i) {
        const std::string key = std::to_string(i);
        CHECK(ownership.ownerOf(key, "z1") == "a");
        CHECK(ownership.ownerOf(key, "z2") != "a");
        CHECK_FALSE(ownership.ownerOf(key, "z9").empty());
    }
}

// Guards against a thundering herd: after an outage all daemons access the recovered table at the
// same time.
TEST_CASE("the rate limiter keeps to its share and ramps up after an outage")
{
    TableRateLimiter limiter({}, 1);
    limiter.setMembers(10);
    base::TimePoint now(1h);
    const auto grantedReads = [&](base::Duration time) {
        int reads = 0;
        for (const base::TimePoint end = now + time; now < end; now += 1ms)
            reads += limiter.reserveReads(now) == base::Duration::zero() ? 1 : 0;
        return reads;
    };
    grantedReads(1s);
    const int steady = grantedReads(1s);
    CHECK(steady >= 60);
    CHECK(steady <= 68);
    limiter.recordUnavailable(now);
    now += 5s;
    limiter.recordSuccess(now);
    CHECK(grantedReads(1s) < 20);
    now += 10s;
    grantedReads(1s);
    CHECK(grantedReads(1s) >= 60);
}

} // namespace chicorywick::cluster
