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

/// @brief What a job of a kind is expected to need.
struct Expectation
{
    platform::Capacity resources;
    base::Duration runTime{};
    /// Whether the figures are learned, not declared.
    bool isLearned = false;

    bool operator==(const Expectation &) const = default;
};

/// @brief Sizes and run times learned per job kind, in bounded memory; old samples fade.
class UsageModel
{
public:
    void recordUsage(const std::string &kind, const UsageSample &sample);
    void recordRunTime(const std::string &kind, base::Duration runTime);
    Expectation expect(const JobSpec &spec) const;
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
