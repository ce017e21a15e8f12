#pragma once

#include "hosted_deployment.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chicorywick::hosted {

/// @brief A connection to a listener that its client uses without regard to limits.
class HostileCaller
{
public:
    explicit HostileCaller(std::uint16_t port);

    /// @brief Sends a text; false once the connection is closed or not read any more.
    bool send(const std::string &text);

    /// @brief Sends a text again and again, up to a number of bytes.
    void repeat(const std::string &text, std::size_t bytes);

    /// @brief Reads until a number of responses has arrived, or the connection is closed or silent
    /// for seconds.
    void awaitResponses(int count);

private:
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::socket socket_;
    boost::system::error_code error_;
};

using HostileCallers = std::vector<std::unique_ptr<HostileCaller>>;

/// @brief The request line and the host of a submission, and further fields.
std::string head(const std::string &id, const std::string &fields);

/// @brief Opens a number of connections and sends a text on each.
HostileCallers openConnections(std::uint16_t port, int count, const std::string &text);

/// @brief Limits that a daemon of these tests has to keep.
struct HostileBounds
{
    std::string settings = R"({"caller_buffer_kib":1024,"caller_connections":50})";
    std::int64_t maxGrowthKib = 24 * 1024;
    std::size_t maxFurtherDescriptors = 50 + 32;

    bool operator==(const HostileBounds &) const = default;
};

/// @brief A deployment of one daemon with lowered limits, and its use of memory and descriptors.
class LimitedDeployment
{
public:
    explicit LimitedDeployment(HostileBounds bounds = {});

    HostedDeployment &deployment() { return deployment_; }
    std::uint16_t callerPort() const { return deployment_.callerPort(0); }

    /// @brief Kills the daemon and starts another one in its place. The growth counts from the
    /// memory that the first one had when it was idle.
    void replaceDaemon();

    /// @brief Checks the state of the daemon while the connections of the hostile callers are still
    /// open.
    void check();

private:
    std::string processPath() const;
    std::int64_t memoryKib(const std::string &field) const;
    std::size_t descriptors() const;
    void awaitLeadership();

    HostileBounds bounds_;
    mutable HostedDeployment deployment_{1, 2, 8};
    std::int64_t memoryBefore_ = 0;
    std::size_t descriptorsBefore_ = 0;
};

} // namespace chicorywick::hosted
