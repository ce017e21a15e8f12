#include "evidence/prove/stepped_thread.h"

namespace chicorywick::prove {

namespace {

thread_local SteppedThread *currentThread = nullptr;

} // namespace

SteppedThread::SteppedThread(std::function<void()> body)
    : body_(std::move(body))
    , thread_([this] { run(); })
{
    hasParked_.acquire();
}

SteppedThread::~SteppedThread()
{
    isStopping_ = true;
    mayRun_.release();
    thread_.join();
}

void SteppedThread::resume()
{
    mayRun_.release();
    hasParked_.acquire();
}

void SteppedThread::beforeCall(platform::ServiceFaults platform::FaultPlan::*service)
{
    if (currentThread == nullptr)
        return;
    currentThread->service_ = service;
    currentThread->park();
    currentThread->service_ = nullptr;
}

void SteppedThread::park()
{
    hasParked_.release();
    mayRun_.acquire();
    if (isStopping_)
        throw Stopped();
}

// Parks before every repetition, so that a body that makes no platform call also returns control to
// the scheduler.
void SteppedThread::run()
{
    currentThread = this;
    try {
        while (true) {
            park();
            body_();
        }
    } catch (const Stopped &) {
        currentThread = nullptr;
    }
}

} // namespace chicorywick::prove
