#pragma once

#include "fake_table.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/records.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief Records orders and accepts them. The first renewal of a worker is answered, later ones
/// stay pending.
class RecordingWorkers : public scheduler::WorkerOrders
{
public:
    explicit RecordingWorkers(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    std::vector<scheduler::TaskId> started;
    scheduler::OrderValidity startValidity; ///< of the latest start
    std::vector<scheduler::TaskId> stopped;
    std::vector<scheduler::RunningTask> running; ///< listed in replies to renewals

    void start(const scheduler::WorkerAddress & /*worker*/, const scheduler::StartOrder &order,
               std::function<void(const scheduler::OrderReply &)> done) override
    {
        started.push_back(order.task);
        startValidity = order.validity;
        accept(std::move(done));
    }
    void stop(const scheduler::WorkerAddress & /*worker*/, const scheduler::StopOrder &order,
              std::function<void(const scheduler::OrderReply &)> done) override
    {
        stopped.push_back(order.task);
        accept(std::move(done));
    }
    void pace(const scheduler::WorkerAddress & /*worker*/, const scheduler::PaceOrder & /*order*/,
              std::function<void(const scheduler::OrderReply &)> done) override
    {
        accept(std::move(done));
    }
    void renew(const scheduler::WorkerAddress & /*worker*/, const scheduler::RenewOrder &order,
               std::function<void(const scheduler::RenewReply &)> done) override
    {
        if (order.waitMs > 0)
            return;
        boost::asio::post(loop_, [done = std::move(done), listed = running] {
            done({.status = scheduler::OrderStatus::Accepted,
                  .workerClock = kWorkerClock,
                  .running = listed});
        });
    }
    void closeConnections(const scheduler::WorkerAddress & /*worker*/) override {}

    bool hasStarted(const std::string &job) const { return contains(started, job); }
    bool hasStopped(const std::string &job) const { return contains(stopped, job); }

private:
    static constexpr scheduler::Millis kWorkerClock = 5'000;

    static bool contains(const std::vector<scheduler::TaskId> &tasks, const std::string &job)
    {
        return std::any_of(tasks.begin(), tasks.end(),
                           [&job](const scheduler::TaskId &task) { return task.job == job; });
    }

    void accept(std::function<void(const scheduler::OrderReply &)> done)
    {
        boost::asio::post(loop_, [done = std::move(done)] {
            done({.status = scheduler::OrderStatus::Accepted, .workerClock = kWorkerClock});
        });
    }

    boost::asio::io_context &loop_;
};

/// @brief One worker. The answer to load() can be held back. A watch that waits gets no answer.
class FakeDiscovery : public DiscoveryPort
{
public:
    bool isHeld = false;
    WorkerList change; ///< the answer to watches that do not wait

    void load(Callback<WorkerList> done) override
    {
        held_ = std::move(done);
        if (!isHeld)
            release();
    }
    void release()
    {
        WorkerList list;
        list.present.push_back(worker());
        std::exchange(held_, {})(std::move(list));
    }
    void watch(const WatchRequest &request, Callback<WorkerList> done) override
    {
        if (request.wait.count() == 0)
            done(change);
    }

    static scheduler::WorkerEntry worker()
    {
        return {.id = "w",
                .service = "s",
                .address = "10.0.0.1:1",
                .machine = "m",
                .capacity = {.cpuMillis = 16'000, .memoryMib = 16'000}};
    }

private:
    Callback<WorkerList> held_;
};

class SilentMachines : public MachinePort
{
public:
    void list(Callback<std::vector<Machine>> /*done*/) override {}
    void move(const std::string & /*machine*/, const std::string & /*pool*/, std::int64_t /*fence*/,
              scheduler::OrderValidity /*validity*/,
              std::function<void(MachineOrderStatus)> /*done*/) override
    {}
    void maintain(const std::string & /*machine*/, std::int64_t /*wave*/, std::int64_t /*fence*/,
                  scheduler::OrderValidity /*validity*/,
                  std::function<void(MachineOrderStatus)> /*done*/) override
    {}
};

class SilentOperators : public OperatorPort
{
public:
    void load(const http::TransferPointer & /*transfer*/, Callback<OperatorState> /*done*/) override
    {}
    void watch(const WatchRequest & /*request*/, Callback<OperatorState> /*done*/) override {}
    void reportWave(std::int64_t /*number*/, bool /*isCompleted*/, Callback<bool> /*done*/) override
    {}
    base::Result<Configuration> decode(const std::string & /*configurationText*/) const override
    {
        return base::makeError(base::Code::ConfigRejected);
    }
};

/// @brief A controller with one worker, an in-memory store and a clock that the test sets.
struct ControllerFixture
{
    static constexpr scheduler::Millis kRetentionMs = 60'000;
    static constexpr scheduler::Millis kMaxJobsAgeMs = 2'000;
    /// Above the age of the view, as the worker answers one renewal only.
    static constexpr scheduler::Millis kUnresponsiveAfterMs = 2 * kMaxJobsAgeMs;
    static constexpr Version kFence = 1'000; ///< above the versions of rows of earlier leaders

    boost::asio::io_context loop;
    FakeTable table;
    RecordingWorkers workers{loop};
    FakeDiscovery discovery;
    SilentMachines machines;
    SilentOperators operators;
    scheduler::Millis now = 10'000;
    CellRows rows{0, 1};
    std::unique_ptr<Controller> controller;

    // Starts a controller of a new term; stored rows stay.
    void startTerm()
    {
        table.watches.clear();
        controller = std::make_unique<Controller>(
                ControllerPorts{.loop = &loop,
                                .table = &table,
                                .discovery = &discovery,
                                .orders = &workers,
                                .machines = &machines,
                                .operators = &operators},
                ControllerHooks{
                        .clock = [this] { return scheduler::Now{.steady = now, .wall = now}; },
                        .maySendOrders = [] { return true; },
                        .orderValidity = [] { return scheduler::OrderValidity(); },
                        .onFenced = [] {}},
                Cell{.layout = CellLayout(), .number = 0},
                scheduler::SchedulerSettings{.fence = kFence,
                                             .unresponsiveAfterMs = kUnresponsiveAfterMs,
                                             .retentionMs = kRetentionMs,
                                             .maxJobsAgeMs = kMaxJobsAgeMs});
        controller->configure({.version = 1,
                               .routes = {{.host = "h",
                                           .pathPrefix = "/q/",
                                           .policy = {.name = "q", .service = "s"}}}});
        controller->start();
        run();
    }

    // Longer than the pauses of the controller's tick, journal and watches.
    void run()
    {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(250));
    }

    Row jobRow(const std::string &id) const
    {
        scheduler::JobSpec spec{.id = id, .queue = "q", .payload = "p", .submittedWall = now};
        spec.steps.push_back({.taskCount = 1, .demand = {.cpuMillis = 100, .memoryMib = 100}});
        return {.key = rows.jobRow(id), .value = encode(spec), .version = kFence + 1};
    }
    Row cancelRow(const std::string &id) const
    {
        return {.key = rows.cancelRow(id), .value = "{}", .version = kFence + 2};
    }

    void store(const Row &row)
    {
        table.transact({.writes = {{.key = row.key, .value = row.value}}},
                       std::chrono::milliseconds(1), [](const auto &) {});
    }

    // Answers the pending watch of the jobs table.
    void answerWatch(base::Result<RowPage> page)
    {
        const auto done = table.watches.extract(rows.jobsTable());
        done.mapped()(std::move(page));
        run();
    }
};

} // namespace chicorywick::entry
