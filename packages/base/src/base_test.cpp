#include <chicorywick/base/backoff.h>
#include <chicorywick/base/hash.h>
#include <chicorywick/base/log_event.h>
#include <chicorywick/base/rcu_cell.h>
#include <chicorywick/base/result.h>
#include <chicorywick/base/token_bucket.h>
#include <chicorywick/base/unique_id.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <set>
#include <thread>
#include <vector>

namespace chicorywick::base {

using namespace std::chrono_literals;

// Guards against a duplicate or misplaced row when a code is added to the catalogue.
TEST_CASE("result codes are unique and ascending")
{
    const auto codes = allCodes();
    for (std::size_t i = 1; i < codes.size(); ++i)
        CHECK(static_cast<int>(codes[i - 1].code) < static_cast<int>(codes[i].code));
}

// Guards against a duplicate or misplaced row when an event is added to the catalogue.
TEST_CASE("log events are unique and ascending")
{
    const auto events = allEvents();
    for (std::size_t i = 1; i < events.size(); ++i)
        CHECK(static_cast<int>(events[i - 1].event) < static_cast<int>(events[i].event));
}

// Guards against log injection: a line break in a value must not start a second line.
TEST_CASE("log fields are quoted")
{
    const std::string line =
            formatEvent(Event::DaemonStarted, {{"zone", "z1"}, {"note", "a\nb \"c\""}});
    CHECK(line == "CW1001 daemon.started zone=z1 note=\"a b \\\"c\\\"\"");
}

// Guards against a burst over the limit after a long idle period.
TEST_CASE("a token bucket refills at its rate and not above its burst")
{
    TokenBucket bucket({.tokensPerSecond = 10, .burst = 2});
    const TimePoint start(1h);
    CHECK(bucket.tryTake(start, 2));
    CHECK_FALSE(bucket.tryTake(start));
    CHECK(bucket.tryTake(start + 100ms));
    CHECK(bucket.available(start + 1h) == doctest::Approx(2));
}

// Guards against applying a new rate to the time before the change.
TEST_CASE("a token bucket applies a changed rate from the change on")
{
    TokenBucket bucket({.tokensPerSecond = 10, .burst = 100});
    const TimePoint start(1h);
    CHECK(bucket.tryTake(start, 100));
    bucket.setRate(start + 1s, 2);
    CHECK(bucket.available(start + 1s) == doctest::Approx(10));
    CHECK(bucket.available(start + 2s) == doctest::Approx(12));
}

// Guards against tokens gained from a clock that steps back and then advances again.
TEST_CASE("a token bucket adds no tokens when the clock steps back")
{
    TokenBucket bucket({.tokensPerSecond = 1, .burst = 1});
    const TimePoint start(1h);
    CHECK(bucket.tryTake(start));
    CHECK_FALSE(bucket.tryTake(start - 10min));
    CHECK_FALSE(bucket.tryTake(start - 10min + 500ms));
}

// Guards against delays that keep doubling during a long outage.
TEST_CASE("a backoff stays within its maximum")
{
    Rng rng(7);
    Backoff backoff({.initial = 10ms, .maximum = 80ms});
    for (int i = 0; i < 100; ++i)
        CHECK(backoff.next(rng) <= 80ms);
}

// Guards against reassigning the keys of the remaining nodes when a node leaves.
TEST_CASE("rendezvous hashing moves only the keys of the node that left")
{
    const std::vector<std::string> before{"a", "b", "c", "d"};
    const std::vector<std::string> after{"a", "b", "d"};
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string &owner = before[*rendezvousPick(key, before)];
        if (owner != "c")
            CHECK(after[*rendezvousPick(key, after)] == owner);
    }
    CHECK_FALSE(rendezvousPick("key", std::vector<std::string>{}).has_value());
}

// Guards against a reader that sees a freed or partly written value while it is replaced.
TEST_CASE("RCU readers see whole values while a writer replaces them")
{
    using Pair = std::array<int, 2>;
    RcuCell<Pair> cell(std::make_unique<const Pair>(Pair{0, 0}));
    std::atomic<bool> done{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&] {
            while (!done)
                torn += cell.read([](const Pair &pair) { return pair[0] == pair[1] ? 0 : 1; });
        });
    }
    for (int value = 1; value <= 200; ++value)
        cell.publish(std::make_unique<const Pair>(Pair{value, value}));
    done = true;
    for (std::thread &reader : readers)
        reader.join();
    CHECK(torn == 0);
}

// Guards against duplicate transaction tokens, with which a commit retry would mistake the write of
// another process for its own.
TEST_CASE("unique ids do not repeat")
{
    std::set<std::string> ids;
    for (int i = 0; i < 10000; ++i)
        ids.insert(uniqueId());
    CHECK(ids.size() == 10000);
}

TEST_CASE("a result holds a value or an error")
{
    const Result<int> good = 3;
    const Result<int> bad = makeError(Code::NotFound, "pool 'x'");
    CHECK(good.value() == 3);
    CHECK(bad.error().code == Code::NotFound);
    CHECK(bad.error().message == "the named object does not exist: pool 'x'");
}

} // namespace chicorywick::base
