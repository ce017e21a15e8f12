#include <chicorywick/entry/leader_election.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

// The node of a holder "node#incarnation".
std::string nodeOf(const std::string &holder)
{
    return holder.substr(0, holder.find('#'));
}

// The memory of a machine that claims a row without history after firstClaimDelayMs.
constexpr std::int64_t kCommonMemoryMib = 512;
// The smallest and the longest share of firstClaimDelayMs that sizes make.
constexpr double kLeastDelayShare = 0.25;
constexpr double kMostDelayShare = 4;
// Machines within a quarter of each other count as equal; a change of leaders costs more.
constexpr double kEqualShare = 0.75;
// A holder is left alone at first: a change right after a change doubles the time without a driver.
constexpr scheduler::Millis kHolderRestMs = 2'000;

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
    // Perhaps a write of ours whose answer was lost; the lease counts from its sending.
    if (!holdsRow_) {
        holdsRow_ = true;
        term_ = record.term != 0 ? record.term : version;
    }
    leaseFrom_ = std::max(leaseFrom_, sentAt(record.beat));
    if (record.beat == unanswered_)
        unanswered_ = 0;
}

// Without this, an outage of the store ended with a race of all daemons for the row, and the holder
// who still knew every task could lose it to one that had to load them.
void LeaderElection::setWatched(bool isWatched, scheduler::Millis now)
{
    if (isWatched && !isWatched_ && !holdsRow_)
        changedAt_ = now;
    isWatched_ = isWatched;
}

std::optional<LeaderWrite> LeaderElection::nextWrite(scheduler::Millis now)
{
    const bool isWaiting = unanswered_ != 0 && now - sentAt(unanswered_) < settings_.hedgeMs;
    if (isWaiting || !hasObserved_ || now < nextWriteAt_)
        return std::nullopt;
    LeaderRecord record{.holder = holder_,
                        .peerAddress = peerAddress_,
                        .beat = beat_ + 1,
                        .workerLeaseMs = settings_.workerLeaseMs,
                        .memoryMib = settings_.memoryMib,
                        .mostMemoryMib = std::max(record_.mostMemoryMib, settings_.memoryMib)};
    if (holdsRow_) {
        const bool isLeaving = isReleasing_ || isYielding_;
        if (!isLeaving && now - leaseFrom_ < settings_.renewEveryMs)
            return std::nullopt;
        record.term = term_;
        if (isLeaving)
            record.holder.clear();
    } else {
        const bool isFree = version_ == 0 || record_.holder.empty();
        // A node runs one process, so its former incarnation has ended.
        const bool isFormerSelf = nodeOf(record_.holder) == nodeOf(holder_);
        scheduler::Millis patience = claimJitterMs_ + sizeDelay();
        if (!isFree)
            patience += settings_.leaseMs + settings_.takeoverDelayMs;
        if (isFormerSelf)
            patience = 0;
        if (isReleasing_ || !isWatched_ || now - changedAt_ < patience)
            return std::nullopt;
        formerWorkerLease_ = record_.workerLeaseMs;
        // The former holder gave its last order at most machineOrderMs after its last renewal.
        const scheduler::Millis quiet = isFree ? 0 : now - changedAt_ - settings_.machineOrderMs;
        machinesFrom_ = now + settings_.machinePauseMs - std::max<scheduler::Millis>(quiet, 0);
    }
    ++beat_;
    unanswered_ = beat_;
    sent_[beat_] = now;
    constexpr std::size_t kRemembered = 32;
    if (sent_.size() > kRemembered)
        sent_.erase(sent_.begin());
    return LeaderWrite{.record = record, .expected = version_};
}

scheduler::Millis LeaderElection::sentAt(std::int64_t beat) const
{
    const auto found = sent_.find(beat);
    return found != sent_.end() ? found->second : 0;
}

void LeaderElection::committed(const LeaderWrite &write, Version version, scheduler::Millis now)
{
    if (write.record.beat == unanswered_)
        unanswered_ = 0;
    // The row has been seen to move on since.
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
    leaseFrom_ = std::max(leaseFrom_, sentAt(write.record.beat));
}

void LeaderElection::writeFailed(const LeaderWrite &write, scheduler::Millis now)
{
    if (write.record.beat != unanswered_)
        return;
    unanswered_ = 0;
    nextWriteAt_ = now + settings_.retryMs;
}

bool LeaderElection::mayOrderMachines(scheduler::Millis now) const
{
    return isLeading(now) && now >= machinesFrom_ && now - leaseFrom_ < settings_.machineOrderMs;
}

// How long larger machines get to claim first. Driving costs processor time by the size of the
// fleet, and a machine's memory is the only sign of its size that a process can read.
scheduler::Millis LeaderElection::sizeDelay() const
{
    if (settings_.memoryMib == 0)
        return 0;
    const auto own = static_cast<double>(settings_.memoryMib);
    if (record_.mostMemoryMib == 0) {
        const double share = std::clamp(static_cast<double>(kCommonMemoryMib) / own,
                                        kLeastDelayShare, kMostDelayShare);
        return static_cast<scheduler::Millis>(static_cast<double>(settings_.firstClaimDelayMs)
                                              * share);
    }
    const double size = own / static_cast<double>(record_.mostMemoryMib);
    if (size >= kEqualShare)
        return 0;
    return static_cast<scheduler::Millis>(static_cast<double>(settings_.smallMachineDelayMs)
                                          * (1 - size));
}

bool LeaderElection::isOutgrownBy(std::int64_t memoryMib) const
{
    return record_.memoryMib != 0
           && static_cast<double>(record_.memoryMib) < kEqualShare * static_cast<double>(memoryMib);
}

bool LeaderElection::shouldTakeOver(scheduler::Millis now) const
{
    return !holdsRow_ && !isReleasing_ && !record_.holder.empty()
           && isOutgrownBy(settings_.memoryMib) && now - holderSince_ >= kHolderRestMs;
}

bool LeaderElection::isLeading(scheduler::Millis now) const
{
    return holdsRow_ && !isReleasing_ && !isYielding_ && now - leaseFrom_ < settings_.leaseMs;
}

} // namespace chicorywick::entry
