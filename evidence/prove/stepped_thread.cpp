#include "evidence/prove/stepped_thread.h"

namespace chicorywick::prove {

namespace {

thread_local SteppedThread *current = nullptr;

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
    if (current == nullptr)
        return;
    current->service_ = service;
    current->park();
    current->service_ = nullptr;
}

void SteppedThread::park()
{
    hasParked_.release();
    mayRun_.acquire();
    if (isStopping_)
        throw Stopped();
}

// A body that makes no call at all still gives the scheduler its turn.
void SteppedThread::run()
{
    current = this;
    try {
        while (true) {
            park();
            body_();
        }
    } catch (const Stopped &) {
        current = nullptr;
    }
}

} // namespace chicorywick::prove
