#pragma once

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::hosted {

using nlohmann::json;

/// @brief Shared by all runner stand-ins; records task runs and violated guarantees.
struct RunRecord
{
    std::map<std::string, std::set<std::string>> runningOn; ///< ids of the runners of each task
    std::set<std::string> doneAndAcknowledged;
    std::vector<std::string> violations;
    int starts = 0;
};

/// @brief Stand-in for a runner with task starts and stops, leases, fencing tokens and end reports.
///
/// Not thread-safe; use it from its event loop only.
class HostedRunner
{
public:
    HostedRunner(boost::asio::io_context &loop, std::string id, RunRecord &record);

    std::uint16_t port() const { return server_.port(); }
    const std::string &id() const { return id_; }

    /// @brief Returns the registration row for service discovery.
    std::string registration(const std::string &service) const;

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
    void end(const std::string &task, const char *outcome);
    void scheduleExpiry();
    json statusJson() const;
    bool rejectStaleToken(const json &body, const http::Responder &respond);
    std::int64_t steadyNowMs() const;

    boost::asio::io_context &loop_;
    std::string id_;
    RunRecord &record_;
    http::Server server_;
    std::map<std::string, Run> running_;
    std::map<std::string, std::int64_t> tombstones_; ///< highest ended or stopped run of each task
    std::vector<json> ended_;
    std::vector<PendingPoll> pendingPolls_;
    boost::asio::steady_timer expiry_;
    std::int64_t fencingToken_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t nextEndSequence_ = 1;
    std::int64_t startTime_;
    bool isUnresponsive_ = false;
};

} // namespace chicorywick::hosted
