#include <chicorywick/base/log_event.h>

#include <glog/logging.h>

#include <algorithm>
#include <array>

namespace chicorywick::base {

namespace {

constexpr auto kEvents = std::to_array<EventInfo>({
        {Event::DaemonStarted, Severity::Info, "daemon.started", "all listeners are open"},
        {Event::DaemonDraining, Severity::Info, "daemon.draining",
         "a stop was requested; readiness fails and requests in flight finish"},
        {Event::DaemonStopped, Severity::Info, "daemon.stopped", "the process exits"},
        {Event::ListenerOpened, Severity::Info, "listener.opened",
         "a listener accepts connections"},
        {Event::SettingsRefused, Severity::Error, "settings.refused", "the settings are invalid"},
        {Event::SettingsReloaded, Severity::Info, "settings.reloaded",
         "the settings file was read again"},
        {Event::LogLinesDropped, Severity::Warning, "log.dropped",
         "log lines were left out because of their number or a full pipe"},
        {Event::LoopDelayed, Severity::Warning, "loop.delayed",
         "a timer was handled late: the events before it took too long"},
        {Event::OperatorCallAccepted, Severity::Info, "operator.accepted",
         "an operator call was carried out"},
        {Event::OperatorCallRefused, Severity::Warning, "operator.refused",
         "an operator call was refused"},
        {Event::PlatformUnreachable, Severity::Warning, "platform.unreachable",
         "a platform service stopped answering"},
        {Event::PlatformRecovered, Severity::Info, "platform.recovered",
         "a platform service answers again"},
        {Event::CommitOutcomeResolved, Severity::Info, "platform.commit-resolved",
         "the outcome of a commit whose answer was lost is known"},
        {Event::PlatformReadSlow, Severity::Warning, "platform.read-slow",
         "an answer of the store took long to transfer, or was given up after a part of it"},
        {Event::RequestRefused, Severity::Warning, "request.refused",
         "a caller's request was refused without running"},
        {Event::RequestOutcomeUnknown, Severity::Warning, "request.unknown",
         "a request was sent and its outcome is not known"},
        {Event::UpstreamEjected, Severity::Warning, "upstream.ejected",
         "an upstream was taken out of routing after failures"},
        {Event::UpstreamReinstated, Severity::Info, "upstream.reinstated",
         "an ejected upstream is routed to again"},
        {Event::UpstreamLeaving, Severity::Info, "upstream.leaving",
         "an upstream gets no new work"},
        {Event::RoutingPublished, Severity::Info, "routing.published",
         "a new routing snapshot is in use"},
        {Event::ConnectionClosed, Severity::Warning, "connection.closed",
         "connections were closed, or requests refused, to keep a limit of their listener"},
        {Event::GrantTaken, Severity::Info, "grant.taken",
         "a disruption of an instance was granted"},
        {Event::GrantReturned, Severity::Info, "grant.returned",
         "the instance is healthy and its grant was returned"},
        {Event::GrantRefused, Severity::Info, "grant.refused",
         "the budget permits no further disruption"},
        {Event::InstanceMoved, Severity::Info, "instance.moved", "an instance moved between pools"},
        {Event::InstanceStep, Severity::Info, "instance.step",
         "an instance entered the next maintenance state"},
        {Event::InstanceHeld, Severity::Warning, "instance.held",
         "an instance failed verification and is held"},
        {Event::WaveStarted, Severity::Info, "wave.started", "a maintenance wave started"},
        {Event::WaveFinished, Severity::Info, "wave.finished", "a maintenance wave ended"},
        {Event::WaveHalted, Severity::Error, "wave.halted",
         "a maintenance wave stopped because of its failure rate"},
        {Event::WaveWaiting, Severity::Info, "wave.waiting", "a maintenance wave waits"},
        {Event::MachineOrdered, Severity::Info, "machine.ordered",
         "maintenance or a pool move of a machine was requested"},
        {Event::PoolState, Severity::Info, "pool.state",
         "machines and CPU of a pool in a cell, and what its work asks for"},
        {Event::MachineTransferred, Severity::Info, "machine.transferred",
         "a machine belongs to another cell from now on"},
        {Event::MachineOrdersHeld, Severity::Info, "machine.orders-held",
         "machine orders of a leader wait for the reason and the time given"},
        {Event::MachineOrdersResumed, Severity::Info, "machine.orders-resumed",
         "the reason no longer holds back machine orders"},
        {Event::JobAccepted, Severity::Info, "job.accepted", "a job is recorded"},
        {Event::JobStarted, Severity::Info, "job.started", "an attempt of a job started"},
        {Event::JobFinished, Severity::Info, "job.finished", "a job ended"},
        {Event::JobAttemptLost, Severity::Warning, "job.attempt-lost",
         "an attempt ended without a result"},
        {Event::JobFateUnknown, Severity::Error, "job.fate-unknown",
         "a non-idempotent job's attempt has an unknown outcome"},
        {Event::WorkerQuarantined, Severity::Warning, "worker.quarantined",
         "a worker that fails its tasks gets no more"},
        {Event::JobPreempted, Severity::Info, "job.preempted",
         "a task was checkpointed to make room for urgent work"},
        {Event::JobThrottled, Severity::Warning, "job.throttled",
         "a task that exceeds its resources was throttled"},
        {Event::WorkerJoined, Severity::Info, "worker.joined", "discovery lists a new worker"},
        {Event::WorkerLeaving, Severity::Info, "worker.leaving",
         "a worker is draining and gets no new tasks"},
        {Event::WorkerGone, Severity::Info, "worker.gone",
         "a worker is neither listed nor reachable"},
        {Event::JobSubmitted, Severity::Info, "job.submitted", "a submission was stored"},
        {Event::JobRefused, Severity::Warning, "job.refused", "a submission was not stored"},
        {Event::JobCancelled, Severity::Info, "job.cancelled", "a cancellation was stored"},
        {Event::WorkerLost, Severity::Warning, "worker.lost",
         "a worker ended or fell silent while it ran tasks"},
        {Event::JobGivenUp, Severity::Warning, "job.given-up",
         "a job failed because one of its tasks crashes the workers that start it"},
        {Event::JobWaiting, Severity::Warning, "job.waiting",
         "a task of a lasting job has waited for seconds; the counts are workers of its service"},
        {Event::JobStopSent, Severity::Info, "job.stop-sent",
         "a stop of a run was sent; away and budget are tasks of its step, for lasting jobs"},
        {Event::AccountLimited, Severity::Info, "account.limited",
         "tasks of a client account wait because it uses its limit in the cell"},
        {Event::JobsDeferred, Severity::Info, "jobs.deferred",
         "jobs of a service wait for others because it cannot end all of them in time"},
        {Event::MemberJoined, Severity::Info, "member.joined", "an entry instance joined"},
        {Event::MemberSuspected, Severity::Warning, "member.suspected",
         "an entry instance does not answer"},
        {Event::MemberDead, Severity::Warning, "member.dead",
         "an entry instance was declared dead"},
        {Event::ConfigApplied, Severity::Info, "config.applied",
         "a configuration version is in force"},
        {Event::ConfigRefused, Severity::Warning, "config.refused",
         "a configuration change was refused"},
        {Event::PeerMessageRefused, Severity::Warning, "peer.refused",
         "a message of another entry instance was refused"},
        {Event::OwnershipTaken, Severity::Info, "ownership.taken",
         "this daemon became the leader and loads the stored jobs"},
        {Event::ConfigFromPeers, Severity::Warning, "config.from-peers",
         "the configuration came from peers because the platform did not answer in time"},
        {Event::LeadershipLost, Severity::Warning, "leadership.lost",
         "this daemon no longer schedules jobs"},
        {Event::LeadershipReady, Severity::Info, "leadership.ready",
         "the stored jobs are loaded and scheduled"},
        {Event::CellsPlanned, Severity::Info, "cells.planned",
         "this daemon divided the fleet into cells"},
        {Event::ViewOutdated, Severity::Warning, "view.outdated",
         "stored rows of a kind were last known in full too long ago"},
        {Event::ViewCurrent, Severity::Info, "view.current",
         "the rows are known again; the fields describe the answer that ended the delay"},
        {Event::AnnouncementLost, Severity::Warning, "announcement.lost",
         "the leader of a cell did not confirm a stored row; its watch shows the row"},
        {Event::ApiKeyAmbiguous, Severity::Warning, "account.key-ambiguous",
         "an API key is listed more than once; it belongs to the first account that lists it"},
        {Event::ApiKeyRefused, Severity::Info, "account.key-refused",
         "a request was refused because of its API key or its account"},
        {Event::ConfigQueryFailed, Severity::Warning, "config.query-failed",
         "another entry instance did not send its configuration"},
});

EventWriter &eventWriter()
{
    static EventWriter writer;
    return writer;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return text + '"';
}

} // namespace

std::span<const EventInfo> allEvents()
{
    return kEvents;
}

const EventInfo &eventInfo(Event event)
{
    const auto *found =
            std::find_if(kEvents.begin(), kEvents.end(),
                         [event](const EventInfo &info) { return info.event == event; });
    return found != kEvents.end() ? *found : kEvents.front();
}

std::string formatEvent(Event event, std::initializer_list<LogField> fields)
{
    std::string line = "CW" + std::to_string(static_cast<int>(event)) + ' ';
    line += eventInfo(event).name;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += needsQuotes(field.value) ? quoted(field.value) : field.value;
    }
    return line;
}

void setEventWriter(EventWriter writer)
{
    eventWriter() = std::move(writer);
}

void logEvent(Event event, std::initializer_list<LogField> fields, LogPriority priority)
{
    if (eventWriter())
        return eventWriter()(event, fields, priority);
    const std::string line = formatEvent(event, fields);
    switch (eventInfo(event).severity) {
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace chicorywick::base
