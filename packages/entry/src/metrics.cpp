#include <chicorywick/entry/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <charconv>
#include <map>

namespace chicorywick::entry {

namespace {

constexpr double kMillisPerSecond = 1'000;
constexpr double kMillisPerCore = 1'000;

const prometheus::Histogram::BucketBoundaries kSeconds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                          0.5,   1,    2.5,   5,    10,  30};

std::string valueOf(std::initializer_list<base::LogField> fields, std::string_view key)
{
    for (const base::LogField &field : fields)
        if (field.key == key)
            return field.value;
    return {};
}

double numberOf(std::initializer_list<base::LogField> fields, std::string_view key)
{
    const std::string text = valueOf(fields, key);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return static_cast<double>(number);
}

double secondsOf(std::initializer_list<base::LogField> fields, std::string_view key)
{
    return numberOf(fields, key) / kMillisPerSecond;
}

const char *resultOf(base::Code code)
{
    switch (code) {
    case base::Code::PlatformUnavailable:
        return "unavailable";
    case base::Code::PlatformUnknownOutcome:
        return "unknown";
    case base::Code::RateLimited:
        return "rate-limited";
    case base::Code::HistoryUnavailable:
        return "history-unavailable";
    default:
        return "malformed";
    }
}

} // namespace

struct Metrics::Families
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &events =
            prometheus::BuildCounter()
                    .Name("chicorywick_events_total")
                    .Help("Logged events by name, including lines that the log left out")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &jobs =
            prometheus::BuildHistogram()
                    .Name("chicorywick_job_seconds")
                    .Help("Time from a submission to the end of its job, by state")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &waits =
            prometheus::BuildHistogram()
                    .Name("chicorywick_task_wait_seconds")
                    .Help("Time from a task's readiness to its start order")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &jobsAges =
            prometheus::BuildHistogram()
                    .Name("chicorywick_start_jobs_age_seconds")
                    .Help("Age of the view of stored jobs and cancellations at a start order")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &submissions =
            prometheus::BuildHistogram()
                    .Name("chicorywick_submission_seconds")
                    .Help("Time to answer a submission, by outcome")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &store =
            prometheus::BuildHistogram()
                    .Name("chicorywick_store_call_seconds")
                    .Help("Duration of calls of the platform's store, by call and result")
                    .Register(registry);
    prometheus::Family<prometheus::Gauge> &configurationVersions =
            prometheus::BuildGauge()
                    .Name("chicorywick_configuration_version")
                    .Help("Version of the configuration in force")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &slowReads =
            prometheus::BuildCounter()
                    .Name("chicorywick_slow_reads_total")
                    .Help("Answers of the store that took long to transfer, by call and result")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &slowReadBytes =
            prometheus::BuildCounter()
                    .Name("chicorywick_slow_read_bytes_total")
                    .Help("Bytes that these answers have brought, by call and result")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &outdatedViews =
            prometheus::BuildCounter()
                    .Name("chicorywick_outdated_views_total")
                    .Help("Times that a view of stored rows became too old, by view")
                    .Register(registry);
    prometheus::Family<prometheus::Gauge> &poolMachines =
            prometheus::BuildGauge()
                    .Name("chicorywick_pool_machines")
                    .Help("Machines of a pool in a cell that this instance leads, by use")
                    .Register(registry);
    prometheus::Family<prometheus::Gauge> &poolCpu =
            prometheus::BuildGauge()
                    .Name("chicorywick_pool_cpu_cores")
                    .Help("CPU of a pool in a cell that this instance leads, by state")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &heldMachineOrders =
            prometheus::BuildCounter()
                    .Name("chicorywick_machine_orders_held_seconds_total")
                    .Help("Time for which machine orders of a cell waited, by reason")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &refusedKeys =
            prometheus::BuildCounter()
                    .Name("chicorywick_refused_keys_total")
                    .Help("Requests refused because of their API key or account, by result code")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &limitedAccounts =
            prometheus::BuildCounter()
                    .Name("chicorywick_account_limited_seconds_total")
                    .Help("Time for which tasks of an account waited for its limit, by cell")
                    .Register(registry);
    prometheus::Family<prometheus::Gauge> &backlogJobs =
            prometheus::BuildGauge()
                    .Name("chicorywick_backlog_jobs")
                    .Help("Unfinished jobs of a service that can end in time, by how they are "
                          "placed")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &closedConnections =
            prometheus::BuildCounter()
                    .Name("chicorywick_closed_connections_total")
                    .Help("Connections closed or requests refused to keep a limit of a listener")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &refusedRequests =
            prometheus::BuildCounter()
                    .Name("chicorywick_refused_requests_total")
                    .Help("Requests of callers refused for their content or a limit, by result "
                          "code; those of the store's limits have the code 0")
                    .Register(registry);
    std::map<base::Event, prometheus::Counter *> counters;
    prometheus::Gauge &configurationVersion = configurationVersions.Add({});
    prometheus::Histogram &wait = waits.Add({}, kSeconds);
    prometheus::Histogram &jobsAge = jobsAges.Add({}, kSeconds);
    prometheus::Histogram &accepted = submissions.Add({{"outcome", "accepted"}}, kSeconds);
    prometheus::Histogram &refused = submissions.Add({{"outcome", "refused"}}, kSeconds);
};

Metrics::Metrics()
    : families_(std::make_unique<Families>())
{
    for (const base::EventInfo &info : base::allEvents())
        families_->counters[info.event] =
                &families_->events.Add({{"event", std::string(info.name)}});
}

Metrics::~Metrics() = default;

void Metrics::observe(base::Event event, std::initializer_list<base::LogField> fields)
{
    families_->counters.at(event)->Increment();
    switch (event) {
    case base::Event::JobStarted:
        families_->wait.Observe(secondsOf(fields, "waited_ms"));
        families_->jobsAge.Observe(secondsOf(fields, "jobs_age_ms"));
        break;
    case base::Event::JobFinished:
        families_->jobs.Add({{"state", valueOf(fields, "state")}}, kSeconds)
                .Observe(secondsOf(fields, "age_ms"));
        break;
    case base::Event::JobSubmitted:
        families_->accepted.Observe(secondsOf(fields, "took_ms"));
        break;
    case base::Event::JobRefused:
        families_->refused.Observe(secondsOf(fields, "took_ms"));
        [[fallthrough]];
    case base::Event::RequestRefused:
        families_->refusedRequests
                .Add({{"code", std::to_string(static_cast<int>(numberOf(fields, "code")))}})
                .Increment();
        break;
    case base::Event::ConfigApplied:
        families_->configurationVersion.Set(numberOf(fields, "version"));
        break;
    case base::Event::PlatformReadSlow: {
        const std::map<std::string, std::string> labels{{"call", valueOf(fields, "call")},
                                                        {"result", valueOf(fields, "result")}};
        families_->slowReads.Add(labels).Increment();
        families_->slowReadBytes.Add(labels).Increment(numberOf(fields, "bytes"));
        break;
    }
    case base::Event::ViewOutdated:
        families_->outdatedViews.Add({{"view", valueOf(fields, "view")}}).Increment();
        break;
    case base::Event::PoolState: {
        const std::string cell = valueOf(fields, "cell");
        const std::string pool = valueOf(fields, "pool");
        for (const char *const use : {"perpetual", "finite", "idle"})
            families_->poolMachines.Add({{"cell", cell}, {"pool", pool}, {"use", use}})
                    .Set(numberOf(fields, use));
        for (const char *const state : {"waiting", "running", "free"})
            families_->poolCpu.Add({{"cell", cell}, {"pool", pool}, {"state", state}})
                    .Set(numberOf(fields, std::string(state) + "_cpu") / kMillisPerCore);
        break;
    }
    case base::Event::MachineOrdersResumed:
        families_->heldMachineOrders
                .Add({{"cell", valueOf(fields, "cell")}, {"reason", valueOf(fields, "reason")}})
                .Increment(secondsOf(fields, "held_ms"));
        break;
    case base::Event::ApiKeyRefused:
        families_->refusedKeys.Add({{"code", valueOf(fields, "code")}}).Increment();
        break;
    case base::Event::AccountLimited:
        families_->limitedAccounts
                .Add({{"account", valueOf(fields, "account")}, {"cell", valueOf(fields, "cell")}})
                .Increment(secondsOf(fields, "period_ms"));
        break;
    case base::Event::JobsDeferred:
        for (const char *const state : {"jobs", "over_share", "deferred"})
            families_->backlogJobs.Add({{"service", valueOf(fields, "service")}, {"state", state}})
                    .Set(numberOf(fields, state));
        break;
    case base::Event::ConnectionClosed:
        families_->closedConnections.Add({{"limit", valueOf(fields, "limit")}})
                .Increment(numberOf(fields, "count"));
        break;
    default:
        break;
    }
}

void Metrics::observeStoreCall(const char *call, const char *result, double seconds)
{
    families_->store.Add({{"call", call}, {"result", result}}, kSeconds).Observe(seconds);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

template <typename T>
Callback<T> InstrumentedTable::instrumented(const char *call, Callback<T> done)
{
    const auto startTime = std::chrono::steady_clock::now();
    return [&metrics = metrics_, call, startTime, done = std::move(done)](base::Result<T> result) {
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - startTime;
        metrics.observeStoreCall(call, result ? "ok" : resultOf(result.error().code), took.count());
        done(std::move(result));
    };
}

void InstrumentedTable::transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                                 Callback<TransactionResult> done)
{
    store_.transact(transaction, timeout, instrumented("transact", std::move(done)));
}

void InstrumentedTable::read(const RowRange &range, const ReadOptions &options,
                             Callback<RowPage> done)
{
    store_.read(range, options, instrumented("read", std::move(done)));
}

void InstrumentedTable::watch(const std::string &table, const WatchRequest &request,
                              Callback<RowPage> done)
{
    // The duration of a watch only shows how long nothing changed; its result is what matters.
    store_.watch(table, request, instrumented("watch", std::move(done)));
}

} // namespace chicorywick::entry
