#pragma once

#include <span>
#include <string_view>

namespace chicorywick::base {

/// @brief Numbered result codes; docs/result-codes.md lists them.
enum class Code : int {
    // 1xxx: settings
    SettingsUnreadable = 1001,
    SettingsInvalid = 1002,
    ListenerUnavailable = 1003,

    // 2xxx: operator and caller input
    MalformedInput = 2001,
    InvalidArgument = 2002,
    InputTooLarge = 2003,
    NotFound = 2004,
    AlreadyExists = 2005,
    Unauthenticated = 2006,
    VersionConflict = 2007,
    UnknownMethod = 2008,
    RequestIdReused = 2009,

    // 3xxx: platform
    PlatformUnavailable = 3001,
    PlatformUnknownOutcome = 3002,
    TableConflict = 3003,
    TableTransactionTooLarge = 3004,
    ObjectNotFound = 3005,
    StaleFence = 3006,
    PlatformMalformedResponse = 3007,
    RateLimited = 3008,
    HistoryUnavailable = 3009,

    // 4xxx: serving
    NoUpstream = 4001,
    QueueFull = 4002,
    DeadlineExceeded = 4003,
    UpstreamUnreachable = 4004,
    UpstreamRefused = 4005,
    UpstreamOutcomeUnknown = 4006,
    UpstreamTruncated = 4007,
    IdempotencyInFlight = 4008,
    IdempotencyKeyReused = 4009,
    IdempotencyStoreUnavailable = 4010,
    ShuttingDown = 4011,
    UnknownService = 4012,
    ResponseTooLarge = 4013,
    CallerLimitExceeded = 4014,
    ApiKeyMissing = 4015,
    ApiKeyUnknown = 4016,
    OtherAccount = 4017,

    // 5xxx: fleet
    BudgetExhausted = 5001,
    InstanceInOtherPool = 5002,
    InvalidTransition = 5003,
    WaveNotActive = 5004,
    WaveHalted = 5005,
    PoolNotEmpty = 5006,
    InstanceBusy = 5007,
    StaleGrant = 5008,

    // 6xxx: jobs
    JobNotAccepted = 6001,
    JobAlreadyFinished = 6002,
    StaleAttempt = 6003,
    QuotaExceeded = 6004,
    NoWorkerFits = 6005,
    JobFateUnknown = 6006,
    JobCannotRun = 6007,
    NoRoomForJob = 6008,

    // 7xxx: cluster and configuration
    ConfigRejected = 7001,
    ConfigVersionConflict = 7002,
    PeerMessageRefused = 7003,
    ConfigStale = 7004,

    // 8xxx: command line
    UsageError = 8001,
    ServerUnreachable = 8002,
    WaitTimedOut = 8003,
    OutputError = 8004,
};

/// @brief How a code is reported on each interface.
struct CodeInfo
{
    Code code;
    std::string_view name;
    std::string_view twirpCode;
    int httpStatus;
    std::string_view text;
};

/// @brief All codes in ascending order.
std::span<const CodeInfo> allCodes();

/// @brief Returns the catalogue row of a code.
const CodeInfo &codeInfo(Code code);

} // namespace chicorywick::base
