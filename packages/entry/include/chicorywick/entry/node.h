#pragma once

#include <chicorywick/entry/caller_codec.h>
#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/metrics.h>
#include <chicorywick/http/message.h>

#include <functional>
#include <memory>
#include <optional>
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
    std::int64_t memoryMib = 0;            ///< of the machine; larger ones lead first
    int machinesPerCell = 280;             ///< at most; used when the fleet is first divided
    bool controlsOverload = false;         ///< jobs that cost callers least wait under overload
    std::size_t callerConnections = 2'000; ///< open connections of callers
    /// Memory for requests of callers; by default an eighth of that of the machine, at most 40 MiB.
    std::optional<std::size_t> callerBufferBytes;
    std::size_t peerConnections = 1'200; ///< open connections of other instances
    std::size_t peerBufferBytes = 16 * 1024 * 1024;
    /// Memory for the jobs of a cell beyond which further ones are refused; by default a quarter of
    /// that of the machine.
    std::optional<std::int64_t> jobMemoryBytes;
    scheduler::Millis machineOrderGapMs = 3'000; ///< between two leaders' orders for one machine
    scheduler::Millis maxLeaseMs = 6'000;        ///< longest lease that a worker grants
    /// From an acknowledged cancellation to the last start of a task of its job.
    scheduler::Millis cancelMs = 3'000;
    /// From an acknowledged change of the configuration until it is in force.
    scheduler::Millis configurationDelayMs = 2'000;
    scheduler::Millis stopGraceMs = 6'000;         ///< from the stop signal to the forced kill
    scheduler::Millis statusRetentionMs = 120'000; ///< how long ended jobs stay visible

    bool operator==(const NodeSettings &) const = default;
};

/// @brief One entry instance: accepts callers' jobs and schedules those of the cells that it leads.
class Node
{
public:
    Node(NodeSettings settings, ControllerPorts ports, const CallerCodec &codec,
         const Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    base::Result<void> start();

    /// @brief Reports not ready, releases leadership, finishes open requests, then calls stopped.
    void stop(const std::function<void()> &stopped);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// @brief Milliseconds of a steady clock that includes suspend time, and of the wall clock.
scheduler::Now systemNow();

} // namespace chicorywick::entry
