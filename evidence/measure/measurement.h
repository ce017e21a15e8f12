#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicorywick::measure {

/// @brief Measures and prints a readable table to standard output; the value is the same as one
/// JSON object.
using Run = std::function<nlohmann::json(std::uint64_t seed)>;

/// @brief A named measurement.
struct Measurement
{
    std::string name;
    std::string description;
    Run run;
};

/// @brief All registered measurements, by name.
std::vector<Measurement> allMeasurements();

/// @brief Registers a measurement; use as a static object in <name>_measure.cpp.
class Registration
{
public:
    explicit Registration(Measurement measurement);
};

} // namespace chicorywick::measure
