#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace chicorywick::prove {

/// @brief Runs actors on threads of their own, exactly one at a time, so that a seeded scheduler
/// decides where each of them is interrupted.
class TurnTaking
{
public:
    /// @brief Thrown out of pause() to end an actor.
    struct Finished
    {};

    ~TurnTaking();

    /// @brief Adds an actor; its body starts with its first turn. Returns its number.
    std::size_t add(std::function<void()> body);
    /// @brief Lets an actor run until it pauses or ends.
    void giveTurn(std::size_t actor);
    /// @brief Called by an actor: hands the turn back and waits for the next one.
    void pause(std::size_t actor);
    bool hasEnded(std::size_t actor) const { return actors_[actor]->hasEnded; }

private:
    struct Actor
    {
        std::thread thread;
        std::condition_variable wake;
        bool hasTurn = false;
        bool hasEnded = false;
    };

    void awaitTurn(std::unique_lock<std::mutex> &lock, Actor &actor);

    std::mutex mutex_;
    std::condition_variable returned_;
    std::vector<std::unique_ptr<Actor>> actors_;
    bool isFinishing_ = false;
};

} // namespace chicorywick::prove
