#pragma once

#include <chicorywick/entry/machine_order_hold.h>
#include <chicorywick/entry/machine_reservations.h>
#include <chicorywick/entry/records.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/model.h>

#include <map>
#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Parameters of the election; times are in milliseconds.
struct ElectionSettings
{
    scheduler::Millis leaseMs = 1500; ///< from the send time of the latest successful write
    scheduler::Millis renewEveryMs = 400;
    scheduler::Millis takeoverDelayMs = 200; ///< added to the lease before another daemon claims
    scheduler::Millis retryMs = 200;
    /// An unanswered write is repeated after this time, or twice that of the latest answer.
    scheduler::Millis hedgeMs = 350;
    scheduler::Millis workerLeaseMs = 0;        ///< stored for the next leader
    scheduler::Millis machineOrderGapMs = 3000; ///< between two holders' orders for one machine
    std::int64_t memoryMib = 0;                 ///< of this machine; 0: unknown
    /// Longest delay of a claim by a smaller machine, so that a larger one can claim first. Without
    /// a larger machine the delay adds to the outage, so it is short compared with the lease.
    scheduler::Millis smallMachineDelayMs = 700;
    scheduler::Millis firstClaimDelayMs = 300; ///< for a machine with kTypicalMemoryMib
    scheduler::Millis heldCellDelayMs = 300;   ///< of a claim, for each cell led already

    bool operator==(const ElectionSettings &) const = default;
};

/// @brief A write of the leader row that is due now.
struct LeaderWrite
{
    LeaderRecord record;
    Version expected = 0;

    bool operator==(const LeaderWrite &) const = default;
};

/// @brief Elects the leader of a cell through one stored row. The row is changed by
/// compare-and-swap on its version, and its holder renews it as a lease. By its own steady clock, a
/// holder gives up leadership before any other daemon may claim the row.
class LeaderElection
{
public:
    LeaderElection(std::string holder, std::string peerAddress, scheduler::Millis claimJitterMs,
                   ElectionSettings settings = {});

    /// @brief Records the row as read at a given time; an absent row has version 0.
    void observe(Version version, const LeaderRecord &record, scheduler::Millis now);

    /// @brief Records whether the store answers watches of the row. While it does not, an unchanged
    /// row is no sign of a failed holder, and the row is not claimed.
    void setWatchHealthy(bool isWatchHealthy, scheduler::Millis now);

    /// @brief Sets how many cells this daemon leads, including this one if it holds its row. A
    /// daemon that leads cells already claims later, so that the others can claim first.
    void setHeldCells(int heldCells) { heldCells_ = heldCells; }

    int heldCells() const { return heldCells_; }

    /// @brief True while a claim of this daemon is in flight.
    bool isClaiming() const { return !holdsRow_ && unansweredHeartbeat_ != 0; }

    /// @brief The write that is due, if any. The caller reports the outcome through committed() or
    /// writeFailed().
    std::optional<LeaderWrite> nextWrite(scheduler::Millis now);
    void committed(const LeaderWrite &write, Version version, scheduler::Millis now);
    void writeFailed(const LeaderWrite &write, scheduler::Millis now);

    /// @brief Releases the row permanently; nextWrite() returns the write for it.
    void release() { isReleasing_ = true; }

    /// @brief Releases the row to a daemon with more room; this daemon may claim it again later.
    void yield() { isYielding_ = holdsRow_; }

    /// @brief True if the holder has so much less room for the cell than a daemon with this memory
    /// that leads this many cells already, that a handover is worth its cost.
    bool isHolderBusierThan(std::int64_t memoryMib, int heldCells) const;

    /// @brief True if this daemon should ask the holder to yield.
    bool shouldRequestYield(scheduler::Millis now) const;

    /// @brief True while no other daemon can have claimed the row.
    bool isLeading(scheduler::Millis now) const;

    /// @brief The machines that this holder may order, and those that earlier holders may have
    /// ordered too recently.
    MachineReservations &reservations() { return reservations_; }
    const MachineReservations &reservations() const { return reservations_; }

    /// @brief Records which transferred machines are held, and up to which version transfers are
    /// known, for the rows to come.
    void setTransfers(const std::map<std::string, scheduler::Millis> &waitMs, Version knownUntil,
                      scheduler::Millis now);
    Version transfersKnownUntil() const { return transfersKnownUntil_; }

    /// @brief Until when an order that is sent to a machine now is valid; none if it must not be
    /// sent.
    std::optional<scheduler::Millis> machineOrderUntil(const std::string &machine,
                                                       scheduler::Millis now) const;

    /// @brief Why machine orders wait, if any do.
    std::optional<MachineOrderHold> machineOrderHold(scheduler::Millis now) const;

    /// @brief The time at which isLeading() ends without a renewal.
    scheduler::Millis leadingUntil() const { return leaseStart_ + settings_.leaseMs; }

    /// @brief True while the row names this daemon, even if its lease may have expired.
    bool holdsRow() const { return holdsRow_; }

    /// @brief True if this daemon holds the row and is not giving it up.
    bool keepsRow() const { return holdsRow_ && !isYielding_ && !isReleasing_; }

    /// @brief The row version of this daemon's claim; orders carry it as their fencing token.
    Version term() const { return term_; }

    /// @brief The longest lease that the previous holder granted to workers; 0: unknown.
    scheduler::Millis previousWorkerLease() const { return previousWorkerLease_; }

    const LeaderRecord &record() const { return record_; }

    /// @brief When the row was last seen to change.
    scheduler::Millis changedAt() const { return changedAt_; }

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
    MachineReservations reservations_;
    Version transfersKnownUntil_ = 0; ///< by this holder, or the one before it
    std::int64_t heartbeat_ = 0;      ///< number of the latest write

    struct SentWrite
    {
        scheduler::Millis at = 0;
        std::set<std::string> reserved; ///< machines that were requested
    };

    MachineReservations inheritedReservations() const;
    void confirmWrite(std::int64_t heartbeat);
    scheduler::Millis sentAt(std::int64_t heartbeat) const;
    scheduler::Millis memoryDelay() const;

    std::map<std::int64_t, SentWrite> sentWrites_; ///< of this daemon, by heartbeat
    std::int64_t unansweredHeartbeat_ = 0;         ///< of the write in flight; 0: none
    scheduler::Millis answerMs_ = 0;               ///< time to the latest answer to a write
    int heldCells_ = 0;
    scheduler::Millis nextWriteAt_ = 0;
    bool isWatchHealthy_ = true;
    bool isReleasing_ = false;
    bool isYielding_ = false;
    scheduler::Millis holderSince_ = 0; ///< when the current holder was first observed
};

} // namespace chicorywick::entry
