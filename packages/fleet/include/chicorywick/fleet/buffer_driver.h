#pragma once

#include <chicorywick/fleet/fleet_repository.h>
#include <chicorywick/fleet/lending.h>
#include <chicorywick/fleet/loan.h>

#include <functional>
#include <map>

namespace chicorywick::fleet {

/// @brief Demand of one pool, in instances.
struct PoolDemand
{
    std::string pool;
    std::uint32_t needed = 0;
    std::uint32_t recentPeak = 0;

    bool operator==(const PoolDemand &) const = default;
};

/// @brief Demand reported by the caller. A pool without an entry neither borrows nor lends.
struct BufferInputs
{
    std::vector<PoolDemand> demands;
    base::Duration minMoveInterval = std::chrono::seconds(10);

    bool operator==(const BufferInputs &) const = default;
};

struct BufferDriverOptions
{
    std::function<BufferInputs()> inputs;
    /// Time after a move during which the instance counts for neither pool.
    base::Duration moveTime = std::chrono::seconds(5);
    /// Maximum number of moves per step. Each move is one transaction.
    std::size_t maxMovesPerStep = 16;
};

/// @brief Lends instances of the spare pool to other pools and reclaims them. Several drivers may
/// run concurrently: each move is conditional on the versions of the pool rows that it was decided
/// from.
class BufferDriver
{
public:
    BufferDriver(FleetRepository repository, platform::InstanceList list,
                 BufferDriverOptions options);

    /// @brief Carries out the moves that are due and returns their number. Not thread-safe.
    base::Result<std::size_t> step(base::TimePoint now);

private:
    struct StoredLoan
    {
        Loan value;
        std::uint64_t version = 0;
    };

    /// Rows that one step works on. The step's own commits update the versions.
    struct Session
    {
        std::map<std::string, Stored<Pool>> pools;
        base::TimePoint now;
        BufferInputs inputs;
    };

    base::Result<Session> beginStep(base::TimePoint now);
    base::Result<void> refreshMembers(const Session &session);
    LendingView view(const Session &session, const platform::InstanceListing &listing) const;
    LendingPool lendingPool(const Session &session, const Pool &pool,
                            const platform::InstanceListing &listing) const;
    void addMembers(LendingView &view, const LendingPool &pool) const;
    bool isInFlight(const Instance &instance, base::TimePoint now) const;
    /// @brief The last recorded move of the instance; nullptr if there is none or if an operator
    /// has moved the instance since.
    const StoredLoan *findLoan(const Instance &instance) const;
    base::Result<void> applyMove(Session &session, const InstanceMove &move);

    FleetRepository repository_;
    platform::InstanceList list_;
    BufferDriverOptions options_;

    // Caches; valid while the members revisions of all pools equal revisions_.
    std::map<std::string, std::uint64_t> revisions_;
    std::map<std::string, Stored<Instance>> instances_;
    std::map<std::string, StoredLoan> loans_;
};

} // namespace chicorywick::fleet
