#include "caller_server.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/serving/caller_proxy.h>

namespace chicorywick::serving {

namespace {

ConnectionServerOptions serverOptions(CallerServer &protocol, const ProxyContext &context)
{
    const CallerProxyOptions &given = context.options;
    ConnectionServerOptions options;
    options.host = given.host;
    options.port = given.port;
    options.maxThreads = given.maxThreads;
    options.maxConnections = given.maxConnections;
    options.maxWaiting = given.maxWaitingRequests;
    options.idleTimeout = given.idleTimeout;
    options.headerLimits.maxHeaderBytes = given.maxHeaderBytes;
    options.serve = [&protocol](CallerConnection &connection) {
        return protocol.serveOne(connection);
    };
    options.closingResponse = [&context] {
        return makeClosingResponse(context.draining ? base::Code::ShuttingDown
                                                    : base::Code::QueueFull);
    };
    return options;
}

} // namespace

struct CallerProxy::Impl
{
    std::shared_ptr<ProxyContext> context;
    std::unique_ptr<CallerServer> protocol;
    std::unique_ptr<ConnectionServer> server;
};

base::Result<std::unique_ptr<CallerProxy>>
CallerProxy::open(CallerProxyOptions options, std::shared_ptr<Dispatcher> dispatcher,
                  std::shared_ptr<IdempotencyStore> store, base::Clock clock)
{
    auto impl = std::make_unique<Impl>();
    impl->context = std::make_shared<ProxyContext>();
    ProxyContext &context = *impl->context;
    context.options = std::move(options);
    context.dispatcher = std::move(dispatcher);
    context.store = std::move(store);
    context.clock = std::move(clock);
    impl->protocol = std::make_unique<CallerServer>(impl->context);
    BOOST_OUTCOME_TRY(server, ConnectionServer::open(serverOptions(*impl->protocol, context)));
    impl->server = std::move(server);
    base::logEvent(base::Event::ListenerOpened,
                   {{"listener", "callers"}, {"port", std::to_string(impl->server->port())}});
    return std::unique_ptr<CallerProxy>(new CallerProxy(std::move(impl)));
}

CallerProxy::CallerProxy(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

CallerProxy::~CallerProxy()
{
    stop();
}

int CallerProxy::port() const
{
    return impl_->server->port();
}

void CallerProxy::beginDrain()
{
    impl_->context->draining = true;
}

void CallerProxy::stop()
{
    beginDrain();
    impl_->server->stop();
}

CallerProxyCounters CallerProxy::counters() const
{
    const SessionCounters &counted = impl_->context->counters;
    return CallerProxyCounters{.completed = counted.completed,
                               .notRun = counted.notRun,
                               .unknown = counted.unknown,
                               .callersDisconnected = counted.callersDisconnected,
                               .retries = counted.retries,
                               .openConnections = impl_->server->openConnections(),
                               .activeRequests = impl_->server->activeRequests(),
                               .threads = impl_->server->threads()};
}

} // namespace chicorywick::serving
