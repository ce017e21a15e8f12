#pragma once

#include "chicorywick/v1/config_service.pb.h"
#include "chicorywick/v1/peer.pb.h"

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/table.h>

#include <map>

namespace chicorywick::cluster {

/// @brief Versions kept in the history; each change removes the one that falls out.
constexpr std::uint64_t kHistoryVersions = 100'000;

/// @brief The configuration in the table: one head row, one row per item, one per version.
///
/// A change reads and writes the rows of its own items only.
class ConfigStore
{
public:
    ConfigStore(platform::Table table, base::Clock clock)
        : table_(std::move(table))
        , clock_(std::move(clock))
    {}

    /// @brief The version of the head, 0 before the first change.
    base::Result<std::uint64_t> headVersion() const;

    /// @brief The whole configuration at one version.
    base::Result<v1::Config> read() const;

    /// @brief What changed after a version: the changes if few, else the whole configuration.
    base::Result<v1::ConfigDelta> changesSince(std::uint64_t version) const;

    base::Result<v1::ConfigChange> put(const v1::PutConfigRequest &request,
                                       const std::string &author) const;
    base::Result<v1::ConfigChange> rollBack(const v1::RollBackConfigRequest &request,
                                            const std::string &author) const;

    /// @brief Changes in descending order of version.
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
