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
// A holder of a version without reservations orders machines this long after a renewal.
constexpr scheduler::Millis kUnreservedOrdersMs = 800;

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
    confirmWrite(record.heartbeat);
    unansweredHeartbeat_ = 0; // a repetition expects the former version, so it fails
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
    // The store runs the writes of a row one after another, so each repetition delays later ones.
    const scheduler::Millis hedgeMs = std::max(settings_.hedgeMs, 2 * answerMs_);
    const bool isWaiting =
            unansweredHeartbeat_ != 0 && now - sentAt(unansweredHeartbeat_) < hedgeMs;
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
        if (!isLeaving && now - leaseStart_ < settings_.renewEveryMs
            && reservations_.requested().empty())
            return std::nullopt;
        record.term = term_;
        if (isLeaving) {
            record.holder.clear();
            reservations_.revoke(now);
        }
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
        reservations_ = inheritedReservations();
        transfersKnownUntil_ = record_.transfersKnownUntil;
    }
    record.reservedMachines = reservations_.toWrite(now);
    record.transfersKnownUntil = transfersKnownUntil_;
    ++heartbeat_;
    unansweredHeartbeat_ = heartbeat_;
    sentWrites_[heartbeat_] = {.at = now, .reserved = reservations_.requested()};
    constexpr std::size_t kMaxSentWrites = 32;
    if (sentWrites_.size() > kMaxSentWrites)
        sentWrites_.erase(sentWrites_.begin());
    return LeaderWrite{.record = record, .expected = version_};
}

// The row as it was read last tells which machines its holder, and those before it, may have
// ordered. A released row ends with the last order of its holder. The holder of an expired lease
// has reserved machines until the end of that lease.
MachineReservations LeaderElection::inheritedReservations() const
{
    MachineReservations reservations(
            {.orderMs = settings_.leaseMs, .gapMs = settings_.machineOrderGapMs});
    const bool isReleased = record_.holder.empty();
    if (record_.reservedMachines)
        reservations.inherit(*record_.reservedMachines, changedAt_);
    else if (version_ != 0)
        reservations.inheritUnknown(changedAt_ + (isReleased ? 0 : kUnreservedOrdersMs));
    return reservations;
}

// The row is stored as it was written with this heartbeat.
void LeaderElection::confirmWrite(std::int64_t heartbeat)
{
    leaseStart_ = std::max(leaseStart_, sentAt(heartbeat));
    if (const auto sent = sentWrites_.find(heartbeat); sent != sentWrites_.end())
        reservations_.confirm(sent->second.reserved, sent->second.at);
}

scheduler::Millis LeaderElection::sentAt(std::int64_t heartbeat) const
{
    const auto found = sentWrites_.find(heartbeat);
    return found != sentWrites_.end() ? found->second.at : 0;
}

void LeaderElection::committed(const LeaderWrite &write, Version version, scheduler::Millis now)
{
    answerMs_ = now - sentAt(write.record.heartbeat);
    if (write.record.heartbeat == unansweredHeartbeat_ || version > version_)
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
    confirmWrite(write.record.heartbeat);
}

void LeaderElection::writeFailed(const LeaderWrite &write, scheduler::Millis now)
{
    if (write.record.heartbeat != unansweredHeartbeat_)
        return;
    unansweredHeartbeat_ = 0;
    nextWriteAt_ = now + settings_.retryMs;
}

void LeaderElection::setTransfers(const std::map<std::string, scheduler::Millis> &waitMs,
                                  Version knownUntil, scheduler::Millis now)
{
    reservations_.inherit({.waitMs = waitMs}, now);
    transfersKnownUntil_ = std::max(transfersKnownUntil_, knownUntil);
}

std::optional<scheduler::Millis> LeaderElection::machineOrderUntil(const std::string &machine,
                                                                   scheduler::Millis now) const
{
    const scheduler::Millis until = std::min(leadingUntil(), reservations_.orderUntil(machine));
    if (!isLeading(now) || now >= until || reservations_.heldUntil(machine) > now)
        return std::nullopt;
    return until;
}

std::optional<MachineOrderHold> LeaderElection::machineOrderHold(scheduler::Millis now) const
{
    if (!isLeading(now))
        return MachineOrderHold{.reason = MachineOrderHoldReason::NotLeading};
    const scheduler::Millis until = reservations_.lastHeldUntil();
    if (until <= now)
        return std::nullopt;
    return MachineOrderHold{.reason = MachineOrderHoldReason::FormerLeader,
                            .machines = reservations_.heldMachines(now),
                            .until = until};
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
