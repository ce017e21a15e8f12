#include <chicorywick/jobs/usage_model.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::jobs {

namespace {

constexpr std::size_t kMaxKinds = 4096;
// With fewer samples the declared resources are the better estimate.
constexpr std::uint32_t kMinSamples = 4;
// Weight of a sample in the moving averages after the first 16 samples; corresponds to a window of
// about 30 samples.
constexpr double kSampleWeight = 1.0 / 16;
// A task cannot run with less memory than it needs, so the estimate is a slowly decaying peak plus
// a margin.
constexpr double kPeakDecay = 0.02;
constexpr double kMemoryMargin = 1.15;
// CPU usage may exceed its reservation for a while, so one standard deviation above the mean is
// enough.
constexpr double kStdDeviations = 1.0;
// Bounds of a learned value relative to the declared one, so that a wrong model can neither make a
// job unplaceable nor let its reservation shrink without limit.
constexpr double kMinLearnedRatio = 0.1;
constexpr double kMaxLearnedRatio = 4.0;

std::uint32_t bounded(double learned, std::uint32_t declared)
{
    const auto base = static_cast<double>(declared);
    const double value = std::clamp(learned, base * kMinLearnedRatio, base * kMaxLearnedRatio);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(value)));
}

} // namespace

void UsageModel::Estimate::add(double value)
{
    ++samples;
    const double weight = std::max(kSampleWeight, 1.0 / samples);
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
    peak = std::max(value, peak - kPeakDecay * (peak - mean));
}

double UsageModel::Estimate::upper() const
{
    return mean + kStdDeviations * std::sqrt(variance);
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

UsagePrediction UsageModel::predict(const JobSpec &spec) const
{
    UsagePrediction prediction{.resources = spec.resources, .runTime = spec.runTime};
    const auto found = kinds_.find(spec.kind);
    if (found == kinds_.end())
        return prediction;
    const Kind &kind = found->second;
    if (kind.memory.samples >= kMinSamples) {
        prediction.isLearned = true;
        prediction.resources.cpuMillis = bounded(kind.cpu.upper(), spec.resources.cpuMillis);
        prediction.resources.memoryMib =
                bounded(kind.memory.peak * kMemoryMargin, spec.resources.memoryMib);
    }
    if (kind.runTime.samples >= kMinSamples)
        prediction.runTime = base::Duration(static_cast<std::int64_t>(kind.runTime.upper()));
    return prediction;
}

} // namespace chicorywick::jobs
