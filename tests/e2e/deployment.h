#pragma once

#include "child_process.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::e2e {

/// @brief Result of one command line call.
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

/// @brief Separate processes on loopback: the stand-in platform, upstreams and entry instances.
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

    /// @brief Sets faults of the platform, e.g. {"table":{"down":true}}.
    void setFaults(const std::string &json) const;

    /// @brief Requests that an upstream ran, one on each line.
    std::string recordOf(const std::string &upstream) const;

    /// @brief Task starts seen by the platform as JSON.
    std::string taskRuns() const;

    /// @brief Runs the command line against all entry instances.
    CliResult cli(const std::vector<std::string> &arguments) const;

    /// @brief Runs the command line against one operator listener.
    CliResult cliAt(const std::string &server, std::vector<std::string> arguments) const;

    /// @brief Completed reboots of an instance as the platform counts them.
    int bootsOf(const std::string &instance) const;

    /// @brief Writes a file that lives as long as the deployment; the value is its path.
    std::string writeFile(const std::string &name, const std::string &content) const;

    /// @brief Waits until every entry instance is ready and sees all others alive.
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
