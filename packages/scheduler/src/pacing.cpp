#include <chicorywick/scheduler/pacing.h>

#include <algorithm>

namespace chicorywick::scheduler {

namespace {

constexpr double kHighShare = 0.9; // fraction of the target; a higher latency lowers the pace
constexpr double kLowShare = 0.7;  // fraction of the target; a lower latency raises the pace
constexpr int kFullPace = 100;
constexpr int kSmallestPace = 10; // a cut below this pauses the task
constexpr int kRaise = 15;

} // namespace

int nextPace(int currentPercent, std::span<const ServingLoad> serving)
{
    double worst = 0;
    for (const ServingLoad &load : serving)
        worst = std::max(worst, static_cast<double>(load.tailMs)
                                        / static_cast<double>(std::max<Millis>(load.targetMs, 1)));
    if (worst > 1.0) {
        const int cut = currentPercent / 4;
        return cut < kSmallestPace ? 0 : cut;
    }
    if (worst > kHighShare)
        return currentPercent * 2 / 3;
    if (worst < kLowShare)
        return std::min(kFullPace, currentPercent + kRaise);
    return currentPercent;
}

} // namespace chicorywick::scheduler
