#include <chicorywick/fleet/maintenance_wave.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

constexpr std::size_t kMaxReasonLength = 200;
// The ids are for operators; an aborted wave of thousands of instances does not have to list all.
constexpr std::size_t kMaxNamedSkipped = 200;
constexpr std::uint32_t kBitsPerByte = 8;
constexpr base::Duration kMaxDrainDeadline = std::chrono::hours(24);

std::size_t bitmapBytes(std::uint32_t bits)
{
    return (bits + kBitsPerByte - 1) / kBitsPerByte;
}

base::Error notAllowed(const WaveData &data, const std::string &action)
{
    const auto code = data.endedAtMs != 0               ? base::Code::WaveNotActive
                      : data.state == WaveState::Halted ? base::Code::WaveHalted
                                                        : base::Code::InvalidTransition;
    return base::makeError(code, "wave '" + data.id + "' is " + std::string(stateName(data.state))
                                         + "; it cannot be " + action);
}

} // namespace

std::string_view stateName(WaveState state)
{
    switch (state) {
    case WaveState::Running:
        return "running";
    case WaveState::Paused:
        return "paused";
    case WaveState::Halted:
        return "halted";
    case WaveState::Aborting:
        return "aborting";
    case WaveState::Aborted:
        return "aborted";
    case WaveState::Completed:
        return "completed";
    }
    return "unknown";
}

base::Result<MaintenanceWave> MaintenanceWave::create(const WaveData &requested)
{
    BOOST_OUTCOME_TRYV(checkName("the wave id", requested.id));
    if (requested.limits.drainDeadline <= base::Duration::zero()
        || requested.limits.drainDeadline > kMaxDrainDeadline)
        return base::makeError(base::Code::InvalidArgument,
                               "drain_deadline_ms must be positive and at most 24 hours");
    WaveData data;
    data.id = requested.id;
    data.pool = requested.pool;
    data.total = requested.total;
    data.taken.assign(bitmapBytes(requested.total), '\0');
    data.createdAtMs = requested.createdAtMs;
    data.limits = requested.limits;
    data.author = requested.author;
    return MaintenanceWave(std::move(data));
}

base::Result<MaintenanceWave> MaintenanceWave::fromRow(const std::string &row)
{
    v1::WaveRow proto;
    if (!proto.ParseFromString(row) || !v1::WaveState_IsValid(proto.state()))
        return base::makeError(base::Code::PlatformMalformedResponse, "wave row");
    WaveData data;
    data.id = proto.id();
    data.pool = proto.pool();
    data.state = static_cast<WaveState>(proto.state());
    data.total = proto.total();
    data.done = proto.done();
    data.taken = proto.taken();
    data.active.assign(proto.active().begin(), proto.active().end());
    data.held.assign(proto.held().begin(), proto.held().end());
    data.skipped.assign(proto.skipped().begin(), proto.skipped().end());
    data.skippedCount = proto.skipped_count();
    data.createdAtMs = proto.created_at_ms();
    data.endedAtMs = proto.ended_at_ms();
    data.limits.drainDeadline = std::chrono::milliseconds(proto.drain_deadline_ms());
    data.limits.haltAfterFailures = proto.halt_after_failures();
    data.failures = proto.failures();
    data.reason = proto.reason();
    data.author = proto.author();
    return MaintenanceWave(std::move(data));
}

std::string MaintenanceWave::toRow() const
{
    return toProto().SerializeAsString();
}

v1::WaveRow MaintenanceWave::toProto() const
{
    v1::WaveRow proto;
    proto.set_id(data_.id);
    proto.set_pool(data_.pool);
    proto.set_state(static_cast<v1::WaveState>(data_.state));
    proto.set_total(data_.total);
    proto.set_done(data_.done);
    proto.set_taken(data_.taken);
    proto.mutable_active()->Assign(data_.active.begin(), data_.active.end());
    proto.mutable_held()->Assign(data_.held.begin(), data_.held.end());
    proto.mutable_skipped()->Assign(data_.skipped.begin(), data_.skipped.end());
    proto.set_skipped_count(data_.skippedCount);
    proto.set_created_at_ms(data_.createdAtMs);
    proto.set_ended_at_ms(data_.endedAtMs);
    proto.set_drain_deadline_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(data_.limits.drainDeadline)
                    .count());
    proto.set_halt_after_failures(data_.limits.haltAfterFailures);
    proto.set_failures(data_.failures);
    proto.set_reason(data_.reason);
    proto.set_author(data_.author);
    return proto;
}

bool MaintenanceWave::hasEnded() const
{
    return data_.state == WaveState::Completed || data_.state == WaveState::Aborted;
}

bool MaintenanceWave::isTaken(std::uint32_t entry) const
{
    const std::size_t byte = entry / kBitsPerByte;
    if (byte >= data_.taken.size())
        return true;
    return (static_cast<unsigned char>(data_.taken[byte]) >> (entry % kBitsPerByte) & 1U) != 0;
}

void MaintenanceWave::markTaken(std::uint32_t entry)
{
    char &byte = data_.taken.at(entry / kBitsPerByte);
    byte = static_cast<char>(static_cast<unsigned char>(byte) | 1U << (entry % kBitsPerByte));
}

void MaintenanceWave::skip(const std::string &instance)
{
    ++data_.skippedCount;
    if (data_.skipped.size() < kMaxNamedSkipped)
        data_.skipped.push_back(instance);
}

bool MaintenanceWave::isActive(const std::string &instance) const
{
    return std::find(data_.active.begin(), data_.active.end(), instance) != data_.active.end();
}

std::uint32_t MaintenanceWave::remaining() const
{
    const std::uint32_t started = data_.done + data_.skippedCount
                                  + static_cast<std::uint32_t>(data_.active.size())
                                  + static_cast<std::uint32_t>(data_.held.size());
    return hasEnded() || started > data_.total ? 0 : data_.total - started;
}

base::Result<MaintenanceWave> MaintenanceWave::started(std::span<const PlanEntry> entries) const
{
    if (data_.state != WaveState::Running)
        return notAllowed(data_, "continued");
    MaintenanceWave next = *this;
    for (const PlanEntry &entry : entries) {
        if (next.isTaken(entry.number))
            return base::makeError(base::Code::InvalidTransition,
                                   "wave '" + data_.id + "' has already started '"
                                           + entry.instance.id + "'");
        next.markTaken(entry.number);
        next.data_.active.push_back(entry.instance.id);
    }
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::withSkipped(std::span<const PlanEntry> entries) const
{
    if (data_.state != WaveState::Running)
        return notAllowed(data_, "continued");
    MaintenanceWave next = *this;
    for (const PlanEntry &entry : entries) {
        if (next.isTaken(entry.number))
            continue;
        next.markTaken(entry.number);
        next.skip(entry.instance.id);
    }
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::withoutActive(const std::string &instance) const
{
    MaintenanceWave next = *this;
    if (std::erase(next.data_.active, instance) == 0)
        return base::makeError(base::Code::InvalidTransition, "instance '" + instance
                                                                      + "' is not active in wave '"
                                                                      + data_.id + "'");
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::finished(const std::string &instance) const
{
    BOOST_OUTCOME_TRY(next, withoutActive(instance));
    ++next.data_.done;
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::withHeld(const std::string &instance) const
{
    BOOST_OUTCOME_TRY(next, withoutActive(instance));
    next.data_.held.push_back(instance);
    return next.withFailure();
}

base::Result<MaintenanceWave> MaintenanceWave::returned(const std::string &instance) const
{
    BOOST_OUTCOME_TRY(next, withoutActive(instance));
    next.skip(instance);
    return next;
}

MaintenanceWave MaintenanceWave::withFailure() const
{
    MaintenanceWave next = *this;
    ++next.data_.failures;
    const bool isOverLimit = next.data_.failures >= data_.limits.haltAfterFailures;
    if (isOverLimit && data_.state == WaveState::Running) {
        next.data_.state = WaveState::Halted;
        next.data_.reason = "halted after " + std::to_string(next.data_.failures) + " failures";
    }
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::paused() const
{
    if (data_.state != WaveState::Running)
        return notAllowed(data_, "paused");
    MaintenanceWave next = *this;
    next.data_.state = WaveState::Paused;
    next.data_.reason = "paused by an operator";
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::resumed() const
{
    if (data_.state != WaveState::Paused && data_.state != WaveState::Halted)
        return notAllowed(data_, "resumed");
    MaintenanceWave next = *this;
    next.data_.state = WaveState::Running;
    next.data_.failures = 0;
    next.data_.reason.clear();
    return next;
}

base::Result<MaintenanceWave> MaintenanceWave::aborting() const
{
    if (hasEnded() || data_.state == WaveState::Aborting)
        return notAllowed(data_, "aborted");
    MaintenanceWave next = *this;
    next.data_.state = WaveState::Aborting;
    next.data_.reason = "aborted by an operator";
    return next;
}

bool MaintenanceWave::canEnd() const
{
    if (hasEnded() || !data_.active.empty())
        return false;
    return data_.state == WaveState::Aborting || remaining() == 0;
}

base::Result<MaintenanceWave> MaintenanceWave::ended(base::TimePoint now) const
{
    if (!canEnd())
        return notAllowed(data_, "ended");
    MaintenanceWave next = *this;
    const bool isAborted = data_.state == WaveState::Aborting;
    next.data_.state = isAborted ? WaveState::Aborted : WaveState::Completed;
    next.data_.endedAtMs = base::toMillis(now);
    next.data_.taken.clear();
    if (!isAborted)
        next.data_.reason.clear();
    return next;
}

MaintenanceWave MaintenanceWave::withReason(const std::string &reason) const
{
    MaintenanceWave next = *this;
    next.data_.reason = reason.substr(0, kMaxReasonLength);
    return next;
}

std::int64_t MaintenanceWave::expectedEndMs(base::TimePoint now) const
{
    if (hasEnded())
        return data_.endedAtMs;
    if (data_.done == 0 || data_.state != WaveState::Running)
        return 0;
    const std::int64_t nowMs = base::toMillis(now);
    const std::int64_t left = remaining() + static_cast<std::int64_t>(data_.active.size());
    return nowMs + (nowMs - data_.createdAtMs) * left / data_.done;
}

} // namespace chicorywick::fleet
