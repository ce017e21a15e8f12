#include "runner.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace chicorywick::review {

namespace {

constexpr std::int64_t kHoldMaxMs = 6'000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr std::int64_t kMaxWaitMs = 2'000;

std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

http::Response answer(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

} // namespace

std::string encode(const std::vector<TaskPlan> &planByStep)
{
    std::string text;
    for (const TaskPlan &plan : planByStep)
        text += std::to_string(plan.cpuMillis) + ' ' + std::to_string(plan.memoryMib) + ' '
                + std::to_string(plan.durationMs) + ' ';
    return text;
}

// A task is named ID.OCCURRENCE.STEP.INDEX.
TaskPlan decodeTaskPlan(const std::string &text, const std::string &task)
{
    const std::size_t index = task.rfind('.');
    const std::size_t step = task.rfind('.', index - 1);
    const int number = std::stoi(task.substr(step + 1, index - step - 1));
    TaskPlan plan;
    std::istringstream stream(text);
    for (int i = 0; i <= number; ++i)
        stream >> plan.cpuMillis >> plan.memoryMib >> plan.durationMs;
    return plan;
}

Runner::Runner(boost::asio::io_context &loop, RunnerSetup setup, RunLog &log, Record &record)
    : loop_(loop)
    , setup_(std::move(setup))
    , log_(log)
    , record_(record)
    , server_(loop, [this](const http::Request &request,
                           const http::Responder &respond) { receive(request, respond); })
    , expiry_(loop)
    , born_(wallMs())
    , clockOrigin_(steadyMs() - 1'000)
{
    if (!server_.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("a runner stand-in cannot listen");
}

std::int64_t Runner::clockMs() const
{
    return steadyMs() - clockOrigin_;
}

json Runner::registration()
{
    return {{"service", setup_.service},
            {"address", "127.0.0.1:" + std::to_string(port())},
            {"zone", "z"},
            {"version", "1.0"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"seq_no", ++sequence_},
            {"machine", setup_.machine},
            {"capacity", {{"cpu", setup_.cpuMillis}, {"mem_mb", setup_.memoryMib}, {"gpu", 0}}},
            {"labels", json::array({"kind-a", "rack-1"})},
            {"born", born_}};
}

std::int64_t Runner::usedCpuMillis() const
{
    std::int64_t used = 0;
    for (const auto &[task, run] : running_)
        used += run.plan.cpuMillis;
    return used;
}

// Half of the delay passes before the request is handled, the other half after it.
void Runner::receive(const http::Request &request, const http::Responder &respond)
{
    if (isCut_)
        return;
    const http::Responder reply = [this, respond](const http::Response &response) {
        if (!isCut_)
            respond(response);
    };
    if (setup_.replyDelay.count() == 0)
        return handle(request, reply);
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, setup_.replyDelay / 2);
    timer->async_wait([this, timer, request, reply](const boost::system::error_code &) {
        handle(request, [this, reply](const http::Response &response) {
            auto back = std::make_shared<boost::asio::steady_timer>(loop_, setup_.replyDelay / 2);
            back->async_wait([back, reply, response](const boost::system::error_code &) {
                reply(response);
            });
        });
    });
}

void Runner::handle(const http::Request &request, const http::Responder &respond)
{
    if (isCut_)
        return;
    if (request.target == "/health")
        return respond({.status = 200});
    if (http::headerOf(request.headers, "x-expect-instance") != setup_.id)
        return respond({.status = 421});
    const json body = json::parse(request.body);
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < fencingToken_)
        return reject("fence", respond);
    fencingToken_ = token;
    if (body.contains("deadline_ms")) {
        const std::int64_t requested = body.at("deadline_ms");
        leaseUntil_ = std::max(leaseUntil_, std::min(requested, clockMs() + kHoldMaxMs));
        scheduleExpiry();
    }
    if (request.target == "/run-start")
        return start(body, respond);
    if (request.target == "/run-stop")
        return stop(body, respond);
    if (request.target == "/hold")
        return hold(body, respond);
    respond(answer(200, {{"clock_ms", clockMs()}}));
}

void Runner::reject(const char *reason, const http::Responder &respond) const
{
    respond(answer(409, {{"clock_ms", clockMs()}, {"reason", reason}}));
}

void Runner::start(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    if (body.at("deadline_ms").get<std::int64_t>() <= clockMs())
        return reject("late", respond);
    const auto active = running_.find(task);
    if (active != running_.end() && active->second.run == run)
        return respond(answer(200, {{"clock_ms", clockMs()}}));
    const auto closed = closedRuns_.find(task);
    if (active != running_.end() || (closed != closedRuns_.end() && closed->second >= run))
        return reject("old", respond);
    const TaskPlan plan = decodeTaskPlan(body.at("spec"), task);
    std::int64_t usedMemory = 0;
    for (const auto &[other, each] : running_)
        usedMemory += each.plan.memoryMib;
    if (usedCpuMillis() + plan.cpuMillis > setup_.cpuMillis
        || usedMemory + plan.memoryMib > setup_.memoryMib)
        return reject("room", respond);

    RunLog::Task &logged = log_.tasks[task];
    const std::string label = task + " run " + std::to_string(run);
    if (!log_.isTerse)
        record_.add(setup_.id, "starts " + label);
    for (const auto &[other, otherRun] : logged.activeOn)
        record_.violate("TWICE", label + " starts on " + setup_.id + " while run "
                                         + std::to_string(otherRun) + " is at work on " + other);
    if (logged.isDoneAcknowledged)
        record_.violate("TWICE", label + " starts on " + setup_.id
                                         + " after its end done was taken note of");
    logged.activeOn[setup_.id] = run;
    logged.lastBegunMs = record_.elapsedMs();
    ++logged.starts;
    ++log_.starts;

    auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    running_[task] = {.run = run, .plan = plan, .timer = timer};
    if (plan.durationMs > 0) {
        timer->expires_after(std::chrono::milliseconds(plan.durationMs));
        timer->async_wait([this, task, run](const boost::system::error_code &error) {
            const auto found = running_.find(task);
            if (!error && found != running_.end() && found->second.run == run)
                end(task, "done");
        });
    }
    respond(answer(200, {{"clock_ms", clockMs()}}));
}

void Runner::stop(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    closedRuns_[task] = std::max(closedRuns_[task], run);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run)
        end(task, "stopped");
    respond(answer(200, {{"clock_ms", clockMs()}}));
}

bool Runner::endTask(const std::string &task, const char *how)
{
    if (!running_.contains(task))
        return false;
    end(task, how);
    return true;
}

void Runner::end(const std::string &task, const char *how)
{
    const auto found = running_.find(task);
    const std::int64_t run = found->second.run;
    found->second.timer->cancel();
    ended_.push_back({nextEnd_++, task, run, how, ""});
    closedRuns_[task] = std::max(closedRuns_[task], run);
    running_.erase(found);
    RunLog::Task &logged = log_.tasks[task];
    logged.activeOn.erase(setup_.id);
    logged.lastEndedMs = record_.elapsedMs();
    logged.lastEnd = how;
    ++log_.ends;
    if (!log_.isTerse)
        record_.add(setup_.id, "ends " + task + " run " + std::to_string(run) + " " + how);
    for (const PendingPoll &poll : std::exchange(polls_, {})) {
        poll.timer->cancel();
        poll.respond(answer(200, status()));
    }
}

void Runner::shutDown()
{
    for (const auto &[task, run] : running_) {
        run.timer->cancel();
        log_.tasks[task].activeOn.erase(setup_.id);
        record_.add(setup_.id, "is shut down, and with it " + task);
    }
    running_.clear();
    expiry_.cancel();
    isCut_ = true;
}

void Runner::scheduleExpiry()
{
    expiry_.expires_after(
            std::chrono::milliseconds(std::max<std::int64_t>(leaseUntil_ - clockMs(), 0)));
    expiry_.async_wait([this](const boost::system::error_code &error) {
        if (error || clockMs() < leaseUntil_)
            return;
        while (!running_.empty())
            end(running_.begin()->first, "lapsed");
    });
}

json Runner::status() const
{
    json running = json::array();
    for (const auto &[task, run] : running_)
        running.push_back({task, run.run, "", 100, run.plan.cpuMillis});
    const auto count = static_cast<std::ptrdiff_t>(std::min(ended_.size(), kMaxListedEnds));
    return {{"clock_ms", clockMs()},
            {"born", born_},
            {"running", running},
            {"ended", json(std::vector<json>(ended_.begin(), ended_.begin() + count))}};
}

void Runner::hold(const json &body, const http::Responder &respond)
{
    const std::int64_t acked = body.at("acked_upto");
    std::erase_if(ended_, [this, acked](const json &each) {
        const bool isAcked = each[0].get<std::int64_t>() <= acked;
        if (isAcked && each[3] == "done")
            log_.tasks[each[1].get<std::string>()].isDoneAcknowledged = true;
        return isAcked;
    });
    const std::int64_t wait = std::min(body.value("wait_ms", std::int64_t{0}), kMaxWaitMs);
    if (wait == 0 || !ended_.empty())
        return respond(answer(200, status()));
    auto timer =
            std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(wait));
    polls_.push_back({.respond = respond, .timer = timer});
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        if (error)
            return;
        std::erase_if(polls_, [&](const PendingPoll &poll) {
            if (poll.timer != timer)
                return false;
            poll.respond(answer(200, status()));
            return true;
        });
    });
}

} // namespace chicorywick::review
