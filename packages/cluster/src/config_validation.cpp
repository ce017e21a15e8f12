#include <chicorywick/cluster/config_validation.h>

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>

namespace chicorywick::cluster {

namespace {

constexpr std::uint32_t kMaxSlots = 1024;
constexpr std::uint32_t kMaxConnections = 10'000;
constexpr std::uint32_t kMaxQueue = 100'000;
// Every request has a deadline of at most 25 s, which limits the duration of a shutdown.
constexpr std::uint32_t kMaxDeadlineMs = 25'000;
constexpr std::uint32_t kMinDeadlineMs = 10;
constexpr std::uint32_t kMaxPercent = 100;
constexpr std::uint32_t kMaxArchivePercent = 90;
constexpr std::uint32_t kMaxPpm = 999'999;
constexpr std::uint32_t kMaxWeight = 1'000'000;
constexpr std::uint32_t kMaxTeamWeight = 1000;
constexpr std::uint32_t kMaxQuota = 1'000'000'000;

/// Collects the validation errors of one item.
class Checker
{
public:
    Checker(std::string item, std::vector<ConfigProblem> &problems)
        : item_(std::move(item))
        , problems_(problems)
    {}

    void add(const std::string &field, const std::string &found, const std::string &allowed)
    {
        problems_.push_back({item_, field, found, allowed});
    }

    void range(const std::string &field, std::uint32_t found, std::uint32_t low, std::uint32_t high)
    {
        if (found < low || found > high)
            add(field, std::to_string(found), std::to_string(low) + " to " + std::to_string(high));
    }

private:
    std::string item_;
    std::vector<ConfigProblem> &problems_;
};

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string_view kindOf(const std::string &name)
{
    return std::string_view(name).substr(0, name.find('/'));
}

bool isWellFormed(const std::string &name)
{
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == name.size()
        || name.size() > kMaxItemNameLength)
        return false;
    return std::all_of(name.begin() + static_cast<std::ptrdiff_t>(slash) + 1, name.end(),
                       isNameCharacter);
}

std::string_view kindOfValue(const v1::ConfigItem &item)
{
    switch (item.value_case()) {
    case v1::ConfigItem::kService:
        return "service";
    case v1::ConfigItem::kPlanner:
        return "planner";
    case v1::ConfigItem::kTeam:
        return "team";
    case v1::ConfigItem::VALUE_NOT_SET:
        break;
    }
    return "none";
}

void checkObjective(Checker &check, const v1::Objective &objective)
{
    check.range("service.objective.availability_ppm", objective.availability_ppm(), 1, kMaxPpm);
    check.range("service.objective.latency_ppm", objective.latency_ppm(), 1, kMaxPpm);
    check.range("service.objective.latency_ms", objective.latency_ms(), 1, kMaxDeadlineMs);
}

void checkService(Checker &check, const v1::ServiceConfig &service)
{
    check.range("service.slots_per_upstream", service.slots_per_upstream(), 1, kMaxSlots);
    check.range("service.connections_per_upstream", service.connections_per_upstream(), 1,
                kMaxConnections);
    check.range("service.queue_limit", service.queue_limit(), 1, kMaxQueue);
    check.range("service.queue_limit_per_caller", service.queue_limit_per_caller(), 1,
                std::clamp(service.queue_limit(), 1U, kMaxQueue));
    check.range("service.default_deadline_ms", service.default_deadline_ms(), kMinDeadlineMs,
                kMaxDeadlineMs);
    check.range("service.archive_share_percent", service.archive_share_percent(), 0,
                kMaxArchivePercent);
    check.range("service.retry_percent", service.retry_percent(), 0, kMaxPercent);
    if (service.has_objective())
        checkObjective(check, service.objective());
}

void checkPlanner(Checker &check, const v1::PlannerConfig &planner)
{
    check.range("planner.buffer_cost_weight", planner.buffer_cost_weight(), 0, kMaxWeight);
    check.range("planner.rollout_time_weight", planner.rollout_time_weight(), 0, kMaxWeight);
    check.range("planner.move_weight", planner.move_weight(), 0, kMaxWeight);
    if (planner.buffer_cost_weight() == 0 && planner.rollout_time_weight() == 0)
        check.add("planner", "0 for both weights",
                  "buffer_cost_weight or rollout_time_weight above 0");
}

void checkTeam(Checker &check, const v1::TeamConfig &team)
{
    check.range("team.quota_cpu_millis", team.quota_cpu_millis(), 0, kMaxQuota);
    check.range("team.quota_accelerators", team.quota_accelerators(), 0, kMaxQuota);
    check.range("team.weight", team.weight(), 1, kMaxTeamWeight);
}

void checkValue(Checker &check, const v1::ConfigItem &item)
{
    const std::string_view kind = kindOf(item.name());
    if (kind != "service" && kind != "planner" && kind != "team") {
        check.add("name", item.name(), "service/<name>, planner/<name> or team/<name>");
        return;
    }
    if (item.deleted())
        return;
    if (kindOfValue(item) != kind) {
        check.add("value", std::string(kindOfValue(item)), std::string(kind));
        return;
    }
    if (item.has_service())
        checkService(check, item.service());
    else if (item.has_planner())
        checkPlanner(check, item.planner());
    else
        checkTeam(check, item.team());
}

} // namespace

std::vector<ConfigProblem> findConfigProblems(const std::vector<v1::ConfigItem> &items)
{
    std::vector<ConfigProblem> problems;
    Checker whole("change", problems);
    whole.range("items", static_cast<std::uint32_t>(items.size()), 1, kMaxItemsPerChange);
    std::set<std::string> names;
    for (const v1::ConfigItem &item : items) {
        Checker check(item.name(), problems);
        if (!isWellFormed(item.name()))
            check.add("name", "'" + item.name() + "'",
                      "<kind>/<name> with a-z, 0-9, '-', '_', '.', at most "
                              + std::to_string(kMaxItemNameLength) + " characters");
        else
            checkValue(check, item);
        if (!names.insert(item.name()).second)
            check.add("name", "duplicated", "one entry per item");
    }
    return problems;
}

base::Result<void> validateConfig(const std::vector<v1::ConfigItem> &items)
{
    std::string text;
    for (const ConfigProblem &problem : findConfigProblems(items)) {
        text += text.empty() ? "" : "; ";
        text += problem.item + ": " + problem.field + " is " + problem.found + ", allowed is "
                + problem.allowed;
    }
    if (!text.empty())
        return base::makeError(base::Code::ConfigRejected, text);
    return base::ok();
}

} // namespace chicorywick::cluster
