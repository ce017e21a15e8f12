#include "evidence/prove/turn_taking.h"

namespace chicorywick::prove {

TurnTaking::~TurnTaking()
{
    isFinishing_ = true;
    for (std::size_t i = 0; i < actors_.size(); ++i) {
        if (!actors_[i]->hasEnded)
            giveTurn(i);
        actors_[i]->thread.join();
    }
}

void TurnTaking::awaitTurn(std::unique_lock<std::mutex> &lock, Actor &actor)
{
    actor.wake.wait(lock, [&] { return actor.hasTurn; });
    if (isFinishing_)
        throw Finished{};
}

std::size_t TurnTaking::add(std::function<void()> body)
{
    auto owned = std::make_unique<Actor>();
    Actor &actor = *owned;
    actors_.push_back(std::move(owned));
    actor.thread = std::thread([this, &actor, body = std::move(body)] {
        try {
            {
                std::unique_lock lock(mutex_);
                awaitTurn(lock, actor);
            }
            body();
        } catch (const Finished &) {
            // The run is over.
        }
        const std::lock_guard lock(mutex_);
        actor.hasEnded = true;
        actor.hasTurn = false;
        returned_.notify_one();
    });
    return actors_.size() - 1;
}

void TurnTaking::giveTurn(std::size_t index)
{
    std::unique_lock lock(mutex_);
    Actor &actor = *actors_[index];
    actor.hasTurn = true;
    actor.wake.notify_one();
    returned_.wait(lock, [&] { return !actor.hasTurn; });
}

void TurnTaking::pause(std::size_t index)
{
    std::unique_lock lock(mutex_);
    Actor &actor = *actors_[index];
    actor.hasTurn = false;
    returned_.notify_one();
    awaitTurn(lock, actor);
}

} // namespace chicorywick::prove
