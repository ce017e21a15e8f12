#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>
#include <chicorywick/cluster/member.h>

#include <functional>
#include <memory>

namespace chicorywick::cluster {

/// @brief Version of the messages between entry instances; others are refused.
constexpr std::uint32_t kPeerProtocolVersion = 1;
constexpr std::size_t kMaxPeerMessageBytes = 64UL * 1024;

/// @brief Where the transport listens and what it accepts.
struct PeerTransportOptions
{
    std::string deployment;
    /// IP address and port; port 0 lets the kernel choose.
    std::string listenAddress = "127.0.0.1:0";
    /// Messages queued per peer before further ones are dropped.
    int highWaterMark = 64;
    /// OutgoingMessage connections kept; the one unused longest is closed first.
    std::size_t maxConnections = 128;
};

/// @brief Traffic of a transport since its start.
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

/// @brief Carries peer messages over ZeroMQ; used by one thread, except wake().
///
/// Nothing here blocks: a message to a peer that does not take it is dropped, because all messages
/// are hints.
class PeerTransport
{
public:
    static base::Result<std::unique_ptr<PeerTransport>> open(const PeerTransportOptions &options);
    ~PeerTransport();

    /// @brief The address with the port that the kernel chose.
    const std::string &address() const;

    void send(const OutgoingMessage &outgoing);

    /// @brief Waits for messages or wake() and hands over those that are accepted.
    void poll(base::Duration timeout, const std::function<void(const v1::PeerMessage &)> &receive);

    /// @brief Ends a poll from another thread.
    void wake();

    PeerTraffic traffic() const;

private:
    struct Impl;
    explicit PeerTransport(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// @brief Decodes a message and refuses foreign, malformed or oversized ones.
base::Result<v1::PeerMessage> decodePeerMessage(const void *bytes, std::size_t size,
                                                const std::string &deployment);

} // namespace chicorywick::cluster
