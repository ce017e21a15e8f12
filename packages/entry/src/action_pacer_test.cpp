#include "action_pacer.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

struct Fixture
{
    boost::asio::io_context loop;
    std::shared_ptr<ActionPacer> pacer = std::make_shared<ActionPacer>(loop);
    Clock::duration worked{0};

    // Requests the next action as soon as one has run, as a loop with events all the time does.
    void repeat(int count, std::chrono::milliseconds work)
    {
        if (count == 0)
            return;
        pacer->run([this, count, work] {
            const auto begin = Clock::now();
            std::this_thread::sleep_for(work);
            worked += Clock::now() - begin;
            repeat(count - 1, work);
        });
    }

    /// @brief Runs a number of actions and returns the time that was left for other events.
    Clock::duration restFor(int count, std::chrono::milliseconds work)
    {
        const auto begin = Clock::now();
        repeat(count, work);
        loop.run();
        return Clock::now() - begin - worked;
    }
};

} // namespace

// Guards against placement passes that leave no time for what arrives meanwhile.
TEST_CASE("long actions leave most of the loop's time to other events")
{
    Fixture fixture;
    constexpr int kActions = 10;
    constexpr auto kWork = 5ms;
    CHECK(fixture.restFor(kActions, kWork) >= 3 * kWork * (kActions - 1));
}

// Guards against pauses after actions that cost nothing.
TEST_CASE("short actions run without a pause")
{
    Fixture fixture;
    CHECK(fixture.restFor(100, 0ms) < 1s);
}

// Guards against an action that runs before the events that have already arrived.
TEST_CASE("an action runs after the events that wait")
{
    Fixture fixture;
    int events = 0;
    int eventsBefore = 0;
    boost::asio::post(fixture.loop, [&] {
        ++events;
        fixture.pacer->run([&] { eventsBefore = events; });
    });
    boost::asio::post(fixture.loop, [&] { ++events; });
    fixture.loop.run();
    CHECK(eventsBefore == 2);
}

} // namespace chicorywick::entry
