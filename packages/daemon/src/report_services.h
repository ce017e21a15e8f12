#pragma once

#include <chicorywick/report/burn_aggregator.h>
#include <chicorywick/twirp/router.h>

#include <functional>

namespace chicorywick::daemon {

/// @brief Callbacks that provide the responses of ReportService.
struct ReportServiceCallbacks
{
    std::function<v1::BurnReport()> burn;
    std::function<v1::StatusResponse()> status;
};

/// @brief Registers the handlers of ReportService.
void addReportServices(twirp::Router &router, ReportServiceCallbacks reportCallbacks);

} // namespace chicorywick::daemon
