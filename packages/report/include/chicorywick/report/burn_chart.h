#pragma once

#include "chicorywick/v1/report_service.pb.h"

#include <string>

namespace chicorywick::report {

/// @brief Returns a gnuplot script with inline data. It draws the burn rate by service and window
/// as SVG on standard output.
std::string burnChartScript(const v1::BurnReport &report);

} // namespace chicorywick::report
