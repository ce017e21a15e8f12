#include "peer_client.h"

#include "configuration_exchange.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

// Paths below /cells/N, but for kTransactPath, which concerns no cell.
const std::string kCellsPath = "/cells/";
const std::string kStatePath = "/jobs/";
const std::string kRowsPath = "/rows";
const std::string kYieldPath = "/yield";
constexpr const char *kTransactPath = "/transactions";
constexpr int kNoCell = -1;
// Well above a round trip. If the leader does not answer in time, states are read from the store.
constexpr auto kTimeout = 300ms;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421; // this daemon does not lead the cell
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
// The requesting daemon's own timeout ends its wait; this one only frees the connection.
constexpr auto kRelayTimeout = 2500ms;
constexpr std::size_t kConnections = 4;

// Wire format: the number of the job state (-1: unknown).
std::string encode(const ControllerAnswer &answer)
{
    return std::to_string(answer.state ? static_cast<int>(*answer.state) : -1);
}

ControllerAnswer decode(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_number_integer())
        return {};
    ControllerAnswer answer{.isAnswered = true};
    const int state = json.get<int>();
    if (state >= 0 && state <= static_cast<int>(scheduler::JobState::Cancelled))
        answer.state = static_cast<scheduler::JobState>(state);
    return answer;
}

std::string cellPath(int cell)
{
    return kCellsPath + std::to_string(cell);
}

/// @brief A request target of the form /cells/N/path.
struct CellTarget
{
    int cell = 0;
    std::string path;
};

std::optional<CellTarget> parseTarget(const std::string &target)
{
    if (!target.starts_with(kCellsPath))
        return std::nullopt;
    CellTarget parsed;
    const char *last = target.data() + target.size();
    const auto [end, error] = std::from_chars(target.data() + kCellsPath.size(), last, parsed.cell);
    if (error != std::errc() || parsed.cell < 0)
        return std::nullopt;
    parsed.path.assign(end, last);
    return parsed;
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

void PeerClient::setLeader(int cell, const std::string &address)
{
    if (addresses_[cell] == address)
        return;
    addresses_[cell] = address;
    std::erase_if(clients_, [this](const auto &client) {
        return std::none_of(addresses_.begin(), addresses_.end(), [&client](const auto &leader) {
            return leader.second == client.first;
        });
    });
    const http::Endpoint endpoint = http::parseEndpoint(address);
    if (endpoint.port != 0 && !clients_.contains(address))
        clients_[address] = std::make_shared<http::Client>(
                loop_, endpoint,
                http::ClientLimits{.maxConnections = kConnections, .connectTimeout = kTimeout});
}

PeerClient::ClientPointer PeerClient::leaderOf(int cell) const
{
    const auto address = addresses_.find(cell);
    const auto client =
            address != addresses_.end() ? clients_.find(address->second) : clients_.end();
    return client != clients_.end() ? client->second : nullptr;
}

std::vector<PeerClient::ClientPointer> PeerClient::relays() const
{
    std::vector<ClientPointer> others;
    for (const auto &[address, client] : clients_)
        if (address != ownAddress_)
            others.push_back(client);
    return others;
}

bool PeerClient::hasRelay() const
{
    return !relays().empty();
}

// The store may refuse several daemons at once, so that each call tries the next relay.
PeerClient::ClientPointer PeerClient::nextRelay()
{
    const auto others = relays();
    return others.empty() ? nullptr : others[nextRelay_++ % others.size()];
}

std::vector<std::string> PeerClient::leaderAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, client] : clients_)
        addresses.push_back(address);
    return addresses;
}

void PeerClient::send(http::Client &leader, http::Request request,
                      std::chrono::milliseconds timeout, http::ResponseCallback done) const
{
    request.headers[kSenderHeader] = ownAddress_;
    leader.send(std::move(request), timeout, std::move(done));
}

void PeerClient::queryState(int cell, const std::string &id,
                            std::function<void(ControllerAnswer)> done)
{
    const ClientPointer leader = leaderOf(cell);
    if (!leader)
        return done({});
    send(*leader, {.method = "GET", .target = cellPath(cell) + kStatePath + id}, kTimeout,
         [done = std::move(done)](const base::Result<http::Response> &response) {
             if (!response || response.value().status != kOk)
                 return done({});
             done(decode(response.value().body));
         });
}

void PeerClient::transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                          Callback<TransactionResult> done)
{
    const ClientPointer relay = nextRelay();
    if (!relay)
        return done(base::makeError(base::Code::PlatformUnavailable, "no relay"));
    send(*relay, {.method = "POST", .target = kTransactPath, .body = encode(transaction)}, timeout,
         [done = std::move(done)](const base::Result<http::Response> &response) {
             const bool mayHaveRun =
                     response ? response.value().status == kOutcomeUnknown
                              : response.error().code == base::Code::UpstreamOutcomeUnknown;
             if (mayHaveRun)
                 return done(base::makeError(base::Code::PlatformUnknownOutcome, "relay"));
             const bool isAnswer =
                     response
                     && (response.value().status == kOk || response.value().status == kConflict);
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

void PeerClient::announce(int cell, const Row &row, std::function<void(bool isConfirmed)> done)
{
    const ClientPointer leader = leaderOf(cell);
    if (!leader)
        return done(false);
    const nlohmann::json body{encodeKey(row.key), row.value, row.version};
    send(*leader, {.method = "POST", .target = cellPath(cell) + kRowsPath, .body = body.dump()},
         kTimeout, [done = std::move(done)](const base::Result<http::Response> &response) {
             done(response && response.value().status == kOk);
         });
}

std::optional<AnnouncedRow> parseAnnouncedRow(const http::Request &request)
{
    const auto target = parseTarget(request.target);
    if (!target || target->path != kRowsPath)
        return std::nullopt;
    try {
        const auto json = nlohmann::json::parse(request.body);
        return AnnouncedRow{
                .cell = target->cell,
                .row = {.key = decodeKey(json.at(0)), .value = json.at(1), .version = json.at(2)}};
    } catch (const nlohmann::json::exception &error) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"call", "announced-row"}, {"reason", error.what()}});
        return AnnouncedRow{.cell = kNoCell};
    }
}

http::Response answerAnnouncement(const AnnouncedRow &announced,
                                  const std::function<bool(const AnnouncedRow &)> &apply)
{
    if (announced.cell == kNoCell)
        return {.status = kBadRequest};
    return {.status = apply(announced) ? kOk : kMisdirected};
}

void PeerClient::requestYield(const YieldRequest &request)
{
    const ClientPointer leader = leaderOf(request.cell);
    if (!leader)
        return;
    const nlohmann::json body{request.memoryMib, request.heldCells};
    send(*leader,
         {.method = "POST", .target = cellPath(request.cell) + kYieldPath, .body = body.dump()},
         kTimeout, [](const base::Result<http::Response> &response) {
             // The daemon repeats the request; the leader row shows whether the leader has
             // yielded.
             if (!response)
                 base::logEvent(base::Event::PlatformUnreachable,
                                {{"call", "ask-for-yield"}, {"reason", response.error().message}});
         });
}

std::optional<YieldRequest> parseYieldRequest(const http::Request &request)
{
    const auto target = parseTarget(request.target);
    if (!target || target->path != kYieldPath)
        return std::nullopt;
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    const bool isWellFormed = json.is_array() && json.size() == 2 && json[0].is_number_integer()
                              && json[1].is_number_integer();
    if (!isWellFormed)
        return std::nullopt;
    return YieldRequest{.cell = target->cell,
                        .memoryMib = json[0].get<std::int64_t>(),
                        .heldCells = json[1].get<int>()};
}

ControllerAnswer answerState(const Controller &controller, const std::string &id)
{
    return {.isAnswered = controller.isLoaded(), .state = controller.reportedState(id)};
}

http::Response handlePeerQuery(const http::Request &request, const ControllerLookup &controllerOf)
{
    constexpr int kNotFound = 404;
    const auto target = parseTarget(request.target);
    if (!target || !target->path.starts_with(kStatePath))
        return {.status = kNotFound};
    const Controller *const controller = controllerOf(target->cell);
    if (controller == nullptr || !controller->isLoaded())
        return {.status = kUnavailable};
    const std::string id = target->path.substr(kStatePath.size());
    return {.status = kOk, .body = encode(answerState(*controller, id))};
}

} // namespace chicorywick::entry
