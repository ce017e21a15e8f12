#include "deployment.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// As in deploy/system.toml.
constexpr const char *kDaemonProgram = "target/apps/chicorywickd";
constexpr int kPortsPerDaemon = 4;
constexpr auto kHeartbeat = 1'500ms;
constexpr auto kDeadline = 3'000ms;
constexpr auto kGrace = 6'000ms;
constexpr auto kRestartDelay = 2'500ms;
constexpr int kOk = 200;

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

bool waitUntil(std::chrono::milliseconds time, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

Deployment::Deployment(Record &record, int daemons, const std::vector<RunnerSetup> &runners,
                       bool isTerse, const std::string &sparePool)
    : record_(record)
    , store_(std::make_unique<Store>(loop_))
    , sparePool_(sparePool)
    , beatTimer_(loop_)
{
    std::string directory = std::filesystem::temp_directory_path() / "chicorywick-review-XXXXXX";
    if (::mkdtemp(directory.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    directory_ = directory;
    log_.isTerse = isTerse;
    machines_ = std::make_unique<Machines>(loop_, *store_, log_, record_);
    machines_->setSparePool(sparePool);
    for (const RunnerSetup &setup : runners) {
        machines_->add(setup);
        services_.insert(setup.service);
    }
    closedPort_ = reservePort();
    beat();
    for (int i = 0; i < daemons; ++i)
        addDaemon(i);
    thread_ = std::thread([this] {
        const auto work = boost::asio::make_work_guard(loop_);
        loop_.run();
    });
}

Deployment::~Deployment()
{
    for (Daemon &daemon : daemons_)
        if (daemon.process > 0) {
            ::kill(daemon.process, SIGKILL);
            ::waitpid(daemon.process, nullptr, 0);
        }
    loop_.stop();
    thread_.join();
    std::filesystem::remove_all(directory_);
}

// A bound socket that does not listen reserves its port; a daemon can still listen there, because
// both set SO_REUSEADDR.
std::uint16_t Deployment::reservePort()
{
    tcp::acceptor reservation(loop_, tcp::v4());
    reservation.set_option(tcp::acceptor::reuse_address(true));
    reservation.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    reservations_.push_back(std::move(reservation));
    return reservations_.back().local_endpoint().port();
}

void Deployment::beat()
{
    machines_->beat();
    beatTimer_.expires_after(kHeartbeat);
    beatTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            beat();
    });
}

void Deployment::configure(std::int64_t version, const std::vector<Route> &routes)
{
    json config{{"version", version},
                {"routes", json::array()},
                {"services", json::array()},
                {"limits", {{"max_body_bytes", 262'144}}}};
    for (const Route &route : routes)
        config["routes"].push_back({{"name", route.name},
                                    {"host", "127.0.0.1"},
                                    {"path_prefix", route.pathPrefix},
                                    {"service", route.service},
                                    {"priority", route.priority},
                                    {"max_attempts", route.maxAttempts},
                                    {"stretch", 1.6},
                                    {"target_completion_ms", 600}});
    for (const std::string &service : services_)
        config["services"].push_back(
                {{"name", service}, {"enforces_capacity", true}, {"spare", service == sparePool_}});
    onLoop([&] { store_->put("op", "config", config); });
    record_.add("operator", "writes configuration " + std::to_string(version));
}

void Deployment::addDaemon(int number)
{
    Daemon daemon{.name = "edge-" + std::to_string(number)};
    for (int i = 0; i < kPortsPerDaemon; ++i)
        daemon.ports.push_back(reservePort());
    daemon.storePort = store_->addWay();
    const http::ClientLimits limits{.maxConnections = 16};
    daemon.client = std::make_unique<http::Client>(
            loop_, http::Endpoint{.host = "127.0.0.1", .port = daemon.ports[0]}, limits);
    daemon.readiness = std::make_unique<http::Client>(
            loop_, http::Endpoint{.host = "127.0.0.1", .port = daemon.ports[1]}, limits);
    startDaemon(daemon);
    daemons_.push_back(std::move(daemon));
}

// The settings that deploy/settings.json.tmpl gives for the bounds of the deployments.
void Deployment::startDaemon(Daemon &daemon)
{
    const std::string path = directory_ + "/" + daemon.name + ".json";
    const json settings{{"name", daemon.name},
                        {"host", "127.0.0.1"},
                        {"callers", address(daemon.ports[0])},
                        {"readiness", address(daemon.ports[1])},
                        {"peer_port", daemon.ports[2]},
                        {"metrics_port", daemon.ports[3]},
                        {"store", address(daemon.storePort)},
                        {"machine_control", address(machines_->port())},
                        {"cancel_ms", 3'000},
                        {"max_lease_ms", 6'000},
                        {"stop_grace_s", 6},
                        {"status_retention_s", 120}};
    std::ofstream(path) << settings.dump();
    const pid_t process = ::fork();
    if (process == 0) {
        // The daemon ends with this process, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int nowhere = ::open("/dev/null", O_WRONLY);
        const char *const logs = std::getenv("DAEMON_LOGS");
        const std::string file = logs != nullptr ? std::string(logs) + "/" + daemon.name : "";
        const int out = logs != nullptr ? ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644)
                                        : nowhere;
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(kDaemonProgram, kDaemonProgram, "--deployment", path.c_str(), nullptr);
        ::_exit(127);
    }
    daemon.process = process;
}

bool Deployment::waitUntilReady()
{
    for (Daemon &daemon : daemons_) {
        const bool isReady = waitUntil(20s, [&] {
            return send(*daemon.readiness, {.method = "GET", .target = "/ready"}).status == kOk;
        });
        if (!isReady)
            return false;
    }
    return waitUntil(20s, [this] { return leader() >= 0; });
}

Answer Deployment::send(http::Client &client, http::Request request)
{
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    boost::asio::post(loop_, [&client, promise, request = std::move(request)] {
        client.send(request, kDeadline, [promise](const base::Result<http::Response> &response) {
            promise->set_value(response ? Answer{.status = response.value().status,
                                                 .body = response.value().body}
                                        : Answer());
        });
    });
    return future.get();
}

Answer Deployment::call(int daemon, const std::string &method, const std::string &path,
                        const std::string &body)
{
    http::Request request{.method = method,
                          .target = path,
                          .headers = {{"X-Deadline-Ms", std::to_string(kDeadline.count())}},
                          .body = body};
    if (!body.empty())
        request.headers["Content-Type"] = "application/json";
    Daemon &receiver = daemons_[static_cast<std::size_t>(daemon)];
    const Answer answer = send(*receiver.client, std::move(request));
    if (!log_.isTerse || method != "GET")
        record_.add("client", method + " " + path + " at " + receiver.name + " -> "
                                      + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

bool Deployment::submit(const std::string &path, const json &job)
{
    for (std::size_t attempt = 0; attempt < 2 * daemons_.size(); ++attempt) {
        const int daemon = static_cast<int>(attempt % daemons_.size());
        if (daemons_[static_cast<std::size_t>(daemon)].process > 0
            && call(daemon, "POST", path, job.dump()).status == kOk)
            return true;
    }
    return false;
}

std::string Deployment::stateOf(const std::string &path)
{
    for (int daemon = 0; daemon < static_cast<int>(daemons_.size()); ++daemon) {
        if (daemons_[static_cast<std::size_t>(daemon)].process <= 0)
            continue;
        const Answer answer = call(daemon, "GET", path);
        if (answer.status == kOk)
            return json::parse(answer.body).value("state", "");
    }
    return {};
}

int Deployment::leader()
{
    std::string value;
    onLoop([&] { value = store_->value("leader", "leader-0", "cell-0"); });
    const json row = json::parse(value, nullptr, false);
    const std::string holder = row.is_object() ? row.value("holder", "") : "";
    for (std::size_t i = 0; i < daemons_.size(); ++i)
        if (holder.starts_with(daemons_[i].name + "#"))
            return static_cast<int>(i);
    return -1;
}

void Deployment::stop(int daemon)
{
    Daemon &stopped = daemons_[static_cast<std::size_t>(daemon)];
    record_.add("trouble", stopped.name + ", which leads, gets SIGTERM");
    ::kill(stopped.process, SIGTERM);
    const bool hasEnded = waitUntil(kGrace, [&] {
        return ::waitpid(stopped.process, nullptr, WNOHANG) == stopped.process;
    });
    if (!hasEnded) {
        ::kill(stopped.process, SIGKILL);
        ::waitpid(stopped.process, nullptr, 0);
    }
    stopped.process = 0;
    record_.add("trouble", stopped.name + " has ended");
}

// The platform starts a process that has ended again after a short delay.
void Deployment::restartEnded()
{
    const auto now = std::chrono::steady_clock::now();
    for (Daemon &daemon : daemons_) {
        if (daemon.process > 0 && ::waitpid(daemon.process, nullptr, WNOHANG) == daemon.process) {
            daemon.process = 0;
            daemon.endedAt = now;
            ++daemon.ends;
            record_.add("platform", daemon.name + " has ended by itself");
        }
        if (daemon.process == 0 && daemon.ends > 0 && now - daemon.endedAt > kRestartDelay) {
            startDaemon(daemon);
            record_.add("platform", daemon.name + " is started again");
        }
    }
}

std::vector<int> Deployment::ends() const
{
    std::vector<int> counts;
    for (const Daemon &daemon : daemons_)
        counts.push_back(daemon.ends);
    return counts;
}

void Deployment::setCutFromStore(int daemon, bool isCut)
{
    onLoop([&] { store_->setCut(static_cast<std::size_t>(daemon), isCut); });
    record_.add("trouble",
                daemons_[static_cast<std::size_t>(daemon)].name
                        + (isCut ? " is cut off from the store" : " reaches the store again"));
}

void Deployment::onLoop(const std::function<void()> &action)
{
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace chicorywick::review
