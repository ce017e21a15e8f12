#include "evidence/measure/measurement.h"

#include <algorithm>

namespace chicorywick::measure {

namespace {

std::vector<Measurement> &registry()
{
    static std::vector<Measurement> measurements;
    return measurements;
}

} // namespace

std::vector<Measurement> allMeasurements()
{
    std::vector<Measurement> measurements = registry();
    std::sort(measurements.begin(), measurements.end(),
              [](const Measurement &left, const Measurement &right) {
                  return left.name < right.name;
              });
    return measurements;
}

Registration::Registration(Measurement measurement)
{
    registry().push_back(std::move(measurement));
}

} // namespace chicorywick::measure
