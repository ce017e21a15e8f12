#include <chicorywick/base/log_event.h>
#include <chicorywick/twirp/listener.h>

#include <httplib.h>

#include <thread>

namespace chicorywick::twirp {

namespace {

constexpr int kKeepAliveSeconds = 2;
constexpr int kReadTimeoutSeconds = 5;
constexpr std::string_view kBearer = "Bearer ";

bool isAuthorized(const ListenerOptions &options, const httplib::Request &request)
{
    if (options.token.empty())
        return true;
    const std::string header = request.get_header_value("Authorization");
    const std::string_view given(header);
    return given.substr(0, kBearer.size()) == kBearer
           && constantTimeEquals(options.token, given.substr(kBearer.size()));
}

HttpReply serve(const ListenerOptions &options, const Router &router,
                const httplib::Request &request)
{
    if (!isAuthorized(options, request))
        return errorReply(base::makeError(base::Code::Unauthenticated,
                                          "send the header 'Authorization: Bearer <token>'"));
    HttpCall call;
    call.path = request.path;
    call.contentType = request.get_header_value("Content-Type");
    call.body = request.body;
    call.context.method = request.path;
    call.context.remoteAddress = request.remote_addr;
    call.context.operatorName = request.get_header_value("X-Operator");
    return router.handle(call);
}

// Responses of the HTTP library itself, such as to an oversized body, also carry a result code.
void replaceLibraryError(httplib::Response &response)
{
    if (!response.body.empty())
        return;
    const base::Code code = response.status == 413   ? base::Code::InputTooLarge
                            : response.status == 404 ? base::Code::UnknownMethod
                                                     : base::Code::MalformedInput;
    const HttpReply reply = errorReply(base::makeError(code));
    response.set_content(reply.body, reply.contentType);
}

} // namespace

struct Listener::Impl
{
    ListenerOptions options;
    Router router;
    httplib::Server server;
    std::thread thread;
    int port = 0;
};

base::Result<std::unique_ptr<Listener>> Listener::open(ListenerOptions options, Router router)
{
    auto impl = std::make_unique<Impl>();
    impl->options = std::move(options);
    impl->router = std::move(router);
    const int threads = impl->options.threads;
    impl->server.new_task_queue = [threads] {
        return new httplib::ThreadPool(static_cast<std::size_t>(threads));
    };
    impl->server.set_payload_max_length(impl->options.maxBodyBytes);
    impl->server.set_keep_alive_timeout(kKeepAliveSeconds);
    impl->server.set_read_timeout(kReadTimeoutSeconds);
    impl->server.set_tcp_nodelay(true);
    Impl *const self = impl.get();
    impl->server.Post("/twirp/.*",
                      [self](const httplib::Request &request, httplib::Response &response) {
                          const HttpReply reply = serve(self->options, self->router, request);
                          response.status = reply.status;
                          response.set_content(reply.body, reply.contentType);
                      });
    impl->server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        replaceLibraryError(response);
    });

    const ListenerOptions &bound = impl->options;
    const bool isOpen = bound.port == 0
                                ? (impl->port = impl->server.bind_to_any_port(bound.host)) > 0
                                : impl->server.bind_to_port(bound.host, impl->port = bound.port);
    if (!isOpen)
        return base::makeError(base::Code::ListenerUnavailable,
                               bound.host + ":" + std::to_string(bound.port));
    impl->thread = std::thread([self] { self->server.listen_after_bind(); });
    // stop() has no effect before the accept loop runs, so open() waits for the loop to start.
    while (!impl->server.is_running())
        std::this_thread::yield();
    return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

Listener::Listener(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

Listener::~Listener()
{
    stop();
}

int Listener::port() const
{
    return impl_->port;
}

void Listener::stop()
{
    impl_->server.stop();
    if (impl_->thread.joinable())
        impl_->thread.join();
}

bool constantTimeEquals(std::string_view expected, std::string_view given)
{
    unsigned difference = expected.size() == given.size() ? 0U : 1U;
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const char other = given.empty() ? '\0' : given[i % given.size()];
        difference |= static_cast<unsigned char>(expected[i]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

} // namespace chicorywick::twirp
