#include "config_view.h"

namespace chicorywick::daemon {

namespace {

std::string nameWithoutKind(const std::string &item)
{
    return item.substr(item.find('/') + 1);
}

} // namespace

ConfigView makeConfigView(const std::vector<v1::ConfigItem> &items)
{
    ConfigView view;
    for (const v1::ConfigItem &item : items) {
        if (item.has_service())
            view.services[nameWithoutKind(item.name())] = item.service();
        if (item.has_team())
            view.teams.push_back({.team = nameWithoutKind(item.name()),
                                  .cpuMillis = item.team().quota_cpu_millis(),
                                  .accelerators = item.team().quota_accelerators(),
                                  .weight = item.team().weight() == 0
                                                    ? 1.0
                                                    : static_cast<double>(item.team().weight())});
    }
    return view;
}

v1::Objective defaultObjective()
{
    constexpr std::uint32_t kAvailabilityPpm = 999'000;
    constexpr std::uint32_t kLatencyPpm = 990'000;
    constexpr std::uint32_t kLatencyMs = 1'000;
    v1::Objective objective;
    objective.set_availability_ppm(kAvailabilityPpm);
    objective.set_latency_ppm(kLatencyPpm);
    objective.set_latency_ms(kLatencyMs);
    return objective;
}

std::map<std::string, v1::Objective> objectivesOf(const ConfigView &view,
                                                  const std::vector<std::string> &listedServices)
{
    std::map<std::string, v1::Objective> objectives;
    for (const std::string &service : listedServices)
        objectives[service] = defaultObjective();
    for (const auto &[service, config] : view.services)
        objectives[service] = config.has_objective() ? config.objective() : defaultObjective();
    return objectives;
}

} // namespace chicorywick::daemon
