#include "request_session.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/overloaded.h>

namespace chicorywick::serving {

namespace {

// Only the body can contain the separator, and the body comes last, so the digest input is
// unambiguous.
std::string digestOf(const CallerRequest &request, const std::string &body)
{
    return base::digestHex(request.method + '\n' + request.target + '\n' + body);
}

CallerReply fromRecorded(const RecordedResponse &recorded)
{
    CallerReply reply;
    reply.status = recorded.status;
    reply.outcome = RequestOutcome::Completed;
    for (const StoredHeader &header : recorded.headers)
        reply.headers.emplace(header.name, header.value);
    reply.body = recorded.body;
    reply.isBodyless = recorded.status == 204 || recorded.status == 304;
    return reply;
}

RecordedResponse toRecorded(const CallerReply &reply)
{
    RecordedResponse recorded;
    recorded.status = reply.status;
    for (const auto &[name, value] : reply.headers)
        recorded.headers.push_back({name, value});
    recorded.body = reply.body;
    return recorded;
}

CallerReply fromHeld(const ClaimHeld &held)
{
    if (held.holderExpired)
        return errorReply(base::makeError(base::Code::UpstreamOutcomeUnknown,
                                          "the request that holds the idempotency key has expired"),
                          RequestOutcome::Unknown);
    return errorReply(base::makeError(base::Code::IdempotencyInFlight), RequestOutcome::Unknown);
}

CallerReply fromUnreadable()
{
    return errorReply(base::makeError(base::Code::IdempotencyStoreUnavailable,
                                      "the request has completed, but its response cannot be read"),
                      RequestOutcome::Unknown);
}

CallerReply fromMismatch()
{
    return errorReply(base::makeError(base::Code::IdempotencyKeyReused), RequestOutcome::NotRun);
}

} // namespace

CallerReply RequestSession::serveKeyed()
{
    const ClaimKey key{request_.caller, request_.idempotencyKey, digestOf(request_, body_)};
    const auto view = context_->store->lookUp(key);
    if (!view)
        return rejection(view.error());
    const auto *free = std::get_if<ClaimFree>(&view.value());
    if (free == nullptr)
        return std::visit(base::Overloaded{[](const ClaimFree &) { return CallerReply(); },
                                           [](const ClaimHeld &held) { return fromHeld(held); },
                                           [](const ClaimMismatch &) { return fromMismatch(); },
                                           [](const ClaimUnreadable &) { return fromUnreadable(); },
                                           [](const RecordedResponse &recorded) {
                                               return fromRecorded(recorded);
                                           }},
                          view.value());
    claimFree_ = *free;
    CallerReply reply = forward();
    recordClaimOutcome(reply);
    return reply;
}

std::optional<CallerReply> RequestSession::acquireClaim()
{
    const ClaimKey key{request_.caller, request_.idempotencyKey, digestOf(request_, body_)};
    const auto left = std::chrono::duration_cast<base::Duration>(
            deadline_ - std::chrono::steady_clock::now());
    auto claimResult = context_->store->claim(key, claimFree_, left);
    if (!claimResult)
        return rejection(claimResult.error());
    return std::visit(
            base::Overloaded{
                    [&](Claim &claim) -> std::optional<CallerReply> {
                        claim_ = std::move(claim);
                        return std::nullopt;
                    },
                    [](ClaimHeld &held) -> std::optional<CallerReply> { return fromHeld(held); },
                    [](ClaimMismatch &) -> std::optional<CallerReply> { return fromMismatch(); },
                    [](ClaimUnreadable &) -> std::optional<CallerReply> {
                        return fromUnreadable();
                    },
                    [](RecordedResponse &recorded) -> std::optional<CallerReply> {
                        return fromRecorded(recorded);
                    }},
            claimResult.value());
}

// A streamed response is not stored; repeats of such a request get the outcome unknown.
void RequestSession::recordClaimOutcome(const CallerReply &reply)
{
    if (!claim_)
        return;
    if (reply.outcome == RequestOutcome::NotRun)
        context_->store->abandon(*claim_);
    else if (reply.outcome == RequestOutcome::Completed && !reply.streamedLength)
        static_cast<void>(context_->store->complete(*claim_, toRecorded(reply)));
}

} // namespace chicorywick::serving
