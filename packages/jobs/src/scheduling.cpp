#include <chicorywick/jobs/scheduling.h>

#include <algorithm>
#include <deque>
#include <queue>

namespace chicorywick::jobs {

namespace {

// CPU millis that one accelerator counts for in a team's share.
constexpr double kAcceleratorCpuMillis = 8000;
constexpr base::Duration kArchiveAgingTime = std::chrono::minutes(30);
constexpr std::size_t kArchiveInterval = 10;

constexpr base::Duration kFirstRetryDelay = std::chrono::milliseconds(500);
constexpr int kMaxDoublings = 6;

JobClass effectiveClass(const QueueEntry &entry, base::TimePoint now)
{
    const bool isAged =
            entry.jobClass == JobClass::Archive && now - entry.acceptedAt >= kArchiveAgingTime;
    return isAged ? JobClass::Normal : entry.jobClass;
}

/// The queued jobs of one class, ordered by team share.
class ClassQueue
{
public:
    void add(const QueueEntry &entry) { byTeam_[entry.team].push_back(&entry); }

    void sort(const TeamShares &shares)
    {
        for (auto &[team, entries] : byTeam_) {
            std::stable_sort(entries.begin(), entries.end(),
                             [](const QueueEntry *left, const QueueEntry *right) {
                                 return left->acceptedAt < right->acceptedAt;
                             });
            teamHeap_.emplace(shares.share(team), team);
        }
    }

    /// The next entry within its team's quota. A share in the heap may be outdated; it is compared
    /// with the current one when its team reaches the top.
    const QueueEntry *next(TeamShares &shares)
    {
        while (!teamHeap_.empty()) {
            const auto [share, team] = teamHeap_.top();
            teamHeap_.pop();
            const double current = shares.share(team);
            if (current > share) {
                teamHeap_.emplace(current, team);
                continue;
            }
            std::deque<const QueueEntry *> &entries = byTeam_[team];
            while (!entries.empty() && !shares.allows(team, entries.front()->requested))
                entries.pop_front();
            if (entries.empty())
                continue;
            const QueueEntry *entry = entries.front();
            entries.pop_front();
            shares.add(team, entry->requested);
            teamHeap_.emplace(shares.share(team), team);
            return entry;
        }
        return nullptr;
    }

private:
    using HeapEntry = std::pair<double, std::string>;

    std::map<std::string, std::deque<const QueueEntry *>> byTeam_;
    std::priority_queue<HeapEntry, std::vector<HeapEntry>, std::greater<>> teamHeap_;
};

} // namespace

bool TeamShares::allows(const std::string &team, const platform::Capacity &requested) const
{
    const auto quota = quotas.find(team);
    if (quota == quotas.end())
        return true;
    const auto found = usage.find(team);
    const TeamUsage used = found == usage.end() ? TeamUsage{} : found->second;
    const auto within = [](std::uint64_t limit, std::uint64_t amount) {
        return limit == 0 || amount <= limit;
    };
    return within(quota->second.cpuMillis, used.cpuMillis + requested.cpuMillis)
           && (requested.accelerators == 0
               || within(quota->second.accelerators, used.accelerators + requested.accelerators));
}

void TeamShares::add(const std::string &team, const platform::Capacity &requested)
{
    TeamUsage &used = usage[team];
    used.cpuMillis += requested.cpuMillis;
    used.accelerators += requested.accelerators;
}

double TeamShares::share(const std::string &team) const
{
    const auto found = usage.find(team);
    if (found == usage.end())
        return 0;
    const auto quota = quotas.find(team);
    const double weight =
            quota == quotas.end() || quota->second.weight <= 0 ? 1 : quota->second.weight;
    return (static_cast<double>(found->second.cpuMillis)
            + kAcceleratorCpuMillis * static_cast<double>(found->second.accelerators))
           / weight;
}

std::vector<QueueEntry> orderQueue(std::span<const QueueEntry> queue, TeamShares shares,
                                   base::TimePoint now, std::size_t limit)
{
    ClassQueue urgent;
    ClassQueue normal;
    ClassQueue archive;
    for (const QueueEntry &entry : queue) {
        const JobClass jobClass = effectiveClass(entry, now);
        ClassQueue &target = jobClass == JobClass::Urgent   ? urgent
                             : jobClass == JobClass::Normal ? normal
                                                            : archive;
        target.add(entry);
    }
    for (ClassQueue *classQueue : {&urgent, &normal, &archive})
        classQueue->sort(shares);

    std::vector<QueueEntry> order;
    std::size_t sinceArchive = 0;
    while (order.size() < limit) {
        const QueueEntry *entry = urgent.next(shares);
        if (entry == nullptr && ++sinceArchive >= kArchiveInterval) {
            sinceArchive = 0;
            entry = archive.next(shares);
        }
        if (entry == nullptr)
            entry = normal.next(shares);
        if (entry == nullptr)
            entry = archive.next(shares);
        if (entry == nullptr)
            break;
        order.push_back(*entry);
    }
    return order;
}

base::Duration retryDelay(const Job &job)
{
    const auto failedAttempts = job.failedWorkers().size() + job.lostAttempts();
    if (failedAttempts == 0)
        return base::Duration::zero();
    const int doublings = std::min(static_cast<int>(failedAttempts) - 1, kMaxDoublings);
    return kFirstRetryDelay * (1 << doublings);
}

} // namespace chicorywick::jobs
