#pragma once

#include "machines.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <chicorywick/http/client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace chicorywick::review {

/// @brief A route of the operator's configuration.
struct Route
{
    std::string name;
    std::string pathPrefix;
    std::string service;
    int priority = 0;
    int maxAttempts = 3;
};

/// @brief The status and the body of an answer to a client; status 0: no answer.
struct Answer
{
    int status = 0;
    std::string body;
};

/// @brief Runs daemons as separate processes with the command of the deploy file, over stand-ins of
/// the platform in this process.
class Deployment
{
public:
    Deployment(Record &record, int daemons, const std::vector<RunnerSetup> &runners,
               bool isTerse = false, const std::string &sparePool = {});
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// @brief Writes a configuration as the operator does.
    void configure(std::int64_t version, const std::vector<Route> &routes);

    /// @brief Waits until all daemons are ready and one leads; returns false after 20 s.
    bool waitUntilReady();

    /// @brief Sends a client's request to a daemon and waits for the answer.
    Answer call(int daemon, const std::string &method, const std::string &path,
                const std::string &body = {});

    /// @brief Submits a job as a client does, again at the next daemon until it is accepted.
    bool submit(const std::string &path, const json &job);

    /// @brief The state of a job that some daemon gives; empty without one.
    std::string stateOf(const std::string &path);

    /// @brief The daemon that leads, or -1.
    int leader();

    /// @brief Stops a daemon as the platform does: SIGTERM, and SIGKILL after grace_s.
    void stop(int daemon);

    /// @brief Starts the daemons again that have ended by themselves, after a pause.
    void restartEnded();

    /// @brief How often each daemon has ended by itself.
    std::vector<int> ends() const;

    /// @brief Cuts a daemon off from the store, or ends that.
    void setCutFromStore(int daemon, bool isCut);

    /// @brief Runs an action on the event loop of the stand-ins.
    void onLoop(const std::function<void()> &action);

    Store &store() { return *store_; }
    RunLog &log() { return log_; }
    Machines &machines() { return *machines_; }
    std::vector<Runner *> runners() { return machines_->runners(); }

    /// @brief A port of this host at which nothing listens.
    std::uint16_t closedPort() const { return closedPort_; }

private:
    struct Daemon
    {
        std::string name;
        std::vector<std::uint16_t> ports;
        std::uint16_t storePort = 0;
        pid_t process = 0;
        int ends = 0; ///< by itself
        std::chrono::steady_clock::time_point endedAt;
        std::unique_ptr<http::Client> client;
        std::unique_ptr<http::Client> readiness;
    };

    void addDaemon(int number);
    void startDaemon(Daemon &daemon);
    void beat();
    std::uint16_t reservePort();
    Answer send(http::Client &client, http::Request request);

    Record &record_;
    std::string directory_;
    boost::asio::io_context loop_;
    RunLog log_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Machines> machines_;
    std::set<std::string> services_;
    std::string sparePool_;
    std::vector<boost::asio::ip::tcp::acceptor> reservations_;
    std::uint16_t closedPort_ = 0;
    std::vector<Daemon> daemons_;
    boost::asio::steady_timer beatTimer_;
    std::thread thread_;
};

/// @brief Waits until a condition holds; returns false if it does not within the time.
bool waitUntil(std::chrono::milliseconds time, const std::function<bool()> &condition);

} // namespace chicorywick::review
