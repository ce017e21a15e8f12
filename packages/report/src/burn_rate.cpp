#include <chicorywick/report/burn_rate.h>

#include <algorithm>
#include <array>

namespace chicorywick::report {

namespace {

constexpr double kMillion = 1e6;

// Thresholds for a 30-day budget: 2 % of it in 1 h, 5 % in 6 h, 10 % in 24 h and in 3 days.
constexpr auto kAlertRules = std::to_array<AlertRule>({
        {60, 5, 14.4, "page"},
        {360, 30, 6, "page"},
        {1440, 120, 3, "ticket"},
        {4320, 360, 1, "ticket"},
});

constexpr std::array<std::uint32_t, 7> kWindows = {5, 30, 60, 120, 360, 1440, 4320};

double burn(std::uint64_t bad, std::uint64_t total, std::uint32_t objectivePpm)
{
    const double allowed = 1 - objectivePpm / kMillion;
    if (total == 0 || allowed <= 0)
        return bad == 0 ? 0 : kMillion;
    return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

const v1::BurnWindow *findWindow(const v1::ServiceBurn &burn, std::uint32_t minutes)
{
    const auto found = std::find_if(
            burn.windows().begin(), burn.windows().end(),
            [minutes](const v1::BurnWindow &window) { return window.minutes() == minutes; });
    return found == burn.windows().end() ? nullptr : &*found;
}

bool burnsFaster(const v1::BurnWindow *window, double threshold)
{
    return window != nullptr
           && std::max(window->availability_burn(), window->latency_burn()) >= threshold;
}

} // namespace

std::span<const AlertRule> alertRules()
{
    return kAlertRules;
}

std::span<const std::uint32_t> windowMinutes()
{
    return kWindows;
}

double availabilityBurn(const Counts &counts, const v1::Objective &objective)
{
    return burn(counts.failed, counts.total, objective.availability_ppm());
}

double latencyBurn(const Counts &counts, const v1::Objective &objective)
{
    if (objective.latency_ppm() == 0)
        return 0;
    return burn(counts.slow, counts.total - counts.failed, objective.latency_ppm());
}

std::string alertFor(const v1::ServiceBurn &burn)
{
    for (const AlertRule &rule : kAlertRules) {
        if (burnsFaster(findWindow(burn, rule.longMinutes), rule.burnThreshold)
            && burnsFaster(findWindow(burn, rule.shortMinutes), rule.burnThreshold))
            return std::string(rule.alert);
    }
    return {};
}

} // namespace chicorywick::report
