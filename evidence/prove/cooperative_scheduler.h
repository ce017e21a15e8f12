#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace chicorywick::prove {

/// @brief Runs each actor on its own thread, exactly one at a time, so that the caller determines
/// where each actor is interrupted.
class CooperativeScheduler
{
public:
    /// @brief Thrown by yield() to end an actor.
    struct ActorStopped
    {};

    ~CooperativeScheduler();

    /// @brief Adds an actor whose body starts at its first resume(). Returns its index.
    std::size_t add(std::function<void()> body);
    /// @brief Runs an actor until it yields or ends.
    void resume(std::size_t actor);
    /// @brief Returns control from an actor to resume() and waits for the next resume().
    void yield(std::size_t actor);
    bool hasEnded(std::size_t actor) const { return actors_[actor]->hasEnded; }

private:
    struct Actor
    {
        std::thread thread;
        std::condition_variable wake;
        bool mayRun = false;
        bool hasEnded = false;
    };

    void waitForResume(std::unique_lock<std::mutex> &lock, Actor &actor);

    std::mutex mutex_;
    std::condition_variable yielded_;
    std::vector<std::unique_ptr<Actor>> actors_;
    bool isShuttingDown_ = false;
};

} // namespace chicorywick::prove
