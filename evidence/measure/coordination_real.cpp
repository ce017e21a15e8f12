#include "evidence/measure/coordination_figures.h"

#include <chicorywick/cluster/peer_node.h>
#include <chicorywick/platform/memory_platform.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace chicorywick::measure {

using namespace std::chrono_literals;

namespace {

double processSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        constexpr double kMicros = 1e6;
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicros;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentMib()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    constexpr double kMib = 1024.0 * 1024.0;
    return static_cast<double>(resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))) / kMib;
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

class RealFleet
{
public:
    RealFleet(std::size_t members, std::size_t zones)
        : platform_(std::make_shared<platform::MemoryPlatform>())
        , store_(platform::Table(platform::MemoryAccess{platform_, "z0"}), base::Clock())
    {
        for (std::size_t i = 0; i < members; ++i)
            start("e" + std::to_string(i), "z" + std::to_string(i % zones));
    }

    const std::vector<std::unique_ptr<cluster::PeerNode>> &nodes() const { return nodes_; }

    bool waitForAll(base::Duration timeout,
                    const std::function<bool(const cluster::PeerNode &)> &condition) const
    {
        const auto start = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - start < timeout) {
            if (std::all_of(nodes_.begin(), nodes_.end(),
                            [&](const auto &node) { return condition(*node); }))
                return true;
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    // Returns the time from the start of the change until every node applies the new version.
    double changeSeconds()
    {
        v1::PutConfigRequest request;
        request.set_request_id("c" + std::to_string(version_));
        request.set_expected_version(version_);
        v1::ConfigItem &item = *request.add_items();
        item.set_name("team/a");
        item.mutable_team()->set_weight(1);
        const auto start = std::chrono::steady_clock::now();
        version_ = store_.put(request, "measure").value().version();
        nodes_[version_ % nodes_.size()]->refreshConfig();
        waitForAll(60s, [this](const auto &node) { return node.configVersion() >= version_; });
        return secondsSince(start);
    }

private:
    void start(const std::string &id, const std::string &zone)
    {
        cluster::PeerNodeOptions options;
        options.id = id;
        options.zone = zone;
        options.agent.deployment = "measure";
        const platform::MemoryAccess access{platform_, zone};
        nodes_.push_back(cluster::PeerNode::start(options, {store_, platform::InstanceList(access)},
                                                  base::Clock())
                                 .value());
        platform::ListedInstance listed;
        listed.id = id;
        listed.kind = platform::InstanceKind::Entry;
        listed.address = nodes_.back()->address();
        listed.zone = zone;
        platform_->addInstance(listed);
    }

    std::shared_ptr<platform::MemoryPlatform> platform_;
    cluster::ConfigStore store_;
    std::vector<std::unique_ptr<cluster::PeerNode>> nodes_;
    std::uint64_t version_ = 0;
};

std::pair<std::uint64_t, std::uint64_t> totalTraffic(const RealFleet &fleet)
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (const auto &node : fleet.nodes()) {
        const cluster::PeerTraffic traffic = node->traffic();
        messages += traffic.sentMessages + traffic.receivedMessages;
        bytes += traffic.sentBytes + traffic.receivedBytes;
    }
    return {messages, bytes};
}

} // namespace

RealFigures measureRealNodes(std::size_t members, std::size_t zones)
{
    constexpr auto kWindow = 8s;
    constexpr int kChanges = 30;
    RealFigures figures;
    figures.members = members;
    const auto count = static_cast<double>(members);
    const double residentBefore = residentMib();
    RealFleet fleet(members, zones);
    fleet.waitForAll(
            60s, [&](const auto &node) { return node.members().members.size() + 1 == members; });
    std::this_thread::sleep_for(5s);

    const auto [messagesBefore, bytesBefore] = totalTraffic(fleet);
    const double processBefore = processSeconds();
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kWindow);
    const double seconds = secondsSince(start);
    const auto [messagesAfter, bytesAfter] = totalTraffic(fleet);
    constexpr double kPercent = 100;
    figures.corePercent = (processSeconds() - processBefore) / seconds / count * kPercent;
    figures.messagesPerSecond =
            static_cast<double>(messagesAfter - messagesBefore) / seconds / count;
    figures.bytesPerSecond = static_cast<double>(bytesAfter - bytesBefore) / seconds / count;
    figures.residentMib = (residentMib() - residentBefore) / count;

    std::vector<double> times;
    for (int i = 0; i < kChanges; ++i)
        times.push_back(fleet.changeSeconds());
    figures.configSeconds = orderStatistics(times);
    return figures;
}

} // namespace chicorywick::measure
