#include <chicorywick/jobs/usage_model.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::jobs {

namespace {

constexpr std::size_t kMaxKinds = 4096;
// Fewer samples say less than the declaration does.
constexpr std::uint32_t kMinSamples = 4;
// The weight of a new sample once the mean has settled: about 30 samples are remembered.
constexpr double kNewWeight = 1.0 / 16;
// Memory is not elastic: the highest use seen fades slowly, and a margin is added.
constexpr double kPeakFade = 0.02;
constexpr double kMemoryMargin = 1.15;
// Processor use may exceed its reservation for a while, so that a typical high value is enough.
constexpr double kDeviations = 1.0;
// A model that is wrong in either direction must not make a job unplaceable or unbounded.
constexpr double kLeastShare = 0.1;
constexpr double kMostShare = 4.0;

std::uint32_t bounded(double learned, std::uint32_t declared)
{
    const auto base = static_cast<double>(declared);
    const double value = std::clamp(learned, base * kLeastShare, base * kMostShare);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(value)));
}

} // namespace

void UsageModel::Estimate::add(double value)
{
    ++samples;
    const double weight = std::max(kNewWeight, 1.0 / samples);
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
    peak = std::max(value, peak - kPeakFade * (peak - mean));
}

double UsageModel::Estimate::upper() const
{
    return mean + kDeviations * std::sqrt(variance);
}

UsageModel::Kind &UsageModel::touch(const std::string &kind)
{
    const auto found = kinds_.find(kind);
    if (found == kinds_.end() && kinds_.size() >= kMaxKinds) {
        const auto oldest =
                std::min_element(kinds_.begin(), kinds_.end(), [](const auto &a, const auto &b) {
                    return a.second.usedAt < b.second.usedAt;
                });
        kinds_.erase(oldest);
    }
    Kind &entry = kinds_[kind];
    entry.usedAt = ++uses_;
    return entry;
}

void UsageModel::recordUsage(const std::string &kind, const UsageSample &sample)
{
    Kind &entry = touch(kind);
    entry.cpu.add(sample.cpuMillis);
    entry.memory.add(sample.memoryMib);
}

void UsageModel::recordRunTime(const std::string &kind, base::Duration runTime)
{
    touch(kind).runTime.add(static_cast<double>(runTime.count()));
}

Expectation UsageModel::expect(const JobSpec &spec) const
{
    Expectation expected{.resources = spec.resources, .runTime = spec.runTime};
    const auto found = kinds_.find(spec.kind);
    if (found == kinds_.end())
        return expected;
    const Kind &kind = found->second;
    if (kind.memory.samples >= kMinSamples) {
        expected.isLearned = true;
        expected.resources.cpuMillis = bounded(kind.cpu.upper(), spec.resources.cpuMillis);
        expected.resources.memoryMib =
                bounded(kind.memory.peak * kMemoryMargin, spec.resources.memoryMib);
    }
    if (kind.runTime.samples >= kMinSamples)
        expected.runTime = base::Duration(static_cast<std::int64_t>(kind.runTime.upper()));
    return expected;
}

} // namespace chicorywick::jobs
