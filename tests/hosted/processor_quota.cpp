#include "processor_quota.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr auto kPeriod = 100ms;
constexpr auto kPollInterval = 2ms;

class LimitedProcess
{
public:
    LimitedProcess(pid_t process, nanoseconds quota)
        : process_(process)
        , quota_(quota)
        , allowance_(quota)
        , usedBefore_(processorTime())
    {}

    // Time used beyond the allowance is taken from the next period.
    void beginPeriod()
    {
        const nanoseconds used = processorTime();
        allowance_ = std::min(quota_, quota_ + allowance_ - (used - usedBefore_));
        usedBefore_ = used;
        if (allowance_ > 0ns)
            resume();
    }

    void enforce()
    {
        if (isStopped_ || processorTime() - usedBefore_ < allowance_)
            return;
        isStopped_ = true;
        kill(process_, SIGSTOP);
    }

    void resume()
    {
        if (isStopped_)
            kill(process_, SIGCONT);
        isStopped_ = false;
    }

private:
    nanoseconds processorTime() const
    {
        clockid_t clock = 0;
        timespec time{};
        if (clock_getcpuclockid(process_, &clock) != 0 || clock_gettime(clock, &time) != 0)
            return usedBefore_;
        return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
    }

    pid_t process_;
    nanoseconds quota_;
    nanoseconds allowance_;
    nanoseconds usedBefore_{};
    bool isStopped_ = false;
};

void limit(std::vector<LimitedProcess> processes, const std::stop_token &stop)
{
    auto periodEnd = std::chrono::steady_clock::now() + kPeriod;
    while (!stop.stop_requested()) {
        if (std::chrono::steady_clock::now() >= periodEnd) {
            periodEnd += kPeriod;
            for (LimitedProcess &process : processes)
                process.beginPeriod();
        }
        for (LimitedProcess &process : processes)
            process.enforce();
        std::this_thread::sleep_for(kPollInterval);
    }
    for (LimitedProcess &process : processes)
        process.resume();
}

} // namespace

ProcessorQuota::ProcessorQuota(const std::vector<pid_t> &processes, double share)
{
    const auto quota = std::chrono::duration_cast<nanoseconds>(kPeriod * share);
    std::vector<LimitedProcess> limited;
    for (const pid_t process : processes)
        limited.emplace_back(process, quota);
    thread_ = std::jthread(
            [limited = std::move(limited)](const std::stop_token &stop) { limit(limited, stop); });
}

ProcessorQuota::~ProcessorQuota() = default;

} // namespace chicorywick::hosted
