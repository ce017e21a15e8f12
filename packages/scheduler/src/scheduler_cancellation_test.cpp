#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace chicorywick::scheduler {

namespace {

// Time from an acknowledged cancellation to the last start of a task of the job.
constexpr Millis kCancelMs = 3'000;
// Time that a worker needs to stop a task.
constexpr Millis kStopMs = 900;
// A worker that was disturbed, or executed a late order, in this time is not held to the limits.
constexpr Millis kContactMs = 3'000;
// Longest delay until the leader knows a stored row.
constexpr Millis kMaxWatchDelayMs = 1'000;
// Longest time without a leader that may send orders.
constexpr Millis kMaxLeaderGapMs = 800;
constexpr Millis kCheckPeriodMs = 50;
constexpr int kWorkers = 5;

/// @brief Jobs, cancellations and changes of leaders over fake workers. The rows of jobs and
/// cancellations are stored; a leader knows them after a delay, or when it loads.
class CancellationRun
{
public:
    explicit CancellationRun(std::uint64_t seed)
        : fixture(seed)
        , rng(seed)
    {
        fixture.workers.onStarted = [this](const std::string &worker, const TaskId &task,
                                           bool isLate) { checkStart(worker, task, isLate); };
        fixture.workers.workMs = rng.chance(0.5) ? 0 : 1'500;
        fixture.workers.setFaults({.lostReply = 0.1, .lateOrder = 0.05});
        fixture.addWorkers(kWorkers);
        check();
    }

    SchedulerFixture fixture;
    base::Rng rng;
    std::vector<std::string> violations;
    int cancellations = 0;

    void submit()
    {
        std::vector<StepSpec> steps{step(3), step(2, {0})};
        steps[0].isPerpetual = rng.chance(0.2);
        steps[1].maxPerWorker = 1;
        JobSpec spec = fixture.spec("j" + std::to_string(jobs_.size()), steps);
        if (rng.chance(0.2)) {
            spec.repeatCount = 4;
            spec.firstStartWall = fixture.loop.now();
            spec.intervalMs = 700;
        }
        jobs_.emplace(spec.id, spec);
        // The store carries out some submissions only after the cancellation of their job.
        const bool isLate = rng.chance(0.1);
        if (isLate)
            cancel(spec.id);
        const Millis delay = draw(isLate ? 6'000 : kMaxWatchDelayMs);
        fixture.loop.after(delay, [this, spec] {
            stored_.insert(spec.id);
            load(spec, std::nullopt);
        });
    }

    void cancelAny() { cancel("j" + std::to_string(rng.below(jobs_.size()))); }

    // The leader sends no orders for a while, as if its lease were uncertain.
    void pauseOrders()
    {
        fixture.maySendOrders = false;
        if (rng.chance(0.5))
            cancelAny();
        fixture.run(draw(kMaxLeaderGapMs));
        fixture.maySendOrders = true;
    }

    void changeLeader()
    {
        pauseOrders();
        const auto roster = fixture.scheduler->roster();
        fixture.startTerm();
        for (const std::string &id : stored_) {
            const auto progress = fixture.stored.find(id);
            load(jobs_.at(id), progress != fixture.stored.end() ? progress->second : JobProgress{});
        }
        fixture.scheduler->addInheritedWorkers(roster);
        for (const WorkerEntry &entry : roster)
            fixture.scheduler->upsertWorker(entry);
    }

    void silence(const std::string &worker, Millis duration)
    {
        fixture.workers.setReachable(worker, false);
        disturbedUntil_[worker] = std::max(disturbedUntil_[worker], fixture.loop.now() + duration);
        fixture.loop.after(duration, [this, worker] {
            if (fixture.loop.now() >= disturbedUntil_[worker])
                fixture.workers.setReachable(worker, true);
        });
    }

    Millis draw(Millis longest)
    {
        return static_cast<Millis>(rng.below(static_cast<std::uint64_t>(longest)));
    }

private:
    struct Start
    {
        Millis at = 0;
        bool isLate = false;
    };

    void cancel(const std::string &id)
    {
        if (!cancelledAt_.emplace(id, fixture.loop.now()).second)
            return;
        ++cancellations;
        fixture.loop.after(draw(kMaxWatchDelayMs),
                           [this, id] { fixture.scheduler->cancelJob(id); });
    }

    void load(const JobSpec &spec, const std::optional<JobProgress> &progress)
    {
        const bool hasEnded = progress && isTerminal(progress->state);
        if (cancelledAt_.contains(spec.id) && !hasEnded)
            fixture.scheduler->addCancelledJob(spec);
        else
            fixture.scheduler->addJob(spec, progress);
    }

    void checkStart(const std::string &worker, const TaskId &task, bool isLate)
    {
        const Millis now = fixture.loop.now();
        starts_[{worker, task}] = {.at = now, .isLate = isLate};
        const auto cancelled = cancelledAt_.find(task.job);
        if (!isLate && cancelled != cancelledAt_.end() && now > cancelled->second + kCancelMs)
            violations.push_back(task.text() + " started " + std::to_string(now - cancelled->second)
                                 + " ms after its cancellation");
    }

    void check()
    {
        const Millis now = fixture.loop.now();
        for (int i = 0; i < kWorkers; ++i) {
            const std::string worker = "w" + std::to_string(i);
            if (disturbedUntil_.contains(worker) && now < disturbedUntil_[worker] + kContactMs)
                continue;
            for (const TaskId &task : fixture.workers.tasksOn(worker)) {
                const auto cancelled = cancelledAt_.find(task.job);
                const Start start = starts_[{worker, task}];
                const bool isOver = cancelled != cancelledAt_.end()
                                    && now > cancelled->second + kCancelMs + kStopMs;
                if (isOver && !(start.isLate && now <= start.at + kContactMs))
                    violations.push_back(task.text() + " runs on " + worker + " "
                                         + std::to_string(now - cancelled->second)
                                         + " ms after its cancellation, started at "
                                         + std::to_string(start.at - cancelled->second));
            }
        }
        fixture.loop.after(kCheckPeriodMs, [this] { check(); });
    }

    std::map<std::string, JobSpec> jobs_;
    std::set<std::string> stored_;
    std::map<std::string, Millis> cancelledAt_;
    std::map<std::string, Millis> disturbedUntil_;
    std::map<std::pair<std::string, TaskId>, Start> starts_;
};

} // namespace

// Guards against tasks of cancelled jobs that start or run on after the time limits, under lost
// replies, late orders, silent workers and changes of leaders.
TEST_CASE("under faults and changes of leaders, tasks of cancelled jobs neither start nor run on")
{
    int cancellations = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        CancellationRun run(seed);
        for (int round = 0; round < 80; ++round) {
            run.submit();
            if (run.rng.chance(0.6))
                run.cancelAny();
            const double draw = run.rng.uniform();
            if (draw < 0.05)
                run.changeLeader();
            else if (draw < 0.1)
                run.pauseOrders();
            else if (draw < 0.17)
                run.silence("w" + std::to_string(run.rng.below(kWorkers)), run.draw(7'000));
            run.fixture.run(200);
        }
        run.fixture.run(10'000);
        for (const std::string &violation : run.violations)
            FAIL_CHECK(violation);
        for (const std::string &violation : run.fixture.workers.violations())
            FAIL_CHECK(violation);
        cancellations += run.cancellations;
    }
    CHECK(cancellations > 1'000);
}

} // namespace chicorywick::scheduler
