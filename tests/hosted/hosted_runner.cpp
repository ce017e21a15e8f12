#include "hosted_runner.h"

#include <chicorywick/entry/node.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMaxLeaseMs = 6'000;
constexpr std::int64_t kClockAtStartMs = 1'000;
// Rule BUDGET: a task may be started twice more after three runners have crashed under it.
constexpr int kCrashesBeforeLimit = 3;
constexpr int kMaxStartsAfterLimit = 2;

http::Response jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

std::uint16_t listenOnAnyPort(http::Server &server)
{
    if (!server.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("a runner stand-in cannot listen");
    return server.port();
}

} // namespace

HostedRunner::HostedRunner(boost::asio::io_context &loop, std::string machine, RunRecord &record,
                           CrashBehaviour behaviour)
    : loop_(loop)
    , machine_(std::move(machine))
    , id_(machine_)
    , record_(record)
    , behaviour_(behaviour)
    , server_(loop, [this](const http::Request &request,
                           const http::Responder &respond) { handle(request, respond); })
    , proxy_(loop, listenOnAnyPort(server_))
    , expiry_(loop)
    , restartTimer_(loop)
    , startTime_(entry::systemNow().wall)
{}

std::int64_t HostedRunner::steadyNowMs() const
{
    return entry::systemNow().steady - clockOriginMs_;
}

std::string HostedRunner::registration(const std::string &service) const
{
    return json{{"service", service},
                {"address", "127.0.0.1:" + std::to_string(port())},
                {"zone", "z"},
                {"machine", "m-" + machine_},
                {"state", "ready"},
                {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
                {"labels", json::array({"a", "r-" + machine_})},
                {"born", startTime_}}
            .dump();
}

void HostedRunner::handle(const http::Request &request, const http::Responder &respond)
{
    if (isDown_)
        return; // received before the crash
    if (isUnresponsive_)
        return; // the request of the daemon times out
    if (http::headerOf(request.headers, "x-expect-instance") != id_)
        return respond({.status = 421});
    const json body = json::parse(request.body);
    if (rejectStaleToken(body, respond))
        return;
    fencingToken_ = body.at("fencing_token");
    if (body.contains("deadline_ms")) {
        const std::int64_t requestedUntil = body.at("deadline_ms");
        leaseUntil_ = std::max(leaseUntil_, std::min(requestedUntil, steadyNowMs() + kMaxLeaseMs));
        scheduleExpiry();
    }
    if (request.target == "/run-start")
        return start(body, respond);
    if (request.target == "/run-stop")
        return stop(body, respond);
    if (request.target == "/hold")
        return longPoll(body, respond);
    respond(jsonResponse(200, {{"clock_ms", steadyNowMs()}}));
}

bool HostedRunner::rejectStaleToken(const json &body, const http::Responder &respond)
{
    if (body.at("fencing_token").get<std::int64_t>() >= fencingToken_)
        return false;
    respond(jsonResponse(409, {{"clock_ms", steadyNowMs()}, {"reason", "fence"}}));
    return true;
}

void HostedRunner::start(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    if (body.at("deadline_ms").get<std::int64_t>() <= steadyNowMs())
        return respond(jsonResponse(409, {{"clock_ms", steadyNowMs()}, {"reason", "late"}}));
    const auto activeRun = running_.find(task);
    if (activeRun != running_.end() && activeRun->second.run == run)
        return respond(jsonResponse(200, {{"clock_ms", steadyNowMs()}}));
    if (activeRun != running_.end() || (tombstones_.contains(task) && tombstones_[task] >= run))
        return respond(jsonResponse(409, {{"clock_ms", steadyNowMs()}, {"reason", "old"}}));
    const std::string spec = body.at("spec");
    const bool isCrashing = spec == kCrashSpec;
    recordStart(task, spec);
    const std::chrono::milliseconds duration = isCrashing ? behaviour_.crashDelay : taskDuration_;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, duration);
    timer->async_wait([this, task, run, isCrashing](const boost::system::error_code &error) {
        // A timer that has expired runs its handler also if the run has ended meanwhile.
        const auto found = running_.find(task);
        if (error || found == running_.end() || found->second.run != run)
            return;
        if (isCrashing)
            crash(task);
        else
            end(task, "done");
    });
    running_[task] = {.run = run, .timer = timer};
    respond(jsonResponse(200, {{"clock_ms", steadyNowMs()}}));
}

void HostedRunner::recordStart(const std::string &task, const std::string &spec)
{
    auto &runnerIds = record_.runningOn[task];
    if (!runnerIds.empty())
        record_.violations.push_back(task + " runs twice");
    if (record_.doneAndAcknowledged.contains(task))
        record_.violations.push_back(task + " started after its end was acknowledged");
    runnerIds.insert(id_);
    const auto limited = std::count_if(
            record_.runningOn.begin(), record_.runningOn.end(), [](const auto &running) {
                return running.first.starts_with(kLimitedPrefix) && !running.second.empty();
            });
    if (record_.maxLimitedTasks > 0 && limited > record_.maxLimitedTasks)
        record_.violations.push_back("QUOTA: " + task + " is one too many of its account");
    record_.jobStarts.push_back(
            {.job = spec.substr(0, spec.find(' ')), .time = std::chrono::steady_clock::now()});
    if (spec != kCrashSpec)
        return;
    ++record_.crashingTaskStarts;
    if (record_.crashes[task] >= kCrashesBeforeLimit
        && ++record_.startsAfterThirdCrash[task] == kMaxStartsAfterLimit + 1)
        record_.violations.push_back("BUDGET: " + task
                                     + " started three more times after three runner crashes");
}

// The ends that no daemon has read are lost with everything else that the process held.
void HostedRunner::crash(const std::string &task)
{
    ++record_.crashes[task];
    isDown_ = true;
    for (const auto &[lost, run] : running_) {
        run.timer->cancel();
        record_.runningOn[lost].erase(id_);
    }
    for (const PendingPoll &pending : std::exchange(pendingPolls_, {}))
        pending.timer->cancel();
    running_.clear();
    tombstones_.clear();
    ended_.clear();
    expiry_.cancel();
    proxy_.close();
    restartTimer_.expires_after(behaviour_.downTime);
    restartTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            restart();
    });
}

void HostedRunner::restart()
{
    const std::string formerId = id_;
    ++restarts_;
    if (behaviour_.identity == RestartIdentity::NewId)
        id_ = machine_ + "-" + std::to_string(restarts_);
    const scheduler::Now now = entry::systemNow();
    startTime_ = now.wall;
    clockOriginMs_ = now.steady - kClockAtStartMs;
    fencingToken_ = 0;
    leaseUntil_ = 0;
    nextEndSequence_ = 1;
    isDown_ = false;
    proxy_.listen();
    if (restartHandler_)
        restartHandler_(formerId);
}

void HostedRunner::stop(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    tombstones_[task] = std::max(tombstones_[task], run);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run)
        end(task, "stopped");
    respond(jsonResponse(200, {{"clock_ms", steadyNowMs()}}));
}

void HostedRunner::end(const std::string &task, const char *outcome)
{
    const auto found = running_.find(task);
    found->second.timer->cancel();
    ended_.push_back({nextEndSequence_++, task, found->second.run, outcome, ""});
    tombstones_[task] = std::max(tombstones_[task], found->second.run);
    running_.erase(found);
    record_.runningOn[task].erase(id_);
    for (const PendingPoll &pending : std::exchange(pendingPolls_, {})) {
        pending.timer->cancel();
        pending.respond(jsonResponse(200, statusJson()));
    }
}

void HostedRunner::scheduleExpiry()
{
    expiry_.expires_after(
            std::chrono::milliseconds(std::max<std::int64_t>(leaseUntil_ - steadyNowMs(), 0)));
    expiry_.async_wait([this](const boost::system::error_code &error) {
        if (error || steadyNowMs() < leaseUntil_)
            return;
        while (!running_.empty())
            end(running_.begin()->first, "lapsed");
    });
}

json HostedRunner::statusJson() const
{
    json running = json::array();
    for (const auto &[task, run] : running_)
        running.push_back({task, run.run, "", 100});
    return {{"clock_ms", steadyNowMs()},
            {"born", startTime_},
            {"running", running},
            {"ended", ended_}};
}

void HostedRunner::longPoll(const json &body, const http::Responder &respond)
{
    const std::int64_t acked = body.at("acked_upto");
    std::erase_if(ended_, [this, acked](const json &end) {
        const bool isAcked = end[0].get<std::int64_t>() <= acked;
        if (isAcked && end[3] == "done")
            record_.doneAndAcknowledged.insert(end[1].get<std::string>());
        return isAcked;
    });
    const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
    if (wait == 0 || !ended_.empty())
        return respond(jsonResponse(200, statusJson()));
    auto timer =
            std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(wait));
    pendingPolls_.push_back({.respond = respond, .timer = timer});
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        if (error)
            return;
        std::erase_if(pendingPolls_, [&](const PendingPoll &pending) {
            if (pending.timer != timer)
                return false;
            pending.respond(jsonResponse(200, statusJson()));
            return true;
        });
    });
}

} // namespace chicorywick::hosted
