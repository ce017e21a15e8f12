#pragma once

#include "../e2e/child_process.h"
#include "hosted_runner.h"
#include "hosted_store.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace chicorywick::hosted {

/// @brief Entry instances as real processes, with stand-ins for the platform on one loop.
class HostedDeployment
{
public:
    HostedDeployment(int daemons, int runners, std::uint64_t seed);
    ~HostedDeployment();
    HostedDeployment(const HostedDeployment &) = delete;
    HostedDeployment &operator=(const HostedDeployment &) = delete;

    void startDaemon(int number);
    e2e::ChildProcess &daemon(int number) { return *daemons_[static_cast<std::size_t>(number)]; }
    int daemonCount() const { return static_cast<int>(daemons_.size()); }

    /// @brief Waits until every daemon reports itself ready.
    bool waitUntilReady();

    /// @brief The status of a submission at a daemon; 0 if there was no response.
    int submit(int daemon, const std::string &id) const;

    /// @brief The state that a daemon tells; nothing without a 200.
    std::optional<std::string> stateOf(int daemon, const std::string &id) const;

    void setStoreFaults(const StoreFaults &faults);
    void setRunnerSilent(int number, bool isSilent);
    std::vector<std::string> violations();

    /// @brief Tasks that were done and whose ends the daemons have acknowledged.
    int acknowledgedTasks();

private:
    void onLoop(const std::function<void()> &action);
    std::string settingsFile(int number) const;

    boost::asio::io_context loop_;
    RunRecord record_;
    HostedStore store_;
    std::vector<std::unique_ptr<HostedRunner>> runners_;
    std::thread thread_;
    std::string directory_;
    std::vector<std::vector<std::uint16_t>> ports_;
    std::vector<std::unique_ptr<e2e::ChildProcess>> daemons_;
};

} // namespace chicorywick::hosted
