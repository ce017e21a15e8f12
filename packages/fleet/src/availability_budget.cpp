#include <chicorywick/base/overloaded.h>
#include <chicorywick/fleet/availability_budget.h>

#include <algorithm>
#include <set>

namespace chicorywick::fleet {

namespace {

constexpr std::uint32_t kHundredPercent = 100;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-';
}

std::string limitExceeded(const std::string &what, std::size_t count, std::uint32_t limit)
{
    return std::to_string(count) + " " + what + " unavailable, the limit is "
           + std::to_string(limit);
}

} // namespace

base::Result<void> checkName(const std::string &what, const std::string &name,
                             std::size_t maxLength)
{
    if (name.empty() || name.size() > maxLength)
        return base::makeError(base::Code::InvalidArgument, what + " must have 1 to "
                                                                    + std::to_string(maxLength)
                                                                    + " characters");
    if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        return base::makeError(base::Code::InvalidArgument,
                               what + " may contain only letters, digits, '.', '_' and '-'");
    return base::ok();
}

base::Result<AvailabilityBudget> AvailabilityBudget::fromProto(const v1::Budget &budget)
{
    AvailabilityBudget result;
    switch (budget.limit_case()) {
    case v1::Budget::kMaxUnavailable:
        if (budget.max_unavailable() > kMaxUnavailable)
            return base::makeError(base::Code::InvalidArgument,
                                   "max_unavailable must be at most "
                                           + std::to_string(kMaxUnavailable));
        result.limit_ = MaxCount{budget.max_unavailable()};
        break;
    case v1::Budget::kMaxUnavailablePercent:
        if (budget.max_unavailable_percent() > kHundredPercent)
            return base::makeError(base::Code::InvalidArgument,
                                   "max_unavailable_percent must be at most 100");
        result.limit_ = MaxPercent{budget.max_unavailable_percent()};
        break;
    case v1::Budget::LIMIT_NOT_SET:
        return base::makeError(base::Code::InvalidArgument,
                               "the budget needs max_unavailable or max_unavailable_percent");
    }
    result.maxRacks_ = budget.max_disrupted_racks();
    result.maxZones_ = budget.max_disrupted_zones();
    return result;
}

v1::Budget AvailabilityBudget::toProto() const
{
    v1::Budget budget;
    std::visit(base::Overloaded{
                       [&](MaxCount max) { budget.set_max_unavailable(max.instances); },
                       [&](MaxPercent max) { budget.set_max_unavailable_percent(max.percent); }},
               limit_);
    budget.set_max_disrupted_racks(maxRacks_);
    budget.set_max_disrupted_zones(maxZones_);
    return budget;
}

std::uint32_t AvailabilityBudget::limit(std::uint32_t memberCount) const
{
    const std::uint64_t wanted = std::visit(
            base::Overloaded{[](MaxCount max) -> std::uint64_t { return max.instances; },
                             [&](MaxPercent max) -> std::uint64_t {
                                 return std::uint64_t{memberCount} * max.percent / kHundredPercent;
                             }},
            limit_);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, kMaxUnavailable));
}

std::string AvailabilityBudget::violation(const std::vector<PlacedInstance> &unavailable,
                                          std::uint32_t memberCount) const
{
    const std::uint32_t maxInstances = limit(memberCount);
    if (unavailable.size() > maxInstances)
        return limitExceeded("instances", unavailable.size(), maxInstances);
    std::set<std::string> zones;
    std::set<std::pair<std::string, std::string>> racks;
    for (const PlacedInstance &instance : unavailable) {
        zones.insert(instance.zone);
        racks.emplace(instance.zone, instance.rack);
    }
    if (maxRacks_ > 0 && racks.size() > maxRacks_)
        return limitExceeded("racks", racks.size(), maxRacks_);
    if (maxZones_ > 0 && zones.size() > maxZones_)
        return limitExceeded("zones", zones.size(), maxZones_);
    return {};
}

} // namespace chicorywick::fleet
