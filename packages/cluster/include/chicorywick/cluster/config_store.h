#pragma once

#include "chicorywick/v1/config_service.pb.h"
#include "chicorywick/v1/peer.pb.h"

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/table.h>

#include <map>

namespace chicorywick::cluster {

/// @brief Versions kept in the history. Each change deletes the version that exceeds the limit.
constexpr std::uint64_t kHistoryVersions = 100'000;

/// @brief Configuration stored in the table: a head row, a row per item and a row per version.
///
/// A change reads and writes the head, its history rows and the rows of its own items, so its cost
/// does not grow with the configuration.
class ConfigStore
{
public:
    ConfigStore(platform::Table table, base::Clock clock)
        : table_(std::move(table))
        , clock_(std::move(clock))
    {}

    /// @brief The head version, or 0 before the first change.
    base::Result<std::uint64_t> headVersion() const;

    /// @brief The full configuration at a single version.
    base::Result<v1::Config> read() const;

    /// @brief The items changed since a version, or the full configuration if there are too many
    /// versions in between.
    base::Result<v1::ConfigDelta> changesSince(std::uint64_t version) const;

    base::Result<v1::ConfigChange> put(const v1::PutConfigRequest &request,
                                       const std::string &author) const;
    base::Result<v1::ConfigChange> rollBack(const v1::RollBackConfigRequest &request,
                                            const std::string &author) const;

    /// @brief A page of changes in descending order of version.
    base::Result<v1::ConfigHistoryResponse> history(const v1::ConfigHistoryRequest &request) const;

private:
    struct Head
    {
        v1::ConfigHead value;
        std::uint64_t rowVersion = 0;
    };

    base::Result<Head> readHead() const;
    base::Result<std::vector<v1::ConfigChange>> changesBetween(std::uint64_t after,
                                                               std::uint64_t upTo) const;
    base::Result<void> checkExpectedVersion(const Head &head, std::uint64_t expected) const;
    base::Result<std::map<std::string, v1::ConfigItem>> itemsToRestore(std::uint64_t version,
                                                                       const Head &head) const;
    base::Result<platform::Transaction> prepareChange(const Head &head,
                                                      const std::vector<v1::ConfigItem> &items,
                                                      v1::ConfigChange &change) const;

    platform::Table table_;
    base::Clock clock_;
};

} // namespace chicorywick::cluster
