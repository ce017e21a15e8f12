#pragma once

#include "client.h"
#include "machine_control.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace chicorywick::review {

/// @brief A queue, as a route of the configuration.
struct Queue
{
    std::string name;
    std::string service;
    int maxAttempts = 2;

    bool operator==(const Queue &) const = default;
};

/// @brief Size of a deployment: daemons, and runners by service.
struct Size
{
    int daemons = 3;
    std::vector<std::pair<std::string, int>> runners;

    bool operator==(const Size &) const = default;
};

/// @brief A small deployment: the daemons are processes of their own, the platform and its runners
/// are stand-ins on one event loop. Like the platform, it starts a daemon again that has ended.
class Deployment
{
public:
    Deployment(const Size &size, const std::vector<Queue> &queues, Record &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// @brief False if a daemon is not ready after 20 s, or no leader has started a task by then.
    bool waitUntilReady();

    /// @brief Writes the next version of the configuration.
    void configure(const std::vector<Queue> &queues);

    /// @brief Requests an upkeep of these machines, at most `cap` at once.
    void requestWave(int number, const std::vector<std::string> &machines, int cap);
    std::string waveState(int number);

    /// @brief Submits a job like a client: after no answer, a 502, 503 or 504 another daemon is
    /// asked, four times at most. Returns true if the job was accepted.
    bool submit(const std::string &queue, const std::string &id, const json &job);

    /// @brief The state that a daemon reports, asked up to four times; empty without an answer 200.
    std::string stateOf(const std::string &queue, const std::string &id);

    /// @brief Registers an agent that is no runner on the machine of a runner. On the event loop
    /// only.
    void addAgent(std::size_t runner);

    /// @brief Runs an action on the event loop of the stand-ins and waits for it.
    void onLoop(const std::function<void()> &action);

    Store &store() { return store_; }
    RunLog &log() { return log_; }
    MachineControl &machineControl() { return machineControl_; }
    std::vector<std::unique_ptr<Runner>> &runners() { return runners_; }

    /// @brief How often each daemon has ended by itself.
    std::vector<int> ownEnds() const;

private:
    struct Daemon
    {
        std::size_t number = 0;
        std::vector<std::uint16_t> ports;
        std::string settingsFile;
        std::string logFile;
        std::atomic<pid_t> process = -1;
        std::atomic<int> ownEnds = 0;
        std::chrono::steady_clock::time_point restartAt;
    };

    void startDaemon(Daemon &daemon);
    void supervise();
    Answer ask(const std::string &method, const std::string &path, const std::string &body);

    Record &record_;
    boost::asio::io_context loop_;
    Store store_;
    RunLog log_;
    std::vector<std::unique_ptr<Runner>> runners_;
    MachineControl machineControl_;
    std::vector<boost::asio::ip::tcp::acceptor> reservations_; ///< keep the ports of the daemons
    std::string directory_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::thread loopThread_;
    std::thread supervisor_;
    std::atomic<bool> isStopping_ = false;
    int version_ = 0;
    std::atomic<std::size_t> nextDaemon_ = 0;
};

} // namespace chicorywick::review
