#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/entry/cell_layout.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/job.h>
#include <chicorywick/scheduler/job_memory.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/pool_plan.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief The machines that a cell lacks, and how many it could lend.
struct MachineNeeds
{
    std::map<std::string, scheduler::PoolShortage> shortages; ///< by pool
    int lendable = 0;

    bool operator==(const MachineNeeds &) const = default;
};

/// @brief What the tasks of a client account ask for in a cell, in thousandths of its limit.
struct AccountNeed
{
    int demand = 0;   ///< of running and waiting tasks
    int smallest = 0; ///< of one waiting task

    bool operator==(const AccountNeed &) const = default;
};

using AccountNeeds = std::map<std::string, AccountNeed>;

/// @brief The machines that another cell lacks or can lend, as its leader has published them.
struct CellNeeds
{
    int cell = 0;
    MachineNeeds machines;
    AccountNeeds accounts; ///< those whose share of the limit does not suffice in the cell

    bool operator==(const CellNeeds &) const = default;
};

/// @brief Machines that the writer of a row, or a leader before it, may have ordered recently. The
/// times tell for how long after the write no other leader may order them.
struct ReservedMachines
{
    std::map<std::string, scheduler::Millis> waitMs; ///< by machine
    scheduler::Millis waitOfAllMs = 0;               ///< for all machines

    bool operator==(const ReservedMachines &) const = default;
};

/// @brief The current leader of a cell and the address at which other daemons reach it.
struct LeaderRecord
{
    std::string holder; ///< node and incarnation; empty after a release
    std::string peerAddress;
    std::int64_t term = 0;                  ///< row version of the claim; 0 in the claim itself
    std::int64_t heartbeat = 0;             ///< number of the write, counted by the holder
    std::int64_t workerLeaseMs = 0;         ///< longest lease that the holder grants to workers
    std::int64_t memoryMib = 0;             ///< of the holder's machine; 0: unknown
    std::int64_t maxMemoryMib = 0;          ///< of the largest machine that has held the row
    int heldCells = 0;                      ///< cells that the holder leads; 0: unknown
    std::map<std::string, int> waitingJobs; ///< by queue; jobs of the cell that have not started
    MachineNeeds machines;
    AccountNeeds accounts; ///< those whose share of the limit does not suffice in the cell
    /// Time until a job submitted now can start, by queue; short ones are left out.
    std::map<std::string, scheduler::Millis> backlogs;
    scheduler::JobMemory jobMemory; ///< without small parts
    /// None in rows of versions without reservations, whose holders may have ordered any machine.
    std::optional<ReservedMachines> reservedMachines;
    /// The reserved machines include those that were transferred to the cell up to this version.
    Version transfersKnownUntil = 0;

    bool operator==(const LeaderRecord &) const = default;
};

std::string encode(const LeaderRecord &record);
base::Result<LeaderRecord> decodeLeader(const std::string &text);

std::string encode(const scheduler::JobSpec &spec);
base::Result<scheduler::JobSpec> decodeJob(const std::string &text);

std::string encode(const scheduler::JobProgress &progress);

/// @brief Encodes progress in at most a number of bytes if possible, by leaving out failed and
/// crashed runs: first the only ones of their tasks, then all.
std::string encodeWithin(const scheduler::JobProgress &progress, std::size_t maxBytes);
base::Result<scheduler::JobProgress> decodeProgress(const std::string &text);

std::string encode(const std::vector<scheduler::WorkerEntry> &roster);
base::Result<std::vector<scheduler::WorkerEntry>> decodeRoster(const std::string &text);

std::string encode(const CellLayout &layout);
base::Result<CellLayout> decodeCellLayout(const std::string &text);

/// @brief The latest change of a machine's cell.
struct MachineTransfer
{
    int cell = 0;                         ///< which owns the machine now
    std::string pool;                     ///< for which the machine was transferred
    std::int64_t minFence = 0;            ///< the lowest fencing token of the new owner's orders
    std::set<std::int64_t> maintainedFor; ///< waves whose maintenance of the machine has started
    std::string writer;                   ///< unique to the write that has stored the transfer

    bool operator==(const MachineTransfer &) const = default;
};

std::string encode(const MachineTransfer &transfer);
base::Result<MachineTransfer> decodeMachineTransfer(const std::string &text);

/// @brief How the cells divide the limits of client accounts.
struct QuotaShares
{
    /// By account, then by cell: thousandths of the limit. Accounts that are not named are divided
    /// equally.
    std::map<std::string, std::vector<int>> shares;
    std::string writer; ///< unique to the write that has stored them

    bool operator==(const QuotaShares &) const = default;
};

std::string encode(const QuotaShares &shares);
base::Result<QuotaShares> decodeQuotaShares(const std::string &text);

/// @brief Progress of a wave in one cell.
struct WaveProgress
{
    std::set<std::string> startedMachines; ///< their maintenance has started
    bool isDone = false;                   ///< no machine of the cell is left, and none is down

    bool operator==(const WaveProgress &) const = default;
};

std::string encode(const WaveProgress &progress);
base::Result<WaveProgress> decodeWaveProgress(const std::string &text);

/// @brief The name of a job state in responses to callers and in stored rows.
const char *jobStateName(scheduler::JobState state);

} // namespace chicorywick::entry
