#pragma once

#include "../../tests/hosted/loopback_proxy.h"
#include "record.h"
#include "store.h"

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::review {

/// @brief A label that all runners have.
inline constexpr const char *kCommonLabel = "general";

/// @brief A run of a task: its number and the runner that runs it.
struct RunPlace
{
    std::string runner;
    std::int64_t run = 0;

    auto operator<=>(const RunPlace &) const = default;
};

/// @brief What all runners have seen, and the check of the rule TWICE.
class RunLog
{
public:
    explicit RunLog(Record &record)
        : record_(record)
    {}

    void started(const std::string &task, const RunPlace &place);
    void ended(const std::string &task, const RunPlace &place, const std::string &how);
    void acknowledged(const std::string &task, const RunPlace &place, const std::string &how);

    int starts(const std::string &job) const;

    /// @brief How long nothing of a task has run, since its latest end; 0 if it runs or never did.
    std::chrono::milliseconds idleTime(const std::string &task) const;
    bool hasStarted(const std::string &task) const { return running_.contains(task); }

private:
    Record &record_;
    std::map<std::string, std::set<RunPlace>> running_; ///< by task
    std::map<std::string, std::set<RunPlace>> done_;    ///< runs that have ended done, by task
    std::set<std::string> doneAndAcknowledged_;
    /// Runs that were done when another run of the task started. The rule is broken once such an
    /// end is taken note of.
    std::map<std::string, std::set<RunPlace>> doneBeforeStart_;
    std::map<std::string, int> startsByJob_;
    std::map<std::string, std::chrono::steady_clock::time_point> endedAt_; ///< latest, by task
};

/// @brief A machine and the place of a runner in the fleet.
struct RunnerPlace
{
    std::string machine;
    std::string service;
    std::string rack;
    std::string zone = "z";

    bool operator==(const RunnerPlace &) const = default;
};

/// @brief Stand-in for a machine with its runner. The text `spec` of a job says what its tasks do:
/// "work MS" ends done, "fail MS" ends failed, "last" runs until it is stopped. Used from its event
/// loop only.
class Runner
{
public:
    Runner(boost::asio::io_context &loop, RunnerPlace place, Store &store, RunLog &log,
           Record &record);

    const RunnerPlace &place() const { return place_; }
    const std::string &id() const { return id_; }
    bool isUp() const { return isUp_; }
    std::size_t runningTasks() const { return running_.size(); }

    /// @brief Ends the process without a word and starts it again; it has the same id and address
    /// then, and knows nothing of before.
    void crash(std::chrono::milliseconds downTime);

    /// @brief Ends the runner by an upkeep of its machine; a new runner joins afterwards.
    void upkeep(std::chrono::milliseconds duration);

    json listing() const;

private:
    struct Run
    {
        std::int64_t run = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Poll
    {
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void start(const json &body, const http::Responder &respond);
    void stop(const json &body, const http::Responder &respond);
    void hold(const json &body, const http::Responder &respond);
    void end(const std::string &task, const std::string &how);
    void down();
    void up(std::chrono::milliseconds firstHeartbeat);
    void beat();
    void expireLease();
    http::Response reply(int status, json body = json::object()) const;
    json lists() const;
    std::int64_t clockMs() const;

    boost::asio::io_context &loop_;
    RunnerPlace place_;
    Store &store_;
    RunLog &log_;
    Record &record_;
    http::Server server_;
    hosted::LoopbackProxy proxy_;
    boost::asio::steady_timer heartbeat_;
    boost::asio::steady_timer lease_;
    boost::asio::steady_timer restart_;
    std::string id_;
    int lives_ = 1;
    bool isUp_ = false;
    bool isInUpkeep_ = false;
    std::int64_t born_ = 0;
    std::chrono::steady_clock::time_point clockOrigin_;
    std::int64_t sequence_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t nextEnd_ = 1;
    std::map<std::string, Run> running_;
    std::map<std::string, std::int64_t> highestEnded_; ///< run that ended or was stopped, by task
    std::vector<json> ended_;
    std::vector<Poll> polls_;
};

} // namespace chicorywick::review
