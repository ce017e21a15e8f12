#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::measure {

/// @brief Order statistics of a sample.
struct OrderStatistics
{
    double p50 = 0;
    double p99 = 0;
    double max = 0;
    std::size_t count = 0;
};

inline OrderStatistics orderStatistics(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const auto valueAt = [&](double part) {
        const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
        return values[std::min(index, values.size() - 1)];
    };
    constexpr double kMedian = 0.5;
    constexpr double kTail = 0.99;
    return {valueAt(kMedian), valueAt(kTail), values.back(), values.size()};
}

/// @brief A straight line y = intercept + slope * x by least squares.
struct Line
{
    double intercept = 0;
    double slope = 0;
};

inline Line fitLine(const std::vector<double> &x, const std::vector<double> &y)
{
    const auto n = static_cast<double>(x.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    const double determinant = n * sxx - sx * sx;
    if (determinant == 0)
        return {};
    const double slope = (n * sxy - sx * sy) / determinant;
    return {(sy - slope * sx) / n, slope};
}

inline nlohmann::json toJson(const OrderStatistics &statistics)
{
    return {{"p50", statistics.p50},
            {"p99", statistics.p99},
            {"max", statistics.max},
            {"n", statistics.count}};
}

/// @brief Figures per daemon of real PeerNodes in one process over loopback ZeroMQ.
struct RealFigures
{
    std::size_t members = 0;
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    double corePercent = 0;
    double residentMib = 0;
    OrderStatistics configSeconds;
};

/// @brief Measures real nodes over some seconds of wall time.
RealFigures measureRealNodes(std::size_t members, std::size_t zones);

} // namespace chicorywick::measure
