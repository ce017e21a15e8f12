#include "hosted_store.h"

#include <chicorywick/base/rng.h>

#include <platform/base64.h>

#include <stdexcept>

namespace chicorywick::hosted {

namespace {

constexpr std::size_t kPageSize = 500;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr std::chrono::seconds kHistory{20};

std::string percentDecode(const std::string &text)
{
    std::string decodedText;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decodedText += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decodedText += text[i];
        }
    }
    return decodedText;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end - at - 1);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        at = end;
    }
    return query;
}

http::Response jsonResponse(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

} // namespace

HostedStore::HostedStore(boost::asio::io_context &loop, std::uint64_t seed)
    : loop_(loop)
    , server_(loop, [this](const http::Request &request,
                           const http::Responder &respond) { handle(request, respond); })
    , faultSeed_(seed)
{
    if (!server_.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("the store stand-in cannot listen");
}

void HostedStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    write({table, "", key}, {.value = adapter::toBase64(value), .version = ++version_});
    notifyWatches();
}

void HostedStore::remove(const std::string &table, const std::string &key)
{
    write({table, "", key}, {.version = ++version_, .isRemoved = true});
    notifyWatches();
}

void HostedStore::write(const Key &key, const Row &row)
{
    const std::string &table = std::get<0>(key);
    dropHistory(table);
    Change &change = changes_[table][row.version];
    change.at = std::chrono::steady_clock::now();
    change.rows.emplace_back(key, row);
    rows_[key] = row;
}

void HostedStore::dropHistory(const std::string &table)
{
    auto &changes = changes_[table];
    const auto oldest = std::chrono::steady_clock::now() - kHistory;
    while (!changes.empty() && changes.begin()->second.at < oldest) {
        droppedVersions_[table] = changes.begin()->first;
        changes.erase(changes.begin());
    }
}

std::string HostedStore::value(const std::string &table, const std::string &part,
                               const std::string &key) const
{
    const auto found = rows_.find({table, part, key});
    if (found == rows_.end() || found->second.isRemoved)
        return {};
    return adapter::fromBase64(found->second.value).value_or("");
}

void HostedStore::handle(const http::Request &request, const http::Responder &respond)
{
    if (faults_.isDown)
        return respond({.status = 503});
    if (faults_.isSilent)
        return unanswered_.push_back(respond);
    if (request.target == "/rows-tx") {
        ++calls_.transactions;
        return transact(json::parse(request.body), respond);
    }
    if (request.target.starts_with("/rows-get?")) {
        ++calls_.reads;
        return read(parseQuery(request.target), respond);
    }
    if (request.target.starts_with("/rows-feed?"))
        return watch(parseQuery(request.target), respond);
    respond({.status = 404});
}

void HostedStore::transact(const json &body, const http::Responder &respond)
{
    const auto keyOf = [](const json &row) {
        return Key(row.at("table"), row.value("part", ""), row.at("key"));
    };
    json current = json::array();
    bool conditionsMet = true;
    for (const json &condition : body.at("expected_rev")) {
        const Key key = keyOf(condition);
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.isRemoved;
        const std::int64_t version = exists ? found->second.version : 0;
        conditionsMet = conditionsMet && version == condition.at("row_version").get<std::int64_t>();
        if (exists)
            current.push_back(rowJson(key, found->second));
    }
    if (!conditionsMet)
        return respond(jsonResponse(412, {{"rows", current}, {"row_version", version_}}));
    ++version_;
    for (const json &row : body.at("puts"))
        write(keyOf(row), {.value = row.at("value"), .version = version_});
    for (const json &row : body.at("remove"))
        write(keyOf(row), {.version = version_, .isRemoved = true});
    const std::int64_t written = version_;
    notifyWatches();
    base::Rng rng(++faultSeed_);
    if (!rng.chance(faults_.responseLossProbability))
        respond(jsonResponse(200, {{"row_version", written}}));
}

void HostedStore::read(const std::map<std::string, std::string> &query,
                       const http::Responder &respond)
{
    const auto valueOf = [&query](const char *name) {
        const auto found = query.find(name);
        return found != query.end() ? found->second : std::string();
    };
    json rows = json::array();
    bool hasMore = false;
    const Key first(valueOf("table"), valueOf("part"), valueOf("from"));
    for (auto item = rows_.lower_bound(first); item != rows_.end(); ++item) {
        const auto &[table, part, key] = item->first;
        const bool isInRange = table == valueOf("table") && part == valueOf("part")
                               && (valueOf("to").empty() || key < valueOf("to"));
        if (!isInRange)
            break;
        if (item->second.isRemoved)
            continue;
        hasMore = rows.size() == kPageSize;
        if (hasMore)
            break;
        rows.push_back(rowJson(item->first, item->second));
    }
    respond(jsonResponse(200, {{"rows", rows}, {"has_more", hasMore}, {"row_version", version_}}));
}

void HostedStore::watch(const std::map<std::string, std::string> &query,
                        const http::Responder &respond)
{
    const std::string table = query.at("table");
    const std::int64_t after = std::stoll(query.at("after"));
    if (after < droppedVersions_[table])
        return respond({.status = 410});
    const json page = changes(table, after);
    if (!page.at("rows").empty() && !faults_.areWatchesStalled)
        return respond(jsonResponse(200, page));
    auto timer = std::make_shared<boost::asio::steady_timer>(
            loop_, std::chrono::milliseconds(std::stoll(query.at("wait_ms"))));
    const auto entry = std::make_shared<Watch>(
            Watch{.table = table, .after = after, .respond = respond, .timer = timer});
    watches_.push_back(entry);
    timer->async_wait([this, entry](const boost::system::error_code &error) {
        // A timer that has expired is not cancelled, so its handler can follow the answer.
        if (error || entry->isAnswered)
            return;
        const std::int64_t seen = faults_.areWatchesStalled ? entry->after : version_;
        watches_.remove(entry);
        entry->respond(jsonResponse(200, {{"rows", json::array()}, {"row_version", seen}}));
    });
}

json HostedStore::changes(const std::string &table, std::int64_t after) const
{
    json rows = json::array();
    std::int64_t resumeFrom = version_;
    std::size_t bytes = 0;
    const auto changesOfTable = changes_.find(table);
    if (changesOfTable != changes_.end()) {
        const auto &versions = changesOfTable->second;
        for (auto item = versions.upper_bound(after); item != versions.end(); ++item) {
            for (const auto &[key, row] : item->second.rows) {
                rows.push_back(rowJson(key, row));
                bytes += row.value.size();
            }
            const bool isFull = rows.size() >= kPageSize || bytes >= kPageBytes;
            resumeFrom = isFull ? item->first : version_;
            if (isFull)
                break;
        }
    }
    return {{"rows", rows}, {"row_version", resumeFrom}};
}

void HostedStore::notifyWatches()
{
    if (faults_.areWatchesStalled)
        return;
    for (auto item = watches_.begin(); item != watches_.end();) {
        const std::shared_ptr<Watch> entry = *item;
        const json page = changes(entry->table, entry->after);
        if (page.at("rows").empty()) {
            ++item;
            continue;
        }
        entry->isAnswered = true;
        entry->timer->cancel();
        item = watches_.erase(item);
        entry->respond(jsonResponse(200, page));
    }
}

json HostedStore::rowJson(const Key &key, const Row &row) const
{
    json value{{"table", std::get<0>(key)},
               {"part", std::get<1>(key)},
               {"key", std::get<2>(key)},
               {"row_version", row.version}};
    if (row.isRemoved)
        value["tombstone"] = true;
    else
        value["value"] = row.value;
    return value;
}

} // namespace chicorywick::hosted
