#include <chicorywick/base/log_stream.h>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace chicorywick::base {

namespace {

// A pipe with a non-blocking read end; it is read only when the test calls read().
struct Pipe
{
    std::array<int, 2> ends{};

    Pipe()
    {
        REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    std::string read() const
    {
        std::string all;
        std::array<char, 4096> chunk{};
        for (ssize_t got = 0; (got = ::read(ends[0], chunk.data(), chunk.size())) > 0;)
            all.append(chunk.data(), static_cast<std::size_t>(got));
        return all;
    }
};

} // namespace

TEST_CASE("an event becomes one line with time, level, node and fields")
{
    const Pipe pipe;
    LogStream stream(pipe.ends[1], "edge-1", [] { return std::int64_t{1'500}; });
    stream.write(Event::JobStarted, {{"task", "a.0.0.0"}});
    stream.flush();
    CHECK(pipe.read()
          == "1970-01-01T00:00:01.500Z level=info node=edge-1 CW6002 job.started task=a.0.0.0\n");
}

// Guards against log volume that grows with the request load.
TEST_CASE("lines over an event's rate limit are counted and reported in the next second")
{
    const Pipe pipe;
    std::int64_t now = 1'000;
    LogStream stream(pipe.ends[1], "n", [&now] { return now; }, {.linesPerEvent = 2});
    for (int i = 0; i < 5; ++i)
        stream.write(Event::JobStarted, {});
    now = 2'000;
    stream.write(Event::JobFinished, {});
    stream.flush();
    const std::string text = pipe.read();
    CHECK(std::count(text.begin(), text.end(), '\n') == 4);
    CHECK(text.find("lines=job.started:3") != std::string::npos);
}

// Guards against a cause that cannot be traced: the starts and losses of finite tasks, hundreds a
// second, displaced the few lines on lasting tasks.
TEST_CASE("lines of high priority are written beside more normal ones than the rate limit allows")
{
    const Pipe pipe;
    LogStream stream(pipe.ends[1], "n", [] { return std::int64_t{1'000}; }, {.linesPerEvent = 2});
    for (int i = 0; i < 5; ++i)
        stream.write(Event::JobStarted, {{"task", "finite"}});
    for (int i = 0; i < 5; ++i)
        stream.write(Event::JobStarted, {{"task", "lasting"}}, LogPriority::High);
    stream.flush();
    const std::string text = pipe.read();
    CHECK(std::count(text.begin(), text.end(), '\n') == 4);
    CHECK(text.find("task=lasting") != std::string::npos);
    CHECK(stream.droppedLines() == 6);
}

// Guards against a daemon that blocks on its log because the pipe is full and nobody reads it.
TEST_CASE("a full pipe drops lines and does not block the writer")
{
    const Pipe pipe;
    LogStream stream(pipe.ends[1], "n", [] { return std::int64_t{1'000}; },
                     {.linesPerEvent = 1'000'000, .bufferBytes = 10'000});
    for (int i = 0; i < 5'000; ++i) {
        stream.write(Event::JobStarted, {{"task", "a.0.0.0"}});
        stream.flush();
    }
    CHECK(stream.droppedLines() > 0);
    CHECK(!pipe.read().empty());
}

} // namespace chicorywick::base
