#include "chicorywick/v1/job_service.pb.h"

#include <chicorywick/cli/command.h>
#include <chicorywick/cli/wait.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace chicorywick::cli {

namespace {

constexpr const char *kService = "JobService";
constexpr std::uint64_t kDefaultWaitSeconds = 3600;

std::string stateText(v1::JobState state)
{
    return v1::JobState_Name(state).substr(std::string("JOB_STATE_").size());
}

void addRow(TextTable &table, const v1::Job &job)
{
    const v1::JobRow &row = job.row();
    table.rows.push_back({row.spec().pool(), row.spec().id(), row.spec().team(),
                          stateText(row.state()), std::to_string(row.attempt()),
                          row.worker().empty() ? "-" : row.worker(),
                          formatTime(row.accepted_at_ms()), formatTime(row.finished_at_ms()),
                          row.reason().empty() ? "-" : row.reason()});
}

TextTable emptyTable()
{
    return {{"POOL", "JOB", "TEAM", "STATE", "ATTEMPT", "WORKER", "ACCEPTED", "FINISHED", "REASON"},
            {}};
}

TextTable jobTable(const v1::Job &job)
{
    TextTable table = emptyTable();
    addRow(table, job);
    return table;
}

TextTable jobListTable(const v1::ListJobsResponse &response)
{
    TextTable table = emptyTable();
    for (const v1::Job &job : response.jobs())
        addRow(table, job);
    return table;
}

base::Result<v1::JobClass> parseJobClass(const std::string &text)
{
    if (text == "normal")
        return v1::JOB_CLASS_NORMAL;
    if (text == "urgent")
        return v1::JOB_CLASS_URGENT;
    if (text == "archive")
        return v1::JOB_CLASS_ARCHIVE;
    return base::makeError(base::Code::UsageError,
                           "--class: '" + text + "' is not one of normal, urgent, archive");
}

base::Result<std::string> readPayload(const Arguments &arguments)
{
    if (!arguments.has("payload-file"))
        return arguments.text("payload");
    std::ifstream file(arguments.text("payload-file"), std::ios::binary);
    if (!file)
        return base::makeError(base::Code::UsageError, "--payload-file: cannot read '"
                                                               + arguments.text("payload-file")
                                                               + "'");
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

ExitCode submit(Session &session, const Arguments &arguments)
{
    constexpr std::uint64_t kDefaultCpuMillis = 1000;
    constexpr std::uint64_t kDefaultMemoryMib = 512;
    const auto parsedClass = parseJobClass(arguments.text("class", "normal"));
    if (!parsedClass)
        return session.fail(parsedClass.error());
    const auto content = readPayload(arguments);
    if (!content)
        return session.fail(content.error());
    v1::SubmitJobRequest request;
    request.set_request_id(requestId(arguments));
    v1::JobSpec &spec = *request.mutable_spec();
    spec.set_pool(arguments.positional()[0]);
    spec.set_id(arguments.positional()[1]);
    spec.set_team(arguments.text("team"));
    spec.set_kind(arguments.text("kind"));
    spec.set_job_class(parsedClass.value());
    spec.set_idempotent(arguments.has("idempotent"));
    spec.set_checkpointable(arguments.has("checkpointable"));
    spec.set_payload(content.value());
    spec.set_run_time_ms(static_cast<std::int64_t>(arguments.number("run-time-ms")));
    v1::Resources &resources = *spec.mutable_resources();
    resources.set_cpu_millis(
            static_cast<std::uint32_t>(arguments.number("cpu-millis", kDefaultCpuMillis)));
    resources.set_memory_mib(
            static_cast<std::uint32_t>(arguments.number("memory-mib", kDefaultMemoryMib)));
    resources.set_accelerators(static_cast<std::uint32_t>(arguments.number("accelerators")));
    return session.callAndShow<v1::Job>(kService, "SubmitJob", request, jobTable);
}

ExitCode cancel(Session &session, const Arguments &arguments)
{
    v1::JobRequest request;
    request.set_request_id(requestId(arguments));
    request.set_pool(arguments.positional()[0]);
    request.set_id(arguments.positional()[1]);
    return session.callAndShow<v1::Job>(kService, "CancelJob", request, jobTable);
}

ExitCode cancelMany(Session &session, const Arguments &arguments)
{
    v1::CancelJobsRequest request;
    request.set_request_id(requestId(arguments));
    request.set_pool(arguments.positional()[0]);
    std::istringstream ids(arguments.positional()[1]);
    for (std::string id; std::getline(ids, id, ',');)
        request.add_ids(id);
    return session.callAndShow<v1::CancelJobsResponse>(
            kService, "CancelJobs", request, [](const v1::CancelJobsResponse &response) {
                TextTable table{{"JOB", "RESULT"}, {}};
                const auto add = [&](const auto &jobs, const char *result) {
                    for (const std::string &id : jobs)
                        table.rows.push_back({id, result});
                };
                add(response.cancelled(), "cancelled");
                add(response.requested(), "requested, ends with its attempt");
                add(response.already_finished(), "already finished");
                add(response.not_found(), "not found");
                return table;
            });
}

v1::GetJobRequest getRequest(const Arguments &arguments)
{
    v1::GetJobRequest request;
    request.set_pool(arguments.positional()[0]);
    request.set_id(arguments.positional()[1]);
    return request;
}

ExitCode show(Session &session, const Arguments &arguments)
{
    return session.callAndShow<v1::Job>(kService, "GetJob", getRequest(arguments), jobTable);
}

ExitCode list(Session &session, const Arguments &arguments)
{
    v1::ListJobsRequest request;
    request.set_pool(arguments.text("pool"));
    request.set_limit(static_cast<std::uint32_t>(arguments.number("limit")));
    request.set_after(arguments.text("after"));
    return session.callAndShow<v1::ListJobsResponse>(kService, "ListJobs", request, jobListTable);
}

ExitCode wait(Session &session, const Arguments &arguments)
{
    const v1::GetJobRequest request = getRequest(arguments);
    v1::Job job;
    const ExitCode code = waitForEnd(
            session, std::chrono::seconds(arguments.number("for", kDefaultWaitSeconds)),
            [&]() -> base::Result<WaitStatus> {
                BOOST_OUTCOME_TRYV(session.call(kService, "GetJob", request, job));
                const v1::JobState state = job.row().state();
                return WaitStatus{.ended = state >= v1::JOB_STATE_SUCCEEDED,
                                  .succeeded = state == v1::JOB_STATE_SUCCEEDED,
                                  .progress = job.row().spec().id() + ": " + stateText(state)};
            });
    if (code == ExitCode::Ok || code == ExitCode::WaitTargetFailed)
        session.show(job, jobTable(job));
    return code;
}

TextTable workerTable(const v1::ListWorkersResponse &response)
{
    TextTable table{{"WORKER", "QUARANTINED", "SINCE", "REASON"}, {}};
    for (const v1::WorkerRow &worker : response.workers())
        table.rows.push_back({worker.id(), worker.quarantined() ? "yes" : "no",
                              formatTime(worker.since_ms()), worker.reason()});
    return table;
}

ExitCode quarantined(Session &session, const Arguments &)
{
    return session.callAndShow<v1::ListWorkersResponse>(kService, "ListQuarantinedWorkers",
                                                        v1::ListWorkersRequest(), workerTable);
}

ExitCode release(Session &session, const Arguments &arguments)
{
    v1::WorkerRequest request;
    request.set_request_id(requestId(arguments));
    request.set_id(arguments.positional()[0]);
    return session.callAndShow<v1::ListWorkersResponse>(kService, "ReleaseWorker", request,
                                                        workerTable);
}

std::vector<OptionSpec> submitOptions()
{
    return {{"team", OptionKind::Text, "Team whose quota the job uses", "TEAM"},
            {"kind", OptionKind::Text, "Jobs of one kind share learned sizes", "KIND"},
            {"class", OptionKind::Text, "normal, urgent or archive", "CLASS"},
            {"cpu-millis", OptionKind::Number, "Thousandths of a core (default 1000)"},
            {"memory-mib", OptionKind::Number, "Memory in MiB (default 512)"},
            {"accelerators", OptionKind::Number, "Accelerators (default 0)"},
            {"run-time-ms", OptionKind::Number, "Declared run time in milliseconds"},
            {"idempotent", OptionKind::Flag, "The job may be run again after an unknown outcome"},
            {"checkpointable", OptionKind::Flag, "The task can resume from a checkpoint"},
            {"payload", OptionKind::Text, "Payload given to the task"},
            {"payload-file", OptionKind::Text, "File with the payload", "FILE"},
            requestIdOption()};
}

} // namespace

std::vector<Command> jobCommands()
{
    return {{"job", "submit", {"POOL", "ID"}, "Submit a job to a pool", submitOptions(), submit},
            {"job", "cancel", {"POOL", "ID"}, "Cancel a job", {requestIdOption()}, cancel},
            {"job",
             "cancel-many",
             {"POOL", "ID,ID..."},
             "Cancel up to 40 jobs of a pool in one step",
             {requestIdOption()},
             cancelMany},
            {"job", "show", {"POOL", "ID"}, "Show a job", {}, show},
            {"job",
             "list",
             {},
             "List jobs",
             {{"pool", OptionKind::Text, "Only the jobs of this pool", "POOL"},
              {"limit", OptionKind::Number, "Jobs to list (default 100)"},
              {"after", OptionKind::Text, "Continue after this key", "KEY"}},
             list},
            {"job",
             "wait",
             {"POOL", "ID"},
             "Show progress until the job ends",
             {{"for", OptionKind::Number, "Seconds to wait at most (default 3600)"}},
             wait},
            {"worker", "quarantined", {}, "List workers that get no tasks", {}, quarantined},
            {"worker",
             "release",
             {"ID"},
             "Let a quarantined worker run tasks again",
             {requestIdOption()},
             release}};
}

} // namespace chicorywick::cli
