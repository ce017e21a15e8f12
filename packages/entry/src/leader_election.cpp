#include <chicorywick/entry/leader_election.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

// The node name in a holder of the form "node#incarnation".
std::string nodeOf(const std::string &holder)
{
    return holder.substr(0, holder.find('#'));
}

// A machine with this much memory claims a row without history after firstClaimDelayMs.
constexpr std::int64_t kTypicalMemoryMib = 512;
// Bounds of the factor by which a machine's memory scales firstClaimDelayMs.
constexpr double kMinDelayFactor = 0.25;
constexpr double kMaxDelayFactor = 4;
// Machines whose memory, or whose cells per memory, differ by less than this ratio count as equal:
// a change of leaders costs more than such a difference gains.
constexpr double kEqualityRatio = 0.75;
// A new holder is not asked to yield for this time: two changes in a row double the time without a
// leader.
constexpr scheduler::Millis kMinHolderTenureMs = 2'000;

} // namespace

LeaderElection::LeaderElection(std::string holder, std::string peerAddress,
                               scheduler::Millis claimJitterMs, ElectionSettings settings)
    : holder_(std::move(holder))
    , peerAddress_(std::move(peerAddress))
    , claimJitterMs_(claimJitterMs)
    , settings_(settings)
{}

void LeaderElection::observe(Version version, const LeaderRecord &record, scheduler::Millis now)
{
    if (hasObserved_ && version <= version_)
        return;
    const bool isMine = record.holder == holder_;
    if (record.holder != record_.holder)
        holderSince_ = now;
    hasObserved_ = true;
    version_ = version;
    record_ = record;
    changedAt_ = now;
    if (!isMine) {
        holdsRow_ = false;
        isYielding_ = false;
        return;
    }
    // This may be the effect of a write whose answer was lost; the lease starts at its send time.
    if (!holdsRow_) {
        holdsRow_ = true;
        term_ = record.term != 0 ? record.term : version;
    }
    leaseStart_ = std::max(leaseStart_, sentAt(record.heartbeat));
    if (record.heartbeat == unansweredHeartbeat_)
        unansweredHeartbeat_ = 0;
}

// After a store outage the claim delay starts again. Otherwise all daemons race for the row, and
// the holder, which has every task in memory, can lose it to a daemon that must load them.
void LeaderElection::setWatchHealthy(bool isWatchHealthy, scheduler::Millis now)
{
    if (isWatchHealthy && !isWatchHealthy_ && !holdsRow_)
        changedAt_ = now;
    isWatchHealthy_ = isWatchHealthy;
}

std::optional<LeaderWrite> LeaderElection::nextWrite(scheduler::Millis now)
{
    const bool isWaiting =
            unansweredHeartbeat_ != 0 && now - sentAt(unansweredHeartbeat_) < settings_.hedgeMs;
    if (isWaiting || !hasObserved_ || now < nextWriteAt_)
        return std::nullopt;
    LeaderRecord record{.holder = holder_,
                        .peerAddress = peerAddress_,
                        .heartbeat = heartbeat_ + 1,
                        .workerLeaseMs = settings_.workerLeaseMs,
                        .memoryMib = settings_.memoryMib,
                        .maxMemoryMib = std::max(record_.maxMemoryMib, settings_.memoryMib),
                        .heldCells = holdsRow_ ? heldCells_ : heldCells_ + 1,
                        .waitingJobs = record_.waitingJobs};
    if (holdsRow_) {
        const bool isLeaving = isReleasing_ || isYielding_;
        if (!isLeaving && now - leaseStart_ < settings_.renewEveryMs)
            return std::nullopt;
        record.term = term_;
        if (isLeaving)
            record.holder.clear();
    } else {
        const bool isFree = version_ == 0 || record_.holder.empty();
        // A node runs one process, so its previous incarnation has ended.
        const bool isPreviousIncarnation = nodeOf(record_.holder) == nodeOf(holder_);
        scheduler::Millis claimDelay =
                claimJitterMs_ + memoryDelay() + heldCells_ * settings_.heldCellDelayMs;
        if (!isFree)
            claimDelay += settings_.leaseMs + settings_.takeoverDelayMs;
        if (isPreviousIncarnation)
            claimDelay = 0;
        if (isReleasing_ || !isWatchHealthy_ || now - changedAt_ < claimDelay)
            return std::nullopt;
        previousWorkerLease_ = record_.workerLeaseMs;
        // The previous holder sent its last order at most machineOrderWindowMs after its last
        // renewal.
        const scheduler::Millis quietMs =
                isFree ? 0 : now - changedAt_ - settings_.machineOrderWindowMs;
        machineOrdersAllowedAt_ =
                now + settings_.machineOrderGapMs - std::max<scheduler::Millis>(quietMs, 0);
    }
    ++heartbeat_;
    unansweredHeartbeat_ = heartbeat_;
    sentTimes_[heartbeat_] = now;
    constexpr std::size_t kMaxSentTimes = 32;
    if (sentTimes_.size() > kMaxSentTimes)
        sentTimes_.erase(sentTimes_.begin());
    return LeaderWrite{.record = record, .expected = version_};
}

scheduler::Millis LeaderElection::sentAt(std::int64_t heartbeat) const
{
    const auto found = sentTimes_.find(heartbeat);
    return found != sentTimes_.end() ? found->second : 0;
}

void LeaderElection::committed(const LeaderWrite &write, Version version, scheduler::Millis now)
{
    if (write.record.heartbeat == unansweredHeartbeat_)
        unansweredHeartbeat_ = 0;
    // A newer version of the row has already been observed.
    if (version < version_)
        return;
    version_ = version;
    record_ = write.record;
    changedAt_ = now;
    if (write.record.holder != holder_) {
        holdsRow_ = false;
        isYielding_ = false;
        return;
    }
    if (!holdsRow_)
        term_ = write.record.term != 0 ? write.record.term : version;
    holdsRow_ = true;
    leaseStart_ = std::max(leaseStart_, sentAt(write.record.heartbeat));
}

void LeaderElection::writeFailed(const LeaderWrite &write, scheduler::Millis now)
{
    if (write.record.heartbeat != unansweredHeartbeat_)
        return;
    unansweredHeartbeat_ = 0;
    nextWriteAt_ = now + settings_.retryMs;
}

bool LeaderElection::maySendMachineOrders(scheduler::Millis now) const
{
    return isLeading(now) && now >= machineOrdersAllowedAt_
           && now - leaseStart_ < settings_.machineOrderWindowMs;
}

std::optional<MachineOrderHold> LeaderElection::machineOrderHold(scheduler::Millis now) const
{
    if (maySendMachineOrders(now))
        return std::nullopt;
    if (!isLeading(now))
        return MachineOrderHold{.reason = MachineOrderHoldReason::NotLeading};
    if (now < machineOrdersAllowedAt_)
        return MachineOrderHold{.reason = MachineOrderHoldReason::FormerLeader,
                                .until = machineOrdersAllowedAt_};
    return MachineOrderHold{.reason = MachineOrderHoldReason::LateRenewal};
}

// The delay in which larger machines can claim first. The leader's CPU load grows with the fleet,
// and memory is the only indicator of a machine's size that a process can read.
scheduler::Millis LeaderElection::memoryDelay() const
{
    if (settings_.memoryMib == 0)
        return 0;
    const auto ownMemory = static_cast<double>(settings_.memoryMib);
    if (record_.maxMemoryMib == 0) {
        const double factor = std::clamp(static_cast<double>(kTypicalMemoryMib) / ownMemory,
                                         kMinDelayFactor, kMaxDelayFactor);
        return static_cast<scheduler::Millis>(static_cast<double>(settings_.firstClaimDelayMs)
                                              * factor);
    }
    const double memoryRatio = ownMemory / static_cast<double>(record_.maxMemoryMib);
    if (memoryRatio >= kEqualityRatio)
        return 0;
    return static_cast<scheduler::Millis>(static_cast<double>(settings_.smallMachineDelayMs)
                                          * (1 - memoryRatio));
}

bool LeaderElection::isHolderBusierThan(std::int64_t memoryMib, int heldCells) const
{
    if (record_.memoryMib == 0 || memoryMib == 0)
        return false;
    const int holderCells = std::max(holdsRow_ ? heldCells_ : record_.heldCells, 1);
    const double holderLoad =
            static_cast<double>(holderCells) / static_cast<double>(record_.memoryMib);
    const double ownLoad = static_cast<double>(heldCells + 1) / static_cast<double>(memoryMib);
    return ownLoad < kEqualityRatio * holderLoad;
}

bool LeaderElection::shouldRequestYield(scheduler::Millis now) const
{
    return !holdsRow_ && !isReleasing_ && !record_.holder.empty()
           && isHolderBusierThan(settings_.memoryMib, heldCells_)
           && now - holderSince_ >= kMinHolderTenureMs;
}

bool LeaderElection::isLeading(scheduler::Millis now) const
{
    return holdsRow_ && !isReleasing_ && !isYielding_ && now - leaseStart_ < settings_.leaseMs;
}

} // namespace chicorywick::entry
