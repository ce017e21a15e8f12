#include "chicorywick/v1/fleet.pb.h"
#include "evidence/measure/jobs_measure.h"

#include <algorithm>
#include <chrono>

namespace chicorywick::measure {

namespace {

constexpr platform::Capacity kWorkerCapacity{.cpuMillis = 16000, .memoryMib = 65536};
constexpr int kAcceleratorsPerWorker = 8;
constexpr int kWorkersPerRack = 4;
constexpr base::Duration kStepInterval = std::chrono::milliseconds(500);

std::string poolName(int pool)
{
    return "p" + std::to_string(pool);
}

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

JobsFake::JobsFake(const JobsDeployment &deployment, std::uint64_t seed, bool quarantine)
    : platform(std::make_shared<platform::MemoryPlatform>(
            platform::MemoryPlatformOptions{.clock = clock, .seed = seed}))
    , access{platform, "z1"}
    , repository(platform::Table(access), platform::ObjectStore(access))
    , deployment_(deployment)
    , seed_(seed)
    , quarantine_(quarantine)
{}

void JobsFake::addWorkers()
{
    std::vector<std::vector<std::string>> pools(static_cast<std::size_t>(deployment_.drivers));
    for (int i = 0; i < deployment_.pools; ++i) {
        // A single pool is assigned to every driver.
        for (int driver = 0; driver < deployment_.drivers; ++driver) {
            if (deployment_.pools == 1 || i % deployment_.drivers == driver)
                pools[static_cast<std::size_t>(driver)].push_back(poolName(i));
        }
    }
    platform::Transaction transaction{.writer = "set-up"};
    for (int i = 0; i < deployment_.workers; ++i) {
        platform::ListedInstance worker{.id = "w" + std::to_string(i),
                                        .kind = platform::InstanceKind::Worker,
                                        .address = "10.0.0.1:1",
                                        .zone = "z" + std::to_string(i / kWorkersPerRack % 3),
                                        .rack = "r" + std::to_string(i / kWorkersPerRack),
                                        .service = "",
                                        .capacity = kWorkerCapacity};
        if (i < deployment_.accelerators / kAcceleratorsPerWorker)
            worker.capacity.accelerators = kAcceleratorsPerWorker;
        platform->addInstance(worker);
        v1::InstanceRow row;
        row.set_id(worker.id);
        row.set_pool(poolName(i % deployment_.pools));
        transaction.puts.push_back({"instance/" + worker.id, row.SerializeAsString()});
        if (transaction.puts.size() == platform::kMaxTransactionOperations
            || i + 1 == deployment_.workers) {
            static_cast<void>(platform->commit("z1", transaction));
            transaction.puts.clear();
            time->advance(std::chrono::milliseconds(300));
        }
    }
    for (int i = 0; i < deployment_.drivers; ++i) {
        drivers.emplace_back(
                jobs::JobPlatform{platform::Table(access), platform::ObjectStore(access),
                                  platform::InstanceList(access), platform::Workers(access)},
                jobs::JobDriverOptions{.clock = clock,
                                       .quarantineWorkers = quarantine_,
                                       .seed = seed_ + static_cast<std::uint64_t>(i),
                                       .writeBudget =
                                               jobs::makeWriteBudget(jobs::kDefaultWritesPerSecond
                                                                     / deployment_.drivers)});
        drivers.back().setPools(pools[static_cast<std::size_t>(i)]);
    }
}

void JobsFake::run(base::Duration duration)
{
    for (base::Duration passed{}; passed < duration; passed += kStepInterval) {
        for (jobs::JobDriver &driver : drivers) {
            const auto before = std::chrono::steady_clock::now();
            const auto report = driver.step(clock.now());
            const std::chrono::duration<double, std::milli> elapsed =
                    std::chrono::steady_clock::now() - before;
            stepMillis.push_back(elapsed.count());
            preempted += report.preempted;
            quarantined += report.quarantined;
            time->advance(kStepInterval / deployment_.drivers);
        }
    }
}

std::size_t JobsFake::write(const std::vector<jobs::JobChange> &changes)
{
    base::TokenBucket unlimited({.tokensPerSecond = 1e9, .burst = 1e9});
    const auto results = repository.write(changes, clock, unlimited);
    return static_cast<std::size_t>(
            std::count_if(results.begin(), results.end(), [](const jobs::WriteResult &result) {
                return result.outcome == jobs::WriteOutcome::Written;
            }));
}

jobs::Job JobsFake::makeJob(const std::string &id, int pool, jobs::JobClass jobClass,
                            const platform::Capacity &resources, const std::string &team,
                            const std::string &kind)
{
    return jobs::Job::accept({.pool = poolName(pool),
                              .id = id,
                              .team = team,
                              .kind = kind,
                              .jobClass = jobClass,
                              .resources = resources,
                              .idempotent = true},
                             clock.now())
            .value();
}

} // namespace chicorywick::measure
