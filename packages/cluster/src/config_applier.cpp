#include <chicorywick/cluster/config_applier.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

// Half of the peer message limit. The rest is reserved for the envelope and membership updates.
constexpr std::size_t kMaxDeltaBytes = 32UL * 1024;
// A larger number of parts exceeds the size of any valid configuration.
constexpr std::uint32_t kMaxParts = 64;
constexpr std::size_t kMaxTombstones = 1000;

} // namespace

bool ConfigApplier::isUsable(const v1::ConfigDelta &delta) const
{
    if (delta.version() <= version_)
        return false;
    if (!delta.whole() && delta.base_version() > version_)
        return false;
    return std::all_of(delta.items().begin(), delta.items().end(), [&](const v1::ConfigItem &item) {
        return !item.name().empty() && item.version() <= delta.version();
    });
}

std::optional<v1::ConfigDelta> ConfigApplier::assemble(const v1::ConfigDelta &part)
{
    if (part.parts() <= 1)
        return part;
    if (part.parts() > kMaxParts || part.part() >= part.parts())
        return std::nullopt;
    if (!parts_.empty()) {
        const v1::ConfigDelta &first = parts_.begin()->second;
        if (first.version() != part.version() || first.base_version() != part.base_version()
            || first.whole() != part.whole() || first.parts() != part.parts())
            parts_.clear();
    }
    parts_[part.part()] = part;
    if (parts_.size() < part.parts())
        return std::nullopt;
    v1::ConfigDelta delta = parts_.begin()->second;
    delta.clear_items();
    for (const auto &[number, collected] : parts_)
        delta.mutable_items()->MergeFrom(collected.items());
    parts_.clear();
    return delta;
}

bool ConfigApplier::apply(const v1::ConfigDelta &received, ConfigSource source, base::TimePoint now)
{
    if (source == ConfigSource::Peer)
        recordPeerVersion(received.version());
    if (!isUsable(received))
        return false;
    const std::optional<v1::ConfigDelta> delta = assemble(received);
    if (!delta)
        return false;
    if (delta->whole()) {
        items_.clear();
        tombstoneFloor_ = delta->version();
    }
    for (const v1::ConfigItem &item : delta->items())
        items_[item.name()] = item;
    trimTombstones();
    version_ = delta->version();
    highestVersionSeen_ = std::max(highestVersionSeen_, version_);
    inForceSince_ = now;
    if (source == ConfigSource::Table)
        confirmedByTable_ = version_;
    return true;
}

void ConfigApplier::recordTableHead(std::uint64_t head)
{
    hasReadTable_ = true;
    highestVersionSeen_ = std::max(highestVersionSeen_, head);
    confirmedByTable_ = std::max(confirmedByTable_, head);
}

void ConfigApplier::recordPeerVersion(std::uint64_t version)
{
    highestVersionSeen_ = std::max(highestVersionSeen_, version);
}

void ConfigApplier::trimTombstones()
{
    std::vector<const v1::ConfigItem *> deleted;
    for (const auto &[name, item] : items_) {
        if (item.deleted())
            deleted.push_back(&item);
    }
    if (deleted.size() <= kMaxTombstones)
        return;
    const auto middle = deleted.begin() + static_cast<std::ptrdiff_t>(kMaxTombstones / 2);
    std::nth_element(
            deleted.begin(), middle, deleted.end(),
            [](const auto *left, const auto *right) { return left->version() > right->version(); });
    tombstoneFloor_ = std::max(tombstoneFloor_, (*middle)->version());
    std::erase_if(items_, [this](const auto &entry) {
        return entry.second.deleted() && entry.second.version() <= tombstoneFloor_;
    });
}

std::vector<v1::ConfigItem> ConfigApplier::items() const
{
    std::vector<v1::ConfigItem> live;
    for (const auto &[name, item] : items_) {
        if (!item.deleted())
            live.push_back(item);
    }
    return live;
}

std::optional<v1::ConfigItem> ConfigApplier::item(const std::string &name) const
{
    const auto found = items_.find(name);
    if (found == items_.end() || found->second.deleted())
        return std::nullopt;
    return found->second;
}

std::vector<v1::ConfigDelta> ConfigApplier::deltaSince(std::uint64_t version) const
{
    std::vector<v1::ConfigDelta> parts;
    if (version >= version_)
        return parts;
    const bool whole = version < tombstoneFloor_ || version == 0;
    v1::ConfigDelta empty;
    empty.set_version(version_);
    empty.set_base_version(whole ? 0 : version);
    empty.set_whole(whole);
    parts.push_back(empty);
    std::size_t bytes = 0;
    for (const auto &[name, item] : items_) {
        if (whole ? item.deleted() : item.version() <= version)
            continue;
        const std::size_t size = item.ByteSizeLong();
        if (bytes + size > kMaxDeltaBytes) {
            parts.push_back(empty);
            bytes = 0;
        }
        *parts.back().add_items() = item;
        bytes += size;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].set_parts(static_cast<std::uint32_t>(parts.size()));
        parts[i].set_part(static_cast<std::uint32_t>(i));
    }
    return parts;
}

v1::ConfigDigest ConfigApplier::digest() const
{
    v1::ConfigDigest digest;
    digest.set_version(version_);
    digest.set_in_force_since_ms(base::toMillis(inForceSince_));
    digest.set_from_peers(isFromPeers());
    return digest;
}

} // namespace chicorywick::cluster
