#include "exchange.h"

namespace chicorywick::serving {

namespace {

Fate fateOf(const ExchangeFacts &facts)
{
    if (facts.bytesSent == 0)
        return Fate::NotSent;
    if (facts.headComplete && facts.bodyComplete)
        return facts.refusedByUpstream ? Fate::Refused : Fate::Completed;
    if (facts.tooLarge)
        return Fate::TooLarge;
    return facts.bytesReceived == 0 ? Fate::NoResponse : Fate::Truncated;
}

// An upstream is not to blame for a caller that left or for the size of a response.
AttemptOutcome outcomeOf(const ExchangeFacts &facts, Fate fate)
{
    if (fate == Fate::Completed)
        return AttemptOutcome::Succeeded;
    if (fate == Fate::Refused)
        return AttemptOutcome::Refused;
    if (facts.callerGone)
        return AttemptOutcome::Cancelled;
    if (fate == Fate::TooLarge)
        return AttemptOutcome::Succeeded;
    if (fate == Fate::NotSent && !facts.connected)
        return AttemptOutcome::Unreachable;
    return facts.timedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Failed;
}

} // namespace

Verdict classify(const ExchangeFacts &facts)
{
    const Fate fate = fateOf(facts);
    return {fate, outcomeOf(facts, fate)};
}

} // namespace chicorywick::serving
