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

/// @brief A request as its caller saw it end.
struct FinishedRequest
{
    std::string service;
    /// Value of X-Request-Outcome; "unknown" also for a response that was cut off while it was
    /// passed on.
    std::string outcome;
    int status = 0;
    base::Duration latency{};

    bool operator==(const FinishedRequest &) const = default;
};

/// @brief Address and limits of the listener for callers.
struct CallerProxyOptions
{
    std::string host = "127.0.0.1";
    /// Port 0 lets the kernel choose.
    int port = 0;
    /// Requests read, queued or in flight at once, each on a thread that starts when first needed.
    std::size_t maxThreads = 512;
    /// Open connections; one that waits for its next request holds no thread.
    std::size_t maxConnections = 4096;
    /// Requests that wait for a thread; more are rejected as not-run.
    std::size_t maxWaitingRequests = 256;
    std::size_t maxHeaderBytes = 32UL * 1024;
    std::size_t maxBodyBytes = 1024UL * 1024;
    /// Responses of known length above this are passed on while they arrive.
    std::size_t streamingThresholdBytes = 256UL * 1024;
    /// Chunked responses, and responses to requests with a key, are held whole up to this size.
    std::size_t maxResponseBufferBytes = 4UL * 1024 * 1024;
    /// Bytes of all responses held whole at once.
    std::size_t maxTotalBufferedBytes = 128UL * 1024 * 1024;
    base::Duration defaultDeadline = std::chrono::seconds(10);
    base::Duration maxDeadline = std::chrono::seconds(25);
    base::Duration readTimeout = std::chrono::seconds(10);
    base::Duration idleTimeout = std::chrono::seconds(60);
    /// Shorter than the first repeat of a lost connection request (1 s): another upstream is tried
    /// instead.
    base::Duration connectTimeout = std::chrono::milliseconds(500);
    /// Time for writing a response after the request's deadline.
    base::Duration writeGrace = std::chrono::seconds(2);
    int maxAttempts = 3;
    /// Called on the request's thread at the end of each request, for metrics; must not block.
    std::function<void(const FinishedRequest &)> onFinished;
};

/// @brief Counters of a listener for callers since it was opened.
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

/// @brief The HTTP listener for callers: forwards requests to upstreams and answers truthfully.
class CallerProxy
{
public:
    /// @brief Opens the listener. Without a store, requests with a key are rejected as not-run.
    static base::Result<std::unique_ptr<CallerProxy>> open(CallerProxyOptions options,
                                                           std::shared_ptr<Dispatcher> dispatcher,
                                                           std::shared_ptr<IdempotencyStore> store,
                                                           base::Clock clock = base::Clock());
    ~CallerProxy();
    CallerProxy(const CallerProxy &) = delete;
    CallerProxy &operator=(const CallerProxy &) = delete;

    int port() const;

    /// @brief Rejects new requests as not-run from now on; requests in flight go on.
    void beginDrain();

    /// @brief Drains, waits for the requests in flight, tells idle callers, and closes. The wait
    /// is bounded by the deadlines of the requests.
    void stop();

    CallerProxyCounters counters() const;

private:
    struct Impl;
    explicit CallerProxy(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace chicorywick::serving
