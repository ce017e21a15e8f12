#include "deployment.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/daemon/daemon.h>

#include <glog/logging.h>
#include <popt.h>

#include <csignal>
#include <iostream>

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct Arguments
{
    char *settings = nullptr;
    char *deployment = nullptr;
    int checkOnly = 0;
    int showVersion = 0;
};

bool parse(int argc, const char **argv, Arguments &arguments)
{
    const poptOption options[] = {{"settings", 's', POPT_ARG_STRING, &arguments.settings, 0,
                                   "JSON settings file", "FILE"},
                                  {"deployment", 'd', POPT_ARG_STRING, &arguments.deployment, 0,
                                   "JSON settings file of an entry instance on the users' platform",
                                   "FILE"},
                                  {"check-settings", 'c', POPT_ARG_NONE, &arguments.checkOnly, 0,
                                   "Check the settings and exit", nullptr},
                                  {"version", 'V', POPT_ARG_NONE, &arguments.showVersion, 0,
                                   "Print the version", nullptr},
                                  POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("chicorywickd", argc, argv, options, 0);
    const int status = poptGetNextOpt(context);
    const bool isValid = status == -1 && poptPeekArg(context) == nullptr;
    if (!isValid)
        std::cerr << "error 8001: " << poptBadOption(context, 0) << ": "
                  << (status < -1 ? poptStrerror(status) : "unexpected argument") << '\n';
    poptFreeContext(context);
    return isValid;
}

// Stop signals are blocked in every thread; the main thread receives them with sigwait().
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int reportError(const chicorywick::base::Error &error)
{
    chicorywick::base::logEvent(chicorywick::base::Event::SettingsRefused,
                                {{"code", std::to_string(static_cast<int>(error.code))}});
    std::cerr << "error " << static_cast<int>(error.code) << ": " << error.message << '\n';
    return kExitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    Arguments arguments;
    if (!parse(argc, const_cast<const char **>(argv), arguments))
        return kExitUsage;
    if (arguments.showVersion != 0) {
        std::cout << "chicorywickd 0.1.0\n";
        return 0;
    }
    if (arguments.deployment != nullptr)
        return chicorywick::runDeployment(arguments.deployment, arguments.checkOnly != 0);
    if (arguments.settings == nullptr) {
        std::cerr << "error 8001: --settings FILE or --deployment FILE is required\n";
        return kExitUsage;
    }
    const sigset_t signals = blockStopSignals();
    const auto settings = chicorywick::daemon::readSettings(arguments.settings);
    if (!settings)
        return reportError(settings.error());
    if (arguments.checkOnly != 0) {
        std::cout << "settings are valid\n";
        return 0;
    }
    const auto daemon = chicorywick::daemon::Daemon::start(settings.value());
    if (!daemon)
        return reportError(daemon.error());
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.value()->stop();
    return 0;
}
