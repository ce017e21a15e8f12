#pragma once

#include "loopback_proxy.h"

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::hosted {

using nlohmann::json;

/// @brief A task with this spec crashes the runner that starts it.
inline constexpr const char *kCrashSpec = "crash";

/// @brief A start order that a runner has carried out.
struct JobStart
{
    std::string job; ///< first word of the task's spec
    std::chrono::steady_clock::time_point time;

    bool operator==(const JobStart &) const = default;
};

/// @brief Shared by all runner stand-ins; records task runs and violated guarantees.
struct RunRecord
{
    std::map<std::string, std::set<std::string>> runningOn; ///< ids of the runners of each task
    std::set<std::string> doneAndAcknowledged;
    std::vector<std::string> violations;
    std::vector<JobStart> jobStarts;
    std::map<std::string, int> crashes; ///< of runners, by the task that caused them
    std::map<std::string, int> startsAfterThirdCrash;
    int crashingTaskStarts = 0;
    /// Most tasks of jobs whose id begins with kLimitedPrefix that may run at once; 0: no limit.
    int maxLimitedTasks = 0;
};

inline constexpr const char *kLimitedPrefix = "limited";

/// @brief Whether a runner has its former id when it is back after a crash.
enum class RestartIdentity { SameId, NewId };

/// @brief How a runner stand-in crashes and restarts.
struct CrashBehaviour
{
    std::chrono::milliseconds crashDelay{10}; ///< from the start of the task
    std::chrono::milliseconds downTime{3'200};
    RestartIdentity identity = RestartIdentity::SameId;

    bool operator==(const CrashBehaviour &) const = default;
};

/// @brief Stand-in for a runner with task starts and stops, leases, fencing tokens and end reports.
///
/// Not thread-safe; use it from its event loop only.
class HostedRunner
{
public:
    HostedRunner(boost::asio::io_context &loop, std::string machine, RunRecord &record,
                 CrashBehaviour behaviour = {});

    std::uint16_t port() const { return proxy_.port(); }
    const std::string &id() const { return id_; }

    /// @brief Returns the registration row for service discovery.
    std::string registration(const std::string &service) const;

    /// @brief Sets the function that registers the runner after a restart; it receives the former
    /// id.
    void setRestartHandler(std::function<void(const std::string &formerId)> handler)
    {
        restartHandler_ = std::move(handler);
    }

    /// @brief Sets the duration of the tasks that are started from now on.
    void setTaskDuration(std::chrono::milliseconds duration) { taskDuration_ = duration; }

    /// @brief While set, requests get no response.
    void setUnresponsive(bool isUnresponsive) { isUnresponsive_ = isUnresponsive; }

private:
    struct Run
    {
        std::int64_t run = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct PendingPoll
    {
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void start(const json &body, const http::Responder &respond);
    void stop(const json &body, const http::Responder &respond);
    void longPoll(const json &body, const http::Responder &respond);
    void crash(const std::string &task);
    void restart();
    void recordStart(const std::string &task, const std::string &spec);
    void end(const std::string &task, const char *outcome);
    void scheduleExpiry();
    json statusJson() const;
    bool rejectStaleToken(const json &body, const http::Responder &respond);
    std::int64_t steadyNowMs() const;

    boost::asio::io_context &loop_;
    std::string machine_;
    std::string id_;
    RunRecord &record_;
    CrashBehaviour behaviour_;
    std::chrono::milliseconds taskDuration_{300};
    http::Server server_;
    LoopbackProxy proxy_;
    std::function<void(const std::string &)> restartHandler_;
    std::map<std::string, Run> running_;
    std::map<std::string, std::int64_t> tombstones_; ///< highest ended or stopped run of each task
    std::vector<json> ended_;
    std::vector<PendingPoll> pendingPolls_;
    boost::asio::steady_timer expiry_;
    boost::asio::steady_timer restartTimer_;
    std::int64_t fencingToken_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t nextEndSequence_ = 1;
    std::int64_t startTime_;
    std::int64_t clockOriginMs_ = 0; ///< the runner's clock starts anew with each incarnation
    int restarts_ = 0;
    bool isUnresponsive_ = false;
    bool isDown_ = false;
};

} // namespace chicorywick::hosted
