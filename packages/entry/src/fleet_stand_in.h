#pragma once

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/node.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief Machines whose workers run tasks in real time, with their discovery and control. A
/// machine that is moved gets a new worker; one in the spare pool has none.
class FleetStandIn : public scheduler::WorkerOrders, public DiscoveryPort, public MachinePort
{
public:
    static constexpr scheduler::Resources kMachineSize{.cpuMillis = 16'000, .memoryMib = 32'768};
    static constexpr const char *kSparePool = "off";

    explicit FleetStandIn(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    struct MoveOrder
    {
        scheduler::Millis at = 0;
        std::string machine;
        std::string pool;
        std::int64_t fence = 0;
    };
    std::vector<MoveOrder> moves; ///< that were carried out
    std::set<std::string> maintained;
    std::map<std::string, scheduler::Millis> durations; ///< by job; a job without one lasts

    void addMachine(const std::string &name, const std::string &rack, const std::string &pool)
    {
        hosts_[name] = {.rack = rack, .pool = pool};
        addWorker(name);
    }

    void addSpareMachine(const std::string &name, const std::string &rack)
    {
        hosts_[name] = {.rack = rack, .pool = kSparePool};
    }

    int runningTasks(const std::string &job) const
    {
        int count = 0;
        for (const auto &[id, worker] : workers_)
            count += static_cast<int>(
                    std::count_if(worker.running.begin(), worker.running.end(),
                                  [&job](const auto &run) { return run.first.job == job; }));
        return count;
    }

    /// @brief Tasks that ran on two workers at the same time.
    const std::set<scheduler::TaskId> &doubleRuns() const { return doubleRuns_; }

    /// @brief True if an order to a machine had a lower fencing token than an earlier one.
    bool hasLowerFence() const { return hasLowerFence_; }

    void start(const scheduler::WorkerAddress &address, const scheduler::StartOrder &order,
               std::function<void(const scheduler::OrderReply &)> done) override
    {
        reply(address, order.fence, std::move(done), [this, order](Worker &worker) {
            for (const auto &[id, other] : workers_)
                if (other.running.contains(order.task) && &other != &worker)
                    doubleRuns_.insert(order.task);
            worker.running[order.task] = order.run;
            if (const auto duration = durations.find(order.task.job); duration != durations.end())
                after(duration->second, [this, id = worker.entry.id, order] {
                    endTask(id, order.task, order.run, scheduler::EndKind::Done);
                });
        });
    }

    void stop(const scheduler::WorkerAddress &address, const scheduler::StopOrder &order,
              std::function<void(const scheduler::OrderReply &)> done) override
    {
        reply(address, order.fence, std::move(done), [this, order](const Worker &worker) {
            endTask(worker.entry.id, order.task, order.run, scheduler::EndKind::Stopped);
        });
    }

    void pace(const scheduler::WorkerAddress &address, const scheduler::PaceOrder &order,
              std::function<void(const scheduler::OrderReply &)> done) override
    {
        reply(address, order.fence, std::move(done), [](const Worker & /*worker*/) {});
    }

    void renew(const scheduler::WorkerAddress &address, const scheduler::RenewOrder &order,
               std::function<void(const scheduler::RenewReply &)> done) override
    {
        const auto found = workers_.find(address.id);
        if (found == workers_.end())
            return after(kAnswerMs, [done] { done({}); });
        Worker &worker = found->second;
        if (!accepts(worker, order.fence))
            return after(kAnswerMs, [done] { done({.status = scheduler::OrderStatus::Fenced}); });
        std::erase_if(worker.ended,
                      [&order](const auto &end) { return end.number <= order.lastAckedEnd; });
        awaitEnd(address.id, clock() + order.waitMs, done);
    }

    void closeConnections(const scheduler::WorkerAddress & /*worker*/) override {}

    void load(Callback<WorkerList> done) override
    {
        after(kAnswerMs, [this, done = std::move(done)] { done(listing()); });
    }

    void watch(const WatchRequest &request, Callback<WorkerList> done) override
    {
        const scheduler::Millis until = clock() + request.wait.count();
        after(kAnswerMs, [this, since = request.after, until, done = std::move(done)] {
            if (version_ > since)
                return done(listing());
            if (clock() >= until)
                return done(WorkerList{.version = version_});
            watch({.after = since, .wait = std::chrono::milliseconds(until - clock())}, done);
        });
    }

    void list(Callback<std::vector<Machine>> done) override
    {
        after(kAnswerMs, [this, done = std::move(done)] {
            std::vector<Machine> machines;
            for (const auto &[name, host] : hosts_)
                machines.push_back({.name = name,
                                    .pool = host.pool,
                                    .workerId = host.worker,
                                    .state = host.state,
                                    .rack = host.rack});
            done(std::move(machines));
        });
    }

    void move(const std::string &machine, const std::string &pool, std::int64_t fence,
              scheduler::OrderValidity /*validity*/,
              std::function<void(MachineOrderStatus)> done) override
    {
        Host &host = hosts_.at(machine);
        recordFence(host, fence);
        if (host.pool != pool) {
            moves.push_back({.at = clock(), .machine = machine, .pool = pool, .fence = fence});
            if (!host.worker.empty()) {
                removed_.push_back(host.worker);
                workers_.erase(host.worker);
            }
            host.worker.clear();
            host.pool = pool;
            host.state = pool == kSparePool ? MachineState::Up : MachineState::Moving;
            ++version_;
            if (pool != kSparePool)
                after(kMoveMs, [this, machine] { addWorker(machine); });
        }
        after(kAnswerMs, [done = std::move(done)] { done(MachineOrderStatus::Accepted); });
    }

    void maintain(const std::string &machine, std::int64_t /*wave*/, std::int64_t fence,
                  scheduler::OrderValidity /*validity*/,
                  std::function<void(MachineOrderStatus)> done) override
    {
        recordFence(hosts_.at(machine), fence);
        maintained.insert(machine);
        after(kAnswerMs, [done = std::move(done)] { done(MachineOrderStatus::Accepted); });
    }

private:
    static constexpr scheduler::Millis kAnswerMs = 2;
    static constexpr scheduler::Millis kMoveMs = 300;
    static constexpr scheduler::Millis kFirstClock = 1'000;

    struct Host
    {
        std::string rack;
        std::string pool;
        std::string worker;
        MachineState state = MachineState::Up;
        std::int64_t fence = 0;
    };
    struct Worker
    {
        scheduler::WorkerEntry entry;
        scheduler::Millis bornAt = 0;
        std::int64_t fence = 0;
        std::map<scheduler::TaskId, std::int64_t> running;
        std::vector<scheduler::EndedTask> ended;
        std::int64_t lastEnd = 0;
    };

    static scheduler::Millis clock() { return systemNow().steady; }

    void after(scheduler::Millis delay, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_,
                                                                 std::chrono::milliseconds(delay));
        timer->async_wait([timer, action = std::move(action)](const auto &error) {
            if (!error)
                action();
        });
    }

    void recordFence(Host &host, std::int64_t fence)
    {
        hasLowerFence_ = hasLowerFence_ || fence < host.fence;
        host.fence = std::max(host.fence, fence);
    }

    void addWorker(const std::string &machine)
    {
        Host &host = hosts_.at(machine);
        host.worker = "w" + std::to_string(++lastWorker_);
        host.state = MachineState::Up;
        workers_[host.worker] = {.entry = {.id = host.worker,
                                           .service = host.pool,
                                           .address = host.worker,
                                           .machine = machine,
                                           .labels = {"kind", host.rack},
                                           .capacity = kMachineSize,
                                           .incarnation = clock()},
                                 .bornAt = clock()};
        ++version_;
    }

    WorkerList listing() const
    {
        WorkerList list{.removed = removed_, .version = version_};
        for (const auto &[id, worker] : workers_)
            list.present.push_back(worker.entry);
        return list;
    }

    static bool accepts(Worker &worker, std::int64_t fence)
    {
        if (fence < worker.fence)
            return false;
        worker.fence = fence;
        return true;
    }

    template <typename Action>
    void reply(const scheduler::WorkerAddress &address, std::int64_t fence,
               std::function<void(const scheduler::OrderReply &)> done, Action action)
    {
        const auto found = workers_.find(address.id);
        scheduler::OrderReply answer;
        if (found != workers_.end()) {
            answer.workerClock = clock() - found->second.bornAt + kFirstClock;
            answer.status = accepts(found->second, fence) ? scheduler::OrderStatus::Accepted
                                                          : scheduler::OrderStatus::Fenced;
            if (answer.status == scheduler::OrderStatus::Accepted)
                action(found->second);
        }
        after(kAnswerMs, [done = std::move(done), answer] { done(answer); });
    }

    void endTask(const std::string &worker, const scheduler::TaskId &task, std::int64_t run,
                 scheduler::EndKind kind)
    {
        const auto found = workers_.find(worker);
        if (found == workers_.end())
            return;
        const auto running = found->second.running.find(task);
        if (running == found->second.running.end() || running->second != run)
            return;
        found->second.running.erase(running);
        found->second.ended.push_back(
                {.number = ++found->second.lastEnd, .task = task, .run = run, .kind = kind});
    }

    // Answers once the worker has an end that is not acknowledged, or when the time is over.
    void awaitEnd(const std::string &id, scheduler::Millis until,
                  const std::function<void(const scheduler::RenewReply &)> &done)
    {
        after(kAnswerMs, [this, id, until, done] {
            const auto found = workers_.find(id);
            if (found == workers_.end())
                return done({});
            const Worker &worker = found->second;
            if (worker.ended.empty() && clock() < until)
                return awaitEnd(id, until, done);
            scheduler::RenewReply answer{.status = scheduler::OrderStatus::Accepted,
                                         .workerClock = clock() - worker.bornAt + kFirstClock,
                                         .incarnation = worker.entry.incarnation,
                                         .ended = worker.ended};
            for (const auto &[task, run] : worker.running)
                answer.running.push_back({.task = task, .run = run, .percent = 100});
            done(answer);
        });
    }

    boost::asio::io_context &loop_;
    std::map<std::string, Host> hosts_; ///< by machine
    std::map<std::string, Worker> workers_;
    std::vector<std::string> removed_;
    std::set<scheduler::TaskId> doubleRuns_;
    Version version_ = 1;
    int lastWorker_ = 0;
    bool hasLowerFence_ = false;
};

} // namespace chicorywick::entry
