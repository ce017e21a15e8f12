#include "configuration_soak.h"

#include "large_configuration.h"

#include <algorithm>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;

constexpr double kChangeProbability = 0.25; // per step
constexpr double kFaultProbability = 0.05;  // per step
constexpr std::uint64_t kMaxFaultMs = 5'000;
constexpr std::size_t kUsualRate = 1'250'000; // bytes per second
constexpr std::size_t kNarrowRate = 200'000;
// The target for the whole fleet (docs/CAPACITY.md).
constexpr auto kMaxDelay = 11s;
const std::string kVersionMetric = "\nchicorywick_configuration_version ";

std::string lastLines(const std::string &text)
{
    constexpr std::size_t kMaxBytes = 2'000;
    return text.substr(text.size() - std::min(text.size(), kMaxBytes));
}

} // namespace

ConfigurationSoak::ConfigurationSoak(HostedDeployment &deployment, std::uint64_t seed)
    : deployment_(deployment)
    , rng_(seed)
    , disturbedUntil_(static_cast<std::size_t>(deployment.daemonCount()))
    , known_(static_cast<std::size_t>(deployment.daemonCount()))
{
    deployment_.onLoop([this] {
        for (int daemon = 0; daemon < deployment_.daemonCount(); ++daemon) {
            links_.push_back(
                    std::make_unique<LoopbackProxy>(deployment_.loop(), deployment_.storePort()));
            links_.back()->setResponseRate(kUsualRate);
        }
    });
    for (int daemon = 0; daemon < deployment_.daemonCount(); ++daemon)
        deployment_.startDaemon(daemon, settings(daemon));
}

ConfigurationSoak::~ConfigurationSoak()
{
    deployment_.onLoop([this] { links_.clear(); });
}

std::string ConfigurationSoak::settings(int daemon) const
{
    return HostedDeployment::storeSettings(links_[static_cast<std::size_t>(daemon)]->port());
}

void ConfigurationSoak::step(const std::vector<bool> &isDown)
{
    if (rng_.chance(kChangeProbability)) {
        ++stored_;
        deployment_.configure(largeConfiguration(++version_, true));
    }
    const int daemon = static_cast<int>(rng_.below(isDown.size()));
    if (rng_.chance(kFaultProbability))
        disturbLink(daemon);
    for (int each = 0; each < deployment_.daemonCount(); ++each) {
        const auto index = static_cast<std::size_t>(each);
        if (disturbedUntil_[index] != Clock::time_point() && disturbedUntil_[index] <= Clock::now())
            restoreLink(each);
    }
    if (!isDown[static_cast<std::size_t>(daemon)])
        observeVersion(daemon);
}

void ConfigurationSoak::disturbLink(int daemon)
{
    const bool isCut = rng_.chance(0.5);
    const auto index = static_cast<std::size_t>(daemon);
    disturbedUntil_[index] = Clock::now() + std::chrono::milliseconds(rng_.below(kMaxFaultMs));
    deployment_.onLoop([&] {
        links_[index]->setResponseRate(kNarrowRate);
        if (isCut)
            links_[index]->close();
    });
}

void ConfigurationSoak::restoreLink(int daemon)
{
    const auto index = static_cast<std::size_t>(daemon);
    disturbedUntil_[index] = {};
    deployment_.onLoop([&] {
        links_[index]->setResponseRate(kUsualRate);
        links_[index]->listen();
    });
}

int ConfigurationSoak::observeVersion(int daemon)
{
    const std::string page = deployment_.metrics(daemon);
    const std::size_t found = page.find(kVersionMetric);
    if (found == std::string::npos)
        return 0;
    const int version = std::stoi(page.substr(found + kVersionMetric.size()));
    int &known = known_[static_cast<std::size_t>(daemon)];
    if (version < known)
        violations_.push_back("daemon " + std::to_string(daemon) + " went back from version "
                              + std::to_string(known) + " to " + std::to_string(version));
    known = version;
    return version;
}

void ConfigurationSoak::restoreLinks()
{
    for (int daemon = 0; daemon < deployment_.daemonCount(); ++daemon)
        restoreLink(daemon);
}

void ConfigurationSoak::awaitNewest()
{
    for (int daemon = 0; daemon < deployment_.daemonCount(); ++daemon) {
        if (e2e::waitUntil(kMaxDelay, [&] { return observeVersion(daemon) == version_; }))
            continue;
        const int known = known_[static_cast<std::size_t>(daemon)];
        violations_.push_back("daemon " + std::to_string(daemon) + " has version "
                              + std::to_string(known) + " in force instead of "
                              + std::to_string(version_) + "; its log ends with\n"
                              + lastLines(deployment_.daemon(daemon).output()));
    }
}

} // namespace chicorywick::hosted
