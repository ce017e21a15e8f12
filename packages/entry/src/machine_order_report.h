#pragma once

#include <chicorywick/entry/machine_order_hold.h>

#include <optional>

namespace chicorywick::entry {

/// @brief Logs when the machine orders of a cell begin and cease to wait, and for what reason.
class MachineOrderReport
{
public:
    explicit MachineOrderReport(int cell)
        : cell_(cell)
    {}

    void update(const std::optional<MachineOrderHold> &hold, scheduler::Millis now);

private:
    int cell_;
    std::optional<MachineOrderHold> hold_;
    scheduler::Millis since_ = 0;
};

} // namespace chicorywick::entry
