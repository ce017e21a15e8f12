#pragma once

#include <chicorywick/base/clock.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace chicorywick::daemon {

/// @brief Calls a function repeatedly on its own thread, with a jittered pause between calls.
class PeriodicTask
{
public:
    PeriodicTask(base::Duration interval, std::function<void()> work);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /// @brief Ends the current pause, or skips the next one if the function is running.
    void wake();

    /// @brief Waits for a running call and joins the thread.
    void stop();

private:
    void run();

    base::Duration interval_;
    std::function<void()> work_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    bool isWakeRequested_ = false;
    std::thread thread_;
};

} // namespace chicorywick::daemon
