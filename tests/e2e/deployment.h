#pragma once

#include "child_process.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::e2e {

/// @brief Result of one run of the command line client.
struct CliResult
{
    int exitCode = 0;
    std::string out;
    std::string err;
};

/// @brief One daemon process and its ports.
struct EntryInstance
{
    std::string id;
    std::string zone;
    std::unique_ptr<ChildProcess> process;
    int callers = 0;
    int operators = 0;
    int health = 0;
    std::string peers;
};

/// @brief Runs the stand-in platform, upstreams and entry instances as separate processes on
/// loopback.
class Deployment
{
public:
    explicit Deployment(const std::vector<std::string> &zones);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    EntryInstance &startEntry(const std::string &id, const std::string &zone);
    void startUpstream(const std::string &id, const std::string &zone, const std::string &service);
    void addWorker(const std::string &id, const std::string &zone, const std::string &rack);

    /// @brief Replaces the faults of the platform, e.g. {"table":{"down":true}}.
    void setFaults(const std::string &json) const;

    /// @brief Requests that an upstream received, one per line.
    std::string recordedRequests(const std::string &upstream) const;

    /// @brief Task starts recorded by the platform, as JSON.
    std::string taskRuns() const;

    /// @brief Runs the command line client with all entry instances as servers.
    CliResult cli(const std::vector<std::string> &arguments) const;

    /// @brief Runs the command line client against one operator listener.
    CliResult cliAt(const std::string &server, std::vector<std::string> arguments) const;

    /// @brief Number of completed reboots of an instance, as counted by the platform.
    int bootCount(const std::string &instance) const;

    /// @brief Writes a file that is removed with the deployment; returns its path.
    std::string writeFile(const std::string &name, const std::string &content) const;

    /// @brief Waits until every entry instance is ready and reports all members as alive.
    bool waitForMembers(std::chrono::seconds limit) const;

    std::vector<std::unique_ptr<EntryInstance>> &entries() { return entries_; }

private:
    struct Upstream
    {
        std::string id;
        std::unique_ptr<ChildProcess> process;
        int port = 0;
    };

    void postInstance(const std::string &json) const;

    std::filesystem::path folder_;
    std::string tokenFile_;
    ChildProcess platform_;
    int control_ = 0;
    std::vector<Upstream> upstreams_;
    std::vector<std::unique_ptr<EntryInstance>> entries_;
};

} // namespace chicorywick::e2e
