#include <chicorywick/entry/metrics.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

// Guards against events or store calls that are missing from the exported metrics, and against
// times in milliseconds where the metric name says seconds.
TEST_CASE("events and store calls are counted and timed")
{
    Metrics metrics;
    metrics.observe(base::Event::JobFinished, {{"state", "completed"}, {"age_ms", "1500"}});
    metrics.observe(base::Event::JobStarted, {{"waited_ms", "20"}, {"jobs_age_ms", "1200"}});
    metrics.observe(base::Event::ViewOutdated, {{"view", "workers"}, {"age_ms", "2501"}});
    metrics.observe(base::Event::ConfigApplied, {{"version", "42"}});
    metrics.observe(base::Event::PlatformReadSlow,
                    {{"call", "watch"}, {"result", "cancelled"}, {"bytes", "4096"}});
    metrics.observe(base::Event::PoolState,
                    {{"cell", "1"}, {"pool", "p"}, {"finite", "3"}, {"waiting_cpu", "1500"}});
    metrics.observe(base::Event::MachineOrdersResumed,
                    {{"cell", "0"}, {"reason", "former-leader"}, {"held_ms", "2500"}});
    metrics.observe(base::Event::ApiKeyRefused, {{"queue", "q"}, {"code", "4016"}});
    metrics.observe(base::Event::AccountLimited,
                    {{"account", "a"}, {"cell", "0"}, {"period_ms", "1000"}});
    metrics.observe(base::Event::JobsDeferred, {{"service", "s"}, {"deferred", "4"}});
    metrics.observe(base::Event::ConnectionClosed, {{"limit", "bytes"}, {"count", "7"}});
    metrics.observeStoreCall("transact", "ok", 0.004);
    const std::string text = metrics.text();
    for (const char *line :
         {"chicorywick_events_total{event=\"job.finished\"} 1",
          "chicorywick_job_seconds_sum{state=\"completed\"} 1.5",
          "chicorywick_task_wait_seconds_count 1", "chicorywick_start_jobs_age_seconds_sum 1.2",
          "chicorywick_outdated_views_total{view=\"workers\"} 1",
          "chicorywick_configuration_version 42",
          "chicorywick_slow_reads_total{call=\"watch\",result=\"cancelled\"} 1",
          "chicorywick_slow_read_bytes_total{call=\"watch\",result=\"cancelled\"} 4096",
          "chicorywick_pool_machines{cell=\"1\",pool=\"p\",use=\"finite\"} 3",
          "chicorywick_pool_cpu_cores{cell=\"1\",pool=\"p\",state=\"waiting\"} 1.5",
          "chicorywick_machine_orders_held_seconds_total{cell=\"0\",reason=\"former-leader\"} 2.5",
          "chicorywick_refused_keys_total{code=\"4016\"} 1",
          "chicorywick_account_limited_seconds_total{account=\"a\",cell=\"0\"} 1",
          "chicorywick_backlog_jobs{service=\"s\",state=\"deferred\"} 4",
          "chicorywick_closed_connections_total{limit=\"bytes\"} 7",
          "chicorywick_store_call_seconds_count{call=\"transact\",result=\"ok\"} 1"})
        CHECK(text.find(line) != std::string::npos);
}

} // namespace chicorywick::entry
