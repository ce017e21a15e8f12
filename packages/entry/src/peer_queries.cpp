#include "peer_queries.h"

#include <chicorywick/entry/records.h>

#include <nlohmann/json.hpp>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr const char *kStatePath = "/jobs/";
constexpr const char *kWaitingPath = "/queues/";
// Far above a round trip; a leader that is slower is asked through the store instead.
constexpr auto kTimeout = 300ms;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::size_t kConnections = 4;

// The answer on the wire: the number of a job state (-1: not known) and the jobs that wait.
std::string encode(const DriverAnswer &answer)
{
    const int state = answer.state ? static_cast<int>(*answer.state) : -1;
    return nlohmann::json{state, answer.waiting}.dump();
}

DriverAnswer decode(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool isAnswer = json.is_array() && json.size() == 2 && json[0].is_number_integer()
                          && json[1].is_number_integer();
    if (!isAnswer)
        return {};
    DriverAnswer answer{.isAnswered = true, .waiting = json[1].get<int>()};
    const int state = json[0].get<int>();
    if (state >= 0 && state <= static_cast<int>(scheduler::JobState::Cancelled))
        answer.state = static_cast<scheduler::JobState>(state);
    return answer;
}

} // namespace

void PeerQueries::setLeader(const std::string &address)
{
    if (address == address_)
        return;
    address_ = address;
    const http::Endpoint endpoint = http::parseEndpoint(address);
    client_.reset();
    if (endpoint.port != 0)
        client_ = std::make_unique<http::Client>(
                loop_, endpoint,
                http::ClientLimits{.maxConnections = kConnections, .connectTimeout = kTimeout});
}

void PeerQueries::ask(const std::string &target, std::function<void(DriverAnswer)> done)
{
    if (!client_)
        return done({});
    client_->send({.method = "GET", .target = target}, kTimeout,
                  [done = std::move(done)](const base::Result<http::Response> &response) {
                      if (!response || response.value().status != kOk)
                          return done({});
                      done(decode(response.value().body));
                  });
}

void PeerQueries::askState(const std::string &id, std::function<void(DriverAnswer)> done)
{
    ask(kStatePath + id, std::move(done));
}

void PeerQueries::askWaiting(const std::string &queue, std::function<void(DriverAnswer)> done)
{
    ask(kWaitingPath + queue, std::move(done));
}

DriverAnswer answerState(const Driver &driver, const std::string &id)
{
    return {.isAnswered = driver.isLoaded(), .state = driver.shownState(id)};
}

DriverAnswer answerWaiting(const Driver &driver, const std::string &queue)
{
    return {.isAnswered = driver.isLoaded(), .waiting = driver.waitingJobs(queue)};
}

http::Response answerPeer(const http::Request &request, const Driver *driver)
{
    if (driver == nullptr || !driver->isLoaded())
        return {.status = kUnavailable};
    const auto argument = [&request](const std::string &prefix) {
        return request.target.substr(prefix.size());
    };
    if (request.target.starts_with(kStatePath))
        return {.status = kOk, .body = encode(answerState(*driver, argument(kStatePath)))};
    if (request.target.starts_with(kWaitingPath))
        return {.status = kOk, .body = encode(answerWaiting(*driver, argument(kWaitingPath)))};
    return {.status = 404};
}

} // namespace chicorywick::entry
