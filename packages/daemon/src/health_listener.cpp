#include "health_listener.h"

#include <httplib.h>

#include <thread>

namespace chicorywick::daemon {

namespace {

constexpr std::size_t kThreads = 4;
constexpr int kKeepAliveSeconds = 2;
constexpr int kServiceUnavailable = 503;
constexpr const char *kMetricsType = "text/plain; version=0.0.4";

} // namespace

struct HealthListener::Impl
{
    Handlers handlers;
    httplib::Server server;
    std::thread thread;
    int port = 0;
};

base::Result<std::unique_ptr<HealthListener>> HealthListener::open(const Endpoint &endpoint,
                                                                   Handlers handlers)
{
    auto impl = std::make_unique<Impl>();
    Impl *const self = impl.get();
    self->handlers = std::move(handlers);
    self->server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    self->server.set_keep_alive_timeout(kKeepAliveSeconds);
    self->server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    self->server.Get("/readyz", [self](const httplib::Request &, httplib::Response &response) {
        const bool isReady = self->handlers.isReady();
        response.status = isReady ? 200 : kServiceUnavailable;
        response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
    });
    self->server.Get("/metrics", [self](const httplib::Request &, httplib::Response &response) {
        response.set_content(self->handlers.metrics(), kMetricsType);
    });
    const bool isOpen =
            endpoint.port == 0
                    ? (self->port = self->server.bind_to_any_port(endpoint.host)) > 0
                    : self->server.bind_to_port(endpoint.host, self->port = endpoint.port);
    if (!isOpen)
        return base::makeError(base::Code::ListenerUnavailable,
                               endpoint.host + ":" + std::to_string(endpoint.port));
    self->thread = std::thread([self] { self->server.listen_after_bind(); });
    // httplib::Server::stop() has no effect before the accept loop runs.
    while (!self->server.is_running())
        std::this_thread::yield();
    return std::unique_ptr<HealthListener>(new HealthListener(std::move(impl)));
}

HealthListener::HealthListener(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

HealthListener::~HealthListener()
{
    stop();
}

int HealthListener::port() const
{
    return impl_->port;
}

void HealthListener::stop()
{
    impl_->server.stop();
    if (impl_->thread.joinable())
        impl_->thread.join();
}

} // namespace chicorywick::daemon
