#pragma once

#include <chicorywick/entry/records.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/model.h>

#include <map>
#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Times of the election; milliseconds.
struct ElectionSettings
{
    scheduler::Millis leaseMs = 1500; ///< from the sending of the latest successful write
    scheduler::Millis renewEveryMs = 400;
    scheduler::Millis takeoverDelayMs = 200; ///< added to the lease before a successor claims
    scheduler::Millis retryMs = 200;
    scheduler::Millis hedgeMs = 350;            ///< after it, an unanswered write is not waited for
    scheduler::Millis workerLeaseMs = 0;        ///< written for the successor
    scheduler::Millis machineOrderGapMs = 3000; ///< between two holders' orders for a machine
    scheduler::Millis machineOrderWindowMs =
            800;                ///< after a renewal, machines may be ordered so long
    std::int64_t memoryMib = 0; ///< of this machine, 0: not known
    /// A small machine's claim waits up to so long for a larger one's; the wait is an outage when
    /// no larger one is up, so it is short against the lease.
    scheduler::Millis smallMachineDelayMs = 700;
    scheduler::Millis firstClaimDelayMs = 300; ///< of a machine with kCommonMemoryMib

    bool operator==(const ElectionSettings &) const = default;
};

/// @brief A write of the leader row that the election wants made now.
struct LeaderWrite
{
    LeaderRecord record;
    Version expected = 0;

    bool operator==(const LeaderWrite &) const = default;
};

/// @brief Decides who drives: one row, changed under its version, renewed while its holder lives.
/// A holder stops counting itself as leader before any other may claim, by its own steady clock.
class LeaderElection
{
public:
    LeaderElection(std::string holder, std::string peerAddress, scheduler::Millis claimJitterMs,
                   ElectionSettings settings = {});

    /// @brief The row as it was seen at a moment; an absent row has version 0.
    void observe(Version version, const LeaderRecord &record, scheduler::Millis now);

    /// @brief Whether the store answers watches of the row. While it does not, a row that does not
    /// change says nothing about its holder, and is not claimed.
    void setWatchHealthy(bool isWatchHealthy, scheduler::Millis now);

    /// @brief The write that is due, if any; its outcome is reported by one of the next calls.
    std::optional<LeaderWrite> nextWrite(scheduler::Millis now);
    void committed(const LeaderWrite &write, Version version, scheduler::Millis now);
    void writeFailed(const LeaderWrite &write, scheduler::Millis now);

    /// @brief Gives the row up for good; nextWrite() then returns the release.
    void release() { isReleasing_ = true; }

    /// @brief Gives the row up to a larger machine, and may claim it again later.
    void yield() { isYielding_ = holdsRow_; }

    /// @brief True if a machine is so much larger than the holder's that a change pays.
    bool isHolderSmallerThan(std::int64_t memoryMib) const;

    /// @brief True if this machine should ask the holder to yield.
    bool shouldRequestYield(scheduler::Millis now) const;

    /// @brief True while no other daemon can have claimed the row.
    bool isLeading(scheduler::Millis now) const;

    /// @brief True while machines may be ordered: two holders' orders for one machine lie a whole
    /// pause apart, so orders keep close to the renewals and a new holder waits.
    bool maySendMachineOrders(scheduler::Millis now) const;

    /// @brief True while the row names this daemon, whether or not its lease is known to hold.
    bool holdsRow() const { return holdsRow_; }

    /// @brief The version of this daemon's claim; orders carry it as their fencing token.
    Version term() const { return term_; }

    /// @brief The longest lease that the holder before this daemon gave to workers; 0: not known.
    scheduler::Millis previousWorkerLease() const { return previousWorkerLease_; }

    const LeaderRecord &record() const { return record_; }

private:
    std::string holder_;
    std::string peerAddress_;
    scheduler::Millis claimJitterMs_;
    ElectionSettings settings_;

    bool hasObserved_ = false;
    Version version_ = 0;
    LeaderRecord record_;
    scheduler::Millis changedAt_ = 0;

    bool holdsRow_ = false;
    Version term_ = 0;
    scheduler::Millis previousWorkerLease_ = 0;
    scheduler::Millis leaseStart_ = 0;
    scheduler::Millis machineOrdersAllowedAt_ = 0;
    std::int64_t heartbeat_ = 0;

    scheduler::Millis sentAt(std::int64_t heartbeat) const;
    scheduler::Millis memoryDelay() const;

    std::map<std::int64_t, scheduler::Millis> sentTimes_; ///< sending times of this daemon's writes
    std::int64_t unansweredHeartbeat_ = 0; ///< beat of the write that is waited for, 0: none
    scheduler::Millis nextWriteAt_ = 0;
    bool isWatchHealthy_ = true;
    bool isReleasing_ = false;
    bool isYielding_ = false;
    scheduler::Millis holderSince_ = 0; ///< when the holder was first seen
};

} // namespace chicorywick::entry
