#include "deployment.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/base/log_stream.h>
#include <chicorywick/entry/node.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <platform/caller_format.h>
#include <platform/discovery_client.h>
#include <platform/machine_client.h>
#include <platform/operator_client.h>
#include <platform/settings_format.h>
#include <platform/store_client.h>
#include <platform/worker_client.h>
#include <sys/sysinfo.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

namespace chicorywick {

namespace {

constexpr int kExitFailure = 1;

int reportError(const base::Error &error)
{
    base::logEvent(base::Event::SettingsRefused,
                   {{"code", std::to_string(static_cast<int>(error.code))}});
    std::cerr << "error " << static_cast<int>(error.code) << ": " << error.message << '\n';
    return kExitFailure;
}

// Handles signals on the event loop: SIGHUP checks the settings file again and logs the result, but
// applies nothing; SIGTERM and SIGINT stop the node.
void awaitSignal(boost::asio::signal_set &signals, entry::Node &node, boost::asio::io_context &loop,
                 const std::string &settingsFile)
{
    signals.async_wait([&signals, &node, &loop,
                        settingsFile](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal != SIGHUP)
            return node.stop([&loop] { loop.stop(); });
        const auto settings = adapter::readDeploymentSettings(settingsFile);
        base::logEvent(settings ? base::Event::SettingsReloaded : base::Event::SettingsRefused,
                       {{"file", settingsFile},
                        {"reason", settings ? "signal" : settings.error().message}});
        awaitSignal(signals, node, loop, settingsFile);
    });
}

// Memory is the only measure of the machine's size that the process can read; its CPU share is not
// available.
std::int64_t machineMemoryMib()
{
    struct sysinfo info
    {};
    if (::sysinfo(&info) != 0)
        return 0;
    constexpr std::uint64_t kBytesPerMib = 1ULL << 20U;
    return static_cast<std::int64_t>(info.totalram * info.mem_unit / kBytesPerMib);
}

// Log lines are buffered for this long, so that one system call writes many of them.
constexpr auto kLogFlushPeriod = std::chrono::milliseconds(100);

void flushPeriodically(base::LogStream &log, boost::asio::steady_timer &timer)
{
    log.flush();
    timer.expires_after(kLogFlushPeriod);
    timer.async_wait([&log, &timer](const boost::system::error_code &error) {
        if (!error)
            flushPeriodically(log, timer);
    });
}

} // namespace

int runDeployment(const std::string &settingsFile, bool checkOnly)
{
    const auto settings = adapter::readDeploymentSettings(settingsFile);
    if (!settings)
        return reportError(settings.error());
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    entry::Metrics metrics;
    base::LogStream log(STDOUT_FILENO, settings.value().node.name,
                        [] { return entry::systemNow().wall; });
    base::setEventWriter([&](base::Event event, std::initializer_list<base::LogField> fields,
                             base::LogPriority priority) {
        metrics.observe(event, fields);
        log.write(event, fields, priority);
    });
    adapter::StoreClient platformStore(loop, settings.value().store);
    entry::InstrumentedTable store(platformStore, metrics);
    adapter::DiscoveryClient discovery(store);
    adapter::OperatorClient operators(store);
    adapter::MachineClient machines(loop, settings.value().machineControl,
                                    settings.value().node.name);
    adapter::WorkerClient workers(loop);
    const adapter::CallerFormat callers;
    entry::NodeSettings nodeSettings = settings.value().node;
    nodeSettings.memoryMib = machineMemoryMib();
    entry::Node node(nodeSettings,
                     {.loop = &loop,
                      .table = &store,
                      .discovery = &discovery,
                      .orders = &workers,
                      .machines = &machines,
                      .operators = &operators},
                     callers, metrics);
    boost::asio::steady_timer logTimer(loop);
    flushPeriodically(log, logTimer);
    if (const auto started = node.start(); !started)
        return reportError(started.error());
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    awaitSignal(signals, node, loop, settingsFile);
    loop.run();
    log.flush();
    base::setEventWriter({});
    return 0;
}

} // namespace chicorywick
