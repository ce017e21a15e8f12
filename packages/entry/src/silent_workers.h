#pragma once

#include <chicorywick/scheduler/worker_orders.h>

#include <functional>

namespace chicorywick::entry {

/// @brief Workers that never reply.
class SilentWorkers : public scheduler::WorkerOrders
{
public:
    void start(const scheduler::WorkerAddress & /*worker*/, const scheduler::StartOrder & /*order*/,
               std::function<void(const scheduler::OrderReply &)> /*done*/) override
    {}
    void stop(const scheduler::WorkerAddress & /*worker*/, const scheduler::StopOrder & /*order*/,
              std::function<void(const scheduler::OrderReply &)> /*done*/) override
    {}
    void pace(const scheduler::WorkerAddress & /*worker*/, const scheduler::PaceOrder & /*order*/,
              std::function<void(const scheduler::OrderReply &)> /*done*/) override
    {}
    void renew(const scheduler::WorkerAddress & /*worker*/, const scheduler::RenewOrder & /*order*/,
               std::function<void(const scheduler::RenewReply &)> /*done*/) override
    {}
    void closeConnections(const scheduler::WorkerAddress & /*worker*/) override {}
};

} // namespace chicorywick::entry
