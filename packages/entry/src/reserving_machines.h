#pragma once

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/machine_order_hold.h>
#include <chicorywick/entry/ports.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Machine control for a leader, which reserves a machine in its row before it orders it.
/// Moves wait for the row, which takes one write for all of them.
class ReservingMachines : public MachinePort, public std::enable_shared_from_this<ReservingMachines>
{
public:
    using Done = std::function<void(MachineOrderStatus)>;

    ReservingMachines(MachinePort &control, std::function<scheduler::Now()> clock,
                      MachineOrderHooks hooks);

    void list(Callback<std::vector<Machine>> done) override { control_.list(std::move(done)); }

    /// @brief Moves a machine once it is reserved; Unavailable if that takes too long.
    void move(const std::string &machine, const std::string &pool, std::int64_t fence,
              scheduler::OrderValidity validity, Done done) override;

    /// @brief Requests maintenance of a machine; Unavailable if it is not reserved.
    void maintain(const std::string &machine, std::int64_t wave, std::int64_t fence,
                  scheduler::OrderValidity validity, Done done) override;

    /// @brief Sends the waiting moves whose machines are reserved now, and gives up old ones.
    void update();

    /// @brief The moves whose reservations take unusually long, if any.
    std::optional<MachineOrderHold> hold() const;

    void stop() { waiting_.clear(); }

private:
    struct Move
    {
        std::string machine;
        std::string pool;
        std::int64_t fence = 0;
        scheduler::Millis requestedAt = 0;
        Done done;
    };

    void send(const Move &move, const scheduler::OrderValidity &validity);
    Done recorded(const std::string &machine, Done done);

    MachinePort &control_;
    std::function<scheduler::Now()> clock_;
    MachineOrderHooks hooks_;
    std::vector<Move> waiting_;
};

} // namespace chicorywick::entry
