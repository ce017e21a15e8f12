#include "machines.h"

#include <boost/asio/steady_timer.hpp>

#include <stdexcept>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;

constexpr auto kUpkeepTime = 2'000ms;
constexpr auto kMoveTime = 1'500ms;
constexpr auto kCallTime = 10ms;

http::Response answer(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

} // namespace

Machines::Machines(boost::asio::io_context &loop, Store &store, RunLog &log, Record &record)
    : loop_(loop)
    , store_(store)
    , log_(log)
    , record_(record)
    , server_(loop, [this](const http::Request &request, const http::Responder &respond) {
        handle(request, respond);
    })
{
    if (!server_.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("the machine control stand-in cannot listen");
}

void Machines::add(const RunnerSetup &setup)
{
    Machine &machine = machines_[setup.machine];
    machine.setup = setup;
    beginLife(machine);
}

std::vector<Runner *> Machines::runners() const
{
    std::vector<Runner *> up;
    for (const auto &[name, machine] : machines_)
        if (machine.runner)
            up.push_back(machine.runner.get());
    return up;
}

void Machines::beat()
{
    for (Runner *const runner : runners())
        store_.put("servers", runner->setup().id, runner->registration());
}

void Machines::handle(const http::Request &request, const http::Responder &respond)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kCallTime);
    timer->async_wait([this, timer, request, respond](const boost::system::error_code &error) {
        if (error)
            return;
        if (isDown_)
            return respond({.status = 503});
        if (request.target.starts_with("/machines"))
            return list(respond);
        if (request.target == "/machine-upkeep")
            return maintain(json::parse(request.body), respond);
        if (request.target == "/machine-move")
            return move(json::parse(request.body), respond);
        respond({.status = 404});
    });
}

void Machines::list(const http::Responder &respond) const
{
    json machines = json::array();
    for (const auto &[name, machine] : machines_) {
        const RunnerSetup &setup = machine.setup;
        machines.push_back(
                {{"machine", name},
                 {"pool", setup.service},
                 {"state", machine.state},
                 {"zone", "z"},
                 {"labels", json::array({"kind-a", "rack-1"})},
                 {"capacity", {{"cpu", setup.cpuMillis}, {"mem_mb", setup.memoryMib}, {"gpu", 0}}},
                 {"id", machine.runner ? setup.id : ""}});
    }
    respond(answer(200, {{"machines", machines}}));
}

void Machines::maintain(const json &body, const http::Responder &respond)
{
    const std::string name = body.at("machine");
    const std::int64_t wave = body.at("wave");
    const auto found = machines_.find(name);
    if (found == machines_.end())
        return respond({.status = 400});
    Machine &machine = found->second;
    const bool isDone = machine.maintainedFor[wave];
    record_.add("machine control", "upkeep of " + name + " for wave " + std::to_string(wave)
                                           + (isDone ? ": done already" : ""));
    if (isDone)
        return respond(answer(200, json::object()));
    if (machine.state != "up")
        return respond(answer(409, {{"reason", "busy"}}));
    machine.maintainedFor[wave] = true;
    ++upkeeps_;
    replaceRunner(machine, machine.setup.service, "upkeep", kUpkeepTime);
    respond(answer(200, json::object()));
}

void Machines::move(const json &body, const http::Responder &respond)
{
    const std::string name = body.at("machine");
    const std::string pool = body.at("pool");
    const auto found = machines_.find(name);
    if (found == machines_.end())
        return respond({.status = 400});
    Machine &machine = found->second;
    if (machine.setup.service == pool)
        return respond(answer(200, json::object()));
    if (machine.state != "up")
        return respond(answer(409, {{"reason", "busy"}}));
    ++moves_;
    record_.add("machine control",
                "move of " + name + " from " + machine.setup.service + " to " + pool);
    replaceRunner(machine, pool, "moving", kMoveTime);
    respond(answer(200, json::object()));
}

void Machines::replaceRunner(Machine &machine, const std::string &pool, const char *state,
                             std::chrono::milliseconds time)
{
    machine.state = state;
    machine.setup.service = pool;
    if (machine.runner) {
        machine.runner->shutDown();
        store_.remove("servers", machine.runner->setup().id);
        machine.former.push_back(std::move(machine.runner));
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, time);
    timer->async_wait([this, timer, &machine](const boost::system::error_code &error) {
        if (!error)
            beginLife(machine);
    });
}

// Each life of a machine is a runner with an id of its own.
void Machines::beginLife(Machine &machine)
{
    machine.state = "up";
    if (machine.setup.service == sparePool_)
        return;
    machine.setup.id = "i-" + machine.setup.machine + "-" + std::to_string(machine.lives++);
    machine.runner = std::make_unique<Runner>(loop_, machine.setup, log_, record_);
    store_.put("servers", machine.setup.id, machine.runner->registration());
    record_.add("machine control", machine.setup.machine + " is up in " + machine.setup.service
                                           + " with the runner " + machine.setup.id);
}

} // namespace chicorywick::review
