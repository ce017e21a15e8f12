#include <chicorywick/entry/leader_election.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

// The node of a holder "node#incarnation".
std::string nodeOf(const std::string &holder)
{
    return holder.substr(0, holder.find('#'));
}

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
    hasObserved_ = true;
    version_ = version;
    record_ = record;
    changedAt_ = now;
    if (!isMine) {
        holdsRow_ = false;
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

std::optional<LeaderWrite> LeaderElection::nextWrite(scheduler::Millis now)
{
    const bool isWaiting = unanswered_ != 0 && now - sentAt(unanswered_) < settings_.hedgeMs;
    if (isWaiting || !hasObserved_ || now < nextWriteAt_)
        return std::nullopt;
    LeaderRecord record{.holder = holder_,
                        .peerAddress = peerAddress_,
                        .beat = beat_ + 1,
                        .workerLeaseMs = settings_.workerLeaseMs};
    if (holdsRow_) {
        if (!isReleasing_ && now - leaseFrom_ < settings_.renewEveryMs)
            return std::nullopt;
        record.term = term_;
        if (isReleasing_)
            record.holder.clear();
    } else {
        const bool isFree = version_ == 0 || record_.holder.empty();
        // A node runs one process, so its former incarnation has ended.
        const bool isFormerSelf = nodeOf(record_.holder) == nodeOf(holder_);
        scheduler::Millis patience = settings_.leaseMs + settings_.takeoverDelayMs + claimJitterMs_;
        if (isFree)
            patience = claimJitterMs_;
        if (isFormerSelf)
            patience = 0;
        if (isReleasing_ || now - changedAt_ < patience)
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

bool LeaderElection::isLeading(scheduler::Millis now) const
{
    return holdsRow_ && !isReleasing_ && now - leaseFrom_ < settings_.leaseMs;
}

} // namespace chicorywick::entry
