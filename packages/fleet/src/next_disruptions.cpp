#include <chicorywick/fleet/next_disruptions.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace chicorywick::fleet {

namespace {

struct DomainProgress
{
    bool isStarted = false;
    std::size_t candidates = 0;
};

/// @brief Progress by zone, and by rack within its zone.
class Progress
{
public:
    explicit Progress(const DisruptionView &view)
    {
        for (const PlanEntry &entry : view.started) {
            zones_[entry.instance.zone].isStarted = true;
            racks_[{entry.instance.zone, entry.instance.rack}].isStarted = true;
        }
        for (const PlanEntry &entry : view.candidates) {
            ++zones_[entry.instance.zone].candidates;
            ++racks_[{entry.instance.zone, entry.instance.rack}].candidates;
        }
    }

    /// @brief Sorts started domains first, then those with more candidates, then by name.
    auto sortKey(const PlacedInstance &instance) const
    {
        const DomainProgress &zone = zones_.at(instance.zone);
        const DomainProgress &rack = racks_.at({instance.zone, instance.rack});
        return std::make_tuple(!zone.isStarted, -static_cast<std::int64_t>(zone.candidates),
                               instance.zone, !rack.isStarted,
                               -static_cast<std::int64_t>(rack.candidates), instance.rack,
                               instance.id);
    }

private:
    std::map<std::string, DomainProgress> zones_;
    std::map<std::pair<std::string, std::string>, DomainProgress> racks_;
};

} // namespace

std::vector<PlanEntry> nextDisruptions(const DisruptionView &view, std::size_t limit)
{
    const Progress progress(view);
    const std::set<PlacedInstance> down(view.unavailable.begin(), view.unavailable.end());
    std::vector<PlanEntry> ordered = view.candidates;
    std::sort(ordered.begin(), ordered.end(), [&](const PlanEntry &left, const PlanEntry &right) {
        return std::make_pair(down.contains(left.instance), progress.sortKey(left.instance))
               < std::make_pair(down.contains(right.instance), progress.sortKey(right.instance));
    });

    std::vector<PlanEntry> chosen;
    std::vector<PlacedInstance> unavailable = view.unavailable;
    for (const PlanEntry &entry : ordered) {
        if (chosen.size() == limit)
            break;
        const bool isCounted = down.contains(entry.instance);
        if (!isCounted)
            unavailable.push_back(entry.instance);
        if (view.budget.violation(unavailable, view.memberCount).empty())
            chosen.push_back(entry);
        else if (!isCounted)
            unavailable.pop_back();
    }
    return chosen;
}

} // namespace chicorywick::fleet
