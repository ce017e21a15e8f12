#pragma once

#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/worker_orders.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief The host and path prefix under which callers reach a queue.
struct QueueRoute
{
    std::string host;
    std::string pathPrefix;
    scheduler::QueuePolicy policy;
    bool allowsAnonymous = false; ///< serves callers without an API key

    bool operator==(const QueueRoute &) const = default;
};

struct ServiceSetup
{
    bool isSpare = false; ///< its machines are powered off until they are moved to another pool

    bool operator==(const ServiceSetup &) const = default;
};

/// @brief A client account and the API keys that identify its callers.
struct ClientAccount
{
    scheduler::AccountPolicy policy;
    std::set<std::string> apiKeys;

    bool operator==(const ClientAccount &) const = default;
};

/// @brief One version of the configuration that operators write.
struct Configuration
{
    std::int64_t version = 0;
    std::vector<QueueRoute> routes;
    std::map<std::string, ServiceSetup> services;
    std::size_t maxBodyBytes = 0;
    /// Empty if the deployment has no accounts; then no request needs an API key.
    std::optional<std::vector<ClientAccount>> accounts;

    bool operator==(const Configuration &) const = default;
};

/// @brief An operator's request for maintenance of machines.
struct WaveRequest
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    std::int64_t durationMs = 0;
    int maxAtOnce = 1;

    bool operator==(const WaveRequest &) const = default;
};

/// @brief The state written by operators, or an incremental change to it.
struct OperatorState
{
    std::optional<Configuration> configuration;
    std::string configurationText; ///< stored form of the configuration
    std::vector<WaveRequest> waves;
    bool hasMore = false; ///< later changes can be missing
    Version version = 0;

    bool operator==(const OperatorState &) const = default;
};

/// @brief Reads the state written by operators and reports the progress of waves.
class OperatorPort
{
public:
    virtual ~OperatorPort() = default;
    virtual void load(const http::TransferPointer &transfer, Callback<OperatorState> done) = 0;
    virtual void watch(const WatchRequest &request, Callback<OperatorState> done) = 0;
    virtual void reportWave(std::int64_t number, bool isCompleted, Callback<bool> done) = 0;

    /// @brief Decodes the stored form of a configuration.
    virtual base::Result<Configuration> decode(const std::string &configurationText) const = 0;
};

/// @brief The discovered workers, or an incremental change to them.
struct WorkerList
{
    std::vector<scheduler::WorkerEntry> present;
    std::vector<std::string> removed;
    bool hasMore = false; ///< later changes can be missing
    Version version = 0;

    bool operator==(const WorkerList &) const = default;
};

class DiscoveryPort
{
public:
    virtual ~DiscoveryPort() = default;
    virtual void load(Callback<WorkerList> done) = 0;
    virtual void watch(const WatchRequest &request, Callback<WorkerList> done) = 0;
};

enum class MachineState { Up, Moving, InMaintenance, Down };

struct Machine
{
    std::string name;
    std::string pool;
    std::string workerId; ///< empty if no worker runs on it
    MachineState state = MachineState::Down;
    std::string zone;
    std::string rack; ///< its own name if it is in no rack

    bool operator==(const Machine &) const = default;
};

/// @brief The outcome of an order to a machine.
enum class MachineOrderStatus {
    Accepted, ///< also if the same order was carried out before
    Busy,     ///< not up, or leaving
    NotInWave,
    Fenced,
    NoSuchMachine,
    Unavailable, ///< not carried out
    Unknown,
};

/// @brief The platform's machine control. Orders name the leader and carry its fencing token.
class MachinePort
{
public:
    virtual ~MachinePort() = default;
    virtual void list(Callback<std::vector<Machine>> done) = 0;
    virtual void move(const std::string &machine, const std::string &pool, std::int64_t fence,
                      scheduler::OrderValidity validity,
                      std::function<void(MachineOrderStatus)> done) = 0;
    virtual void maintain(const std::string &machine, std::int64_t wave, std::int64_t fence,
                          scheduler::OrderValidity validity,
                          std::function<void(MachineOrderStatus)> done) = 0;
};

} // namespace chicorywick::entry
