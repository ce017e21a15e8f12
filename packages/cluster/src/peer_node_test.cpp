#include <chicorywick/cluster/peer_node.h>
#include <chicorywick/platform/memory_platform.h>

#include <doctest/doctest.h>
#include <zmq.hpp>

namespace chicorywick::cluster {

using namespace std::chrono_literals;

namespace {

// Yields until the condition is true. The timeout is far above the intervals of the protocol.
template <typename Condition>
bool waitFor(Condition &&condition)
{
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::yield();
    }
    return true;
}

struct TestCluster
{
    std::shared_ptr<platform::MemoryPlatform> platform =
            std::make_shared<platform::MemoryPlatform>();
    platform::MemoryAccess access{platform, "z1"};
    ConfigStore store{platform::Table(access), base::Clock()};
    std::vector<std::unique_ptr<PeerNode>> nodes;

    void start(const std::string &id, const std::string &zone, const PeerCallbacks &callbacks = {})
    {
        PeerNodeOptions options;
        options.id = id;
        options.zone = zone;
        options.agent.deployment = "test";
        options.agent.membership.period = 100ms;
        options.agent.membership.directTimeout = 40ms;
        options.listInterval = 100ms;
        auto node = PeerNode::start(
                options, {store, platform::InstanceList(platform::MemoryAccess{platform, zone})},
                base::Clock(), callbacks);
        REQUIRE(node.has_value());
        nodes.push_back(std::move(node).value());
        platform->addInstance({.id = id,
                               .kind = platform::InstanceKind::Entry,
                               .address = nodes.back()->address(),
                               .zone = zone});
    }
};

} // namespace

// Guards against nodes that are not wired to the transport, the table or the instance list, so that
// members, configuration, drains, survey replies or leave announcements do not arrive.
TEST_CASE_FIXTURE(
        TestCluster,
        "nodes discover each other, distribute configuration and drains, and answer surveys")
{
    std::atomic<int> drains = 0;
    platform->setFaults({.listLag = 0s});
    for (int i = 0; i < 4; ++i)
        start("e" + std::to_string(i), i < 2 ? "z1" : "z2",
              {.onDrain = [&](const v1::DrainNotice &) { ++drains; }});
    for (const auto &node : nodes)
        CHECK(waitFor([&] { return node->members().members.size() == 3; }));

    v1::PutConfigRequest request;
    request.set_request_id("r1");
    v1::ConfigItem &item = *request.add_items();
    item.set_name("team/a");
    item.mutable_team()->set_weight(3);
    REQUIRE(store.put(request, "op").has_value());
    nodes.front()->refreshConfig();
    for (const auto &node : nodes)
        CHECK(waitFor([&] { return node->configVersion() == 1; }));

    const v1::ConfigStatusResponse status = nodes.front()->surveyConfig(5s);
    REQUIRE(status.members_size() == 4);
    for (const v1::MemberConfigStatus &member : status.members()) {
        CHECK(member.reached());
        CHECK(member.version() == 1);
    }
    v1::DrainNotice notice;
    notice.set_upstream("u1");
    nodes.front()->broadcastDrain(notice);
    CHECK(waitFor([&] { return drains == 3; }));
    nodes.pop_back();
    CHECK(waitFor([&] {
        for (const Member &member : nodes.front()->members().members) {
            if (member.identity.id == "e3" && member.status == MemberStatus::Left)
                return true;
        }
        return false;
    }));
}

// Guards against processing messages from another deployment or protocol version, and messages that
// are malformed, oversized or of several frames.
TEST_CASE("foreign, malformed and oversized messages are rejected and counted")
{
    auto transport = PeerTransport::open({.deployment = "ours"});
    REQUIRE(transport.has_value());
    PeerTransport &receiver = *transport.value();
    zmq::context_t context;
    zmq::socket_t sender(context, zmq::socket_type::dealer);
    sender.set(zmq::sockopt::linger, 0);
    sender.connect("tcp://" + receiver.address());
    v1::PeerMessage message;
    message.set_sender("x");
    message.set_sender_address("127.0.0.1:1");
    message.set_deployment("ours");
    message.set_protocol_version(kPeerProtocolVersion);
    const std::string good = message.SerializeAsString();
    message.set_deployment("theirs");
    const std::string foreign = message.SerializeAsString();
    message.set_deployment("ours");
    message.set_protocol_version(kPeerProtocolVersion + 1);
    const std::string newer = message.SerializeAsString();
    for (const std::string &bytes : {foreign, newer, std::string("\x0a\x7f"),
                                     std::string(kMaxPeerMessageBytes + 1, 'x'), good})
        sender.send(zmq::buffer(bytes), zmq::send_flags::none);
    sender.send(zmq::buffer(good), zmq::send_flags::sndmore);
    sender.send(zmq::buffer(good), zmq::send_flags::none);
    int accepted = 0;
    CHECK(waitFor([&] {
        receiver.poll(10ms, [&](const v1::PeerMessage &) { ++accepted; });
        return receiver.traffic().receivedMessages == 6;
    }));
    const PeerTraffic traffic = receiver.traffic();
    CHECK(accepted == 1);
    CHECK(traffic.refusedDeployment == 1);
    CHECK(traffic.refusedVersion == 1);
    CHECK(traffic.refusedMalformed == 2);
    CHECK(traffic.refusedSize == 1);
}

} // namespace chicorywick::cluster
