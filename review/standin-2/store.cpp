#include "store.h"

#include <platform/base64.h>

#include <chrono>
#include <stdexcept>

namespace chicorywick::review {

namespace {

constexpr std::size_t kRowBytes = 65'536;
constexpr std::size_t kMaxCallBytes = 1'000'000;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kPageRows = 500;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr std::chrono::milliseconds kTransactionTime{4};

http::Response answer(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
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

std::string valueOf(const std::map<std::string, std::string> &query, const char *name)
{
    const auto found = query.find(name);
    return found != query.end() ? found->second : std::string();
}

} // namespace

Store::Store(boost::asio::io_context &loop)
    : loop_(loop)
{}

std::uint16_t Store::addWay()
{
    ways_.push_back(std::make_unique<Way>());
    Way &way = *ways_.back();
    way.server = std::make_unique<http::Server>(
            loop_,
            [this, &way](const http::Request &request, const http::Responder &respond) {
                if (way.isCut)
                    return;
                handle(request, [&way, respond](const http::Response &response) {
                    if (!way.isCut)
                        respond(response);
                });
            },
            http::ServerLimits{.maxBodyBytes = 4 * kMaxCallBytes});
    if (!way.server->listen({.host = "127.0.0.1"}))
        throw std::runtime_error("the store stand-in cannot listen");
    return way.server->port();
}

void Store::remove(const std::string &table, const std::string &key)
{
    write({table, "", key}, {.version = ++version_, .isRemoved = true});
    notifyWatches();
}

void Store::put(const std::string &table, const std::string &key, const json &value)
{
    write({table, "", key}, {.value = adapter::toBase64(value.dump()), .version = ++version_});
    notifyWatches();
}

std::string Store::value(const std::string &table, const std::string &part,
                         const std::string &key) const
{
    const auto found = rows_.find({table, part, key});
    if (found == rows_.end() || found->second.isRemoved)
        return {};
    return adapter::fromBase64(found->second.value).value_or("");
}

void Store::write(const Key &key, Row row)
{
    auto &keys = keysByVersion_[std::get<0>(key)];
    Row &stored = rows_[key];
    const auto former = keys.find(stored.version);
    if (former != keys.end() && former->second.erase(key) > 0 && former->second.empty())
        keys.erase(former);
    keys[row.version][key] = 1;
    stored = std::move(row);
}

void Store::handle(const http::Request &request, const http::Responder &respond)
{
    if (request.target == "/rows-tx") {
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kTransactionTime);
        return timer->async_wait(
                [this, timer, request, respond](const boost::system::error_code &error) {
                    if (!error)
                        respond(transact(request));
                });
    }
    if (request.target.starts_with("/rows-get?"))
        return respond(read(parseQuery(request.target)));
    if (request.target.starts_with("/rows-feed?"))
        return watch(parseQuery(request.target), respond);
    respond({.status = 404});
}

http::Response Store::refuse(const std::string &reason) const
{
    if (refusalHandler_)
        refusalHandler_(reason);
    return {.status = 400};
}

http::Response Store::transact(const http::Request &request)
{
    if (request.body.size() > kMaxCallBytes)
        return refuse("a call of " + std::to_string(request.body.size()) + " bytes");
    const json body = json::parse(request.body);
    const json &conditions = body.at("expected_rev");
    const json &puts = body.at("puts");
    const json &removals = body.at("remove");
    if (conditions.size() + puts.size() + removals.size() > kMaxEntries)
        return refuse("a call with too many entries");
    const auto keyOf = [](const json &row) {
        return Key(row.at("table"), row.value("part", ""), row.at("key"));
    };
    for (const json &row : puts) {
        const auto bytes = adapter::fromBase64(row.at("value"));
        if (!bytes || bytes->size() > kRowBytes)
            return refuse("the row " + row.at("table").get<std::string>() + "/"
                          + row.at("key").get<std::string>() + " of "
                          + std::to_string(bytes ? bytes->size() : 0) + " bytes");
    }
    json current = json::array();
    bool conditionsMet = true;
    for (const json &condition : conditions) {
        const Key key = keyOf(condition);
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.isRemoved;
        const std::int64_t version = exists ? found->second.version : 0;
        conditionsMet = conditionsMet && version == condition.at("row_version").get<std::int64_t>();
        if (exists)
            current.push_back(rowJson(key, found->second));
    }
    if (!conditionsMet)
        return answer(412, {{"rows", current}, {"row_version", version_}, {"now_ms", steadyMs()}});
    ++version_;
    for (const json &row : puts)
        write(keyOf(row), {.value = row.at("value"), .version = version_});
    for (const json &row : removals)
        write(keyOf(row), {.version = version_, .isRemoved = true});
    const std::int64_t written = version_;
    notifyWatches();
    return answer(200, {{"row_version", written}, {"now_ms", steadyMs()}});
}

http::Response Store::read(const std::map<std::string, std::string> &query) const
{
    const std::string limitText = valueOf(query, "limit");
    const std::size_t limit =
            limitText.empty() ? kPageRows : std::min<std::size_t>(std::stoul(limitText), kPageRows);
    json rows = json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    const Key first(valueOf(query, "table"), valueOf(query, "part"), valueOf(query, "from"));
    for (auto item = rows_.lower_bound(first); item != rows_.end(); ++item) {
        const auto &[table, part, key] = item->first;
        const bool isInRange = table == valueOf(query, "table") && part == valueOf(query, "part")
                               && (valueOf(query, "to").empty() || key < valueOf(query, "to"));
        if (!isInRange)
            break;
        if (item->second.isRemoved)
            continue;
        hasMore = rows.size() >= limit
                  || (bytes > 0 && bytes + item->second.value.size() > kPageBytes);
        if (hasMore)
            break;
        bytes += item->second.value.size();
        rows.push_back(rowJson(item->first, item->second));
    }
    return answer(200, {{"rows", rows},
                        {"has_more", hasMore},
                        {"row_version", version_},
                        {"now_ms", steadyMs()}});
}

void Store::watch(const std::map<std::string, std::string> &query, const http::Responder &respond)
{
    const std::string table = query.at("table");
    const std::int64_t after = std::stoll(query.at("after"));
    const json page = changes(table, after);
    if (!page.at("rows").empty())
        return respond(answer(200, page));
    auto timer = std::make_shared<boost::asio::steady_timer>(
            loop_, std::chrono::milliseconds(std::stoll(query.at("wait_ms"))));
    const auto entry = std::make_shared<Watch>(
            Watch{.table = table, .after = after, .respond = respond, .timer = timer});
    watches_.push_back(entry);
    timer->async_wait([this, entry](const boost::system::error_code &error) {
        // A timer that has expired is not cancelled, so its handler can follow the answer.
        if (error || entry->isAnswered)
            return;
        watches_.remove(entry);
        entry->respond(answer(
                200, {{"rows", json::array()}, {"row_version", version_}, {"now_ms", steadyMs()}}));
    });
}

json Store::changes(const std::string &table, std::int64_t after) const
{
    json rows = json::array();
    std::int64_t resumeFrom = version_;
    std::size_t bytes = 0;
    const auto keys = keysByVersion_.find(table);
    if (keys != keysByVersion_.end()) {
        for (auto item = keys->second.upper_bound(after); item != keys->second.end(); ++item) {
            if (rows.size() >= kPageRows || bytes > kPageBytes / 2)
                break;
            for (const auto &[key, unused] : item->second) {
                rows.push_back(rowJson(key, rows_.at(key)));
                bytes += rows_.at(key).value.size();
            }
            const bool isCut = rows.size() >= kPageRows || bytes > kPageBytes / 2;
            resumeFrom = isCut ? item->first : version_;
        }
    }
    return {{"rows", rows}, {"row_version", resumeFrom}, {"now_ms", steadyMs()}};
}

void Store::notifyWatches()
{
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
        entry->respond(answer(200, page));
    }
}

json Store::rowJson(const Key &key, const Row &row) const
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

} // namespace chicorywick::review
