#include "fake_workers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace chicorywick::scheduler {

namespace {

constexpr Millis kNetworkDelayMs = 1;
constexpr Millis kCallTimeoutMs = 700;
constexpr Millis kMaxExtraDelayMs = 5'000;
constexpr Millis kStopMs = 50;
// A capacity that has shrunk counts after the contact time of 3 s and one heartbeat.
constexpr Millis kShrinkNoticeMs = 4'000;
// The clock of a worker that has been restarted under its id shows this time at first.
constexpr Millis kClockAtRestartMs = 20;

} // namespace

void VirtualLoop::after(Millis delay, std::function<void()> action)
{
    events_.push({.time = now_ + delay, .sequence = sequence_++, .action = std::move(action)});
}

void VirtualLoop::runUntil(Millis time)
{
    while (!events_.empty() && events_.top().time <= time) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.time);
        event.action();
    }
    now_ = std::max(now_, time);
}

WorkerEntry FakeWorkers::add(const std::string &id, const std::string &service, Resources capacity,
                             std::vector<std::string> labels)
{
    Worker &worker = workers_[id];
    for (const auto &[task, run] : worker.running)
        ++losses_[task];
    worker = {};
    worker.generation = ++lastGeneration_;
    worker.entry = {.id = id,
                    .service = service,
                    .address = "10.0.0.1:80",
                    .machine = "m-" + id,
                    .labels = std::move(labels),
                    .capacity = capacity,
                    .incarnation = loop_.now()};
    if (!formerIds_.insert(id).second)
        worker.clockOrigin = loop_.now() - kClockAtRestartMs;
    return worker.entry;
}

void FakeWorkers::restart(const std::string &id, Millis delay, bool isSilent,
                          const std::function<void(const WorkerEntry &)> &onBack)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return;
    const WorkerEntry entry = found->second.entry;
    for (const auto &[task, run] : found->second.running)
        ++losses_[task];
    const auto resets = std::move(found->second.resets);
    workers_.erase(found);
    if (!isSilent)
        for (const auto &reset : resets)
            reset();
    loop_.after(delay, [this, entry, onBack] {
        onBack(add(entry.id, entry.service, entry.capacity, entry.labels));
    });
}

void FakeWorkers::crash(const std::string &id)
{
    workers_.erase(id);
}

void FakeWorkers::crashSoon(const std::string &id, const TaskId &cause)
{
    loop_.after(crashDelayMs, [this, id, cause, generation = workers_.at(id).generation] {
        const auto found = workers_.find(id);
        if (found == workers_.end() || found->second.generation != generation)
            return;
        ++crashes_[cause];
        const WorkerEntry entry = found->second.entry;
        workers_.erase(found);
        loop_.after(downMs, [this, entry] {
            const WorkerEntry restarted =
                    add(entry.id, entry.service, entry.capacity, entry.labels);
            if (onRestart)
                onRestart(restarted);
        });
    });
}

void FakeWorkers::setReachable(const std::string &id, bool isReachable)
{
    workers_.at(id).isReachable = isReachable;
}

void FakeWorkers::setGuardsCapacity(const std::string &id, bool isGuarded)
{
    workers_.at(id).isCapacityGuarded = isGuarded;
}

WorkerEntry FakeWorkers::setCapacity(const std::string &id, Resources capacity)
{
    Worker &worker = workers_.at(id);
    worker.formerCapacities.emplace_back(loop_.now(), worker.entry.capacity);
    worker.entry.capacity = capacity;
    return worker.entry;
}

// A start order that is executed late was sent for the capacity at that time.
bool FakeWorkers::hasRoom(const Worker &worker, const Resources &used) const
{
    return worker.entry.capacity.covers(used)
           || std::any_of(worker.formerCapacities.begin(), worker.formerCapacities.end(),
                          [this, &used](const auto &former) {
                              return former.first + kShrinkNoticeMs >= orderSentAt_
                                     && former.second.covers(used);
                          });
}

FakeWorkers::Worker *FakeWorkers::findReachable(const WorkerAddress &address)
{
    const auto found = workers_.find(address.id);
    if (found == workers_.end() || !found->second.isReachable)
        return nullptr;
    expire(found->second);
    return &found->second;
}

void FakeWorkers::expire(Worker &worker)
{
    if (worker.leaseUntil == 0 || clockOf(worker) <= worker.leaseUntil)
        return;
    while (!worker.running.empty())
        end(worker, worker.running.begin()->first, EndKind::LeaseExpired);
    worker.lastEndAtLapse = worker.nextEnd - 1;
}

void FakeWorkers::end(Worker &worker, const TaskId &task, EndKind kind, bool isLate)
{
    const auto found = worker.running.find(task);
    if (found == worker.running.end())
        return;
    worker.ended.push_back({.number = worker.nextEnd++,
                            .task = task,
                            .run = found->second.run,
                            .kind = kind,
                            .checkpoint = found->second.checkpoint});
    worker.tombstones[task] = std::max(worker.tombstones[task], found->second.run);
    const Millis startedAt = found->second.startedAt;
    worker.running.erase(found);
    if (onEnded)
        onEnded(worker.entry.id, worker.ended.back(), startedAt, isLate);
    for (const auto &wake : std::exchange(worker.waiting, {}))
        wake();
}

// A lease beyond the longest one is shortened to it.
void FakeWorkers::extendLease(Worker &worker, Millis leaseUntil)
{
    worker.leaseUntil =
            std::max(worker.leaseUntil, std::min(leaseUntil, clockOf(worker) + maxLeaseMs));
}

OrderReply FakeWorkers::executeStart(Worker &worker, const StartOrder &order)
{
    if (order.fence < worker.fence)
        return {.status = OrderStatus::Fenced, .workerClock = clockOf(worker)};
    worker.fence = order.fence;
    if (order.leaseUntil <= clockOf(worker))
        return {.status = OrderStatus::ExpiredLease, .workerClock = clockOf(worker)};
    extendLease(worker, order.leaseUntil);
    const auto present = worker.running.find(order.task);
    if (present != worker.running.end() && present->second.run == order.run)
        return {.status = OrderStatus::Accepted, .workerClock = clockOf(worker)};
    if (worker.tombstones.contains(order.task) && worker.tombstones[order.task] >= order.run)
        return {.status = OrderStatus::StaleRun, .workerClock = clockOf(worker)};
    Resources used;
    for (const auto &[task, run] : worker.running)
        used += demands_[task.job];
    used += demands_[order.task.job];
    if (!worker.isCapacityGuarded) {
        if (!hasRoom(worker, used))
            violations_.push_back(order.task.text() + " brings " + worker.entry.id
                                  + " over its capacity");
    } else if (!worker.entry.capacity.covers(used))
        return {.status = OrderStatus::NoCapacity, .workerClock = clockOf(worker)};
    for (auto &[id, other] : workers_) {
        expire(other);
        if (other.running.contains(order.task))
            violations_.push_back(order.task.text() + " runs twice");
    }
    if (doneAndAcknowledged_.contains(order.task))
        violations_.push_back(order.task.text() + " started after it was done");
    worker.running[order.task] = {
            .run = order.run, .checkpoint = order.checkpoint, .startedAt = loop_.now()};
    ++starts_[order.task];
    if (crashesWorker && crashesWorker(order.task)) {
        constexpr int kFreeCrashes = 3;
        constexpr int kMaxFurtherStarts = 2;
        if (crashes_[order.task] >= kFreeCrashes
            && ++startsAfterCrashes_[order.task] > kMaxFurtherStarts)
            violations_.push_back(order.task.text() + " started too often after three crashes");
        crashSoon(worker.entry.id, order.task);
    }
    if (onStarted)
        onStarted(worker.entry.id, order.task, isExecutingLate_);
    const EndKind kind = outcome ? outcome(order.task, order.run) : EndKind::Done;
    const bool hasEnd = workMs > 0 && (outcome || !perpetualJobs.contains(order.task.job));
    if (hasEnd)
        loop_.after(workMs,
                    [this, id = worker.entry.id, generation = worker.generation, order, kind] {
                        const auto found = workers_.find(id);
                        if (found == workers_.end() || found->second.generation != generation)
                            return;
                        expire(found->second);
                        const auto run = found->second.running.find(order.task);
                        if (run != found->second.running.end() && run->second.run == order.run)
                            end(found->second, order.task, kind);
                    });
    return {.status = OrderStatus::Accepted, .workerClock = clockOf(worker)};
}

OrderReply FakeWorkers::executeStop(Worker &worker, const StopOrder &order)
{
    if (order.fence < worker.fence)
        return {.status = OrderStatus::Fenced, .workerClock = clockOf(worker)};
    worker.fence = order.fence;
    worker.tombstones[order.task] = std::max(worker.tombstones[order.task], order.run);
    loop_.after(kStopMs, [this, id = worker.entry.id, generation = worker.generation, order,
                          isLate = isExecutingLate_] {
        const auto found = workers_.find(id);
        if (found != workers_.end() && found->second.generation == generation) {
            const auto run = found->second.running.find(order.task);
            if (run != found->second.running.end() && run->second.run <= order.run)
                end(found->second, order.task, EndKind::Stopped, isLate);
        }
    });
    return {.status = OrderStatus::Accepted, .workerClock = clockOf(worker)};
}

template <typename Order>
void FakeWorkers::deliver(const WorkerAddress &address, OrderKind kind, const Order &order,
                          OrderReply (FakeWorkers::*execute)(Worker &, const Order &),
                          const std::function<void(const OrderReply &)> &done)
{
    const std::optional<Millis> chosenDelay =
            lateness ? lateness(kind, order.task, order.run) : std::nullopt;
    const bool isLate = chosenDelay || rng_.chance(faults_.lateOrder);
    const bool isLost = isLate || rng_.chance(faults_.lostReply);
    Millis delay = kNetworkDelayMs;
    if (chosenDelay)
        delay = *chosenDelay;
    else if (isLate)
        delay = randomDelay();
    ++ordersSent_;
    const auto addressed = workers_.find(address.id);
    // The host of a dead process refuses connections immediately.
    if (addressed == workers_.end()) {
        loop_.after(kNetworkDelayMs, [done] { done({.status = OrderStatus::NotSent}); });
        return;
    }
    const std::uint64_t generation = addressed->second.generation;
    loop_.after(delay, [this, address, order, execute, done, isLate, isLost, generation,
                        sentAt = loop_.now()] {
        Worker *const worker = findReachable(address);
        // A late order is queued in the worker's process and is lost when the process ends.
        if (worker == nullptr || worker->generation != generation) {
            if (!isLost)
                loop_.after(kCallTimeoutMs, [done] { done({.status = OrderStatus::Unknown}); });
            return;
        }
        isExecutingLate_ = isLate;
        orderSentAt_ = sentAt;
        const OrderReply reply = (this->*execute)(*worker, order);
        if (!isLost)
            loop_.after(kNetworkDelayMs, [done, reply] { done(reply); });
    });
    if (isLost)
        loop_.after(kCallTimeoutMs, [done] { done({.status = OrderStatus::Unknown}); });
}

void FakeWorkers::start(const WorkerAddress &worker, const StartOrder &order,
                        std::function<void(const OrderReply &)> done)
{
    deliver(worker, OrderKind::Start, order, &FakeWorkers::executeStart, done);
}

void FakeWorkers::stop(const WorkerAddress &worker, const StopOrder &order,
                       std::function<void(const OrderReply &)> done)
{
    deliver(worker, OrderKind::Stop, order, &FakeWorkers::executeStop, done);
}

void FakeWorkers::pace(const WorkerAddress & /*worker*/, const PaceOrder & /*order*/,
                       std::function<void(const OrderReply &)> done)
{
    ++pacesSent;
    loop_.after(kNetworkDelayMs, [done] { done({.status = OrderStatus::Accepted}); });
}

void FakeWorkers::renew(const WorkerAddress &address, const RenewOrder &order,
                        std::function<void(const RenewReply &)> done)
{
    const auto addressed = workers_.find(address.id);
    const bool isLate = faults_.lateRenewal > 0 && rng_.chance(faults_.lateRenewal);
    if (isLate && addressed != workers_.end()) {
        loop_.after(randomDelay(),
                    [this, address, order, generation = addressed->second.generation] {
                        const auto found = workers_.find(address.id);
                        if (found != workers_.end() && found->second.generation == generation)
                            executeRenewal(address, order, [](const RenewReply &) {});
                    });
        loop_.after(order.waitMs + kCallTimeoutMs,
                    [done] { done({.status = OrderStatus::Unknown}); });
        return;
    }
    loop_.after(kNetworkDelayMs, [this, address, order, done, sentAt = loop_.now()] {
        if (holdsRenewalsWhileDown && !workers_.contains(address.id))
            return deliverHeld(address, order, sentAt + order.waitMs + kCallTimeoutMs, done);
        executeRenewal(address, order, done);
    });
}

void FakeWorkers::deliverHeld(const WorkerAddress &address, const RenewOrder &order,
                              Millis giveUpAt, const std::function<void(const RenewReply &)> &done)
{
    constexpr Millis kRetryMs = 10;
    if (workers_.contains(address.id))
        return executeRenewal(address, order, done);
    if (loop_.now() >= giveUpAt)
        return done({.status = OrderStatus::Unknown});
    loop_.after(kRetryMs, [this, address, order, giveUpAt, done] {
        deliverHeld(address, order, giveUpAt, done);
    });
}

Millis FakeWorkers::randomDelay()
{
    return 2'000 + static_cast<Millis>(rng_.below(kMaxExtraDelayMs));
}

void FakeWorkers::executeRenewal(const WorkerAddress &address, const RenewOrder &order,
                                 const std::function<void(const RenewReply &)> &done)
{
    Worker *const worker = findReachable(address);
    if (worker == nullptr) {
        loop_.after(order.waitMs + kCallTimeoutMs,
                    [done] { done({.status = OrderStatus::Unknown}); });
        return;
    }
    if (order.fence < worker->fence) {
        loop_.after(kNetworkDelayMs, [done] { done({.status = OrderStatus::Fenced}); });
        return;
    }
    worker->fence = order.fence;
    extendLease(*worker, order.leaseUntil);
    std::erase_if(worker->ended, [this, worker, &order](const EndedTask &end) {
        const bool isAcked = end.number <= order.lastAckedEnd;
        acknowledged_ += isAcked ? 1 : 0;
        // The leader may restart a task whose end was not acknowledged before the lease lapsed.
        if (isAcked && end.kind == EndKind::Done && end.number > worker->lastEndAtLapse
            && !perpetualJobs.contains(end.task.job))
            doneAndAcknowledged_.insert(end.task);
        return isAcked;
    });
    auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, address, done, isAnswered, generation = worker->generation] {
        Worker *const now = findReachable(address);
        if (*isAnswered || now == nullptr || now->generation != generation)
            return;
        *isAnswered = true;
        RenewReply reply{.status = OrderStatus::Accepted,
                         .workerClock = clockOf(*now),
                         .incarnation = now->entry.incarnation,
                         .ended = now->ended};
        for (const auto &[task, run] : now->running)
            reply.running.push_back({.task = task, .run = run.run, .percent = 100, .load = load});
        loop_.after(kNetworkDelayMs + replyDelayMs, [done, reply] { done(reply); });
    };
    if (order.waitMs == 0 || !worker->ended.empty())
        return answer();
    const auto fail = [done, isAnswered] {
        if (!std::exchange(*isAnswered, true))
            done({.status = OrderStatus::Unknown});
    };
    worker->waiting.emplace_back(answer);
    worker->resets.emplace_back(fail);
    loop_.after(order.waitMs, answer);
    loop_.after(order.waitMs + kCallTimeoutMs, fail);
}

int FakeWorkers::startsOf(const TaskId &task) const
{
    const auto found = starts_.find(task);
    return found != starts_.end() ? found->second : 0;
}

int FakeWorkers::crashesUnder(const TaskId &task) const
{
    const auto found = crashes_.find(task);
    return found != crashes_.end() ? found->second : 0;
}

int FakeWorkers::workersLostUnder(const std::string &job) const
{
    int most = 0;
    for (const auto &[task, count] : losses_)
        if (task.job == job)
            most = std::max(most, count);
    return most;
}

std::vector<std::string> FakeWorkers::workersRunning(const TaskId &task) const
{
    std::vector<std::string> workerIds;
    for (const auto &[id, worker] : workers_)
        if (worker.running.contains(task))
            workerIds.push_back(id);
    return workerIds;
}

std::vector<TaskId> FakeWorkers::tasksOn(const std::string &worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return {};
    expire(found->second);
    std::vector<TaskId> tasks;
    for (const auto &[task, run] : found->second.running)
        tasks.push_back(task);
    return tasks;
}

int FakeWorkers::runningCount() const
{
    int count = 0;
    for (const auto &[id, worker] : workers_)
        count += static_cast<int>(worker.running.size());
    return count;
}

} // namespace chicorywick::scheduler
