#pragma once

#include "record.h"

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::review {

using nlohmann::json;

/// @brief What a task does. The text of a job holds the plan of each step.
struct TaskPlan
{
    std::int64_t cpuMillis = 100;
    std::int64_t memoryMib = 10;
    std::int64_t durationMs = 1'000; ///< 0: it runs until it is stopped

    bool operator==(const TaskPlan &) const = default;
};

std::string encode(const std::vector<TaskPlan> &planByStep);
TaskPlan decodeTaskPlan(const std::string &text, const std::string &task);

/// @brief The runs on all runners. Records those that break the rule TWICE.
struct RunLog
{
    struct Task
    {
        std::map<std::string, std::int64_t> activeOn; ///< run by runner
        std::int64_t lastBegunMs = -1;
        std::int64_t lastEndedMs = -1;
        std::string lastEnd;
        int starts = 0;
        bool isDoneAcknowledged = false;
    };
    std::map<std::string, Task> tasks;
    int starts = 0;
    int ends = 0;
    bool isTerse = false; ///< only runs that break a rule are recorded
};

/// @brief Properties of a runner stand-in.
struct RunnerSetup
{
    std::string id;
    std::string machine;
    std::string service;
    std::int64_t cpuMillis = 16'000;
    std::int64_t memoryMib = 32'768;
    std::chrono::milliseconds replyDelay{0}; ///< of the way there and back
};

/// @brief Stand-in for a runner: starts, stops, leases, fencing tokens and lists of runs.
///
/// Not thread-safe; use it from its event loop only.
class Runner
{
public:
    Runner(boost::asio::io_context &loop, RunnerSetup setup, RunLog &log, Record &record);

    const RunnerSetup &setup() const { return setup_; }
    std::uint16_t port() const { return server_.port(); }
    json registration();

    /// @brief Ends the runner with its machine; it answers nothing any more.
    void shutDown();

    /// @brief While cut off, the runner receives nothing and its answers are lost; it runs on.
    void setCut(bool isCut) { isCut_ = isCut; }

    /// @brief Ends a running task by itself; returns false if it does not run here.
    bool endTask(const std::string &task, const char *how);

    std::size_t unacknowledgedEnds() const { return ended_.size(); }
    std::int64_t usedCpuMillis() const;

private:
    struct Run
    {
        std::int64_t run = 0;
        TaskPlan plan;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct PendingPoll
    {
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void receive(const http::Request &request, const http::Responder &respond);
    void handle(const http::Request &request, const http::Responder &respond);
    void start(const json &body, const http::Responder &respond);
    void stop(const json &body, const http::Responder &respond);
    void hold(const json &body, const http::Responder &respond);
    void end(const std::string &task, const char *how);
    void scheduleExpiry();
    void reject(const char *reason, const http::Responder &respond) const;
    json status() const;
    std::int64_t clockMs() const;

    boost::asio::io_context &loop_;
    RunnerSetup setup_;
    RunLog &log_;
    Record &record_;
    http::Server server_;
    std::map<std::string, Run> running_;
    std::map<std::string, std::int64_t> closedRuns_; ///< highest ended or stopped run by task
    std::vector<json> ended_;
    std::vector<PendingPoll> polls_;
    boost::asio::steady_timer expiry_;
    std::int64_t born_;
    std::int64_t clockOrigin_;
    std::int64_t fencingToken_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t nextEnd_ = 1;
    std::int64_t sequence_ = 0;
    bool isCut_ = false;
};

} // namespace chicorywick::review
