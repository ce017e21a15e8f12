#include "announcer.h"
#include "peer_client.h"

#include <chicorywick/entry/layout.h>
#include <chicorywick/http/server.h>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

const CellRows kRows(0, 1);

Row jobRow(const std::string &id)
{
    return {.key = kRows.jobRow(id), .value = "v", .version = 1};
}

Row cancelRow(const std::string &id)
{
    return {.key = kRows.cancelRow(id), .value = "{}", .version = 2};
}

/// @brief An announcer over a leader that the test plays.
struct Fixture
{
    boost::asio::io_context loop;
    std::vector<std::string> received; ///< row keys
    std::vector<std::function<void(bool)>> held;
    int refusals = 0; ///< answers before the first confirmation
    bool isSilent = false;
    std::shared_ptr<Announcer> announcer = std::make_shared<Announcer>(
            loop, [this](int /*cell*/, const Row &row, std::function<void(bool)> done) {
                received.push_back(row.key.key);
                if (isSilent)
                    return held.push_back(std::move(done));
                done(refusals-- <= 0);
            });

    void run(std::chrono::milliseconds duration)
    {
        loop.restart();
        loop.run_for(duration);
    }
};

/// @brief A daemon that answers announcements, and whether it leads the cell.
struct LeaderFixture
{
    boost::asio::io_context loop;
    bool isLeader = true;
    std::vector<Row> applied;
    http::Server server{loop, [this](const http::Request &request, const http::Responder &respond) {
                            const auto announced = parseAnnouncedRow(request);
                            REQUIRE(announced);
                            respond(answerAnnouncement(*announced, [this](const AnnouncedRow &row) {
                                applied.push_back(row.row);
                                return isLeader;
                            }));
                        }};
    PeerClient peers{loop, "127.0.0.1:1"};
    std::vector<bool> confirmed;

    void announce(const Row &row)
    {
        peers.announce(0, row, [this](bool isConfirmed) { confirmed.push_back(isConfirmed); });
        loop.restart();
        loop.run_for(200ms);
    }
};

} // namespace

// Guards against a cancellation that the leader reads seconds later because one message was lost.
TEST_CASE("a cancellation is announced again until the leader has confirmed it")
{
    Fixture fixture;
    fixture.refusals = 2;
    fixture.announcer->announce(0, cancelRow("a"));
    fixture.run(3s);
    CHECK(fixture.received == std::vector<std::string>(3, cancelRow("a").key.key));
}

// Guards against messages without end to a leader that cannot be reached.
TEST_CASE("the announcements of a cancellation are bounded")
{
    Fixture fixture;
    fixture.refusals = 1'000;
    fixture.announcer->announce(0, cancelRow("a"));
    fixture.run(4s);
    CHECK(fixture.received.size() > 1);
    CHECK(fixture.received.size() <= 5);
}

// Guards against an overloaded leader that gets each job several times; its watch shows them.
TEST_CASE("a job is announced once")
{
    Fixture fixture;
    fixture.refusals = 1;
    fixture.announcer->announce(0, jobRow("a"));
    fixture.run(1s);
    CHECK(fixture.received.size() == 1);
}

// Guards against a queue of messages that grows while the leader does not answer.
TEST_CASE("the announcements without an answer are bounded")
{
    Fixture fixture;
    fixture.isSilent = true;
    for (int job = 0; job < 200; ++job)
        fixture.announcer->announce(0, cancelRow(std::to_string(job)));
    CHECK(fixture.received.size() == 64);
    fixture.isSilent = false;
    for (const auto &done : fixture.held)
        done(true);
    fixture.run(3s);
    CHECK(fixture.received.size() == 200);
}

// Guards against an announcement that counts as delivered at a daemon that leads the cell no more.
TEST_CASE("only the leader of a cell confirms an announcement")
{
    LeaderFixture fixture;
    REQUIRE(fixture.server.listen({.host = "127.0.0.1"}));
    fixture.announce(cancelRow("a"));
    CHECK(fixture.confirmed == std::vector<bool>{false}); // no leader is known
    fixture.peers.setLeader(0, "127.0.0.1:" + std::to_string(fixture.server.port()));
    fixture.isLeader = false;
    fixture.announce(cancelRow("a"));
    CHECK(fixture.confirmed == std::vector<bool>{false, false});
    fixture.isLeader = true;
    fixture.announce(cancelRow("a"));
    CHECK(fixture.confirmed == std::vector<bool>{false, false, true});
    CHECK(fixture.applied.back() == cancelRow("a"));
}

// Guards against a malformed message that is confirmed.
TEST_CASE("a malformed announcement is refused")
{
    const auto announced =
            parseAnnouncedRow({.method = "POST", .target = "/cells/0/rows", .body = "["});
    REQUIRE(announced);
    constexpr int kBadRequest = 400;
    CHECK(answerAnnouncement(*announced, [](const AnnouncedRow &) { return true; }).status
          == kBadRequest);
}

} // namespace chicorywick::entry
