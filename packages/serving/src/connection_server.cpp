#include "connection_server.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <iterator>

namespace chicorywick::serving {

namespace {

constexpr int kBacklog = 1024;
constexpr int kTickMillis = 100;
constexpr int kEventsPerWait = 64;
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingering = 1024;
// Time for the handshakes that are in progress when a stop begins; several round trips.
constexpr auto kHandshakeTime = std::chrono::milliseconds(200);

bool watch(int epoll, int operation, int fd, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    return ::epoll_ctl(epoll, operation, fd, &event) == 0;
}

} // namespace

base::Result<std::unique_ptr<ConnectionServer>>
ConnectionServer::open(ConnectionServerOptions options)
{
    std::unique_ptr<ConnectionServer> server(new ConnectionServer(std::move(options)));
    BOOST_OUTCOME_TRY(server->listen());
    server->watcher_ = std::thread([raw = server.get()] { raw->watchLoop(); });
    return server;
}

ConnectionServer::ConnectionServer(ConnectionServerOptions options)
    : options_(std::move(options))
{}

ConnectionServer::~ConnectionServer()
{
    stop();
}

base::Result<void> ConnectionServer::listen()
{
    const base::Error error = base::makeError(base::Code::ListenerUnavailable,
                                              options_.host + ":" + std::to_string(options_.port));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(options_.port));
    if (::inet_pton(AF_INET, options_.host.c_str(), &address.sin_addr) != 1)
        return error;
    listener_ = FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t length = sizeof address;
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    if (::bind(listener_.get(), raw, length) != 0 || ::listen(listener_.get(), kBacklog) != 0
        || ::getsockname(listener_.get(), raw, &length) != 0)
        return error;
    port_ = ntohs(address.sin_port);
    epoll_ = FileDescriptor(::epoll_create1(EPOLL_CLOEXEC));
    wakeUp_ = FileDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!watch(epoll_.get(), EPOLL_CTL_ADD, listener_.get(), EPOLLIN)
        || !watch(epoll_.get(), EPOLL_CTL_ADD, wakeUp_.get(), EPOLLIN))
        return error;
    return base::ok();
}

void ConnectionServer::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(::write(wakeUp_.get(), &one, sizeof one));
}

void ConnectionServer::watchLoop()
{
    std::array<epoll_event, kEventsPerWait> events{};
    while (true) {
        const int count = ::epoll_wait(epoll_.get(), events.data(), kEventsPerWait, kTickMillis);
        for (int i = 0; i < count; ++i)
            handleEvent(events[static_cast<std::size_t>(i)].data.fd);
        closeExpired();
        if (finishStop())
            return;
    }
}

void ConnectionServer::handleEvent(int fd)
{
    if (fd == listener_.get()) {
        acceptPending();
        return;
    }
    if (fd == wakeUp_.get()) {
        std::uint64_t ignored = 0;
        static_cast<void>(::read(fd, &ignored, sizeof ignored));
        return;
    }
    Connection connection;
    {
        const std::lock_guard lock(mutex_);
        const auto found = idle_.find(fd);
        if (found != idle_.end()) {
            connection = std::move(found->second);
            idle_.erase(found);
        }
    }
    if (connection)
        enqueue(std::move(connection));
    else
        readAndDiscard(fd);
}

void ConnectionServer::acceptPending()
{
    while (true) {
        FileDescriptor socket(
                ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.isOpen()) {
            addAccepted(std::move(socket));
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED)
            continue;
        // Without free descriptors or memory, epoll would report the listener as readable again at
        // once. Stop watching it until the next tick.
        if (errno != EAGAIN)
            watch(epoll_.get(), EPOLL_CTL_MOD, listener_.get(), 0);
        return;
    }
}

// A connection established between the last accept and the close of the listener would be reset.
// The filter therefore makes the listener drop new connection requests first. The last segment of a
// handshake that is in progress must still pass: the caller already counts that connection as
// established, and its request would be reset with the listener.
void ConnectionServer::refuseNewConnections()
{
    constexpr unsigned kTcpFlagsOffset = 13;
    constexpr unsigned kSyn = 0x02;
    constexpr unsigned kSynAndAck = 0x12;
    constexpr unsigned kWholeSegment = 0xffffffff;
    sock_filter dropConnectionRequests[] = {
            {BPF_LD | BPF_B | BPF_ABS, 0, 0, kTcpFlagsOffset},
            {BPF_ALU | BPF_AND | BPF_K, 0, 0, kSynAndAck},
            {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, kSyn},
            {BPF_RET | BPF_K, 0, 0, 0},
            {BPF_RET | BPF_K, 0, 0, kWholeSegment},
    };
    const sock_fprog program{std::size(dropConnectionRequests), dropConnectionRequests};
    ::setsockopt(listener_.get(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    refusingSince_ = std::chrono::steady_clock::now();
}

// Accepts the connections whose handshake was in progress, then closes the listener.
void ConnectionServer::closeListener()
{
    if (refusingSince_ == SteadyTime{})
        refuseNewConnections();
    acceptPending();
    if (std::chrono::steady_clock::now() - refusingSince_ >= kHandshakeTime)
        listener_.reset();
}

void ConnectionServer::addAccepted(FileDescriptor socket)
{
    const int on = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_unique<CallerConnection>(std::move(socket), options_.headerLimits);
    if (!watch(epoll_.get(), EPOLL_CTL_ADD, connection->socket.get(), 0))
        return;
    if (openConnections() >= options_.maxConnections)
        beginClose(std::move(connection), true);
    else
        watchIdle(std::move(connection));
}

void ConnectionServer::watchIdle(Connection connection)
{
    const int fd = connection->socket.get();
    connection->since = std::chrono::steady_clock::now();
    connection->stream.releaseBuffer();
    const std::lock_guard lock(mutex_);
    idle_[fd] = std::move(connection);
    watch(epoll_.get(), EPOLL_CTL_MOD, fd, EPOLLIN | EPOLLRDHUP | EPOLLONESHOT);
}

void ConnectionServer::enqueue(Connection connection)
{
    std::unique_lock lock(mutex_);
    const bool hasFreeThread = freeThreads_ > waiting_.size();
    const bool mayAddThread = workers_.size() < options_.maxThreads;
    if (!hasFreeThread && !mayAddThread && waiting_.size() >= options_.maxWaiting) {
        lock.unlock();
        beginClose(std::move(connection), true);
        return;
    }
    waiting_.push_back(std::move(connection));
    if (!hasFreeThread && mayAddThread)
        workers_.emplace_back([this] { serveLoop(); });
    lock.unlock();
    arrived_.notify_one();
}

void ConnectionServer::serveLoop()
{
    std::unique_lock lock(mutex_);
    ++freeThreads_;
    while (true) {
        arrived_.wait(lock, [this] { return !waiting_.empty() || finished_; });
        if (waiting_.empty())
            return;
        --freeThreads_;
        Connection connection = std::move(waiting_.front());
        waiting_.pop_front();
        ++active_;
        lock.unlock();
        serveRequests(std::move(connection));
        lock.lock();
        --active_;
        if (stopping_)
            wake();
    }
}

void ConnectionServer::serveRequests(Connection connection)
{
    bool isKept = true;
    do {
        connection->stream.beginMessage();
        isKept = options_.serve(*connection);
    } while (isKept && connection->stream.hasBufferedBytes());
    {
        // The next request may arrive as soon as the connection is watched. This thread is counted
        // as free before that, so that no new one is started.
        const std::lock_guard lock(mutex_);
        ++freeThreads_;
    }
    if (isKept)
        watchIdle(std::move(connection));
    else
        beginClose(std::move(connection), false);
}

void ConnectionServer::beginClose(Connection connection, bool sendClosingResponse)
{
    const int fd = connection->socket.get();
    if (sendClosingResponse) {
        // The send buffer is empty, so the message fits unless the connection is broken.
        const std::string message = options_.closingResponse();
        static_cast<void>(::send(fd, message.data(), message.size(), MSG_NOSIGNAL));
    }
    ::shutdown(fd, SHUT_WR);
    connection->since = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    if (closing_.size() >= kMaxLingering)
        return;
    closing_[fd] = std::move(connection);
    watch(epoll_.get(), EPOLL_CTL_MOD, fd, EPOLLIN | EPOLLRDHUP);
}

void ConnectionServer::readAndDiscard(int fd)
{
    std::array<char, 4096> ignored{};
    const ssize_t count = ::recv(fd, ignored.data(), ignored.size(), MSG_DONTWAIT);
    if (count > 0 || (count < 0 && errno == EAGAIN))
        return;
    const std::lock_guard lock(mutex_);
    closing_.erase(fd);
}

void ConnectionServer::closeExpired()
{
    if (listener_.isOpen())
        watch(epoll_.get(), EPOLL_CTL_MOD, listener_.get(), EPOLLIN);
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<Connection> expired;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(closing_, [&](const auto &entry) {
            return now - entry.second->since > kLingerTimeout;
        });
        for (auto it = idle_.begin(); it != idle_.end();) {
            const bool isOver = now - it->second->since > options_.idleTimeout;
            if (isOver)
                expired.push_back(std::move(it->second));
            it = isOver ? idle_.erase(it) : std::next(it);
        }
    }
    for (Connection &connection : expired)
        beginClose(std::move(connection), true);
}

// Called between batches of events, when all requests that have arrived are assigned to threads.
bool ConnectionServer::finishStop()
{
    if (isStopping() && listener_.isOpen())
        closeListener();
    std::vector<Connection> idle;
    {
        const std::lock_guard lock(mutex_);
        if (!stopping_ || active_ > 0 || !waiting_.empty())
            return false;
        for (auto &[fd, connection] : idle_)
            idle.push_back(std::move(connection));
        idle_.clear();
        if (idle.empty() && closing_.empty())
            return !listener_.isOpen();
    }
    for (Connection &connection : idle)
        beginClose(std::move(connection), true);
    return false;
}

void ConnectionServer::stop()
{
    if (!watcher_.joinable())
        return;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake();
    watcher_.join();
    {
        const std::lock_guard lock(mutex_);
        finished_ = true;
    }
    arrived_.notify_all();
    for (std::thread &worker : workers_)
        worker.join();
}

bool ConnectionServer::isStopping() const
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

std::size_t ConnectionServer::openConnections() const
{
    const std::lock_guard lock(mutex_);
    return idle_.size() + waiting_.size() + active_;
}

std::size_t ConnectionServer::activeRequests() const
{
    const std::lock_guard lock(mutex_);
    return waiting_.size() + active_;
}

std::size_t ConnectionServer::threads() const
{
    const std::lock_guard lock(mutex_);
    return workers_.size();
}

} // namespace chicorywick::serving
