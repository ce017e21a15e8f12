// Embeds cluster membership in another program: three members in one process discover each other
// over loopback, one leaves, and the others detect it. Needs no platform.
#include <chicorywick/cluster/peer_node.h>

#include <glog/logging.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <thread>

using namespace std::chrono_literals;
using chicorywick::cluster::Member;
using chicorywick::cluster::MemberIdentity;
using chicorywick::cluster::MemberStatus;
using chicorywick::cluster::PeerNode;
using chicorywick::cluster::PeerNodeOptions;

namespace {

std::unique_ptr<PeerNode> startMember(const std::string &id)
{
    PeerNodeOptions options;
    options.id = id;
    options.zone = "zone-1";
    options.agent.deployment = "example";
    auto node = PeerNode::start(options, {}, chicorywick::base::Clock());
    if (!node) {
        std::cerr << node.error().message << '\n';
        return nullptr;
    }
    return std::move(node).value();
}

std::size_t countAlive(const PeerNode &node)
{
    std::size_t alive = 1;
    for (const Member &member : node.members().members)
        alive += member.status == MemberStatus::Alive ? 1 : 0;
    return alive;
}

bool waitFor(const std::function<bool()> &condition)
{
    constexpr auto kTimeout = 30s;
    constexpr auto kPollInterval = 10ms;
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

} // namespace

int main(int, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const auto first = startMember("member-1");
    auto second = startMember("member-2");
    const auto third = startMember("member-3");
    if (!first || !second || !third)
        return 1;
    // One seed address is enough; members get the other addresses from it.
    const std::vector<MemberIdentity> seed = {{"member-1", first->address(), "zone-1"}};
    second->setCandidates(seed);
    third->setCandidates(seed);

    const auto allReportAlive = [&](std::size_t count) {
        return countAlive(*first) == count && countAlive(*third) == count;
    };
    if (!waitFor([&] { return allReportAlive(3); })) {
        std::cerr << "the members did not discover each other within 30 s\n";
        return 1;
    }
    std::cout << "3 members are alive; an object 'report' belongs to "
              << first->ownership().ownerOf("report") << std::endl;
    second.reset();
    if (!waitFor([&] { return allReportAlive(2); })) {
        std::cerr << "the departure of member-2 was not detected within 30 s\n";
        return 1;
    }
    std::cout << "member-2 left; 2 members are alive" << std::endl;
    return 0;
}
