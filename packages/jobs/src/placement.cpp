#include <chicorywick/jobs/placement.h>

#include <algorithm>
#include <limits>

namespace chicorywick::jobs {

namespace {

// Weights of the placement score, as fractions of a worker's capacity; the lowest score wins. The
// capacity left free decides first (best fit). Spreading over racks and zones outweighs a small
// difference in free capacity, and accelerators are kept for jobs that need them.
constexpr double kRackWeight = 0.3;
constexpr double kZoneWeight = 0.2;
constexpr double kAcceleratorWeight = 1.0;
// A worker on which the job has failed before is chosen last.
constexpr double kAvoidedWeight = 10.0;

double freeShareAfter(std::uint32_t capacity, std::uint32_t reserved, std::uint32_t requested)
{
    if (capacity == 0)
        return 0;
    return static_cast<double>(capacity - reserved - requested) / capacity;
}

double spreadPenalty(const KindSpread *spread, const WorkerView &worker)
{
    if (spread == nullptr || spread->total == 0)
        return 0;
    const auto share = [spread](const std::map<std::string, std::uint32_t> &counts,
                                const std::string &domain) {
        const auto found = counts.find(domain);
        return found == counts.end() ? 0.0 : static_cast<double>(found->second) / spread->total;
    };
    return kRackWeight * share(spread->racks, worker.rack)
           + kZoneWeight * share(spread->zones, worker.zone);
}

double score(const PlacementRequest &request, const WorkerView &worker)
{
    const platform::Capacity &requested = request.requested;
    const double left = std::max(freeShareAfter(worker.capacity.cpuMillis,
                                                worker.reserved.cpuMillis, requested.cpuMillis),
                                 freeShareAfter(worker.capacity.memoryMib,
                                                worker.reserved.memoryMib, requested.memoryMib));
    const bool wastesAccelerators = requested.accelerators == 0 && worker.capacity.accelerators > 0;
    const bool isAvoided =
            std::find(request.avoidedWorkers.begin(), request.avoidedWorkers.end(), worker.id)
            != request.avoidedWorkers.end();
    return left + spreadPenalty(request.spread, worker)
           + (wastesAccelerators ? kAcceleratorWeight : 0) + (isAvoided ? kAvoidedWeight : 0);
}

void subtract(platform::Capacity &from, const platform::Capacity &amount)
{
    from.cpuMillis -= std::min(from.cpuMillis, amount.cpuMillis);
    from.memoryMib -= std::min(from.memoryMib, amount.memoryMib);
    from.accelerators -= std::min(from.accelerators, amount.accelerators);
}

// Archive jobs are preempted first, then the attempt that started last, because it loses the least
// work.
bool isCheaper(const PreemptionCandidate &left, const PreemptionCandidate &right)
{
    const bool leftArchive = left.jobClass == JobClass::Archive;
    const bool rightArchive = right.jobClass == JobClass::Archive;
    if (leftArchive != rightArchive)
        return leftArchive;
    return left.startedAt > right.startedAt;
}

} // namespace

bool fits(const platform::Capacity &requested, const WorkerView &worker)
{
    const auto hasRoom = [](std::uint32_t capacity, std::uint32_t reserved, std::uint32_t demand) {
        return reserved <= capacity && demand <= capacity - reserved;
    };
    return hasRoom(worker.capacity.cpuMillis, worker.reserved.cpuMillis, requested.cpuMillis)
           && hasRoom(worker.capacity.memoryMib, worker.reserved.memoryMib, requested.memoryMib)
           && hasRoom(worker.capacity.accelerators, worker.reserved.accelerators,
                      requested.accelerators);
}

std::optional<platform::Capacity> placeableSize(const platform::Capacity &learned,
                                                const platform::Capacity &declared,
                                                std::span<const platform::Capacity> workers)
{
    const auto fitsAny = [workers](const platform::Capacity &size) {
        return std::any_of(workers.begin(), workers.end(), [&](const platform::Capacity &worker) {
            return fits(size, WorkerView{.capacity = worker});
        });
    };
    if (fitsAny(learned))
        return learned;
    // A learned size above the capacity of every worker must not keep the job queued for ever.
    platform::Capacity limited{.accelerators = declared.accelerators};
    for (const platform::Capacity &worker : workers) {
        if (worker.accelerators < declared.accelerators)
            continue;
        limited.cpuMillis =
                std::max(limited.cpuMillis, std::min(learned.cpuMillis, worker.cpuMillis));
        limited.memoryMib =
                std::max(limited.memoryMib, std::min(learned.memoryMib, worker.memoryMib));
    }
    if (limited.cpuMillis > 0 && fitsAny(limited))
        return limited;
    return fitsAny(declared) ? std::optional(declared) : std::nullopt;
}

std::optional<std::size_t> pickWorker(const PlacementRequest &request,
                                      std::span<const WorkerView> workers)
{
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if ((workers[i].isHeld && !request.mayUseHeld) || !fits(request.requested, workers[i]))
            continue;
        const double value = score(request, workers[i]);
        if (value < bestScore) {
            best = i;
            bestScore = value;
        }
    }
    return best;
}

std::vector<std::size_t> pickPreemption(const platform::Capacity &requested,
                                        std::span<const WorkerView> workers,
                                        std::span<const PreemptionCandidate> candidates)
{
    std::vector<std::vector<std::size_t>> byWorker(workers.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        byWorker[candidates[i].worker].push_back(i);
    std::vector<std::size_t> best;
    for (std::size_t w = 0; w < workers.size(); ++w) {
        std::vector<std::size_t> &order = byWorker[w];
        std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return isCheaper(candidates[left], candidates[right]);
        });
        WorkerView view = workers[w];
        std::vector<std::size_t> chosen;
        for (const std::size_t index : order) {
            if (fits(requested, view))
                break;
            subtract(view.reserved, candidates[index].reserved);
            chosen.push_back(index);
        }
        const bool isBetter = best.empty() || chosen.size() < best.size();
        if (!chosen.empty() && fits(requested, view) && isBetter)
            best = std::move(chosen);
    }
    return best;
}

} // namespace chicorywick::jobs
