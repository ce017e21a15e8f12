#include <chicorywick/base/unique_id.h>
#include <chicorywick/cluster/config_diff.h>
#include <chicorywick/cluster/config_store.h>
#include <chicorywick/cluster/config_validation.h>
#include <chicorywick/platform/run_once.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

constexpr const char *kHeadKey = "config/head";
constexpr const char *kItemPrefix = "config/item/";
constexpr const char *kHistoryPrefix = "config/history/";
// Above this number of versions reading the full configuration is cheaper than reading the changes.
constexpr std::uint64_t kMaxChangesRead = 500;
// A rollback reads all changes that it reverts. This limits its memory use.
constexpr std::uint64_t kMaxRollBackSpan = 10'000;
constexpr std::uint64_t kMaxConflictChanges = 10;
constexpr std::uint32_t kMaxHistoryLimit = 100;
constexpr std::uint32_t kDefaultHistoryLimit = 20;

// Zero-padded, so that keys sort by version.
std::string historyKey(std::uint64_t version)
{
    constexpr std::size_t kDigits = 20;
    const std::string digits = std::to_string(version);
    return kHistoryPrefix + std::string(kDigits - digits.size(), '0') + digits;
}

std::string itemKey(const std::string &name)
{
    return kItemPrefix + name;
}

template <typename Message>
base::Result<Message> parseRow(const platform::Row &row)
{
    Message message;
    if (!message.ParseFromString(row.value))
        return base::makeError(base::Code::PlatformMalformedResponse, row.key);
    return message;
}

v1::ConfigItem absentItem(const std::string &name)
{
    v1::ConfigItem item;
    item.set_name(name);
    item.set_deleted(true);
    return item;
}

std::uint32_t countAfter(std::uint32_t count, const v1::ConfigItem &before,
                         const v1::ConfigItem &after)
{
    if (before.deleted() && !after.deleted())
        return count + 1;
    if (!before.deleted() && after.deleted())
        return count - 1;
    return count;
}

void applyChange(std::map<std::string, v1::ConfigItem> &items, const v1::ConfigChange &change)
{
    for (const v1::ConfigItem &item : change.after())
        items[item.name()] = item;
}

} // namespace

base::Result<ConfigStore::Head> ConfigStore::readHead() const
{
    BOOST_OUTCOME_TRY(row, table_.get(kHeadKey));
    if (!row)
        return Head{};
    BOOST_OUTCOME_TRY(head, parseRow<v1::ConfigHead>(*row));
    return Head{head, row->version};
}

base::Result<std::uint64_t> ConfigStore::headVersion() const
{
    BOOST_OUTCOME_TRY(head, readHead());
    return head.value.version();
}

base::Result<std::vector<v1::ConfigChange>> ConfigStore::changesBetween(std::uint64_t after,
                                                                        std::uint64_t upTo) const
{
    std::vector<v1::ConfigChange> changes;
    std::string from = historyKey(after);
    while (changes.size() < upTo - after) {
        const auto wanted =
                std::min<std::uint64_t>(upTo - after - changes.size(), platform::kMaxScanRows);
        BOOST_OUTCOME_TRY(page,
                          table_.scan(kHistoryPrefix, from, static_cast<std::uint32_t>(wanted)));
        for (const platform::Row &row : page.rows) {
            BOOST_OUTCOME_TRY(change, parseRow<v1::ConfigChange>(row));
            changes.push_back(change);
            from = row.key;
        }
        if (page.rows.empty())
            break;
    }
    if (changes.size() != upTo - after || (!changes.empty() && changes.back().version() != upTo))
        return base::makeError(base::Code::NotFound,
                               "configuration history after version " + std::to_string(after));
    return changes;
}

// A scan is not an atomic snapshot, so the changes committed during the scan are applied to its
// result. A change contains complete items, so applying it twice has no effect.
base::Result<v1::Config> ConfigStore::read() const
{
    BOOST_OUTCOME_TRY(before, headVersion());
    BOOST_OUTCOME_TRY(rows, table_.scanAll(kItemPrefix, kMaxConfigItems));
    std::map<std::string, v1::ConfigItem> items;
    for (const platform::Row &row : rows) {
        BOOST_OUTCOME_TRY(item, parseRow<v1::ConfigItem>(row));
        items[item.name()] = item;
    }
    BOOST_OUTCOME_TRY(after, headVersion());
    BOOST_OUTCOME_TRY(changes, changesBetween(before, std::max(before, after)));
    for (const v1::ConfigChange &change : changes)
        applyChange(items, change);
    v1::Config config;
    config.set_version(std::max(before, after));
    for (const auto &[name, item] : items) {
        if (!item.deleted())
            *config.add_items() = item;
    }
    return config;
}

base::Result<v1::ConfigDelta> ConfigStore::changesSince(std::uint64_t version) const
{
    BOOST_OUTCOME_TRY(head, headVersion());
    v1::ConfigDelta delta;
    delta.set_base_version(version);
    delta.set_version(head);
    if (head <= version)
        return delta;
    if (version > 0 && head - version <= kMaxChangesRead) {
        BOOST_OUTCOME_TRY(changes, changesBetween(version, head));
        std::map<std::string, v1::ConfigItem> items;
        for (const v1::ConfigChange &change : changes)
            applyChange(items, change);
        for (const auto &[name, item] : items)
            *delta.add_items() = item;
        return delta;
    }
    BOOST_OUTCOME_TRY(config, read());
    delta.set_whole(true);
    delta.set_version(config.version());
    *delta.mutable_items() = config.items();
    return delta;
}

base::Result<void> ConfigStore::checkExpectedVersion(const Head &head, std::uint64_t expected) const
{
    const std::uint64_t version = head.value.version();
    if (version == expected)
        return base::ok();
    std::string text = "expected version " + std::to_string(expected) + ", the head is version "
                       + std::to_string(version);
    if (expected < version) {
        const std::uint64_t from =
                std::max(expected, version - std::min(version, kMaxConflictChanges));
        BOOST_OUTCOME_TRY(changes, changesBetween(from, version));
        for (const v1::ConfigChange &change : changes)
            text += "; " + describeChange(change);
    }
    return base::makeError(base::Code::ConfigVersionConflict, text);
}

base::Result<platform::Transaction>
ConfigStore::prepareChange(const Head &head, const std::vector<v1::ConfigItem> &items,
                           v1::ConfigChange &change) const
{
    const std::uint64_t version = head.value.version() + 1;
    std::uint32_t count = head.value.item_count();
    platform::Transaction transaction;
    change.set_version(version);
    change.set_committed_at_ms(base::toMillis(clock_.now()));
    for (v1::ConfigItem item : items) {
        BOOST_OUTCOME_TRY(row, table_.get(itemKey(item.name())));
        v1::ConfigItem before = absentItem(item.name());
        if (row) {
            BOOST_OUTCOME_TRY(stored, parseRow<v1::ConfigItem>(*row));
            before = stored;
        }
        item.set_version(version);
        count = countAfter(count, before, item);
        *change.add_before() = before;
        *change.add_after() = item;
        if (item.deleted())
            transaction.deletes.push_back(itemKey(item.name()));
        else
            transaction.puts.push_back({itemKey(item.name()), item.SerializeAsString()});
    }
    if (count > kMaxConfigItems)
        return base::makeError(base::Code::ConfigRejected,
                               "configuration: items is " + std::to_string(count)
                                       + ", allowed is at most " + std::to_string(kMaxConfigItems));
    v1::ConfigHead next;
    next.set_version(version);
    next.set_item_count(count);
    transaction.conditions = {{kHeadKey, head.rowVersion}, {historyKey(version), 0}};
    transaction.puts.push_back({kHeadKey, next.SerializeAsString()});
    transaction.puts.push_back({historyKey(version), change.SerializeAsString()});
    if (version > kHistoryVersions)
        transaction.deletes.push_back(historyKey(version - kHistoryVersions));
    return transaction;
}

base::Result<v1::ConfigChange> ConfigStore::put(const v1::PutConfigRequest &request,
                                                const std::string &author) const
{
    const std::vector<v1::ConfigItem> items(request.items().begin(), request.items().end());
    BOOST_OUTCOME_TRYV(validateConfig(items));
    v1::ConfigChange change;
    const auto prepare =
            [&](google::protobuf::Message &response) -> base::Result<platform::Transaction> {
        auto &filled = static_cast<v1::ConfigChange &>(response);
        filled.set_author(author);
        BOOST_OUTCOME_TRY(head, readHead());
        BOOST_OUTCOME_TRYV(checkExpectedVersion(head, request.expected_version()));
        return prepareChange(head, items, filled);
    };
    if (request.dry_run()) {
        BOOST_OUTCOME_TRYV(prepare(change));
        return change;
    }
    BOOST_OUTCOME_TRYV(platform::runOnce(
            table_, clock_, {"PutConfig", request.request_id(), request}, change, prepare));
    return change;
}

base::Result<std::map<std::string, v1::ConfigItem>>
ConfigStore::itemsToRestore(std::uint64_t version, const Head &head) const
{
    const std::uint64_t newest = head.value.version();
    if (version >= newest || newest - version > kMaxRollBackSpan)
        return base::makeError(base::Code::ConfigRejected,
                               "change: to_version is " + std::to_string(version)
                                       + ", allowed is a version below the head "
                                       + std::to_string(newest) + ", at most "
                                       + std::to_string(kMaxRollBackSpan) + " versions back");
    BOOST_OUTCOME_TRY(changes, changesBetween(version, newest));
    std::map<std::string, v1::ConfigItem> old;
    std::map<std::string, v1::ConfigItem> current;
    for (const v1::ConfigChange &change : changes) {
        for (const v1::ConfigItem &item : change.before())
            old.emplace(item.name(), item);
        applyChange(current, change);
    }
    std::erase_if(old, [&](const auto &entry) {
        return hasSameValue(entry.second, current.at(entry.first));
    });
    return old;
}

base::Result<v1::ConfigChange> ConfigStore::rollBack(const v1::RollBackConfigRequest &request,
                                                     const std::string &author) const
{
    v1::ConfigChange change;
    const auto prepare =
            [&](google::protobuf::Message &response) -> base::Result<platform::Transaction> {
        auto &filled = static_cast<v1::ConfigChange &>(response);
        filled.set_author(author);
        filled.set_rolls_back_to(request.to_version());
        BOOST_OUTCOME_TRY(head, readHead());
        BOOST_OUTCOME_TRYV(checkExpectedVersion(head, request.expected_version()));
        BOOST_OUTCOME_TRY(old, itemsToRestore(request.to_version(), head));
        if (old.size() > kMaxItemsPerChange)
            return base::makeError(
                    base::Code::ConfigRejected,
                    "change: items is " + std::to_string(old.size()) + ", allowed is at most "
                            + std::to_string(kMaxItemsPerChange) + "; roll back in steps");
        std::vector<v1::ConfigItem> items;
        for (const auto &[name, item] : old)
            items.push_back(item);
        return prepareChange(head, items, filled);
    };
    BOOST_OUTCOME_TRYV(platform::runOnce(
            table_, clock_, {"RollBackConfig", request.request_id(), request}, change, prepare));
    return change;
}

base::Result<v1::ConfigHistoryResponse>
ConfigStore::history(const v1::ConfigHistoryRequest &request) const
{
    BOOST_OUTCOME_TRY(head, headVersion());
    const std::uint32_t limit = std::min(
            request.limit() == 0 ? kDefaultHistoryLimit : request.limit(), kMaxHistoryLimit);
    const std::uint64_t last =
            request.before_version() == 0 ? head : std::min(head, request.before_version() - 1);
    const std::uint64_t oldest = head > kHistoryVersions ? head - kHistoryVersions : 0;
    const std::uint64_t first = std::max(oldest, last - std::min<std::uint64_t>(last, limit));
    v1::ConfigHistoryResponse response;
    if (first >= last)
        return response;
    BOOST_OUTCOME_TRY(changes, changesBetween(first, last));
    std::reverse(changes.begin(), changes.end());
    for (const v1::ConfigChange &change : changes)
        *response.add_changes() = change;
    return response;
}

} // namespace chicorywick::cluster
