#pragma once

#include <chicorywick/twirp/router.h>

#include <memory>

namespace chicorywick::twirp {

/// @brief Address, access and limits of a Twirp listener.
struct ListenerOptions
{
    std::string host = "127.0.0.1";
    /// 0 binds to a free port.
    int port = 0;
    int threads = 8;
    std::size_t maxBodyBytes = 1024 * 1024;
    /// Bearer token; empty disables authentication.
    std::string token;
};

/// @brief Serves a Router over HTTP on its own threads until stopped or destroyed.
class Listener
{
public:
    static base::Result<std::unique_ptr<Listener>> open(ListenerOptions options, Router router);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    int port() const;

    /// @brief Stops accepting connections and waits for the calls in flight.
    void stop();

private:
    struct Impl;
    explicit Listener(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

/// @brief Compares two secrets in time that depends only on the length of the first.
bool constantTimeEquals(std::string_view expected, std::string_view given);

} // namespace chicorywick::twirp
