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

/// @brief Fault that a fake upstream applies to one request.
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

/// @brief Behaviour of a fake upstream. Requests without a fault are served normally.
struct UpstreamPlan
{
    unsigned faultPercent = 50;
    std::chrono::milliseconds lateResponseDelay = std::chrono::milliseconds(300);
    std::chrono::milliseconds serviceTime = std::chrono::milliseconds(0);
    std::size_t maxBodyBytes = 200'000;
};

/// @brief How an upstream handled one request.
struct UpstreamRecord
{
    std::string id;
    std::string upstream;
    UpstreamFault fault = UpstreamFault::None;
    bool ran = false;
};

/// @brief The expected response body of a request, of the given size.
std::string bodyFor(const std::string &id, std::size_t size);

std::string faultName(UpstreamFault fault);

/// @brief An HTTP upstream on loopback that injects the faults of its plan. The X-Id header
/// identifies a request.
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
    void shutDown();
    std::size_t openConnections() const;

private:
    struct ReceivedRequest
    {
        std::string method;
        std::string id;
        std::size_t bodyBytes = 0;
    };

    void acceptLoop();
    void serveConnection(int fd);
    bool receive(int fd, std::string &buffer, ReceivedRequest &request);
    bool respond(int fd, const ReceivedRequest &request, UpstreamFault fault, std::size_t size);
    UpstreamFault drawFault();
    std::size_t drawSize();
    void record(const std::string &id, UpstreamFault fault, bool ran);
    void waitUnlessStopping(std::chrono::milliseconds time);

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

/// @brief Formats all upstream records of one request for a violation.
std::string traceOf(const std::vector<UpstreamRecord> &records, const std::string &id);

} // namespace chicorywick::prove
