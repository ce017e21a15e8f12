#include <chicorywick/fleet/wave_plan.h>

#include <algorithm>
#include <tuple>

namespace chicorywick::fleet {

namespace {

std::tuple<const std::string &, const std::string &, const std::string &>
domainOrder(const PlacedInstance &instance)
{
    return std::tie(instance.zone, instance.rack, instance.id);
}

} // namespace

base::Result<WavePlan> WavePlan::create(std::vector<PlacedInstance> instances)
{
    if (instances.empty() || instances.size() > kMaxPlanEntries)
        return base::makeError(base::Code::InvalidArgument,
                               "a wave has 1 to " + std::to_string(kMaxPlanEntries)
                                       + " instances, not " + std::to_string(instances.size()));
    std::sort(instances.begin(), instances.end(),
              [](const PlacedInstance &left, const PlacedInstance &right) {
                  return domainOrder(left) < domainOrder(right);
              });
    instances.erase(std::unique(instances.begin(), instances.end()), instances.end());
    WavePlan plan;
    for (PlacedInstance &instance : instances)
        plan.entries_.push_back(
                {static_cast<std::uint32_t>(plan.entries_.size()), std::move(instance)});
    return plan;
}

base::Result<WavePlan> WavePlan::fromRows(std::span<const std::string> rows)
{
    WavePlan plan;
    for (const std::string &row : rows) {
        v1::WavePlanRow proto;
        if (!proto.ParseFromString(row))
            return base::makeError(base::Code::PlatformMalformedResponse, "wave plan row");
        for (const v1::WavePlanEntry &entry : proto.entries())
            plan.entries_.push_back({static_cast<std::uint32_t>(plan.entries_.size()),
                                     {entry.instance(), entry.rack(), entry.zone()}});
    }
    return plan;
}

std::vector<std::string> WavePlan::toRows() const
{
    std::vector<std::string> rows;
    for (std::size_t first = 0; first < entries_.size(); first += kPlanEntriesPerRow) {
        v1::WavePlanRow proto;
        const std::size_t end = std::min(entries_.size(), first + kPlanEntriesPerRow);
        for (std::size_t i = first; i < end; ++i) {
            v1::WavePlanEntry *added = proto.add_entries();
            added->set_instance(entries_[i].instance.id);
            added->set_rack(entries_[i].instance.rack);
            added->set_zone(entries_[i].instance.zone);
        }
        rows.push_back(proto.SerializeAsString());
    }
    return rows;
}

} // namespace chicorywick::fleet
