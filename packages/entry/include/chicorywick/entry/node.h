#pragma once

#include <chicorywick/entry/caller_codec.h>
#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/metrics.h>
#include <chicorywick/http/message.h>

#include <functional>
#include <memory>
#include <string>

namespace chicorywick::entry {

/// @brief Settings of an entry instance on a platform.
struct NodeSettings
{
    std::string name;
    http::Endpoint callers;
    http::Endpoint readiness;
    http::Endpoint peers;
    http::Endpoint metrics;
    std::int64_t memoryMib = 0;                    ///< of the machine; a larger one leads first
    scheduler::Millis maxLeaseMs = 6'000;          ///< longest lease that a worker grants
    scheduler::Millis stopGraceMs = 6'000;         ///< from a stop signal to a kill
    scheduler::Millis statusRetentionMs = 120'000; ///< how long ended jobs must be known

    bool operator==(const NodeSettings &) const = default;
};

/// @brief One entry instance: accepts callers' jobs and, while it is the leader, drives them.
class Node
{
public:
    Node(NodeSettings settings, ControllerPorts ports, const CallerCodec &codec,
         const Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    base::Result<void> start();

    /// @brief Leaves the rotation, hands over its duties, finishes requests, then calls back.
    void stop(const std::function<void()> &stopped);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// @brief Milliseconds of a steady clock that counts suspensions, and of the time of day.
scheduler::Now systemNow();

} // namespace chicorywick::entry
