#include <chicorywick/base/log_event.h>
#include <chicorywick/cluster/peer_transport.h>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include <array>
#include <atomic>
#include <map>

namespace chicorywick::cluster {

namespace {

// ZeroMQ closes a connection that sends a larger message. Oversized messages up to this size are
// received and counted.
constexpr std::int64_t kZmqMaxMessageBytes = 2 * static_cast<std::int64_t>(kMaxPeerMessageBytes);
constexpr int kReceiveHighWaterMark = 64;
// Leave announcements are sent just before the sockets close. A busy machine needs some time to
// write them.
constexpr int kLingerMs = 250;
// Messages handled per poll. Further messages wait for the next poll, so that a flood does not
// delay timers.
constexpr int kMaxMessagesPerPoll = 256;

struct Connection
{
    zmq::socket_t socket;
    std::uint64_t lastUse = 0;
};

} // namespace

base::Result<v1::PeerMessage> decodePeerMessage(const void *bytes, std::size_t size,
                                                const std::string &deployment)
{
    if (size > kMaxPeerMessageBytes)
        return base::makeError(base::Code::InputTooLarge,
                               std::to_string(size) + " bytes exceed the peer message limit");
    v1::PeerMessage message;
    if (!message.ParseFromArray(bytes, static_cast<int>(size)) || message.sender().empty()
        || message.sender_address().empty())
        return base::makeError(base::Code::MalformedInput,
                               "peer message does not parse or has no sender");
    if (message.protocol_version() != kPeerProtocolVersion)
        return base::makeError(base::Code::PeerMessageRefused,
                               "unsupported protocol version "
                                       + std::to_string(message.protocol_version()));
    if (message.deployment() != deployment)
        return base::makeError(base::Code::UnknownService,
                               "message from deployment " + message.deployment());
    return message;
}

struct PeerTransport::Impl
{
    explicit Impl(PeerTransportOptions transportOptions)
        : options(std::move(transportOptions))
        , context(1)
        , router(context, zmq::socket_type::router)
        , wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {}
    ~Impl() { close(wakeFd); }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    zmq::socket_t &connect(const std::string &target);
    void refuse(const base::Error &error);
    void receiveAll(const std::function<void(const v1::PeerMessage &)> &receive);

    PeerTransportOptions options;
    zmq::context_t context;
    zmq::socket_t router;
    int wakeFd;
    std::string address;
    std::map<std::string, Connection> connections;
    std::uint64_t uses = 0;
    std::atomic<std::uint64_t> sentMessages = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> droppedSends = 0;
    std::atomic<std::uint64_t> receivedMessages = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    std::atomic<std::uint64_t> refusedDeployment = 0;
    std::atomic<std::uint64_t> refusedVersion = 0;
    std::atomic<std::uint64_t> refusedMalformed = 0;
    std::atomic<std::uint64_t> refusedSize = 0;
};

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

PeerTransport::~PeerTransport() = default;

base::Result<std::unique_ptr<PeerTransport>>
PeerTransport::open(const PeerTransportOptions &options)
{
    auto impl = std::make_unique<Impl>(options);
    try {
        impl->router.set(zmq::sockopt::linger, 0);
        impl->router.set(zmq::sockopt::rcvhwm, kReceiveHighWaterMark);
        impl->router.set(zmq::sockopt::maxmsgsize, kZmqMaxMessageBytes);
        impl->router.bind("tcp://" + options.listenAddress);
        const std::string endpoint = impl->router.get(zmq::sockopt::last_endpoint);
        impl->address = endpoint.substr(std::string("tcp://").size());
    } catch (const zmq::error_t &error) {
        return base::makeError(base::Code::ListenerUnavailable,
                               options.listenAddress + ": " + error.what());
    }
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

const std::string &PeerTransport::address() const
{
    return impl_->address;
}

zmq::socket_t &PeerTransport::Impl::connect(const std::string &target)
{
    const auto found = connections.find(target);
    if (found != connections.end()) {
        found->second.lastUse = ++uses;
        return found->second.socket;
    }
    if (connections.size() >= options.maxConnections) {
        const auto oldest = std::min_element(connections.begin(), connections.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.lastUse < right.second.lastUse;
                                             });
        connections.erase(oldest);
    }
    constexpr int kReconnectMs = 100;
    constexpr int kMaxReconnectMs = 2000;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, kLingerMs);
    socket.set(zmq::sockopt::sndhwm, options.highWaterMark);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    socket.connect("tcp://" + target);
    return connections.emplace(target, Connection{std::move(socket), ++uses}).first->second.socket;
}

void PeerTransport::send(const OutgoingMessage &outgoing)
{
    v1::PeerMessage message = outgoing.message;
    message.set_deployment(impl_->options.deployment);
    message.set_protocol_version(kPeerProtocolVersion);
    const std::string bytes = message.SerializeAsString();
    try {
        if (bytes.size() <= kMaxPeerMessageBytes
            && impl_->connect(outgoing.address)
                       .send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            ++impl_->sentMessages;
            impl_->sentBytes += bytes.size();
            return;
        }
    } catch (const zmq::error_t &) {
        // An invalid address is treated like an unreachable peer.
        impl_->connections.erase(outgoing.address);
    }
    ++impl_->droppedSends;
}

void PeerTransport::Impl::refuse(const base::Error &error)
{
    switch (error.code) {
    case base::Code::InputTooLarge:
        ++refusedSize;
        break;
    case base::Code::PeerMessageRefused:
        ++refusedVersion;
        break;
    case base::Code::UnknownService:
        ++refusedDeployment;
        break;
    default:
        ++refusedMalformed;
        break;
    }
    const std::uint64_t total = refusedSize + refusedVersion + refusedDeployment + refusedMalformed;
    // The counters include every rejected message. The log has the first and then one in a
    // thousand.
    constexpr std::uint64_t kLogEvery = 1000;
    if (total % kLogEvery == 1)
        base::logEvent(base::Event::PeerMessageRefused,
                       {{"reason", error.message}, {"total", std::to_string(total)}});
}

void PeerTransport::Impl::receiveAll(const std::function<void(const v1::PeerMessage &)> &receive)
{
    for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
        zmq::message_t identity;
        if (!router.recv(identity, zmq::recv_flags::dontwait))
            return;
        zmq::message_t frame;
        bool isWhole = identity.more() && router.recv(frame, zmq::recv_flags::dontwait).has_value();
        for (bool more = isWhole && frame.more(); more;) {
            isWhole = false;
            zmq::message_t rest;
            more = router.recv(rest, zmq::recv_flags::dontwait).has_value() && rest.more();
        }
        ++receivedMessages;
        receivedBytes += frame.size();
        const auto message =
                isWhole ? decodePeerMessage(frame.data(), frame.size(), options.deployment)
                        : base::Result<v1::PeerMessage>(
                                base::makeError(base::Code::MalformedInput));
        if (message)
            receive(message.value());
        else
            refuse(message.error());
    }
}

void PeerTransport::poll(base::Duration timeout,
                         const std::function<void(const v1::PeerMessage &)> &receive)
{
    std::array<zmq::pollitem_t, 2> items = {
            {{impl_->router.handle(), 0, ZMQ_POLLIN, 0}, {nullptr, impl_->wakeFd, ZMQ_POLLIN, 0}}};
    try {
        zmq::poll(items.data(), items.size(),
                  std::chrono::ceil<std::chrono::milliseconds>(timeout));
    } catch (const zmq::error_t &) {
        return; // Interrupted by a signal. The caller polls again.
    }
    std::uint64_t wakes = 0;
    if ((items[1].revents & ZMQ_POLLIN) != 0 && read(impl_->wakeFd, &wakes, sizeof wakes) < 0)
        return;
    if ((items[0].revents & ZMQ_POLLIN) != 0)
        impl_->receiveAll(receive);
}

void PeerTransport::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, in which case a wake-up is already pending.
    static_cast<void>(write(impl_->wakeFd, &one, sizeof one) == sizeof one);
}

PeerTraffic PeerTransport::traffic() const
{
    return {.sentMessages = impl_->sentMessages,
            .sentBytes = impl_->sentBytes,
            .droppedSends = impl_->droppedSends,
            .receivedMessages = impl_->receivedMessages,
            .receivedBytes = impl_->receivedBytes,
            .refusedDeployment = impl_->refusedDeployment,
            .refusedVersion = impl_->refusedVersion,
            .refusedMalformed = impl_->refusedMalformed,
            .refusedSize = impl_->refusedSize};
}

} // namespace chicorywick::cluster
