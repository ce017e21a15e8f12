#include "hosted_runner.h"

#include <chicorywick/entry/node.h>

#include <stdexcept>
#include <utility>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;

constexpr auto kWork = 300ms;
constexpr std::int64_t kMaxLeaseMs = 6'000;

http::Response answer(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

} // namespace

HostedRunner::HostedRunner(boost::asio::io_context &loop, std::string id, RunRecord &record)
    : loop_(loop)
    , id_(std::move(id))
    , record_(record)
    , server_(loop, [this](const http::Request &request,
                           const http::Responder &respond) { handle(request, respond); })
    , expiry_(loop)
    , born_(entry::systemNow().wall)
{
    if (!server_.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("a runner stand-in cannot listen");
}

std::int64_t HostedRunner::clock() const
{
    return entry::systemNow().steady;
}

std::string HostedRunner::registration(const std::string &service) const
{
    return json{{"service", service},
                {"address", "127.0.0.1:" + std::to_string(server_.port())},
                {"zone", "z"},
                {"machine", "m-" + id_},
                {"state", "ready"},
                {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
                {"labels", json::array({"a", "r1"})},
                {"born", born_}}
            .dump();
}

void HostedRunner::handle(const http::Request &request, const http::Responder &respond)
{
    if (isSilent_)
        return; // the caller's time-out is the only answer
    if (http::headerOf(request.headers, "x-expect-instance") != id_)
        return respond({.status = 421});
    const json body = json::parse(request.body);
    if (isFenced(body, respond))
        return;
    fence_ = body.at("fencing_token");
    if (body.contains("deadline_ms")) {
        const std::int64_t asked = body.at("deadline_ms");
        leaseUntil_ = std::max(leaseUntil_, std::min(asked, clock() + kMaxLeaseMs));
        scheduleExpiry();
    }
    if (request.target == "/run-start")
        return start(body, respond);
    if (request.target == "/run-stop")
        return stop(body, respond);
    if (request.target == "/hold")
        return hold(body, respond);
    respond(answer(200, {{"clock_ms", clock()}}));
}

bool HostedRunner::isFenced(const json &body, const http::Responder &respond)
{
    if (body.at("fencing_token").get<std::int64_t>() >= fence_)
        return false;
    respond(answer(409, {{"clock_ms", clock()}, {"reason", "fence"}}));
    return true;
}

void HostedRunner::start(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    if (body.at("deadline_ms").get<std::int64_t>() <= clock())
        return respond(answer(409, {{"clock_ms", clock()}, {"reason", "late"}}));
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run == run)
        return respond(answer(200, {{"clock_ms", clock()}}));
    if (present != running_.end() || (tombstones_.contains(task) && tombstones_[task] >= run))
        return respond(answer(409, {{"clock_ms", clock()}, {"reason", "old"}}));
    auto &places = record_.runningOn[task];
    if (!places.empty())
        record_.violations.push_back(task + " runs twice");
    if (record_.doneAndAcknowledged.contains(task))
        record_.violations.push_back(task + " started after its end was acknowledged");
    places.insert(id_);
    ++record_.starts;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kWork);
    timer->async_wait([this, task](const boost::system::error_code &error) {
        if (!error)
            end(task, "done");
    });
    running_[task] = {.run = run, .timer = timer};
    respond(answer(200, {{"clock_ms", clock()}}));
}

void HostedRunner::stop(const json &body, const http::Responder &respond)
{
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    tombstones_[task] = std::max(tombstones_[task], run);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run)
        end(task, "stopped");
    respond(answer(200, {{"clock_ms", clock()}}));
}

void HostedRunner::end(const std::string &task, const char *how)
{
    const auto found = running_.find(task);
    found->second.timer->cancel();
    ended_.push_back({nextEnd_++, task, found->second.run, how, ""});
    tombstones_[task] = std::max(tombstones_[task], found->second.run);
    running_.erase(found);
    record_.runningOn[task].erase(id_);
    for (const Waiting &waiting : std::exchange(waiting_, {})) {
        waiting.timer->cancel();
        waiting.respond(answer(200, lists()));
    }
}

void HostedRunner::scheduleExpiry()
{
    expiry_.expires_after(
            std::chrono::milliseconds(std::max<std::int64_t>(leaseUntil_ - clock(), 0)));
    expiry_.async_wait([this](const boost::system::error_code &error) {
        if (error || clock() < leaseUntil_)
            return;
        while (!running_.empty())
            end(running_.begin()->first, "lapsed");
    });
}

json HostedRunner::lists() const
{
    json running = json::array();
    for (const auto &[task, run] : running_)
        running.push_back({task, run.run, "", 100});
    return {{"clock_ms", clock()}, {"born", born_}, {"running", running}, {"ended", ended_}};
}

void HostedRunner::hold(const json &body, const http::Responder &respond)
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
        return respond(answer(200, lists()));
    auto timer =
            std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(wait));
    waiting_.push_back({.respond = respond, .timer = timer});
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        if (error)
            return;
        std::erase_if(waiting_, [&](const Waiting &waiting) {
            if (waiting.timer != timer)
                return false;
            waiting.respond(answer(200, lists()));
            return true;
        });
    });
}

} // namespace chicorywick::hosted
