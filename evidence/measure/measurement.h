#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicorywick::measure {

/// @brief Runs a measurement, prints a table to standard output and returns the figures as a JSON
/// object.
using Run = std::function<nlohmann::json(std::uint64_t seed)>;

/// @brief A named measurement.
struct Measurement
{
    std::string name;
    std::string description;
    Run run;
};

/// @brief All registered measurements, sorted by name.
std::vector<Measurement> allMeasurements();

/// @brief Registers a measurement; use as a static object in <name>_measure.cpp.
class Registration
{
public:
    explicit Registration(Measurement measurement);
};

} // namespace chicorywick::measure
