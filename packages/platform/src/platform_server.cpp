#include "wire_conversion.h"

#include <chicorywick/platform/platform_server.h>

namespace chicorywick::platform {

namespace {

using twirp::CallContext;
using PlatformPtr = std::shared_ptr<MemoryPlatform>;

Transaction transactionFromWire(const v1::CommitRequest &request)
{
    Transaction transaction;
    transaction.writer = request.writer();
    for (const v1::TableCondition &condition : request.conditions())
        transaction.conditions.push_back({condition.key(), condition.version()});
    for (const v1::TablePut &put : request.puts())
        transaction.puts.push_back({put.key(), put.value()});
    transaction.deletes.assign(request.deletes().begin(), request.deletes().end());
    return transaction;
}

void copyRow(const Row &row, v1::TableRow &wire)
{
    wire.set_key(row.key);
    wire.set_value(row.value);
    wire.set_version(row.version);
    wire.set_writer(row.writer);
}

void addTable(twirp::Router &router, const PlatformPtr &platform, const std::string &zone)
{
    const std::string service = "chicorywick.v1.TableService";
    router.add<v1::GetRowRequest, v1::GetRowResponse>(
            service, "Get",
            [=](const CallContext &,
                const v1::GetRowRequest &request) -> base::Result<v1::GetRowResponse> {
                BOOST_OUTCOME_TRY(row, platform->getRow(zone, request.key()));
                v1::GetRowResponse response;
                response.set_found(row.has_value());
                if (row)
                    copyRow(*row, *response.mutable_row());
                return response;
            });
    router.add<v1::ScanRequest, v1::ScanResponse>(
            service, "Scan",
            [=](const CallContext &,
                const v1::ScanRequest &request) -> base::Result<v1::ScanResponse> {
                BOOST_OUTCOME_TRY(page, platform->scanRows(zone, request.prefix(), request.after(),
                                                           request.limit()));
                v1::ScanResponse response;
                response.set_more(page.more);
                for (const Row &row : page.rows)
                    copyRow(row, *response.add_rows());
                return response;
            });
    router.add<v1::CommitRequest, v1::CommitResponse>(
            service, "Commit",
            [=](const CallContext &,
                const v1::CommitRequest &request) -> base::Result<v1::CommitResponse> {
                BOOST_OUTCOME_TRY(version, platform->commit(zone, transactionFromWire(request)));
                v1::CommitResponse response;
                response.set_version(version);
                return response;
            });
}

void addObjects(twirp::Router &router, const PlatformPtr &platform, const std::string &zone)
{
    const std::string service = "chicorywick.v1.ObjectStoreService";
    router.add<v1::PutObjectRequest, v1::PutObjectResponse>(
            service, "Put",
            [=](const CallContext &,
                const v1::PutObjectRequest &request) -> base::Result<v1::PutObjectResponse> {
                BOOST_OUTCOME_TRYV(platform->putObject(zone, request.name(), request.content()));
                return v1::PutObjectResponse();
            });
    router.add<v1::GetObjectRequest, v1::GetObjectResponse>(
            service, "Get",
            [=](const CallContext &,
                const v1::GetObjectRequest &request) -> base::Result<v1::GetObjectResponse> {
                BOOST_OUTCOME_TRY(content, platform->getObject(zone, request.name()));
                v1::GetObjectResponse response;
                response.set_content(std::move(content));
                return response;
            });
    router.add<v1::RemoveObjectRequest, v1::RemoveObjectResponse>(
            service, "Remove",
            [=](const CallContext &,
                const v1::RemoveObjectRequest &request) -> base::Result<v1::RemoveObjectResponse> {
                BOOST_OUTCOME_TRYV(platform->removeObject(zone, request.name()));
                return v1::RemoveObjectResponse();
            });
}

void addWorkers(twirp::Router &router, const PlatformPtr &platform, const std::string &zone)
{
    const std::string service = "chicorywick.v1.WorkerService";
    router.add<v1::StartTaskRequest, v1::StartTaskResponse>(
            service, "StartTask",
            [=](const CallContext &,
                const v1::StartTaskRequest &request) -> base::Result<v1::StartTaskResponse> {
                BOOST_OUTCOME_TRYV(platform->startTask(zone, fromWire(request)));
                return v1::StartTaskResponse();
            });
    for (const char *method : {"RenewTask", "CheckpointTask", "ThrottleTask", "StopTask"}) {
        router.add<v1::TaskRequest, v1::TaskResponse>(
                service, method,
                [=](const CallContext &,
                    const v1::TaskRequest &request) -> base::Result<v1::TaskResponse> {
                    const TaskRef ref{request.worker(), request.task(), request.fence()};
                    BOOST_OUTCOME_TRYV(
                            platform->commandTask(zone, method, ref, request.argument()));
                    return v1::TaskResponse();
                });
    }
    router.add<v1::ListTasksRequest, v1::ListTasksResponse>(
            service, "ListTasks",
            [=](const CallContext &,
                const v1::ListTasksRequest &request) -> base::Result<v1::ListTasksResponse> {
                BOOST_OUTCOME_TRY(tasks, platform->listTasks(zone, request.worker()));
                return toWire(tasks);
            });
}

void addInstances(twirp::Router &router, const PlatformPtr &platform, const std::string &zone)
{
    router.add<v1::ListInstancesRequest, v1::ListInstancesResponse>(
            "chicorywick.v1.InstanceListService", "List",
            [=](const CallContext &,
                const v1::ListInstancesRequest &) -> base::Result<v1::ListInstancesResponse> {
                BOOST_OUTCOME_TRY(listing, platform->listInstances(zone));
                return toWire(listing);
            });
    const std::string service = "chicorywick.v1.InstanceControlService";
    for (const char *method : {"Drain", "Undrain", "Reboot"}) {
        router.add<v1::InstanceControlRequest, v1::InstanceControlResponse>(
                service, method,
                [=](const CallContext &, const v1::InstanceControlRequest &request)
                        -> base::Result<v1::InstanceControlResponse> {
                    BOOST_OUTCOME_TRYV(platform->commandInstance(zone, method, request.instance(),
                                                                 request.fence()));
                    return v1::InstanceControlResponse();
                });
    }
    router.add<v1::InstanceStatusRequest, v1::InstanceStatusResponse>(
            service, "Status",
            [=](const CallContext &, const v1::InstanceStatusRequest &request)
                    -> base::Result<v1::InstanceStatusResponse> {
                BOOST_OUTCOME_TRY(status, platform->instanceStatus(zone, request.instance()));
                return toWire(status);
            });
}

} // namespace

twirp::Router makePlatformRouter(const PlatformPtr &platform, const std::string &zone)
{
    twirp::Router router;
    addTable(router, platform, zone);
    addObjects(router, platform, zone);
    addWorkers(router, platform, zone);
    addInstances(router, platform, zone);
    return router;
}

} // namespace chicorywick::platform
