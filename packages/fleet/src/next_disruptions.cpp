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
        for (const NumberedEntry &entry : view.started) {
            zones_[entry.instance.zone].isStarted = true;
            racks_[{entry.instance.zone, entry.instance.rack}].isStarted = true;
        }
        for (const NumberedEntry &entry : view.candidates) {
            ++zones_[entry.instance.zone].candidates;
            ++racks_[{entry.instance.zone, entry.instance.rack}].candidates;
        }
    }

    /// @brief Started domains first, then larger ones, then by name.
    auto order(const PlacedInstance &instance) const
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

std::vector<NumberedEntry> nextDisruptions(const DisruptionView &view, std::size_t limit)
{
    const Progress progress(view);
    const std::set<PlacedInstance> down(view.unavailable.begin(), view.unavailable.end());
    std::vector<NumberedEntry> ordered = view.candidates;
    std::sort(ordered.begin(), ordered.end(),
              [&](const NumberedEntry &left, const NumberedEntry &right) {
                  return std::make_pair(down.contains(left.instance), progress.order(left.instance))
                         < std::make_pair(down.contains(right.instance),
                                          progress.order(right.instance));
              });

    std::vector<NumberedEntry> chosen;
    std::vector<PlacedInstance> unavailable = view.unavailable;
    for (const NumberedEntry &entry : ordered) {
        if (chosen.size() == limit)
            break;
        const bool isCounted = down.contains(entry.instance);
        if (!isCounted)
            unavailable.push_back(entry.instance);
        if (view.budget.excess(unavailable, view.memberCount).empty())
            chosen.push_back(entry);
        else if (!isCounted)
            unavailable.pop_back();
    }
    return chosen;
}

} // namespace chicorywick::fleet
