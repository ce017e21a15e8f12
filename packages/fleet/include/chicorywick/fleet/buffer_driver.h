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

/// @brief What the caller knows of the demand; a pool that is not named neither borrows nor lends.
struct BufferInputs
{
    std::vector<PoolDemand> demands;
    base::Duration minStay = std::chrono::seconds(10);

    bool operator==(const BufferInputs &) const = default;
};

struct BufferDriverOptions
{
    std::function<BufferInputs()> inputs;
    /// Time after its move for which an instance counts for neither pool.
    base::Duration moveTime = std::chrono::seconds(5);
    /// Most moves of one step; each is one transaction.
    std::size_t movesPerStep = 16;
};

/// @brief Lends instances of the spare pool to other pools and takes them back. Several drivers may
/// run at once: a move names the versions of the pool rows that it was decided on.
class BufferDriver
{
public:
    BufferDriver(FleetRepository repository, platform::InstanceList list,
                 BufferDriverOptions options);

    /// @brief Makes the moves that are due; the value is their number. Not thread-safe.
    base::Result<std::size_t> step(base::TimePoint now);

private:
    struct StoredLoan
    {
        Loan value;
        std::uint64_t version = 0;
    };

    /// The rows that one step decides on; the versions follow its own commits.
    struct Session
    {
        std::map<std::string, Stored<Pool>> pools;
        base::TimePoint now;
        BufferInputs inputs;
    };

    base::Result<Session> open(base::TimePoint now);
    base::Result<void> refreshMembers(const Session &session);
    LendingView view(const Session &session, const platform::InstanceListing &listing) const;
    LendingPool lendingPool(const Session &session, const Pool &pool,
                            const platform::InstanceListing &listing) const;
    void addMembers(LendingView &view, const LendingPool &pool) const;
    bool isInFlight(const Instance &instance, base::TimePoint now) const;
    /// @brief The last move of the instance; nullptr if there is none or it is void.
    const StoredLoan *findLoan(const Instance &instance) const;
    base::Result<void> carryOut(Session &session, const InstanceMove &move);

    FleetRepository repository_;
    platform::InstanceList list_;
    BufferDriverOptions options_;

    // Caches, valid while the members revisions of all pools are these.
    std::map<std::string, std::uint64_t> revisions_;
    std::map<std::string, Stored<Instance>> instances_;
    std::map<std::string, StoredLoan> loans_;
};

} // namespace chicorywick::fleet
