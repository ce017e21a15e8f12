#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>
#include <chicorywick/serving/dispatcher.h>
#include <chicorywick/serving/idempotency_store.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicorywick::serving {

/// @brief Result of a request as reported to its caller.
struct FinishedRequest
{
    std::string service;
    /// Value of X-Request-Outcome; also "unknown" if a response was truncated while it was
    /// streamed.
    std::string outcome;
    int status = 0;
    base::Duration latency{};

    bool operator==(const FinishedRequest &) const = default;
};

/// @brief Address and limits of the listener for callers.
struct CallerProxyOptions
{
    std::string host = "127.0.0.1";
    /// With port 0, the kernel chooses a port.
    int port = 0;
    /// Requests read, queued or in flight at once. Each uses one thread; threads start on demand.
    std::size_t maxThreads = 512;
    /// Open connections; an idle connection uses no thread.
    std::size_t maxConnections = 4096;
    /// Requests that wait for a thread; further requests are rejected as not-run.
    std::size_t maxWaitingRequests = 256;
    std::size_t maxHeaderBytes = 32UL * 1024;
    std::size_t maxBodyBytes = 1024UL * 1024;
    /// Responses of known length above this size are streamed instead of buffered.
    std::size_t streamingThresholdBytes = 256UL * 1024;
    /// Largest response buffered whole: chunked responses and responses to requests with an
    /// idempotency key.
    std::size_t maxResponseBufferBytes = 4UL * 1024 * 1024;
    /// Total size of all responses buffered at once.
    std::size_t maxTotalBufferedBytes = 128UL * 1024 * 1024;
    base::Duration defaultDeadline = std::chrono::seconds(10);
    base::Duration maxDeadline = std::chrono::seconds(25);
    base::Duration readTimeout = std::chrono::seconds(10);
    base::Duration idleTimeout = std::chrono::seconds(60);
    /// Shorter than the first TCP SYN retransmission (1 s), so that the proxy tries another
    /// upstream instead of waiting for it.
    base::Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time allowed for writing a response after the request's deadline.
    base::Duration writeGrace = std::chrono::seconds(2);
    int maxAttempts = 3;
    /// Called on the request's thread when a request ends, for metrics. Must not block.
    std::function<void(const FinishedRequest &)> onFinished;
};

/// @brief Counters since the listener was opened.
struct CallerProxyCounters
{
    std::uint64_t completed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t callersDisconnected = 0;
    std::uint64_t retries = 0;
    std::size_t openConnections = 0;
    std::size_t activeRequests = 0;
    std::size_t threads = 0;

    bool operator==(const CallerProxyCounters &) const = default;
};

/// @brief HTTP listener for callers. Forwards requests to upstreams and reports for each whether it
/// completed, did not run or has an unknown outcome.
class CallerProxy
{
public:
    /// @brief Opens the listener. Without a store, requests with an idempotency key are rejected as
    /// not-run.
    static base::Result<std::unique_ptr<CallerProxy>> open(CallerProxyOptions options,
                                                           std::shared_ptr<Dispatcher> dispatcher,
                                                           std::shared_ptr<IdempotencyStore> store,
                                                           base::Clock clock = base::Clock());
    ~CallerProxy();
    CallerProxy(const CallerProxy &) = delete;
    CallerProxy &operator=(const CallerProxy &) = delete;

    int port() const;

    /// @brief Rejects new requests as not-run from now on; requests in flight continue.
    void beginDrain();

    /// @brief Drains, waits for the requests in flight, sends a rejection on idle connections and
    /// closes them. The deadlines of the requests bound the wait.
    void stop();

    CallerProxyCounters counters() const;

private:
    struct Impl;
    explicit CallerProxy(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace chicorywick::serving
