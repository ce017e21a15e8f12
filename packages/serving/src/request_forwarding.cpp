#include "header_rules.h"
#include "request_session.h"

#include <chicorywick/base/overloaded.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

using std::chrono::steady_clock;

base::Duration since(SteadyTime start)
{
    return std::chrono::duration_cast<base::Duration>(steady_clock::now() - start);
}

bool isRefusal(const ResponseHead &head)
{
    const auto outcome = head.headers.find(kOutcomeHeader);
    return head.status == 503 && outcome != head.headers.end() && outcome->second == "not-run";
}

} // namespace

AdmissionRequest RequestSession::admission() const
{
    return AdmissionRequest{.service = request_.service,
                            .caller = request_.caller,
                            .requestClass = request_.requestClass,
                            .deadline = admissionDeadline_,
                            .excludedUpstreams = triedUpstreams_,
                            .isRetry = !triedUpstreams_.empty()};
}

// A request with an idempotency key continues after its caller disconnects, so that a repeat finds
// the response.
ExchangeLimits RequestSession::limits()
{
    return ExchangeLimits{.deadline = deadline_,
                          .callerSocket = isKeyed() ? -1 : callerSocket_,
                          .mayBuffer = [this](std::size_t bytes) {
                              return bufferReservation_.tryReserve(bytes);
                          }};
}

OutgoingRequest RequestSession::outgoingRequest() const
{
    OutgoingRequest outgoing;
    outgoing.method = request_.method;
    outgoing.target = request_.target;
    outgoing.headers = request_.headers;
    outgoing.body = body_;
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - steady_clock::now());
    outgoing.headers.erase("X-Request-Deadline-Ms");
    outgoing.headers.emplace("X-Request-Deadline-Ms",
                             std::to_string(std::max<std::int64_t>(1, left.count())));
    outgoing.headers.emplace("Via", "1.1 chicorywick");
    if (!body_.empty() && outgoing.headers.count("Content-Type") == 0)
        outgoing.headers.emplace("Content-Type", "application/octet-stream");
    return outgoing;
}

CallerReply RequestSession::rejection(const base::Error &error)
{
    const RequestOutcome outcome = mayHaveRun_ ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    CallerReply reply = errorReply(error, outcome);
    return reply.status == 503 || reply.status == 429 ? withRetryAfter(
                   std::move(reply), context_->dispatcher->retryAfter(request_.service))
                                                      : reply;
}

CallerReply RequestSession::failureReply(Disposition disposition)
{
    switch (disposition) {
    case Disposition::Refused:
        return rejection(base::makeError(base::Code::UpstreamRefused));
    case Disposition::NoResponse:
        return rejection(base::makeError(base::Code::UpstreamOutcomeUnknown));
    case Disposition::Truncated:
        return rejection(base::makeError(base::Code::UpstreamTruncated));
    case Disposition::TooLarge:
        return rejection(base::makeError(base::Code::ResponseTooLarge));
    case Disposition::NotSent:
    case Disposition::Completed:
        break;
    }
    return rejection(base::makeError(isPastDeadline() ? base::Code::DeadlineExceeded
                                                      : base::Code::UpstreamUnreachable));
}

// Retries only a request that did not run or that may safely run twice.
bool RequestSession::mayRetry(Disposition disposition, int attempts)
{
    const bool didNotRun =
            disposition == Disposition::NotSent || disposition == Disposition::Refused;
    const bool isRepeatable =
            request_.isIdempotent && !isKeyed()
            && (disposition == Disposition::NoResponse || disposition == Disposition::Truncated);
    if (!didNotRun && !isRepeatable)
        return false;
    if (attempts >= context_->options.maxAttempts || isPastDeadline() || isCallerDisconnected())
        return false;
    if (!context_->dispatcher->tryRetry(request_.service))
        return false;
    ++context_->counters.retries;
    return true;
}

CallerReply RequestSession::forward()
{
    std::optional<CallerReply> failure;
    for (int attempts = 1;; ++attempts) {
        auto permit = context_->dispatcher->acquire(admission());
        if (!permit)
            return failure ? std::move(*failure) : rejection(permit.error());
        if (isKeyed() && !claim_) {
            if (auto refusal = acquireClaim())
                return std::move(*refusal);
        }
        triedUpstreams_.push_back(permit.value().upstream().id);
        CallerReply reply;
        const ExchangeResult exchangeResult = attempt(std::move(permit.value()), reply);
        if (exchangeResult.disposition == Disposition::Completed)
            return reply;
        // An attempt that did not run does not show whether an earlier attempt ran.
        const bool didNotRun = exchangeResult.disposition == Disposition::NotSent
                               || exchangeResult.disposition == Disposition::Refused;
        mayHaveRun_ = mayHaveRun_ || !didNotRun;
        if (!didNotRun || !mayHaveRun_)
            failure = failureReply(exchangeResult.disposition);
        if (exchangeResult.outcome == AttemptOutcome::Cancelled)
            ++context_->counters.callersDisconnected;
        if (!mayRetry(exchangeResult.disposition, attempts))
            return std::move(*failure);
    }
}

ExchangeResult RequestSession::attempt(Permit permit, CallerReply &reply)
{
    attemptStart_ = steady_clock::now();
    ExchangeFacts facts;
    if (isPastDeadline() || (!isKeyed() && isCallerDisconnected())) {
        permit.finish(AttemptOutcome::Cancelled, {});
        return {Disposition::NotSent, AttemptOutcome::Cancelled};
    }
    auto connection = context_->pool.take(permit.upstream(), request_.isIdempotent && !isKeyed());
    if (!connection) {
        ExchangeLimits connecting = limits();
        connecting.deadline = std::min(deadline_, attemptStart_ + context_->options.connectTimeout);
        FileDescriptor socket = connectTo(permit.upstream(), connecting, facts);
        if (socket.isOpen())
            connection = std::make_unique<UpstreamConnection>(std::move(socket));
    }
    const ExchangeResult exchangeResult =
            connection ? readResponse(permit, std::move(connection), reply, facts)
                       : classify(facts);
    permit.finish(exchangeResult.outcome, since(attemptStart_));
    return exchangeResult;
}

ExchangeResult RequestSession::readResponse(Permit &permit,
                                            std::unique_ptr<UpstreamConnection> connection,
                                            CallerReply &reply, ExchangeFacts &facts)
{
    const CallerProxyOptions &options = context_->options;
    ResponseHead head = connection->exchange(outgoingRequest(), limits(), facts);
    std::string body = std::move(head.chunkedBody);
    if (facts.headComplete && head.contentLength.value_or(0) > 0) {
        const std::size_t limit =
                isKeyed() ? options.maxResponseBufferBytes : options.streamingThresholdBytes;
        if (*head.contentLength > limit || !bufferReservation_.tryReserve(*head.contentLength)) {
            reply = completedReply(head, {});
            reply.streamedLength = head.contentLength;
            beginStreaming(permit, std::move(connection), facts);
            return {Disposition::Completed, AttemptOutcome::Succeeded};
        }
        body.resize(*head.contentLength);
        std::size_t done = 0;
        while (done < body.size()) {
            const std::size_t count =
                    connection->readBody(body.data() + done, body.size() - done, facts);
            if (count == 0)
                break;
            done += count;
        }
    }
    facts.refusedByUpstream = facts.headComplete && isRefusal(head);
    const ExchangeResult exchangeResult = classify(facts);
    if (exchangeResult.disposition == Disposition::Completed)
        reply = completedReply(head, std::move(body));
    if (exchangeResult.disposition == Disposition::Completed
        || exchangeResult.disposition == Disposition::Refused)
        context_->pool.returnConnection(permit.upstream(), std::move(connection));
    return exchangeResult;
}

CallerReply RequestSession::completedReply(const ResponseHead &head, std::string body) const
{
    CallerReply reply;
    reply.status = head.status;
    reply.outcome = RequestOutcome::Completed;
    reply.headers = endToEndHeaders(head.headers);
    reply.headers.emplace("Via", "1.1 chicorywick");
    reply.body = std::move(body);
    reply.isBodyless = head.isBodyless;
    // Responses to HEAD and 304 responses carry the length that a GET would have returned.
    const auto length = head.headers.find("Content-Length");
    if (head.isBodyless && head.status != 204 && length != head.headers.end())
        reply.headers.emplace("Content-Length", length->second);
    return reply;
}

} // namespace chicorywick::serving
