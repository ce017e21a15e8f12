#include "evidence/prove/puppet.h"

namespace chicorywick::prove {

namespace {

thread_local Puppet *current = nullptr;

} // namespace

Puppet::Puppet(std::function<void()> body)
    : body_(std::move(body))
    , thread_([this] { run(); })
{
    hasParked_.acquire();
}

Puppet::~Puppet()
{
    isStopping_ = true;
    mayRun_.release();
    thread_.join();
}

void Puppet::resume()
{
    mayRun_.release();
    hasParked_.acquire();
}

void Puppet::beforeCall(platform::ServiceFaults platform::FaultPlan::*service)
{
    if (current == nullptr)
        return;
    current->service_ = service;
    current->park();
    current->service_ = nullptr;
}

void Puppet::park()
{
    hasParked_.release();
    mayRun_.acquire();
    if (isStopping_)
        throw Stopped();
}

// A body that makes no call at all still gives the scheduler its turn.
void Puppet::run()
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
