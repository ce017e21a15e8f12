#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/wave_plan.h>

#include <span>

namespace chicorywick::fleet {

enum class WaveState { Running, Paused, Halted, Aborting, Aborted, Completed };

std::string_view stateName(WaveState state);

/// @brief Limits of a wave that operators can set.
struct WaveLimits
{
    base::Duration drainDeadline = std::chrono::minutes(10);
    std::uint32_t haltAfterFailures = 3;

    bool operator==(const WaveLimits &) const = default;
};

struct WaveData
{
    std::string id;
    std::string pool;
    WaveState state = WaveState::Running;
    std::uint32_t total = 0;
    std::uint32_t done = 0;
    /// One bit per plan entry, set when the entry is granted or skipped.
    std::string taken;
    std::vector<std::string> active;
    std::vector<std::string> held;
    /// Ids of the first skipped instances, and the number of all skipped instances.
    std::vector<std::string> skipped;
    std::uint32_t skippedCount = 0;
    std::int64_t createdAtMs = 0;
    std::int64_t endedAtMs = 0;
    WaveLimits limits;
    std::uint32_t failures = 0;
    std::string reason;
    std::string author;

    bool operator==(const WaveData &) const = default;
};

/// @brief A maintenance wave over a pool. Methods return the changed wave, or an error if a rule
/// forbids the change.
class MaintenanceWave
{
public:
    static base::Result<MaintenanceWave> create(const WaveData &requested);
    static base::Result<MaintenanceWave> fromRow(const std::string &row);
    std::string toRow() const;
    v1::WaveRow toProto() const;

    const WaveData &data() const { return data_; }
    bool hasEnded() const;
    bool isTaken(std::uint32_t entry) const;
    bool isActive(const std::string &instance) const;

    /// @brief Number of plan entries that are neither granted nor skipped.
    std::uint32_t remaining() const;

    /// @brief Marks plan entries as started. Fails unless the wave is running.
    base::Result<MaintenanceWave> started(std::span<const PlanEntry> entries) const;

    /// @brief Marks plan entries as skipped; the wave does not reboot them. Fails unless the wave
    /// is running.
    base::Result<MaintenanceWave> withSkipped(std::span<const PlanEntry> entries) const;

    /// @brief Records that an active instance is back in service after its reboot.
    base::Result<MaintenanceWave> finished(const std::string &instance) const;

    /// @brief Records that an active instance is held. This counts as a failure and may halt the
    /// wave.
    base::Result<MaintenanceWave> withHeld(const std::string &instance) const;

    /// @brief Records that an active instance is back in service without a reboot.
    base::Result<MaintenanceWave> returned(const std::string &instance) const;

    /// @brief Counts a failure and halts a running wave that has reached its failure limit.
    MaintenanceWave withFailure() const;

    base::Result<MaintenanceWave> paused() const;
    base::Result<MaintenanceWave> resumed() const;
    base::Result<MaintenanceWave> aborting() const;

    /// @brief Ends the wave. Fails unless canEnd() is true.
    base::Result<MaintenanceWave> ended(base::TimePoint now) const;
    bool canEnd() const;
    MaintenanceWave withReason(const std::string &reason) const;

    /// @brief Expected end, extrapolated from the progress so far; 0 if unknown.
    std::int64_t expectedEndMs(base::TimePoint now) const;

    bool operator==(const MaintenanceWave &) const = default;

private:
    explicit MaintenanceWave(WaveData data)
        : data_(std::move(data))
    {}
    base::Result<MaintenanceWave> withoutActive(const std::string &instance) const;
    void markTaken(std::uint32_t entry);
    void skip(const std::string &instance);

    WaveData data_;
};

} // namespace chicorywick::fleet
