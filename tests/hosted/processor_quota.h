#pragma once

#include <sys/types.h>

#include <thread>
#include <vector>

namespace chicorywick::hosted {

/// @brief Limits the processor time of child processes to a share of a core, as a processor quota
/// of a container does: a process that has used up its time stands until the next period.
class ProcessorQuota
{
public:
    ProcessorQuota(const std::vector<pid_t> &processes, double share);

    /// @brief Lifts the limit and lets all processes continue.
    ~ProcessorQuota();
    ProcessorQuota(const ProcessorQuota &) = delete;
    ProcessorQuota &operator=(const ProcessorQuota &) = delete;

private:
    std::jthread thread_;
};

} // namespace chicorywick::hosted
