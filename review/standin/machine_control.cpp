#include "machine_control.h"

#include <algorithm>
#include <stdexcept>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;

constexpr auto kUpkeepTime = 2s;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

} // namespace

MachineControl::MachineControl(boost::asio::io_context &loop,
                               std::vector<std::unique_ptr<Runner>> &runners, Record &record)
    : loop_(loop)
    , runners_(runners)
    , record_(record)
    , server_(loop, [this](const http::Request &request, const http::Responder &respond) {
        handle(request, respond);
    })
{
    if (!server_.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("the machine control stand-in cannot listen");
}

void MachineControl::addWave(int number, const std::vector<std::string> &machines)
{
    waves_[number].insert(machines.begin(), machines.end());
}

std::size_t MachineControl::begun(int wave) const
{
    const auto found = begun_.find(wave);
    return found != begun_.end() ? found->second.size() : 0;
}

void MachineControl::answer(const http::Responder &respond, int status, const json &body)
{
    std::uniform_int_distribution<int> millis(20, 40);
    const auto timer = std::make_shared<boost::asio::steady_timer>(
            loop_, std::chrono::milliseconds(millis(random_) * slowness_));
    timer->async_wait([timer, respond, status, body](const boost::system::error_code &error) {
        if (!error)
            respond({.status = status,
                     .headers = {{"Content-Type", "application/json"}},
                     .body = body.dump()});
    });
}

void MachineControl::handle(const http::Request &request, const http::Responder &respond)
{
    if (request.target.starts_with("/machines")) {
        json machines = json::array();
        for (const auto &runner : runners_)
            machines.push_back(runner->listing());
        return answer(respond, 200, {{"machines", machines}});
    }
    if (request.target == "/machine-upkeep")
        return upkeep(json::parse(request.body), respond);
    answer(respond, kNotFound, json::object()); // no pool is spare, so nothing moves
}

void MachineControl::upkeep(const json &body, const http::Responder &respond)
{
    const std::string machine = body.at("machine");
    const int wave = body.at("wave");
    const auto found =
            std::find_if(runners_.begin(), runners_.end(), [&machine](const auto &runner) {
                return runner->place().machine == machine;
            });
    if (found == runners_.end())
        return answer(respond, kBadRequest, json::object());
    if (!waves_[wave].contains(machine))
        return answer(respond, kConflict, {{"reason", "wave"}});
    if (begun_[wave].contains(machine)) {
        record_.add("upkeep of " + machine + " is asked for again: 200, it is done already");
        return answer(respond, 200, json::object());
    }
    if (!(*found)->isUp())
        return answer(respond, kConflict, {{"reason", "busy"}});
    begun_[wave].insert(machine);
    (*found)->upkeep(kUpkeepTime);
    answer(respond, 200, json::object());
}

} // namespace chicorywick::review
