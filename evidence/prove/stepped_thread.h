#pragma once

#include <chicorywick/platform/fault_plan.h>

#include <exception>
#include <functional>
#include <semaphore>
#include <thread>

namespace chicorywick::prove {

/// @brief Runs a body on its own thread, one platform call at a time.
///
/// The thread stops before each call of the platform and goes on only in resume(), so a scheduler
/// decides how the calls of several bodies interleave and where one stops for good. Only one
/// stepped thread of a process runs at a time.
class SteppedThread
{
public:
    /// @brief The body is repeated until the object is destroyed.
    explicit SteppedThread(std::function<void()> body);

    /// @brief Stops the body at the call that it is waiting to make.
    ~SteppedThread();
    SteppedThread(const SteppedThread &) = delete;
    SteppedThread &operator=(const SteppedThread &) = delete;

    /// @brief Lets the body make the call that it waits at and go on to the next one.
    void resume();

    /// @brief For MemoryPlatform::setCallHook(): stops the calling thread if it is a stepped one.
    static void beforeCall(platform::ServiceFaults platform::FaultPlan::*service);

    /// @brief Whether the body waits to command an instance.
    bool isAtControl() const { return service_ == &platform::FaultPlan::control; }

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
