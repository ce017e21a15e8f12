#include "chicorywick/v1/job_service.pb.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/jobs/job_services.h>
#include <chicorywick/platform/run_once.h>

#include <algorithm>
#include <memory>

namespace chicorywick::jobs {

namespace {

const std::string kService = "chicorywick.v1.JobService";

constexpr std::uint32_t kDefaultListLimit = 100;
// 40 conditions and 40 puts leave room in a transaction for the operation's own row.
constexpr int kMaxJobsPerCancel = 40;

using SharedOptions = std::shared_ptr<const JobServiceOptions>;

v1::Job toMessage(const Job &job, std::uint64_t version)
{
    v1::Job message;
    *message.mutable_row() = job.toRow();
    message.set_version(version);
    return message;
}

base::Result<StoredJob> find(const JobRepository &repository, const std::string &pool,
                             const std::string &id)
{
    BOOST_OUTCOME_TRY(stored, repository.get(jobKey(pool, id)));
    if (!stored)
        return base::makeError(base::Code::NotFound, "job " + pool + "/" + id);
    return *stored;
}

base::Result<void> consumeWriteBudget(const JobServiceOptions &options, double rows)
{
    if (options.writeBudget && !options.writeBudget->tryTake(options.clock.now(), rows))
        return base::makeError(base::Code::RateLimited, "repeat the call later");
    return base::ok();
}

// A submission is accepted only if its write is confirmed. A write that was not made and one with
// an unknown outcome get different errors.
base::Error submissionError(const base::Error &error)
{
    if (error.code == base::Code::PlatformUnavailable || error.code == base::Code::RateLimited)
        return base::makeError(base::Code::JobNotAccepted, error.message);
    if (error.code == base::Code::PlatformUnknownOutcome)
        return base::makeError(base::Code::PlatformUnknownOutcome,
                               "the job may have been recorded; repeat the call with the same "
                               "request_id to get the outcome");
    return error;
}

base::Result<v1::Job> submit(const JobServiceOptions &options, const v1::SubmitJobRequest &request)
{
    BOOST_OUTCOME_TRY(spec, validateSpec(request.spec()));
    BOOST_OUTCOME_TRYV(consumeWriteBudget(options, 2));
    const JobRepository &repository = options.repository;
    const std::string key = jobKey(spec.pool, spec.id);
    v1::Job response;
    const auto prepare = [&](google::protobuf::Message &) -> base::Result<platform::Transaction> {
        BOOST_OUTCOME_TRY(existing, repository.get(key));
        if (existing)
            return base::makeError(base::Code::AlreadyExists, "job " + spec.pool + "/" + spec.id);
        BOOST_OUTCOME_TRY(stored, repository.storePayload(spec));
        BOOST_OUTCOME_TRY(job, Job::accept(stored, options.clock.now()));
        response = toMessage(job.withoutPayload(), 0);
        platform::Transaction transaction;
        addChange(transaction, {job, 0});
        return transaction;
    };
    BOOST_OUTCOME_TRY(version, platform::runOnce(repository.table(), options.clock,
                                                 {"SubmitJob", request.request_id(), request},
                                                 response, prepare));
    response.set_version(version);
    base::logEvent(base::Event::JobAccepted, {{"job", key}, {"team", spec.team}});
    return response;
}

base::Result<v1::Job> cancel(const JobServiceOptions &options, const v1::JobRequest &request)
{
    BOOST_OUTCOME_TRYV(consumeWriteBudget(options, 2));
    v1::Job response;
    const auto prepare = [&](google::protobuf::Message &) -> base::Result<platform::Transaction> {
        BOOST_OUTCOME_TRY(stored, find(options.repository, request.pool(), request.id()));
        BOOST_OUTCOME_TRY(job, stored.job.requestCancel(options.clock.now()));
        response = toMessage(job.withoutPayload(), 0);
        platform::Transaction transaction;
        addChange(transaction, {job, stored.version});
        return transaction;
    };
    BOOST_OUTCOME_TRY(version, platform::runOnce(options.repository.table(), options.clock,
                                                 {"CancelJob", request.request_id(), request},
                                                 response, prepare));
    response.set_version(version);
    return response;
}

base::Result<void> addCancellation(const JobServiceOptions &options, const std::string &pool,
                                   const std::string &id, platform::Transaction &transaction,
                                   v1::CancelJobsResponse &response)
{
    BOOST_OUTCOME_TRY(stored, options.repository.get(jobKey(pool, id)));
    if (!stored) {
        response.add_not_found(id);
        return base::ok();
    }
    const auto job = stored->job.requestCancel(options.clock.now());
    if (!job) {
        response.add_already_finished(id);
        return base::ok();
    }
    if (isTerminal(job.value().state()))
        response.add_cancelled(id);
    else
        response.add_requested(id);
    if (job.value() != stored->job)
        addChange(transaction, {job.value(), stored->version});
    return base::ok();
}

base::Result<v1::CancelJobsResponse> cancelMany(const JobServiceOptions &options,
                                                const v1::CancelJobsRequest &request)
{
    std::vector<std::string> ids(request.ids().begin(), request.ids().end());
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    if (ids.empty() || ids.size() > kMaxJobsPerCancel)
        return base::makeError(base::Code::InvalidArgument, "ids needs 1 to 40 jobs");
    BOOST_OUTCOME_TRYV(consumeWriteBudget(options, static_cast<double>(ids.size()) + 1));
    v1::CancelJobsResponse response;
    const auto prepare =
            [&](google::protobuf::Message &message) -> base::Result<platform::Transaction> {
        auto &cancelResponse = static_cast<v1::CancelJobsResponse &>(message);
        platform::Transaction transaction;
        for (const std::string &id : ids) {
            BOOST_OUTCOME_TRYV(
                    addCancellation(options, request.pool(), id, transaction, cancelResponse));
        }
        return transaction;
    };
    BOOST_OUTCOME_TRYV(platform::runOnce(options.repository.table(), options.clock,
                                         {"CancelJobs", request.request_id(), request}, response,
                                         prepare));
    return response;
}

base::Result<v1::ListJobsResponse> list(const JobServiceOptions &options,
                                        const v1::ListJobsRequest &request)
{
    if (request.limit() > platform::kMaxScanRows)
        return base::makeError(base::Code::InvalidArgument, "limit must be at most 1000");
    const std::uint32_t limit = request.limit() == 0 ? kDefaultListLimit : request.limit();
    BOOST_OUTCOME_TRY(page, options.repository.scan(request.pool(), request.after(), limit));
    v1::ListJobsResponse response;
    for (const StoredJob &stored : page.jobs)
        *response.add_jobs() = toMessage(stored.job.withoutPayload(), stored.version);
    response.set_next(page.next);
    return response;
}

v1::WorkerRow toMessage(const WorkerRecord &worker)
{
    v1::WorkerRow message;
    message.set_id(worker.id);
    message.set_quarantined(worker.quarantined);
    message.set_reason(worker.reason);
    message.set_since_ms(base::toMillis(worker.since));
    for (const std::string &job : worker.failedJobs)
        message.add_failed_jobs(job);
    return message;
}

base::Result<v1::ListWorkersResponse> listQuarantined(const JobServiceOptions &options)
{
    BOOST_OUTCOME_TRY(workers, options.repository.workers());
    v1::ListWorkersResponse response;
    for (const StoredWorker &stored : workers) {
        if (stored.worker.quarantined)
            *response.add_workers() = toMessage(stored.worker);
    }
    return response;
}

base::Result<v1::ListWorkersResponse> release(const JobServiceOptions &options,
                                              const v1::WorkerRequest &request)
{
    BOOST_OUTCOME_TRYV(consumeWriteBudget(options, 2));
    v1::ListWorkersResponse response;
    const auto prepare =
            [&](google::protobuf::Message &message) -> base::Result<platform::Transaction> {
        BOOST_OUTCOME_TRY(stored, options.repository.worker(request.id()));
        if (!stored || !stored->worker.quarantined)
            return base::makeError(base::Code::NotFound,
                                   "worker " + request.id() + " is not quarantined");
        WorkerRecord worker = stored->worker;
        worker.quarantined = false;
        worker.reason = "released by an operator";
        worker.since = options.clock.now();
        worker.failedJobs.clear();
        *static_cast<v1::ListWorkersResponse &>(message).add_workers() = toMessage(worker);
        platform::Transaction transaction;
        addChange(transaction, worker, stored->version);
        return transaction;
    };
    BOOST_OUTCOME_TRYV(platform::runOnce(options.repository.table(), options.clock,
                                         {"ReleaseWorker", request.request_id(), request}, response,
                                         prepare));
    return response;
}

} // namespace

void addJobServices(twirp::Router &router, JobServiceOptions options)
{
    const SharedOptions shared = std::make_shared<const JobServiceOptions>(std::move(options));
    using Context = twirp::CallContext;
    router.add<v1::SubmitJobRequest, v1::Job>(
            kService, "SubmitJob",
            [shared](const Context &,
                     const v1::SubmitJobRequest &request) -> base::Result<v1::Job> {
                auto response = submit(*shared, request);
                if (!response)
                    return submissionError(response.error());
                return response;
            });
    router.add<v1::JobRequest, v1::Job>(kService, "CancelJob",
                                        [shared](const Context &, const v1::JobRequest &request) {
                                            return cancel(*shared, request);
                                        });
    router.add<v1::CancelJobsRequest, v1::CancelJobsResponse>(
            kService, "CancelJobs",
            [shared](const Context &, const v1::CancelJobsRequest &request) {
                return cancelMany(*shared, request);
            });
    router.add<v1::GetJobRequest, v1::Job>(
            kService, "GetJob",
            [shared](const Context &, const v1::GetJobRequest &request) -> base::Result<v1::Job> {
                BOOST_OUTCOME_TRY(stored, find(shared->repository, request.pool(), request.id()));
                return toMessage(stored.job, stored.version);
            });
    router.add<v1::ListJobsRequest, v1::ListJobsResponse>(
            kService, "ListJobs", [shared](const Context &, const v1::ListJobsRequest &request) {
                return list(*shared, request);
            });
    router.add<v1::ListWorkersRequest, v1::ListWorkersResponse>(
            kService, "ListQuarantinedWorkers",
            [shared](const Context &, const v1::ListWorkersRequest &) {
                return listQuarantined(*shared);
            });
    router.add<v1::WorkerRequest, v1::ListWorkersResponse>(
            kService, "ReleaseWorker", [shared](const Context &, const v1::WorkerRequest &request) {
                return release(*shared, request);
            });
}

} // namespace chicorywick::jobs
