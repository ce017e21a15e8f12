#include "report_services.h"

namespace chicorywick::daemon {

namespace {

constexpr const char *kService = "chicorywick.v1.ReportService";

base::Result<v1::BurnReport> onlyService(v1::BurnReport report, const std::string &service)
{
    if (service.empty())
        return report;
    v1::BurnReport filtered = report;
    filtered.clear_services();
    for (const v1::ServiceBurn &burn : report.services()) {
        if (burn.service() == service)
            *filtered.add_services() = burn;
    }
    if (filtered.services().empty())
        return base::makeError(base::Code::UnknownService, "'" + service + "'");
    return filtered;
}

} // namespace

void addReportServices(twirp::Router &router, ReportServiceCallbacks reportCallbacks)
{
    router.add<v1::BurnReportRequest, v1::BurnReport>(
            kService, "Burn",
            [burn = std::move(reportCallbacks.burn)](const twirp::CallContext &,
                                                     const v1::BurnReportRequest &request) {
                return onlyService(burn(), request.service());
            });
    router.add<v1::StatusRequest, v1::StatusResponse>(
            kService, "Status",
            [status = std::move(reportCallbacks.status)](const twirp::CallContext &,
                                                         const v1::StatusRequest &)
                    -> base::Result<v1::StatusResponse> { return status(); });
}

} // namespace chicorywick::daemon
