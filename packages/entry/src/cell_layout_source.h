#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/entry/cell_layout.h>
#include <chicorywick/entry/controller.h>

#include <functional>
#include <memory>
#include <vector>

namespace chicorywick::entry {

/// @brief Parameters of the first division of a fleet into cells; times are in milliseconds.
struct CellLayoutSettings
{
    int machinesPerCell = 280;  ///< at most
    std::int64_t memoryMib = 0; ///< of this machine; larger ones plan first
    scheduler::Millis pollMs = 250;
    scheduler::Millis planDelayMs = 200;    ///< for a machine with kTypicalMemoryMib
    scheduler::Millis planJitterMs = 1'000; ///< spreads the calls of the daemons
    scheduler::Millis emptyFleetMs = 3'000; ///< how long machines are waited for

    bool operator==(const CellLayoutSettings &) const = default;
};

/// @brief Loads the stored layout of the cells, or plans and stores it when the system starts for
/// the first time.
class CellLayoutSource : public std::enable_shared_from_this<CellLayoutSource>
{
public:
    CellLayoutSource(ControllerPorts ports, std::function<scheduler::Now()> clock, base::Rng &rng,
                     CellLayoutSettings settings);

    void start(std::function<void(const CellLayout &)> done);

private:
    void load();
    void pollLater();
    void countMachines();
    void countWorkers();
    void handleCount(std::vector<CellMachine> machines);
    void store(const CellLayout &layout);
    void finish(const CellLayout &layout);

    ControllerPorts ports_;
    std::function<scheduler::Now()> clock_;
    CellLayoutSettings settings_;
    std::function<void(const CellLayout &)> done_;
    scheduler::Millis planAt_;
    scheduler::Millis startedAt_;
    std::size_t lastCount_ = 0;
};

} // namespace chicorywick::entry
