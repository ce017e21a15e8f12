#include <chicorywick/base/hash.h>
#include <chicorywick/base/rng.h>
#include <chicorywick/base/unique_id.h>
#include <chicorywick/daemon/periodic_task.h>

namespace chicorywick::daemon {

namespace {

// Relative jitter of the pause, so that daemons started together do not call the platform at the
// same times.
constexpr double kJitter = 0.2;

} // namespace

PeriodicTask::PeriodicTask(base::Duration interval, std::function<void()> work)
    : interval_(interval)
    , work_(std::move(work))
    , thread_([this] { run(); })
{}

PeriodicTask::~PeriodicTask()
{
    stop();
}

void PeriodicTask::wake()
{
    {
        const std::lock_guard lock(mutex_);
        isWakeRequested_ = true;
    }
    changed_.notify_all();
}

void PeriodicTask::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void PeriodicTask::run()
{
    base::Rng rng(base::hash64(base::uniqueId()));
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isWakeRequested_ = false;
        lock.unlock();
        work_();
        lock.lock();
        const double factor = 1 - kJitter + 2 * kJitter * rng.uniform();
        const auto pause = std::chrono::duration_cast<base::Duration>(interval_ * factor);
        changed_.wait_for(lock, pause, [this] { return isStopping_ || isWakeRequested_; });
    }
}

} // namespace chicorywick::daemon
