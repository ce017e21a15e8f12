#pragma once

#include "file_descriptor.h"
#include "message_stream.h"

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace chicorywick::serving {

/// @brief An accepted connection.
struct CallerConnection
{
    CallerConnection(FileDescriptor accepted, HeaderLimits limits)
        : socket(std::move(accepted))
        , stream(socket.get(), StreamRole::Server, limits)
    {}

    FileDescriptor socket;
    MessageStream stream;
    SteadyTime since{};
};

/// @brief Limits and callbacks of a connection server.
struct ConnectionServerOptions
{
    std::string host;
    int port = 0;
    std::size_t maxThreads = 0;
    std::size_t maxConnections = 0;
    std::size_t maxWaiting = 0;
    base::Duration idleTimeout{};
    HeaderLimits headerLimits;
    /// Serves one request. Returning false closes the connection.
    std::function<bool(CallerConnection &)> serve;
    /// A complete response sent before the server closes a connection on its own, so that a request
    /// that arrives at that moment gets a correct outcome.
    std::function<std::string()> closingResponse;
};

/// @brief Accepts connections and assigns each request to a thread.
///
/// A connection between requests is only watched and uses no thread.
class ConnectionServer
{
public:
    static base::Result<std::unique_ptr<ConnectionServer>> open(ConnectionServerOptions options);
    ~ConnectionServer();
    ConnectionServer(const ConnectionServer &) = delete;
    ConnectionServer &operator=(const ConnectionServer &) = delete;

    int port() const { return port_; }

    /// @brief Accepts the connections that are already established, serves the requests that have
    /// arrived, waits for those in flight, and closes all connections after a closing response.
    void stop();

    std::size_t openConnections() const;
    std::size_t activeRequests() const;
    std::size_t threads() const;

private:
    using Connection = std::unique_ptr<CallerConnection>;

    explicit ConnectionServer(ConnectionServerOptions options);

    base::Result<void> listen();
    void watchLoop();
    void handleEvent(int fd);
    void acceptPending();
    void addAccepted(FileDescriptor socket);
    void enqueue(Connection connection);
    void serveLoop();
    void serveRequests(Connection connection);
    void watchIdle(Connection connection);
    void beginClose(Connection connection, bool sendClosingResponse);
    void readAndDiscard(int fd);
    void closeExpired();
    bool finishStop();
    bool isStopping() const;
    void refuseNewConnections();
    void closeListener();
    void wake();

    ConnectionServerOptions options_;
    int port_ = 0;
    FileDescriptor listener_;
    SteadyTime refusingSince_{}; ///< when the listener began to drop connection requests
    FileDescriptor epoll_;
    FileDescriptor wakeUp_;

    mutable std::mutex mutex_;
    std::condition_variable arrived_;
    std::unordered_map<int, Connection> idle_;
    /// Connections in lingering close: nothing more is sent and received bytes are discarded.
    /// Closing a socket with unread bytes would reset the connection and destroy the last response.
    std::unordered_map<int, Connection> closing_;
    std::deque<Connection> waiting_;
    std::size_t active_ = 0;
    std::size_t freeThreads_ = 0;
    std::vector<std::thread> workers_;
    bool stopping_ = false;
    bool finished_ = false;
    std::thread watcher_;
};

} // namespace chicorywick::serving
