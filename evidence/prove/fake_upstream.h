#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/serving/routing_table.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chicorywick::prove {

/// @brief How a fake upstream treats one request.
enum class UpstreamFault {
    None,
    ChunkedResponse,
    OwnError,
    NoContent,
    SlowBody,
    Refuse,
    ResetBeforeRun,
    ResetAfterRun,
    CloseBeforeResponse,
    ResetAfterFirstByte,
    CloseInHead,
    TruncateBody,
    TruncateChunked,
    LateResponse,
    CloseAfterResponse,
    ResponseWithoutLength,
    Garbage,
    ExtraBytes,
};

/// @brief Probabilities of faults in percent; the rest is served normally.
struct UpstreamPlan
{
    unsigned faultPercent = 50;
    std::chrono::milliseconds late = std::chrono::milliseconds(300);
    std::chrono::milliseconds serviceTime = std::chrono::milliseconds(0);
    std::size_t maxBodyBytes = 200'000;
};

/// @brief What one upstream did with a request; the upstream's own record.
struct UpstreamRecord
{
    std::string id;
    std::string upstream;
    UpstreamFault fault = UpstreamFault::None;
    bool ran = false;
};

/// @brief The body that belongs to a request, of a given size.
std::string bodyFor(const std::string &id, std::size_t size);

std::string faultName(UpstreamFault fault);

/// @brief An HTTP upstream on loopback that fails in the ways of its plan. The X-Id header names a
/// request.
class FakeUpstream
{
public:
    FakeUpstream(std::string name, std::uint64_t seed, UpstreamPlan plan);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    serving::UpstreamTarget target() const;
    std::vector<UpstreamRecord> records() const;
    /// @brief Stops listening and resets all connections.
    void die();
    std::size_t openConnections() const;

private:
    struct Received
    {
        std::string method;
        std::string id;
        std::size_t bodyBytes = 0;
    };

    void acceptLoop();
    void serveConnection(int fd);
    bool receive(int fd, std::string &buffer, Received &request);
    bool answer(int fd, const Received &request, UpstreamFault fault, std::size_t size);
    UpstreamFault drawFault();
    std::size_t drawSize();
    void record(const std::string &id, UpstreamFault fault, bool ran);
    void pause(std::chrono::milliseconds time);

    std::string name_;
    UpstreamPlan plan_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    base::Rng rng_;
    std::vector<UpstreamRecord> records_;
    std::map<int, std::thread> connections_;
    std::vector<std::thread> finished_;
    std::thread acceptor_;
};

/// @brief All records of several upstreams about one request, as text for a violation.
std::string traceOf(const std::vector<UpstreamRecord> &records, const std::string &id);

} // namespace chicorywick::prove
