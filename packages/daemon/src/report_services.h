#pragma once

#include <chicorywick/report/burn_aggregator.h>
#include <chicorywick/twirp/router.h>

#include <functional>

namespace chicorywick::daemon {

/// @brief What the report service reads.
struct ReportServicePorts
{
    std::function<v1::BurnReport()> burn;
    std::function<v1::StatusResponse()> status;
};

/// @brief Registers the handlers of ReportService.
void addReportServices(twirp::Router &router, ReportServicePorts ports);

} // namespace chicorywick::daemon
