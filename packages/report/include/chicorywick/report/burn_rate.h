#pragma once

#include <chicorywick/report/burn_ledger.h>

#include <span>

namespace chicorywick::report {

/// @brief A pair of windows that must both burn faster than a threshold to raise an alert.
struct AlertRule
{
    std::uint32_t longMinutes;
    std::uint32_t shortMinutes;
    double burnThreshold;
    std::string_view alert;
};

/// @brief Multi-window alert rules, the most urgent first.
std::span<const AlertRule> alertRules();

/// @brief Lengths of the reported windows in minutes, ascending.
std::span<const std::uint32_t> windowMinutes();

/// @brief Error budget used by one window; 1 uses it up exactly over the objective's period.
double availabilityBurn(const Counts &counts, const v1::Objective &objective);
double latencyBurn(const Counts &counts, const v1::Objective &objective);

/// @brief The alert that a service's windows raise, or empty.
std::string alertFor(const v1::ServiceBurn &burn);

} // namespace chicorywick::report
