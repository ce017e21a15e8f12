#include "request_session.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/overloaded.h>

namespace chicorywick::serving {

namespace {

// The parts are separated by a byte that none but the body can contain, and the body comes last.
std::string digestOf(const CallerRequest &request, const std::string &body)
{
    return base::digestHex(request.method + '\n' + request.target + '\n' + body);
}

CallerReply fromKept(const KeptResponse &kept)
{
    CallerReply reply;
    reply.status = kept.status;
    reply.outcome = RequestOutcome::Completed;
    for (const StoredHeader &header : kept.headers)
        reply.headers.emplace(header.name, header.value);
    reply.body = kept.body;
    reply.isBodyless = kept.status == 204 || kept.status == 304;
    return reply;
}

KeptResponse toKept(const CallerReply &reply)
{
    KeptResponse kept;
    kept.status = reply.status;
    for (const auto &[name, value] : reply.headers)
        kept.headers.push_back({name, value});
    kept.body = reply.body;
    return kept;
}

CallerReply fromHeld(const ClaimHeld &held)
{
    if (held.holderGone)
        return errorReply(base::makeError(base::Code::UpstreamOutcomeUnknown,
                                          "the holder of the idempotency key is gone"),
                          RequestOutcome::Unknown);
    return errorReply(base::makeError(base::Code::IdempotencyInFlight), RequestOutcome::Unknown);
}

CallerReply fromUnreadable()
{
    return errorReply(base::makeError(base::Code::IdempotencyStoreUnavailable,
                                      "the request has run and its response cannot be read"),
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
    const auto view = context_->store->look(key);
    if (!view)
        return rejection(view.error());
    const auto *free = std::get_if<ClaimFree>(&view.value());
    if (free == nullptr)
        return std::visit(base::Overloaded{[](const ClaimFree &) { return CallerReply(); },
                                           [](const ClaimHeld &held) { return fromHeld(held); },
                                           [](const ClaimMismatch &) { return fromMismatch(); },
                                           [](const ClaimUnreadable &) { return fromUnreadable(); },
                                           [](const KeptResponse &kept) { return fromKept(kept); }},
                          view.value());
    claimFree_ = *free;
    CallerReply reply = forward();
    settleClaim(reply);
    return reply;
}

std::optional<CallerReply> RequestSession::takeClaim()
{
    const ClaimKey key{request_.caller, request_.idempotencyKey, digestOf(request_, body_)};
    const auto left = std::chrono::duration_cast<base::Duration>(
            deadline_ - std::chrono::steady_clock::now());
    auto answer = context_->store->claim(key, claimFree_, left);
    if (!answer)
        return rejection(answer.error());
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
                    [](KeptResponse &kept) -> std::optional<CallerReply> {
                        return fromKept(kept);
                    }},
            answer.value());
}

// A streamed response is not kept; repeats of such a request are told that the outcome is unknown.
void RequestSession::settleClaim(const CallerReply &reply)
{
    if (!claim_)
        return;
    if (reply.outcome == RequestOutcome::NotRun)
        context_->store->abandon(*claim_);
    else if (reply.outcome == RequestOutcome::Completed && !reply.streamedLength)
        static_cast<void>(context_->store->complete(*claim_, toKept(reply)));
}

} // namespace chicorywick::serving
