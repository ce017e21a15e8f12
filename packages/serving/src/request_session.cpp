#include "request_session.h"

#include "header_rules.h"
#include "socket_wait.h"

#include <chicorywick/base/log_event.h>

namespace chicorywick::serving {

namespace {

constexpr std::size_t kStreamPartBytes = 64UL * 1024;

} // namespace

RequestSession::RequestSession(std::shared_ptr<ProxyContext> context, int callerSocket)
    : context_(std::move(context))
    , callerSocket_(callerSocket)
    , bufferReservation_(*context_)
{
    deadline_ = std::chrono::steady_clock::now() + context_->options.defaultDeadline;
}

RequestSession::~RequestSession()
{
    endStreaming();
}

void RequestSession::readHead(const httplib::Request &request)
{
    auto head = readRequestHead(request, context_->options);
    if (!head) {
        reject(head.error());
        return;
    }
    request_ = std::move(head.value());
    mustClose_ = request_.wantsClose;
    deadline_ = std::chrono::steady_clock::now() + request_.timeout;
    admissionDeadline_ = context_->clock.now() + request_.timeout;
    if (context_->draining)
        reject(base::makeError(base::Code::ShuttingDown));
}

bool RequestSession::appendBody(const char *data, std::size_t size)
{
    if (body_.size() + size > context_->options.maxBodyBytes)
        return false;
    body_.append(data, size);
    return true;
}

// The rest of the request may be unread, so the connection cannot be reused.
void RequestSession::reject(const base::Error &error)
{
    reply_ = errorReply(error, RequestOutcome::NotRun);
    if (base::codeInfo(error.code).httpStatus == 503)
        reply_ = withRetryAfter(std::move(*reply_), std::chrono::seconds(1));
    mustClose_ = true;
    count(*reply_);
}

void RequestSession::run()
{
    try {
        reply_ = serve();
    } catch (const std::exception &) {
        // If the exception propagated, the library would send its own response for a request that
        // may have been sent.
        reply_ = errorReply(base::makeError(base::Code::UpstreamOutcomeUnknown),
                            RequestOutcome::Unknown);
    }
    count(*reply_);
}

CallerReply RequestSession::serve()
{
    if (!isKeyed())
        return forward();
    if (!context_->store)
        return errorReply(base::makeError(base::Code::IdempotencyStoreUnavailable),
                          RequestOutcome::NotRun);
    return serveKeyed();
}

void RequestSession::count(const CallerReply &reply)
{
    SessionCounters &counters = context_->counters;
    if (reply.outcome == RequestOutcome::Completed)
        ++counters.completed;
    else if (reply.outcome == RequestOutcome::NotRun)
        ++counters.notRun;
    else
        ++counters.unknown;
    if (reply.outcome == RequestOutcome::Unknown)
        base::logEvent(base::Event::RequestOutcomeUnknown,
                       {{"service", request_.service}, {"caller", request_.caller}});
    if (!reply.streamedLength)
        notifyFinished(reply.outcome, reply.status);
}

// Called for a streamed response only after its last byte, when its outcome is known.
void RequestSession::notifyFinished(RequestOutcome outcome, int status) const
{
    if (!context_->options.onFinished)
        return;
    context_->options.onFinished({.service = request_.service,
                                  .outcome = std::string(outcomeName(outcome)),
                                  .status = status,
                                  .latency = std::chrono::duration_cast<base::Duration>(
                                          std::chrono::steady_clock::now() - startedAt_)});
}

void RequestSession::writeTo(httplib::Response &response)
{
    const CallerReply &reply = *reply_;
    response.status = reply.status;
    for (const auto &[name, value] : reply.headers)
        response.headers.emplace(name, value);
    response.headers.emplace(kOutcomeHeader, std::string(outcomeName(reply.outcome)));
    if (reply.code)
        response.headers.emplace(kResultCodeHeader, std::to_string(static_cast<int>(*reply.code)));
    if (reply.isBodyless)
        return;
    response.body = reply.body;
    if (!reply.streamedLength)
        return;
    const auto type = reply.headers.find("Content-Type");
    response.set_content_provider(
            *reply.streamedLength, type == reply.headers.end() ? "" : type->second,
            [self = shared_from_this()](std::size_t, std::size_t, httplib::DataSink &sink) {
                return self->streamPart(sink);
            },
            [self = shared_from_this()](bool) { self->endStreaming(); });
}

// The Connection header must match what the server does with the connection: without "close", the
// caller may send its next request at once.
void RequestSession::finishHeaders(httplib::Response &response)
{
    mustClose_ = mustClose_ || context_->draining;
    if (mustClose_) {
        response.headers.erase("Keep-Alive");
        response.headers.erase("Connection");
        response.headers.emplace("Connection", "close");
    }
    if (!reply_)
        return;
    if (reply_->headers.count("Content-Type") == 0)
        response.headers.erase("Content-Type");
    if (reply_->headers.count("Accept-Ranges") == 0)
        response.headers.erase("Accept-Ranges");
    if (!reply_->isBodyless)
        return;
    response.headers.erase("Content-Length");
    const auto length = reply_->headers.find("Content-Length");
    if (length != reply_->headers.end())
        response.headers.emplace("Content-Length", length->second);
}

SteadyTime RequestSession::writeDeadline() const
{
    return std::max(deadline_, std::chrono::steady_clock::now()) + context_->options.writeGrace;
}

void RequestSession::beginStreaming(Permit &permit, std::unique_ptr<UpstreamConnection> connection,
                                    const ExchangeFacts &facts)
{
    streamPermit_ = std::move(permit);
    streamConnection_ = std::move(connection);
    streamFacts_ = facts;
}

// Returning false makes the library close the caller's connection before the announced length, so
// the caller cannot mistake a truncated response for a complete one.
bool RequestSession::streamPart(httplib::DataSink &sink)
{
    std::vector<char> part(kStreamPartBytes);
    const std::size_t count = streamConnection_->readBody(part.data(), part.size(), streamFacts_);
    if (count == 0)
        return false;
    return sink.write(part.data(), count);
}

void RequestSession::endStreaming()
{
    if (!streamPermit_)
        return;
    const ExchangeResult exchangeResult = classify(streamFacts_);
    const bool isWriteFailure = exchangeResult.disposition == Disposition::Truncated
                                && !streamFacts_.timedOut && isCallerDisconnected();
    if (exchangeResult.disposition == Disposition::Completed)
        context_->pool.returnConnection(streamPermit_->upstream(), std::move(streamConnection_));
    streamConnection_.reset();
    const bool isWhole = exchangeResult.disposition == Disposition::Completed || isWriteFailure;
    notifyFinished(isWhole ? RequestOutcome::Completed : RequestOutcome::Unknown, reply_->status);
    streamPermit_->finish(isWriteFailure ? AttemptOutcome::Cancelled : exchangeResult.outcome,
                          std::chrono::duration_cast<base::Duration>(
                                  std::chrono::steady_clock::now() - attemptStart_));
    streamPermit_.reset();
}

bool RequestSession::isCallerDisconnected() const
{
    return isPeerDisconnected(callerSocket_);
}

} // namespace chicorywick::serving
