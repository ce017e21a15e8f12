#pragma once

#include <chicorywick/platform/fault_plan.h>

#include <exception>
#include <functional>
#include <semaphore>
#include <thread>

namespace chicorywick::prove {

/// @brief Runs a function on its own thread, one platform call at a time.
///
/// The thread blocks before each platform call and continues only in resume(). A scheduler thus
/// decides how the calls of several threads interleave and at which call a thread ends. Only one
/// stepped thread of a process runs at a time.
class SteppedThread
{
public:
    /// @brief Repeats the body until the object is destroyed.
    explicit SteppedThread(std::function<void()> body);

    /// @brief Ends the body at the call that it is about to make.
    ~SteppedThread();
    SteppedThread(const SteppedThread &) = delete;
    SteppedThread &operator=(const SteppedThread &) = delete;

    /// @brief Lets the body make its pending call and run until the next one.
    void resume();

    /// @brief Hook for MemoryPlatform::setCallHook(). Blocks the calling thread if it is stepped.
    static void beforeCall(platform::ServiceFaults platform::FaultPlan::*service);

    /// @brief Whether the pending call is a command to an instance.
    bool isBeforeControlCall() const { return service_ == &platform::FaultPlan::control; }

private:
    struct Stopped : std::exception
    {};

    void run();
    void park();

    std::function<void()> body_;
    std::binary_semaphore mayRun_{0};
    std::binary_semaphore hasParked_{0};
    platform::ServiceFaults platform::FaultPlan::*service_ = nullptr;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace chicorywick::prove
