#include "exchange.h"

namespace chicorywick::serving {

namespace {

Disposition dispositionOf(const ExchangeFacts &facts)
{
    if (facts.bytesSent == 0)
        return Disposition::NotSent;
    if (facts.headComplete && facts.bodyComplete)
        return facts.refusedByUpstream ? Disposition::Refused : Disposition::Completed;
    if (facts.tooLarge)
        return Disposition::TooLarge;
    return facts.bytesReceived == 0 ? Disposition::NoResponse : Disposition::Truncated;
}

// A caller that disconnects and a response that is too large do not count as upstream failures.
AttemptOutcome outcomeOf(const ExchangeFacts &facts, Disposition disposition)
{
    if (disposition == Disposition::Completed)
        return AttemptOutcome::Succeeded;
    if (disposition == Disposition::Refused)
        return AttemptOutcome::Refused;
    if (facts.callerDisconnected)
        return AttemptOutcome::Cancelled;
    if (disposition == Disposition::TooLarge)
        return AttemptOutcome::Succeeded;
    if (disposition == Disposition::NotSent && !facts.connected)
        return AttemptOutcome::Unreachable;
    return facts.timedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Failed;
}

} // namespace

ExchangeResult classify(const ExchangeFacts &facts)
{
    const Disposition disposition = dispositionOf(facts);
    return {disposition, outcomeOf(facts, disposition)};
}

} // namespace chicorywick::serving
