#include "evidence/measure/measurement.h"
#include "evidence/virtual_time.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/scheduler/scheduler.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <vector>

namespace chicorywick::measure {

// Measures the processor time of the scheduler alone, with workers that are always full.

namespace {

using scheduler::Millis;

constexpr int kServices = 5;
constexpr int kWorkersPerService = 10;
constexpr scheduler::Resources kWorkerSize{
        .cpuMillis = 16'000, .memoryMib = 65'536, .accelerators = 4};
constexpr int kShapes = 40;
constexpr int kMaxTasksPerJob = 12;
constexpr Millis kWorkMs = 1'500;
constexpr Millis kOrderMs = 2;
constexpr Millis kStoreMs = 5;
constexpr Millis kTickMs = 100;
constexpr Millis kRefillMs = 20;
constexpr int kTicksPerWaitingCount = 4;
constexpr Millis kWarmUpMs = 4'000;
constexpr Millis kMeasuredMs = 8'000;

double processorMicros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Workers that accept every order and finish every task after kWorkMs.
class IdealWorkers : public scheduler::WorkerOrders
{
public:
    /// @brief Runs an action later; the scheduler's share of it is measured.
    using Later = std::function<void(Millis delay, std::function<void()> action)>;

    IdealWorkers(Later later, std::function<Millis()> now)
        : later_(std::move(later))
        , now_(std::move(now))
    {}

    void start(const scheduler::WorkerAddress &address, const scheduler::StartOrder &order,
               std::function<void(const scheduler::OrderReply &)> done) override
    {
        ++starts;
        Worker &worker = workers_[address.id];
        worker.running[order.task] = order.run;
        later_(kOrderMs, [this, done = std::move(done)] {
            done({.status = scheduler::OrderStatus::Accepted, .workerClock = now_()});
        });
        later_(kWorkMs, [&worker, task = order.task, run = order.run] {
            worker.running.erase(task);
            worker.ended.push_back({.number = ++worker.lastEnd,
                                    .task = task,
                                    .run = run,
                                    .kind = scheduler::EndKind::Done});
            if (worker.poll)
                std::exchange(worker.poll, {})();
        });
    }

    void stop(const scheduler::WorkerAddress &, const scheduler::StopOrder &,
              std::function<void(const scheduler::OrderReply &)>) override
    {}
    void pace(const scheduler::WorkerAddress &, const scheduler::PaceOrder &,
              std::function<void(const scheduler::OrderReply &)>) override
    {}

    void renew(const scheduler::WorkerAddress &address, const scheduler::RenewOrder &order,
               std::function<void(const scheduler::RenewReply &)> done) override
    {
        Worker &worker = workers_[address.id];
        std::erase_if(worker.ended, [&order](const scheduler::EndedTask &end) {
            return end.number <= order.lastAckedEnd;
        });
        const auto answer = [this, &worker, done = std::move(done)] {
            scheduler::RenewReply reply{.status = scheduler::OrderStatus::Accepted,
                                        .workerClock = now_(),
                                        .ended = worker.ended};
            for (const auto &[task, run] : worker.running)
                reply.running.push_back({.task = task, .run = run});
            done(reply);
        };
        if (!worker.ended.empty() || order.waitMs == 0) {
            later_(kOrderMs, answer);
            return;
        }
        const std::uint64_t number = ++worker.polls;
        worker.poll = [this, answer] { later_(kOrderMs, answer); };
        later_(order.waitMs, [&worker, number] {
            if (worker.poll && worker.polls == number)
                std::exchange(worker.poll, {})();
        });
    }

    void closeConnections(const scheduler::WorkerAddress &) override {}

    int starts = 0;

private:
    struct Worker
    {
        std::map<scheduler::TaskId, std::int64_t> running;
        std::vector<scheduler::EndedTask> ended;
        std::int64_t lastEnd = 0;
        std::function<void()> poll; ///< answers the pending long poll
        std::uint64_t polls = 0;
    };

    Later later_;
    std::function<Millis()> now_;
    std::map<std::string, Worker> workers_;
};

class FullPool
{
public:
    FullPool(int waitingTasks, std::uint64_t seed)
        : waitingTasks_(waitingTasks)
        , rng_(seed)
        , workers_(
                  [this](Millis delay, std::function<void()> action) {
                      time_.after(std::chrono::milliseconds(delay),
                                  [this, action = std::move(action)] { measured(action); });
                  },
                  [this] { return now(); })
        , scheduler_(workers_,
                     {.clock = [this] { return scheduler::Now{.steady = now(), .wall = now()}; },
                      .maySendOrders = [] { return true; },
                      .onFenced = [] {},
                      .onProgress = [this] { store(); }},
                     {.fence = 1})
    {
        addShapes();
        std::vector<scheduler::QueuePolicy> queues;
        for (int service = 0; service < kServices; ++service)
            queues.push_back({.name = "q" + std::to_string(service),
                              .service = "s" + std::to_string(service),
                              .priority = service % 2,
                              .maxAttempts = 2,
                              .stretch = 1.6,
                              .targetCompletionMs = 6'000});
        scheduler_.setQueues(queues);
        for (int i = 0; i < kServices * kWorkersPerService; ++i)
            scheduler_.upsertWorker({.id = "i-" + std::to_string(1'000'000'000 + i),
                                     .service = "s" + std::to_string(i % kServices),
                                     .address = "10.0.0." + std::to_string(i) + ":80",
                                     .labels = {"rack-" + std::to_string(i % 4)},
                                     .capacity = kWorkerSize});
        tick();
        refill();
    }

    nlohmann::json run()
    {
        time_.runUntil(time_.now() + std::chrono::milliseconds(kWarmUpMs));
        micros_ = 0;
        longestMicros_ = 0;
        const int startsBefore = workers_.starts;
        const std::uint64_t examinedBefore = scheduler_.examinedWorkers();
        time_.runUntil(time_.now() + std::chrono::milliseconds(kMeasuredMs));
        const double starts = workers_.starts - startsBefore;
        return {{"waiting_tasks", waitingTasks_},
                {"starts_per_s", starts * 1'000 / kMeasuredMs},
                {"us_per_task", micros_ / starts},
                {"longest_event_us", longestMicros_},
                {"examined_workers_per_task",
                 static_cast<double>(scheduler_.examinedWorkers() - examinedBefore) / starts}};
    }

private:
    Millis now() const { return base::toMillis(time_.now()); }

    void measured(const std::function<void()> &action)
    {
        const double before = processorMicros();
        action();
        const double micros = processorMicros() - before;
        micros_ += micros;
        longestMicros_ = std::max(longestMicros_, micros);
    }

    void addShapes()
    {
        for (int i = 0; i < kShapes; ++i)
            shapes_.push_back(
                    {.taskCount = 1 + static_cast<int>(rng_.below(kMaxTasksPerJob)),
                     .demand = {.cpuMillis = static_cast<std::int64_t>(250 + rng_.below(5'000)),
                                .memoryMib = static_cast<std::int64_t>(512 + rng_.below(20'000)),
                                .accelerators = i % 8 == 0 ? 1 : 0},
                     .estimatedMs = kWorkMs});
    }

    void tick()
    {
        measured([this] {
            scheduler_.rosterStored(scheduler_.roster());
            scheduler_.tick();
            static_cast<void>(scheduler_.loads());
            static_cast<void>(scheduler_.workers());
            if (++ticks_ % kTicksPerWaitingCount == 0)
                static_cast<void>(scheduler_.waitingJobs());
        });
        time_.after(std::chrono::milliseconds(kTickMs), [this] { tick(); });
    }

    void refill()
    {
        while (submittedTasks_ - workers_.starts < waitingTasks_) {
            const scheduler::StepSpec &shape = shapes_[rng_.below(shapes_.size())];
            submittedTasks_ += shape.taskCount;
            const scheduler::JobSpec spec{.id = "job-"
                                                + std::to_string(1'000'000'000 + ++submittedJobs_),
                                          .queue = "q" + std::to_string(submittedJobs_ % kServices),
                                          .payload = "p",
                                          .steps = {shape},
                                          .submittedWall = now()};
            measured([&] { scheduler_.addJob(spec, std::nullopt); });
        }
        time_.after(std::chrono::milliseconds(kRefillMs), [this] { refill(); });
    }

    void store()
    {
        if (std::exchange(isStoring_, true))
            return;
        time_.after(std::chrono::milliseconds(kStoreMs), [this] {
            measured([this] {
                const std::uint64_t batch = scheduler_.batch();
                for (const std::string &id : scheduler_.takeDirtyJobs())
                    static_cast<void>(scheduler_.progressOf(id));
                isStoring_ = false;
                scheduler_.progressStored(batch);
            });
        });
    }

    int waitingTasks_;
    base::Rng rng_;
    VirtualTime time_;
    std::vector<scheduler::StepSpec> shapes_;
    IdealWorkers workers_;
    scheduler::Scheduler scheduler_;
    bool isStoring_ = false;
    int ticks_ = 0;
    int submittedTasks_ = 0;
    int submittedJobs_ = 0;
    double micros_ = 0;
    double longestMicros_ = 0;
};

nlohmann::json run(std::uint64_t seed)
{
    nlohmann::json figures;
    std::cout << "scheduler with " << kServices << " services of " << kWorkersPerService
              << " full workers\n";
    for (const int waiting : {100, 1'000, 5'000}) {
        figures["full_pool"].push_back(FullPool(waiting, seed).run());
        std::cout << "  " << figures["full_pool"].back() << '\n';
    }
    return figures;
}

const Registration
        kScheduler({.name = "scheduler",
                    .description = "processor time of the scheduler by number of waiting tasks",
                    .run = run});

} // namespace

} // namespace chicorywick::measure
