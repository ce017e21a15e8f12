#pragma once

#include "../e2e/child_process.h"
#include "hosted_runner.h"
#include "hosted_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace chicorywick::hosted {

/// @brief A job of two steps with three and two tasks.
struct HostedJob
{
    std::string spec = "work";
    std::chrono::milliseconds estimate{300}; ///< of each task

    bool operator==(const HostedJob &) const = default;
};

/// @brief Runs entry instances as separate processes; the platform stand-ins share one event loop.
class HostedDeployment
{
public:
    /// @brief Each runner is a rack of its own, so that a small size gives several cells.
    /// Every second one has a new id after a crash.
    HostedDeployment(int daemons, int runners, std::uint64_t seed, int machinesPerCell = 280,
                     std::chrono::milliseconds runnerDownTime = CrashBehaviour().downTime);
    ~HostedDeployment();
    HostedDeployment(const HostedDeployment &) = delete;
    HostedDeployment &operator=(const HostedDeployment &) = delete;

    /// @brief Starts a daemon, in place of a running one. The extra settings, a JSON object, go
    /// before the usual ones.
    void startDaemon(int number, const std::string &extraSettings = "{}");
    e2e::ChildProcess &daemon(int number) { return *daemons_[static_cast<std::size_t>(number)]; }
    std::uint16_t callerPort(int number) const
    {
        return ports_[static_cast<std::size_t>(number)][0];
    }
    std::uint16_t readinessPort(int number) const
    {
        return ports_[static_cast<std::size_t>(number)][1];
    }
    std::uint16_t peerPort(int number) const { return ports_[static_cast<std::size_t>(number)][2]; }
    std::uint16_t metricsPort(int number) const
    {
        return ports_[static_cast<std::size_t>(number)][3];
    }
    int daemonCount() const { return static_cast<int>(daemons_.size()); }

    /// @brief Waits up to 20 s per daemon for readiness; returns false if one is not ready.
    bool waitUntilReady();

    /// @brief Submits a job to a daemon; returns the HTTP status, or 0 without a response.
    int submit(int daemon, const std::string &id, const HostedJob &job = {}) const;

    /// @brief Like submit(), with a body as it is to be sent.
    int submitText(int daemon, const std::string &id, const std::string &body) const;

    /// @brief Cancels a job; returns the HTTP status, or 0 without a response.
    int cancel(int daemon, const std::string &id) const;

    /// @brief Like submit(), for a job of one task that crashes each runner that starts it.
    int submitCrashing(int daemon, const std::string &id) const;

    /// @brief Returns the job state that a daemon reports; empty unless the status is 200.
    std::optional<std::string> stateOf(int daemon, const std::string &id) const;

    /// @brief Returns the metrics page of a daemon; empty without a response.
    std::string metrics(int daemon) const;

    /// @brief Stores a configuration, a JSON object.
    void configure(const std::string &configuration);
    std::uint16_t storePort() const { return store_.port(); }

    /// @brief Extra settings of a daemon that reaches the store at another port, that of a proxy.
    static std::string storeSettings(std::uint16_t port)
    {
        return R"({"store":"127.0.0.1:)" + std::to_string(port) + "\"}";
    }

    /// @brief Like submit(), with an API key.
    int submitWithKey(int daemon, const std::string &id, const std::string &apiKey) const;

    /// @brief Sets how many tasks of jobs whose id begins with kLimitedPrefix may run at once.
    void setMaxLimitedTasks(int tasks);

    /// @brief Runs an action on the event loop of the stand-ins.
    void onLoop(const std::function<void()> &action);
    boost::asio::io_context &loop() { return loop_; }

    void setTaskDuration(std::chrono::milliseconds duration);
    void setStoreFaults(const StoreFaults &faults);
    StoreCalls storeCalls();
    void setRunnerUnresponsive(int number, bool isUnresponsive);
    std::vector<std::string> violations();

    /// @brief The daemon that leads the first cell, or -1.
    int leader();

    /// @brief All starts of tasks so far, in order of time.
    std::vector<JobStart> jobStarts();

    /// @brief Time that an event waits for the event loop of the stand-ins.
    std::chrono::milliseconds standInDelay();

    /// @brief Number of runner crashes.
    int crashes();

    /// @brief Number of starts of tasks that crash their runner.
    int crashingTaskStarts();

    /// @brief Number of completed tasks whose end a daemon has acknowledged.
    int acknowledgedTasks();

private:
    int post(int daemon, const std::string &id, const json &body,
             const std::string &apiKey = {}) const;
    int postText(int daemon, const std::string &id, const std::string &body,
                 const std::string &apiKey) const;
    void addRunner(int number, std::chrono::milliseconds downTime);
    std::string settingsFile(int number, const std::string &extraSettings) const;

    boost::asio::io_context loop_;
    RunRecord record_;
    HostedStore store_;
    int machinesPerCell_;
    std::vector<std::unique_ptr<HostedRunner>> runners_;
    std::thread thread_;
    std::string directory_;
    std::vector<std::vector<std::uint16_t>> ports_;
    std::vector<boost::asio::ip::tcp::acceptor> reservations_; ///< keep ports_ for the daemons
    std::vector<std::unique_ptr<e2e::ChildProcess>> daemons_;
};

} // namespace chicorywick::hosted
