#include <chicorywick/cluster/ownership.h>
#include <chicorywick/cluster/table_pacer.h>

#include <doctest/doctest.h>

namespace chicorywick::cluster {

using namespace std::chrono_literals;

// Guards against a new owner that starts while the old one is still in its step.
TEST_CASE("a new owner waits, and unrelated changes take nothing from an owner")
{
    const base::TimePoint start(1h);
    Ownership ownership("a", 2s);
    ownership.setMembers({{"a", "z1"}, {"b", "z1"}}, start);
    std::vector<std::string> mine;
    std::vector<std::string> others;
    for (int i = 0; i < 100; ++i) {
        const std::string key = "wave/" + std::to_string(i);
        (ownership.ownerOf(key) == "a" ? mine : others).push_back(key);
    }
    REQUIRE_FALSE(mine.empty());
    REQUIRE_FALSE(others.empty());
    CHECK_FALSE(ownership.isMine(mine.front(), "", start + 1s));
    CHECK(ownership.isMine(mine.front(), "", start + 2s));
    ownership.setMembers({{"a", "z1"}}, start + 10s);
    CHECK(ownership.isMine(mine.front(), "", start + 10s));
    CHECK_FALSE(ownership.isMine(others.front(), "", start + 11s));
    CHECK(ownership.isMine(others.front(), "", start + 12s));
    ownership.restart(start + 20s);
    CHECK_FALSE(ownership.isMine(mine.front(), "", start + 21s));
}

TEST_CASE("members of an object's zone come first")
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

// Guards against a stampede when the table comes back.
TEST_CASE("the pacer holds its share and starts slowly after an outage")
{
    TablePacer pacer({}, 1);
    pacer.setMembers(10);
    base::TimePoint now(1h);
    const auto readsIn = [&](base::Duration time) {
        int reads = 0;
        for (const base::TimePoint end = now + time; now < end; now += 1ms)
            reads += pacer.reserveReads(now) == base::Duration::zero() ? 1 : 0;
        return reads;
    };
    readsIn(1s);
    const int steady = readsIn(1s);
    CHECK(steady >= 60);
    CHECK(steady <= 68);
    pacer.noteUnavailable(now);
    now += 5s;
    pacer.noteAnswer(now);
    CHECK(readsIn(1s) < 20);
    now += 10s;
    readsIn(1s);
    CHECK(readsIn(1s) >= 60);
}

} // namespace chicorywick::cluster
