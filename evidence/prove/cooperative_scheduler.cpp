#include "evidence/prove/cooperative_scheduler.h"

namespace chicorywick::prove {

CooperativeScheduler::~CooperativeScheduler()
{
    isShuttingDown_ = true;
    for (std::size_t i = 0; i < actors_.size(); ++i) {
        if (!actors_[i]->hasEnded)
            resume(i);
        actors_[i]->thread.join();
    }
}

void CooperativeScheduler::waitForResume(std::unique_lock<std::mutex> &lock, Actor &actor)
{
    actor.wake.wait(lock, [&] { return actor.mayRun; });
    if (isShuttingDown_)
        throw ActorStopped{};
}

std::size_t CooperativeScheduler::add(std::function<void()> body)
{
    auto owned = std::make_unique<Actor>();
    Actor &actor = *owned;
    actors_.push_back(std::move(owned));
    actor.thread = std::thread([this, &actor, body = std::move(body)] {
        try {
            {
                std::unique_lock lock(mutex_);
                waitForResume(lock, actor);
            }
            body();
        } catch (const ActorStopped &) {
            // The scheduler is being destroyed.
        }
        const std::lock_guard lock(mutex_);
        actor.hasEnded = true;
        actor.mayRun = false;
        yielded_.notify_one();
    });
    return actors_.size() - 1;
}

void CooperativeScheduler::resume(std::size_t index)
{
    std::unique_lock lock(mutex_);
    Actor &actor = *actors_[index];
    actor.mayRun = true;
    actor.wake.notify_one();
    yielded_.wait(lock, [&] { return !actor.mayRun; });
}

void CooperativeScheduler::yield(std::size_t index)
{
    std::unique_lock lock(mutex_);
    Actor &actor = *actors_[index];
    actor.mayRun = false;
    yielded_.notify_one();
    waitForResume(lock, actor);
}

} // namespace chicorywick::prove
