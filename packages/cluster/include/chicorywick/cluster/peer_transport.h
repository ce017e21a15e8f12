#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>
#include <chicorywick/cluster/member.h>

#include <functional>
#include <memory>

namespace chicorywick::cluster {

/// @brief Version of the messages between entry instances. Other versions are rejected.
constexpr std::uint32_t kPeerProtocolVersion = 1;
constexpr std::size_t kMaxPeerMessageBytes = 64UL * 1024;

/// @brief Listening address and limits of the transport.
struct PeerTransportOptions
{
    std::string deployment;
    /// IP address and port. With port 0 the kernel chooses a port.
    std::string listenAddress = "127.0.0.1:0";
    /// Messages queued per peer. Further messages are dropped.
    int highWaterMark = 64;
    /// Maximum number of outgoing connections. The least recently used one is closed first.
    std::size_t maxConnections = 128;
};

/// @brief Traffic counters of a transport since its start.
struct PeerTraffic
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t droppedSends = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t refusedDeployment = 0;
    std::uint64_t refusedVersion = 0;
    std::uint64_t refusedMalformed = 0;
    std::uint64_t refusedSize = 0;

    bool operator==(const PeerTraffic &) const = default;
};

/// @brief Sends and receives peer messages over ZeroMQ. Only wake() and traffic() are thread-safe.
///
/// Sending does not block. A message is dropped if the queue of its peer is full, because all
/// messages are hints.
class PeerTransport
{
public:
    static base::Result<std::unique_ptr<PeerTransport>> open(const PeerTransportOptions &options);
    ~PeerTransport();

    /// @brief The listening address with the actual port.
    const std::string &address() const;

    void send(const OutgoingMessage &outgoing);

    /// @brief Waits for messages or wake() and passes accepted messages to the callback.
    void poll(base::Duration timeout, const std::function<void(const v1::PeerMessage &)> &receive);

    /// @brief Interrupts poll() from another thread.
    void wake();

    PeerTraffic traffic() const;

private:
    struct Impl;
    explicit PeerTransport(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// @brief Decodes a message. Rejects oversized and malformed messages, other protocol versions and
/// other deployments.
base::Result<v1::PeerMessage> decodePeerMessage(const void *bytes, std::size_t size,
                                                const std::string &deployment);

} // namespace chicorywick::cluster
