#pragma once

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace chicorywick::base {

/// @brief Numbered log events; docs/log-events.md lists them.
enum class Event : int {
    // 1xxx: life cycle
    DaemonStarted = 1001,
    DaemonDraining = 1002,
    DaemonStopped = 1003,
    ListenerOpened = 1004,
    SettingsRefused = 1005,
    SettingsReloaded = 1006,
    LogLinesDropped = 1007,
    LoopDelayed = 1008,

    // 2xxx: operator calls
    OperatorCallAccepted = 2001,
    OperatorCallRefused = 2002,

    // 3xxx: platform
    PlatformUnreachable = 3001,
    PlatformRecovered = 3002,
    CommitOutcomeResolved = 3003,
    PlatformReadSlow = 3004,

    // 4xxx: serving
    RequestRefused = 4001,
    RequestOutcomeUnknown = 4002,
    UpstreamEjected = 4003,
    UpstreamReinstated = 4004,
    UpstreamLeaving = 4005,
    RoutingPublished = 4006,
    ConnectionClosed = 4007,

    // 5xxx: fleet
    GrantTaken = 5001,
    GrantReturned = 5002,
    GrantRefused = 5003,
    InstanceMoved = 5004,
    InstanceStep = 5005,
    InstanceHeld = 5006,
    WaveStarted = 5007,
    WaveFinished = 5008,
    WaveHalted = 5009,
    WaveWaiting = 5010,
    MachineOrdered = 5011,
    PoolState = 5012,
    MachineTransferred = 5013,
    MachineOrdersHeld = 5014,
    MachineOrdersResumed = 5015,

    // 6xxx: jobs
    JobAccepted = 6001,
    JobStarted = 6002,
    JobFinished = 6003,
    JobAttemptLost = 6004,
    JobFateUnknown = 6005,
    WorkerQuarantined = 6006,
    JobPreempted = 6007,
    JobThrottled = 6008,
    WorkerJoined = 6009,
    WorkerLeaving = 6010,
    WorkerGone = 6011,
    JobSubmitted = 6012,
    JobRefused = 6013,
    JobCancelled = 6014,
    WorkerLost = 6015,
    JobGivenUp = 6016,
    JobWaiting = 6017,
    JobStopSent = 6018,
    AccountLimited = 6019,
    JobsDeferred = 6020,

    // 7xxx: cluster and configuration
    MemberJoined = 7001,
    MemberSuspected = 7002,
    MemberDead = 7003,
    ConfigApplied = 7004,
    ConfigRefused = 7005,
    PeerMessageRefused = 7006,
    OwnershipTaken = 7007,
    ConfigFromPeers = 7008,
    LeadershipLost = 7009,
    LeadershipReady = 7010,
    CellsPlanned = 7011,
    ViewOutdated = 7012,
    ViewCurrent = 7013,
    AnnouncementLost = 7014,
    ApiKeyAmbiguous = 7015,
    ApiKeyRefused = 7016,
    ConfigQueryFailed = 7017,
};

enum class Severity { Info, Warning, Error };

/// @brief Lines of high priority are not dropped because of the number of normal ones.
enum class LogPriority { Normal, High };

/// @brief The catalogue row of an event.
struct EventInfo
{
    Event event;
    Severity severity;
    std::string_view name;
    std::string_view text;
};

/// @brief All events in ascending order.
std::span<const EventInfo> allEvents();

/// @brief The catalogue row of an event.
const EventInfo &eventInfo(Event event);

/// @brief A key-value field of a log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// @brief Formats a log line: number, name, then key=value fields, quoted where needed.
std::string formatEvent(Event event, std::initializer_list<LogField> fields);

/// @brief Receives events in place of glog.
using EventWriter =
        std::function<void(Event, std::initializer_list<LogField>, LogPriority priority)>;

/// @brief Sets the event writer. Call it once, before any thread logs; an empty writer selects
/// glog.
void setEventWriter(EventWriter writer);

/// @brief Passes an event to the event writer or to glog.
void logEvent(Event event, std::initializer_list<LogField> fields = {},
              LogPriority priority = LogPriority::Normal);

} // namespace chicorywick::base
