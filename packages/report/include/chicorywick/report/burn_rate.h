#pragma once

#include <chicorywick/report/burn_aggregator.h>

#include <span>

namespace chicorywick::report {

/// @brief Raises an alert if the burn rate reaches the threshold in both windows.
struct AlertRule
{
    std::uint32_t longMinutes;
    std::uint32_t shortMinutes;
    double burnThreshold;
    std::string_view alert;
};

/// @brief Multi-window alert rules, most urgent first.
std::span<const AlertRule> alertRules();

/// @brief Lengths of the reported windows in minutes, ascending.
std::span<const std::uint32_t> windowMinutes();

/// @brief Burn rate in a window; a rate of 1 uses exactly the error budget over the objective's
/// period.
double availabilityBurn(const Counts &counts, const v1::Objective &objective);
double latencyBurn(const Counts &counts, const v1::Objective &objective);

/// @brief Returns the alert of the first rule that the windows of a service meet, or empty.
std::string alertFor(const v1::ServiceBurn &burn);

} // namespace chicorywick::report
