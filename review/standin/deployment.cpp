#include "deployment.h"

#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr int kPortsPerDaemon = 4;
constexpr auto kReadyWithin = 20s;
constexpr auto kSupervision = 50ms;
constexpr auto kRestartDelay = 2'500ms;
constexpr int kTries = 4;
const std::string kHost = "work.example";

// A bound socket that does not listen reserves its port; a daemon can still listen there, because
// both set SO_REUSEADDR.
tcp::acceptor reservePort(boost::asio::io_context &loop)
{
    tcp::acceptor reservation(loop, tcp::v4());
    reservation.set_option(tcp::acceptor::reuse_address(true));
    reservation.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return reservation;
}

constexpr std::size_t kMaxDaemons = 8;
std::array<std::atomic<pid_t>, kMaxDaemons> startedProcesses;

// Ends the daemons if the trial itself is ended early.
void endTrial(int /*signal*/)
{
    for (const auto &process : startedProcesses)
        if (process > 0)
            ::kill(process, SIGKILL);
    constexpr int kCouldNotRun = 2;
    ::_exit(kCouldNotRun);
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

Deployment::Deployment(const Size &size, const std::vector<Queue> &queues, Record &record)
    : record_(record)
    , store_(loop_, {})
    , log_(record)
    , machineControl_(loop_, runners_, record)
{
    std::string directory = std::filesystem::temp_directory_path() / "chicorywick-review-XXXXXX";
    directory_ = ::mkdtemp(directory.data());
    configure(queues);
    int number = 0;
    for (const auto &[service, count] : size.runners)
        for (int i = 0; i < count; ++i, ++number)
            runners_.push_back(
                    std::make_unique<Runner>(loop_,
                                             RunnerPlace{.machine = "m" + std::to_string(number),
                                                         .service = service,
                                                         .rack = "r" + std::to_string(number / 4)},
                                             store_, log_, record));
    for (int i = 0; i < size.daemons; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->number = static_cast<std::size_t>(i);
        for (int port = 0; port < kPortsPerDaemon; ++port) {
            reservations_.push_back(reservePort(loop_));
            daemon->ports.push_back(reservations_.back().local_endpoint().port());
        }
        const std::string name = "edge-" + std::to_string(i);
        daemon->settingsFile = directory_ + "/" + name + ".json";
        daemon->logFile = directory_ + "/" + name + ".log";
        const json settings{{"name", name},
                            {"host", "127.0.0.1"},
                            {"callers", address(daemon->ports[0])},
                            {"readiness", address(daemon->ports[1])},
                            {"peer_port", daemon->ports[2]},
                            {"metrics_port", daemon->ports[3]},
                            {"store", address(store_.port())},
                            {"machine_control", address(machineControl_.port())},
                            {"max_lease_ms", 6'000},
                            {"stop_grace_s", 6},
                            {"status_retention_s", 120}};
        std::ofstream(daemon->settingsFile) << settings.dump();
        daemons_.push_back(std::move(daemon));
    }
    loopThread_ = std::thread([this] {
        const auto work = boost::asio::make_work_guard(loop_);
        loop_.run();
    });
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        std::signal(signal, endTrial);
    for (const auto &daemon : daemons_)
        startDaemon(*daemon);
    supervisor_ = std::thread([this] { supervise(); });
}

Deployment::~Deployment()
{
    isStopping_ = true;
    supervisor_.join();
    for (const auto &daemon : daemons_)
        if (daemon->process != -1) {
            ::kill(daemon->process, SIGKILL);
            ::waitpid(daemon->process, nullptr, 0);
        }
    loop_.stop();
    loopThread_.join();
    // With KEEP_LOGS in the environment, the logs of the daemons stay for a closer look.
    if (::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(directory_);
    else
        record_.add("logs are in " + directory_);
}

void Deployment::startDaemon(Daemon &daemon)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, daemon.logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket of a stand-in would stay open after the stand-in has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<std::string> command{"target/apps/chicorywickd", "--deployment",
                                     daemon.settingsFile};
    std::vector<char *> arguments;
    for (std::string &argument : command)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    pid_t process = -1;
    const int failure =
            posix_spawn(&process, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("cannot start " + command.front());
    daemon.process = process;
    startedProcesses.at(daemon.number) = process;
}

void Deployment::supervise()
{
    while (!isStopping_) {
        for (const auto &daemon : daemons_) {
            if (daemon->process == -1) {
                if (std::chrono::steady_clock::now() >= daemon->restartAt)
                    startDaemon(*daemon);
                continue;
            }
            int status = 0;
            if (::waitpid(daemon->process, &status, WNOHANG) != daemon->process)
                continue;
            ++daemon->ownEnds;
            record_.add("daemon " + daemon->settingsFile.substr(directory_.size() + 1)
                        + " has ended by itself, "
                        + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                               : "status " + std::to_string(WEXITSTATUS(status))));
            daemon->process = -1;
            startedProcesses.at(daemon->number) = 0;
            daemon->restartAt = std::chrono::steady_clock::now() + kRestartDelay;
        }
        std::this_thread::sleep_for(kSupervision);
    }
}

std::vector<int> Deployment::ownEnds() const
{
    std::vector<int> ends;
    for (const auto &daemon : daemons_)
        ends.push_back(daemon->ownEnds);
    return ends;
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

bool Deployment::waitUntilReady()
{
    const auto deadline = std::chrono::steady_clock::now() + kReadyWithin;
    for (const auto &daemon : daemons_)
        while (send({.port = daemon->ports[1], .method = "GET", .path = "/ready"}).status != 200) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(100ms);
        }
    // The deployments start their traffic ten seconds after the machines.
    std::this_thread::sleep_for(4s);
    return true;
}

void Deployment::configure(const std::vector<Queue> &queues)
{
    json routes = json::array();
    std::set<std::string> services;
    for (const Queue &queue : queues) {
        routes.push_back({{"name", queue.name},
                          {"host", kHost},
                          {"path_prefix", "/" + queue.name + "/"},
                          {"service", queue.service},
                          {"priority", 0},
                          {"max_attempts", queue.maxAttempts},
                          {"stretch", 1.6},
                          {"target_completion_ms", 600}});
        services.insert(queue.service);
    }
    json serviceList = json::array();
    for (const std::string &service : services)
        serviceList.push_back({{"name", service}, {"enforces_capacity", true}});
    version_ += 3;
    const json configuration{{"version", version_},
                             {"routes", routes},
                             {"services", serviceList},
                             {"limits", {{"max_body_bytes", 262'144}}}};
    const auto write = [&] { store_.put("op", "config", configuration); };
    if (loopThread_.joinable())
        onLoop(write);
    else
        write();
    record_.add("configuration " + std::to_string(version_) + " with "
                + std::to_string(queues.size()) + " routes is stored");
}

void Deployment::requestWave(int number, const std::vector<std::string> &machines, int cap)
{
    onLoop([&] {
        machineControl_.addWave(number, machines);
        store_.put("op", "wave/" + std::to_string(number),
                   {{"wave", number}, {"machines", machines}, {"duration_s", 26}, {"cap", cap}});
    });
    record_.add("wave " + std::to_string(number) + " of " + std::to_string(machines.size())
                + " machines, " + std::to_string(cap) + " at once, is requested");
}

std::string Deployment::waveState(int number)
{
    std::string value;
    onLoop([&] { value = store_.value("status", "", "wave/" + std::to_string(number)); });
    const json state = json::parse(value, nullptr, false);
    return state.is_object() ? state.value("state", "") : "";
}

void Deployment::addAgent(std::size_t runner)
{
    const std::string machine = runners_[runner]->place().machine;
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
    store_.put("servers", "agent-" + machine,
               {{"service", "log-agent"},
                {"address", address(machineControl_.port())}, // answers 404 to what it doesn't know
                {"zone", "z"},
                {"machine", machine},
                {"version", "v1"},
                {"slots", 1},
                {"state", "ready"},
                {"seq_no", 1},
                {"capacity", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}},
                {"labels", {kCommonLabel, runners_[runner]->place().rack}},
                {"born", born}});
    record_.add("an entry of the service log-agent, with the machine " + machine
                + ", comes from another writer");
}

Answer Deployment::ask(const std::string &method, const std::string &path, const std::string &body)
{
    Answer answer;
    for (int tries = 0; tries < kTries; ++tries) {
        const Daemon &daemon = *daemons_[nextDaemon_++ % daemons_.size()];
        answer = send({.port = daemon.ports[0],
                       .method = method,
                       .path = path,
                       .host = kHost,
                       .body = body});
        const bool isFinal = answer.status != 0 && answer.status < 500 && answer.status != 429;
        if (isFinal)
            return answer;
        std::this_thread::sleep_for(200ms);
    }
    return answer;
}

bool Deployment::submit(const std::string &queue, const std::string &id, const json &job)
{
    const Answer answer = ask("POST", "/" + queue + "/" + id, job.dump());
    record_.add("job " + id + " on " + queue + " is handed in: " + std::to_string(answer.status));
    return answer.status >= 200 && answer.status < 300;
}

std::string Deployment::stateOf(const std::string &queue, const std::string &id)
{
    const Answer answer = ask("GET", "/" + queue + "/" + id, {});
    const json state = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && state.is_object() ? state.value("state", "") : "";
}

} // namespace chicorywick::review
