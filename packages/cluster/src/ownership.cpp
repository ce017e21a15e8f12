#include <chicorywick/base/hash.h>
#include <chicorywick/cluster/ownership.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

// Limits the memory under rapid churn. Dropping the oldest view only shortens the wait of a new
// owner.
constexpr std::size_t kMaxViews = 16;

} // namespace

std::string Ownership::pick(const View &view, const std::string &key, const std::string &zone)
{
    std::vector<std::string> local;
    std::vector<std::string> all;
    for (const OwnerCandidate &member : view.members) {
        all.push_back(member.id);
        if (!zone.empty() && member.zone == zone)
            local.push_back(member.id);
    }
    const std::vector<std::string> &nodes = local.empty() ? all : local;
    const auto picked = base::rendezvousPick(key, nodes);
    return picked ? nodes[*picked] : std::string();
}

void Ownership::setMembers(std::vector<OwnerCandidate> members, base::TimePoint now)
{
    std::sort(members.begin(), members.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    const std::lock_guard lock(mutex_);
    // An empty initial view owns nothing, so the settle time applies to the first members as well.
    if (views_.empty())
        views_.push_back({});
    if (views_.back().members == members)
        return;
    views_.push_back({std::move(members), now});
    // A view that was replaced more than settleTime ago has no effect on isOwner().
    while (views_.size() > 2 && now - views_[1].from >= settleTime_)
        views_.pop_front();
    if (views_.size() > kMaxViews)
        views_.pop_front();
}

void Ownership::restartSettling(base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (views_.empty())
        return;
    View current = views_.back();
    current.from = now;
    views_.clear();
    views_.push_back({});
    views_.push_back(std::move(current));
}

std::string Ownership::ownerOf(const std::string &key, const std::string &zone) const
{
    const std::lock_guard lock(mutex_);
    return views_.empty() ? std::string() : pick(views_.back(), key, zone);
}

bool Ownership::isOwner(const std::string &key, const std::string &zone, base::TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    for (std::size_t i = views_.size(); i-- > 0;) {
        if (pick(views_[i], key, zone) != self_)
            return false;
        if (now - views_[i].from >= settleTime_)
            return true;
    }
    return false;
}

} // namespace chicorywick::cluster
