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
    // A write of ours whose answer was lost. The lease counts from its sending, if it is the
    // latest one; an older one extends nothing.
    if (!holdsRow_) {
        holdsRow_ = true;
        term_ = record.term != 0 ? record.term : version;
    }
    if (record.beat == written_.beat)
        leaseFrom_ = writeSentAt_;
}

std::optional<LeaderWrite> LeaderElection::nextWrite(scheduler::Millis now)
{
    if (isWriting_ || !hasObserved_ || now < nextWriteAt_)
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
    isWriting_ = true;
    written_ = record;
    writeSentAt_ = now;
    return LeaderWrite{.record = record, .expected = version_};
}

void LeaderElection::committed(Version version, scheduler::Millis now)
{
    isWriting_ = false;
    if (version > version_) {
        version_ = version;
        record_ = written_;
        changedAt_ = now;
    }
    if (version != version_ || written_.holder != holder_) {
        holdsRow_ = false;
        return;
    }
    if (!holdsRow_)
        term_ = version;
    holdsRow_ = true;
    leaseFrom_ = writeSentAt_;
}

void LeaderElection::writeFailed(scheduler::Millis now)
{
    isWriting_ = false;
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
