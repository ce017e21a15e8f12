#include <chicorywick/base/unique_id.h>
#include <chicorywick/fleet/fleet_repository.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

constexpr const char *kInstancePrefix = "instance/";
constexpr const char *kPoolPrefix = "pool/";
constexpr const char *kWavePrefix = "wave/";
constexpr const char *kPlanPrefix = "wave-plan/";
constexpr std::size_t kMaxPlanRows = kMaxPlanEntries / kPlanEntriesPerRow;
// planKey() uses one letter per part.
static_assert(kMaxPlanRows <= 26);

std::string planKey(const std::string &wave, std::size_t part)
{
    return kPlanPrefix + wave + "/" + static_cast<char>('a' + part);
}

std::size_t planRows(const MaintenanceWave &wave)
{
    return (wave.data().total + kPlanEntriesPerRow - 1) / kPlanEntriesPerRow;
}

template <typename Aggregate>
base::Result<Stored<Aggregate>> parse(const platform::Row &row)
{
    BOOST_OUTCOME_TRY(value, Aggregate::fromRow(row.value));
    return Stored<Aggregate>{std::move(value), row.version};
}

template <typename Aggregate>
base::Result<Stored<Aggregate>> read(const platform::Table &table, const std::string &prefix,
                                     const std::string &name, const std::string &what)
{
    BOOST_OUTCOME_TRY(row, table.get(prefix + name));
    if (!row)
        return base::makeError(base::Code::NotFound, what + " '" + name + "'");
    return parse<Aggregate>(*row);
}

template <typename Aggregate>
base::Result<std::vector<Stored<Aggregate>>> readAll(const platform::Table &table,
                                                     const std::string &prefix, std::size_t bound)
{
    BOOST_OUTCOME_TRY(rows, table.scanAll(prefix, bound));
    std::vector<Stored<Aggregate>> all;
    all.reserve(rows.size());
    for (const platform::Row &row : rows) {
        BOOST_OUTCOME_TRY(stored, parse<Aggregate>(row));
        all.push_back(std::move(stored));
    }
    return all;
}

} // namespace

FleetChange &FleetChange::write(const std::string &key, std::uint64_t version, std::string value)
{
    if (transaction_.writer.empty())
        transaction_.writer = base::uniqueId();
    transaction_.conditions.push_back({key, version});
    transaction_.puts.push_back({key, std::move(value)});
    return *this;
}

FleetChange &FleetChange::put(const Stored<Instance> &old, const Instance &next)
{
    return write(kInstancePrefix + next.data().place.id, old.version, next.toRow());
}

FleetChange &FleetChange::put(const Stored<Pool> &old, const Pool &next)
{
    return write(kPoolPrefix + next.data().name, old.version, next.toRow());
}

FleetChange &FleetChange::put(const Stored<MaintenanceWave> &old, const MaintenanceWave &next)
{
    write(kWavePrefix + next.data().id, old.version, next.toRow());
    // The plan of an ended wave is not used any more.
    if (next.hasEnded()) {
        for (std::size_t part = 0; part < planRows(next); ++part)
            transaction_.deletes.push_back(planKey(next.data().id, part));
    }
    return *this;
}

FleetChange &FleetChange::add(const Instance &instance)
{
    return write(kInstancePrefix + instance.data().place.id, 0, instance.toRow());
}

FleetChange &FleetChange::add(const Pool &pool)
{
    return write(kPoolPrefix + pool.data().name, 0, pool.toRow());
}

FleetChange &FleetChange::add(const MaintenanceWave &wave, const WavePlan &plan)
{
    write(kWavePrefix + wave.data().id, 0, wave.toRow());
    std::size_t part = 0;
    for (std::string &row : plan.toRows())
        write(planKey(wave.data().id, part++), 0, std::move(row));
    return *this;
}

FleetChange &FleetChange::remove(const Stored<Instance> &old)
{
    const std::string key = kInstancePrefix + old.value.data().place.id;
    transaction_.conditions.push_back({key, old.version});
    transaction_.deletes.push_back(key);
    return *this;
}

base::Result<Stored<Instance>> FleetRepository::instance(const std::string &id) const
{
    return read<Instance>(table_, kInstancePrefix, id, "instance");
}

base::Result<Stored<Pool>> FleetRepository::pool(const std::string &name) const
{
    return read<Pool>(table_, kPoolPrefix, name, "pool");
}

base::Result<Stored<MaintenanceWave>> FleetRepository::wave(const std::string &id) const
{
    return read<MaintenanceWave>(table_, kWavePrefix, id, "wave");
}

base::Result<WavePlan> FleetRepository::plan(const std::string &wave) const
{
    BOOST_OUTCOME_TRY(rows, table_.scanAll(kPlanPrefix + wave + "/", kMaxPlanRows));
    std::vector<std::string> values;
    values.reserve(rows.size());
    for (platform::Row &row : rows)
        values.push_back(std::move(row.value));
    return WavePlan::fromRows(values);
}

base::Result<std::vector<Stored<Instance>>> FleetRepository::instances() const
{
    return readAll<Instance>(table_, kInstancePrefix, kMaxInstances);
}

base::Result<std::vector<Stored<Pool>>> FleetRepository::pools() const
{
    return readAll<Pool>(table_, kPoolPrefix, kMaxPools);
}

base::Result<std::vector<Stored<MaintenanceWave>>> FleetRepository::waves() const
{
    return readAll<MaintenanceWave>(table_, kWavePrefix, kMaxWaves);
}

base::Result<std::vector<Stored<Instance>>> FleetRepository::members(const std::string &pool) const
{
    BOOST_OUTCOME_TRY(all, instances());
    std::erase_if(all,
                  [&](const Stored<Instance> &stored) { return stored.value.data().pool != pool; });
    return all;
}

base::Result<std::uint64_t> FleetRepository::commit(const FleetChange &change) const
{
    return platform::commitResolved(table_, change.transaction());
}

} // namespace chicorywick::fleet
