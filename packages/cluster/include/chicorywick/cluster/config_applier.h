#pragma once

#include "chicorywick/v1/config_service.pb.h"
#include "chicorywick/v1/peer.pb.h"

#include <chicorywick/base/clock.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::cluster {

enum class ConfigSource { Table, Peer };

/// @brief The configuration in force in one daemon. A state machine without I/O.
///
/// The version never decreases. Each item carries the version that set it, so a daemon computes the
/// changes since a version without a log.
class ConfigApplier
{
public:
    /// @brief Applies a change or a full configuration. Returns true if the version in force
    /// increased.
    bool apply(const v1::ConfigDelta &delta, ConfigSource source, base::TimePoint now);

    /// @brief Records a successful read of the table and the head version that it returned.
    void recordTableHead(std::uint64_t head);

    /// @brief Records a version that a peer reported.
    void recordPeerVersion(std::uint64_t version);

    std::uint64_t version() const { return version_; }
    base::TimePoint inForceSince() const { return inForceSince_; }

    /// @brief The highest version reported by the table or a peer, in force or not.
    std::uint64_t highestVersionSeen() const { return highestVersionSeen_; }

    /// @brief True while the version in force was received from peers and not confirmed by the
    /// table.
    bool isFromPeers() const { return version_ > confirmedByTable_; }

    /// @brief True after the first successful read of the table since the start.
    bool hasReadTable() const { return hasReadTable_; }

    /// @brief The items in force, excluding deleted ones.
    std::vector<v1::ConfigItem> items() const;
    std::optional<v1::ConfigItem> item(const std::string &name) const;

    /// @brief The changes since a version, split into parts that each fit a peer message.
    std::vector<v1::ConfigDelta> deltaSince(std::uint64_t version) const;

    v1::ConfigDigest digest() const;

private:
    bool isUsable(const v1::ConfigDelta &delta) const;
    std::optional<v1::ConfigDelta> assemble(const v1::ConfigDelta &part);
    void trimTombstones();

    std::uint64_t version_ = 0;
    std::uint64_t highestVersionSeen_ = 0;
    std::uint64_t confirmedByTable_ = 0;
    bool hasReadTable_ = false;
    base::TimePoint inForceSince_;
    std::map<std::string, v1::ConfigItem> items_;
    /// Tombstones at or below this version may have been removed.
    std::uint64_t tombstoneFloor_ = 0;
    /// Received parts of an incomplete delta, by part number.
    std::map<std::uint32_t, v1::ConfigDelta> parts_;
};

} // namespace chicorywick::cluster
