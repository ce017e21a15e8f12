#include <chicorywick/jobs/scheduling.h>

#include <algorithm>
#include <deque>
#include <queue>

namespace chicorywick::jobs {

namespace {

// The processors that an accelerator counts for in a team's share.
constexpr double kAcceleratorCpuMillis = 8000;
constexpr base::Duration kArchiveAgesAfter = std::chrono::minutes(30);
constexpr std::size_t kArchiveEvery = 10;

constexpr base::Duration kFirstRetryDelay = std::chrono::milliseconds(500);
constexpr int kMostDoublings = 6;

JobClass effectiveClass(const QueueEntry &entry, base::TimePoint now)
{
    const bool isAged =
            entry.jobClass == JobClass::Archive && now - entry.acceptedAt >= kArchiveAgesAfter;
    return isAged ? JobClass::Normal : entry.jobClass;
}

/// The queued jobs of one class, given out by team share.
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
            order_.emplace(shares.share(team), team);
        }
    }

    /// The next entry within quota; a team's share in the heap may be older than its use.
    const QueueEntry *next(TeamShares &shares)
    {
        while (!order_.empty()) {
            const auto [share, team] = order_.top();
            order_.pop();
            const double current = shares.share(team);
            if (current > share) {
                order_.emplace(current, team);
                continue;
            }
            std::deque<const QueueEntry *> &entries = byTeam_[team];
            while (!entries.empty() && !shares.allows(team, entries.front()->wanted))
                entries.pop_front();
            if (entries.empty())
                continue;
            const QueueEntry *entry = entries.front();
            entries.pop_front();
            shares.add(team, entry->wanted);
            order_.emplace(shares.share(team), team);
            return entry;
        }
        return nullptr;
    }

private:
    using Place = std::pair<double, std::string>;

    std::map<std::string, std::deque<const QueueEntry *>> byTeam_;
    std::priority_queue<Place, std::vector<Place>, std::greater<>> order_;
};

} // namespace

bool TeamShares::allows(const std::string &team, const platform::Capacity &wanted) const
{
    const auto quota = quotas.find(team);
    if (quota == quotas.end())
        return true;
    const auto found = use.find(team);
    const TeamUse used = found == use.end() ? TeamUse{} : found->second;
    const auto within = [](std::uint64_t limit, std::uint64_t amount) {
        return limit == 0 || amount <= limit;
    };
    return within(quota->second.cpuMillis, used.cpuMillis + wanted.cpuMillis)
           && (wanted.accelerators == 0
               || within(quota->second.accelerators, used.accelerators + wanted.accelerators));
}

void TeamShares::add(const std::string &team, const platform::Capacity &wanted)
{
    TeamUse &used = use[team];
    used.cpuMillis += wanted.cpuMillis;
    used.accelerators += wanted.accelerators;
}

double TeamShares::share(const std::string &team) const
{
    const auto found = use.find(team);
    if (found == use.end())
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
    for (ClassQueue *part : {&urgent, &normal, &archive})
        part->sort(shares);

    std::vector<QueueEntry> order;
    std::size_t sinceArchive = 0;
    while (order.size() < limit) {
        const QueueEntry *entry = urgent.next(shares);
        if (entry == nullptr && ++sinceArchive >= kArchiveEvery) {
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
    const auto tries = job.failedWorkers().size() + job.lostAttempts();
    if (tries == 0)
        return base::Duration::zero();
    const int doublings = std::min(static_cast<int>(tries) - 1, kMostDoublings);
    return kFirstRetryDelay * (1 << doublings);
}

} // namespace chicorywick::jobs
