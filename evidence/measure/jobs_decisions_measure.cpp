#include "evidence/measure/jobs_measure.h"

#include <chicorywick/jobs/placement.h>
#include <chicorywick/jobs/usage_model.h>

#include <algorithm>
#include <chrono>
#include <functional>

namespace chicorywick::measure {

// Measures single decisions on generated workers and jobs.

namespace {

constexpr platform::Capacity kWorker{.cpuMillis = 16000, .memoryMib = 65536};

std::vector<jobs::WorkerView> makeWorkers(int count)
{
    std::vector<jobs::WorkerView> workers;
    for (int i = 0; i < count; ++i)
        workers.push_back({.id = "w" + std::to_string(i),
                           .zone = "z" + std::to_string(i / 4 % 3),
                           .rack = "r" + std::to_string(i / 4),
                           .capacity = kWorker});
    return workers;
}

platform::Capacity randomSize(base::Rng &rng)
{
    return {.cpuMillis = static_cast<std::uint32_t>(250 + rng.below(7750)),
            .memoryMib = static_cast<std::uint32_t>(512 + rng.below(24000))};
}

void add(platform::Capacity &to, const platform::Capacity &amount)
{
    to.cpuMillis += amount.cpuMillis;
    to.memoryMib += amount.memoryMib;
}

double averageMicros(const std::function<void()> &decision, int repeats)
{
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i)
        decision();
    const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - before;
    return elapsed.count() / repeats;
}

nlohmann::json measurePlacement(int count, base::Rng &rng)
{
    std::vector<jobs::WorkerView> workers = makeWorkers(count);
    for (jobs::WorkerView &worker : workers)
        worker.reserved = {static_cast<std::uint32_t>(rng.below(16000)), 1024, 0};
    jobs::KindSpread spread;
    for (int i = 0; i < 100; ++i) {
        const jobs::WorkerView &worker = workers[rng.below(workers.size())];
        ++spread.racks[worker.rack];
        ++spread.zones[worker.zone];
        ++spread.total;
    }
    const double micros = averageMicros(
            [&] {
                static_cast<void>(
                        pickWorker({.requested = randomSize(rng), .spread = &spread}, workers));
            },
            200);
    std::vector<jobs::PreemptionCandidate> candidates;
    for (std::size_t i = 0; i < workers.size(); ++i)
        candidates.push_back({"job", i, workers[i].reserved, jobs::JobClass::Normal, {}});
    const double preemption = averageMicros(
            [&] {
                static_cast<void>(pickPreemption({16000, 1024, 0}, workers, candidates));
            },
            20);
    return {{"workers", count}, {"place_us", micros}, {"preempt_us", preemption}};
}

nlohmann::json measureOrdering(std::size_t queued, int teams, base::Rng &rng)
{
    std::vector<jobs::QueueEntry> queue;
    for (std::size_t i = 0; i < queued; ++i)
        queue.push_back({.job = i,
                         .team = "t" + std::to_string(rng.below(static_cast<std::uint64_t>(teams))),
                         .jobClass = static_cast<jobs::JobClass>(rng.below(3)),
                         .requested = {1000, 1024, 0},
                         .acceptedAt = base::fromMillis(static_cast<std::int64_t>(i))});
    const double micros = averageMicros(
            [&] { static_cast<void>(orderQueue(queue, {}, base::fromMillis(1'000'000), 320)); },
            10);
    return {{"queued", queued}, {"teams", teams}, {"order_us", micros}};
}

// Returns the used share of the scarcer resource when the first job does not fit. The upper bound
// of any placement is 1.
double usedShare(const std::function<std::optional<std::size_t>(
                         const platform::Capacity &, const std::vector<jobs::WorkerView> &)> &pick,
                 int count, base::Rng rng)
{
    std::vector<jobs::WorkerView> workers = makeWorkers(count);
    double cpu = 0;
    double memory = 0;
    while (true) {
        const platform::Capacity requested = randomSize(rng);
        const auto worker = pick(requested, workers);
        if (!worker)
            break;
        add(workers[*worker].reserved, requested);
        cpu += requested.cpuMillis;
        memory += requested.memoryMib;
    }
    return std::max(cpu / kWorker.cpuMillis, memory / kWorker.memoryMib) / count;
}

nlohmann::json measurePacking(int count, std::uint64_t seed)
{
    const auto pickChosen = [](const platform::Capacity &requested,
                               const std::vector<jobs::WorkerView> &workers) {
        return pickWorker({.requested = requested}, workers);
    };
    base::Rng random(seed);
    const auto pickRandom =
            [&random](const platform::Capacity &requested,
                      const std::vector<jobs::WorkerView> &workers) -> std::optional<std::size_t> {
        const std::size_t offset = random.below(workers.size());
        for (std::size_t i = 0; i < workers.size(); ++i) {
            const std::size_t index = (i + offset) % workers.size();
            if (fits(requested, workers[index]))
                return index;
        }
        return std::nullopt;
    };
    return {{"workers", count},
            {"used_share_chosen", usedShare(pickChosen, count, base::Rng(seed))},
            {"used_share_random_worker", usedShare(pickRandom, count, base::Rng(seed))},
            {"upper_bound", 1.0}};
}

// Predicts the size of a job whose kind declares four times the resources that it uses.
nlohmann::json measurePrediction()
{
    constexpr platform::Capacity kDeclared{.cpuMillis = 4000, .memoryMib = 16384};
    const jobs::JobSpec spec{.pool = "p", .id = "j", .kind = "k", .resources = kDeclared};
    jobs::UsageModel model;
    base::Rng rng(1);
    for (int i = 0; i < 100; ++i)
        model.recordUsage("k", {static_cast<std::uint32_t>(900 + rng.below(200)),
                                static_cast<std::uint32_t>(3800 + rng.below(500))});
    const auto predicted = model.predict(spec).resources;
    const auto perWorker = [](const platform::Capacity &size) {
        return std::min(kWorker.cpuMillis / size.cpuMillis, kWorker.memoryMib / size.memoryMib);
    };
    return {{"jobs_per_worker_declared", perWorker(kDeclared)},
            {"jobs_per_worker_learned", perWorker(predicted)},
            {"learned_cpu_millis", predicted.cpuMillis},
            {"learned_memory_mib", predicted.memoryMib}};
}

} // namespace

nlohmann::json measureDecisions(std::uint64_t seed)
{
    base::Rng rng(seed);
    nlohmann::json figures;
    for (const int count : {50, 264, 1000, 7400})
        figures["placement"].push_back(measurePlacement(count, rng));
    for (const std::size_t queued : {100U, 1000U, 10000U})
        figures["ordering"].push_back(measureOrdering(queued, kTarget.teams, rng));
    figures["packing"].push_back(measurePacking(50, seed));
    figures["packing"].push_back(measurePacking(264, seed));
    figures["learning"] = measurePrediction();
    return figures;
}

} // namespace chicorywick::measure
