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

/// @brief What all runner stand-ins have seen; it notes broken promises.
struct RunRecord
{
    std::map<std::string, std::set<std::string>> runningOn; ///< task to runners
    std::set<std::string> doneAndAcknowledged;
    std::vector<std::string> violations;
    int starts = 0;
};

/// @brief A stand-in for a runner: starts, stops, leases, fences, ends. Used from its loop.
class HostedRunner
{
public:
    HostedRunner(boost::asio::io_context &loop, std::string id, RunRecord &record);

    std::uint16_t port() const { return server_.port(); }
    const std::string &id() const { return id_; }

    /// @brief The registration that discovery lists.
    std::string registration(const std::string &service) const;

    void setSilent(bool isSilent) { isSilent_ = isSilent; }

private:
    struct Run
    {
        std::int64_t run = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Waiting
    {
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void start(const json &body, const http::Responder &respond);
    void stop(const json &body, const http::Responder &respond);
    void hold(const json &body, const http::Responder &respond);
    void end(const std::string &task, const char *how);
    void scheduleExpiry();
    json lists() const;
    bool isFenced(const json &body, const http::Responder &respond);
    std::int64_t clock() const;

    boost::asio::io_context &loop_;
    std::string id_;
    RunRecord &record_;
    http::Server server_;
    std::map<std::string, Run> running_;
    std::map<std::string, std::int64_t> tombstones_;
    std::vector<json> ended_;
    std::vector<Waiting> waiting_;
    boost::asio::steady_timer expiry_;
    std::int64_t fence_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::int64_t nextEnd_ = 1;
    std::int64_t born_;
    bool isSilent_ = false;
};

} // namespace chicorywick::hosted
