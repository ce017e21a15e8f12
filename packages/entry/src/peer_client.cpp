#include "peer_client.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr const char *kStatePath = "/jobs/";
constexpr const char *kWaitingPath = "/queues/";
constexpr const char *kTransactPath = "/transactions";
constexpr const char *kRowsPath = "/rows";
const std::string kYieldPath = "/yield/";
// Well above a round trip. If the leader does not answer in time, states are read from the store.
constexpr auto kTimeout = 300ms;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
// The requesting daemon's own timeout ends its wait; this one only frees the connection.
constexpr auto kRelayTimeout = 2500ms;
constexpr std::size_t kConnections = 4;

// Wire format: the number of the job state (-1: unknown) and the number of waiting jobs.
std::string encode(const ControllerAnswer &answer)
{
    const int state = answer.state ? static_cast<int>(*answer.state) : -1;
    return nlohmann::json{state, answer.waiting}.dump();
}

ControllerAnswer decode(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool isAnswer = json.is_array() && json.size() == 2 && json[0].is_number_integer()
                          && json[1].is_number_integer();
    if (!isAnswer)
        return {};
    ControllerAnswer answer{.isAnswered = true, .waiting = json[1].get<int>()};
    const int state = json[0].get<int>();
    if (state >= 0 && state <= static_cast<int>(scheduler::JobState::Cancelled))
        answer.state = static_cast<scheduler::JobState>(state);
    return answer;
}

nlohmann::json encodeKey(const RowKey &key)
{
    return {key.table, key.part, key.key};
}

RowKey decodeKey(const nlohmann::json &json)
{
    return {.table = json.at(0), .part = json.at(1), .key = json.at(2)};
}

std::string encode(const Transaction &transaction)
{
    nlohmann::json json{{"conditions", nlohmann::json::array()},
                        {"writes", nlohmann::json::array()}};
    for (const RowCondition &condition : transaction.conditions)
        json["conditions"].push_back({encodeKey(condition.key), condition.version});
    for (const RowWrite &write : transaction.writes)
        json["writes"].push_back({encodeKey(write.key), write.value});
    return json.dump();
}

base::Result<Transaction> decodeTransaction(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Transaction transaction;
        for (const auto &each : json.at("conditions"))
            transaction.conditions.push_back({.key = decodeKey(each.at(0)), .version = each.at(1)});
        for (const auto &each : json.at("writes"))
            transaction.writes.push_back({.key = decodeKey(each.at(0)), .value = each.at(1)});
        return transaction;
    } catch (const nlohmann::json::exception &error) {
        return base::makeError(base::Code::PeerMessageRefused, error.what());
    }
}

} // namespace

void PeerClient::setLeader(const std::string &address)
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

void PeerClient::query(const std::string &target, std::function<void(ControllerAnswer)> done)
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

void PeerClient::transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                          Callback<TransactionResult> done)
{
    client_->send({.method = "POST", .target = kTransactPath, .body = encode(transaction)}, timeout,
                  [done = std::move(done)](const base::Result<http::Response> &response) {
                      const bool mayHaveRun =
                              response
                                      ? response.value().status == kOutcomeUnknown
                                      : response.error().code == base::Code::UpstreamOutcomeUnknown;
                      if (mayHaveRun)
                          return done(base::makeError(base::Code::PlatformUnknownOutcome, "relay"));
                      const bool isAnswer = response
                                            && (response.value().status == kOk
                                                || response.value().status == kConflict);
                      if (!isAnswer)
                          return done(base::makeError(base::Code::PlatformUnavailable, "relay"));
                      // The current rows are not relayed: the intake only needs to know that they
                      // exist.
                      done(TransactionResult{.isCommitted = response.value().status == kOk});
                  });
}

bool relayTransaction(const http::Request &request, Table &table, const http::Responder &respond)
{
    if (request.target != kTransactPath)
        return false;
    const auto transaction = decodeTransaction(request.body);
    if (!transaction) {
        respond({.status = kBadRequest});
        return true;
    }
    table.transact(transaction.value(), kRelayTimeout,
                   [respond](const base::Result<TransactionResult> &result) {
                       if (result)
                           return respond({.status = result.value().isCommitted ? kOk : kConflict});
                       const bool mayHaveRun =
                               result.error().code == base::Code::PlatformUnknownOutcome;
                       respond({.status = mayHaveRun ? kOutcomeUnknown : kUnavailable});
                   });
    return true;
}

void PeerClient::queryState(const std::string &id, std::function<void(ControllerAnswer)> done)
{
    query(kStatePath + id, std::move(done));
}

void PeerClient::queryWaiting(const std::string &queue, std::function<void(ControllerAnswer)> done)
{
    query(kWaitingPath + queue, std::move(done));
}

void PeerClient::announce(const Row &row)
{
    if (!client_)
        return;
    const nlohmann::json body{encodeKey(row.key), row.value, row.version};
    client_->send({.method = "POST", .target = kRowsPath, .body = body.dump()}, kTimeout,
                  [](const base::Result<http::Response> & /*response*/) {
                      // Errors are ignored: the leader also reads the row from the store.
                  });
}

std::optional<Row> parseAnnouncedRow(const http::Request &request)
{
    if (request.target != kRowsPath)
        return std::nullopt;
    try {
        const auto json = nlohmann::json::parse(request.body);
        return Row{.key = decodeKey(json.at(0)), .value = json.at(1), .version = json.at(2)};
    } catch (const nlohmann::json::exception &error) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"call", "announced-row"}, {"reason", error.what()}});
        return Row{};
    }
}

void PeerClient::requestYield(std::int64_t memoryMib)
{
    if (!client_)
        return;
    client_->send({.method = "POST", .target = kYieldPath + std::to_string(memoryMib)}, kTimeout,
                  [](const base::Result<http::Response> &response) {
                      // The node repeats the request; the leader row shows whether the leader has
                      // yielded.
                      if (!response)
                          base::logEvent(base::Event::PlatformUnreachable,
                                         {{"call", "ask-for-yield"},
                                          {"reason", response.error().message}});
                  });
}

std::optional<std::int64_t> parseYieldRequest(const http::Request &request)
{
    if (!request.target.starts_with(kYieldPath))
        return std::nullopt;
    std::int64_t memoryMib = 0;
    const char *last = request.target.data() + request.target.size();
    const auto [end, error] =
            std::from_chars(request.target.data() + kYieldPath.size(), last, memoryMib);
    return error == std::errc() && end == last ? std::optional(memoryMib) : std::nullopt;
}

ControllerAnswer answerState(const Controller &controller, const std::string &id)
{
    return {.isAnswered = controller.isLoaded(), .state = controller.reportedState(id)};
}

ControllerAnswer answerWaiting(const Controller &controller, const std::string &queue)
{
    return {.isAnswered = controller.isLoaded(), .waiting = controller.waitingJobs(queue)};
}

http::Response handlePeerQuery(const http::Request &request, const Controller *controller)
{
    if (controller == nullptr || !controller->isLoaded())
        return {.status = kUnavailable};
    const auto argument = [&request](const std::string &prefix) {
        return request.target.substr(prefix.size());
    };
    if (request.target.starts_with(kStatePath))
        return {.status = kOk, .body = encode(answerState(*controller, argument(kStatePath)))};
    if (request.target.starts_with(kWaitingPath))
        return {.status = kOk, .body = encode(answerWaiting(*controller, argument(kWaitingPath)))};
    return {.status = 404};
}

} // namespace chicorywick::entry
