#include "hosted_deployment.h"

#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/records.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <httplib.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr int kPortsPerDaemon = 4;

// A bound socket that does not listen reserves its port; a daemon can still listen there, because
// both set SO_REUSEADDR.
tcp::acceptor reservePort(boost::asio::io_context &loop)
{
    tcp::acceptor reservation(loop, tcp::v4());
    reservation.set_option(tcp::acceptor::reuse_address(true));
    reservation.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return reservation;
}

httplib::Client makeClient(std::uint16_t port)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(1s);
    client.set_read_timeout(3s);
    client.set_default_headers({{"Host", "work.example"}, {"X-Deadline-Ms", "3000"}});
    return client;
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

HostedDeployment::HostedDeployment(int daemons, int runners, std::uint64_t seed,
                                   int machinesPerCell, std::chrono::milliseconds runnerDownTime)
    : store_(loop_, seed)
    , machinesPerCell_(machinesPerCell)
{
    std::string directory = std::filesystem::temp_directory_path() / "chicorywick-hosted-XXXXXX";
    directory_ = ::mkdtemp(directory.data());
    store_.put("op", "config",
               R"({"version":1,"routes":[{"name":"r","host":"work.example","path_prefix":"/q/",)"
               R"("service":"s","max_attempts":2,"stretch":1.6,"target_completion_ms":600}],)"
               R"("services":[{"name":"s"}],"limits":{}})");
    for (int i = 0; i < runners; ++i)
        addRunner(i, runnerDownTime);
    for (int i = 0; i < daemons; ++i) {
        ports_.emplace_back();
        for (int port = 0; port < kPortsPerDaemon; ++port) {
            reservations_.push_back(reservePort(loop_));
            ports_.back().push_back(reservations_.back().local_endpoint().port());
        }
    }
    thread_ = std::thread([this] {
        const auto work = boost::asio::make_work_guard(loop_);
        loop_.run();
    });
    daemons_.resize(static_cast<std::size_t>(daemons));
    for (int i = 0; i < daemons; ++i)
        startDaemon(i);
}

HostedDeployment::~HostedDeployment()
{
    for (const auto &daemon : daemons_)
        daemon->signal(SIGCONT);
    daemons_.clear();
    loop_.stop();
    thread_.join();
    std::filesystem::remove_all(directory_);
}

void HostedDeployment::addRunner(int number, std::chrono::milliseconds downTime)
{
    const auto identity = number % 2 == 0 ? RestartIdentity::SameId : RestartIdentity::NewId;
    runners_.push_back(std::make_unique<HostedRunner>(
            loop_, "i-" + std::to_string(number), record_,
            CrashBehaviour{.downTime = downTime, .identity = identity}));
    HostedRunner &runner = *runners_.back();
    store_.put("servers", runner.id(), runner.registration("s"));
    runner.setRestartHandler([this, &runner](const std::string &formerId) {
        if (formerId != runner.id())
            store_.remove("servers", formerId);
        store_.put("servers", runner.id(), runner.registration("s"));
    });
}

std::string HostedDeployment::settingsFile(int number, const std::string &extraSettings) const
{
    const auto &ports = ports_[static_cast<std::size_t>(number)];
    const std::string path = directory_ + "/daemon-" + std::to_string(number) + ".json";
    json settings{{"name", "edge-" + std::to_string(number)},
                  {"host", "127.0.0.1"},
                  {"callers", address(ports[0])},
                  {"readiness", address(ports[1])},
                  {"peer_port", ports[2]},
                  {"metrics_port", ports[3]},
                  {"store", address(store_.port())},
                  {"machine_control", address(store_.port())},
                  {"max_lease_ms", 6'000},
                  {"stop_grace_s", 6},
                  {"status_retention_s", 120},
                  {"machines_per_cell", machinesPerCell_}};
    settings.update(json::parse(extraSettings));
    std::ofstream(path) << settings.dump();
    return path;
}

void HostedDeployment::startDaemon(int number, const std::string &extraSettings)
{
    auto &daemon = daemons_[static_cast<std::size_t>(number)];
    daemon.reset();
    daemon = std::make_unique<e2e::ChildProcess>(std::vector<std::string>{
            CHICORYWICKD, "--deployment", settingsFile(number, extraSettings)});
}

bool HostedDeployment::waitUntilReady()
{
    for (const auto &ports : ports_) {
        const bool isReady = e2e::waitUntil(20s, [&ports] {
            const auto response = makeClient(ports[1]).Get("/ready");
            return response && response->status == 200;
        });
        if (!isReady)
            return false;
    }
    return true;
}

int HostedDeployment::submit(int daemon, const std::string &id, const HostedJob &job) const
{
    const std::int64_t estimate = job.estimate.count();
    const json body{{"spec", job.spec},
                    {"steps",
                     {{{"count", 3}, {"cpu", 1'000}, {"mem_mb", 500}, {"estimated_ms", estimate}},
                      {{"count", 2},
                       {"cpu", 1'000},
                       {"mem_mb", 500},
                       {"estimated_ms", estimate},
                       {"after", {0}}}}}};
    return post(daemon, id, body);
}

int HostedDeployment::cancel(int daemon, const std::string &id) const
{
    const auto response =
            makeClient(ports_[static_cast<std::size_t>(daemon)][0]).Delete("/q/" + id);
    return response ? response->status : 0;
}

std::string HostedDeployment::metrics(int daemon) const
{
    const auto response = makeClient(ports_[static_cast<std::size_t>(daemon)][3]).Get("/metrics");
    return response ? response->body : std::string();
}

int HostedDeployment::submitCrashing(int daemon, const std::string &id) const
{
    const json body{
            {"spec", kCrashSpec},
            {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 500}, {"estimated_ms", 300}}}}};
    return post(daemon, id, body);
}

void HostedDeployment::configure(const std::string &configuration)
{
    onLoop([&] { store_.put("op", "config", configuration); });
}

void HostedDeployment::setMaxLimitedTasks(int tasks)
{
    onLoop([&] { record_.maxLimitedTasks = tasks; });
}

int HostedDeployment::submitWithKey(int daemon, const std::string &id,
                                    const std::string &apiKey) const
{
    return post(daemon, id, {{"spec", "work"}, {"steps", {{{"count", 1}, {"cpu", 1'000}}}}},
                apiKey);
}

int HostedDeployment::post(int daemon, const std::string &id, const json &body,
                           const std::string &apiKey) const
{
    return postText(daemon, id, body.dump(), apiKey);
}

int HostedDeployment::postText(int daemon, const std::string &id, const std::string &body,
                               const std::string &apiKey) const
{
    httplib::Headers headers;
    if (!apiKey.empty())
        headers.emplace("X-Api-Key", apiKey);
    const auto response =
            makeClient(callerPort(daemon)).Post("/q/" + id, headers, body, "application/json");
    return response ? response->status : 0;
}

int HostedDeployment::submitText(int daemon, const std::string &id, const std::string &body) const
{
    return postText(daemon, id, body, {});
}

std::optional<std::string> HostedDeployment::stateOf(int daemon, const std::string &id) const
{
    const auto response = makeClient(ports_[static_cast<std::size_t>(daemon)][0]).Get("/q/" + id);
    if (!response || response->status != 200)
        return std::nullopt;
    return json::parse(response->body).at("state").get<std::string>();
}

void HostedDeployment::onLoop(const std::function<void()> &action)
{
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void HostedDeployment::setTaskDuration(std::chrono::milliseconds duration)
{
    onLoop([&] {
        for (const auto &runner : runners_)
            runner->setTaskDuration(duration);
    });
}

void HostedDeployment::setStoreFaults(const StoreFaults &faults)
{
    onLoop([&] { store_.setFaults(faults); });
}

void HostedDeployment::setRunnerUnresponsive(int number, bool isUnresponsive)
{
    onLoop([&] { runners_[static_cast<std::size_t>(number)]->setUnresponsive(isUnresponsive); });
}

int HostedDeployment::leader()
{
    const entry::RowKey row = entry::layout::leaderRow(0);
    std::string value;
    onLoop([&] { value = store_.value(row.table, row.part, row.key); });
    const auto record = entry::decodeLeader(value);
    for (int i = 0; record && i < daemonCount(); ++i)
        if (record.value().holder.starts_with("edge-" + std::to_string(i) + "#"))
            return i;
    return -1;
}

std::vector<JobStart> HostedDeployment::jobStarts()
{
    std::vector<JobStart> starts;
    onLoop([&] { starts = record_.jobStarts; });
    return starts;
}

std::chrono::milliseconds HostedDeployment::standInDelay()
{
    const auto start = std::chrono::steady_clock::now();
    onLoop([] {});
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start);
}

int HostedDeployment::crashes()
{
    int count = 0;
    onLoop([&] {
        for (const auto &[task, crashesOfTask] : record_.crashes)
            count += crashesOfTask;
    });
    return count;
}

int HostedDeployment::crashingTaskStarts()
{
    int count = 0;
    onLoop([&] { count = record_.crashingTaskStarts; });
    return count;
}

int HostedDeployment::acknowledgedTasks()
{
    int count = 0;
    onLoop([&] { count = static_cast<int>(record_.doneAndAcknowledged.size()); });
    return count;
}

StoreCalls HostedDeployment::storeCalls()
{
    StoreCalls calls;
    onLoop([&] { calls = store_.calls(); });
    return calls;
}

std::vector<std::string> HostedDeployment::violations()
{
    std::vector<std::string> found;
    onLoop([&] { found = record_.violations; });
    return found;
}

} // namespace chicorywick::hosted
