#pragma once

#include <chicorywick/fleet/instance.h>
#include <chicorywick/fleet/maintenance_wave.h>
#include <chicorywick/fleet/pool.h>
#include <chicorywick/platform/table.h>

namespace chicorywick::fleet {

/// @brief An aggregate with the version of its row; version 0 means that it is not stored yet.
template <typename Aggregate>
struct Stored
{
    Aggregate value;
    std::uint64_t version = 0;

    bool operator==(const Stored &) const = default;
};

/// @brief Maximum number of rows per read, above the target sizes in docs/CAPACITY.md.
constexpr std::size_t kMaxInstances = 20'000;
constexpr std::size_t kMaxPools = 1'000;
constexpr std::size_t kMaxWaves = 5'000;

/// @brief Collects conditional writes of aggregates into one transaction.
class FleetChange
{
public:
    FleetChange &put(const Stored<Instance> &old, const Instance &next);
    FleetChange &put(const Stored<Pool> &old, const Pool &next);
    FleetChange &put(const Stored<MaintenanceWave> &old, const MaintenanceWave &next);
    FleetChange &add(const Instance &instance);
    FleetChange &add(const Pool &pool);
    FleetChange &add(const MaintenanceWave &wave, const WavePlan &plan);
    FleetChange &remove(const Stored<Instance> &old);

    const platform::Transaction &transaction() const { return transaction_; }

private:
    FleetChange &write(const std::string &key, std::uint64_t version, std::string value);

    platform::Transaction transaction_;
};

/// @brief Reads and writes the rows of the fleet.
class FleetRepository
{
public:
    explicit FleetRepository(platform::Table table)
        : table_(std::move(table))
    {}

    const platform::Table &table() const { return table_; }

    /// @brief Each fails with NotFound if the row does not exist, except plan(), which returns an
    /// empty plan.
    base::Result<Stored<Instance>> instance(const std::string &id) const;
    base::Result<Stored<Pool>> pool(const std::string &name) const;
    base::Result<Stored<MaintenanceWave>> wave(const std::string &id) const;
    base::Result<WavePlan> plan(const std::string &wave) const;

    base::Result<std::vector<Stored<Instance>>> instances() const;
    base::Result<std::vector<Stored<Pool>>> pools() const;
    base::Result<std::vector<Stored<MaintenanceWave>>> waves() const;

    /// @brief Reads the members of a pool. The result stays valid until the pool's members revision
    /// changes, provided that the revision was read before the members.
    base::Result<std::vector<Stored<Instance>>> members(const std::string &pool) const;

    /// @brief Commits the change and resolves an unknown outcome. Returns the version of the
    /// written rows.
    base::Result<std::uint64_t> commit(const FleetChange &change) const;

private:
    platform::Table table_;
};

} // namespace chicorywick::fleet
