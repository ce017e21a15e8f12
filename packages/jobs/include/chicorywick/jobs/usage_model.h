#pragma once

#include <chicorywick/jobs/job.h>

#include <map>

namespace chicorywick::jobs {

/// @brief Usage of one task as its worker last reported it.
struct UsageSample
{
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMib = 0;

    bool operator==(const UsageSample &) const = default;
};

/// @brief Expected resources and run time of a job.
struct UsagePrediction
{
    platform::Capacity resources;
    base::Duration runTime{};
    /// Whether the resources are learned, not declared.
    bool isLearned = false;

    bool operator==(const UsagePrediction &) const = default;
};

/// @brief Learns resources and run times per job kind in bounded memory; old samples lose weight.
class UsageModel
{
public:
    void recordUsage(const std::string &kind, const UsageSample &sample);
    void recordRunTime(const std::string &kind, base::Duration runTime);
    UsagePrediction predict(const JobSpec &spec) const;
    std::size_t size() const { return kinds_.size(); }

private:
    struct Estimate
    {
        double mean = 0;
        double variance = 0;
        double peak = 0;
        std::uint32_t samples = 0;

        void add(double value);
        double upper() const;
    };

    struct Kind
    {
        Estimate cpu;
        Estimate memory;
        Estimate runTime;
        std::uint64_t usedAt = 0;
    };

    Kind &touch(const std::string &kind);

    std::map<std::string, Kind> kinds_;
    std::uint64_t uses_ = 0;
};

} // namespace chicorywick::jobs
