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

/// @brief The configuration in force in one daemon; a pure state machine.
///
/// The version only grows. Items carry the version that set them, so any daemon can answer what
/// changed after a version without a log.
class ConfigApplier
{
public:
    /// @brief Takes a change or a whole configuration; true if a higher version is in force now.
    bool apply(const v1::ConfigDelta &delta, ConfigSource source, base::TimePoint now);

    /// @brief Notes that the table was read and how high its head was.
    void recordTableHead(std::uint64_t head);

    /// @brief Notes that a peer holds a version.
    void recordPeerVersion(std::uint64_t version);

    std::uint64_t version() const { return version_; }
    base::TimePoint inForceSince() const { return inForceSince_; }

    /// @brief The highest version heard of, in force or not.
    std::uint64_t highestVersionSeen() const { return highestVersionSeen_; }

    /// @brief True while the version in force came from peers and was not seen in the table.
    bool isFromPeers() const { return version_ > confirmedByTable_; }

    /// @brief True once the table answered since the start.
    bool hasReadTable() const { return hasReadTable_; }

    /// @brief The items in force, without deleted ones.
    std::vector<v1::ConfigItem> items() const;
    std::optional<v1::ConfigItem> item(const std::string &name) const;

    /// @brief What changed after a version, in parts that each fit a message.
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
    /// Deletions at or below this version may have been forgotten.
    std::uint64_t tombstoneFloor_ = 0;
    /// The change whose parts are being collected.
    std::map<std::uint32_t, v1::ConfigDelta> parts_;
};

} // namespace chicorywick::cluster
