#pragma once

#include "chicorywick/v1/report_service.pb.h"

#include <string>

namespace chicorywick::report {

/// @brief A gnuplot script with inline data that draws burn by service and window as SVG on
/// standard output.
std::string burnChartScript(const v1::BurnReport &report);

} // namespace chicorywick::report
